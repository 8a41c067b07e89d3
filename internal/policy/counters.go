package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// counterLogInterval is the minimum interval between two logs of the counters. Logging a line
	// takes as much CPU time as one or two requests.
	counterLogInterval = 5 * time.Second
	// countersPerLine is the maximum number of counters in a line, which limits its length.
	countersPerLine = 4
)

// probeReason is the reason for a probe, as it appears in the log.
type probeReason string

// The reasons for probes.
const (
	probeForPing     probeReason = "ping"     // periodic ping of the recorded primary
	probeForRound    probeReason = "round"    // probe round of a group without a recorded primary
	probeForPosition probeReason = "position" // position of a replica that a read may need
	probeForRefresh  probeReason = "refresh"  // positions of the replicas of a group with queued reads
	probeForTrial    probeReason = "trial"    // unreachable ejected server, before a trial request
)

// reasonCounters counts the probes sent and the requests not served, by reason, since the counters
// were last logged. The logs of all poolers can be added up. No decision reads the counters.
type reasonCounters struct {
	loggedAt time.Duration
	counts   map[string]int
}

// countReason increments the counter of a reason and logs the counters if counterLogInterval has
// passed.
func (r *Router) countReason(reason string) {
	c := &r.counters
	if c.counts == nil {
		c.loggedAt = r.now
		c.counts = map[string]int{}
	}
	c.counts[reason]++
	if r.now < c.loggedAt+counterLogInterval {
		return
	}
	r.logCounters()
}

// logCounters logs the counters, sorted by reason, and resets them.
func (r *Router) logCounters() {
	c := &r.counters
	entries := make([]string, 0, len(c.counts))
	for reason, count := range c.counts {
		entries = append(entries, fmt.Sprintf("%s=%d", reason, count))
	}
	slices.Sort(entries)
	for line := range slices.Chunk(entries, countersPerLine) {
		r.actions.Log("counters: " + strings.Join(line, " "))
	}
	c.loggedAt = r.now
	clear(c.counts)
}

// sendProbe sends a probe to a server and counts the reason.
func (r *Router) sendProbe(s *server, reason probeReason) {
	r.actions.Probe(s.ID)
	r.countReason("probe-" + string(reason))
}

// countUnserved counts the reasons why a request that is being rejected or failed was not served.
func (r *Router) countUnserved(req *request) {
	reason := "end-" + req.class.Name
	if len(req.attempts) > 0 {
		if req.inFlight > 0 {
			r.countReason(reason + "-waiting")
			return
		}
		reason += "-again"
	}
	if req.class.needsPrimary() {
		r.countReason(reason + "-" + r.primaryBlockingReason(req))
		return
	}
	var blockingReasons []string
	for _, s := range req.group.members {
		if s != req.group.primary {
			blockingReasons = append(blockingReasons, r.blockingReason(req, s))
		}
	}
	slices.Sort(blockingReasons)
	r.countReason(reason + "-" + strings.Join(slices.Compact(blockingReasons), "+"))
}

// primaryBlockingReason returns the reason why the recorded primary cannot take a request.
func (r *Router) primaryBlockingReason(req *request) string {
	if req.group.primary == nil {
		return "noprimary"
	}
	return r.blockingReason(req, req.group.primary)
}

// blockingReason returns the reason why a server cannot take a request, or "free" if there is none.
func (r *Router) blockingReason(req *request, s *server) string {
	switch {
	case s.State != Ready:
		return "drain"
	case s.health.unreachable:
		return "unreach"
	case s.ejection.ejected:
		return "lost"
	case s != req.group.primary && !r.freshEnough(req, s):
		return "stale"
	case r.now < s.backoff.until:
		return "paused"
	case float64(s.outstanding.count()) >= s.window.limit():
		return "window"
	case r.inSlowStart(s) && !r.slowStartAllows(s, req.classIndex):
		return "cold"
	case !r.hasCapacity(s, req.classIndex):
		return "rest"
	}
	return "free"
}
