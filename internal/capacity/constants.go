package capacity

// constants are those of the code that bound the page's rows where nothing is measured, by PACKAGE.NAME, in seconds, bytes or
// numbers. They are written down here, as most are not exported; a test holds each to its source.
var constants = map[string]float64{
	"config.defaultJournalMB": 8,
	"config.defaultKeep":      4,
	"config.defaultTerm":      3,
	"config.mostStewards":     7,
	"discovery.maxText":       1 << 20,
	"duty.fetchEach":          0.005,
	"fleet.gives":             8,
	"membership.MaxServers":   1 << 14,
	"peers.gossipEvery":       0.2,
	"peers.maxWord":           1 << 10,
	"peers.metaEach":          0.2,
	"peers.pullEvery":         10,
	"purge.slowestRound":      5,
	"quota.mostAsked":         256,
	"quota.mostBuckets":       4096,
	"quota.queued":            1024,
	"rules.pingEvery":         0.1,
	"rules.listGap":           0.08,
	"scale.changeEvery":       21.6,
	"scale.lossShare":         0.05,
	"scale.restartEvery":      18,
	"shardmap.askEvery":       3,
	"shared.MaxDocs":          1024,
	"shared.MaxTotal":         4 << 20,
	"shared.MaxValue":         64 << 10,
	"shared.fetchEach":        0.005,
	"shared.gives":            4,
	"shared.maxDelta":         4 << 10,
	"shared.wordEach":         0.05,
	"steward.callerIdle":      60,
	"steward.maxCallers":      2048,
	"verdict.maxObservers":    1024,
	"verdict.maxReport":       1000,
	"verdict.maxServers":      512,
	"verdict.mostEvery":       5,
}

// c is a constant of the code.
func c(name string) float64 {
	v, ok := constants[name]
	if !ok {
		panic("capacity: no constant " + name)
	}
	return v
}
