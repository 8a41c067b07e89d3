package outlier

import (
	"slices"
	"strings"
	"time"
)

// ejection is one server's standing with this pooler.
type ejection struct {
	evidenceSince    time.Time // enough evidence has stood from then on; zero: there is not enough
	startedAt, until time.Time // of the verdict in force, or the last one
	active           bool
	consecutive      int // verdicts in a row
	finding          Finding
}

// change is a verdict that begins, is renewed or ends.
type change struct {
	server string
	kind   string
	ejection
}

// What a change tells.
const (
	changeBegun    = "convicted"
	changeRenewed  = "renewed"
	changeCleared  = "acquitted"
	changeExpired  = "over"
	ejectionMemory = time.Minute // a verdict that ended so long ago makes the next one a first one
)

// ejections are those of this pooler, by server. The caller holds its mutex.
type ejections map[string]*ejection

// update takes in what the evidence says now, and returns what has changed, by server. A verdict begins once enough evidence has
// stood for hold, lasts for its term, a longer one each time, and ends before where an appeal has been heard.
func (vs ejections) update(now time.Time, r Settings, found map[string]Finding, spread float64) (out []change) {
	for server, f := range found {
		if vs[server] == nil && r.shouldEject(f, false) && len(vs) < maxServers {
			vs[server] = &ejection{}
		}
	}
	for server, v := range vs {
		f := found[server]
		enough := r.shouldEject(f, v.active)
		switch {
		case !enough:
			v.evidenceSince = time.Time{}
		case v.evidenceSince.IsZero():
			v.evidenceSince = now
		}
		what := ""
		switch {
		case v.active && r.shouldClear(f):
			v.active, v.until, what = false, now, changeCleared
		case v.active && now.Before(v.until):
		case enough && now.Sub(v.evidenceSince) >= confirmationDelay:
			if what = changeBegun; v.active {
				what = changeRenewed
			} else if now.Sub(v.until) >= ejectionMemory {
				v.consecutive = 0
			}
			v.active, v.consecutive, v.startedAt, v.finding = true, min(v.consecutive+1, maxEjectionMultiplier), now, f
			v.until = now.Add(time.Duration(float64(v.consecutive) * float64(r.BaseEjectionTime) * (1 + spread/4)))
		case v.active:
			v.active, what = false, changeExpired
		case v.evidenceSince.IsZero() && now.Sub(v.until) >= ejectionMemory:
			delete(vs, server)
		}
		if what != "" {
			out = append(out, change{server, what, *v})
		}
	}
	slices.SortFunc(out, func(a, b change) int { return strings.Compare(a.server, b.server) })
	return out
}

// isEjected tells whether a verdict on a server is in force.
func (vs ejections) isEjected(server string) bool { return vs[server] != nil && vs[server].active }
