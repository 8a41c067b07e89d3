package outlier

import (
	"encoding/json"
	"errors"
	"fmt"
)

// The limits of a report, which must fit into a single datagram.
const (
	maxReportedServers = 12
	maxNameLength      = 128  // bytes
	maxReportSize      = 1000 // bytes; the gossip layer forwards messages only slightly larger than this
)

// Observation is an observer's evidence about one server within evidenceWindow: its attempts, counted by outcome.
type Observation struct {
	Server      string `json:"s"`
	Good        uint32 `json:"g,omitempty"`
	Failed      uint32 `json:"f,omitempty"`
	Slow        uint32 `json:"w,omitempty"`
	LostPrimary bool   `json:"l,omitempty"` // the observer no longer regards the server as the primary of its group
}

// failedOrSlow returns how many attempts failed or were slow.
func (o Observation) failedOrSlow() float64 { return float64(o.Failed) + float64(o.Slow) }

// failureRate returns the share of the attempts that failed or were slow.
func (o Observation) failureRate() float64 {
	if o.failedOrSlow() == 0 {
		return 0
	}
	return o.failedOrSlow() / (o.failedOrSlow() + float64(o.Good))
}

// complains reports whether the observation is a complaint: the failure rate has reached failureThreshold.
func (o Observation) complains() bool { return o.failureRate() >= failureThreshold }

// isReportable reports whether the observation is a reason to send a report. Any other is reported only if another observer has reported
// the server, or it is ejected.
func (o Observation) isReportable() bool { return o.complains() || o.LostPrimary }

// weight returns the weight of the observation: its number of attempts, at most maxRecentAttempts.
func (o Observation) weight() float64 {
	attempts := min(o.Good, maxRecentAttempts) + min(o.Failed, maxRecentAttempts) + min(o.Slow, maxRecentAttempts)
	return float64(min(attempts, maxRecentAttempts))
}

// Report is the message with which an observer broadcasts its evidence. A newer report replaces the previous one entirely, so that reports
// may be lost, duplicated or reordered. The observer's name is the sender given by the bus.
type Report struct {
	StartedAt int64  `json:"b"` // start time of the observer in Unix ns; Sequence begins anew with each start
	Sequence  uint64 `json:"n"`
	SentAt    int64  `json:"t"` // Unix ns
	Zone      string `json:"r"` // zone of the observer
	// ServersSeen is the number of servers for which the observer has evidence, and Complaints the number that it complains about. Both
	// include servers that the report omits.
	ServersSeen int `json:"e"`
	Complaints  int `json:"i,omitempty"`
	// FailedAttempts is the number of the observer's recent Attempts that failed or were slow. Both count up to maxRecentAttempts at each
	// server and include servers that the report omits.
	FailedAttempts int           `json:"d,omitempty"`
	Attempts       int           `json:"a,omitempty"`
	Servers        []Observation `json:"l,omitempty"`
	// Tenants holds observations of tenants: Failed represents a tenant's share of the observer's requests, Good the share of all others.
	Tenants []Observation `json:"h,omitempty"`
}

// before reports whether r is older than other, a report of the same observer.
func (r Report) before(other Report) bool {
	return r.StartedAt < other.StartedAt || r.StartedAt == other.StartedAt && r.Sequence < other.Sequence
}

// failureRateElsewhere returns the share of the observer's attempts that failed or were slow at all servers other than the observed one.
// ok is false if there were none, or if the numbers are inconsistent.
func (r Report) failureRateElsewhere(observation Observation) (share float64, ok bool) {
	failedOrSlow := float64(r.FailedAttempts) - observation.failedOrSlow()
	attempts := float64(r.Attempts) - float64(observation.Good) - observation.failedOrSlow()
	if attempts < 1 || failedOrSlow < 0 {
		return 0, false
	}
	return min(failedOrSlow/attempts, 1), true
}

// encode encodes a report in at most maxReportSize bytes. To fit, it omits tenants first and then servers, both from the end of the list,
// where the least important ones are.
func (r Report) encode() []byte {
	r.Servers = r.Servers[:min(len(r.Servers), maxReportedServers)]
	for {
		encoded, err := json.Marshal(r)
		if err != nil {
			panic(err) // cannot happen: all field types can be encoded as JSON
		}
		switch {
		case len(encoded) <= maxReportSize || len(r.Servers)+len(r.Tenants) == 0:
			return encoded
		case len(r.Tenants) > 0:
			r.Tenants = r.Tenants[:len(r.Tenants)-1]
		default:
			r.Servers = r.Servers[:len(r.Servers)-1]
		}
	}
}

// Errors returned by decode.
var (
	errReportTooLong    = errors.New("outlier: encoded report exceeds the maximum size")
	errReportMalformed  = errors.New("outlier: report is not valid JSON")
	errReportNumbers    = errors.New("outlier: report has inconsistent or out-of-range numbers")
	errReportNames      = errors.New("outlier: report has an empty, overlong or duplicate server or tenant name")
	errReportComplaints = errors.New("outlier: report lists more complaints than its complaint count")
)

// decode decodes and validates a report received from another pooler. Any invalid part makes the whole report invalid.
func decode(encoded []byte) (Report, error) {
	if len(encoded) > 2*maxReportSize {
		return Report{}, errReportTooLong
	}
	var r Report
	if err := json.Unmarshal(encoded, &r); err != nil {
		return Report{}, fmt.Errorf("%w: %w", errReportMalformed, err)
	}
	if err := r.validate(); err != nil {
		return Report{}, err
	}
	return r, nil
}

// validate returns an error if no observer can have produced the report.
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

// validNames reports whether the names in the observations are unique, not empty and at most maxNameLength long.
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

// countComplaints returns the number of observations that are complaints.
func countComplaints(observations []Observation) (n int) {
	for _, o := range observations {
		if o.complains() {
			n++
		}
	}
	return n
}
