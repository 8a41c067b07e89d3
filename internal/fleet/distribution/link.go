package distribution

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// maintainLink keeps a link open to another distributor until ctx ends. Over it this distributor reports its holdings and forwards
// messages.
func (d *Distributor) maintainLink(ctx context.Context, endpoint Endpoint) {
	for ctx.Err() == nil {
		var refused refusedError
		if err := d.openLink(ctx, endpoint); errors.As(err, &refused) && ctx.Err() == nil {
			d.logRefusalOnce("link: "+refused.Reason, endpoint.Name, "link: "+refused.Reason)
		}
		sleep(ctx, d.timing.heartbeat)
		d.registry.expire(d.timing.avoidDuration())
	}
}

// openLink opens a link and uses it until it ends. It returns an error only if the link could not be opened.
func (d *Distributor) openLink(ctx context.Context, endpoint Endpoint) error {
	h := hello{Protocol: protocolVersion, Name: d.options.Name, Region: d.options.Region, Distributor: true}
	stream, err := d.dialer.open(ctx, endpoint, d.timing.answerTimeout(), h)
	if err != nil {
		return err
	}
	closeConn := func() { _ = stream.conn.Close() }
	out := newOutbox(linkQueueLimits, closeConn)
	d.registry.addLink(endpoint.Name, out)
	defer d.registry.removeLink(endpoint.Name, out)
	var reader sync.WaitGroup
	defer reader.Wait()
	defer closeConn()
	defer context.AfterFunc(ctx, closeConn)()
	reader.Go(func() { // ends with the connection
		d.discardFrames(stream.reader)
		closeConn()
		out.endOfStream()
	})
	d.writeLink(ctx, stream.conn, out)
	return nil
}

// discardFrames reads and discards frames until the connection ends. The announcements that arrive on a link only show that the other
// distributor is alive.
func (d *Distributor) discardFrames(reader *bufio.Reader) {
	for {
		frame, err := readFrame(reader, maxDistributorFrame)
		if err != nil {
			return
		}
		d.options.Counter.In(frame.kind.String(), frame.size)
	}
}

// writeLink writes the queued frames, and a heartbeat at each interval, until ctx ends or a write fails.
func (d *Distributor) writeLink(ctx context.Context, conn net.Conn, out *outbox) {
	writer := newFrameWriter(conn, d.options.Counter)
	ticker := time.NewTicker(d.timing.heartbeat)
	defer ticker.Stop()
	var lastReported []byte
	for writer.flushFrames(out.drain()...) == nil {
		select {
		case <-ctx.Done():
			return
		case <-out.wake:
		case <-ticker.C:
			summary := mustMarshal(d.ownSummary())
			out.enqueue(summaryFrame(summary, lastReported))
			lastReported = summary
		}
	}
}

// summaryFrame returns a link's heartbeat frame. It contains the summary only if that differs from the last one reported.
func summaryFrame(summary, reported []byte) []byte {
	if bytes.Equal(summary, reported) {
		return encodeFrame(kindHeartbeat)
	}
	return encodeFrame(kindHeartbeat, summary)
}
