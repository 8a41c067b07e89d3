package dispatch

import "time"

// Guard stands between the frontends, the policy and the servers: what the poolers of a fleet share admits requests, answers
// them or stops them through it. All calls are on the loop; none may wait, and none may call the Dispatcher back.
type Guard interface {
	// Admit is called for each request before the policy, on all guards in their order until one does not pass it.
	Admit(now time.Duration, request *Request) Admission
	// MaySend is called right before an attempt is written to a server, also behind a wait for its connection.
	MaySend(now time.Duration, request *Request, server string) SendDecision
	// RequestEnded reports the final answer of a request that Admit has passed, once; not of one whose client had
	// disconnected before.
	RequestEnded(now time.Duration, request *Request, answer FinalAnswer)
}

// AnswerVerifier is a Guard that may hold a server's answer to be too late to be true.
type AnswerVerifier interface {
	// AcceptAnswer is called once an attempt has been answered, before the client has the answer. false: the request has
	// failed, as it may have run and nobody can say what became of it.
	AcceptAnswer(now time.Duration, request *Request) bool
}

// EpochCarrier is a payload that carries the epoch of the shard map to its server.
type EpochCarrier interface{ SetEpoch(epoch uint64) }

// Admission is what a Guard says of a request that has come. The zero value passes it.
type Admission struct {
	Answer     any           // served with this, the backend's kind of answer; nil: not
	Reject     bool          // rejected untouched
	RetryAfter time.Duration // with Reject: the client may retry after so long; 0: none
	Group      int           // with Reroute: the group that it goes to
	Reroute    bool
}

// SendDecision is what a Guard says of an attempt that is about to be written.
type SendDecision uint8

// The decisions on an attempt.
const (
	// Send lets it go.
	Send SendDecision = iota
	// SendElsewhere keeps it from this server now: the policy hears that the server was overloaded.
	SendElsewhere
	// RejectRequest ends the request: rejected, or failed where an earlier attempt may have run.
	RejectRequest
)

// AddGuard adds a guard behind those that there are. It must be called before the loop runs.
func (d *Dispatcher) AddGuard(guard Guard) { d.guards = append(d.guards, guard) }

// HasGuards reports whether there is a guard: frontends fill in what only guards read.
func (d *Dispatcher) HasGuards() bool { return len(d.guards) > 0 }

// checkSend has the guards decide on an attempt, in their order until one does not let it go.
func (o *OpenRequest) checkSend(server uint32) SendDecision {
	d := o.dispatcher
	if !d.HasGuards() {
		return Send
	}
	name, now := d.servers.name(server), d.loop.Now()
	for _, guard := range d.guards {
		if decision := guard.MaySend(now, o.request, name); decision != Send {
			return decision
		}
	}
	return Send
}

// answerAccepted reports whether all guards accept a server's answer.
func (o *OpenRequest) answerAccepted() bool {
	for _, guard := range o.dispatcher.guards {
		verifier, ok := guard.(AnswerVerifier)
		if ok && !verifier.AcceptAnswer(o.dispatcher.loop.Now(), o.request) {
			return false
		}
	}
	return true
}

// notifyGuards reports a final answer to the guards.
func (o *OpenRequest) notifyGuards(answer FinalAnswer) {
	if !o.dispatcher.HasGuards() {
		return
	}
	answer.ArrivedAt = o.request.ArrivedAt
	answer.EndedAt = o.dispatcher.loop.Now()
	for _, guard := range o.dispatcher.guards {
		guard.RequestEnded(answer.EndedAt, o.request, answer)
	}
}
