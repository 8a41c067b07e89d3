package dispatch

import (
	"testing"
	"time"

	"threadsail/internal/policy"
)

// fakeGuard decides as a test has set, and keeps the final answers.
type fakeGuard struct {
	admission Admission
	sending   SendDecision
	ended     []FinalAnswer
}

func (s *fakeGuard) Admit(time.Duration, *Request) Admission              { return s.admission }
func (s *fakeGuard) MaySend(time.Duration, *Request, string) SendDecision { return s.sending }
func (s *fakeGuard) RequestEnded(_ time.Duration, _ *Request, e FinalAnswer) {
	s.ended = append(s.ended, e)
}

// startGuarded starts a dispatcher with a guard. on runs a function on its loop.
func startGuarded(t *testing.T, s *fakeGuard) (d *Dispatcher, b *fakeBackend, r fakeReplier, on func(func())) {
	d, b = startDispatcher(t)
	on = func(f func()) { onLoop(d, f) }
	on(func() { d.AddGuard(s) })
	return d, b, fakeReplier{make(chan string, 2)}, on
}

func (r fakeReplier) submit(d *Dispatcher) func() {
	return func() {
		d.Submit(&Request{HasIdempotencyKey: true, ArrivedAt: d.loop.Now(), Timeout: 400 * time.Millisecond, Reply: r})
	}
}

// What a guard answers or rejects must reach neither the policy nor a server.
func TestGuardAnswersOrRejects(t *testing.T) {
	for want, a := range map[string]Admission{"served": {Answer: "kept"}, "refused": {Reject: true, RetryAfter: time.Second}} {
		d, b, r, on := startGuarded(t, &fakeGuard{admission: a})
		on(r.submit(d))
		end := <-r.ended
		on(func() {
			if end != want || d.OpenRequests() != 0 || len(b.calls) != 0 {
				t.Errorf("%+v: %s, %d open, %d attempts", a, end, d.OpenRequests(), len(b.calls))
			}
		})
	}
}

// A request that a guard stops before it is sent is rejected; one that may have run by then fails; each once.
func TestGuardRejectsAttempt(t *testing.T) {
	s := &fakeGuard{sending: RejectRequest}
	d, b, r, on := startGuarded(t, s)
	on(r.submit(d))
	if end := <-r.ended; end != "refused" || len(b.calls) != 0 {
		t.Errorf("before any attempt: %s, %d attempts", end, len(b.calls))
	}
	on(func() { s.sending = Send })
	on(r.submit(d))
	w := <-b.calls
	on(func() {
		s.sending = RejectRequest
		w.Done(AttemptResult{Result: policy.ServerError}) // a keyed write goes out again
	})
	if end := <-r.ended; end != "failed" {
		t.Errorf("behind an attempt that may have run: %s", end)
	}
	on(func() {
		if len(s.ended) != 2 || !s.ended[0].Rejected || s.ended[1].Rejected || s.ended[1].Served || d.OpenRequests() != 0 {
			t.Errorf("the guard heard of %+v; %d open", s.ended, d.OpenRequests())
		}
	})
	if len(r.ended) > 0 {
		t.Error("a second answer")
	}
}

// Guards decide on an attempt that waited for its connection once more, right before it is written.
func TestGuardRejectsAfterConnectionWait(t *testing.T) {
	s := &fakeGuard{}
	d, b, r, on := startGuarded(t, s)
	on(r.submit(d))
	w := <-b.calls
	on(func() {
		s.sending = RejectRequest
		if w.StillAllowed() {
			t.Error("it is still sent")
		}
		w.Done(AttemptResult{Result: policy.Misdirected})
	})
	end := <-r.ended
	on(func() {
		if end != "refused" || d.OpenRequests() != 0 {
			t.Errorf("%s, %d open", end, d.OpenRequests())
		}
	})
}

// decliningVerifier is a guard that accepts no answer.
type decliningVerifier struct{ fakeGuard }

func (*decliningVerifier) AcceptAnswer(time.Duration, *Request) bool { return false }

// An answer that a guard does not accept is not served: the request has failed, once, and is not sent again.
func TestGuardDeclinesAnswer(t *testing.T) {
	d, b, r, on := startGuarded(t, &fakeGuard{})
	verifier := &decliningVerifier{}
	on(func() { d.AddGuard(verifier) })
	on(r.submit(d))
	w := <-b.calls
	on(func() { w.Done(AttemptResult{Result: policy.OK, Answer: "too late"}) })
	end := <-r.ended
	on(func() {
		if end != "failed" || d.OpenRequests() != 0 || len(b.calls) != 0 || len(verifier.ended) != 1 || verifier.ended[0].Served {
			t.Errorf("%s, %d open, %d further attempts; the guard heard of %+v", end, d.OpenRequests(), len(b.calls), verifier.ended)
		}
	})
	if len(r.ended) > 0 {
		t.Error("a second answer")
	}
}
