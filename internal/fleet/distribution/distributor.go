package distribution

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/replication"
)

// DistributorOptions of a distributor.
type DistributorOptions struct {
	Name              string // among the poolers: a distributor is one itself
	Region            string
	Distributors      []Endpoint // the distributors, this one among them or not
	Resources         []Resource
	HeartbeatInterval time.Duration
	Dial              Dialer // nil: TCP
	Counter           Counter
	Log               func(string)
}

// Distributor is one running. It implements bus.Bus for its own process. It is safe for use by several goroutines.
type Distributor struct {
	handlers
	options       DistributorOptions
	listener      net.Listener
	resources     []*publishedResource
	snapshotSlots chan struct{} // tokens of the wholes under way
	pendingCalls  chan struct{} // tokens of the connections that are no stream yet
	cancel        context.CancelFunc
	ctx           context.Context
	running       sync.WaitGroup

	mu             sync.Mutex
	streams        map[string]*stream // by pooler, and by distributor that has called
	poolerCount    int                // of streams
	links          map[string]*outbox // to other distributors, by name
	directory      directory
	admission      admission
	loggedRefusals map[string]bool // reasons that were logged
}

// stream is a caller that has been taken.
type stream struct {
	hello
	conn            net.Conn
	outbox          *outbox
	sentVersions    []uint64          // by feed: what was sent, or was there; the writer's alone
	status          Status            // guarded by Distributor.mu, as is force
	versionsInForce map[string]uint64 // by feed: the version in force there
}

var _ bus.Bus = (*Distributor)(nil)

// NewDistributor takes callers from a listener, which it closes at its end, and calls the other distributors, until Close.
func NewDistributor(ln net.Listener, o DistributorOptions) *Distributor {
	setDefaults(&o.Dial, &o.Counter, &o.Log)
	d := &Distributor{options: o, listener: ln, snapshotSlots: make(chan struct{}, maxSnapshotWrites), pendingCalls: make(chan struct{}, maxPendingCalls), streams: map[string]*stream{}, links: map[string]*outbox{}, directory: newDirectory(),
		loggedRefusals: map[string]bool{}}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	for _, f := range o.Resources {
		kept := &publishedResource{Resource: f, history: replication.History{FullReplacement: f.FullReplacement}}
		kept.record()
		d.resources = append(d.resources, kept)
		d.running.Go(func() { kept.follow(d.ctx, d.wakeStreams) })
	}
	for _, p := range o.Distributors {
		if p.Name != o.Name {
			d.running.Go(func() { d.maintainLink(p) })
		}
	}
	d.running.Go(d.accept)
	return d
}

// Close ends all streams and waits for them.
func (d *Distributor) Close() {
	d.cancel()
	_ = d.listener.Close()
	d.running.Wait()
}

// wakeStreams has all streams look at the feeds.
func (d *Distributor) wakeStreams() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.streams {
		s.outbox.wakeWriter()
	}
}

func (d *Distributor) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			if d.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			d.options.Log("distributor: accept: " + err.Error())
			sleep(d.ctx, d.options.HeartbeatInterval) // of descriptors, for want of which it failed, some may come free
			continue
		}
		select {
		case d.pendingCalls <- struct{}{}:
			d.running.Go(func() { d.serve(c) })
		default: // more than a whole fleet calls, and says nothing
			_ = c.Close()
		}
	}
}

// serve serves one caller until either side ends.
func (d *Distributor) serve(c net.Conn) {
	defer c.Close()
	defer context.AfterFunc(d.ctx, func() { _ = c.Close() })()
	conn := timeoutConn{c, tenthsOfHeartbeat(d.options.HeartbeatInterval, readTimeoutTenths), writeTimeoutHeartbeats * d.options.HeartbeatInterval}
	in := bufio.NewReaderSize(conn, 4<<10)
	k, body, size, err := readFrame(in, maxPoolerFrame)
	<-d.pendingCalls
	if err != nil || k != kindHello {
		return // no peer of ours, or one that has gone
	}
	d.options.Counter.In(k.String(), size)
	var h hello
	if err := json.Unmarshal(body, &h); err != nil {
		d.refuse(conn, "", refusal{Reason: "a call that can't be read: " + err.Error()})
		return
	}
	s := &stream{hello: h, conn: conn, sentVersions: make([]uint64, len(d.resources)), status: h.Status, versionsInForce: h.Versions}
	for i, f := range d.resources {
		s.sentVersions[i] = h.Versions[f.Name]
	}
	s.outbox = newOutbox(maxQueuedBytes, func() {
		d.options.Log(fmt.Sprintf("distributor: %s is cut off: too much waits for it", h.Name))
		_ = c.Close()
	})
	if no := d.addStream(s); no != nil {
		d.refuse(conn, h.Name, *no)
		return
	}
	defer d.removeStream(s)
	written := make(chan struct{})
	go func() {
		defer close(written)
		if err := d.writeStream(s); err != nil {
			_ = c.Close()
		}
	}()
	err = d.readStream(in, s)
	_ = c.Close()
	s.outbox.enqueue(nil) // wakes the writer, whose next write fails
	<-written
	if errors.Is(err, errMalformedFrame) || errors.Is(err, errFrameTooLong) {
		d.logRefusalOnce(h.Name+": "+faultKind(err).Error(), h.Name, err.Error())
	}
}

// addStream takes a caller in, or says why not.
func (d *Distributor) addStream(s *stream) *refusal {
	if err := s.validate(); err != nil {
		return &refusal{Reason: err.Error()}
	}
	if s.Distributor && !slices.ContainsFunc(d.options.Distributors, func(p Endpoint) bool { return p.Name == s.Name }) {
		return &refusal{Reason: "a distributor that is not among those named here"}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.streams[s.Name]
	if !s.Distributor {
		if old == nil {
			if d.poolerCount >= maxStreams {
				return &refusal{Reason: "no descriptor is left", Full: true}
			}
			streams, others := d.directory.load(d.options.Region)
			if bound := streamLimit(streams+d.poolerCount, others+1); d.poolerCount >= bound && !s.Insists {
				return &refusal{Reason: fmt.Sprintf("it holds %d streams, %d are its share", d.poolerCount, bound), Full: true}
			}
		}
		if later := d.admission.admit(time.Now()); later > 0 {
			return &refusal{Reason: "too many call at once", RetryAfterMillis: max(later.Milliseconds(), 1)}
		}
	}
	if old != nil {
		_ = old.conn.Close() // its pooler has come again: what it sent there is in its new call
	}
	d.streams[s.Name] = s
	switch {
	case s.Distributor:
		d.directory.linkOpened(s.Name, s.Region)
	case old == nil || old.Distributor:
		d.poolerCount++
		d.sendHoldings(holdings{Arrived: []string{s.Name}})
	}
	return nil
}

// removeStream ends a caller's stream, unless a newer one has its place.
func (d *Distributor) removeStream(s *stream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.Distributor {
		d.directory.linkClosed(s.Name, time.Now())
	}
	if d.streams[s.Name] != s {
		return
	}
	delete(d.streams, s.Name)
	if !s.Distributor {
		d.poolerCount--
		d.sendHoldings(holdings{Departed: []string{s.Name}})
	}
}

func (d *Distributor) refuse(c net.Conn, name string, no refusal) {
	frame := encodeJSONFrame(kindRefusal, no)
	d.options.Counter.Out(kindRefusal.String(), len(frame))
	_, _ = c.Write(frame)
	if !no.Full && no.RetryAfterMillis == 0 {
		d.logRefusalOnce(no.Reason, name, no.Reason)
	}
}

// logRefusalOnce logs why a caller is refused, once for each reason.
func (d *Distributor) logRefusalOnce(reason, name, why string) {
	d.mu.Lock()
	said := d.loggedRefusals[reason] || len(d.loggedRefusals) >= 1024
	d.loggedRefusals[reason] = true
	d.mu.Unlock()
	if !said {
		d.options.Log(fmt.Sprintf("distributor: %s is refused: %s", name, why))
	}
}

// readStream takes in what a caller says.
func (d *Distributor) readStream(in *bufio.Reader, s *stream) error {
	for {
		k, body, size, err := readFrame(in, d.maxFrameSize(s))
		if err != nil {
			return err
		}
		d.options.Counter.In(k.String(), size)
		switch {
		case k == kindHeartbeat:
			err = d.handleHeartbeat(s, body)
		case k == kindMessage:
			err = d.handleMessage(s, body)
		case k == kindBroadcast:
			err = d.handleBroadcast(s, body)
		case k == kindHoldings && s.Distributor:
			var h holdings
			if err = json.Unmarshal(body, &h); err != nil {
				return fmt.Errorf("%w: %w", errMalformedFrame, err)
			}
			d.handleHoldings(s.Name, h)
		default:
			err = fmt.Errorf("%w: %s", errMalformedFrame, k)
		}
		if err != nil {
			return err
		}
	}
}

// maxFrameSize bounds what a caller may send: another distributor may hand on what was sent down to it.
func (d *Distributor) maxFrameSize(s *stream) int {
	if s.Distributor {
		return maxDistributorFrame
	}
	return maxPoolerFrame
}

func (d *Distributor) handleHeartbeat(s *stream, body []byte) error {
	if len(body) == 0 {
		return nil
	}
	if s.Distributor {
		var sum Summary
		if err := json.Unmarshal(body, &sum); err != nil {
			return fmt.Errorf("%w: %w", errMalformedFrame, err)
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		if t := d.directory.links[s.Name]; t != nil {
			t.summary = sum
		}
		return nil
	}
	var l heartbeat
	if err := json.Unmarshal(body, &l); err != nil {
		return fmt.Errorf("%w: %w", errMalformedFrame, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s.status, s.versionsInForce = l.Status, l.Versions
	return nil
}

// writeStream gives a caller what it lacks, until the connection fails.
func (d *Distributor) writeStream(s *stream) error {
	out := newFrameWriter(s.conn, d.options.Counter)
	if err := out.writeFrames(encodeFrame(kindWelcome)); err != nil {
		return err
	}
	beat := time.NewTicker(d.options.HeartbeatInterval)
	defer beat.Stop()
	for due := true; ; {
		if err := out.writeFrames(s.outbox.drain()...); err != nil {
			return err
		}
		if !s.Distributor {
			news, err := d.sendUpdates(s, out)
			if err != nil {
				return err
			}
			due = due || news
		}
		if due {
			if err := out.writeFrames(encodeJSONFrame(kindAnnouncement, d.announcement())); err != nil {
				return err
			}
		}
		if err := out.Flush(); err != nil {
			return err
		}
		select {
		case <-d.ctx.Done():
			return d.ctx.Err()
		case <-s.outbox.wake:
			due = false
		case <-beat.C:
			due = true
		}
	}
}

// sendUpdates sends what a caller lacks of the feeds, and tells whether it lacked anything. Whole copies wait for their turn.
func (d *Distributor) sendUpdates(s *stream, out frameWriter) (news bool, err error) {
	for i, f := range d.resources {
		k, frame, newest := f.frameSince(s.sentVersions[i])
		if frame == nil {
			continue
		}
		if k == kindSnapshot {
			select {
			case d.snapshotSlots <- struct{}{}:
			case <-d.ctx.Done():
				return false, d.ctx.Err()
			}
			err = out.writeFrames(frame)
			<-d.snapshotSlots
		} else {
			err = out.writeFrames(frame)
		}
		if err != nil {
			return false, err
		}
		s.sentVersions[i], news = newest, true
	}
	return news, nil
}

func (d *Distributor) announcement() announcement {
	w := announcement{Poolers: d.Size()}
	now := time.Now()
	for _, f := range d.resources {
		w.Resources = append(w.Resources, f.announcement(now))
	}
	return w
}
