package dispatch

import (
	"testing"
	"time"

	"threadsail/internal/policy"
)

// script is a guard that says what a test has set, and notes what it is told.
type script struct {
	admission Admission
	sending   SendDecision
	ended     []FinalAnswer
}

func (s *script) Admit(time.Duration, *Request) Admission              { return s.admission }
func (s *script) MaySend(time.Duration, *Request, string) SendDecision { return s.sending }
func (s *script) RequestEnded(_ time.Duration, _ *Request, e FinalAnswer) {
	s.ended = append(s.ended, e)
}
func guarded(t *testing.T, s *script) (*Dispatcher, *backend, reply, func(func())) {
	c, b := start(t)
	on := func(f func()) {
		done := make(chan struct{})
		c.loop.Post(func() { f(); close(done) })
		<-done
	}
	on(func() { c.AddGuard(s) })
	return c, b, reply{make(chan string, 2)}, on
}

func (r reply) submit(c *Dispatcher) func() {
	return func() {
		c.Submit(&Request{HasIdempotencyKey: true, ArrivedAt: c.loop.Now(), Timeout: 400 * time.Millisecond, Reply: r})
	}
}

// What a guard answers or refuses must not reach the module, nor a server.
func TestGuardAdmits(t *testing.T) {
	for want, a := range map[string]Admission{"served": {Answer: "kept"}, "refused": {Reject: true, RetryAfter: time.Second}} {
		c, b, r, on := guarded(t, &script{admission: a})
		on(r.submit(c))
		end := <-r.ended
		on(func() {
			if end != want || c.OpenRequests() != 0 || len(b.calls) != 0 {
				t.Errorf("%+v: %s, %d open, %d attempts", a, end, c.OpenRequests(), len(b.calls))
			}
		})
	}
}

// A request that a guard stops before it is sent is refused; one that may have run by then is failed; each once.
func TestGuardStops(t *testing.T) {
	s := &script{sending: RejectRequest}
	c, b, r, on := guarded(t, s)
	on(r.submit(c))
	if end := <-r.ended; end != "refused" || len(b.calls) != 0 {
		t.Errorf("before any attempt: %s, %d attempts", end, len(b.calls))
	}
	on(func() { s.sending = Send })
	on(r.submit(c))
	w := <-b.calls
	on(func() {
		s.sending = RejectRequest
		w.Done(AttemptResult{Result: policy.ServerError}) // a keyed write goes out again
	})
	if end := <-r.ended; end != "failed" {
		t.Errorf("behind an attempt that may have run: %s", end)
	}
	on(func() {
		if len(s.ended) != 2 || !s.ended[0].Rejected || s.ended[1].Rejected || s.ended[1].Served || c.OpenRequests() != 0 {
			t.Errorf("the guard heard of %+v; %d open", s.ended, c.OpenRequests())
		}
	})
	if len(r.ended) > 0 {
		t.Error("a second answer")
	}
}

// An attempt that waited for its connection is asked about once more right before it is written.
func TestGuardStopsBehindAWait(t *testing.T) {
	s := &script{}
	c, b, r, on := guarded(t, s)
	on(r.submit(c))
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
		if end != "refused" || c.OpenRequests() != 0 {
			t.Errorf("%s, %d open", end, c.OpenRequests())
		}
	})
}

// doubter is a guard that believes no answer.
type doubter struct{ script }

func (*doubter) AcceptAnswer(time.Duration, *Request) bool { return false }

// An answer that a guard holds to be too late is not served: the request has failed, once, and is not sent again.
func TestGuardDoubtsAnAnswer(t *testing.T) {
	c, b, r, on := guarded(t, &script{})
	d := &doubter{}
	on(func() { c.AddGuard(d) })
	on(r.submit(c))
	w := <-b.calls
	on(func() { w.Done(AttemptResult{Result: policy.OK, Answer: "too late"}) })
	end := <-r.ended
	on(func() {
		if end != "failed" || c.OpenRequests() != 0 || len(b.calls) != 0 || len(d.ended) != 1 || d.ended[0].Served {
			t.Errorf("%s, %d open, %d further attempts; the guard heard of %+v", end, c.OpenRequests(), len(b.calls), d.ended)
		}
	})
	if len(r.ended) > 0 {
		t.Error("a second answer")
	}
}
