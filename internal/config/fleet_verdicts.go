package config

import (
	"errors"
	"time"
)

// Defaults of the fleet's verdicts.
const (
	defaultObservers   = 3 // one that lies and one with a bad link convict nobody
	defaultRooms       = 2
	defaultShare       = 0.5 // Envoy's panic threshold, from the other side
	defaultVerdictTerm = 5 * time.Second
)

// VerdictsPart is how the fleet finds bad servers out together; Enabled false: each pooler goes by its own evidence.
type VerdictsPart struct {
	Enabled   bool
	Observers int           // poolers that must complain of a server
	Rooms     int           // zones that these must be in
	Share     float64       // of a group's members that may be left at once
	Term      time.Duration // of a first verdict
}

// verdictsFile is the form of the verdicts' object in the file of the fleet.
type verdictsFile struct {
	Enabled   bool     `json:"enabled"`
	Observers *int     `json:"observers"`
	Rooms     *int     `json:"rooms"`
	Share     *float64 `json:"share"`
	TermMs    float64  `json:"term_ms"`
}

// Bounds of the fleet's verdicts.
const (
	leastObservers   = 2
	mostObservers    = 100
	mostShare        = 0.9
	leastVerdictTerm = time.Second
	mostVerdictTerm  = 5 * time.Minute
)

// part fills in defaults and checks the part. Errors have the path of their key.
func (f verdictsFile) part() (VerdictsPart, error) {
	p := VerdictsPart{
		Enabled:   f.Enabled,
		Observers: defaultObservers,
		Rooms:     defaultRooms,
		Share:     defaultShare,
		Term:      or(Milliseconds(f.TermMs), defaultVerdictTerm),
	}
	if f.Observers != nil {
		p.Observers = *f.Observers
	}
	if f.Rooms != nil {
		p.Rooms = *f.Rooms
	}
	if f.Share != nil {
		p.Share = *f.Share
	}
	switch {
	case p.Observers < leastObservers || p.Observers > mostObservers:
		return p, atPath(errors.New("verdicts.observers: not from 2 to 100: one alone convicts nobody"), "verdicts", "observers")
	case p.Rooms < 1 || p.Rooms > p.Observers:
		return p, atPath(errors.New("verdicts.rooms: not from 1 to verdicts.observers"), "verdicts", "rooms")
	case !(p.Share > 0 && p.Share <= mostShare):
		return p, atPath(errors.New("verdicts.share: not above 0 and up to 0.9"), "verdicts", "share")
	}
	return p, atPath(within("verdicts.term_ms", p.Term, leastVerdictTerm, mostVerdictTerm), "verdicts", "term_ms")
}
