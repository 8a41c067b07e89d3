package fleet

import (
	"context"
	"fmt"
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

// The topics of the leader's messages along streams.
const (
	leaderTopicPrefix = "duty/"                   // all of them begin so
	directTopic       = leaderTopicPrefix + "one" // of messages to one pooler
)

// sendTimeout bounds how long a message to one pooler may wait for its stream.
const sendTimeout = 2 * time.Second

// streamNetwork is the network of a fleet with distributors. Either subscriber or distributor is set.
type streamNetwork struct {
	bus               bus.Bus
	subscriber        *distribution.Subscriber  // this pooler's stream
	distributor       *distribution.Distributor // this pooler is a distributor
	distributorGossip *gossip.Node              // the distributors' own network; nil: this pooler is no distributor
}

var _ network = (*streamNetwork)(nil)

// streamNetworkOptions are the settings of a streamNetwork.
type streamNetworkOptions struct {
	config            *config.Fleet
	jitterFraction    float64
	resources         []distribution.Resource
	distributorGossip *gossip.Node // by which a distributor knows the others
	onMessage         func(text []byte)
	log               func(line string)
	traffic           *traffic.Counter
}

// newStreamNetwork opens the pooler's stream, or as a distributor takes those of others. Close closes it and the
// distributors' gossip.
func newStreamNetwork(o streamNetworkOptions) (*streamNetwork, error) {
	n := &streamNetwork{distributorGossip: o.distributorGossip}
	if o.config.Distribution.Listen == "" {
		n.subscriber = distribution.Subscribe(o.subscriberOptions())
		n.bus = n.subscriber
	} else {
		listener, err := net.Listen("tcp", o.config.Distribution.Listen)
		if err != nil {
			return nil, fmt.Errorf("distribution: %w", err)
		}
		n.distributor = distribution.NewDistributor(listener, o.distributorOptions())
		n.bus = n.distributor
	}
	n.bus.Handle(leaderTopicPrefix, func(_ string, body []byte) { o.onMessage(body) })
	return n, nil
}

func (o streamNetworkOptions) subscriberOptions() distribution.SubscriberOptions {
	return distribution.SubscriberOptions{
		Name:              o.config.Name,
		Region:            o.config.Distribution.Region,
		Distributors:      o.distributors(),
		Resources:         o.resources,
		HeartbeatInterval: o.heartbeatInterval(),
		JitterFraction:    o.jitterFraction,
		Counter:           trafficCounter{o.traffic},
		Log:               o.log,
	}
}

func (o streamNetworkOptions) distributorOptions() distribution.DistributorOptions {
	return distribution.DistributorOptions{
		Name:              o.config.Name,
		Region:            o.config.Distribution.Region,
		Distributors:      o.distributors(),
		Resources:         o.resources,
		HeartbeatInterval: o.heartbeatInterval(),
		Counter:           trafficCounter{o.traffic},
		Log:               o.log,
	}
}

// heartbeatInterval is a third of a lease's duration.
func (o streamNetworkOptions) heartbeatInterval() time.Duration { return o.config.Term / 3 }

func (o streamNetworkOptions) distributors() (endpoints []distribution.Endpoint) {
	for _, d := range o.config.Distribution.Distributors {
		endpoints = append(endpoints, distribution.Endpoint(d))
	}
	return endpoints
}

// Bus implements network.
func (n *streamNetwork) Bus() bus.Bus { return n.bus }

func (n *streamNetwork) replicationBus() bus.Bus {
	if n.distributorGossip == nil {
		return nil
	}
	return n.distributorGossip.Bus()
}

// Broadcast implements network.
func (n *streamNetwork) Broadcast(topic string, text []byte, deadline time.Time) (complete bool) {
	if !time.Now().Before(deadline) {
		return false
	}
	n.bus.Broadcast(leaderTopicPrefix+topic, text)
	return true
}

// Send implements network.
func (n *streamNetwork) Send(name string, text []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	return n.bus.Send(ctx, name, directTopic, text)
}

// SendBestEffort implements network. A send along a stream never waits: see package distribution.
func (n *streamNetwork) SendBestEffort(name string, text []byte) { _ = n.Send(name, text) }

// SetStatus implements network. A distributor shows nothing.
func (n *streamNetwork) SetStatus(a discoveryleader.Announcement, build, configDigest string) {
	if n.subscriber != nil {
		n.subscriber.SetStatus(distribution.Status{Build: build, Config: configDigest, Token: a.Token, Sequence: a.Sequence})
	}
}

// ListSource implements network: the lists are a resource, and come by themselves.
func (*streamNetwork) ListSource(discoveryleader.Announcement) (name string, needed bool) {
	return "", false
}

func (n *streamNetwork) fillStatus(s *coordination.Status) {
	s.Poolers = n.bus.Size()
	switch {
	case n.distributor != nil:
		own, all := n.distributor.Summary()
		s.DocumentTransport = wayDistributor
		s.Streams = own.Poolers
		s.PoolersBehind = all.Lagging
		s.OldestVersion = all.OldestVersion
	case n.subscriber.Distributor() != "":
		s.DocumentTransport = wayStream
	default:
		s.DocumentTransport = wayNone
	}
}

// Close implements network.
func (n *streamNetwork) Close() {
	if n.subscriber != nil {
		n.subscriber.Close()
		return
	}
	n.distributor.Close()
	n.distributorGossip.Close()
}

// trafficCounter counts the streams' frames with the pooler's other traffic. It implements distribution.Counter.
type trafficCounter struct{ counter *traffic.Counter }

// In implements distribution.Counter.
func (c trafficCounter) In(kind string, bytes int) {
	c.counter.AddReceived(streamKindPrefix+kind, 1, bytes)
}

// Out implements distribution.Counter.
func (c trafficCounter) Out(kind string, bytes int) {
	c.counter.AddSent(streamKindPrefix+kind, 1, bytes)
}

// streamKindPrefix begins the kinds of the streams' frames among all kinds of traffic.
const streamKindPrefix = "stream/"
