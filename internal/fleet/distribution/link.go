package distribution

import (
	"context"
	"errors"
	"slices"
	"time"
)

// link keeps a stream open to another distributor, by which this one tells it whom it holds and passes messages on.
func (d *Distributor) link(p Place) {
	for d.ctx.Err() == nil {
		if err := d.linked(p); err != nil && d.ctx.Err() == nil {
			d.once("link: "+err.Error(), p.Name, "link: "+err.Error())
		}
		pause(d.ctx, d.o.Beat)
		d.mu.Lock()
		d.dir.expire(time.Now(), shunBeats*d.o.Beat)
		d.mu.Unlock()
	}
}

func (d *Distributor) linked(p Place) error {
	conn, in, err := call(d.ctx, d.o.Dial, p, tenths(d.o.Beat, answerBeats), d.o.Beat, d.o.Count, hello{Protocol: protocol, Name: d.o.Name, Region: d.o.Region, Distributor: true})
	var no refused
	switch {
	case errors.As(err, &no):
		return err
	case err != nil:
		return nil // it is not there: tried again
	}
	defer conn.Close()
	defer context.AfterFunc(d.ctx, func() { _ = conn.Close() })()
	out := newOutbox(mostLinked, func() { _ = conn.Close() })
	d.mu.Lock()
	all := holds{All: true}
	for name, s := range d.streams {
		if !s.Distributor {
			all.Came = append(all.Came, name)
		}
	}
	slices.Sort(all.Came)
	out.put(sealJSON(kindHolds, all))
	d.links[p.Name] = out
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.links[p.Name] == out {
			delete(d.links, p.Name)
		}
	}()
	go func() { // the words that come back tell that it lives
		for {
			k, _, size, err := readFrame(in, mostDown)
			if err != nil {
				_ = conn.Close()
				out.put(nil)
				return
			}
			d.o.Count.In(k.String(), size)
		}
	}()
	w := newFrames(conn, d.o.Count)
	beat := time.NewTicker(d.o.Beat)
	defer beat.Stop()
	told := ""
	for {
		if w.send(out.take()...) != nil || w.Flush() != nil {
			return nil
		}
		select {
		case <-d.ctx.Done():
			return nil
		case <-out.wake:
		case <-beat.C:
			var frame []byte
			frame, told = d.livesOn(told)
			out.put(frame)
		}
	}
}

// tell tells all other distributors. The caller has the lock.
func (d *Distributor) tell(h holds) {
	frame := sealJSON(kindHolds, h)
	for _, out := range d.links {
		out.put(frame)
	}
}

// told takes in whom another distributor holds. A pooler that has come there has left here, whatever its old stream says.
func (d *Distributor) told(name string, h holds) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dir.take(name, h)
	for _, pooler := range h.Came {
		if s := d.streams[pooler]; s != nil && !s.Distributor && !h.All {
			_ = s.conn.Close()
		}
	}
}
