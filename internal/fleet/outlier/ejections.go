package outlier

import (
	"slices"
	"strings"
	"time"
)

// ejection is what this pooler holds of one server that has been, or may be, ejected. What holds: it is active from startedAt up to until
// at the most, and until is that of the last one where it is not.
type ejection struct {
	evidenceSince    time.Time // since when there is enough evidence without a break; the zero time: there is not
	startedAt, until time.Time
	active           bool
	consecutive      int // ejections in a row
	finding          Finding
}

// changeKind is what happens to an ejection.
type changeKind string

// The kinds of changes, as the log names them.
const (
	changeBegun   changeKind = "ejected"
	changeRenewed changeKind = "ejection renewed"
	changeCleared changeKind = "ejection cleared"
	changeExpired changeKind = "ejection expired"
)

// change is an ejection that begins, is renewed or ends.
type change struct {
	server string
	kind   changeKind
	ejection
}

// ejections are those of this pooler by server, or by hot tenant. It is not safe for use by several goroutines.
type ejections map[string]*ejection

// isEjected reports whether a server's ejection is in force.
func (e ejections) isEjected(server string) bool { return e[server] != nil && e[server].active }

// update takes in the current findings, and returns what has changed, by server. jitter, from 0 up to 1, lengthens ejections by up to a
// quarter.
func (e ejections) update(now time.Time, settings Settings, findings map[string]Finding, jitter float64) (changes []change) {
	for server, finding := range findings {
		if e[server] == nil && settings.shouldEject(finding, false) && len(e) < maxServers {
			e[server] = &ejection{}
		}
	}
	for server, one := range e {
		kind := one.update(now, settings, findings[server], jitter)
		if kind != "" {
			changes = append(changes, change{server, kind, *one})
		} else if one.isForgotten(now) {
			delete(e, server)
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return strings.Compare(a.server, b.server) })
	return changes
}

// update takes in the current finding. An ejection begins once enough evidence has stood for confirmationDelay, lasts for the base
// ejection time as many times as it is the n-th in a row, is renewed by evidence that stands then, and ends early where it is cleared.
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

// begin begins an ejection, or renews the one in force.
func (e *ejection) begin(now time.Time, settings Settings, finding Finding, jitter float64) changeKind {
	kind := changeBegun
	switch {
	case e.active:
		kind = changeRenewed
	case now.Sub(e.until) >= ejectionMemory:
		e.consecutive = 0
	}
	e.active = true
	e.consecutive = min(e.consecutive+1, maxEjectionMultiplier)
	e.startedAt = now
	e.finding = finding
	length := float64(e.consecutive) * float64(settings.BaseEjectionTime) * (1 + jitter/4)
	e.until = now.Add(time.Duration(length))
	return kind
}

// isForgotten reports whether the ejection is over for so long that the next one is a first one.
func (e *ejection) isForgotten(now time.Time) bool {
	return !e.active && e.evidenceSince.IsZero() && now.Sub(e.until) >= ejectionMemory
}
