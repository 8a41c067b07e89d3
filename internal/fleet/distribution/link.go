package distribution

import (
	"context"
	"errors"
	"slices"
	"time"
)

// maintainLink keeps a stream open to another distributor, by which this one tells it whom it holds and passes messages on.
func (d *Distributor) maintainLink(p Endpoint) {
	for d.ctx.Err() == nil {
		if err := d.serveLink(p); err != nil && d.ctx.Err() == nil {
			d.logRefusalOnce("link: "+err.Error(), p.Name, "link: "+err.Error())
		}
		sleep(d.ctx, d.options.HeartbeatInterval)
		d.mu.Lock()
		d.directory.expire(time.Now(), avoidHeartbeats*d.options.HeartbeatInterval)
		d.mu.Unlock()
	}
}

func (d *Distributor) serveLink(p Endpoint) error {
	conn, in, err := openStream(d.ctx, d.options.Dial, p, tenthsOfHeartbeat(d.options.HeartbeatInterval, answerTimeoutTenths), d.options.HeartbeatInterval, d.options.Counter, hello{Protocol: protocolVersion, Name: d.options.Name, Region: d.options.Region, Distributor: true})
	var no refusedError
	switch {
	case errors.As(err, &no):
		return err
	case err != nil:
		return nil // it is not there: tried again
	}
	defer conn.Close()
	defer context.AfterFunc(d.ctx, func() { _ = conn.Close() })()
	out := newOutbox(maxLinkQueuedBytes, func() { _ = conn.Close() })
	d.mu.Lock()
	all := holdings{Complete: true}
	for name, s := range d.streams {
		if !s.Distributor {
			all.Arrived = append(all.Arrived, name)
		}
	}
	slices.Sort(all.Arrived)
	out.enqueue(encodeJSONFrame(kindHoldings, all))
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
			k, _, size, err := readFrame(in, maxDistributorFrame)
			if err != nil {
				_ = conn.Close()
				out.enqueue(nil)
				return
			}
			d.options.Counter.In(k.String(), size)
		}
	}()
	w := newFrameWriter(conn, d.options.Counter)
	beat := time.NewTicker(d.options.HeartbeatInterval)
	defer beat.Stop()
	told := ""
	for {
		if w.writeFrames(out.drain()...) != nil || w.Flush() != nil {
			return nil
		}
		select {
		case <-d.ctx.Done():
			return nil
		case <-out.wake:
		case <-beat.C:
			var frame []byte
			frame, told = d.heartbeatFrame(told)
			out.enqueue(frame)
		}
	}
}

// sendHoldings tells all other distributors. The caller has the lock.
func (d *Distributor) sendHoldings(h holdings) {
	frame := encodeJSONFrame(kindHoldings, h)
	for _, out := range d.links {
		out.enqueue(frame)
	}
}

// handleHoldings takes in whom another distributor holds. A pooler that has come there has left here, whatever its old stream says.
func (d *Distributor) handleHoldings(name string, h holdings) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.directory.update(name, h)
	for _, pooler := range h.Arrived {
		if s := d.streams[pooler]; s != nil && !s.Distributor && !h.Complete {
			_ = s.conn.Close()
		}
	}
}
