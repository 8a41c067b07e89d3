package distribution

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/replication"
)

// SubscriberOptions of a pooler's end.
type SubscriberOptions struct {
	Name              string
	Region            string
	Distributors      []Endpoint
	Resources         []Resource
	HeartbeatInterval time.Duration
	JitterFraction    float64 // from 0 up to 1, by the pooler's own seed: when it turns to another, among all
	Dial              Dialer  // nil: TCP
	Counter           Counter
	Log               func(string)
}

// Subscriber is a pooler's stream to a distributor, whichever it has at the time. It implements bus.Bus. It is safe for use by
// several goroutines.
type Subscriber struct {
	handlers
	options SubscriberOptions
	ranked  []Endpoint
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu          sync.Mutex
	status      Status
	distributor string  // the distributor; "": none
	outbox      *outbox // to it; nil: none
	fleetSize   int     // as told last
	lostAt      map[string]time.Time
	logged      map[string]bool // reasons that were logged
}

var _ bus.Bus = (*Subscriber)(nil)

// Subscribe keeps the feeds as new as a distributor has them, until Close. It returns at once.
func Subscribe(o SubscriberOptions) *Subscriber {
	setDefaults(&o.Dial, &o.Counter, &o.Log)
	s := &Subscriber{options: o, ranked: Rank(o.Name, o.Region, o.Distributors), lostAt: map[string]time.Time{}, logged: map[string]bool{}}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.running.Go(func() { s.run(ctx) })
	return s
}

// Close ends the stream and waits for it.
func (s *Subscriber) Close() {
	s.cancel()
	s.running.Wait()
}

// openedStream is a stream that a distributor has taken.
type openedStream struct {
	Endpoint
	conn   net.Conn
	reader *bufio.Reader
}

// run holds one stream after another.
func (s *Subscriber) run(ctx context.Context) {
	var next *openedStream
	patience := s.answerTimeout()
	for ctx.Err() == nil {
		if next == nil {
			next = s.connect(ctx, patience)
		}
		if next == nil { // nobody takes it: it is as a pooler alone
			sleep(ctx, s.jittered(s.options.HeartbeatInterval))
			patience = min(2*patience, maxAnswerHeartbeats*s.options.HeartbeatInterval) // where all are slow to answer, calls that are given up make them slower
			continue
		}
		at := next
		patience = s.answerTimeout()
		var why error
		if next, why = s.useStream(ctx, at); next != nil || ctx.Err() != nil {
			continue
		}
		s.mu.Lock()
		s.lostAt[at.Name] = time.Now()
		s.mu.Unlock()
		s.logStreamEnd(at.Name, why)
		// All that were there turn to others now: within a beat, by their seeds.
		sleep(ctx, time.Duration(s.options.JitterFraction*float64(s.options.HeartbeatInterval)))
	}
	if next != nil {
		_ = next.conn.Close()
	}
}

// logStreamEnd logs why a stream has ended: each loss, but what a distributor says that can't be once alone.
func (s *Subscriber) logStreamEnd(name string, why error) {
	line := fmt.Sprintf("distribution: the stream to %s has ended: %v", name, why)
	var network net.Error
	if errors.Is(why, io.EOF) || errors.Is(why, net.ErrClosed) || errors.As(why, &network) {
		s.options.Log(line)
		return
	}
	s.logOnce(fmt.Sprintf("ended %s: %v", name, faultKind(why)), line)
}

// logRefusal logs why a distributor does not take this pooler, if it is neither for want of room nor of the network.
func (s *Subscriber) logRefusal(p Endpoint, err error) {
	var no refusedError
	switch {
	case errors.As(err, &no):
		if !no.Full && no.RetryAfterMillis == 0 {
			s.logOnce("", fmt.Sprintf("distribution: %s refuses this pooler: %s", p.Name, no.Reason))
		}
	case errors.Is(err, errMalformedFrame) || errors.Is(err, errFrameTooLong):
		s.logOnce("answer "+p.Name, fmt.Sprintf("distribution: what %s answers a call is none: %v", p.Name, err))
	}
}

// jittered is from half of d up to one and a half of it, by the pooler's seed.
func (s *Subscriber) jittered(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.options.JitterFraction*float64(d))
}

// connect calls the distributors in their order until one takes the stream; nil: none does. One that names a time is called again
// then. Those that have no room take nobody who finds room elsewhere: they are asked once more, with that said.
func (s *Subscriber) connect(ctx context.Context, patience time.Duration) *openedStream {
	for _, insists := range []bool{false, true} {
		full := false
		for _, p := range s.preferredOrder() {
			t, err := s.openStream(ctx, p, patience, insists)
			var no refusedError
			for errors.As(err, &no) && no.RetryAfterMillis > 0 && ctx.Err() == nil {
				sleep(ctx, time.Duration(no.RetryAfterMillis)*time.Millisecond)
				t, err = s.openStream(ctx, p, patience, insists)
				no = refusedError{}
			}
			switch {
			case ctx.Err() != nil:
				if t != nil {
					_ = t.conn.Close()
				}
				return nil
			case err == nil:
				return t
			case errors.As(err, &no) && no.Full:
				full = true
			case errors.As(err, &no):
				s.logRefusal(p, err)
			default:
				s.logRefusal(p, err)
				s.mu.Lock()
				s.lostAt[p.Name] = time.Now()
				s.mu.Unlock()
			}
		}
		if !full {
			return nil
		}
	}
	return nil
}

// preferredOrder is the distributors as this pooler prefers them now.
func (s *Subscriber) preferredOrder() []Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return deprioritize(s.ranked, func(p Endpoint) bool {
		at, ok := s.lostAt[p.Name]
		return ok && time.Since(at) < avoidHeartbeats*s.options.HeartbeatInterval
	})
}

// answerTimeout is how long a call may take.
func (s *Subscriber) answerTimeout() time.Duration {
	return tenthsOfHeartbeat(s.options.HeartbeatInterval, answerTimeoutTenths)
}

func (s *Subscriber) openStream(ctx context.Context, p Endpoint, patience time.Duration, insists bool) (*openedStream, error) {
	s.mu.Lock()
	h := hello{Protocol: protocolVersion, Name: s.options.Name, Region: s.options.Region, Versions: s.versions(), Insists: insists, Status: s.status}
	s.mu.Unlock()
	conn, in, err := openStream(ctx, s.options.Dial, p, patience, s.options.HeartbeatInterval, s.options.Counter, h)
	if err != nil {
		return nil, err
	}
	return &openedStream{p, conn, in}, nil
}

func (s *Subscriber) versions() map[string]uint64 {
	out := map[string]uint64{}
	for _, f := range s.options.Resources {
		out[f.Name] = f.Replica.Version()
	}
	return out
}

// useStream uses a stream until it ends, and says why; or until the pooler's first choice takes it again, which is returned then.
func (s *Subscriber) useStream(ctx context.Context, t *openedStream) (next *openedStream, why error) {
	stream, cancel := context.WithCancel(ctx)
	defer cancel()
	defer t.conn.Close()
	defer context.AfterFunc(stream, func() { _ = t.conn.Close() })()
	out := newOutbox(maxQueuedBytes, func() { _ = t.conn.Close() })
	s.mu.Lock()
	s.distributor, s.outbox = t.Name, out
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.distributor, s.outbox = "", nil
	}()
	var running sync.WaitGroup
	running.Go(func() {
		if err := s.writeStream(stream, t.conn, out); err != nil {
			_ = t.conn.Close()
		}
	})
	home := make(chan *openedStream, 1)
	running.Go(func() { s.returnToPreferred(ctx, stream, t, home) })
	why = s.readStream(t)
	cancel()
	running.Wait()
	select {
	case next = <-home:
	default:
	}
	return next, why
}

// returnToPreferred looks from time to time, while the stream in hand lasts, whether the pooler's first choice takes it again, and ends that stream once it has.
// A call outlasts the stream: the distributor in hand may hear that the pooler has gone, and end it, before the pooler hears that it is taken.
func (s *Subscriber) returnToPreferred(ctx, stream context.Context, at *openedStream, home chan<- *openedStream) {
	for first := s.ranked[0]; first.Name != at.Name; {
		sleep(stream, s.jittered(preferredRetryHeartbeats*s.options.HeartbeatInterval))
		if stream.Err() != nil {
			return
		}
		t, err := s.openStream(ctx, first, s.answerTimeout(), false)
		if err == nil {
			home <- t
			_ = at.conn.Close()
			return
		}
		s.logRefusal(first, err)
	}
}

// writeStream tells each beat that the pooler lives, and what it has in force where that has changed, and sends what waits.
func (s *Subscriber) writeStream(ctx context.Context, conn net.Conn, out *outbox) error {
	w := newFrameWriter(conn, s.options.Counter)
	beat := time.NewTicker(s.options.HeartbeatInterval)
	defer beat.Stop()
	var told heartbeat
	for due := true; ; {
		waiting := out.drain()
		if due {
			now := heartbeat{Versions: s.versions()}
			s.mu.Lock()
			now.Status = s.status
			s.mu.Unlock()
			frame := encodeFrame(kindHeartbeat)
			if now.Status != told.Status || !maps.Equal(now.Versions, told.Versions) {
				frame, told = encodeJSONFrame(kindHeartbeat, now), now
			}
			waiting = append(waiting, frame)
		}
		if err := w.writeFrames(waiting...); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-out.wake:
			due = false
		case <-beat.C:
			due = true
		}
	}
}

// readStream takes in what the distributor says, until the stream fails or says what can't be.
func (s *Subscriber) readStream(t *openedStream) error {
	behind := time.Time{} // since when the distributor has told of another version than this pooler has
	for {
		k, body, size, err := readFrame(t.reader, maxDistributorFrame)
		if err != nil {
			return err
		}
		s.options.Counter.In(k.String(), size)
		switch k {
		case kindAnnouncement:
			var late bool
			if late, err = s.handleAnnouncement(body); !late {
				behind = time.Time{}
			} else if behind.IsZero() {
				behind = time.Now()
			} else if time.Since(behind) >= maxLagHeartbeats*s.options.HeartbeatInterval {
				err = errDistributorLags
			}
		case kindDelta, kindSnapshot:
			err = s.handleUpdate(k, body)
		case kindMessage:
			var to, from, topic string
			if body, err = splitNames(body, &to, &from, &topic); err == nil {
				s.dispatch(from, topic, body)
			}
		case kindBroadcast:
			var from, topic string
			if body, err = splitNames(body, &from, &topic); err == nil {
				s.dispatch(from, topic, body)
			}
		default:
			err = fmt.Errorf("%w: %s", errMalformedFrame, k)
		}
		if err != nil {
			return err
		}
	}
}

// handleAnnouncement confirms the copies by what the distributor knows. late: it tells of another version of one than this pooler has.
func (s *Subscriber) handleAnnouncement(body []byte) (late bool, err error) {
	var w announcement
	if err := json.Unmarshal(body, &w); err != nil {
		return false, fmt.Errorf("%w: %w", errMalformedFrame, err)
	}
	s.mu.Lock()
	s.fleetSize = w.Poolers
	s.mu.Unlock()
	now := time.Now()
	for _, f := range s.options.Resources {
		for _, fw := range w.Resources {
			if fw.Resource != f.Name {
				continue
			}
			late = late || fw.Version != f.Replica.Version()
			if fw.ConfirmedAtUnixNano > 0 && !f.Replica.Confirm(fw.Version, replication.ConfirmationTime(now, fw.ConfirmedAtUnixNano, fw.Age)) {
				s.logOnce("foreign "+f.Name, fmt.Sprintf("distribution: %s tells of version %d, this copy is at %d already: if the stewards' log has begun anew, stop this pooler, empty shared.dir and start it",
					f.Name, fw.Version, f.Replica.Version()))
			}
		}
	}
	return late, nil
}

// handleUpdate puts a newer version of a feed in force, whole, or nothing.
func (s *Subscriber) handleUpdate(k frameKindID, body []byte) error {
	var name string
	text, err := splitNames(body, &name)
	if err != nil {
		return err
	}
	for _, f := range s.options.Resources {
		if f.Name != name {
			continue
		}
		next, err := nextSnapshot(k, text, f.Replica.Snapshot())
		if err == nil && next != nil {
			f.Replica.Install(*next)
		}
		return err
	}
	return fmt.Errorf("%w: %s", errUnknownResource, name)
}

// logOnce logs a line once for each reason; "": the line itself.
func (s *Subscriber) logOnce(reason, line string) {
	reason = cmp.Or(reason, line)
	s.mu.Lock()
	said := s.logged[reason] || len(s.logged) >= 1024
	s.logged[reason] = true
	s.mu.Unlock()
	if !said {
		s.options.Log(line)
	}
}

// SetStatus changes what this pooler tells of itself.
func (s *Subscriber) SetStatus(status Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

// Distributor is the distributor that the pooler has a stream to; "": none.
func (s *Subscriber) Distributor() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.distributor
}

// Self is documented with bus.Bus.
func (s *Subscriber) Self() string { return s.options.Name }

// Members are the distributors and this pooler: whom else there is, no pooler knows. While it has no stream it is alone.
func (s *Subscriber) Members() []string {
	out := []string{s.options.Name}
	if s.Distributor() != "" {
		for _, p := range s.ranked {
			out = append(out, p.Name)
		}
	}
	slices.Sort(out)
	return out
}

// Size is documented with bus.Bus.
func (s *Subscriber) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.fleetSize, 1)
}

// Send is documented with bus.Bus. What it returns tells of the stream to the distributor; to this pooler itself it goes without it.
func (s *Subscriber) Send(ctx context.Context, to, topic string, body []byte) error {
	if err := checkMessageSize(topic, body, maxMessageBody); err != nil {
		return err
	}
	if to == s.options.Name {
		s.dispatch(to, topic, slices.Clone(body))
		return nil
	}
	s.mu.Lock()
	out := s.outbox
	s.mu.Unlock()
	if out == nil || to == "" || len(to) > maxNameLength || !out.enqueue(encodeFrame(kindMessage, prependNames(body, to, s.options.Name, topic))) {
		return fmt.Errorf("%w: %s, without a distributor", bus.ErrUnknownMember, to)
	}
	return ctx.Err()
}

// Broadcast is documented with bus.Bus.
func (s *Subscriber) Broadcast(topic string, body []byte) {
	if err := checkMessageSize(topic, body, maxMessageBody); err != nil {
		s.options.Log("distribution: " + err.Error())
		return
	}
	s.mu.Lock()
	out := s.outbox
	s.mu.Unlock()
	if out != nil {
		out.enqueueBroadcast(topic, encodeFrame(kindBroadcast, prependNames(body, s.options.Name, topic)))
	}
}
