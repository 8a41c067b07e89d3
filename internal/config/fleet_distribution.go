package config

import (
	"errors"
	"fmt"
	"slices"
)

// Bounds of the distribution.
const (
	MaxDistributors = 64  // each has a link to each other one
	maxRegion       = 128 // bytes of a region's name
)

// DistributionConfig is how the fleet's documents and announcements reach this pooler: by streams from distributors, or, if none are
// named, by gossip among all poolers.
type DistributionConfig struct {
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

// UsesDistributors tells whether distributors bring what all share.
func (f *Fleet) UsesDistributors() bool { return len(f.Distribution.Distributors) > 0 }

// UsesGossip tells whether this pooler is known to others by gossip: all of a fleet without distributors, and the distributors.
func (f *Fleet) UsesGossip() bool { return !f.UsesDistributors() || f.Distribution.Listen != "" }

// checkDistribution checks the part, and what of the rest of the file does not go with it. Errors have the path of their key.
func (f *Fleet) checkDistribution() error {
	if err := f.checkDistributors(); err != nil {
		return atPath(err, "distribution", "distributors")
	}
	p := f.Distribution
	switch {
	case len(p.Region) > maxRegion:
		return atPath(fmt.Errorf("distribution.region: over %d bytes", maxRegion), "distribution", "region")
	case !f.UsesDistributors() && p.Listen != "":
		return atPath(errors.New("distribution.listen: no distributors are named"), "distribution", "listen")
	case !f.UsesDistributors():
		return nil
	case p.Listen == "" && f.Voter.Listen != "":
		return atPath(errors.New("distribution.listen: missing, and a steward is a distributor"), "distribution", "listen")
	case p.Listen != "" && !p.names(f.Name):
		err := fmt.Errorf("distribution.distributors: this pooler, %q, is one and not among them", f.Name)
		return atPath(err, "distribution", "distributors")
	case p.Listen != "":
		return atPath(ipAddress("distribution.listen", p.Listen), "distribution", "listen")
	}
	return nil
}

// checkDistributors checks the list of distributors, which must have each voter of the consensus among them.
func (f *Fleet) checkDistributors() error {
	list := f.Distribution.Distributors
	if len(list) > MaxDistributors {
		return fmt.Errorf("distribution.distributors: %d are named, at most %d may be", len(list), MaxDistributors)
	}
	var peers []Peer
	for i, d := range list {
		if len(d.Region) > maxRegion {
			return fmt.Errorf("distribution.distributors[%d].region: over %d bytes", i, maxRegion)
		}
		peers = append(peers, Peer{d.Name, d.Addr})
	}
	if err := checkPeers("distribution.distributors", peers); err != nil {
		return err
	}
	for _, s := range f.Voters {
		if f.UsesDistributors() && !f.Distribution.names(s.Name) {
			return fmt.Errorf("distribution.distributors: %q is a steward and not among them", s.Name)
		}
	}
	return nil
}

// names tells whether a pooler is among the distributors.
func (p DistributionConfig) names(pooler string) bool {
	return slices.ContainsFunc(p.Distributors, func(d Distributor) bool { return d.Name == pooler })
}
