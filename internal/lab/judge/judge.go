// Package judge decides what became of a fleet laboratory's requests, by what clients and stand-ins recorded, never by the
// poolers' word. It does no I/O.
package judge

import (
	"fmt"
	"time"
)

// Outcome is what a client got for a request.
type Outcome uint8

// The outcomes.
const (
	Served  Outcome = iota // the server's own answer
	Refused                // answered as refused: it was not run, a repeat is harmless
	Failed                 // answered as failed: it may have run
	Broken                 // the connection broke or a protocol error came instead of an answer
	Silent                 // nothing came within the client's patience and the slack
)

// Request is one request as its client saw it.
type Request struct {
	Pooler        int       `json:"Pooler"`
	BeganAt       time.Time `json:"Began"`
	EndedAt       time.Time `json:"Ended"`
	Outcome       Outcome   `json:"Outcome"`
	Write         bool      `json:"Write"`
	Keyed         bool      `json:"Keyed"`
	Cause         string    `json:"Cause"`         // of Broken and Failed, as the client was told
	MadeAt        int64     `json:"Made"`          // of a served read: when its stand-in made the answer, Unix ns; 0: it did not say
	WhileFaulting bool      `json:"WhileFaulting"` // set by Judge: its pooler was down or stalled meanwhile
}

// Outage is a time in which a pooler process could not answer: killed, ended by SIGTERM, or stopped. To is zero while it
// lasts.
type Outage struct {
	Pooler int       `json:"Pooler"`
	From   time.Time `json:"From"`
	To     time.Time `json:"To"`
}

// Verdict is the count of outcomes, those of requests excused by an outage apart, and the promises broken.
type Verdict struct {
	Served   int      `json:"Served"`
	Refused  int      `json:"Refused"`
	Failed   int      `json:"Failed"`
	Excused  int      `json:"Excused"`  // broken or silent while its pooler was out: the client's own pooler was gone
	Lost     int      `json:"Lost"`     // broken or silent while its pooler was up
	Overlaps int      `json:"Overlaps"` // attempts of one request at servers at once, as the stand-ins' ledger saw them
	Broken   []string `json:"Broken"`
}

// Judge weighs the requests; overlaps is what the servers' ledger counted. Every request of a pooler that was up all
// along must have had its one final answer in time; none may overlap another attempt of itself.
func Judge(requests []Request, outages []Outage, overlaps int) Verdict {
	v := Verdict{Overlaps: overlaps}
	causes := map[string]int{}
	for i := range requests {
		r := &requests[i]
		switch r.Outcome {
		case Served:
			v.Served++
			continue
		case Refused:
			v.Refused++
			continue
		case Failed:
			v.Failed++
			continue
		}
		if r.WhileFaulting = out(outages, *r); r.WhileFaulting {
			v.Excused++
			continue
		}
		v.Lost++
		causes[r.Cause]++
	}
	if v.Lost > 0 {
		v.Broken = append(v.Broken, fmt.Sprintf("%d requests lost while their poolers were up: %v", v.Lost, causes))
	}
	if overlaps > 0 {
		v.Broken = append(v.Broken, fmt.Sprintf("%d attempts overlapped an earlier one of the same request", overlaps))
	}
	return v
}

// out tells whether r's pooler was out at some time while r waited.
func out(outages []Outage, r Request) bool {
	for _, o := range outages {
		if o.Pooler == r.Pooler && o.From.Before(r.EndedAt) && (o.To.IsZero() || o.To.After(r.BeganAt)) {
			return true
		}
	}
	return false
}
