// Package fleet connects a pooler to the rest of its fleet. It starts the voter, the clients of the voters, the network to the
// other poolers and the components that share state over it. The package makes no decisions itself: packages discoveryleader
// and lease do, and each component.
//
// A Coordinator owns everything that Start opens, and Close closes it. It runs one goroutine that sends the leader's
// broadcasts, one that requests leases and one for each component, in addition to the goroutines of the packages that it
// starts. The pooler calls the Coordinator on its event loop; only Start and Close block. coordination.Events are called on any
// goroutine. The package does not depend on the assembled pooler.
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

// Options are the settings of a Coordinator.
type Options struct {
	Config         *config.Fleet
	JitterFraction float64 // from 0 to 1, derived from the pooler's seed
	Components     []Component
	Log            zerolog.Logger
}

// Start starts a Coordinator and returns without waiting for the other poolers. It returns an error if an address or a
// directory can't be used. The caller must call Close.
func Start(options Options, events coordination.Events) (*Coordinator, error) {
	c := newCoordinator(options, events)
	var err error
	if c.components, err = newComponentHost(options, c.instance, events, &c.traffic); err != nil {
		return nil, err
	}
	if err := c.startVoter(); err != nil {
		c.components.stop()
		return nil, err
	}
	if err := c.openNetwork(options.JitterFraction); err != nil {
		c.components.stop()
		c.stopVoter()
		return nil, err
	}
	c.broadcasts = newBroadcastQueue(c.network)
	c.leases = newLeaseRequester(c.newLeaseClient(), options.Config.Term, c.log)
	c.goroutines.Go(func() { c.broadcasts.run(c.shutdown) })
	c.goroutines.Go(func() { c.leases.run(c.shutdown) })
	c.components.start(componentWiring{
		bus:            c.network.Bus(),
		replicationBus: c.network.replicationBus(),
		candidate:      options.Config.UsesGossip(),
		confirmVersion: c.confirmVersion(),
	})
	return c, nil
}

// newCoordinator returns a Coordinator that has not started anything.
func newCoordinator(options Options, events coordination.Events) *Coordinator {
	c := &Coordinator{
		config:        options.Config,
		instance:      fmt.Sprintf("%s/%d-%d", options.Config.Name, os.Getpid(), time.Now().UnixNano()),
		events:        events,
		listTransfers: make(chan struct{}, maxListTransfers),
		shutdown:      make(chan struct{}),
		log:           options.Log.With().Str("part", "fleet").Logger(),
	}
	c.Reload(options.Config)
	return c
}

// startVoter starts the voter of this process, if the fleet's configuration file defines one.
func (c *Coordinator) startVoter() (err error) {
	settings := c.config.Voter
	if settings.Listen == "" {
		return nil
	}
	if err := os.MkdirAll(settings.Dir, 0o700); err != nil {
		return fmt.Errorf("fleet: create voter directory: %w", err)
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
		OnDocumentsChanged: func(snapshot replication.Snapshot) { c.components.replica.Install(snapshot) },
		Traffic:            &c.traffic,
	})
	return err
}

// stopVoter stops the voter of this process, if there is one.
func (c *Coordinator) stopVoter() {
	if c.voter != nil {
		c.voter.Close()
	}
}

// openNetwork opens the connection to the other poolers: by streams if the fleet has distributors, otherwise by gossip.
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

// newLeaseClient returns a client for the leader's lease. A renewal starts after a third of the term; the timeout of a quarter
// lets it be tried twice before the lease expires.
func (c *Coordinator) newLeaseClient() *consensus.Client {
	return &consensus.Client{
		Holder:  c.instance,
		Voters:  voterPeers(c.config),
		Timeout: c.config.Term / 4,
		Traffic: &c.traffic,
	}
}

// confirmVersion returns the ConfirmVersion method of this process's voter, or nil if it has no voter.
func (c *Coordinator) confirmVersion() func() (version uint64, at time.Time, ok bool) {
	if c.voter == nil {
		return nil
	}
	return c.voter.ConfirmVersion
}

// Close stops the Coordinator. It first sends the queued requests to the voters, so that a lease is released rather than left
// to expire, and blocks until its goroutines have ended.
func (c *Coordinator) Close() {
	c.components.stop()
	close(c.shutdown) // the queues stay open: after a failed start the event loop may still enqueue requests
	c.goroutines.Wait()
	c.network.Close()
	c.stopVoter()
}
