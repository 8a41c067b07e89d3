package distribution

import (
	"context"
	"fmt"
	"maps"
	"net"
	"sync"
	"time"

	"threadsail/internal/fleet/replication"
)

// runStream uses a stream until it ends, and returns the read error that ended it. replacement is the stream to the preferred distributor
// if that has admitted the pooler in the meantime, and nil otherwise.
func (s *Subscriber) runStream(ctx context.Context, stream *clientStream) (replacement *clientStream, err error) {
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	closeConn := func() { _ = stream.conn.Close() }
	defer closeConn()
	defer context.AfterFunc(streamCtx, closeConn)()
	out := newOutbox(poolerQueueLimits, closeConn)
	s.setStream(stream.Name, out)
	defer s.setStream("", nil)

	replacements := make(chan *clientStream, 1)
	var running sync.WaitGroup
	running.Go(func() { // ends with streamCtx, or when a write fails
		if err := s.writeStream(streamCtx, stream.conn, out); err != nil {
			closeConn()
		}
	})
	running.Go(func() { s.returnToPreferred(ctx, streamCtx, stream, replacements) }) // ends with streamCtx, after a pending connection attempt
	err = s.readStream(stream)
	cancel()
	running.Wait()
	select {
	case replacement = <-replacements:
	default:
	}
	return replacement, err
}

// setStream sets the distributor and the outbox of the current stream.
func (s *Subscriber) setStream(distributor string, out *outbox) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.distributor = distributor
	s.outbox = out
}

// writeStream sends a heartbeat at each interval, with a report if that has changed, and the queued frames, until ctx ends or a write
// fails.
func (s *Subscriber) writeStream(ctx context.Context, conn net.Conn, out *outbox) error {
	writer := newFrameWriter(conn, s.options.Counter)
	ticker := time.NewTicker(s.timing.heartbeat)
	defer ticker.Stop()
	var lastReport heartbeat
	for heartbeatDue := true; ; {
		frames := out.drain()
		if heartbeatDue {
			report := s.report()
			frames = append(frames, heartbeatFrame(report, lastReport))
			lastReport = report
		}
		if err := writer.flushFrames(frames...); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-out.wake:
			heartbeatDue = false
		case <-ticker.C:
			heartbeatDue = true
		}
	}
}

// heartbeatFrame returns the frame of a heartbeat. It contains the report only if that differs from the last one sent.
func heartbeatFrame(report, lastReport heartbeat) []byte {
	if report.Status == lastReport.Status && maps.Equal(report.Versions, lastReport.Versions) {
		return encodeFrame(kindHeartbeat)
	}
	return encodeJSONFrame(kindHeartbeat, report)
}

// readStream handles the frames that the distributor sends, until the connection fails, the distributor violates the protocol, or it lags
// for too long.
func (s *Subscriber) readStream(stream *clientStream) error {
	lag := lagDetector{limit: s.timing.maxLag()}
	for {
		frame, err := readFrame(stream.reader, maxDistributorFrame)
		if err != nil {
			return err
		}
		s.options.Counter.In(frame.kind.String(), frame.size)
		if err := s.handleFrame(frame, &lag); err != nil {
			return err
		}
	}
}

// handleFrame handles one frame. If it returns an error, the stream ends.
func (s *Subscriber) handleFrame(frame receivedFrame, lag *lagDetector) error {
	switch frame.kind {
	case kindAnnouncement:
		differs, err := s.handleAnnouncement(frame.body)
		if err != nil {
			return err
		}
		if lag.observe(differs, time.Now()) {
			return errDistributorLags
		}
	case kindDelta, kindSnapshot:
		return s.handleUpdate(frame)
	case kindMessage:
		m, err := decodeMessage(frame.body)
		if err != nil {
			return err
		}
		s.dispatch(m.from, m.topic, m.body)
	case kindBroadcast:
		b, err := decodeBroadcast(frame.body)
		if err != nil {
			return err
		}
		s.dispatch(b.from, b.topic, b.body)
	default:
		return fmt.Errorf("%w: %s", errMalformedFrame, frame.kind)
	}
	return nil
}

// handleAnnouncement confirms the replicas by an announcement. differs reports whether the distributor announced a version of a resource
// other than the one that this pooler holds.
func (s *Subscriber) handleAnnouncement(body []byte) (differs bool, err error) {
	var a announcement
	if err := decodeJSON(body, &a); err != nil {
		return false, err
	}
	s.mu.Lock()
	s.fleetSize = a.Poolers
	s.mu.Unlock()
	now := time.Now()
	for _, resource := range s.options.Resources {
		for _, announced := range a.Resources {
			if announced.Resource != resource.Name {
				continue
			}
			differs = differs || announced.Version != resource.Replica.Version()
			s.confirm(resource, announced, now)
		}
	}
	return differs, nil
}

// confirm confirms a replica by an announcement of its resource, if the distributor's replica was ever confirmed. It logs a replica that is
// newer than the announced version.
func (s *Subscriber) confirm(resource Resource, announced resourceAnnouncement, now time.Time) {
	if announced.ConfirmedAtUnixNano <= 0 {
		return
	}
	confirmedAt := replication.ConfirmationTime(now, announced.ConfirmedAtUnixNano, announced.Age)
	if !resource.Replica.Confirm(announced.Version, confirmedAt) {
		s.logger.logOnce("newer "+resource.Name, fmt.Sprintf("distribution: replica of %s is newer (version %d) than the voters' log (version %d); "+
			"if that log was recreated, stop this pooler, empty shared.dir and restart it", resource.Name, resource.Replica.Version(), announced.Version))
	}
}

// handleUpdate installs the version of a resource that an update contains, or changes nothing if the update is not newer or is invalid.
func (s *Subscriber) handleUpdate(frame receivedFrame) error {
	var name string
	payload, err := cutNames(frame.body, &name)
	if err != nil {
		return err
	}
	for _, resource := range s.options.Resources {
		if resource.Name != name {
			continue
		}
		next, newer, err := nextSnapshot(frame.kind, payload, resource.Replica.Snapshot())
		if newer {
			resource.Replica.Install(next)
		}
		return err
	}
	return fmt.Errorf("%w: %s", errUnknownResource, name)
}
