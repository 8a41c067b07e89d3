package distribution

import (
	"context"
	"fmt"
	"slices"

	"threadsail/internal/fleet/bus"
)

// handleMessage passes a message on towards its pooler. What another distributor has passed on goes no further than here.
func (d *Distributor) handleMessage(s *stream, body []byte) error {
	var to, from, topic string
	text, err := splitNames(body, &to, &from, &topic)
	if err != nil {
		return err
	}
	if from != s.Name && !s.Distributor {
		return fmt.Errorf("%w: it speaks for %s", errMalformedFrame, from)
	}
	d.forward(to, from, topic, text, s.Distributor)
	return nil
}

// forward gives a message to a pooler, if it is known; its sender will miss the answer else.
func (d *Distributor) forward(to, from, topic string, text []byte, last bool) (known bool) {
	if to == d.options.Name {
		d.dispatch(from, topic, text)
		return true
	}
	frame := encodeFrame(kindMessage, prependNames(text, to, from, topic))
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.streams[to]; s != nil && !s.Distributor {
		return s.outbox.enqueue(frame)
	}
	if last {
		return false
	}
	out := d.links[to]
	if out == nil {
		out = d.links[d.directory.distributorOf[to]]
	}
	return out != nil && out.enqueue(frame)
}

// handleBroadcast passes a cast on to all: a pooler's to this distributor's own and to the other distributors, another's to its own.
func (d *Distributor) handleBroadcast(s *stream, body []byte) error {
	var from, topic string
	text, err := splitNames(body, &from, &topic)
	if err != nil {
		return err
	}
	if from != s.Name && !s.Distributor {
		return fmt.Errorf("%w: it speaks for %s", errMalformedFrame, from)
	}
	d.forwardBroadcast(from, topic, body, s.Distributor)
	d.dispatch(from, topic, text)
	return nil
}

func (d *Distributor) forwardBroadcast(from, topic string, body []byte, last bool) {
	frame, key := encodeFrame(kindBroadcast, body), from+"\x00"+topic
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.streams {
		if !s.Distributor && s.Name != from {
			s.outbox.enqueueBroadcast(key, frame)
		}
	}
	if !last {
		for _, out := range d.links {
			out.enqueueBroadcast(key, frame)
		}
	}
}

// Self is documented with bus.Bus.
func (d *Distributor) Self() string { return d.options.Name }

// Members are the distributors that are alive: those that any pooler may ask.
func (d *Distributor) Members() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := append(d.directory.alive(), d.options.Name)
	slices.Sort(out)
	return out
}

// Size is documented with bus.Bus.
func (d *Distributor) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.directory.distributorOf) + d.poolerCount + len(d.directory.alive()) + 1
}

// StreamCount is how many poolers' streams end here.
func (d *Distributor) StreamCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.poolerCount
}

// Send is documented with bus.Bus.
func (d *Distributor) Send(ctx context.Context, to, topic string, body []byte) error {
	if err := checkMessageSize(topic, body, maxQueuedBytes/2); err != nil {
		return err
	}
	if !d.forward(to, d.options.Name, topic, slices.Clone(body), false) {
		return fmt.Errorf("%w: %s", bus.ErrUnknownMember, to)
	}
	return ctx.Err()
}

// Broadcast is documented with bus.Bus.
func (d *Distributor) Broadcast(topic string, body []byte) {
	if err := checkMessageSize(topic, body, maxQueuedBytes/2); err != nil {
		d.options.Log("distributor: " + err.Error())
		return
	}
	d.forwardBroadcast(d.options.Name, topic, prependNames(body, d.options.Name, topic), false)
}

// checkMessageSize refuses what the receiver would end the stream for.
func checkMessageSize(topic string, body []byte, most int) error {
	switch {
	case topic == "" || len(topic) > maxNameLength:
		return fmt.Errorf("a topic of %d bytes", len(topic))
	case len(body) > most:
		return fmt.Errorf("%w: %d bytes on %s", errFrameTooLong, len(body), topic)
	}
	return nil
}
