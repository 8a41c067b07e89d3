package config

import (
	"errors"
	"time"
)

// Defaults of outlier detection.
const (
	defaultMinObservers    = 3 // one that lies and one with a bad link eject no server
	defaultMinZones        = 2
	defaultMaxEjectedShare = 0.5 // Envoy's panic threshold, from the other side
	defaultEjectionTime    = 5 * time.Second
)

// OutlierConfig is how the fleet detects bad servers together; unless Enabled, each pooler goes by its own observations.
type OutlierConfig struct {
	Enabled         bool
	MinObservers    int           // poolers that must report a server
	MinZones        int           // zones in which these poolers must be
	MaxEjectedShare float64       // of a group's members that may be ejected at once, above 0 and up to 0.9
	EjectionTime    time.Duration // of a first ejection
}

// outlierForm is the form of the object "verdicts".
type outlierForm struct {
	Enabled         bool     `json:"enabled"`
	MinObservers    *int     `json:"observers"`
	MinZones        *int     `json:"rooms"`
	MaxEjectedShare *float64 `json:"share"`
	EjectionTimeMs  float64  `json:"term_ms"`
}

// Bounds of outlier detection.
const (
	minObservers    = 2
	maxObservers    = 100
	maxEjectedShare = 0.9
	minEjectionTime = time.Second
	maxEjectionTime = 5 * time.Minute
)

// outliers fills in defaults and checks the part. Errors have the path of their key.
func (f outlierForm) outliers() (OutlierConfig, error) {
	p := OutlierConfig{
		Enabled:         f.Enabled,
		MinObservers:    defaultMinObservers,
		MinZones:        defaultMinZones,
		MaxEjectedShare: defaultMaxEjectedShare,
		EjectionTime:    firstSet(Milliseconds(f.EjectionTimeMs), defaultEjectionTime),
	}
	if f.MinObservers != nil {
		p.MinObservers = *f.MinObservers
	}
	if f.MinZones != nil {
		p.MinZones = *f.MinZones
	}
	if f.MaxEjectedShare != nil {
		p.MaxEjectedShare = *f.MaxEjectedShare
	}
	switch {
	case p.MinObservers < minObservers || p.MinObservers > maxObservers:
		return p, atPath(errors.New("verdicts.observers: not from 2 to 100: one alone convicts nobody"), "verdicts", "observers")
	case p.MinZones < 1 || p.MinZones > p.MinObservers:
		return p, atPath(errors.New("verdicts.rooms: not from 1 to verdicts.observers"), "verdicts", "rooms")
	case !(p.MaxEjectedShare > 0 && p.MaxEjectedShare <= maxEjectedShare):
		return p, atPath(errors.New("verdicts.share: not above 0 and up to 0.9"), "verdicts", "share")
	}
	return p, atPath(within("verdicts.term_ms", p.EjectionTime, minEjectionTime, maxEjectionTime), "verdicts", "term_ms")
}
