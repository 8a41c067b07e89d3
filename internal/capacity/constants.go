package capacity

// constants are those of the code that bound the page's rows where nothing is measured, by PACKAGE.NAME, in seconds, bytes or
// numbers. They are written down here, as most are not exported; a test holds each to its source.
var constants = map[string]float64{
	"config.defaultJournalMB":             8,
	"config.defaultMaxRotated":            4,
	"config.DefaultTerm":                  3,
	"config.MaxVoters":                    7,
	"discovery.maxListBytes":              1 << 20,
	"discoveryleader.fetchSpacing":        0.005,
	"fleet.maxListTransfers":              8,
	"serverlist.MaxServers":               1 << 14,
	"gossip.gossipInterval":               0.2,
	"gossip.maxGossipBytes":               1 << 10,
	"gossip.metaUpdateSpacing":            0.2,
	"gossip.pushPullInterval":             10,
	"purge.maxComparisonInterval":         5,
	"quota.maxRequestedKeys":              256,
	"quota.maxBuckets":                    4096,
	"quota.maxQueuedRequests":             1024,
	"policy.primaryPingInterval":          0.1,
	"policy.listPollSpacing":              0.08,
	"scale.changeEvery":                   21.6,
	"scale.lossShare":                     0.05,
	"scale.restartEvery":                  18,
	"shardmap.requestsPerTerm":            3,
	"replication.MaxDocuments":            1024,
	"replication.MaxTotalSize":            4 << 20,
	"replication.MaxDocumentSize":         64 << 10,
	"replication.fetchSpreadPerMember":    0.005,
	"replication.maxTransfers":            4,
	"replication.maxDeltaSize":            4 << 10,
	"replication.minAnnouncementInterval": 0.05,
	"consensus.idleTimeout":               60,
	"consensus.maxConnections":            2048,
	"outlier.maxObservers":                1024,
	"outlier.maxReportSize":               1000,
	"outlier.maxServers":                  512,
	"outlier.maxReportInterval":           5,
}

// c is a constant of the code.
func c(name string) float64 {
	v, ok := constants[name]
	if !ok {
		panic("capacity: no constant " + name)
	}
	return v
}
