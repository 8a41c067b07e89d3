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

// Topics of the leader's messages on the streams.
const (
	leaderTopicPrefix = "duty/"                   // prefix of all topics of leader messages
	directTopic       = leaderTopicPrefix + "one" // topic of messages to one pooler
)

// sendTimeout is the maximum time for which a message to one pooler waits for its stream.
const sendTimeout = 2 * time.Second

// streamNetwork is the network of a fleet with distributors. Exactly one of subscriber and distributor is set.
type streamNetwork struct {
	bus               bus.Bus
	subscriber        *distribution.Subscriber  // nil if this pooler is a distributor
	distributor       *distribution.Distributor // nil if this pooler is not a distributor
	distributorGossip *gossip.Node              // gossip among the distributors; nil if this pooler is not one
}

var _ network = (*streamNetwork)(nil)

// streamNetworkOptions are the settings of a streamNetwork.
type streamNetworkOptions struct {
	config            *config.Fleet
	jitterFraction    float64
	resources         []distribution.Resource
	distributorGossip *gossip.Node // gossip among the distributors; nil if this pooler is not one
	onMessage         func(encoded []byte)
	log               func(line string)
	traffic           *traffic.Counter
}

// newStreamNetwork opens the pooler's stream, or, on a distributor, starts to accept the streams of others. It returns an error
// if a distributor's address can't be listened on. The caller must call Close, which also closes the gossip of the
// distributors.
func newStreamNetwork(options streamNetworkOptions) (*streamNetwork, error) {
	n := &streamNetwork{distributorGossip: options.distributorGossip}
	if options.config.Distribution.Listen == "" {
		n.subscriber = distribution.Subscribe(options.subscriberOptions())
		n.bus = n.subscriber
	} else {
		listener, err := net.Listen("tcp", options.config.Distribution.Listen)
		if err != nil {
			return nil, fmt.Errorf("distribution: %w", err)
		}
		n.distributor = distribution.NewDistributor(listener, options.distributorOptions())
		n.bus = n.distributor
	}
	n.bus.Handle(leaderTopicPrefix, func(_ string, body []byte) { options.onMessage(body) })
	return n, nil
}

// subscriberOptions returns the options of this pooler's stream.
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

// distributorOptions returns the options of a distributor.
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

// heartbeatInterval returns the interval between heartbeats on a stream, a third of the lease term.
func (o streamNetworkOptions) heartbeatInterval() time.Duration { return o.config.Term / 3 }

// distributors returns the endpoints of all distributors.
func (o streamNetworkOptions) distributors() (endpoints []distribution.Endpoint) {
	for _, distributor := range o.config.Distribution.Distributors {
		endpoints = append(endpoints, distribution.Endpoint(distributor))
	}
	return endpoints
}

// Bus implements network.
func (n *streamNetwork) Bus() bus.Bus { return n.bus }

// replicationBus implements network.
func (n *streamNetwork) replicationBus() bus.Bus {
	if n.distributorGossip == nil {
		return nil
	}
	return n.distributorGossip.Bus()
}

// Broadcast implements network.
func (n *streamNetwork) Broadcast(topic string, encoded []byte, deadline time.Time) (complete bool) {
	if !time.Now().Before(deadline) {
		return false
	}
	n.bus.Broadcast(leaderTopicPrefix+topic, encoded)
	return true
}

// Send implements network.
func (n *streamNetwork) Send(name string, encoded []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	return n.bus.Send(ctx, name, directTopic, encoded)
}

// SendBestEffort implements network. It uses Send, because sending on a stream does not block; see package distribution.
func (n *streamNetwork) SendBestEffort(name string, encoded []byte) { _ = n.Send(name, encoded) }

// SetStatus implements network. A distributor publishes no status.
func (n *streamNetwork) SetStatus(announcement discoveryleader.Announcement, build, configDigest string) {
	if n.subscriber != nil {
		n.subscriber.SetStatus(distribution.Status{Build: build, Config: configDigest, Token: announcement.Token, Sequence: announcement.Sequence})
	}
}

// ListSource implements network. No request is needed, because the streams distribute the lists as a resource.
func (*streamNetwork) ListSource(discoveryleader.Announcement) (name string, needed bool) {
	return "", false
}

// fillStatus implements network.
func (n *streamNetwork) fillStatus(s *coordination.Status) {
	s.Poolers = n.bus.Size()
	switch {
	case n.distributor != nil:
		own, all := n.distributor.Summary()
		s.DocumentTransport = transportDistributor
		s.Streams = own.Poolers
		s.PoolersBehind = all.Lagging
		s.OldestVersion = all.OldestVersion
	case n.subscriber.Distributor() != "":
		s.DocumentTransport = transportStream
	default:
		s.DocumentTransport = transportNone
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

// trafficCounter adds the frames of the streams to the pooler's traffic.Counter. It implements distribution.Counter.
type trafficCounter struct{ counter *traffic.Counter }

// In implements distribution.Counter.
func (c trafficCounter) In(kind string, bytes int) {
	c.counter.AddReceived(streamKindPrefix+kind, 1, bytes)
}

// Out implements distribution.Counter.
func (c trafficCounter) Out(kind string, bytes int) {
	c.counter.AddSent(streamKindPrefix+kind, 1, bytes)
}

// streamKindPrefix is the prefix of the traffic kinds of stream frames.
const streamKindPrefix = "stream/"
