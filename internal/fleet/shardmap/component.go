package shardmap

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/replication"
)

// Topics of the bus.
const (
	topicRequest = "shards/ask"
	topicGrant   = "shards/grant"
)

// withdrawTimeout bounds how long a pooler that ends waits for the stewards to know.
const withdrawTimeout = 500 * time.Millisecond

// Options is what the operators set.
type Options struct {
	Name          string        // this pooler's
	Term          time.Duration // of a router's right
	MaxClockDrift time.Duration // the most by which two monotonic clocks differ over a term
	MaxPrepared   time.Duration // as Holder.PreparedMost and FencedMost
	MaxFenced     time.Duration
	Ranges        []Range // the first map, until the stewards have one
	Epoch         uint64  // of that map; 0: 1. Higher where the stewards have lost a newer one, so that servers do not take it for old
	Orders        []Order
	Retired       []string // processes that the operators know to have stopped for good, by the names that the log gives them
	Copier        Copier   // nil: this pooler takes no moves on
}

// Runtime is what the part stands on.
type Runtime struct {
	Bus        bus.Bus
	View       replication.View
	Store      replication.Store
	Leadership replication.Leadership // of Duty; nil: this pooler does not stand for it, as it has no copier
	Log        zerolog.Logger
}

// Component is the shard map at one pooler: a router's right to write, and the holder's work while the duty is here.
type Component struct {
	options         Options
	router          *Router
	coordinator     Coordinator
	routerWake      chan struct{} // there may be something to say to the holder
	coordinatorWake chan struct{} // and something for the holder to do
	reloads         chan Options

	mu          sync.Mutex
	actProgress map[string]progress // by a move's name
	logged      map[string]bool     // what was said of orders, once each
}

// progress is how far the acts of a move's state are.
type progress struct {
	stateEpoch uint64 // of the state
	lastAct    Act    // the last that has succeeded
	running    bool
	retryAt    time.Time // not before, as it has failed
}

// New returns the part of one process.
func New(opt Options) *Component {
	p := &Component{options: opt, routerWake: make(chan struct{}, 1), coordinatorWake: make(chan struct{}, 1), reloads: make(chan Options, 1), actProgress: map[string]progress{},
		logged: map[string]bool{}}
	p.router = &Router{Name: opt.Name, Instance: fmt.Sprintf("%s/%d-%d", opt.Name, os.Getpid(), time.Now().UnixNano()), Term: opt.Term, MaxClockDrift: opt.MaxClockDrift}
	p.router.Apply(Document{Ranges: opt.Ranges}, 0, false)
	p.coordinator.Name, p.coordinator.Term, p.coordinator.MaxClockDrift = opt.Name, opt.Term, opt.MaxClockDrift
	p.coordinator.MaxPrepared, p.coordinator.MaxFenced = opt.MaxPrepared, opt.MaxFenced
	return p
}

// Guard is a guard for a core; writes tells whether a class is of writes.
func (p *Component) Guard(writes func(class int) bool) *Guard {
	return p.router.newGuard(writes, func() { notify(p.routerWake) })
}

// Reload takes over the orders and the retired of the operators' file, as it was read again.
func (p *Component) Reload(opt Options) {
	select {
	case <-p.reloads: // an older reading that nobody has taken
	default:
	}
	p.reloads <- opt
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run acts until ctx ends.
func (p *Component) Run(ctx context.Context, g Runtime) error {
	g.Log = g.Log.With().Str("part", "shards").Str("instance", p.router.Instance).Logger()
	p.handleMessages(ctx, g)
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() { p.enroll(ctx, g) })
	all.Go(func() { p.coordinate(ctx, g) })
	all.Go(func() { p.publishOrders(ctx, g) })
	p.followDocuments(ctx, g)
	return nil
}

// handleMessages answers asks and takes grants in.
func (p *Component) handleMessages(ctx context.Context, g Runtime) {
	g.Bus.Handle(topicRequest, func(from string, body []byte) {
		var a Request
		if json.Unmarshal(body, &a) != nil || a.Name != from {
			return
		}
		if grant, ok := p.handleRequest(a, g); ok {
			text, _ := json.Marshal(grant)
			go func() {
				call, cancel := context.WithTimeout(ctx, p.options.Term/requestsPerTerm)
				defer cancel()
				_ = g.Bus.Send(call, from, topicGrant, text) // it asks again
			}()
		}
	})
	g.Bus.Handle(topicGrant, func(_ string, body []byte) {
		var grant Grant
		if json.Unmarshal(body, &grant) == nil && p.router.ApplyGrant(grant) {
			notify(p.routerWake)
		}
	})
}

// handleRequest is an ask that has come to this pooler as the holder.
func (p *Component) handleRequest(a Request, g Runtime) (Grant, bool) {
	if g.Leadership == nil {
		return Grant{}, false
	}
	_, until, ok := g.Leadership.Token()
	if !ok {
		return Grant{}, false
	}
	grant, ok := p.coordinator.HandleRequest(a, until)
	notify(p.coordinatorWake)
	return grant, ok
}

// followDocuments keeps the router's map as new as the copy, and says to the holder what it knows, at once and three times a term.
func (p *Component) followDocuments(ctx context.Context, g Runtime) {
	for ctx.Err() == nil {
		changed := g.View.Changed()
		p.applyDocument(g)
		if p.router.RequestDue() {
			if a, holder, ok := p.router.NextRequest(); ok {
				p.sendRequest(ctx, g, a, holder)
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-p.routerWake:
		case <-time.After(p.options.Term / requestsPerTerm):
		}
	}
}

// applyDocument puts the copy's map in force. Until there is one it is the operators' own, at epoch 0: it holds for no write before the
// stewards have said something, as a range may have moved since.
func (p *Component) applyDocument(g Runtime) {
	for { // a version of the copy that both documents are of
		version := g.View.Version()
		d := Document{Ranges: p.options.Ranges}
		if doc, ok := g.View.Get(MapKey); ok {
			var err error
			if d, err = parseDocument(doc.Value); err != nil {
				g.Log.Error().Err(err).Msg("shards: the map can't be read")
				return
			}
		}
		mine, _ := g.View.Get(RouterPrefix + p.options.Name)
		if g.View.Version() == version {
			p.router.Apply(d, version, string(mine.Value) == p.router.Instance)
			return
		}
	}
}

// sendRequest sends an ask to the holder, which may be here.
func (p *Component) sendRequest(ctx context.Context, g Runtime, a Request, holder string) {
	if holder == g.Bus.Self() {
		if grant, ok := p.handleRequest(a, g); ok && p.router.ApplyGrant(grant) {
			notify(p.routerWake)
		}
		return
	}
	text, _ := json.Marshal(a)
	go func() {
		call, cancel := context.WithTimeout(ctx, p.options.Term/requestsPerTerm)
		defer cancel()
		if err := g.Bus.Send(call, holder, topicRequest, text); err != nil {
			g.Log.Debug().Err(err).Str("holder", holder).Msg("shards: the holder of the moves can't be reached")
		}
	}()
}

// enroll puts this process's document in place, and again if the operators have struck it out though it runs. One that names a
// later process stays: this one takes no more writes. At the end it is taken away, so that no move waits for a pooler that was
// stopped in order.
func (p *Component) enroll(ctx context.Context, g Runtime) {
	key, first := RouterPrefix+p.options.Name, true
	defer func() {
		p.router.Withdraw() // first: what is not waited for must not write
		call, cancel := context.WithTimeout(context.WithoutCancel(ctx), min(p.options.Term/4, withdrawTimeout))
		defer cancel()
		if doc, err := g.Store.Read(call, key); err == nil && string(doc.Value) == p.router.Instance {
			_, _ = g.Store.Put(call, key, doc.Version, nil, replication.Fence{}) // else the next move waits for it, or for who comes after it
		}
	}()
	for ctx.Err() == nil {
		changed := g.View.Changed()
		call, cancel := context.WithTimeout(ctx, p.options.Term)
		doc, err := g.Store.Read(call, key)
		if err == nil && (first || doc.Version == 0) {
			var version uint64
			if version, err = g.Store.Put(call, key, doc.Version, []byte(p.router.Instance), replication.Fence{}); err == nil {
				first = false
				p.router.SetEnrolled(version)
				g.Log.Info().Uint64("version", version).Msg("shards: enrolled")
				notify(p.routerWake)
			}
		}
		cancel()
		var again <-chan time.Time
		if err != nil {
			again = time.After(p.options.Term / requestsPerTerm)
		}
		for struck := false; !struck && ctx.Err() == nil; {
			select {
			case <-ctx.Done():
			case <-again:
				struck = true
			case <-changed:
				changed = g.View.Changed()
				doc, ok := g.View.Get(key)
				struck = !first && !ok && g.View.Version() > 0
				if !first && ok && string(doc.Value) != p.router.Instance {
					p.logOnce(string(doc.Value), func() {
						g.Log.Warn().Str("other", string(doc.Value)).Msg("shards: another process has enrolled under this name; this one takes no writes of mapped keys")
					})
				}
			}
		}
	}
}

// publishOrders puts the operators' orders and strikings-out into the shared documents, at the start and whenever the file was read again.
func (p *Component) publishOrders(ctx context.Context, g Runtime) {
	opt := p.options
	for ctx.Err() == nil {
		var failed error
		for _, o := range opt.Orders {
			text, _ := json.Marshal(o)
			failed = errors.Join(failed, p.publishOrder(ctx, g, OrderPrefix+o.Name, text))
		}
		for _, instance := range opt.Retired {
			name, _, _ := strings.Cut(instance, "/")
			doc, _ := g.View.Get(RouterPrefix + name)
			if string(doc.Value) == instance {
				call, cancel := context.WithTimeout(ctx, p.options.Term)
				_, err := g.Store.Put(call, doc.Key, doc.Version, nil, replication.Fence{})
				cancel()
				failed = errors.Join(failed, err)
			}
		}
		var again <-chan time.Time
		if failed != nil {
			again = time.After(p.options.Term)
		}
		select {
		case <-ctx.Done():
		case opt = <-p.reloads:
		case <-again:
		}
	}
}

// publishOrder writes a document if it is not there so.
func (p *Component) publishOrder(ctx context.Context, g Runtime, key string, text []byte) error {
	call, cancel := context.WithTimeout(ctx, p.options.Term)
	defer cancel()
	doc, err := g.Store.Read(call, key)
	if err != nil || string(doc.Value) == string(text) {
		return err
	}
	_, err = g.Store.Put(call, key, doc.Version, text, replication.Fence{})
	if errors.Is(err, replication.ErrConflict) { // another pooler, of the same file
		return nil
	}
	return err
}
