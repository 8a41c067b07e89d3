package fleet

import (
	"math/rand/v2"

	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/coordination"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/gossip"
)

// startGossip starts this pooler's gossip node. It returns nil if the configuration does not use gossip.
func (c *Coordinator) startGossip() (*gossip.Node, error) {
	if !c.config.UsesGossip() {
		return nil, nil
	}
	var peers []gossip.Peer
	for _, peer := range c.config.Peers {
		peers = append(peers, gossip.Peer(peer))
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

// gossipNetwork is a network in which all poolers know each other by gossip.
type gossipNetwork struct{ *gossip.Node }

var _ network = gossipNetwork{}

// Bus implements network.
func (g gossipNetwork) Bus() bus.Bus { return g.Node.Bus() }

// replicationBus implements network.
func (g gossipNetwork) replicationBus() bus.Bus { return g.Node.Bus() }

// SetStatus implements network.
func (g gossipNetwork) SetStatus(announcement discoveryleader.Announcement, build, configDigest string) {
	g.SetMeta(gossip.Meta{Build: build, Config: configDigest, Token: announcement.Token, Sequence: announcement.Sequence})
}

// ListSource implements network. It picks at random one of the other poolers whose published status shows the announcement's
// list, or returns the announcement's source if there is none.
func (g gossipNetwork) ListSource(announcement discoveryleader.Announcement) (name string, needed bool) {
	var sources []string
	for _, member := range g.Members() {
		hasList := member.Meta.Token == announcement.Token && member.Meta.Sequence == announcement.Sequence
		if hasList && member.Name != g.Bus().Self() {
			sources = append(sources, member.Name)
		}
	}
	if len(sources) == 0 {
		return announcement.Source, true
	}
	return sources[rand.IntN(len(sources))], true
}

// fillStatus implements network.
func (g gossipNetwork) fillStatus(s *coordination.Status) {
	s.Poolers = g.Bus().Size()
	s.DocumentTransport = transportGossip
}
