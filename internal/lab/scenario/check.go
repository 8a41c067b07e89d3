package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/jsonfile"
	"threadsail/internal/lab/faults"
)

// Most that a scenario may ask for on one machine; the laboratory's design note tells how the bounds were found.
const (
	mostPoolers      = 400
	mostServers      = 120
	mostLength       = 10 * time.Minute
	mostZones        = 9
	mostRelayed      = 32 // poolers with relays between them: each pair takes two, of two sockets
	mostUsualClients = 16 // of a pooler
	mostHotClients   = 64 // of a hot pooler
	mostKeys         = 1000
)

const (
	leastRest     = time.Millisecond
	leastPatience = 10 * time.Millisecond
)

// check checks all but the fleet, the hot poolers and the steps.
func (s *Scenario) check() error {
	switch {
	case s.Poolers < 1 || s.Poolers > mostPoolers:
		return fmt.Errorf("poolers: %d is not from 1 to %d", s.Poolers, mostPoolers)
	case s.Servers < 1 || s.Servers > mostServers:
		return fmt.Errorf("servers: %d is not from 1 to %d", s.Servers, mostServers)
	case s.Groups < 1 || s.Groups > s.Servers:
		return fmt.Errorf("groups: %d is not from 1 to the number of servers", s.Groups)
	case s.Machines < 0 || s.Machines > s.Poolers:
		return fmt.Errorf("machines: %d is not from 0 to the number of poolers", s.Machines)
	case s.Length <= 0 || s.Length > mostLength:
		return fmt.Errorf("length_ms: %v is not above 0 and within %v", s.Length, mostLength)
	case s.Clients < 0 || s.Clients > mostUsualClients:
		return fmt.Errorf("clients: %d is not from 0 to %d", s.Clients, mostUsualClients)
	case s.Writes < 0 || s.Writes > 1:
		return fmt.Errorf("writes: %v is no share from 0 to 1", s.Writes)
	case s.Rest < leastRest || s.Patience < leastPatience:
		return errors.New("rest_ms: under 1, or patience_ms under 10")
	case s.Work < 0 || s.Work > s.Patience:
		return fmt.Errorf("work_ms: %v is not from 0 to the patience", s.Work)
	case s.Grace < 0 || s.Grace > s.Length:
		return fmt.Errorf("grace_ms: %v is not from 0 to the length", s.Grace)
	}
	return s.Log.check(s.Patience)
}

// check checks the log of a scenario whose requests have a deadline.
func (l Log) check(patience time.Duration) error {
	if l.Wait < 0 || l.Bound < 0 || l.Reports < 0 || l.Reports > 1 || l.Report < 0 || l.Report > patience {
		return errors.New("log: wait_ms or bound_ms is below 0, reports no share from 0 to 1, or report_ms not from 0 to the patience")
	}
	return nil
}

// pickSeed, with a scenario's seed, draws the shares of poolers and servers.
const pickSeed = 0xfa17

// picker draws sets of poolers and servers, one after the other: the order of the draws is part of what a scenario's seed means.
type picker struct {
	rng     *rand.Rand
	poolers int
	servers int
}

func (s *Scenario) newPicker() *picker {
	return &picker{rng: rand.New(rand.NewPCG(s.Seed, pickSeed)), poolers: s.Poolers, servers: s.Servers}
}

func (p *picker) pickPoolers(spec string) ([]int, error) { return faults.Pick(spec, p.poolers, p.rng) }

func (p *picker) pickServers(spec string) ([]int, error) { return faults.Pick(spec, p.servers, p.rng) }

// checkFleet checks the fleet's sizes and times. Without voters there is no fleet, and nothing is checked.
func (s *Scenario) checkFleet() error {
	switch f := s.Fleet; {
	case f.Stewards == 0:
		return nil
	case f.Stewards%2 == 0 || f.Stewards < 0 || f.Stewards > min(config.MostStewards, s.Poolers):
		return fmt.Errorf("fleet.stewards: %d is not an odd number of the poolers, up to %d", f.Stewards, config.MostStewards)
	case f.Distributors != 0 && (f.Distributors < f.Stewards || f.Distributors > min(config.MostDistributors, s.Poolers)):
		return fmt.Errorf("fleet.distributors: %d is not from the number of stewards to that of poolers, or over %d", f.Distributors, config.MostDistributors)
	case f.Regions < 0 || f.Regions > mostZones:
		return fmt.Errorf("fleet.regions: %d is not from 0 to %d", f.Regions, mostZones)
	case f.Zones < 0 || f.Zones > mostZones:
		return fmt.Errorf("fleet.zones: %d is not from 0 to %d", f.Zones, mostZones)
	case f.Term < config.LeastTerm:
		return fmt.Errorf("fleet.term_ms: under %v", config.LeastTerm)
	case f.Purges.Sites < 0 || f.Purges.Sites > s.Poolers || f.Purges.Rows < 1:
		return fmt.Errorf("fleet.purges.sites: %d is not from 0 to the number of poolers, or rows is under 1", f.Purges.Sites)
	case f.Relays && s.Poolers > mostRelayed:
		return fmt.Errorf("fleet.relays: %d poolers are more than %d", s.Poolers, mostRelayed)
	}
	return nil
}

// limits reads the fleet's limits, which have the form that poolers' files have.
func (f *fleetFile) limits(text []byte) (config.Limits, error) {
	limits, err := config.ParseLimits(f.Limits)
	if err == nil {
		return limits, nil
	}
	offset := int64(bytes.Index(text, f.Limits))
	var mistake *jsonfile.Mistake
	if errors.As(err, &mistake) {
		offset += mistake.Offset
	}
	return limits, jsonfile.At(offset, fmt.Errorf("fleet.%w", err))
}

// shards checks the shard map and the faults that meet its moves.
func (f *shardsFile) shards(s *Scenario, picks *picker) (Shards, error) {
	out := Shards{Keys: f.Keys, Lenient: f.Lenient}
	if n := f.Keys; n != 0 && (n < 2*s.Groups || n > mostKeys || s.Groups < 2 || s.Fleet.Stewards == 0) {
		return out, fmt.Errorf("fleet.shards.keys: %d is not from two a group to %d, or there are no two groups, or no stewards", n, mostKeys)
	}
	for i, one := range f.Faults {
		fault := MoveFault{Move: one.Move, On: one.On, Act: faults.Act(one.Act), Mover: one.Poolers == "mover", For: milliseconds(one.ForMs)}
		var err error
		if !fault.Mover {
			fault.Poolers, err = picks.pickPoolers(one.Poolers)
		}
		if err != nil || fault.Act.Undo() == "" || fault.For <= 0 || fault.Act.OnPeers() && !s.Fleet.Relays {
			return out, fmt.Errorf("fleet.shards.faults[%d]: no poolers, no fault that ends, or no relays for it: %v", i, err)
		}
		out.Faults = append(out.Faults, fault)
	}
	return out, nil
}

// setHot picks the poolers that have more clients than the others.
func (s *Scenario) setHot(form *file, picks *picker) error {
	hot, err := picks.pickPoolers(form.Hot)
	if err != nil {
		return fmt.Errorf("hot: %w", err)
	}
	s.Hot, s.HotClients = hot, orDefault(form.HotClients, s.Clients)
	if s.HotClients < 0 || s.HotClients > mostHotClients {
		return fmt.Errorf("hot_clients: %d is not from 0 to %d", s.HotClients, mostHotClients)
	}
	return nil
}
