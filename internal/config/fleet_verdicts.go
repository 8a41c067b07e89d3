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

// verdictsFile is its object in the file of the fleet.
type verdictsFile struct {
	Enabled   bool
	Observers *int
	Rooms     *int
	Share     *float64
	TermMs    float64 `json:"term_ms"`
}

// part fills defaults in. An error comes with the key that it is about.
func (f verdictsFile) part() (p VerdictsPart, key string, err error) {
	p = VerdictsPart{Enabled: f.Enabled, Observers: defaultObservers, Rooms: defaultRooms, Share: defaultShare, Term: or(Milliseconds(f.TermMs), defaultVerdictTerm)}
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
	case p.Observers < 2 || p.Observers > 100:
		return p, "observers", errors.New("verdicts.observers: not from 2 to 100: one alone convicts nobody")
	case p.Rooms < 1 || p.Rooms > p.Observers:
		return p, "rooms", errors.New("verdicts.rooms: not from 1 to verdicts.observers")
	case !(p.Share > 0 && p.Share <= 0.9):
		return p, "share", errors.New("verdicts.share: not above 0 and up to 0.9")
	}
	return p, "term_ms", bounds("verdicts.term_ms", p.Term, time.Second, 5*time.Minute)
}
