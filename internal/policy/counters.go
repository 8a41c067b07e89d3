package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// counterLogInterval is how often the counters are logged. A line costs as much processor time
	// as a request or two.
	counterLogInterval = 5 * time.Second
	// countersPerLine keeps a line within the length that a log takes.
	countersPerLine = 4
)

// probeReason is why a probe is sent, as the log has it.
type probeReason string

// The reasons of probes.
const (
	probeForPing     probeReason = "ping"     // the recorded primary's steady ping
	probeForRound    probeReason = "round"    // a round finds the primary
	probeForPosition probeReason = "position" // a read may need the position
	probeForRefresh  probeReason = "refresh"  // queued reads need the position
	probeForTrial    probeReason = "trial"    // an ejected server must answer before it is tried
)

// reasonCounters counts by reason the probes that were sent and the requests that were not served
// since the last log lines, so that the logs of a fleet can be added up. Nothing is decided by
// them.
type reasonCounters struct {
	loggedAt time.Duration
	counts   map[string]int
}

// countReason counts one event, and logs the counters when they are due.
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

// logCounters logs the counters, sorted by their reasons, and starts them anew.
func (r *Router) logCounters() {
	c := &r.counters
	entries := make([]string, 0, len(c.counts))
	for reason, count := range c.counts {
		entries = append(entries, fmt.Sprintf("%s=%d", reason, count))
	}
	slices.Sort(entries)
	for line := range slices.Chunk(entries, countersPerLine) {
		r.actions.Log("ledger: " + strings.Join(line, " "))
	}
	c.loggedAt = r.now
	clear(c.counts)
}

// sendProbe probes a server and counts the reason.
func (r *Router) sendProbe(s *server, reason probeReason) {
	r.actions.Probe(s.ID)
	r.countReason("probe-" + string(reason))
}

// countUnserved counts why a request that gets its final answer now has found no server.
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
		r.countReason(reason + "-" + r.primaryObstacle(req))
		return
	}
	var obstacles []string
	for _, s := range req.group.members {
		if s != req.group.primary {
			obstacles = append(obstacles, r.obstacle(req, s))
		}
	}
	slices.Sort(obstacles)
	r.countReason(reason + "-" + strings.Join(slices.Compact(obstacles), "+"))
}

// primaryObstacle names what keeps the recorded primary from taking a request.
func (r *Router) primaryObstacle(req *request) string {
	if req.group.primary == nil {
		return "noprimary"
	}
	return r.obstacle(req, req.group.primary)
}

// obstacle names what keeps a server from taking a request.
func (r *Router) obstacle(req *request, s *server) string {
	switch {
	case s.State != Ready:
		return "drain"
	case s.health.unreachable:
		return "unreach"
	case s.ejection.ejected:
		return "lost"
	case s != req.group.primary && !r.freshEnough(req, s):
		return "stale"
	case r.now < s.pause.until:
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
