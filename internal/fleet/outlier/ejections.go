package outlier

import (
	"slices"
	"strings"
	"time"
)

// ejection is the ejection state of one server. An active ejection lasts from startedAt until no later than until. For an inactive one,
// until is the end of the most recent ejection, or zero if there was none.
type ejection struct {
	evidenceSince    time.Time // start of uninterrupted sufficient evidence; zero while the evidence is insufficient
	startedAt, until time.Time
	active           bool
	consecutive      int     // number of consecutive ejections and renewals, up to maxEjectionMultiplier
	finding          Finding // evidence for the most recent ejection or renewal
}

// changeKind is a transition of an ejection. Its value is the text of the log line.
type changeKind string

// The transitions of an ejection.
const (
	changeBegun   changeKind = "ejected"
	changeRenewed changeKind = "ejection renewed"
	changeCleared changeKind = "ejection cleared"
	changeExpired changeKind = "ejection expired"
)

// change is a transition of a server's ejection, with the state after it.
type change struct {
	server string
	kind   changeKind
	ejection
}

// ejections holds the ejection state of this pooler by server, or by tenant for hot tenants. It is not safe for concurrent use.
type ejections map[string]*ejection

// isEjected reports whether a server has an active ejection.
func (e ejections) isEjected(server string) bool { return e[server] != nil && e[server].active }

// update updates all ejections with the current findings and returns the changes, sorted by server. jitter, in the range [0, 1), lengthens
// ejections by up to a quarter.
func (e ejections) update(now time.Time, settings Settings, findings map[string]Finding, jitter float64) (changes []change) {
	for server, finding := range findings {
		if e[server] == nil && settings.shouldEject(finding, false) && len(e) < maxServers {
			e[server] = &ejection{}
		}
	}
	for server, state := range e {
		kind := state.update(now, settings, findings[server], jitter)
		if kind != "" {
			changes = append(changes, change{server, kind, *state})
		} else if state.isRemovable(now) {
			delete(e, server)
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return strings.Compare(a.server, b.server) })
	return changes
}

// update updates the ejection with the current finding and returns the change, or "" for none. An ejection begins once the evidence has
// been sufficient for confirmationDelay. The n-th consecutive one lasts for n times the base ejection time. When it is over, sufficient
// evidence renews it. It ends early if the evidence clears it.
func (e *ejection) update(now time.Time, settings Settings, finding Finding, jitter float64) changeKind {
	enough := settings.shouldEject(finding, e.active)
	switch {
	case !enough:
		e.evidenceSince = time.Time{}
	case e.evidenceSince.IsZero():
		e.evidenceSince = now
	}
	switch {
	case e.active && settings.shouldClear(finding):
		e.active, e.until = false, now
		return changeCleared
	case e.active && now.Before(e.until):
		return ""
	case enough && now.Sub(e.evidenceSince) >= confirmationDelay:
		return e.begin(now, settings, finding, jitter)
	case e.active:
		e.active = false
		return changeExpired
	}
	return ""
}

// begin begins an ejection, or renews an active one.
func (e *ejection) begin(now time.Time, settings Settings, finding Finding, jitter float64) changeKind {
	kind := changeBegun
	switch {
	case e.active:
		kind = changeRenewed
	case now.Sub(e.until) >= ejectionRetention:
		e.consecutive = 0
	}
	e.active = true
	e.consecutive = min(e.consecutive+1, maxEjectionMultiplier)
	e.startedAt = now
	e.finding = finding
	duration := float64(e.consecutive) * float64(settings.BaseEjectionTime) * (1 + jitter/4)
	e.until = now.Add(time.Duration(duration))
	return kind
}

// isRemovable reports whether the ejection ended at least ejectionRetention ago, so that the next one would not be consecutive.
func (e *ejection) isRemovable(now time.Time) bool {
	return !e.active && e.evidenceSince.IsZero() && now.Sub(e.until) >= ejectionRetention
}
