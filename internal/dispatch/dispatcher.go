// Package routing holds the pooler's core: it owns the decision module, the requests, their attempts, the timers
// and the clock, and knows no wire. Fronts submit requests and answer them; a backend sends attempts and probes.
package dispatch

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"threadsail/internal/policy"
)

const (
	// replyMargin of a client's patience is left for the way back of a final answer.
	replyMargin           = 5 * time.Millisecond
	probeConnectAllowance = 50 * time.Millisecond // a probe may need a connection first
	maxKnownServers       = 1 << 16               // names kept; more than any list that is not garbage
	forgetServerAfter     = 3 * time.Minute       // after which a server that is gone is forgotten; the module forgets it sooner
)

// Replier gives a client its one final answer.
type Replier interface {
	// ClientDisconnected tells whether the client has gone, as far as this machine can know. It is asked right before each attempt is written.
	ClientDisconnected() bool
	Serve(answer any)
	Refuse(after time.Duration) // nothing may have run; come again after the time, if any
	Fail()
}

// Request is a client's request, in no wire's terms. Payload goes to the backend as it is.
type Request struct {
	Class, Group      int
	HasIdempotencyKey bool // it carries a key by which its cluster drops repeats
	Session           uint64
	SessionCommitAt   time.Duration // Unix time of the session's last commit; 0: none
	ArrivedAt         time.Duration // of its last byte
	Timeout           time.Duration // from then on
	Payload           any
	Reply             Replier
	// Statement is the statement without its comment, and Key the quoted key that it names; "": none. Only where the core is guarded.
	Statement, Key string
	// CacheVariant is what else an answer depends on, so that a request of equal Form, Text, Class and Group may be given the same one;
	// empty: none may. Only where the core is guarded.
	CacheVariant string
	// WaitedForConnection is set while a guard is asked of an attempt once more, behind the wait for its connection.
	WaitedForConnection bool
}

// AttemptResult is the end of an attempt or a probe, as the backend saw it.
type AttemptResult struct {
	Result      policy.Result
	Answer      any
	Role        policy.Role
	HasPosition bool
	Position    time.Duration
	Report      policy.ServerStatus
	Broken      bool // the connection had come up, and broke
}

// AttemptCallbacks is the core's side of a request sent to a server. All of it is called on the loop.
type AttemptCallbacks struct {
	StillAllowed func() bool         // asked before a request that had to wait for its connection is written
	Sent         func()              // its last byte has gone out
	Done         func(AttemptResult) // its end, once
}

// Stream is an answer that is passed on while it still comes. It is the final answer of its request from its beginning on.
type Stream interface {
	OnEnd(func(StreamEnd))
	Discard() // nobody waits for it
	Abort()   // its time is over: it ends, and so that its client can tell
}

// StreamEnd is how a stream ends.
type StreamEnd uint8

// The ends.
const (
	StreamComplete StreamEnd = iota
	StreamBroken
	StreamClientDisconnected // the client has gone
)

// Backend reaches the servers. Send and Probe tell the end once, on the loop and after they have returned. A request that
// had to wait for its connection is written only if it still fits; else it has ended as Missed.
type Backend interface {
	Send(addr string, payload any, left time.Duration, a AttemptCallbacks) Call
	Probe(addr string, done func(AttemptResult)) Call
	CloseIdle(addr string)
}

// Call is an attempt or a probe under way.
type Call interface {
	Abort() // closes the connection; done is called no more
}

// Member is one listed server.
type Member struct {
	Name, Addr  string
	Zone, Group int
	State       policy.MemberState
	Primary     bool
	Started     time.Duration
	Weight      int // as rules.Member.Weight
}

// Options is what a Core needs.
type Options struct {
	Settings     policy.Settings
	Seed         uint64
	MaxOpen      int
	ProbeTimeout time.Duration
	Watch        func() // opens the watch on the list; its end is reported as rules.ListFailed
	Log          func(string)
}

// OpenRequest is a request under way.
type OpenRequest struct {
	dispatcher      *Dispatcher
	id              uint32
	request         *Request
	counters        *ClassCounters
	deadline        time.Duration
	ended           bool
	mayHaveExecuted bool // an attempt may have run
	attemptCount    int
	inFlight        map[int]*inFlightAttempt
	failedServers   []uint32 // stores that have answered with an error; only where outcomes are told
}

type inFlightAttempt struct {
	server   uint32
	chosenAt time.Duration
	call     Call // nil: never sent
	timer    *Timer
}

func (k *inFlightAttempt) abort() {
	if k.call != nil {
		k.call.Abort()
	}
}

// Dispatcher carries the module's decisions out.
type Dispatcher struct {
	loop          *EventLoop
	options       Options
	router        *policy.Router
	backend       Backend
	openRequests  map[uint32]*OpenRequest
	lastRequestID uint32
	addresses     map[uint32]string
	serverIDs     map[string]uint32
	removedAt     map[uint32]time.Duration // since when; servers that are to be forgotten
	knownGroups   map[int]bool
	classNumbers  map[string]int // the numbers of those in the settings
	withoutKey    map[int]int    // of a keyed class: the one for requests that carry no key
	listed        map[uint32]bool
	readyGroups   map[uint32]int // the groups of those that are listed as ready
	counters      []*ClassCounters
	pending       int
	actions       []func()
	// writesRejected: writes that come are refused, as this pooler acts on a version that the fleet has left behind.
	writesRejected   bool
	primaryObservers []func(kind policy.PrimaryEventKind, group int, server string, asOf time.Duration)
	guards           []Guard
	connectionGate   ConnectionGate // nil: none
	outcomeObserver  func(server string, class int, result policy.Result, took time.Duration)
	drainReserve     drainReserve
	deadlineLimit    time.Duration // by when all requests must have their answers; 0: by their own time alone
}

// New returns a core that runs on a loop.
func New(loop *EventLoop, backend Backend, opt Options) (*Dispatcher, error) {
	c := &Dispatcher{loop: loop, options: opt, backend: backend, openRequests: map[uint32]*OpenRequest{}, addresses: map[uint32]string{},
		serverIDs: map[string]uint32{}, removedAt: map[uint32]time.Duration{}, knownGroups: map[int]bool{}, withoutKey: map[int]int{}, classNumbers: map[string]int{},
		listed: map[uint32]bool{}, readyGroups: map[uint32]int{}}
	c.options.Settings.Classes = nil
	c.registerClasses(opt.Settings)
	router, err := policy.New(c.options.Settings, opt.Seed, (*actions)(c))
	if err != nil {
		return nil, err
	}
	c.router = router
	loop.endOfRound = c.carryOut
	return c, nil
}

// OnPrimary has f told too, on the loop, of all news of groups' primaries, as of a Unix time where the news has one.
func (c *Dispatcher) OnPrimary(f func(kind policy.PrimaryEventKind, group int, server string, asOf time.Duration)) {
	c.primaryObservers = append(c.primaryObservers, f)
}

// ObservePrimary takes in what another pooler, which repeats rounds for the fleet, found of a group: its primary, or "" for none
// yet. A server that no list here has named is passed over.
func (c *Dispatcher) ObservePrimary(group int, server string, asOf time.Duration) {
	id, known := c.serverIDs[server]
	if known || server == "" {
		c.router.ObservePrimary(c.loop.Now(), group, id, known, asOf)
	}
}

// SetWritesAllowed has writes taken in, or refused at once with the time to come again that the settings allow. Those that have
// been taken are carried on.
func (c *Dispatcher) SetWritesAllowed(on bool) { c.writesRejected = !on }

// SetDeadlineLimit has each request that comes from now on end by a Unix time, if its own time is not over before.
func (c *Dispatcher) SetDeadlineLimit(at time.Duration) { c.deadlineLimit = at }

// LongestDeadline is that of the classes in the settings.
func (c *Dispatcher) LongestDeadline() (d time.Duration) {
	for _, i := range c.classNumbers {
		d = max(d, c.options.Settings.Classes[i].TotalTimeout)
	}
	return d
}

// ReportPrimaryDown takes in that another pooler has lost a group's primary.
func (c *Dispatcher) ReportPrimaryDown(group int) { c.router.ReportPrimaryDown(c.loop.Now(), group) }

// SetRoundLeader has this pooler repeat rounds for the fleet, or leaves that to others.
func (c *Dispatcher) SetRoundLeader(on bool) { c.router.SetRoundLeader(on) }

// Retune takes over new settings under way. Requests that are open keep their class. Settings that can't be used change nothing.
func (c *Dispatcher) Retune(set policy.Settings, maxOpen int, probeTimeout time.Duration) error {
	if err := set.Validate(); err != nil {
		return err
	}
	unbound := c.options.Settings.IgnoreRemoval
	c.registerClasses(set)
	c.options.MaxOpen, c.options.ProbeTimeout = maxOpen, probeTimeout
	if err := c.router.UpdateSettings(c.loop.Now(), c.options.Settings); err != nil {
		return err
	}
	if unbound && !set.IgnoreRemoval { // what has left the list meanwhile was still used
		var gone []Member
		for name, id := range c.serverIDs {
			if !c.listed[id] {
				gone = append(gone, Member{Name: name, State: policy.Removed})
			}
		}
		slices.SortFunc(gone, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
		c.ApplyList(policy.ListDelta, gone)
	}
	return nil
}

// Settings are those in force.
func (c *Dispatcher) Settings() policy.Settings { return c.options.Settings }

// registerClasses numbers the classes of the settings. A number stands for the same class for good: one that has changed gets
// another, one that comes back has the one it had.
func (c *Dispatcher) registerClasses(set policy.Settings) {
	table := c.options.Settings.Classes
	c.options.Settings = set
	number := func(k policy.Class) int {
		i := slices.Index(table, k)
		if i < 0 {
			i = len(table)
			table = append(table, k)
		}
		return i
	}
	clear(c.classNumbers)
	for _, k := range set.Classes {
		i := number(k)
		c.classNumbers[k.Name] = i
		c.countersOf(k.Name) // they show from the start
		// Without a key nobody drops a repeat: such a request of a keyed class may not run twice at all.
		if k.Idempotency == policy.IdempotentByKey {
			k.Idempotency = policy.NotIdempotent
			k.Name += " without a key"
			c.withoutKey[i] = number(k)
		}
	}
	c.options.Settings.Classes = table
}

// OpenRequests tells how many requests are open.
func (c *Dispatcher) OpenRequests() int { return len(c.openRequests) }

// Class finds a class by its name.
func (c *Dispatcher) Class(name string) (int, bool) {
	i, ok := c.classNumbers[name]
	return i, ok
}

// ClassInfo is what the settings say of a class.
func (c *Dispatcher) ClassInfo(class int) policy.Class { return c.options.Settings.Classes[class] }

// HasGroup tells whether some list has named a group. Before the first list any may come to be.
func (c *Dispatcher) HasGroup(group int) bool { return len(c.knownGroups) == 0 || c.knownGroups[group] }

// Submit takes a request in. It is answered through its Reply, once, unless Gone comes first.
func (c *Dispatcher) Submit(r *Request) *OpenRequest {
	now := c.loop.Now()
	o := &OpenRequest{dispatcher: c, request: r, counters: c.countersOf(c.options.Settings.Classes[r.Class].Name),
		deadline: r.ArrivedAt + r.Timeout - replyMargin, inFlight: map[int]*inFlightAttempt{}}
	if c.deadlineLimit > 0 {
		o.deadline = min(o.deadline, c.deadlineLimit)
	}
	if len(c.openRequests) >= c.options.MaxOpen || c.writesRejected && c.options.Settings.Classes[r.Class].Access == policy.Write {
		o.ended = true
		o.counters.Rejected++
		after := time.Duration(0)
		if c.options.Settings.RetryAfterSupported {
			after = c.options.Settings.MaxRetryAfter
		}
		c.enqueue(func() { r.Reply.Refuse(after) })
		return o
	}
	if !c.admit(o, now) {
		return o
	}
	for c.lastRequestID++; c.openRequests[c.lastRequestID] != nil; c.lastRequestID++ {
	}
	o.id = c.lastRequestID
	c.openRequests[o.id] = o
	c.pending++
	class := r.Class
	if twin, ok := c.withoutKey[class]; ok && !r.HasIdempotencyKey {
		class = twin
	}
	in := policy.Request{ID: o.id, Class: class, Group: r.Group, Session: r.Session, Timeout: o.deadline - now}
	if r.SessionCommitAt > 0 {
		in.SinceLastWrite = max(now-r.SessionCommitAt, time.Microsecond)
	}
	c.router.HandleRequest(now, in)
	return o
}

// ClientDisconnected tells that the client has left.
func (o *OpenRequest) ClientDisconnected() {
	if !o.ended {
		o.finish()
		o.dispatcher.router.HandleDisconnect(o.dispatcher.loop.Now(), o.id)
		o.removeIfSettled()
	}
}

// clientDisconnected tells that nobody waits for the answer any more. It looks for the client: its close may not have been taken in yet.
func (o *OpenRequest) clientDisconnected() bool {
	if !o.ended && o.request.Reply.ClientDisconnected() {
		o.ClientDisconnected()
	}
	return o.ended
}

// streamEnded counts a request whose answer was passed on as it came.
func (o *OpenRequest) streamEnded(how StreamEnd) {
	o.dispatcher.pending--
	switch how {
	case StreamComplete:
		o.counters.Served++
		o.notifyGuards(FinalAnswer{Served: true})
	case StreamBroken:
		o.counters.Failed++
		o.notifyGuards(FinalAnswer{})
	}
}

func (o *OpenRequest) finish() {
	o.ended = true
	o.dispatcher.pending--
}

func (o *OpenRequest) removeIfSettled() {
	if o.ended && len(o.inFlight) == 0 {
		delete(o.dispatcher.openRequests, o.id)
	}
}

// ApplyList hands a list to the module that counts as told now.
func (c *Dispatcher) ApplyList(kind policy.ListKind, members []Member) {
	c.ApplyListNotifiedAt(kind, members, c.loop.Now())
}

// ApplyListNotifiedAt hands a list to the module that may have counted as told to this pooler since a Unix time. As much of a drain's
// grace has gone by.
func (c *Dispatcher) ApplyListNotifiedAt(kind policy.ListKind, members []Member, told time.Duration) {
	c.drainReserve.observeListDelay(c.loop.Now(), told, c.options.Settings.DrainGracePeriod)
	c.router.SetSendDuration(c.drainReserve.required(c.loop.Now()))
	entries := make([]policy.Member, 0, len(members))
	named := map[uint32]bool{}
	for _, m := range members {
		id, ok := c.serverID(m.Name, m.State)
		if !ok {
			continue
		}
		named[id] = true
		if m.State == policy.Removed {
			c.markRemoved(m.Name, id)
		} else {
			c.listed[id] = true
			c.knownGroups[m.Group] = true
			c.addresses[id] = m.Addr
			delete(c.removedAt, id)
			if c.connectionGate != nil {
				c.connectionGate.ServerListed(m.Name, m.Started)
			}
		}
		if delete(c.readyGroups, id); m.State == policy.Ready {
			c.readyGroups[id] = m.Group
		}
		entries = append(entries, policy.Member{ID: id, Zone: m.Zone, Group: m.Group, State: m.State,
			Primary: m.Primary, StartedAt: m.Started, ReadWeight: m.Weight})
	}
	if kind == policy.ListFull || kind == policy.ListCached { // what it omits is gone
		for name, id := range c.serverIDs {
			if !named[id] {
				c.markRemoved(name, id)
			}
		}
	}
	c.router.HandleList(c.loop.Now(), kind, entries)
}

// markRemoved notes that a server is gone. It is forgotten later, unless it comes back or an attempt is still out there.
func (c *Dispatcher) markRemoved(name string, id uint32) {
	delete(c.listed, id)
	delete(c.readyGroups, id)
	if _, ok := c.removedAt[id]; ok || c.options.Settings.IgnoreRemoval { // there the module may still send to it
		return
	}
	since := c.loop.Now()
	c.removedAt[id] = since
	c.loop.After(forgetServerAfter, func() { c.forgetServer(name, id, since) })
}

func (c *Dispatcher) forgetServer(name string, id uint32, since time.Duration) {
	if at, ok := c.removedAt[id]; !ok || at != since {
		return
	}
	delete(c.removedAt, id)
	if c.hasAttemptAt(id) {
		c.markRemoved(name, id)
		return
	}
	delete(c.serverIDs, name)
	delete(c.addresses, id)
}

func (c *Dispatcher) hasAttemptAt(id uint32) bool {
	for _, o := range c.openRequests {
		for _, k := range o.inFlight {
			if k.server == id {
				return true
			}
		}
	}
	return false
}

// serverID is a server's number. It is made from the name alone, so that all poolers come to the same order.
func (c *Dispatcher) serverID(name string, state policy.MemberState) (uint32, bool) {
	if id, ok := c.serverIDs[name]; ok {
		return id, true
	}
	if state == policy.Removed || len(c.serverIDs) >= maxKnownServers {
		return 0, false
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	id := h.Sum32()
	for c.addresses[id] != "" {
		id++
	}
	c.serverIDs[name] = id
	return id, true
}

// ---- Actions ----

// actions notes down what the module asks for. It is carried out after the round of events: the module is never
// called from within.
type actions Dispatcher

func (c *Dispatcher) enqueue(f func()) { c.actions = append(c.actions, f) }

func (c *Dispatcher) carryOut() {
	for i := 0; i < len(c.actions); i++ {
		c.actions[i]()
		c.actions[i] = nil
	}
	c.actions = c.actions[:0]
}

func (a *actions) core() *Dispatcher { return (*Dispatcher)(a) }

func (a *actions) Attempt(id, store uint32, timeout time.Duration) {
	c := a.core()
	chosen := c.loop.Now()
	c.enqueue(func() { c.attempt(id, store, timeout, chosen) })
}

func (a *actions) Reject(id uint32, after time.Duration) {
	a.core().enqueue(func() {
		a.core().endRequest(id, func(o *OpenRequest) {
			o.counters.Rejected++
			o.request.Reply.Refuse(after)
			o.notifyGuards(FinalAnswer{Rejected: true})
		})
	})
}

func (a *actions) Fail(id uint32) {
	a.core().enqueue(func() {
		a.core().endRequest(id, func(o *OpenRequest) {
			o.counters.Failed++
			o.request.Reply.Fail()
			o.notifyGuards(FinalAnswer{})
		})
	})
}

func (a *actions) CancelAttempt(id uint32, attempt int) {
	c := a.core()
	c.enqueue(func() {
		if o := c.openRequests[id]; o != nil && o.inFlight[attempt] != nil {
			o.inFlight[attempt].abort()
			c.loop.Post(func() { o.attemptEnded(attempt, AttemptResult{Result: policy.Cancelled}) })
		}
	})
}

func (a *actions) Probe(store uint32) { a.core().enqueue(func() { a.core().probe(store) }) }

func (a *actions) SetTimer(after time.Duration) {
	c := a.core()
	c.loop.After(after, func() { c.router.HandleTimer(c.loop.Now()) })
}

func (a *actions) CloseIdleConnections(store uint32) {
	c := a.core()
	c.enqueue(func() {
		if addr := c.addresses[store]; addr != "" {
			c.backend.CloseIdle(addr)
		}
	})
}

func (a *actions) WatchList()      { a.core().enqueue(a.core().options.Watch) }
func (a *actions) Log(text string) { a.core().options.Log(text) }

func (a *actions) PrimaryChanged(n policy.PrimaryEvent) {
	if text := n.LogText(); text != "" {
		a.Log(text)
	}
	c := a.core()
	for _, f := range c.primaryObservers {
		c.enqueue(func() { f(n.Kind, n.Group, c.serverName(n.Server), n.AsOf) })
	}
}

// serverName is what lists call a store. It is asked for rarely.
func (c *Dispatcher) serverName(store uint32) string {
	for name, id := range c.serverIDs {
		if id == store {
			return name
		}
	}
	return ""
}

// attempt sends a request to a server. The time-out closes the connection before the module hears of it, so that
// no second attempt can meet the first. chosen is when the module last said that it may go there.
func (c *Dispatcher) attempt(id, store uint32, timeout, chosen time.Duration) {
	o := c.openRequests[id]
	if o == nil {
		return
	}
	n, now := o.attemptCount, c.loop.Now()
	o.attemptCount++
	at := o.deadline
	if timeout > 0 {
		at = min(at, now+timeout)
	}
	k := &inFlightAttempt{server: store, chosenAt: now}
	o.inFlight[n] = k
	addr := c.addresses[store]
	if o.clientDisconnected() || at <= now || addr == "" {
		c.loop.Post(func() { o.attemptEnded(n, AttemptResult{Result: policy.NotSent}) })
		return
	}
	switch o.checkSend(store) {
	case SendElsewhere:
		c.loop.Post(func() { o.attemptEnded(n, AttemptResult{Result: policy.Overloaded}) })
		return
	case RejectRequest:
		c.loop.Post(func() {
			o.rejectByGuard()
			o.attemptEnded(n, AttemptResult{Result: policy.NotSent})
		})
		return
	}
	k.call = c.backend.Send(addr, o.request.Payload, at-now, AttemptCallbacks{
		StillAllowed: func() bool {
			if o.clientDisconnected() {
				o.attemptEnded(n, AttemptResult{Result: policy.NotSent})
				return false
			}
			if !c.router.MayStillSend(c.loop.Now(), id, n) {
				return false
			}
			o.request.WaitedForConnection = true
			sending := o.checkSend(store)
			o.request.WaitedForConnection = false
			switch sending {
			case SendElsewhere:
				return false
			case RejectRequest:
				o.rejectByGuard()
				return false
			}
			chosen = c.loop.Now()
			return true
		},
		Sent: func() {
			o.counters.Attempts++
			c.drainReserve.observeSend(c.loop.Now(), chosen)
			c.router.SetSendDuration(c.drainReserve.required(c.loop.Now()))
		},
		Done: func(r AttemptResult) { o.attemptEnded(n, r) }})
	k.timer = c.loop.At(at, func() {
		k.abort()
		o.attemptEnded(n, AttemptResult{Result: policy.TimedOut})
	})
}

// attemptEnded reports the end of an attempt, once.
func (o *OpenRequest) attemptEnded(n int, r AttemptResult) {
	k := o.inFlight[n]
	if k == nil {
		return
	}
	delete(o.inFlight, n)
	k.timer.Stop()
	o.mayHaveExecuted = o.mayHaveExecuted || !r.Result.NotExecuted()
	if o.dispatcher.outcomeObserver != nil {
		o.observeOutcome(k, r.Result)
	}
	stream, long := r.Answer.(Stream)
	switch {
	case long && o.ended:
		stream.Discard()
	case (long || r.Result == policy.OK) && !o.ended && !o.answerAccepted():
		if long {
			stream.Discard()
		}
		o.finish()
		o.counters.Failed++
		o.dispatcher.enqueue(func() { o.request.Reply.Fail() })
		o.notifyGuards(FinalAnswer{})
	case long:
		o.ended = true
		late := o.dispatcher.loop.At(o.deadline, stream.Abort)
		stream.OnEnd(func(how StreamEnd) {
			late.Stop()
			o.streamEnded(how)
		})
		o.dispatcher.enqueue(func() { o.request.Reply.Serve(r.Answer) })
	case r.Result == policy.OK && !o.ended:
		o.finish()
		o.counters.Served++
		o.dispatcher.enqueue(func() { o.request.Reply.Serve(r.Answer) })
		if len(o.dispatcher.guards) > 0 {
			o.notifyGuards(FinalAnswer{Served: true, Answer: r.Answer, Server: o.dispatcher.serverName(k.server)})
		}
	}
	o.dispatcher.router.HandleOutcome(o.dispatcher.loop.Now(), policy.Outcome{RequestID: o.id, Attempt: n, Server: k.server, Result: r.Result,
		Answered: o.ended, Role: r.Role, HasPosition: r.HasPosition, Position: r.Position, Status: r.Report})
	o.removeIfSettled()
}

// endRequest gives the module's own final answer, at once.
func (c *Dispatcher) endRequest(id uint32, answer func(*OpenRequest)) {
	if o := c.openRequests[id]; o != nil && !o.ended {
		o.finish()
		answer(o)
		o.removeIfSettled()
	}
}

func (c *Dispatcher) probe(store uint32) {
	addr := c.addresses[store]
	ended := false
	var timer *Timer
	done := func(r AttemptResult) {
		if !ended {
			ended = true
			timer.Stop()
			c.router.HandleProbeResult(c.loop.Now(), policy.ProbeResult{Server: store, Result: r.Result, Status: r.Report})
		}
	}
	if addr == "" {
		c.loop.Post(func() { done(AttemptResult{Result: policy.ConnectFailed}) })
		return
	}
	if c.connectionGate != nil && !c.connectionGate.MayProbe(c.loop.Now(), c.serverName(store)) {
		c.loop.Post(func() { done(AttemptResult{Result: policy.Overloaded}) })
		return
	}
	call := c.backend.Probe(addr, done)
	timer = c.loop.After(c.options.ProbeTimeout+probeConnectAllowance, func() {
		call.Abort()
		done(AttemptResult{Result: policy.TimedOut})
	})
}
