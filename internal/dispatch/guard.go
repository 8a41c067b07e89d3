package dispatch

import "time"

// Guard may admit, answer, reroute or reject a request before the policy and the servers receive it. Through guards, the shared
// state of a fleet (its quotas, caches and shard map) takes effect on requests. Its methods are called on the loop, must not
// block and must not call the Dispatcher.
type Guard interface {
	// Admit is called for each request before the policy, on one guard after the other until one answers or rejects it.
	Admit(now time.Duration, request *Request) Admission
	// MaySend is called before an attempt is sent to a server, and once more if it had to wait for its connection.
	MaySend(now time.Duration, request *Request, server string) SendDecision
	// RequestEnded is called once with the final answer of each request that all guards admitted, unless its client
	// disconnected earlier.
	RequestEnded(now time.Duration, request *Request, answer FinalAnswer)
}

// AnswerVerifier is a Guard that may decline a server's answer because it is too late to be valid.
type AnswerVerifier interface {
	// AcceptAnswer is called when a server has answered an attempt, before the client receives the answer. If it returns
	// false, the request fails: it may have been executed, with an unknown result.
	AcceptAnswer(now time.Duration, request *Request) bool
}

// EpochCarrier is a payload that carries the epoch of the shard map to its server.
type EpochCarrier interface{ SetEpoch(epoch uint64) }

// Admission is a Guard's decision on a new request. The zero value admits it.
type Admission struct {
	Answer     any           // final answer, of the backend's type; nil: the guard does not answer the request
	Reject     bool          // the request is rejected without being sent
	RetryAfter time.Duration // with Reject: the retry delay sent to the client; 0: none
	Group      int           // with Reroute: the group that the request is sent to
	Reroute    bool          // the request is sent to Group in place of its own group
}

// SendDecision is a Guard's decision on an attempt that is about to be sent.
type SendDecision uint8

// The values of SendDecision.
const (
	// Send allows the attempt.
	Send SendDecision = iota
	// SendElsewhere stops the attempt at this server. It ends with policy.Overloaded, or with policy.Misdirected if it had to
	// wait for its connection.
	SendElsewhere
	// RejectRequest ends the request. It is rejected, or fails if an earlier attempt may have been executed and the class is not
	// idempotent.
	RejectRequest
)

// AddGuard appends a guard to the list of guards. It must be called before the loop runs.
func (d *Dispatcher) AddGuard(guard Guard) { d.guards = append(d.guards, guard) }

// HasGuards reports whether there is a guard. If not, frontends need not set the Request fields that only guards read.
func (d *Dispatcher) HasGuards() bool { return len(d.guards) > 0 }

// checkSend returns the first decision of a guard other than Send on an attempt, or Send if all guards allow it.
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

// notifyGuards reports the final answer of an admitted request to the guards.
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
