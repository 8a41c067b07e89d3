package dispatch

import (
	"time"

	"threadsail/internal/policy"
)

// replyMargin is the part of a client's timeout that is left for the way back of a final answer.
const replyMargin = 5 * time.Millisecond

// Replier gives a client its one final answer. All calls are on the loop.
type Replier interface {
	// ClientDisconnected reports whether the client has disconnected, as far as its socket shows. It is called right
	// before each attempt is written.
	ClientDisconnected() bool
	// Serve passes on an answer of the backend or of a guard.
	Serve(answer any)
	// Reject says that nothing may have run and the client may retry, after the given time if there is one.
	Reject(after time.Duration)
	// Fail promises nothing: the request may have run.
	Fail()
}

// Request is a client's request, independent of the wire that it came by.
type Request struct {
	Class, Group      int
	HasIdempotencyKey bool // it carries a key by which its cluster drops repeats
	Session           uint64
	SessionCommitAt   time.Duration // Unix time of the session's last commit; 0: none
	ArrivedAt         time.Duration // Unix time of its last byte
	Timeout           time.Duration // the client's, from ArrivedAt on
	Payload           any           // for the Backend, as it is
	Reply             Replier

	// Statement is the statement without its comment, and Key the quoted key that it names; "": none. CacheVariant is what
	// else an answer depends on: a request of equal CacheVariant, Statement, Class and Group may be given the same answer;
	// "": none may. Frontends set these only where HasGuards reports true.
	Statement, Key string
	CacheVariant   string
	// WaitedForConnection is set while guards decide on an attempt once more, behind the wait for its connection.
	WaitedForConnection bool
}

// OpenRequest is a request that has been submitted. It is open until it has its final answer and all its attempts have ended.
type OpenRequest struct {
	dispatcher      *Dispatcher
	id              uint32
	request         *Request
	counters        *ClassCounters
	deadline        time.Duration
	ended           bool // the final answer is given or under way, or the client has disconnected
	mayHaveExecuted bool // an attempt may have run
	attemptCount    int
	queuedAttempts  int              // attempts that the policy has asked for and that have not been started yet
	inFlight        map[int]*attempt // by their numbers, in the order of the sends
	failedServers   []uint32         // servers that have answered with an error; only with an OutcomeObserver
}

// Submit takes a request in. The request is answered through its Reply once, unless its client disconnects first.
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
		counters:   d.counters.of(d.settings.Classes[request.Class].Name),
		deadline:   d.admission.limitDeadline(deadline),
		inFlight:   map[int]*attempt{},
	}
}

// policyRequest describes a request to the policy.
func (d *Dispatcher) policyRequest(o *OpenRequest, now time.Duration) policy.Request {
	request := policy.Request{
		ID:      o.id,
		Class:   d.classes.effective(o.request),
		Group:   o.request.Group,
		Session: o.request.Session,
		Timeout: o.deadline - now,
	}
	if o.request.SessionCommitAt > 0 {
		request.SinceLastWrite = max(now-o.request.SessionCommitAt, time.Microsecond) // 0 would mean none
	}
	return request
}

// HandleDisconnect reports to the policy that the client has disconnected. No final answer is given any more.
func (o *OpenRequest) HandleDisconnect() {
	if o.ended {
		return
	}
	o.finish()
	o.dispatcher.router.HandleDisconnect(o.dispatcher.loop.Now(), o.id)
	o.removeIfSettled()
}

// isUnwanted reports whether nobody waits for the answer any more. It checks the client's connection itself, as
// its close may not have been reported yet.
func (o *OpenRequest) isUnwanted() bool {
	if !o.ended && o.request.Reply.ClientDisconnected() {
		o.HandleDisconnect()
	}
	return o.ended
}

// removeIfSettled drops the request once it has ended and no attempt of it is queued or in flight. The policy counts an attempt
// against its server from the choice on, until it hears of its end.
func (o *OpenRequest) removeIfSettled() {
	if o.ended && o.queuedAttempts == 0 && len(o.inFlight) == 0 {
		delete(o.dispatcher.requests.open, o.id)
	}
}

// OpenRequests returns how many requests are open.
func (d *Dispatcher) OpenRequests() int { return len(d.requests.open) }

// requestTable holds the open requests by the numbers that the policy knows them by.
type requestTable struct {
	open    map[uint32]*OpenRequest
	lastID  uint32
	pending int // admitted requests without their whole final answer
}

func newRequestTable() requestTable { return requestTable{open: map[uint32]*OpenRequest{}} }

// add gives a request the next number that is free.
func (t *requestTable) add(o *OpenRequest) {
	t.lastID++
	for t.open[t.lastID] != nil {
		t.lastID++
	}
	o.id = t.lastID
	t.open[o.id] = o
	t.pending++
}

// attempt returns an attempt that is in flight; nil: it has ended.
func (t *requestTable) attempt(id uint32, number int) *attempt {
	o := t.open[id]
	if o == nil {
		return nil
	}
	return o.inFlight[number]
}

// hasAttemptAt reports whether an attempt is in flight at a server.
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
