package distribution

import (
	"context"
	"fmt"
	"slices"

	"threadsail/internal/fleet/bus"
)

// Self is documented with bus.Bus.
func (d *Distributor) Self() string { return d.options.Name }

// Members returns the distributors that are alive, which any pooler may call.
func (d *Distributor) Members() []string {
	members := append(d.registry.aliveDistributors(), d.options.Name)
	slices.Sort(members)
	return members
}

// Size is documented with bus.Bus.
func (d *Distributor) Size() int { return d.registry.fleetSize() }

// StreamCount returns how many poolers' streams end here.
func (d *Distributor) StreamCount() int { return d.registry.streamCount() }

// Send is documented with bus.Bus.
func (d *Distributor) Send(ctx context.Context, to, topic string, body []byte) error {
	if err := checkMessageSize(topic, body, maxQueuedBytes/2); err != nil {
		return err
	}
	if !d.forward(message{to: to, from: d.options.Name, topic: topic, body: slices.Clone(body)}, false) {
		return fmt.Errorf("%w: %s", bus.ErrUnknownMember, to)
	}
	return ctx.Err()
}

// Broadcast is documented with bus.Bus.
func (d *Distributor) Broadcast(topic string, body []byte) {
	if err := checkMessageSize(topic, body, maxQueuedBytes/2); err != nil {
		d.options.Log("distributor: broadcast not sent: " + err.Error())
		return
	}
	d.registry.forwardBroadcast(broadcast{from: d.options.Name, topic: topic, body: body}, false)
}

// handleMessage forwards a message towards its pooler. One from another distributor goes no further than to this one's poolers.
func (d *Distributor) handleMessage(s *serverStream, body []byte) error {
	m, err := decodeMessage(body)
	if err != nil {
		return err
	}
	if err := checkSender(s, m.from); err != nil {
		return err
	}
	d.forward(m, s.Distributor)
	return nil
}

// forward gives a message to this process, or queues it towards its pooler; ok false: the pooler is not known.
func (d *Distributor) forward(m message, lastHop bool) (ok bool) {
	if m.to == d.options.Name {
		d.dispatch(m.from, m.topic, m.body)
		return true
	}
	return d.registry.forward(m.to, m.frame(), lastHop)
}

// handleBroadcast forwards a broadcast: a pooler's to this distributor's poolers and the other distributors, a distributor's to this
// one's poolers.
func (d *Distributor) handleBroadcast(s *serverStream, body []byte) error {
	b, err := decodeBroadcast(body)
	if err != nil {
		return err
	}
	if err := checkSender(s, b.from); err != nil {
		return err
	}
	d.registry.forwardBroadcast(b, s.Distributor)
	d.dispatch(b.from, b.topic, b.body)
	return nil
}

// checkSender refuses a message that a pooler sends under another's name. Distributors forward the messages of others.
func checkSender(s *serverStream, from string) error {
	if from != s.Name && !s.Distributor {
		return fmt.Errorf("%w: it speaks for %s", errMalformedFrame, from)
	}
	return nil
}
