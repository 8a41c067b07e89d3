package fleet

import (
	"math/rand/v2"

	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/coordination"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/gossip"
)

// startGossip starts this pooler's gossip; nil: it takes no part in one.
func (c *Coordinator) startGossip() (*gossip.Node, error) {
	if !c.config.UsesGossip() {
		return nil, nil
	}
	var peers []gossip.Peer
	for _, p := range c.config.Peers {
		peers = append(peers, gossip.Peer(p))
	}
	return gossip.Start(gossip.Options{
		Name:      c.config.Name,
		Listen:    c.config.Listen,
		Advertise: c.config.Advertise,
		Peers:     peers,
		OnMessage: c.dispatch,
		Log:       c.log,
		Traffic:   &c.traffic,
	}, gossip.Meta{})
}

// gossipNetwork is the network of a fleet whose poolers all know each other.
type gossipNetwork struct{ *gossip.Node }

var _ network = gossipNetwork{}

// Bus implements network.
func (g gossipNetwork) Bus() bus.Bus { return g.Node.Bus() }

func (g gossipNetwork) replicationBus() bus.Bus { return g.Node.Bus() }

// SetStatus implements network.
func (g gossipNetwork) SetStatus(a discoveryleader.Announcement, build, configDigest string) {
	g.SetMeta(gossip.Meta{Build: build, Config: configDigest, Token: a.Token, Sequence: a.Sequence})
}

// ListSource implements network: it picks one of the poolers that show the announcement's list at random, or the
// announcement's own source while none does.
func (g gossipNetwork) ListSource(a discoveryleader.Announcement) (name string, needed bool) {
	var sources []string
	for _, m := range g.Members() {
		hasList := m.Meta.Token == a.Token && m.Meta.Sequence == a.Sequence
		if hasList && m.Name != g.Bus().Self() {
			sources = append(sources, m.Name)
		}
	}
	if len(sources) == 0 {
		return a.Source, true
	}
	return sources[rand.IntN(len(sources))], true
}

func (g gossipNetwork) fillStatus(s *coordination.Status) {
	s.Poolers = g.Bus().Size()
	s.DocumentTransport = wayGossip
}
