package dispatch

import (
	"cmp"
	"time"

	"threadsail/internal/policy"
)

// replyMargin is the part of a client's timeout that is reserved for delivering the final answer.
const replyMargin = 5 * time.Millisecond

// Replier sends a client the final answer to one request. Its methods are called on the loop.
type Replier interface {
	// ClientDisconnected reports whether the client's socket shows that it has disconnected. It is called right before each
	// attempt is sent.
	ClientDisconnected() bool
	// MayAttempt reports whether an attempt may begin for a client that is connected as far as is known. It may not while the client's
	// disconnect would go unnoticed, or while the client does not read its answers: the request is then rejected.
	MayAttempt() bool
	// Serve sends an answer of the backend or of a guard.
	Serve(answer any)
	// Reject reports that the request was not executed. The client may retry, after the given delay if that is not 0.
	Reject(after time.Duration)
	// Fail reports that the request failed. It may have been executed.
	Fail()
}

// Request is a client's request, independent of the wire protocol.
type Request struct {
	Class, Group      int
	HasIdempotencyKey bool          // the request carries a key by which its cluster drops repeats
	Sessions          []uint64      // as policy.Request.Sessions; set only if Dispatcher.NeedsSessions reports true
	SessionCommitAt   time.Duration // Unix time of the session's last commit; 0: none
	ArrivedAt         time.Duration // Unix time of the request's last byte
	Timeout           time.Duration // the client's timeout, counted from ArrivedAt
	Payload           any           // passed to the Backend unchanged
	Reply             Replier

	// Statement is the statement without its comment, and Key the quoted key that the statement names, or "". CacheVariant
	// identifies everything else that an answer depends on: requests with equal CacheVariant, Statement, Class and Group may
	// share an answer, unless CacheVariant is "". Frontends set these fields only if HasGuards reports true.
	Statement, Key string
	CacheVariant   string
	// WaitedForConnection is set while guards decide again on an attempt that has waited for its connection.
	WaitedForConnection bool
}

// OpenRequest is a submitted request. It stays open until it has its final answer and all its attempts have ended.
type OpenRequest struct {
	dispatcher      *Dispatcher
	id              uint32
	request         *Request
	counters        *ClassCounters
	deadline        time.Duration
	ended           bool             // the final answer is sent or queued, or the client has disconnected
	abandoned       bool             // HandleDisconnect was called: the Replier is not called any more
	mayHaveExecuted bool             // an attempt may have been executed
	attemptCount    int              // number of attempts started so far
	queuedAttempts  int              // number of attempts that the policy has requested and that are not started yet
	inFlight        map[int]*attempt // attempts in flight, by attempt number
	failedServers   []uint32         // servers that have answered with an error; recorded only for an OutcomeObserver
}

// Submit passes a new request to the guards and the policy. The request is answered once through its Reply, unless its client
// disconnects first.
func (d *Dispatcher) Submit(request *Request) *OpenRequest {
	now := d.loop.Now()
	o := d.newOpenRequest(request)
	if !d.admit(o, now) {
		return o
	}
	d.requests.add(o)
	d.router.HandleRequest(now, d.policyRequest(o, now))
	return o
}

func (d *Dispatcher) newOpenRequest(request *Request) *OpenRequest {
	deadline := request.ArrivedAt + request.Timeout - replyMargin
	return &OpenRequest{
		dispatcher: d,
		request:    request,
		counters:   d.counters.forClass(d.settings.Classes[request.Class].Name),
		deadline:   d.admission.limitDeadline(deadline),
		inFlight:   map[int]*attempt{},
	}
}

// policyRequest returns the description of a request for the policy.
func (d *Dispatcher) policyRequest(o *OpenRequest, now time.Duration) policy.Request {
	request := policy.Request{
		ID:       o.id,
		Class:    d.classes.effectiveClass(o.request),
		Group:    o.request.Group,
		Sessions: o.request.Sessions,
		Timeout:  o.deadline - now,
	}
	if o.request.SessionCommitAt > 0 {
		request.SinceLastWrite = cmp.Or(now-o.request.SessionCommitAt, time.Nanosecond) // 0 would mean no write
	}
	return request
}

// HandleDisconnect ends the request without a final answer and reports to the policy that the client has disconnected. The request's
// Replier is not called from then on, not even with an answer that is queued already: the client may have sent its next request by then.
func (o *OpenRequest) HandleDisconnect() {
	o.abandoned = true
	if o.ended {
		return
	}
	o.markEnded()
	o.dispatcher.router.HandleDisconnect(o.dispatcher.loop.Now(), o.id)
	o.removeIfSettled()
}

// MayHaveExecuted reports whether a server may have executed the request, or may do so yet.
func (o *OpenRequest) MayHaveExecuted() bool { return o.mayHaveExecuted || len(o.inFlight) > 0 }

// checkEnded reports whether the request has ended. It first checks the client's socket and ends the request if the client has
// disconnected, as the frontend may not have reported that yet.
func (o *OpenRequest) checkEnded() bool {
	if !o.ended && o.request.Reply.ClientDisconnected() {
		o.HandleDisconnect()
	}
	return o.ended
}

// removeIfSettled removes the request from the table if it has ended and no attempt is queued or in flight. It must stay until
// then, because the policy counts an attempt against its server until the outcome is reported.
func (o *OpenRequest) removeIfSettled() {
	if o.ended && o.queuedAttempts == 0 && len(o.inFlight) == 0 {
		delete(o.dispatcher.requests.open, o.id)
	}
}

// OpenRequests returns the number of open requests.
func (d *Dispatcher) OpenRequests() int { return len(d.requests.open) }

// requestTable holds the open requests, by the ids under which the policy knows them.
type requestTable struct {
	open    map[uint32]*OpenRequest
	lastID  uint32
	pending int // number of admitted requests whose final answer is not complete
}

func newRequestTable() requestTable { return requestTable{open: map[uint32]*OpenRequest{}} }

// add assigns the next free id to a request and enters the request in the table.
func (t *requestTable) add(o *OpenRequest) {
	t.lastID++
	for t.open[t.lastID] != nil {
		t.lastID++
	}
	o.id = t.lastID
	t.open[o.id] = o
	t.pending++
}

// attempt returns an attempt in flight, or nil if it has ended.
func (t *requestTable) attempt(id uint32, number int) *attempt {
	o := t.open[id]
	if o == nil {
		return nil
	}
	return o.inFlight[number]
}

// hasAttemptAt reports whether any request has an attempt in flight at a server.
func (t *requestTable) hasAttemptAt(server uint32) bool {
	for _, o := range t.open {
		for _, a := range o.inFlight {
			if a.server == server {
				return true
			}
		}
	}
	return false
}
