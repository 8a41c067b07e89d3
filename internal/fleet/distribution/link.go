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

// maintainLink keeps a stream open to another distributor, by which this one reports its holdings and forwards messages, until ctx ends.
func (d *Distributor) maintainLink(ctx context.Context, endpoint Endpoint) {
	for ctx.Err() == nil {
		var refused refusedError
		if err := d.openLink(ctx, endpoint); errors.As(err, &refused) && ctx.Err() == nil {
			d.logRefusalOnce("link: "+refused.Reason, endpoint.Name, "link: "+refused.Reason)
		}
		sleep(ctx, d.timing.heartbeat)
		d.registry.expire(d.timing.avoidFor())
	}
}

// openLink opens a link and uses it until it ends. The error tells why it could not be opened.
func (d *Distributor) openLink(ctx context.Context, endpoint Endpoint) error {
	h := hello{Protocol: protocolVersion, Name: d.options.Name, Region: d.options.Region, Distributor: true}
	opened, err := d.dialer.open(ctx, endpoint, d.timing.answerTimeout(), h)
	if err != nil {
		return err
	}
	closeConn := func() { _ = opened.conn.Close() }
	out := newOutbox(linkQueueLimits, closeConn)
	d.registry.addLink(endpoint.Name, out)
	defer d.registry.removeLink(endpoint.Name, out)
	var reader sync.WaitGroup
	defer reader.Wait()
	defer closeConn()
	defer context.AfterFunc(ctx, closeConn)()
	reader.Go(func() { // ends with the connection
		d.discardFrames(opened.reader)
		closeConn()
		out.endOfStream()
	})
	d.writeLink(ctx, opened.conn, out)
	return nil
}

// discardFrames reads until the connection ends: announcements come on a link only to show that the other side is alive.
func (d *Distributor) discardFrames(reader *bufio.Reader) {
	for {
		frame, err := readFrame(reader, maxDistributorFrame)
		if err != nil {
			return
		}
		d.options.Counter.In(frame.kind.String(), frame.size)
	}
}

// writeLink writes what waits, and a heartbeat at each interval, until ctx ends or a write fails.
func (d *Distributor) writeLink(ctx context.Context, conn net.Conn, out *outbox) {
	writer := newFrameWriter(conn, d.options.Counter)
	ticker := time.NewTicker(d.timing.heartbeat)
	defer ticker.Stop()
	var reported []byte
	for writer.flushFrames(out.drain()...) == nil {
		select {
		case <-ctx.Done():
			return
		case <-out.wake:
		case <-ticker.C:
			summary := mustMarshal(d.ownSummary())
			out.enqueue(summaryFrame(summary, reported))
			reported = summary
		}
	}
}

// summaryFrame returns the frame of a link's heartbeat, which has the summary only where that differs from the one before it.
func summaryFrame(summary, reported []byte) []byte {
	if bytes.Equal(summary, reported) {
		return encodeFrame(kindHeartbeat)
	}
	return encodeFrame(kindHeartbeat, summary)
}
