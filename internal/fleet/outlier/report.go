package outlier

import (
	"encoding/json"
	"errors"
	"fmt"
)

// The bounds of a report, which a datagram carries whole.
const (
	maxReportedServers = 12
	maxNameLength      = 128  // bytes
	maxReportSize      = 1000 // bytes; gossip passes on little more
)

// Observation is what an observer has seen of one server within evidenceSpan: attempts by their outcome.
type Observation struct {
	Server      string `json:"s"`
	Good        uint32 `json:"g,omitempty"`
	Failed      uint32 `json:"f,omitempty"`
	Slow        uint32 `json:"w,omitempty"`
	LostPrimary bool   `json:"l,omitempty"` // the server was its group's primary and lost that place
}

// bad returns how many attempts failed or were slow.
func (o Observation) bad() float64 { return float64(o.Failed) + float64(o.Slow) }

// failureRate returns the share of the attempts that failed or were slow.
func (o Observation) failureRate() float64 {
	if o.bad() == 0 {
		return 0
	}
	return o.bad() / (o.bad() + float64(o.Good))
}

// complains reports whether the observation says that the server is bad.
func (o Observation) complains() bool { return o.failureRate() >= failureThreshold }

// isReportable reports whether the observation is reported by itself; any other is reported only in answer to one.
func (o Observation) isReportable() bool { return o.complains() || o.LostPrimary }

// weight returns how much the observation counts: its attempts, up to the most that one observer may count for.
func (o Observation) weight() float64 {
	attempts := min(o.Good, maxRecentAttempts) + min(o.Failed, maxRecentAttempts) + min(o.Slow, maxRecentAttempts)
	return float64(min(attempts, maxRecentAttempts))
}

// Report is all that an observer reports. A newer one replaces the one before it, so that reports may be lost, come twice or overtake
// each other. Its sender is known from the bus.
type Report struct {
	StartedAt int64  `json:"b"` // Unix ns of the observer's start: a restarted one is another, whose numbers begin anew
	Sequence  uint64 `json:"n"`
	SentAt    int64  `json:"t"` // Unix ns
	Zone      string `json:"r"` // the observer's
	// ServersSeen is of how many servers the observer has evidence, and Complaints of how many it complains, reported or not.
	ServersSeen int `json:"e"`
	Complaints  int `json:"i,omitempty"`
	// FailedAttempts of the observer's last Attempts, up to maxRecentAttempts at each server, failed or were slow, at servers reported
	// or not.
	FailedAttempts int           `json:"d,omitempty"`
	Attempts       int           `json:"a,omitempty"`
	Servers        []Observation `json:"l,omitempty"`
	// Tenants are observations of tenants: Failed is a tenant's own part of the observer's requests, Good that of all others.
	Tenants []Observation `json:"h,omitempty"`
}

// before reports whether r is older than other, of the same observer.
func (r Report) before(other Report) bool {
	return r.StartedAt < other.StartedAt || r.StartedAt == other.StartedAt && r.Sequence < other.Sequence
}

// failureShareElsewhere returns the share of the observer's attempts at all servers but one that failed or were slow; ok: there were any.
func (r Report) failureShareElsewhere(of Observation) (share float64, ok bool) {
	bad := float64(r.FailedAttempts) - of.bad()
	attempts := float64(r.Attempts) - float64(of.Good) - of.bad()
	if attempts < 1 || bad < 0 {
		return 0, false
	}
	return min(bad/attempts, 1), true
}

// encode encodes a report. What would be too long for a datagram is left out: tenants, then the last servers, which matter least.
func (r Report) encode() []byte {
	r.Servers = r.Servers[:min(len(r.Servers), maxReportedServers)]
	for {
		text, err := json.Marshal(r)
		if err != nil {
			panic(err) // its types are those that JSON can always hold
		}
		switch {
		case len(text) <= maxReportSize || len(r.Servers)+len(r.Tenants) == 0:
			return text
		case len(r.Tenants) > 0:
			r.Tenants = r.Tenants[:len(r.Tenants)-1]
		default:
			r.Servers = r.Servers[:len(r.Servers)-1]
		}
	}
}

// What is wrong with a report.
var (
	errReportTooLong    = errors.New("outlier: report is too long")
	errReportMalformed  = errors.New("outlier: report can't be decoded")
	errReportNumbers    = errors.New("outlier: numbers of a report contradict each other")
	errReportNames      = errors.New("outlier: report names a server or tenant twice, or none")
	errReportComplaints = errors.New("outlier: report complains of more servers than it counts")
)

// decode decodes another pooler's report. A report that is wrong in any part is refused whole.
func decode(text []byte) (Report, error) {
	if len(text) > 2*maxReportSize {
		return Report{}, errReportTooLong
	}
	var r Report
	if err := json.Unmarshal(text, &r); err != nil {
		return Report{}, fmt.Errorf("%w: %w", errReportMalformed, err)
	}
	if err := r.validate(); err != nil {
		return Report{}, err
	}
	return r, nil
}

// validate returns what no observer can have counted.
func (r Report) validate() error {
	tooLong := len(r.Tenants) > maxReportedTenants || len(r.Servers) > maxReportedServers || len(r.Zone) > maxNameLength
	negative := r.ServersSeen < 0 || r.Complaints < 0 || r.FailedAttempts < 0
	contradictory := r.FailedAttempts > r.Attempts || r.Complaints > r.ServersSeen || len(r.Servers) > r.ServersSeen
	switch {
	case tooLong || negative || contradictory:
		return errReportNumbers
	case !validNames(r.Servers) || !validNames(r.Tenants):
		return errReportNames
	case countComplaints(r.Servers) > r.Complaints:
		return errReportComplaints
	}
	return nil
}

// validNames reports whether each observation has a name of its own.
func validNames(observations []Observation) bool {
	seen := map[string]bool{}
	for _, o := range observations {
		if o.Server == "" || len(o.Server) > maxNameLength || seen[o.Server] {
			return false
		}
		seen[o.Server] = true
	}
	return true
}

// countComplaints returns how many observations complain.
func countComplaints(observations []Observation) (n int) {
	for _, o := range observations {
		if o.complains() {
			n++
		}
	}
	return n
}
