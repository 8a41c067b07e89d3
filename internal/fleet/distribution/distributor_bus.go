package distribution

import (
	"context"
	"fmt"
	"slices"

	"threadsail/internal/fleet/bus"
)

// Self implements bus.Bus.
func (d *Distributor) Self() string { return d.options.Name }

// Members implements bus.Bus. It returns the names of the distributors that are alive, to which any pooler may connect.
func (d *Distributor) Members() []string {
	members := append(d.registry.aliveDistributors(), d.options.Name)
	slices.Sort(members)
	return members
}

// Size implements bus.Bus.
func (d *Distributor) Size() int { return d.registry.fleetSize() }

// StreamCount returns the number of poolers that are connected to this distributor.
func (d *Distributor) StreamCount() int { return d.registry.streamCount() }

// Send implements bus.Bus.
func (d *Distributor) Send(ctx context.Context, to, topic string, body []byte) error {
	if err := checkMessageSize(topic, body, maxQueuedBytes/2); err != nil {
		return err
	}
	if !d.forward(message{to: to, from: d.options.Name, topic: topic, body: slices.Clone(body)}, false) {
		return fmt.Errorf("%w: %s", bus.ErrUnknownMember, to)
	}
	return ctx.Err()
}

// Broadcast implements bus.Bus. A message of an invalid size is logged and dropped.
func (d *Distributor) Broadcast(topic string, body []byte) {
	if err := checkMessageSize(topic, body, maxQueuedBytes/2); err != nil {
		d.options.Log("distributor: broadcast dropped: " + err.Error())
		return
	}
	d.registry.forwardBroadcast(broadcast{from: d.options.Name, topic: topic, body: body}, false)
}

// handleMessage forwards a message to its recipient. A message from another distributor is delivered only here or to this distributor's
// poolers.
func (d *Distributor) handleMessage(stream *serverStream, body []byte) error {
	m, err := decodeMessage(body)
	if err != nil {
		return err
	}
	if err := checkSender(stream, m.from); err != nil {
		return err
	}
	d.forward(m, stream.Distributor)
	return nil
}

// forward dispatches a message that is addressed to this distributor, or queues it for its recipient. ok is false if the recipient is
// unknown or is being disconnected.
func (d *Distributor) forward(m message, lastHop bool) (ok bool) {
	if m.to == d.options.Name {
		d.dispatch(m.from, m.topic, m.body)
		return true
	}
	return d.registry.forward(m.to, m.frame(), lastHop)
}

// handleBroadcast dispatches and forwards a broadcast. One from a pooler is forwarded to this distributor's other poolers and to the other
// distributors, one from a distributor only to this distributor's poolers.
func (d *Distributor) handleBroadcast(stream *serverStream, body []byte) error {
	b, err := decodeBroadcast(body)
	if err != nil {
		return err
	}
	if err := checkSender(stream, b.from); err != nil {
		return err
	}
	d.registry.forwardBroadcast(b, stream.Distributor)
	d.dispatch(b.from, b.topic, b.body)
	return nil
}

// checkSender returns an error that wraps errMalformedFrame if a pooler sends a message with another pooler's name as the sender.
// Distributors forward the messages of others.
func checkSender(stream *serverStream, from string) error {
	if from != stream.Name && !stream.Distributor {
		return fmt.Errorf("%w: sender is %s", errMalformedFrame, from)
	}
	return nil
}
