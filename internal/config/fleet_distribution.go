package config

import (
	"errors"
	"fmt"
	"slices"
)

const (
	// mostDistributors: each has a link to each other one.
	mostDistributors = 64
	mostRegion       = 128
)

// DistributionPart is how the fleet's documents and words reach this pooler. Without Distributors each pooler knows each other one,
// by gossip.
type DistributionPart struct {
	Listen       string        `json:"listen"` // of this pooler's streams, if it is a distributor; empty: it is none
	Region       string        `json:"region"`
	Distributors []Distributor `json:"distributors"`
}

// Distributor is one as every pooler's file names it.
type Distributor struct {
	Name   string `json:"name"`
	Addr   string `json:"addr"`
	Region string `json:"region"`
}

// Distributes tells whether distributors bring what all share.
func (f *Fleet) Distributes() bool { return len(f.Distribution.Distributors) > 0 }

// Gossips tells whether this pooler is known to others by gossip: all of a fleet without distributors, and the distributors.
func (f *Fleet) Gossips() bool { return !f.Distributes() || f.Distribution.Listen != "" }

// distribution checks the part, and what else of the file it leaves no sense.
func distribution(f *Fleet) (key string, err error) {
	p := f.Distribution
	if len(p.Distributors) > mostDistributors {
		return "distributors", fmt.Errorf("distribution.distributors: %d are named, at most %d may be", len(p.Distributors), mostDistributors)
	}
	var places []Peer
	for i, d := range p.Distributors {
		if len(d.Region) > mostRegion {
			return "distributors", fmt.Errorf("distribution.distributors[%d].region: over %d bytes", i, mostRegion)
		}
		places = append(places, Peer{d.Name, d.Addr})
	}
	if err := named("distribution.distributors", places); err != nil {
		return "distributors", err
	}
	among := func(name string) bool {
		return slices.ContainsFunc(p.Distributors, func(d Distributor) bool { return d.Name == name })
	}
	for _, s := range f.Stewards {
		if f.Distributes() && !among(s.Name) {
			return "distributors", fmt.Errorf("distribution.distributors: %q is a steward and not among them", s.Name)
		}
	}
	switch {
	case len(p.Region) > mostRegion:
		return "region", fmt.Errorf("distribution.region: over %d bytes", mostRegion)
	case !f.Distributes() && p.Listen != "":
		return "listen", errors.New("distribution.listen: no distributors are named")
	case !f.Distributes():
		return "", nil
	case p.Listen == "" && f.Steward.Listen != "":
		return "listen", errors.New("distribution.listen: missing, and a steward is a distributor")
	case p.Listen != "" && !among(f.Name):
		return "distributors", fmt.Errorf("distribution.distributors: this pooler, %q, is one and not among them", f.Name)
	case p.Listen != "":
		return "listen", ipAddress("distribution.listen", p.Listen)
	}
	return "", nil
}
