package distribution

import (
	"context"
	"fmt"
	"slices"

	"threadsail/internal/fleet/bus"
)

// message passes a message on towards its pooler. What another distributor has passed on goes no further than here.
func (d *Distributor) message(s *stream, body []byte) error {
	var to, from, topic string
	text, err := unnamed(body, &to, &from, &topic)
	if err != nil {
		return err
	}
	if from != s.Name && !s.Distributor {
		return fmt.Errorf("%w: it speaks for %s", errFrame, from)
	}
	d.pass(to, from, topic, text, s.Distributor)
	return nil
}

// pass gives a message to a pooler, if it is known; its sender will miss the answer else.
func (d *Distributor) pass(to, from, topic string, text []byte, last bool) (known bool) {
	if to == d.o.Name {
		d.hear(from, topic, text)
		return true
	}
	frame := seal(kindMessage, named(text, to, from, topic))
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.streams[to]; s != nil && !s.Distributor {
		return s.out.put(frame)
	}
	if last {
		return false
	}
	out := d.links[to]
	if out == nil {
		out = d.links[d.dir.at[to]]
	}
	return out != nil && out.put(frame)
}

// casts passes a cast on to all: a pooler's to this distributor's own and to the other distributors, another's to its own.
func (d *Distributor) casts(s *stream, body []byte) error {
	var from, topic string
	text, err := unnamed(body, &from, &topic)
	if err != nil {
		return err
	}
	if from != s.Name && !s.Distributor {
		return fmt.Errorf("%w: it speaks for %s", errFrame, from)
	}
	d.spread(from, topic, body, s.Distributor)
	d.hear(from, topic, text)
	return nil
}

func (d *Distributor) spread(from, topic string, body []byte, last bool) {
	frame, key := seal(kindCast, body), from+"\x00"+topic
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.streams {
		if !s.Distributor && s.Name != from {
			s.out.cast(key, frame)
		}
	}
	if !last {
		for _, out := range d.links {
			out.cast(key, frame)
		}
	}
}

// Self is documented with bus.Bus.
func (d *Distributor) Self() string { return d.o.Name }

// Members are the distributors that are alive: those that any pooler may ask.
func (d *Distributor) Members() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := append(d.dir.alive(), d.o.Name)
	slices.Sort(out)
	return out
}

// Size is documented with bus.Bus.
func (d *Distributor) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.dir.at) + d.poolers + len(d.dir.alive()) + 1
}

// Streams is how many poolers' streams end here.
func (d *Distributor) Streams() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.poolers
}

// Send is documented with bus.Bus.
func (d *Distributor) Send(ctx context.Context, to, topic string, body []byte) error {
	if err := fits(topic, body, mostBytes/2); err != nil {
		return err
	}
	if !d.pass(to, d.o.Name, topic, slices.Clone(body), false) {
		return fmt.Errorf("%w: %s", bus.ErrUnknown, to)
	}
	return ctx.Err()
}

// Cast is documented with bus.Bus.
func (d *Distributor) Cast(topic string, body []byte) {
	if err := fits(topic, body, mostBytes/2); err != nil {
		d.o.Log("distributor: " + err.Error())
		return
	}
	d.spread(d.o.Name, topic, named(body, d.o.Name, topic), false)
}

// fits refuses what the receiver would end the stream for.
func fits(topic string, body []byte, most int) error {
	switch {
	case topic == "" || len(topic) > mostName:
		return fmt.Errorf("a topic of %d bytes", len(topic))
	case len(body) > most:
		return fmt.Errorf("%w: %d bytes on %s", errLong, len(body), topic)
	}
	return nil
}
