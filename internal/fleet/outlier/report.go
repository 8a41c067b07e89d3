package outlier

import (
	"encoding/json"
	"errors"
	"fmt"
)

// What a report may hold. A datagram carries it whole.
const (
	maxReportedServers = 12
	maxNameLength      = 128
	maxReportSize      = 1000 // bytes; peers.maxWord is the most that gossip passes on
)

// Observation is what an observer has seen of one server within its span.
type Observation struct {
	Server      string `json:"s"`
	Good        uint32 `json:"g,omitempty"`
	Failed      uint32 `json:"f,omitempty"`
	Slow        uint32 `json:"w,omitempty"`
	LostPrimary bool   `json:"l,omitempty"` // it was a group's primary and lost that place
}

// failureRate is the share of the attempts that the server failed or was slow at.
func (l Observation) failureRate() float64 {
	bad := float64(l.Failed) + float64(l.Slow)
	if bad == 0 {
		return 0
	}
	return bad / (bad + float64(l.Good))
}

// complains tells whether the line says that the server is bad.
func (l Observation) complains() bool { return l.failureRate() >= failureThreshold }

// isReportable tells whether the line is news by itself; any other is told only as an answer to one.
func (l Observation) isReportable() bool { return l.complains() || l.LostPrimary }

// weight is how much the line counts: what it rests on, up to the most that one observer may say.
func (l Observation) weight() float64 {
	n := min(l.Good, maxRecentAttempts) + min(l.Failed, maxRecentAttempts) + min(l.Slow, maxRecentAttempts)
	return float64(min(n, maxRecentAttempts))
}

// Report is all that an observer says, whole: a newer one takes the place of the one before it, so that reports may be lost,
// come twice or overtake each other. Who said it is told by the bus.
type Report struct {
	StartedAt int64  `json:"b"` // Unix ns of the observer's start: a restarted one is another, whose numbers begin anew
	Sequence  uint64 `json:"n"`
	SentAt    int64  `json:"t"` // Unix ns
	Zone      string `json:"r"` // the observer's zone
	// ServersSeen is the number of servers that it has evidence of, and Ill how many of them it complains of, told or not.
	ServersSeen int `json:"e"`
	Complaints  int `json:"i,omitempty"`
	// FailedAttempts of its last All attempts, up to recent at each server, failed or were slow, at servers told and others.
	FailedAttempts int           `json:"d,omitempty"`
	Attempts       int           `json:"a,omitempty"`
	Servers        []Observation `json:"l,omitempty"`
	// Tenants are lines on tenants: Failed stands for a tenant's own part of the observer's requests, Good for that of all others.
	Tenants []Observation `json:"h,omitempty"`
}

// before tells whether r is older than o.
func (r Report) before(o Report) bool {
	return r.StartedAt < o.StartedAt || r.StartedAt == o.StartedAt && r.Sequence < o.Sequence
}

// failureShareElsewhere is the share of the observer's attempts at all servers but one that failed or were slow; ok: there were any.
func (r Report) failureShareElsewhere(l Observation) (share float64, ok bool) {
	bad, all := float64(r.FailedAttempts)-float64(l.Failed)-float64(l.Slow), float64(r.Attempts)-float64(l.Good)-float64(l.Failed)-float64(l.Slow)
	if all < 1 || bad < 0 {
		return 0, false
	}
	return min(bad/all, 1), true
}

// encode writes a report, with fewer lines if it would be too long for a datagram: the last ones, which matter least, go.
func (r Report) encode() []byte {
	r.Servers = r.Servers[:min(len(r.Servers), maxReportedServers)]
	for {
		text, err := json.Marshal(r)
		if err != nil {
			panic(err) // it holds nothing that JSON lacks
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

// decode reads another pooler's report. What is wrong in any part is refused whole.
func decode(text []byte) (r Report, err error) {
	if len(text) > 2*maxReportSize {
		return r, errors.New("verdict: a report is too long")
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return Report{}, fmt.Errorf("verdict: a report can't be read: %w", err)
	}
	if len(r.Tenants) > maxReportedTenants || len(r.Servers) > maxReportedServers || len(r.Zone) > maxNameLength || r.ServersSeen < 0 || r.Complaints < 0 || r.FailedAttempts < 0 || r.FailedAttempts > r.Attempts || r.Complaints > r.ServersSeen || len(r.Servers) > r.ServersSeen {
		return Report{}, errors.New("verdict: a report's numbers don't fit each other")
	}
	for _, lines := range [][]Observation{r.Servers, r.Tenants} {
		seen := map[string]bool{}
		for _, l := range lines {
			if l.Server == "" || len(l.Server) > maxNameLength || seen[l.Server] {
				return Report{}, errors.New("verdict: a report names a server or tenant twice, or none")
			}
			seen[l.Server] = true
		}
	}
	if countComplaints(r.Servers) > r.Complaints {
		return Report{}, errors.New("verdict: a report complains of more servers than it says")
	}
	return r, nil
}
