package distribution

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// serve serves one caller until either side ends.
func (d *Distributor) serve(ctx context.Context, plain net.Conn) {
	closeConn := func() { _ = plain.Close() }
	defer closeConn()
	defer context.AfterFunc(ctx, closeConn)()
	conn := timeoutConn{plain, d.timing}
	reader := bufio.NewReaderSize(conn, bufferSize)
	frame, err := readFrame(reader, maxPoolerFrame)
	<-d.pendingCalls
	if err != nil || frame.kind != kindHello {
		return // no peer of this protocol, or one that has gone
	}
	d.options.Counter.In(frame.kind.String(), frame.size)
	var h hello
	if err := decodeJSON(frame.body, &h); err != nil {
		d.refuse(conn, "", refusal{Reason: "a call that can't be read: " + err.Error()})
		return
	}
	s := d.newStream(conn, h)
	if refused := d.admit(s); refused != nil {
		d.refuse(conn, h.Name, *refused)
		return
	}
	defer d.registry.remove(s)
	err = d.useStream(ctx, reader, s)
	if isProtocolError(err) {
		d.logRefusalOnce(h.Name+": "+sentinelOf(err).Error(), h.Name, err.Error())
	}
}

// newStream returns the stream of a caller that is not admitted yet.
func (d *Distributor) newStream(conn net.Conn, h hello) *serverStream {
	s := &serverStream{hello: h, conn: conn, report: heartbeat{Versions: h.Versions, Status: h.Status}}
	for _, resource := range d.resources {
		s.sentVersions = append(s.sentVersions, h.Versions[resource.Name])
	}
	s.outbox = newOutbox(poolerQueueLimits, func() {
		d.options.Log(fmt.Sprintf("distributor: %s is cut off: too much waits for it", h.Name))
		_ = conn.Close()
	})
	return s
}

// admit admits a caller, or returns the refusal.
func (d *Distributor) admit(s *serverStream) *refusal {
	if err := s.validate(); err != nil {
		return &refusal{Reason: err.Error()}
	}
	known := slices.ContainsFunc(d.options.Distributors, func(e Endpoint) bool { return e.Name == s.Name })
	if s.Distributor && !known {
		return &refusal{Reason: "a distributor that is not among those named here"}
	}
	return d.registry.add(s, d.options.Region)
}

// refuse answers a call that is not admitted.
func (d *Distributor) refuse(conn net.Conn, name string, r refusal) {
	frame := encodeJSONFrame(kindRefusal, r)
	d.options.Counter.Out(kindRefusal.String(), len(frame))
	_, _ = conn.Write(frame)
	if r.permanent() {
		d.logRefusalOnce(r.Reason, name, r.Reason)
	}
}

// logRefusalOnce logs why a caller is refused, once for each reason.
func (d *Distributor) logRefusalOnce(reason, name, why string) {
	d.logger.logOnce(reason, fmt.Sprintf("distributor: %s is refused: %s", name, why))
}

// useStream reads and writes an admitted caller's stream until it ends, and returns why.
func (d *Distributor) useStream(ctx context.Context, reader *bufio.Reader, s *serverStream) error {
	var writer sync.WaitGroup
	writer.Go(func() { // ends with ctx, at the end of the outbox, or where a write fails
		if err := d.writeStream(ctx, s); err != nil {
			_ = s.conn.Close()
		}
	})
	err := d.readStream(reader, s)
	_ = s.conn.Close()
	s.outbox.endOfStream()
	writer.Wait()
	return err
}

// readStream handles what a caller sends, until the connection fails or the caller breaks the protocol.
func (d *Distributor) readStream(reader *bufio.Reader, s *serverStream) error {
	maxLength := maxPoolerFrame
	if s.Distributor { // it may forward what was sent down to it
		maxLength = maxDistributorFrame
	}
	for {
		frame, err := readFrame(reader, maxLength)
		if err != nil {
			return err
		}
		d.options.Counter.In(frame.kind.String(), frame.size)
		if err := d.handleFrame(s, frame); err != nil {
			return err
		}
	}
}

// handleFrame handles one frame. An error ends the stream.
func (d *Distributor) handleFrame(s *serverStream, frame receivedFrame) error {
	switch {
	case frame.kind == kindHeartbeat:
		return d.handleHeartbeat(s, frame.body)
	case frame.kind == kindMessage:
		return d.handleMessage(s, frame.body)
	case frame.kind == kindBroadcast:
		return d.handleBroadcast(s, frame.body)
	case frame.kind == kindHoldings && s.Distributor:
		var h holdings
		if err := decodeJSON(frame.body, &h); err != nil {
			return err
		}
		d.registry.takeHoldings(s.Name, h)
		return nil
	default:
		return fmt.Errorf("%w: %s", errMalformedFrame, frame.kind)
	}
}

// handleHeartbeat records a pooler's report, or a distributor's summary; neither has changed where the body is empty.
func (d *Distributor) handleHeartbeat(s *serverStream, body []byte) error {
	if len(body) == 0 {
		return nil
	}
	if s.Distributor {
		var summary Summary
		if err := decodeJSON(body, &summary); err != nil {
			return err
		}
		d.registry.takeSummary(s.Name, summary)
		return nil
	}
	var report heartbeat
	if err := decodeJSON(body, &report); err != nil {
		return err
	}
	d.registry.takeReport(s, report)
	return nil
}

// writeStream sends a caller what it lacks, an announcement at each heartbeat and after each update, and what waits in the outbox, until
// ctx ends or a write fails.
func (d *Distributor) writeStream(ctx context.Context, s *serverStream) error {
	writer := newFrameWriter(s.conn, d.options.Counter)
	if err := writer.writeFrames(encodeFrame(kindWelcome)); err != nil {
		return err
	}
	ticker := time.NewTicker(d.timing.heartbeat)
	defer ticker.Stop()
	for due := true; ; {
		if err := d.writePending(ctx, s, writer, due); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.outbox.wake:
			due = false
		case <-ticker.C:
			due = true
		}
	}
}

// writePending writes what waits, the updates that a pooler lacks, and an announcement if it is due or there was an update.
func (d *Distributor) writePending(ctx context.Context, s *serverStream, writer frameWriter, due bool) error {
	if err := writer.writeFrames(s.outbox.drain()...); err != nil {
		return err
	}
	if !s.Distributor {
		updated, err := d.writeUpdates(ctx, s, writer)
		if err != nil {
			return err
		}
		due = due || updated
	}
	if !due {
		return writer.Flush()
	}
	return writer.flushFrames(encodeJSONFrame(kindAnnouncement, d.announcement()))
}

// writeUpdates writes what a pooler lacks of the resources, and reports whether it lacked anything.
func (d *Distributor) writeUpdates(ctx context.Context, s *serverStream, writer frameWriter) (updated bool, err error) {
	for i, resource := range d.resources {
		update := resource.updateSince(s.sentVersions[i])
		if update.frame == nil {
			continue
		}
		if err := d.writeUpdate(ctx, update, writer); err != nil {
			return false, err
		}
		s.sentVersions[i] = update.version
		updated = true
	}
	return updated, nil
}

// writeUpdate writes an update. A snapshot waits for a slot.
func (d *Distributor) writeUpdate(ctx context.Context, update publishedUpdate, writer frameWriter) error {
	if !update.isSnapshot() {
		return writer.writeFrames(update.frame)
	}
	select {
	case d.snapshotSlots <- struct{}{}:
		defer func() { <-d.snapshotSlots }()
		return writer.writeFrames(update.frame)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// announcement returns what the distributor knows of its resources and of the fleet's size now.
func (d *Distributor) announcement() announcement {
	a := announcement{Poolers: d.Size()}
	now := time.Now()
	for _, resource := range d.resources {
		a.Resources = append(a.Resources, resource.announcement(now))
	}
	return a
}
