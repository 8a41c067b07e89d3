package dispatch

import (
	"testing"
	"time"

	"threadsail/internal/policy"
)

// fakeGuard is a Guard that returns the decisions set by a test and records the final answers.
type fakeGuard struct {
	admission    Admission
	sendDecision SendDecision
	ended        []FinalAnswer
}

func (g *fakeGuard) Admit(time.Duration, *Request) Admission              { return g.admission }
func (g *fakeGuard) MaySend(time.Duration, *Request, string) SendDecision { return g.sendDecision }
func (g *fakeGuard) RequestEnded(_ time.Duration, _ *Request, answer FinalAnswer) {
	g.ended = append(g.ended, answer)
}

// startGuarded starts a dispatcher with a guard. run calls a function on its loop.
func startGuarded(t *testing.T, guard *fakeGuard) (d *Dispatcher, backend *fakeBackend, replier fakeReplier, run func(func())) {
	d, backend = startDispatcher(t)
	run = func(f func()) { onLoop(d, f) }
	run(func() { d.AddGuard(guard) })
	return d, backend, fakeReplier{make(chan string, 2)}, run
}

func (r fakeReplier) submit(d *Dispatcher) func() {
	return func() {
		d.Submit(&Request{HasIdempotencyKey: true, ArrivedAt: d.loop.Now(), Timeout: 400 * time.Millisecond, Reply: r})
	}
}

// A request that a guard answers or rejects must reach neither the policy nor a server.
func TestGuardAnswersOrRejects(t *testing.T) {
	for want, decision := range map[string]Admission{"served": {Answer: "kept"}, "rejected": {Reject: true, RetryAfter: time.Second}} {
		d, backend, replier, run := startGuarded(t, &fakeGuard{admission: decision})
		run(replier.submit(d))
		answer := <-replier.ended
		run(func() {
			if answer != want || d.OpenRequests() != 0 || len(backend.calls) != 0 {
				t.Errorf("%+v: got %s, %d open, %d attempts, want %s, 0, 0", decision, answer, d.OpenRequests(), len(backend.calls), want)
			}
		})
	}
}

// A request that a guard rejects before its first attempt must be rejected. If an earlier attempt may have been executed, the
// request must fail. The client and the guard must get exactly one final answer each.
func TestGuardRejectsAttempt(t *testing.T) {
	guard := &fakeGuard{sendDecision: RejectRequest}
	d, backend, replier, run := startGuarded(t, guard)
	run(replier.submit(d))
	if answer := <-replier.ended; answer != "rejected" || len(backend.calls) != 0 {
		t.Errorf("before any attempt: got %s, %d attempts, want rejected, 0", answer, len(backend.calls))
	}
	run(func() { guard.sendDecision = Send })
	run(replier.submit(d))
	call := <-backend.calls
	run(func() {
		guard.sendDecision = RejectRequest
		call.Done(AttemptResult{Result: policy.ServerError}) // a write with a key is sent again
	})
	if answer := <-replier.ended; answer != "failed" {
		t.Errorf("after an attempt that may have been executed: got %s, want failed", answer)
	}
	run(func() {
		if len(guard.ended) != 2 || !guard.ended[0].Rejected || guard.ended[1].Rejected || guard.ended[1].Served || d.OpenRequests() != 0 {
			t.Errorf("final answers reported to the guard: %+v, want a rejected and a failed one; %d open", guard.ended, d.OpenRequests())
		}
	})
	if len(replier.ended) > 0 {
		t.Error("the client got a second answer")
	}
}

// Guards must decide again on an attempt that has waited for its connection, right before it is written.
func TestGuardRejectsAfterConnectionWait(t *testing.T) {
	guard := &fakeGuard{}
	d, backend, replier, run := startGuarded(t, guard)
	run(replier.submit(d))
	call := <-backend.calls
	run(func() {
		guard.sendDecision = RejectRequest
		if call.StillAllowed() {
			t.Error("the rejected attempt is still allowed")
		}
		call.Done(AttemptResult{Result: policy.Misdirected})
	})
	answer := <-replier.ended
	run(func() {
		if answer != "rejected" || d.OpenRequests() != 0 {
			t.Errorf("got %s, %d open, want rejected, 0", answer, d.OpenRequests())
		}
	})
}

// decliningVerifier is a guard that accepts no answer.
type decliningVerifier struct{ fakeGuard }

func (*decliningVerifier) AcceptAnswer(time.Duration, *Request) bool { return false }

// An answer that a guard does not accept must not be served: the request fails once and is not sent again.
func TestGuardDeclinesAnswer(t *testing.T) {
	d, backend, replier, run := startGuarded(t, &fakeGuard{})
	verifier := &decliningVerifier{}
	run(func() { d.AddGuard(verifier) })
	run(replier.submit(d))
	call := <-backend.calls
	run(func() { call.Done(AttemptResult{Result: policy.OK, Answer: "too late"}) })
	answer := <-replier.ended
	run(func() {
		if answer != "failed" || d.OpenRequests() != 0 || len(backend.calls) != 0 || len(verifier.ended) != 1 || verifier.ended[0].Served {
			t.Errorf("got %s, %d open, %d further attempts, want failed, 0, 0; final answers reported to the guard: %+v",
				answer, d.OpenRequests(), len(backend.calls), verifier.ended)
		}
	})
	if len(replier.ended) > 0 {
		t.Error("the client got a second answer")
	}
}
