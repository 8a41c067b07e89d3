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
	Name              string // of the pooler
	Region            string
	Distributors      []Endpoint
	Resources         []Resource
	HeartbeatInterval time.Duration
	JitterFraction    float64      // from 0 up to 1, by the pooler's own seed: when it calls, among all
	Dial              Dialer       // nil: TCP
	Counter           Counter      // nil: none
	Log               func(string) // nil: none
}

// Subscriber keeps a pooler's replicas up to date by a stream to one distributor at a time. It implements bus.Bus. It is safe for use by
// several goroutines.
type Subscriber struct {
	handlers
	options SubscriberOptions
	timing  timing
	dialer  streamDialer
	logger  onceLogger
	ranked  []Endpoint // by preference
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	status      Status
	distributor string  // that the stream ends at; "": there is no stream
	outbox      *outbox // of the stream; nil: there is none
	fleetSize   int     // poolers, as announced last
	lostAt      map[string]time.Time
}

var _ bus.Bus = (*Subscriber)(nil)

// Subscribe keeps the resources' replicas as new as a distributor has them, until Close. It returns at once.
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

// Close ends the stream, and waits for its goroutines.
func (s *Subscriber) Close() {
	s.cancel()
	s.running.Wait()
}

// SetStatus changes what the pooler reports of itself.
func (s *Subscriber) SetStatus(status Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

// Distributor returns the distributor that the pooler has a stream to; "": none.
func (s *Subscriber) Distributor() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.distributor
}

// Self is documented with bus.Bus.
func (s *Subscriber) Self() string { return s.options.Name }

// Members returns the distributors and this pooler, as no pooler knows the others. While it has no stream it is alone.
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

// Size is documented with bus.Bus.
func (s *Subscriber) Size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.fleetSize, 1)
}

// Send is documented with bus.Bus. Its error tells of the stream to the distributor. A message to this pooler itself takes no stream.
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
		return fmt.Errorf("%w: %s, without a distributor", bus.ErrUnknownMember, to)
	}
	return ctx.Err()
}

// Broadcast is documented with bus.Bus.
func (s *Subscriber) Broadcast(topic string, body []byte) {
	if err := checkMessageSize(topic, body, maxMessageBody); err != nil {
		s.options.Log("distribution: broadcast not sent: " + err.Error())
		return
	}
	if out := s.currentOutbox(); out != nil {
		out.enqueueBroadcast(topic, broadcast{from: s.options.Name, topic: topic, body: body}.frame())
	}
}

// currentOutbox returns the outbox of the stream; nil: there is no stream.
func (s *Subscriber) currentOutbox() *outbox {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outbox
}
