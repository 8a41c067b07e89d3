package policy

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// counterLogInterval is how often a front tells its log what it could not serve and what its probes were for. A line costs
// as much processor time as a request or two.
const (
	counterLogInterval = 5 * time.Second
	countersPerLine    = 4
)

// reasonCounters counts what went wrong since its last line, so that the logs of a fleet can be added up. It decides nothing.
type reasonCounters struct {
	loggedAt time.Duration
	counts   map[string]int
}

// countReason counts one event and, now and then, writes the line.
func (r *Router) countReason(what string) {
	l := &r.counters
	if l.counts == nil {
		l.loggedAt, l.counts = r.now, map[string]int{}
	}
	l.counts[what]++
	if r.now < l.loggedAt+counterLogInterval {
		return
	}
	words := make([]string, 0, len(l.counts))
	for k, n := range l.counts {
		words = append(words, fmt.Sprintf("%s=%d", k, n))
	}
	slices.Sort(words)
	for line := range slices.Chunk(words, countersPerLine) { // the log bounds its lines
		r.actions.Log("ledger: " + strings.Join(line, " "))
	}
	l.loggedAt = r.now
	clear(l.counts)
}

// sendProbe asks a store and counts what for.
func (r *Router) sendProbe(s *server, why string) {
	r.actions.Probe(s.ID)
	r.countReason("probe-" + why)
}

// countRejection says why a request that is given up now has found no store.
func (r *Router) countRejection(q *request) {
	what := "end-" + q.classSettings.Name
	switch n := len(q.attempts); {
	case n > 0 && q.inFlight > 0:
		r.countReason(what + "-waiting")
		return
	case n > 0:
		what += "-again"
	}
	if q.classSettings.Access == Write || q.classSettings.Access == ReadLatest {
		if p := q.group.primary; p == nil {
			what += "-noprimary"
		} else {
			what += "-" + r.rejectionReason(q, p)
		}
		r.countReason(what)
		return
	}
	var all []string
	for _, s := range q.group.members {
		if s != q.group.primary {
			all = append(all, r.rejectionReason(q, s))
		}
	}
	slices.Sort(all)
	r.countReason(what + "-" + strings.Join(slices.Compact(all), "+"))
}

// rejectionReason names what keeps a store from taking a request.
func (r *Router) rejectionReason(q *request, s *server) string {
	switch {
	case s.State != Ready:
		return "drain"
	case s.unreachable:
		return "unreach"
	case s.ejected:
		return "lost"
	case s != q.group.primary && !r.freshEnough(q, s):
		return "stale"
	case r.now < s.pausedUntil:
		return "paused"
	case float64(len(s.inFlight)) >= max(s.window, 1):
		return "window"
	case r.inSlowStart(s) && !r.slowStartAllows(s, q.classIndex):
		return "cold"
	case !r.hasCapacity(s, q.classIndex):
		return "rest"
	}
	return "free"
}
