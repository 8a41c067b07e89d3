package outlier

import "time"

// Settings holds the operator's settings for outlier detection.
type Settings struct {
	MinObservers     int           // minimum number of observers that must complain about a server before it is ejected
	MinZones         int           // minimum number of zones in which these observers must be
	MaxEjectedShare  float64       // maximum share of a group's members that may be ejected; at least one member always remains
	BaseEjectionTime time.Duration // duration of a first ejection; the n-th consecutive one lasts n times as long, up to maxEjectionMultiplier
}

const (
	// failureThreshold is the share of failed or slow attempts from which an observer complains about a server.
	failureThreshold = 0.5
	// minFailuresPerObserver, multiplied by MinObservers, is the number of failed or slow attempts that an ejection needs: with the factor
	// 2, two from each of three poolers, or one from each of six with less traffic. One for each of MinObservers renews an ejection, as only
	// a few poolers probe an ejected server.
	minFailuresPerObserver = 2
	// minElsewhereObservers is the minimum number of observers with evidence about other servers for a failure rate elsewhere. A single
	// observer could report false numbers.
	minElsewhereObservers = 3
	// sufficientReports, multiplied by MinObservers, is the number of agreeing reports that suffices, so that losing a few has no effect.
	sufficientReports = 4
	// minClearingObservers is the minimum number of satisfied observers that ends an ejection early. A single one could be the only pooler
	// with a good link.
	minClearingObservers = 2
	// confirmationDelay is how long the evidence must be sufficient before an ejection begins, so that other observers can contradict it, as
	// in the suspicion mechanism of SWIM.
	confirmationDelay = 500 * time.Millisecond
	// maxEjectionMultiplier is the maximum duration of an ejection, in base ejection times and before jitter.
	maxEjectionMultiplier = 6
	// ejectionRetention is the time after the end of an ejection within which the next one still counts as consecutive.
	ejectionRetention = time.Minute
	// probeInterval is how long a set of poolers probes an ejected server before another set takes over. It equals the interval between a
	// pooler's own probes.
	probeInterval = 3 * time.Second
	// minProbers, multiplied by MinObservers, is the minimum number of poolers that probe an ejected server at a time, so that their
	// evidence alone can renew the ejection. In a large fleet the number is the proberShare of the poolers.
	minProbers  = 2
	proberShare = 1.0 / 20
)

const (
	minReportInterval = 500 * time.Millisecond
	maxReportInterval = 5 * time.Second
	// maxClockSkew is the assumed maximum difference between the poolers' wall clocks. A report older than its lifetime and maxClockSkew
	// together is rejected: it was buffered in a stalled process, or a clock is wrong.
	maxClockSkew = 2 * time.Second
)

// reportInterval returns the mean time between the reports of one pooler while it has something to report. In a fleet of up to 250 poolers
// each then receives at most 50 reports a second, which take about 10 ms of processor time on a busy machine.
func reportInterval(fleetSize int) time.Duration {
	return min(max(time.Duration(fleetSize)*20*time.Millisecond, minReportInterval), maxReportInterval)
}

// reportLifetime returns how long a report counts unless a newer one replaces it. It spans two reports, so that one of them may be lost.
func reportLifetime(fleetSize int) time.Duration { return reportInterval(fleetSize) * 5 / 2 }

// MaxStaleEjection returns the maximum time for which any pooler of a fleet may eject a server after it has recovered, even if no pooler
// gets a good answer from it. It is the sum of the following: the evidence of the last complaint may be evidenceWindow old when it is
// reported; the report counts for its lifetime, and for up to twice maxClockSkew longer, if the sender's clock is ahead and the report is
// delayed by as much; and an ejection that begins or is renewed just before the report expires lasts for the maximum ejection time and its
// jitter.
func (s Settings) MaxStaleEjection(fleetSize int) time.Duration {
	return evidenceWindow + reportLifetime(fleetSize) + 2*maxClockSkew + maxEjectionMultiplier*s.BaseEjectionTime*5/4
}
