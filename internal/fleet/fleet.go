// Package fleet is a pooler's part in its fleet: it wires the voter, the clients of the voters, the network to the other
// poolers and the components that share state over them. It decides nothing; packages discoveryleader and lease decide, and
// each component for itself.
//
// A Coordinator owns all that Start opens, and Close closes it. Its goroutines are one that sends the leader's broadcasts, one
// that requests leases, one for each component, and those of the packages that it starts. The pooler calls the Coordinator on
// its event loop, and no call blocks but Start and Close; coordination.Events are called on any goroutine. The package does
// not depend on the assembled pooler.
package fleet

import (
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/fleet/consensus"
	"threadsail/internal/fleet/coordination"
	"threadsail/internal/fleet/replication"
)

// Options are a pooler's settings in its fleet.
type Options struct {
	Config         *config.Fleet
	JitterFraction float64 // from 0 up to 1, by the pooler's own seed
	Components     []Component
	Log            zerolog.Logger
}

// Start starts the pooler's part in the fleet and returns at once. Errors are of addresses and directories. The caller owes
// Close.
func Start(o Options, events coordination.Events) (*Coordinator, error) {
	c := newCoordinator(o, events)
	var err error
	if c.components, err = newComponentHost(o, c.instance, events, &c.traffic); err != nil {
		return nil, err
	}
	if err := c.startVoter(); err != nil {
		c.components.stop()
		return nil, err
	}
	if err := c.openNetwork(o.JitterFraction); err != nil {
		c.components.stop()
		c.stopVoter()
		return nil, err
	}
	c.broadcasts = newBroadcastQueue(c.network)
	c.leases = newLeaseRequester(c.newLeaseClient(), o.Config.Term, c.log)
	c.goroutines.Go(func() { c.broadcasts.run(c.shutdown) })
	c.goroutines.Go(func() { c.leases.run(c.shutdown) })
	c.components.start(componentWiring{
		bus:            c.network.Bus(),
		replicationBus: c.network.replicationBus(),
		candidate:      o.Config.UsesGossip(),
		confirmVersion: c.confirmVersion(),
	})
	return c, nil
}

// newCoordinator returns a Coordinator with nothing started.
func newCoordinator(o Options, events coordination.Events) *Coordinator {
	c := &Coordinator{
		config:        o.Config,
		instance:      fmt.Sprintf("%s/%d-%d", o.Config.Name, os.Getpid(), time.Now().UnixNano()),
		events:        events,
		listTransfers: make(chan struct{}, maxListTransfers),
		shutdown:      make(chan struct{}),
		log:           o.Log.With().Str("part", "fleet").Logger(),
	}
	c.Reload(o.Config)
	return c
}

// startVoter starts this pooler's voter, if the operators' file has one.
func (c *Coordinator) startVoter() (err error) {
	settings := c.config.Voter
	if settings.Listen == "" {
		return nil
	}
	if err := os.MkdirAll(settings.Dir, 0o700); err != nil {
		return fmt.Errorf("fleet: voter: %w", err)
	}
	c.voter, err = consensus.Start(consensus.Options{
		Name:               c.config.Name,
		ListenAddr:         settings.Listen,
		Dir:                settings.Dir,
		Voters:             voterPeers(c.config),
		VotersRevision:     c.config.ConfigRevision,
		Join:               settings.Join,
		MaxClockDrift:      c.config.MaxClockDrift,
		ElectionTimeout:    c.config.ElectionTimeout,
		Log:                c.log,
		OnDocumentsChanged: func(s replication.Snapshot) { c.components.replica.Install(s) },
		Traffic:            &c.traffic,
	})
	return err
}

func (c *Coordinator) stopVoter() {
	if c.voter != nil {
		c.voter.Close()
	}
}

// openNetwork opens the way to the other poolers, by gossip or by distributors.
func (c *Coordinator) openNetwork(jitterFraction float64) error {
	node, err := c.startGossip()
	if err != nil {
		return err
	}
	if !c.config.UsesDistributors() {
		c.network = gossipNetwork{node}
		return nil
	}
	network, err := newStreamNetwork(streamNetworkOptions{
		config:            c.config,
		jitterFraction:    jitterFraction,
		resources:         c.components.resources(),
		distributorGossip: node,
		onMessage:         c.dispatch,
		log:               c.logWarning,
		traffic:           &c.traffic,
	})
	if err != nil {
		if node != nil {
			node.Close()
		}
		return err
	}
	c.network = network
	return nil
}

// newLeaseClient returns the client of the leader's lease. Its timeout lets a renewal, a third of the duration in, be tried
// twice.
func (c *Coordinator) newLeaseClient() *consensus.Client {
	return &consensus.Client{
		Holder:  c.instance,
		Voters:  voterPeers(c.config),
		Timeout: c.config.Term / 4,
		Traffic: &c.traffic,
	}
}

// confirmVersion is the voter's ConfirmVersion; nil: this pooler is no voter.
func (c *Coordinator) confirmVersion() func() (version uint64, at time.Time, ok bool) {
	if c.voter == nil {
		return nil
	}
	return c.voter.ConfirmVersion
}

// Close leaves the fleet. Requests to the voters that wait, a release above all, are sent before.
func (c *Coordinator) Close() {
	c.components.stop()
	close(c.shutdown) // and not the queues: the event loop may still be running where the start has failed
	c.goroutines.Wait()
	c.network.Close()
	c.stopVoter()
}
