package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/policy"
)

// fakeBackend is a Backend whose attempts end only when a test ends them. Its probes succeed at once with the status.
type fakeBackend struct {
	calls  chan *fakeCall
	status policy.ServerStatus
	loop   *EventLoop
}

type fakeCall struct {
	addr string
	AttemptCallbacks
	aborted chan struct{}
}

func (w *fakeCall) Abort() { close(w.aborted) }

func (b *fakeBackend) Send(addr string, _ any, _ time.Duration, a AttemptCallbacks) Call {
	w := &fakeCall{addr, a, make(chan struct{})}
	b.calls <- w
	return w
}

func (b *fakeBackend) Probe(_ string, done func(AttemptResult)) Call {
	b.loop.Post(func() { done(AttemptResult{Result: policy.OK, Status: b.status}) })
	return &fakeCall{aborted: make(chan struct{})}
}

func (b *fakeBackend) CloseIdle(string) {}

type fakeReplier struct{ ended chan string }

func (r fakeReplier) ClientDisconnected() bool { return false }
func (r fakeReplier) Serve(any)                { r.ended <- "served" }
func (r fakeReplier) Reject(time.Duration)     { r.ended <- "refused" }
func (r fakeReplier) Fail()                    { r.ended <- "failed" }

func startDispatcher(t *testing.T) (*Dispatcher, *fakeBackend) {
	loop := NewEventLoop()
	b := &fakeBackend{calls: make(chan *fakeCall, 16), loop: loop, status: policy.ServerStatus{HasRole: true, IsPrimary: true}}
	write := policy.Class{Name: "w", Access: policy.Write, Idempotency: policy.IdempotentByKey,
		DedupScope: policy.DedupInGroup, DedupWindow: 2 * time.Second, LatencyObjective: time.Second,
		TotalTimeout: 3 * time.Second, PriorityWeight: 1}
	d, err := New(loop, b, Options{MaxOpen: 9, ProbeTimeout: time.Second, Watch: func() {}, Log: func(string) {},
		Settings: policy.Settings{ProbesAllowed: true, RolesReported: true, CancelAllowed: true, MaxAttempts: 6,
			DrainGracePeriod: 150 * time.Millisecond, Classes: []policy.Class{write}}})
	if err != nil {
		t.Fatal(err)
	}
	d.ApplyList(policy.ListFull, []Member{{Name: "s", Address: "s", State: policy.Ready}})
	ended := make(chan struct{})
	go func() { loop.Run(); close(ended) }()
	t.Cleanup(func() { loop.Stop(); <-ended })
	return d, b
}

// onLoop runs a function on the dispatcher's loop and waits for it.
func onLoop(d *Dispatcher, f func()) {
	done := make(chan struct{})
	d.loop.Post(func() { f(); close(done) })
	<-done
}

// submit hands in a write and returns its first attempt.
func submit(d *Dispatcher, b *fakeBackend, timeout time.Duration) (fakeReplier, *fakeCall) {
	r := fakeReplier{make(chan string, 2)}
	d.loop.Post(func() {
		d.Submit(&Request{HasIdempotencyKey: true, ArrivedAt: d.loop.Now(), Timeout: timeout, Reply: r})
	})
	return r, <-b.calls
}

// The policy stops sending before a drain's grace period ends; an attempt that still waits for its connection then would be
// written too late, and must not be.
func TestAttemptNotAllowedAfterGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, b := startDispatcher(t)
		r, w := submit(d, b, 400*time.Millisecond)
		allowed := func() (is bool) {
			onLoop(d, func() { is = w.StillAllowed() })
			return is
		}
		if !allowed() {
			t.Error("a new attempt is not allowed")
		}
		onLoop(d, func() { d.ApplyList(policy.ListDelta, []Member{{Name: "s", Address: "s", State: policy.Draining}}) })
		for allowed() {
			if len(r.ended) > 0 {
				t.Fatal("the attempt is allowed for all its time")
			}
			time.Sleep(time.Millisecond)
		}
		d.loop.Post(func() { w.Done(AttemptResult{Result: policy.Misdirected}) })
		if end := <-r.ended; end != "refused" {
			t.Errorf("a write that was never sent was %s", end)
		}
	})
}

// The policy counts an attempt against its server until it hears of its end, also where the client has left before the attempt
// was started: else the server would have less room for good, and be taken for silent.
func TestAttemptOfDisconnectedClientEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, b := startDispatcher(t)
		r, w := submit(d, b, 20*time.Second) // the primary is known from now on
		onLoop(d, func() { w.Done(AttemptResult{Result: policy.OK}) })
		<-r.ended
		onLoop(d, func() {
			request := &Request{HasIdempotencyKey: true, ArrivedAt: d.loop.Now(), Timeout: 20 * time.Second,
				Reply: fakeReplier{make(chan string, 2)}}
			d.Submit(request).HandleDisconnect()
		})
		time.Sleep(10 * time.Second)
		synctest.Wait()
		onLoop(d, func() {
			if n := d.OpenRequests(); n != 0 || len(b.calls) != 0 {
				t.Errorf("%d requests open and %d attempts sent, want none", n, len(b.calls))
			}
			if d.router.Unavailable(d.servers.ids["s"]) {
				t.Error("the server is ejected for an attempt that was never sent")
			}
		})
	})
}

// An outcome after the time-out must not count twice, nor an answer reach a client that has had its own.
func TestLateOutcomeIsIgnored(t *testing.T) {
	d, b := startDispatcher(t)
	r, w := submit(d, b, 100*time.Millisecond)
	first := <-r.ended
	<-w.aborted
	d.loop.Post(func() { w.Done(AttemptResult{Result: policy.OK, Answer: "late"}) })
	open := make(chan int)
	d.loop.Post(func() { open <- d.OpenRequests() })
	if n := <-open; n != 0 || first != "failed" || len(r.ended) != 0 {
		t.Errorf("%d requests open, first %s, %d more answers", n, first, len(r.ended))
	}
}

// A server that has left the list, or that a whole list omits, must be forgotten in the end, or a long life fills the
// table of names; but not while an attempt is out there, nor when it has come back.
func TestRemovedServerIsForgotten(t *testing.T) {
	d, b := startDispatcher(t)
	r, w := submit(d, b, 20*time.Second)
	known := func(change func()) (n int) {
		done := make(chan int)
		d.loop.Post(func() { change(); done <- len(d.servers.ids) + len(d.servers.addresses) })
		return <-done
	}
	due := func() {
		for name, id := range d.servers.ids {
			if since, ok := d.servers.removedAt[id]; ok {
				d.forgetServer(name, id, since)
			}
		}
	}
	member := func(name string) []Member { return []Member{{Name: name, Address: name, State: policy.Ready}} }
	if n := known(func() { d.ApplyList(policy.ListFull, member("a")); due() }); n != 4 {
		t.Errorf("%d names and addresses while an attempt is out", n)
	}
	d.loop.Post(func() { w.Done(AttemptResult{Result: policy.OK}) })
	<-r.ended
	if n := known(due); n != 2 {
		t.Errorf("%d names and addresses after the attempt", n)
	}
	if n := known(func() {
		d.ApplyList(policy.ListDelta, []Member{{Name: "a", State: policy.Removed}})
		d.ApplyList(policy.ListDelta, member("a"))
		due()
	}); n != 2 {
		t.Errorf("%d names and addresses for a server that has come back", n)
	}
}

// Invalid settings change nothing. Where removal is no longer ignored, servers that have left the list are used no more.
func TestRetune(t *testing.T) {
	d, _ := startDispatcher(t)
	class := d.ClassInfo(0)
	set := func(name string, attempts int, drainOnly bool) policy.Settings {
		class.Name = name
		return policy.Settings{MaxAttempts: attempts, IgnoreRemoval: drainOnly, Classes: []policy.Class{class}}
	}
	done := make(chan struct{})
	d.loop.Post(func() {
		defer close(done)
		if err := d.UpdateSettings(set("x", -1, false), 1, 0); err == nil || d.classes.numbers["w"] != 0 || len(d.classes.numbers) != 1 ||
			d.admission.maxOpen != 9 {
			t.Errorf("%v: classes %v, %d open at most", err, d.classes.numbers, d.admission.maxOpen)
		}
		for _, drainOnly := range []bool{true, false} {
			if err := d.UpdateSettings(set("w", 6, drainOnly), 1, 0); err != nil {
				t.Error(err)
			}
			if drainOnly {
				d.ApplyList(policy.ListFull, nil)
			}
			if avoids := d.router.Unavailable(d.servers.ids["s"]); avoids == drainOnly {
				t.Errorf("only drains bind: %v; what has left the list is avoided: %v", drainOnly, avoids)
			}
		}
	})
	<-done
}

// BenchmarkList hands a dispatcher of 10,000 servers in 1,000 clusters one that has changed, and the whole list for comparison.
func BenchmarkList(b *testing.B) {
	loop := NewEventLoop()
	backend := &fakeBackend{calls: make(chan *fakeCall, 1), loop: loop}
	d, err := New(loop, backend, Options{MaxOpen: 1, Watch: func() {}, Log: func(string) {},
		Settings: policy.Settings{Classes: []policy.Class{{Name: "r"}}}})
	if err != nil {
		b.Fatal(err)
	}
	list := make([]Member, 10000)
	for i := range list {
		list[i] = Member{Name: fmt.Sprint("db", i), Address: fmt.Sprint("10.0.0.1:", i), Group: i / 10, State: policy.Ready, Weight: 1}
	}
	d.ApplyList(policy.ListFull, list)
	b.Run("one", func(b *testing.B) {
		for n := 0; b.Loop(); n++ {
			one := list[5000]
			one.Weight = 1 + n%2
			d.ApplyList(policy.ListDelta, []Member{one})
		}
	})
	b.Run("all", func(b *testing.B) {
		for b.Loop() {
			d.ApplyList(policy.ListFull, list)
		}
	})
}
