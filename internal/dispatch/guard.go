package dispatch

import (
	"time"

	"threadsail/internal/policy"
)

// Guard stands between the fronts, the module and the servers: what the poolers of a fleet share lets requests in, answers
// them or stops them through it. All calls are on the loop; none may wait, and none may call the core back.
type Guard interface {
	// Admit is asked for each request before the module hears of it, all guards in their order until one does not pass it.
	Admit(now time.Duration, r *Request) Admission
	// MaySend is asked right before an attempt is written to a server, also behind a wait for its connection.
	MaySend(now time.Duration, r *Request, server string) SendDecision
	// RequestEnded tells the final answer of a request that Admit has passed, once; not of one whose client had gone before.
	RequestEnded(now time.Duration, r *Request, e FinalAnswer)
}

// AnswerVerifier is a guard that may hold a server's answer to be too late to be believed.
type AnswerVerifier interface {
	// AcceptAnswer is asked once an attempt has been answered, before the client is told. false: the request has failed, as it may
	// have run and nobody can say what became of it.
	AcceptAnswer(now time.Duration, r *Request) bool
}

// Stamped is a payload that carries the epoch of the shard map to its server.
type Stamped interface{ Stamp(epoch uint64) }

// Admission is what a guard says of a request that has come. The zero value passes it.
type Admission struct {
	Answer     any           // served with this, the backend's kind of answer; nil: not
	Reject     bool          // refused untouched
	RetryAfter time.Duration // of a refusal: come again after so long; 0: no time is told
	Group      int           // with Move: it goes to this group
	Reroute    bool
}

// SendDecision is what a guard says of an attempt that is about to be written.
type SendDecision uint8

// What may become of it.
const (
	Send          SendDecision = iota
	SendElsewhere              // not to this server now: the module hears that it had no room
	RejectRequest              // to none: the request is refused, or failed where an earlier attempt may have run
)

// FinalAnswer is a request's final answer.
type FinalAnswer struct {
	Served             bool
	Rejected           bool // neither: failed
	Answer             any  // of a served one; nil where it was passed on as it came
	Server             string
	ArrivedAt, EndedAt time.Duration // Unix times, of the request's last byte and of the answer
}

// AddGuard adds a guard behind those there are. It must be called before the loop runs.
func (c *Dispatcher) AddGuard(g Guard) { c.guards = append(c.guards, g) }

// Guarded tells whether there is a guard: fronts fill in what only guards read.
func (c *Dispatcher) Guarded() bool { return len(c.guards) > 0 }

// admit asks the guards. It tells whether the module is to hear of the request; if not, it has been answered.
func (c *Dispatcher) admit(o *OpenRequest, now time.Duration) bool {
	for _, g := range c.guards {
		a := g.Admit(now, o.request)
		if a.Reroute {
			o.request.Group = a.Group
		}
		switch {
		case a.Answer != nil:
			o.ended = true
			o.counters.Served++
			c.enqueue(func() { o.request.Reply.Serve(a.Answer) })
			return false
		case a.Reject:
			o.ended = true
			o.counters.Rejected++
			c.enqueue(func() { o.request.Reply.Refuse(a.RetryAfter) })
			return false
		}
	}
	return true
}

// checkSend asks the guards of an attempt.
func (o *OpenRequest) checkSend(store uint32) SendDecision {
	if len(o.dispatcher.guards) == 0 {
		return Send
	}
	server, now := o.dispatcher.serverName(store), o.dispatcher.loop.Now()
	for _, g := range o.dispatcher.guards {
		if s := g.MaySend(now, o.request, server); s != Send {
			return s
		}
	}
	return Send
}

// answerAccepted asks the guards of an answer.
func (o *OpenRequest) answerAccepted() bool {
	for _, g := range o.dispatcher.guards {
		if w, ok := g.(AnswerVerifier); ok && !w.AcceptAnswer(o.dispatcher.loop.Now(), o.request) {
			return false
		}
	}
	return true
}

// rejectByGuard ends a request that a guard lets go nowhere, and tells the module that its client need not be thought of.
func (o *OpenRequest) rejectByGuard() {
	if o.ended {
		return
	}
	o.finish()
	after := time.Duration(0)
	if o.dispatcher.options.Settings.RetryAfterSupported {
		after = o.dispatcher.options.Settings.MaxRetryAfter
	}
	if o.mayHaveExecuted && o.dispatcher.options.Settings.Classes[o.request.Class].Idempotency != policy.Idempotent {
		o.counters.Failed++
		o.dispatcher.enqueue(func() { o.request.Reply.Fail() })
		o.notifyGuards(FinalAnswer{})
	} else {
		o.counters.Rejected++
		o.dispatcher.enqueue(func() { o.request.Reply.Refuse(after) })
		o.notifyGuards(FinalAnswer{Rejected: true})
	}
}

// notifyGuards tells the guards of a final answer.
func (o *OpenRequest) notifyGuards(e FinalAnswer) {
	if len(o.dispatcher.guards) == 0 {
		return
	}
	e.ArrivedAt, e.EndedAt = o.request.ArrivedAt, o.dispatcher.loop.Now()
	for _, g := range o.dispatcher.guards {
		g.RequestEnded(e.EndedAt, o.request, e)
	}
}
