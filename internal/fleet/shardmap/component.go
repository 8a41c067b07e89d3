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

// maxLoggedReasons bounds the reasons that are remembered to have been logged. Beyond it some are logged again.
const maxLoggedReasons = 1 << 10

// Options are what the operators set.
type Options struct {
	Name          string        // of this pooler
	Term          time.Duration // of a router's right
	MaxClockDrift time.Duration // the most by which two monotonic clocks differ over a term
	MaxPrepared   time.Duration // as Coordinator.MaxPrepared
	MaxFenced     time.Duration // as Coordinator.MaxFenced
	Ranges        []Range       // the first map, until the voters have one
	// Epoch is that of the first map; 0 stands for 1. It is set higher where the voters have lost a newer map, so that servers do not
	// take the first map for an old one.
	Epoch   uint64
	Orders  []Order
	Retired []string // processes that the operators know to have stopped for good, by their names in the log
	Copier  Copier   // nil: this pooler does not coordinate
}

// Runtime is what the component works with.
type Runtime struct {
	Bus        bus.Bus
	View       replication.View
	Store      replication.Store
	Leadership replication.Leadership // of LeaseName; nil: this pooler does not campaign, as it has no copier
	Log        zerolog.Logger
}

// Component is the shard map at one pooler: a router's right to write, and the coordination of moves while the pooler leads. It is safe
// for concurrent use.
type Component struct {
	options         Options
	router          *Router
	coordinator     Coordinator
	routerWake      chan struct{} // there may be something to send the coordinator
	coordinatorWake chan struct{} // there may be something for the coordinator to do
	reloads         chan Options  // the newest that nobody has taken

	mu          sync.Mutex          // guards the fields below
	actProgress map[string]progress // by move
	logged      map[string]bool     // reasons
}

// New returns the component of one process.
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

// Guard returns a guard for a frontend's dispatcher. isWrite reports whether a class is of writes.
func (c *Component) Guard(isWrite func(class int) bool) *Guard {
	return c.router.newGuard(isWrite, func() { notify(c.routerWake) })
}

// Reload takes over the orders and the retired processes of the operators' file, when it was read again. It is called on one goroutine.
func (c *Component) Reload(o Options) {
	select {
	case <-c.reloads: // an earlier reading that nobody has taken
	default:
	}
	c.reloads <- o
}

// Run acts until ctx ends. It returns no error.
func (c *Component) Run(ctx context.Context, runtime Runtime) error {
	runtime.Log = runtime.Log.With().Str("part", "shards").Str("instance", c.router.Instance).Logger()
	s := &session{Component: c, runtime: runtime}
	s.handleMessages(ctx)
	var running sync.WaitGroup
	defer running.Wait() // all end with ctx
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

// followDocuments keeps the router's map as new as the replica, and sends the coordinator what the router requests and acknowledges: at
// once, and several times a term.
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

// applyDocument puts the replica's map in force. Until there is one, it is the operators' map, at epoch 0: no write is admitted by it
// before the replica has been brought up to date, as a range may have moved since.
func (s *session) applyDocument() {
	for { // until both documents are of one version of the replica
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

// read reads a document from the voters, for no longer than a term.
func (s *session) read(ctx context.Context, key string) (replication.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Term)
	defer cancel()
	return s.runtime.Store.Read(ctx, key)
}

// put writes a document, for no longer than a term.
func (s *session) put(ctx context.Context, key string, expect uint64, value []byte, f replication.Fence) (version uint64, err error) {
	ctx, cancel := context.WithTimeout(ctx, s.options.Term)
	defer cancel()
	return s.runtime.Store.Put(ctx, key, expect, value, f)
}

// putIfChanged writes a document unless its value is stored already. Another pooler with the same file may have written it meanwhile.
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

// logOnce calls log unless it has been called for the reason.
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

// notify wakes the receiver of a channel that holds one element.
func notify(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
