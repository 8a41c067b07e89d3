package dispatch

import (
	"fmt"
	"testing"
	"time"

	"threadsail/internal/policy"
)

// backend is a stand-in whose attempts never get their connection unless a test ends them.
type backend struct {
	calls  chan *waiting
	primed policy.ServerStatus
	loop   *EventLoop
}

type waiting struct {
	addr string
	AttemptCallbacks
	aborted chan struct{}
}

func (w *waiting) Abort() { close(w.aborted) }

func (b *backend) Send(addr string, _ any, _ time.Duration, a AttemptCallbacks) Call {
	w := &waiting{addr, a, make(chan struct{})}
	b.calls <- w
	return w
}

func (b *backend) Probe(_ string, done func(AttemptResult)) Call {
	b.loop.Post(func() { done(AttemptResult{Result: policy.OK, Report: b.primed}) })
	return &waiting{aborted: make(chan struct{})}
}

func (b *backend) CloseIdle(string) {}

type reply struct{ ended chan string }

func (r reply) ClientDisconnected() bool { return false }
func (r reply) Serve(any)                { r.ended <- "served" }
func (r reply) Refuse(time.Duration)     { r.ended <- "refused" }
func (r reply) Fail()                    { r.ended <- "failed" }

func start(t *testing.T) (*Dispatcher, *backend) {
	loop := NewEventLoop()
	b := &backend{calls: make(chan *waiting, 16), loop: loop, primed: policy.ServerStatus{HasRole: true, IsPrimary: true}}
	c, err := New(loop, b, Options{MaxOpen: 9, ProbeTimeout: time.Second, Watch: func() {}, Log: func(string) {},
		Settings: policy.Settings{ProbesAllowed: true, RolesReported: true, CancelAllowed: true, MaxAttempts: 6,
			DrainGracePeriod: 150 * time.Millisecond, Classes: []policy.Class{{Name: "w", Access: policy.Write,
				Idempotency: policy.IdempotentByKey, DedupScope: policy.DedupInGroup, DedupWindow: 2 * time.Second, LatencyObjective: time.Second,
				TotalTimeout: 3 * time.Second, PriorityWeight: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	c.ApplyList(policy.ListFull, []Member{{Name: "s", Addr: "s", State: policy.Ready}})
	ended := make(chan struct{})
	go func() { loop.Run(); close(ended) }()
	t.Cleanup(func() { loop.Stop(); <-ended })
	return c, b
}

// submit hands in a write and returns its first attempt.
func submit(c *Dispatcher, b *backend, patience time.Duration) (reply, *waiting) {
	r := reply{make(chan string, 2)}
	c.loop.Post(func() {
		c.Submit(&Request{HasIdempotencyKey: true, ArrivedAt: c.loop.Now(), Timeout: patience, Reply: r})
	})
	return r, <-b.calls
}

// The module stops sending before a drain's grace ends; an attempt that still waits for its connection then would be
// written too late, and must not be.
func TestAttemptDoesNotFitAfterTheGrace(t *testing.T) {
	c, b := start(t)
	r, w := submit(c, b, 400*time.Millisecond)
	fits := make(chan bool)
	ask := func() bool {
		c.loop.Post(func() { fits <- w.StillAllowed() })
		return <-fits
	}
	if !ask() {
		t.Error("a new attempt does not fit")
	}
	c.loop.Post(func() { c.ApplyList(policy.ListDelta, []Member{{Name: "s", Addr: "s", State: policy.Draining}}) })
	for ask() {
		if len(r.ended) > 0 {
			t.Fatal("the attempt fits for all its time")
		}
	}
	c.loop.Post(func() { w.Done(AttemptResult{Result: policy.Misdirected}) })
	if end := <-r.ended; end != "refused" {
		t.Errorf("a write that was never sent was %s", end)
	}
}

// An outcome after the time-out must not count twice, nor an answer reach a client that has had its own.
func TestOneOutcomeAndOneAnswer(t *testing.T) {
	c, b := start(t)
	r, w := submit(c, b, 100*time.Millisecond)
	first := <-r.ended
	<-w.aborted
	c.loop.Post(func() { w.Done(AttemptResult{Result: policy.OK, Answer: "late"}) })
	open := make(chan int)
	c.loop.Post(func() { open <- c.OpenRequests() })
	if n := <-open; n != 0 || first != "failed" || len(r.ended) != 0 {
		t.Errorf("%d requests open, first %s, %d more answers", n, first, len(r.ended))
	}
}

// A server that has left the list, or that a whole list omits, must be forgotten in the end, or a long life fills the
// table of names; but not while an attempt is out there, nor when it has come back.
func TestGoneServerIsForgotten(t *testing.T) {
	c, b := start(t)
	r, w := submit(c, b, 20*time.Second)
	known := func(change func()) (n int) {
		done := make(chan int)
		c.loop.Post(func() { change(); done <- len(c.servers.ids) + len(c.servers.addresses) })
		return <-done
	}
	due := func() {
		for name, id := range c.servers.ids {
			if since, ok := c.servers.removedAt[id]; ok {
				c.forgetServer(name, id, since)
			}
		}
	}
	member := func(name string) []Member { return []Member{{Name: name, Addr: name, State: policy.Ready}} }
	if n := known(func() { c.ApplyList(policy.ListFull, member("a")); due() }); n != 4 {
		t.Errorf("%d names and addresses while an attempt is out", n)
	}
	c.loop.Post(func() { w.Done(AttemptResult{Result: policy.OK}) })
	<-r.ended
	if n := known(due); n != 2 {
		t.Errorf("%d names and addresses after the attempt", n)
	}
	if n := known(func() {
		c.ApplyList(policy.ListDelta, []Member{{Name: "a", State: policy.Removed}})
		c.ApplyList(policy.ListDelta, member("a"))
		due()
	}); n != 2 {
		t.Errorf("%d names and addresses for a server that has come back", n)
	}
}

// Settings that can't be used change nothing. Where leaving the list binds from now on, what has left it is used no more.
func TestRetune(t *testing.T) {
	c, _ := start(t)
	class := c.ClassInfo(0)
	set := func(name string, attempts int, drainOnly bool) policy.Settings {
		class.Name = name
		return policy.Settings{MaxAttempts: attempts, IgnoreRemoval: drainOnly, Classes: []policy.Class{class}}
	}
	done := make(chan struct{})
	c.loop.Post(func() {
		defer close(done)
		if err := c.Retune(set("x", -1, false), 1, 0); err == nil || c.classes.numbers["w"] != 0 || len(c.classes.numbers) != 1 ||
			c.admission.maxOpen != 9 {
			t.Errorf("%v: classes %v, %d open at most", err, c.classes.numbers, c.admission.maxOpen)
		}
		for _, drainOnly := range []bool{true, false} {
			if err := c.Retune(set("w", 6, drainOnly), 1, 0); err != nil {
				t.Error(err)
			}
			if drainOnly {
				c.ApplyList(policy.ListFull, nil)
			}
			if avoids := c.router.Avoids(c.servers.ids["s"]); avoids == drainOnly {
				t.Errorf("only drains bind: %v; what has left the list is avoided: %v", drainOnly, avoids)
			}
		}
	})
	<-done
}

// BenchmarkList hands a core of 10,000 servers in 1,000 clusters one that has changed, and the whole list for comparison.
func BenchmarkList(b *testing.B) {
	loop := NewEventLoop()
	c, err := New(loop, &backend{calls: make(chan *waiting, 1), loop: loop}, Options{Settings: policy.Settings{Classes: []policy.Class{{Name: "r"}}},
		MaxOpen: 1, Watch: func() {}, Log: func(string) {}})
	if err != nil {
		b.Fatal(err)
	}
	list := make([]Member, 10000)
	for i := range list {
		list[i] = Member{Name: fmt.Sprint("db", i), Addr: fmt.Sprint("10.0.0.1:", i), Group: i / 10, State: policy.Ready, Weight: 1}
	}
	c.ApplyList(policy.ListFull, list)
	b.Run("one", func(b *testing.B) {
		for n := 0; b.Loop(); n++ {
			one := list[5000]
			one.Weight = 1 + n%2
			c.ApplyList(policy.ListDelta, []Member{one})
		}
	})
	b.Run("all", func(b *testing.B) {
		for b.Loop() {
			c.ApplyList(policy.ListFull, list)
		}
	})
}
