package outlier

import "time"

// Settings are what the operators set.
type Settings struct {
	MinObservers     int           // that must complain of a server before it is ejected
	MinZones         int           // that these observers must be in
	MaxEjectedShare  float64       // of a group's members that may be ejected; one is always left
	BaseEjectionTime time.Duration // of a first ejection; the n-th in a row is n times as long, up to maxEjectionMultiplier
}

const (
	// failureThreshold is the share of an observer's attempts at a server, failed or slow, from which it complains of the server.
	failureThreshold = 0.5
	// minFailuresPerObserver times MinObservers bad attempts are needed for an ejection: two of each of three poolers, or one of each of
	// six that see less. Half as many renew an ejection, as few poolers probe an ejected server.
	minFailuresPerObserver = 2
	// minElsewhereObservers must see other servers for these to be a measure: one observer could be a liar.
	minElsewhereObservers = 3
	// sufficientReports times MinObservers reports are enough for one side: the loss of a few changes nothing.
	sufficientReports = 4
	// minClearingObservers with good answers end an ejection: one could be the only one whose link is good.
	minClearingObservers = 2
	// confirmationDelay is how long enough evidence must stand before an ejection, so that others can speak against it: SWIM's suspicion.
	confirmationDelay = 500 * time.Millisecond
	// maxEjectionMultiplier bounds an ejection's length, in base ejection times.
	maxEjectionMultiplier = 6
	// ejectionMemory is how long after the end of an ejection the next one is still a further one in a row.
	ejectionMemory = time.Minute
	// probeInterval is how long a few poolers may probe an ejected server before it is others' turn: each pooler's own probes are as far
	// apart.
	probeInterval = 3 * time.Second
	// minProbers times MinObservers poolers probe at a time, so that their evidence alone can renew an ejection; of a large fleet the
	// proberShare.
	minProbers  = 2
	proberShare = 1.0 / 20
)

const (
	minReportInterval = 500 * time.Millisecond
	maxReportInterval = 5 * time.Second
	// maxClockSkew is the most by which poolers' wall clocks are taken to differ. A report that is older than its lifetime and this is
	// refused: it waited in a stalled process's buffers, or a clock is wrong.
	maxClockSkew = 2 * time.Second
)

// reportInterval returns how often a pooler of a fleet of a size reports when it has something to report: each pooler then receives at
// most 50 reports a second in a fleet of up to 250, which take some 10 ms of processor time on a busy machine.
func reportInterval(fleetSize int) time.Duration {
	return min(max(time.Duration(fleetSize)*20*time.Millisecond, minReportInterval), maxReportInterval)
}

// reportLifetime returns how long a report counts unless a newer one comes: one of two may be lost.
func reportLifetime(fleetSize int) time.Duration { return reportInterval(fleetSize) * 5 / 2 }

// MaxStaleEjection returns the longest time for which any pooler of a fleet of a size may eject a server that is good again, whatever its
// clients see, without a single good answer: the last complaint is evidenceSpan old when it is reported, and counts for a report's
// lifetime, longer where clocks differ (twice the skew: one clock is ahead, and the report slow by as much); an ejection that begins or is
// renewed by it at its very end lasts for the longest ejection time and its jitter.
func (s Settings) MaxStaleEjection(fleetSize int) time.Duration {
	return evidenceSpan + reportLifetime(fleetSize) + 2*maxClockSkew + maxEjectionMultiplier*s.BaseEjectionTime*5/4
}
