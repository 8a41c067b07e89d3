package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/coordination"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/distribution"
	"threadsail/internal/fleet/gossip"
	"threadsail/internal/fleet/traffic"
)

// network is the way to the other poolers: gossip among all, or streams by way of distributors.
type network interface {
	Bus() bus.Bus // of the parts
	// Broadcast gives a word to all. Nothing is sent from until on; all tells that it was not reached.
	Broadcast(topic string, text []byte, until time.Time) (all bool)
	Send(name string, text []byte) error                               // waits for the network, some seconds at most
	SendBestEffort(name string, text []byte)                           // may be lost
	SetStatus(w discoveryleader.Announcement, build, config string)    // what the others see of this pooler
	ListSource(w discoveryleader.Announcement) (name string, ask bool) // whom to ask for the list of a word; ask false: it comes by itself
	fillStatus(*coordination.Status)                                   // fills in Poolers and all after it
	Close()
}

// gossipNetwork is the network of a fleet whose poolers all know each other.
type gossipNetwork struct{ *gossip.Node }

func (g gossipNetwork) Bus() bus.Bus { return g.Node.Bus() }

func (g gossipNetwork) SetStatus(w discoveryleader.Announcement, build, config string) {
	g.Node.SetMeta(gossip.Meta{Build: build, Config: config, Token: w.Token, Sequence: w.Sequence})
}

// ListSource is one of the poolers that show the word's list, or the word's own source while none does.
func (g gossipNetwork) ListSource(w discoveryleader.Announcement) (name string, ask bool) {
	name, n := w.Source, 0
	for _, m := range g.Members() {
		if m.Name != g.Bus().Self() && m.Meta.Token == w.Token && m.Meta.Sequence == w.Sequence {
			if n++; rand.IntN(n) == 0 {
				name = m.Name
			}
		}
	}
	return name, true
}

func (g gossipNetwork) fillStatus(f *coordination.Status) {
	f.Poolers, f.Way = g.Bus().Size(), "gossip"
}

// The topics by which the list duty's words go along streams.
const (
	leaderTopicPrefix = "duty/"                   // all of them begin so
	directTopic       = leaderTopicPrefix + "one" // what one pooler says to another
)

// sendTimeout bounds how long a message to one pooler may wait for its stream.
const sendTimeout = 2 * time.Second

// streamNetwork is the network of a fleet with distributors.
type streamNetwork struct {
	bus               bus.Bus
	subscriber        *distribution.Subscriber  // nil: this pooler is a distributor
	distributor       *distribution.Distributor // nil: it is none
	distributorGossip *gossip.Node              // the distributors' own network; nil: this pooler is none
}

// newStreamNetwork opens the pooler's stream, or takes those of others. inner is what a distributor knows the others by.
func newStreamNetwork(c *config.Fleet, spread float64, feeds []distribution.Resource, inner *gossip.Node, heard func([]byte), log func(string), count *traffic.Counter) (*streamNetwork, error) {
	var all []distribution.Endpoint
	for _, d := range c.Distribution.Distributors {
		all = append(all, distribution.Endpoint(d))
	}
	n := &streamNetwork{distributorGossip: inner}
	if c.Distribution.Listen != "" {
		ln, err := net.Listen("tcp", c.Distribution.Listen)
		if err != nil {
			return nil, fmt.Errorf("distribution: %w", err)
		}
		n.distributor = distribution.NewDistributor(ln, distribution.DistributorOptions{Name: c.Name, Region: c.Distribution.Region, Distributors: all, Resources: feeds,
			HeartbeatInterval: c.Term / 3, Counter: trafficCounter{count}, Log: log})
		n.bus = n.distributor
	} else {
		n.subscriber = distribution.Subscribe(distribution.SubscriberOptions{Name: c.Name, Region: c.Distribution.Region, Distributors: all, Resources: feeds,
			HeartbeatInterval: c.Term / 3, JitterFraction: spread, Counter: trafficCounter{count}, Log: log})
		n.bus = n.subscriber
	}
	n.bus.Handle(leaderTopicPrefix, func(_ string, body []byte) { heard(body) })
	return n, nil
}

func (n *streamNetwork) Bus() bus.Bus { return n.bus }

func (n *streamNetwork) Broadcast(topic string, text []byte, until time.Time) (all bool) {
	if !time.Now().Before(until) {
		return false
	}
	n.bus.Broadcast(leaderTopicPrefix+topic, text)
	return true
}

func (n *streamNetwork) Send(name string, text []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	return n.bus.Send(ctx, name, directTopic, text)
}

func (n *streamNetwork) SendBestEffort(name string, text []byte) { _ = n.Send(name, text) } // it never waits: see distribution

func (n *streamNetwork) SetStatus(w discoveryleader.Announcement, build, config string) {
	if n.subscriber != nil {
		n.subscriber.SetStatus(distribution.Status{Build: build, Config: config, Token: w.Token, Sequence: w.Sequence})
	}
}

// ListSource is nobody: the lists are a feed.
func (n *streamNetwork) ListSource(discoveryleader.Announcement) (name string, ask bool) {
	return "", false
}

func (n *streamNetwork) fillStatus(f *coordination.Status) {
	f.Poolers = n.bus.Size()
	switch {
	case n.distributor != nil:
		own, all := n.distributor.Summary()
		f.Way, f.Streams, f.PoolersBehind, f.OldestVersion = "distributor", own.Poolers, all.Lagging, all.OldestVersion
	case n.subscriber.Distributor() != "":
		f.Way = "stream"
	default:
		f.Way = "none"
	}
}

func (n *streamNetwork) Close() {
	if n.subscriber != nil {
		n.subscriber.Close()
		return
	}
	n.distributor.Close()
	n.distributorGossip.Close()
}

// trafficCounter puts the streams' frames among what a pooler counts of its traffic.
type trafficCounter struct{ counter *traffic.Counter }

func (c trafficCounter) In(kind string, bytes int)  { c.counter.In("stream/"+kind, 1, bytes) }
func (c trafficCounter) Out(kind string, bytes int) { c.counter.Out("stream/"+kind, 1, bytes) }
