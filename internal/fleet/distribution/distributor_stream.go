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

// serve serves one connection until the peer ends it or ctx ends.
func (d *Distributor) serve(ctx context.Context, rawConn net.Conn) {
	closeConn := func() { _ = rawConn.Close() }
	defer closeConn()
	defer context.AfterFunc(ctx, closeConn)()
	conn := timeoutConn{rawConn, d.timing}
	reader := bufio.NewReaderSize(conn, bufferSize)
	frame, err := readFrame(reader, maxPoolerFrame)
	<-d.pendingHandshakes
	if err != nil || frame.kind != kindHello {
		return // not a peer of this protocol, or disconnected
	}
	d.options.Counter.In(frame.kind.String(), frame.size)
	var h hello
	if err := decodeJSON(frame.body, &h); err != nil {
		d.refuse(conn, "", refusal{Reason: "a call that can't be read: " + err.Error()})
		return
	}
	stream := d.newStream(conn, h)
	if refused := d.admit(stream); refused != nil {
		d.refuse(conn, h.Name, *refused)
		return
	}
	defer d.registry.remove(stream)
	err = d.runStream(ctx, reader, stream)
	if isProtocolError(err) {
		d.logRefusalOnce(h.Name+": "+sentinelOf(err).Error(), h.Name, err.Error())
	}
}

// newStream returns the stream of a peer that is not admitted yet.
func (d *Distributor) newStream(conn net.Conn, h hello) *serverStream {
	stream := &serverStream{hello: h, conn: conn, report: heartbeat{Versions: h.Versions, Status: h.Status}}
	for _, resource := range d.resources {
		stream.sentVersions = append(stream.sentVersions, h.Versions[resource.Name])
	}
	stream.outbox = newOutbox(poolerQueueLimits, func() {
		d.options.Log(fmt.Sprintf("distributor: disconnected %s: its send queue exceeded a limit", h.Name))
		_ = conn.Close()
	})
	return stream
}

// admit admits a stream, or returns the refusal.
func (d *Distributor) admit(stream *serverStream) *refusal {
	if err := stream.validate(); err != nil {
		return &refusal{Reason: err.Error()}
	}
	known := slices.ContainsFunc(d.options.Distributors, func(e Endpoint) bool { return e.Name == stream.Name })
	if stream.Distributor && !known {
		return &refusal{Reason: "a distributor that is not among those named here"}
	}
	return d.registry.add(stream, d.options.Region)
}

// refuse sends a refusal, and logs its reason if it is permanent.
func (d *Distributor) refuse(conn net.Conn, name string, r refusal) {
	frame := encodeJSONFrame(kindRefusal, r)
	d.options.Counter.Out(kindRefusal.String(), len(frame))
	_, _ = conn.Write(frame)
	if r.permanent() {
		d.logRefusalOnce(r.Reason, name, r.Reason)
	}
}

// logRefusalOnce logs why the stream with a peer was refused or ended, once for each reason.
func (d *Distributor) logRefusalOnce(reason, name, detail string) {
	d.logger.logOnce(reason, fmt.Sprintf("distributor: stream with %s rejected: %s", name, detail))
}

// runStream reads from and writes to an admitted stream until it ends, and returns the read error that ended it.
func (d *Distributor) runStream(ctx context.Context, reader *bufio.Reader, stream *serverStream) error {
	var writer sync.WaitGroup
	writer.Go(func() { // ends with ctx, at endOfStream, or when a write fails
		if err := d.writeStream(ctx, stream); err != nil {
			_ = stream.conn.Close()
		}
	})
	err := d.readStream(reader, stream)
	_ = stream.conn.Close()
	stream.outbox.endOfStream()
	writer.Wait()
	return err
}

// readStream handles the frames that a peer sends, until the connection fails or the peer violates the protocol.
func (d *Distributor) readStream(reader *bufio.Reader, stream *serverStream) error {
	maxLength := maxPoolerFrame
	if stream.Distributor { // it may forward messages of the length that distributors may send
		maxLength = maxDistributorFrame
	}
	for {
		frame, err := readFrame(reader, maxLength)
		if err != nil {
			return err
		}
		d.options.Counter.In(frame.kind.String(), frame.size)
		if err := d.handleFrame(stream, frame); err != nil {
			return err
		}
	}
}

// handleFrame handles one frame. If it returns an error, the stream ends.
func (d *Distributor) handleFrame(stream *serverStream, frame receivedFrame) error {
	switch {
	case frame.kind == kindHeartbeat:
		return d.handleHeartbeat(stream, frame.body)
	case frame.kind == kindMessage:
		return d.handleMessage(stream, frame.body)
	case frame.kind == kindBroadcast:
		return d.handleBroadcast(stream, frame.body)
	case frame.kind == kindHoldings && stream.Distributor:
		var h holdings
		if err := decodeJSON(frame.body, &h); err != nil {
			return err
		}
		d.registry.recordHoldings(stream.Name, h)
		return nil
	default:
		return fmt.Errorf("%w: %s", errMalformedFrame, frame.kind)
	}
}

// handleHeartbeat records a pooler's report or a distributor's summary. An empty body means that it has not changed.
func (d *Distributor) handleHeartbeat(stream *serverStream, body []byte) error {
	if len(body) == 0 {
		return nil
	}
	if stream.Distributor {
		var summary Summary
		if err := decodeJSON(body, &summary); err != nil {
			return err
		}
		d.registry.recordSummary(stream.Name, summary)
		return nil
	}
	var report heartbeat
	if err := decodeJSON(body, &report); err != nil {
		return err
	}
	d.registry.recordReport(stream, report)
	return nil
}

// writeStream sends a peer the updates that it needs, an announcement at each heartbeat and after each update, and the queued frames, until
// ctx ends or a write fails.
func (d *Distributor) writeStream(ctx context.Context, stream *serverStream) error {
	writer := newFrameWriter(stream.conn, d.options.Counter)
	if err := writer.writeFrames(encodeFrame(kindWelcome)); err != nil {
		return err
	}
	ticker := time.NewTicker(d.timing.heartbeat)
	defer ticker.Stop()
	for announcementDue := true; ; {
		if err := d.writePending(ctx, stream, writer, announcementDue); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-stream.outbox.wake:
			announcementDue = false
		case <-ticker.C:
			announcementDue = true
		}
	}
}

// writePending writes the queued frames, the updates that a pooler needs, and an announcement if it is due or there was an update.
func (d *Distributor) writePending(ctx context.Context, stream *serverStream, writer frameWriter, announcementDue bool) error {
	if err := writer.writeFrames(stream.outbox.drain()...); err != nil {
		return err
	}
	if !stream.Distributor {
		updated, err := d.writeUpdates(ctx, stream, writer)
		if err != nil {
			return err
		}
		announcementDue = announcementDue || updated
	}
	if !announcementDue {
		return writer.Flush()
	}
	return writer.flushFrames(encodeJSONFrame(kindAnnouncement, d.announcement()))
}

// writeUpdates writes the updates that a pooler needs, and reports whether there were any.
func (d *Distributor) writeUpdates(ctx context.Context, stream *serverStream, writer frameWriter) (updated bool, err error) {
	for i, resource := range d.resources {
		update := resource.updateSince(stream.sentVersions[i])
		if update.frame == nil {
			continue
		}
		if err := d.writeUpdate(ctx, update, writer); err != nil {
			return false, err
		}
		stream.sentVersions[i] = update.version
		updated = true
	}
	return updated, nil
}

// writeUpdate writes an update. For a snapshot it first blocks until a slot is free or ctx ends.
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

// announcement returns the current versions of the resources and the current size of the fleet.
func (d *Distributor) announcement() announcement {
	a := announcement{Poolers: d.Size()}
	now := time.Now()
	for _, resource := range d.resources {
		a.Resources = append(a.Resources, resource.announcement(now))
	}
	return a
}
