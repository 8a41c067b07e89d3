package distribution

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"threadsail/internal/fleet/bus"
)

// SubscriberOptions configure a Subscriber.
type SubscriberOptions struct {
	Name              string // name of the pooler
	Region            string
	Distributors      []Endpoint
	Resources         []Resource
	HeartbeatInterval time.Duration
	JitterFraction    float64      // in [0, 1), by the pooler's own seed: spreads the poolers' connection attempts over time
	Dial              Dialer       // default: TCP
	Counter           Counter      // default: no counting
	Log               func(string) // default: no logging
}

// Subscriber keeps a pooler's replicas up to date over a stream to one distributor at a time. It implements bus.Bus. It is safe for
// concurrent use.
type Subscriber struct {
	handlers
	options SubscriberOptions
	timing  timing
	dialer  streamDialer
	logger  onceLogger
	ranked  []Endpoint // distributors in order of preference
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	status      Status
	distributor string               // distributor of the current stream; "" if there is none
	outbox      *outbox              // outbox of the current stream; nil if there is none
	fleetSize   int                  // number of poolers, as last announced
	lostAt      map[string]time.Time // time of the last failure of a distributor, by name
}

var _ bus.Bus = (*Subscriber)(nil)

// Subscribe returns a Subscriber that keeps the resources' replicas up to date with a distributor's until Close. It does not wait for a
// connection.
func Subscribe(options SubscriberOptions) *Subscriber {
	setDefaults(&options.Dial, &options.Counter, &options.Log)
	limits := timing{options.HeartbeatInterval}
	s := &Subscriber{
		options: options,
		timing:  limits,
		dialer:  streamDialer{dial: options.Dial, timing: limits, counter: options.Counter},
		logger:  onceLogger{log: options.Log},
		ranked:  Rank(options.Name, options.Region, options.Distributors),
		lostAt:  map[string]time.Time{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.running.Go(func() { s.run(ctx) }) // ends with ctx; Close waits for it
	return s
}

// Close ends the stream. It blocks until its goroutines have ended.
func (s *Subscriber) Close() {
	s.cancel()
	s.running.Wait()
}

// SetStatus sets the status that the pooler reports. It is sent with the next heartbeat.
func (s *Subscriber) SetStatus(status Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

// Distributor returns the name of the distributor that the pooler is connected to, or "" if there is none.
func (s *Subscriber) Distributor() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.distributor
}

// Self implements bus.Bus.
func (s *Subscriber) Self() string { return s.options.Name }

// Members implements bus.Bus. It returns the names of the distributors and of this pooler, which does not know the other poolers. Without a
// stream it returns only the name of this pooler.
func (s *Subscriber) Members() []string {
	members := []string{s.options.Name}
	if s.Distributor() != "" {
		for _, endpoint := range s.ranked {
			members = append(members, endpoint.Name)
		}
	}
	slices.Sort(members)
	return members
}

// Size implements bus.Bus. It returns the size that a distributor last announced.
func (s *Subscriber) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.fleetSize, 1)
}

// Send implements bus.Bus. A nil error means only that the message is queued for the distributor. A message to this pooler itself is
// dispatched directly, without a stream.
func (s *Subscriber) Send(ctx context.Context, to, topic string, body []byte) error {
	if err := checkMessageSize(topic, body, maxMessageBody); err != nil {
		return err
	}
	if to == s.options.Name {
		s.dispatch(to, topic, slices.Clone(body))
		return nil
	}
	out := s.currentOutbox()
	addressable := to != "" && len(to) <= maxNameLength
	if out == nil || !addressable || !out.enqueue(message{to: to, from: s.options.Name, topic: topic, body: body}.frame()) {
		return fmt.Errorf("%w: %s can't be reached through a distributor", bus.ErrUnknownMember, to)
	}
	return ctx.Err()
}

// Broadcast implements bus.Bus. A message of an invalid size is logged and dropped; without a stream a broadcast is dropped.
func (s *Subscriber) Broadcast(topic string, body []byte) {
	if err := checkMessageSize(topic, body, maxMessageBody); err != nil {
		s.options.Log("distribution: broadcast dropped: " + err.Error())
		return
	}
	if out := s.currentOutbox(); out != nil {
		out.enqueueBroadcast(topic, broadcast{from: s.options.Name, topic: topic, body: body}.frame())
	}
}

// currentOutbox returns the outbox of the current stream, or nil if there is none.
func (s *Subscriber) currentOutbox() *outbox {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outbox
}
