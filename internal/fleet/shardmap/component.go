package shardmap

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/replication"
)

// maxLoggedReasons is the maximum number of reasons that logOnce remembers. When it is reached, all are forgotten and may be logged again.
const maxLoggedReasons = 1 << 10

// Options are the operators' settings of a Component.
type Options struct {
	Name          string        // name of this pooler
	Term          time.Duration // duration of a write lease
	MaxClockDrift time.Duration // maximum difference between two monotonic clocks over a term
	MaxPrepared   time.Duration // see Coordinator.MaxPrepared
	MaxFenced     time.Duration // see Coordinator.MaxFenced
	Ranges        []Range       // first map, used until the voters store one
	// Epoch is the epoch of the first map; 0 means 1. The operators set it to a higher value after the voters have lost a newer map, so
	// that servers do not reject the first map as outdated.
	Epoch   uint64
	Orders  []Order
	Retired []string // instances, as logged, of processes that have stopped permanently according to the operators
	Copier  Copier   // nil: this pooler does not coordinate moves
}

// Runtime contains the services that a Component uses while it runs.
type Runtime struct {
	Bus        bus.Bus
	View       replication.View
	Store      replication.Store
	Leadership replication.Leadership // leadership by LeaseName; nil: this pooler does not campaign, because it has no Copier
	Log        zerolog.Logger
}

// Component is the shard map at one pooler. It keeps the router's map and write lease up to date, and coordinates moves while this pooler
// is the leader. It is safe for concurrent use.
type Component struct {
	options         Options
	router          *Router
	coordinator     Coordinator
	routerWake      chan struct{} // receives a value when the router may have a request to send
	coordinatorWake chan struct{} // receives a value when the coordinator may have a step to take
	reloads         chan Options  // contains the newest options that publishOrders has not read yet

	mu          sync.Mutex          // guards the fields below
	actProgress map[string]progress // by name of the move
	logged      map[string]bool     // reasons that logOnce has logged
}

// New returns a Component with a new instance identifier for this process.
func New(o Options) *Component {
	instance := fmt.Sprintf("%s/%d-%d", o.Name, os.Getpid(), time.Now().UnixNano())
	c := &Component{
		options:         o,
		router:          &Router{Name: o.Name, Instance: instance, Term: o.Term, MaxClockDrift: o.MaxClockDrift},
		routerWake:      make(chan struct{}, 1),
		coordinatorWake: make(chan struct{}, 1),
		reloads:         make(chan Options, 1),
		actProgress:     map[string]progress{},
		logged:          map[string]bool{},
	}
	c.router.Apply(Document{Ranges: o.Ranges}, 0, false)
	c.coordinator.Name = o.Name
	c.coordinator.Term = o.Term
	c.coordinator.MaxClockDrift = o.MaxClockDrift
	c.coordinator.MaxPrepared = o.MaxPrepared
	c.coordinator.MaxFenced = o.MaxFenced
	return c
}

// Guard returns a new guard for a frontend's dispatcher. isWrite reports whether a class is a class of writes.
func (c *Component) Guard(isWrite func(class int) bool) *Guard {
	return c.router.newGuard(isWrite, func() { notify(c.routerWake) })
}

// Reload replaces the orders and the retired processes by those of options, after the operators' file has been reloaded. It does not
// block. It must not be called concurrently with itself.
func (c *Component) Reload(options Options) {
	select {
	case <-c.reloads: // discards older options that were not read
	default:
	}
	c.reloads <- options
}

// Run runs the component until ctx ends. It always returns nil.
func (c *Component) Run(ctx context.Context, runtime Runtime) error {
	runtime.Log = runtime.Log.With().Str("part", "shards").Str("instance", c.router.Instance).Logger()
	s := &session{Component: c, runtime: runtime}
	s.handleMessages(ctx)
	var running sync.WaitGroup
	defer running.Wait() // all goroutines return when ctx ends
	running.Go(func() { s.enroll(ctx) })
	running.Go(func() { s.coordinate(ctx) })
	running.Go(func() { s.publishOrders(ctx) })
	s.followDocuments(ctx)
	return nil
}

// session is one run of a Component.
type session struct {
	*Component
	runtime Runtime
}

// followDocuments keeps the router's map up to date with the replica and sends the router's requests to the coordinator, until ctx ends.
// It sends a request at once when there is something new to acknowledge, and otherwise several times per term.
func (s *session) followDocuments(ctx context.Context) {
	for ctx.Err() == nil {
		changed := s.runtime.View.Changed()
		s.applyDocument()
		if s.router.RequestDue() {
			s.sendRequest(ctx)
		}
		timer := time.NewTimer(s.options.Term / requestsPerTerm)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-s.routerWake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// applyDocument applies the replica's map to the router. While the replica has none, it applies the operators' map at epoch 0. No write is
// admitted by that map before the replica is as new as this process's enrollment, because a range may have been moved since.
func (s *session) applyDocument() {
	for { // until both documents are read at the same version of the replica
		version := s.runtime.View.Version()
		document := Document{Ranges: s.options.Ranges}
		if stored, ok := s.runtime.View.Get(MapKey); ok {
			var err error
			document, err = parseDocument(stored.Value)
			if err != nil {
				s.runtime.Log.Error().Err(err).Msg("shardmap: map can't be decoded")
				return
			}
		}
		enrolled, _ := s.runtime.View.Get(RouterPrefix + s.options.Name)
		if s.runtime.View.Version() == version {
			s.router.Apply(document, version, string(enrolled.Value) == s.router.Instance)
			return
		}
	}
}

// read reads a document from the voters. It times out after one term.
func (s *session) read(ctx context.Context, key string) (replication.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Term)
	defer cancel()
	return s.runtime.Store.Read(ctx, key)
}

// put writes a document if the stored one has the expected version and the fence is valid, and returns the new version. It times out after
// one term.
func (s *session) put(ctx context.Context, key string, expectedVersion uint64, value []byte, fence replication.Fence) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Term)
	defer cancel()
	return s.runtime.Store.Put(ctx, key, expectedVersion, value, fence)
}

// putIfChanged writes a document unless the stored one has the same value. It returns nil after a conflict, because another pooler with
// the same file may have written the document meanwhile.
func (s *session) putIfChanged(ctx context.Context, key string, value []byte) error {
	ctx, cancel := context.WithTimeout(ctx, s.options.Term)
	defer cancel()
	stored, err := s.runtime.Store.Read(ctx, key)
	if err != nil || string(stored.Value) == string(value) {
		return err
	}
	_, err = s.runtime.Store.Put(ctx, key, stored.Version, value, replication.Fence{})
	if errors.Is(err, replication.ErrConflict) {
		return nil
	}
	return err
}

// logOnce calls log unless it has already been called for the reason.
func (c *Component) logOnce(reason string, log func()) {
	c.mu.Lock()
	loggedBefore := c.logged[reason]
	if len(c.logged) >= maxLoggedReasons {
		clear(c.logged)
	}
	c.logged[reason] = true
	c.mu.Unlock()
	if !loggedBefore {
		log()
	}
}

// notify sends a value to a channel with a buffer of one, unless the buffer is full. It does not block.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
