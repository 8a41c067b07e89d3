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
	maxPoolers    = 400
	maxServers    = 120
	maxLength     = 10 * time.Minute
	maxZones      = 9
	maxRelayed    = 32 // poolers with relays between them: each pair takes two, of two sockets
	maxClients    = 16 // of a pooler
	maxHotClients = 64 // of a hot pooler
	maxKeys       = 1000
)

const (
	minRest    = time.Millisecond
	minTimeout = 10 * time.Millisecond
)

// check checks all but the fleet, the hot poolers and the steps.
func (s *Scenario) check() error {
	switch {
	case s.Poolers < 1 || s.Poolers > maxPoolers:
		return fmt.Errorf("poolers: %d is not from 1 to %d", s.Poolers, maxPoolers)
	case s.Servers < 1 || s.Servers > maxServers:
		return fmt.Errorf("servers: %d is not from 1 to %d", s.Servers, maxServers)
	case s.Groups < 1 || s.Groups > s.Servers:
		return fmt.Errorf("groups: %d is not from 1 to the number of servers", s.Groups)
	case s.Machines < 0 || s.Machines > s.Poolers:
		return fmt.Errorf("machines: %d is not from 0 to the number of poolers", s.Machines)
	case s.Length <= 0 || s.Length > maxLength:
		return fmt.Errorf("length_ms: %v is not above 0 and within %v", s.Length, maxLength)
	case s.Clients < 0 || s.Clients > maxClients:
		return fmt.Errorf("clients: %d is not from 0 to %d", s.Clients, maxClients)
	case s.WriteShare < 0 || s.WriteShare > 1:
		return fmt.Errorf("writes: %v is no share from 0 to 1", s.WriteShare)
	case s.ThinkTime < minRest || s.Timeout < minTimeout:
		return errors.New("rest_ms: under 1, or patience_ms under 10")
	case s.ServiceTime < 0 || s.ServiceTime > s.Timeout:
		return fmt.Errorf("work_ms: %v is not from 0 to the patience", s.ServiceTime)
	case s.DrainGracePeriod < 0 || s.DrainGracePeriod > s.Length:
		return fmt.Errorf("grace_ms: %v is not from 0 to the length", s.DrainGracePeriod)
	}
	return s.ReplicationLog.check(s.Timeout)
}

// check checks the log of a scenario whose requests have a deadline.
func (l ReplicationLog) check(patience time.Duration) error {
	if l.MaxWait < 0 || l.MaxStaleness < 0 || l.ReportShare < 0 || l.ReportShare > 1 || l.ReportTime < 0 || l.ReportTime > patience {
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
	case f.Voters == 0:
		return nil
	case f.Voters%2 == 0 || f.Voters < 0 || f.Voters > min(config.MaxVoters, s.Poolers):
		return fmt.Errorf("fleet.stewards: %d is not an odd number of the poolers, up to %d", f.Voters, config.MaxVoters)
	case f.Distributors != 0 && (f.Distributors < f.Voters || f.Distributors > min(config.MaxDistributors, s.Poolers)):
		return fmt.Errorf("fleet.distributors: %d is not from the number of stewards to that of poolers, or over %d", f.Distributors, config.MaxDistributors)
	case f.Regions < 0 || f.Regions > maxZones:
		return fmt.Errorf("fleet.regions: %d is not from 0 to %d", f.Regions, maxZones)
	case f.Zones < 0 || f.Zones > maxZones:
		return fmt.Errorf("fleet.zones: %d is not from 0 to %d", f.Zones, maxZones)
	case f.Term < config.MinTerm:
		return fmt.Errorf("fleet.term_ms: under %v", config.MinTerm)
	case f.Purges.Sites < 0 || f.Purges.Sites > s.Poolers || f.Purges.Rows < 1:
		return fmt.Errorf("fleet.purges.sites: %d is not from 0 to the number of poolers, or rows is under 1", f.Purges.Sites)
	case f.Relays && s.Poolers > maxRelayed:
		return fmt.Errorf("fleet.relays: %d poolers are more than %d", s.Poolers, maxRelayed)
	}
	return nil
}

// limits reads the fleet's limits, which have the form that poolers' files have.
func (f *fleetForm) limits(text []byte) (config.Limits, error) {
	limits, err := config.ParseLimits(f.Limits)
	if err == nil {
		return limits, nil
	}
	offset := int64(bytes.Index(text, f.Limits))
	var mistake *jsonfile.OffsetError
	if errors.As(err, &mistake) {
		offset += mistake.Offset
	}
	return limits, jsonfile.At(offset, fmt.Errorf("fleet.%w", err))
}

// shards checks the shard map and the faults that meet its moves.
func (f *shardsForm) shards(s *Scenario, picks *picker) (Shards, error) {
	out := Shards{Keys: f.Keys, Lenient: f.Lenient}
	if n := f.Keys; n != 0 && (n < 2*s.Groups || n > maxKeys || s.Groups < 2 || s.Fleet.Voters == 0) {
		return out, fmt.Errorf("fleet.shards.keys: %d is not from two a group to %d, or there are no two groups, or no stewards", n, maxKeys)
	}
	for i, one := range f.Faults {
		fault := MoveFault{Move: one.Move, On: one.On, Act: faults.Act(one.Act), Coordinator: one.Poolers == "mover", Duration: milliseconds(one.ForMs)}
		var err error
		if !fault.Coordinator {
			fault.Poolers, err = picks.pickPoolers(one.Poolers)
		}
		if err != nil {
			return out, fmt.Errorf("fleet.shards.faults[%d]: no poolers, no fault that ends, or no relays for it: %w", i, err)
		}
		if fault.Act.Undo() == "" || fault.Duration <= 0 || fault.Act.OnPeers() && !s.Fleet.Relays {
			return out, fmt.Errorf("fleet.shards.faults[%d]: no poolers, no fault that ends, or no relays for it: <nil>", i)
		}
		out.Faults = append(out.Faults, fault)
	}
	return out, nil
}

// setHot picks the poolers that have more clients than the others.
func (s *Scenario) setHot(form *form, picks *picker) error {
	hot, err := picks.pickPoolers(form.Hot)
	if err != nil {
		return fmt.Errorf("hot: %w", err)
	}
	s.Hot, s.HotClients = hot, orDefault(form.HotClients, s.Clients)
	if s.HotClients < 0 || s.HotClients > maxHotClients {
		return fmt.Errorf("hot_clients: %d is not from 0 to %d", s.HotClients, maxHotClients)
	}
	return nil
}
