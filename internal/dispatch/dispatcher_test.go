package dispatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/policy"
)

// fakeBackend is a Backend whose attempts end only when a test ends them. Its probes succeed immediately with the status.
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

func (c *fakeCall) Abort() { close(c.aborted) }

func (b *fakeBackend) Send(addr string, _ any, _ time.Duration, callbacks AttemptCallbacks) Call {
	call := &fakeCall{addr, callbacks, make(chan struct{})}
	b.calls <- call
	return call
}

func (b *fakeBackend) Probe(_ string, done func(AttemptResult)) Call {
	b.loop.Post(func() { done(AttemptResult{Result: policy.OK, Status: b.status}) })
	return &fakeCall{aborted: make(chan struct{})}
}

func (b *fakeBackend) CloseIdle(string) {}

type fakeReplier struct{ ended chan string }

func (r fakeReplier) ClientDisconnected() bool { return false }
func (r fakeReplier) MayAttempt() bool         { return true }
func (r fakeReplier) Serve(any)                { r.ended <- "served" }
func (r fakeReplier) Reject(time.Duration)     { r.ended <- "rejected" }
func (r fakeReplier) Fail()                    { r.ended <- "failed" }

func startDispatcher(t *testing.T) (*Dispatcher, *fakeBackend) {
	loop := NewEventLoop()
	backend := &fakeBackend{calls: make(chan *fakeCall, 16), loop: loop, status: policy.ServerStatus{HasRole: true, IsPrimary: true}}
	write := policy.Class{Name: "w", Access: policy.Write, Idempotency: policy.IdempotentByKey,
		DedupScope: policy.DedupInGroup, DedupWindow: 2 * time.Second, LatencyObjective: time.Second,
		TotalTimeout: 3 * time.Second, PriorityWeight: 1}
	d, err := New(loop, backend, Options{MaxOpen: 9, ProbeTimeout: time.Second, Watch: func() {}, Log: func(string) {},
		Settings: policy.Settings{ProbesAllowed: true, RolesReported: true, CancelAllowed: true, MaxAttempts: 6,
			DrainGracePeriod: 150 * time.Millisecond, Classes: []policy.Class{write}}})
	if err != nil {
		t.Fatal(err)
	}
	d.ApplyList(policy.ListFull, []Member{{Name: "s", Address: "s", State: policy.Ready}})
	ended := make(chan struct{})
	go func() { loop.Run(); close(ended) }()
	t.Cleanup(func() { loop.Stop(); <-ended })
	return d, backend
}

// onLoop runs a function on the dispatcher's loop and blocks until it has returned.
func onLoop(d *Dispatcher, f func()) {
	done := make(chan struct{})
	d.loop.Post(func() { f(); close(done) })
	<-done
}

// submit submits a write and returns its replier and its first attempt.
func submit(d *Dispatcher, backend *fakeBackend, timeout time.Duration) (fakeReplier, *fakeCall) {
	replier := fakeReplier{make(chan string, 2)}
	d.loop.Post(func() {
		d.Submit(&Request{HasIdempotencyKey: true, ArrivedAt: d.loop.Now(), Timeout: timeout, Reply: replier})
	})
	return replier, <-backend.calls
}

// The policy stops sending before a drain's grace period ends. An attempt that is still waiting for its connection at that time
// would be written too late, so it must not be allowed.
func TestAttemptNotAllowedAfterGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, backend := startDispatcher(t)
		replier, call := submit(d, backend, 400*time.Millisecond)
		allowed := func() (result bool) {
			onLoop(d, func() { result = call.StillAllowed() })
			return result
		}
		if !allowed() {
			t.Error("an attempt at a ready server is not allowed")
		}
		onLoop(d, func() { d.ApplyList(policy.ListDelta, []Member{{Name: "s", Address: "s", State: policy.Draining}}) })
		for allowed() {
			if len(replier.ended) > 0 {
				t.Fatal("the attempt at a draining server is allowed until its timeout")
			}
			time.Sleep(time.Millisecond)
		}
		d.loop.Post(func() { call.Done(AttemptResult{Result: policy.Misdirected}) })
		if answer := <-replier.ended; answer != "rejected" {
			t.Errorf("a write that was never sent was %s, want rejected", answer)
		}
	})
}

// A round of the loop may take long. A write whose server was chosen at its beginning was sent at its end, whatever time had passed.
func TestAttemptNotStartedAfterGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, backend := startDispatcher(t)
		_, first := submit(d, backend, 2*time.Second) // the primary is known from now on
		onLoop(d, func() {
			first.Done(AttemptResult{Result: policy.OK})
			settings := d.settings
			settings.DrainGracePeriod = time.Second
			if err := d.UpdateSettings(settings, d.admission.maxOpen, d.probeTimeout); err != nil {
				t.Error(err)
			}
		})
		replier := fakeReplier{make(chan string, 2)}
		onLoop(d, func() {
			d.ApplyList(policy.ListDelta, []Member{{Name: "s", Address: "s", State: policy.Draining}})
			d.Submit(&Request{ArrivedAt: d.loop.Now(), Timeout: 3 * time.Second, Reply: replier})
			if len(d.actions) == 0 {
				t.Error("no attempt is requested")
			}
			time.Sleep(2 * time.Second)
		})
		if answer := <-replier.ended; answer != "rejected" || len(backend.calls) != 0 {
			t.Errorf("the write was %s after %d attempts, want rejected after none", answer, len(backend.calls))
		}
	})
}

// A pooler may be held up between the check of a read and its last byte. By then the data of the replica was older than the class allows,
// and clients got it.
func TestReadSentTooLateIsNotServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, backend := startDispatcher(t)
		replier := fakeReplier{make(chan string, 2)}
		onLoop(d, func() {
			read := policy.Class{Name: "r", Access: policy.ReadBounded, MaxStaleness: 800 * time.Millisecond, LatencyObjective: 2 * time.Second,
				TotalTimeout: 2 * time.Second, PriorityWeight: 1, LateWeightFraction: 1}
			settings := d.settings
			settings.Classes = append(settings.Classes, read)
			if err := d.UpdateSettings(settings, d.admission.maxOpen, d.probeTimeout); err != nil {
				t.Error(err)
			}
			backend.status = policy.ServerStatus{HasRole: true, HasPosition: true, Position: d.loop.Now()}
			class, _ := d.ClassNumber(read.Name)
			d.Submit(&Request{Class: class, ArrivedAt: d.loop.Now(), Timeout: 2 * time.Second, Reply: replier})
		})
		var call *fakeCall
		select {
		case call = <-backend.calls:
		case answer := <-replier.ended:
			t.Fatalf("the read was %s before it was sent", answer)
		}
		time.Sleep(time.Second)
		d.loop.Post(call.Sent)
		synctest.Wait()
		select {
		case <-call.aborted:
		default:
			t.Error("the read is not aborted")
		}
		d.loop.Post(func() { call.Done(AttemptResult{Result: policy.OK, Answer: "old"}) })
		if answer := <-replier.ended; answer != "rejected" {
			t.Errorf("the read was %s, want rejected", answer)
		}
	})
}

// The end of an attempt must be reported to the policy even if the client disconnects before the attempt is started. The policy
// counts the attempt against its server until then: the server would lose capacity permanently and be ejected as unresponsive.
func TestAttemptOfDisconnectedClientEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, backend := startDispatcher(t)
		replier, call := submit(d, backend, 20*time.Second) // the primary is known from now on
		onLoop(d, func() { call.Done(AttemptResult{Result: policy.OK}) })
		<-replier.ended
		onLoop(d, func() {
			request := &Request{HasIdempotencyKey: true, ArrivedAt: d.loop.Now(), Timeout: 20 * time.Second,
				Reply: fakeReplier{make(chan string, 2)}}
			d.Submit(request).HandleDisconnect()
		})
		time.Sleep(10 * time.Second)
		synctest.Wait()
		onLoop(d, func() {
			if open := d.OpenRequests(); open != 0 || len(backend.calls) != 0 {
				t.Errorf("%d requests open and %d attempts sent, want none", open, len(backend.calls))
			}
			if d.router.Unavailable(d.servers.ids["s"]) {
				t.Error("the server is ejected for an attempt that was never sent")
			}
		})
	})
}

// fakeStream is a Stream that records that it was discarded.
type fakeStream struct {
	onEnd     func(StreamEnd)
	discarded bool
}

func (s *fakeStream) OnEnd(f func(StreamEnd)) { s.onEnd = f }
func (s *fakeStream) Abort()                  {}
func (s *fakeStream) Discard() {
	s.discarded = true
	s.onEnd(StreamClientDisconnected)
}

// An answer that is queued when its client cancels or disconnects must not be delivered: by the end of the round the client's
// connection may execute its next command. A stream must be discarded, as nobody else closes its server's connection.
func TestAbandonedRequestGetsNoQueuedAnswer(t *testing.T) {
	stream := &fakeStream{}
	for name, answer := range map[string]any{"answer": "value", "stream": stream} {
		t.Run(name, func(t *testing.T) {
			d, backend := startDispatcher(t)
			replier, call := submit(d, backend, 20*time.Second)
			onLoop(d, func() {
				request := d.requests.open[d.requests.lastID]
				call.Done(AttemptResult{Result: policy.OK, Answer: answer})
				request.HandleDisconnect()
			})
			onLoop(d, func() {
				if len(replier.ended) != 0 || d.requests.pending != 0 {
					t.Errorf("%d answers delivered and %d requests pending, want none", len(replier.ended), d.requests.pending)
				}
			})
		})
	}
	if !stream.discarded {
		t.Error("the stream was not discarded")
	}
}

// A server may begin the answer to a write before it has committed the write. The session's reads would miss the write if it counted as
// committed when the forwarding of its answer began.
func TestStreamedWriteIsCommittedAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, backend := startDispatcher(t)
		sessions := policy.NewSessionPositions()
		onLoop(d, func() {
			settings := d.settings
			settings.TrackSessions = true
			d.router.ShareSessions(sessions)
			if err := d.UpdateSettings(settings, d.admission.maxOpen, d.probeTimeout); err != nil {
				t.Error(err)
			}
		})
		_, call := submit(d, backend, time.Minute)
		stream := &fakeStream{}
		onLoop(d, func() { call.Done(AttemptResult{Result: policy.OK, Answer: stream}) })
		begun := sessions.LastWrite(nil)
		const duration = time.Second
		time.Sleep(duration)
		onLoop(d, func() { stream.onEnd(StreamComplete) })
		if ended := sessions.LastWrite(nil); ended < begun+duration {
			t.Errorf("the write counts as committed %v after its answer began, want %v", ended-begun, duration)
		}
	})
}

// As TestAbandonedRequestGetsNoQueuedAnswer, for a request that is rejected or answered without a server.
func TestAbandonedRequestGetsNoQueuedRejection(t *testing.T) {
	d, _ := startDispatcher(t)
	replier := fakeReplier{make(chan string, 2)}
	onLoop(d, func() {
		d.admission.maxOpen = 0
		d.Submit(&Request{ArrivedAt: d.loop.Now(), Timeout: time.Second, Reply: replier}).HandleDisconnect()
	})
	onLoop(d, func() {
		if len(replier.ended) != 0 {
			t.Errorf("the client was told that its request was %s, want no answer", <-replier.ended)
		}
	})
}

// A result that arrives after the attempt's timeout must not be counted again, and its answer must not be sent to a client that
// already has a final answer.
func TestLateOutcomeIsIgnored(t *testing.T) {
	d, backend := startDispatcher(t)
	replier, call := submit(d, backend, 100*time.Millisecond)
	answer := <-replier.ended
	<-call.aborted
	d.loop.Post(func() { call.Done(AttemptResult{Result: policy.OK, Answer: "late"}) })
	open := make(chan int)
	d.loop.Post(func() { open <- d.OpenRequests() })
	if count := <-open; count != 0 || answer != "failed" || len(replier.ended) != 0 {
		t.Errorf("%d requests open, first answer %s, %d more answers, want 0, failed, 0", count, answer, len(replier.ended))
	}
}

// A server that is removed from the list, or omitted by a full list, must be forgotten eventually, or the registry of a
// long-running pooler fills up. It must not be forgotten while an attempt is in flight, nor after it is listed again.
func TestRemovedServerIsForgotten(t *testing.T) {
	d, backend := startDispatcher(t)
	replier, call := submit(d, backend, 20*time.Second)
	namesAndAddressesAfter := func(change func()) (count int) {
		done := make(chan int)
		d.loop.Post(func() { change(); done <- len(d.servers.ids) + len(d.servers.addresses) })
		return <-done
	}
	forgetDue := func() {
		for name, id := range d.servers.ids {
			if since, ok := d.servers.removedAt[id]; ok {
				d.forgetServer(name, id, since)
			}
		}
	}
	member := func(name string) []Member { return []Member{{Name: name, Address: name, State: policy.Ready}} }
	if count := namesAndAddressesAfter(func() { d.ApplyList(policy.ListFull, member("a")); forgetDue() }); count != 4 {
		t.Errorf("%d names and addresses while an attempt is in flight, want 4", count)
	}
	d.loop.Post(func() { call.Done(AttemptResult{Result: policy.OK}) })
	<-replier.ended
	if count := namesAndAddressesAfter(forgetDue); count != 2 {
		t.Errorf("%d names and addresses after the attempt, want 2", count)
	}
	if count := namesAndAddressesAfter(func() {
		d.ApplyList(policy.ListDelta, []Member{{Name: "a", State: policy.Removed}})
		d.ApplyList(policy.ListDelta, member("a"))
		forgetDue()
	}); count != 2 {
		t.Errorf("%d names and addresses after a server was listed again, want 2", count)
	}
}

// Invalid settings must change nothing. When new settings stop ignoring removal, servers that left the list earlier must no
// longer be used.
func TestUpdateSettings(t *testing.T) {
	d, _ := startDispatcher(t)
	class := d.ClassInfo(0)
	settings := func(name string, attempts int, ignoreRemoval bool) policy.Settings {
		class.Name = name
		return policy.Settings{MaxAttempts: attempts, IgnoreRemoval: ignoreRemoval, Classes: []policy.Class{class}}
	}
	done := make(chan struct{})
	d.loop.Post(func() {
		defer close(done)
		if err := d.UpdateSettings(settings("x", -1, false), 1, 0); err == nil || d.classes.numbers["w"] != 0 || len(d.classes.numbers) != 1 ||
			d.admission.maxOpen != 9 {
			t.Errorf("invalid settings: got error %v, classes %v and at most %d open, want an error, w and 9",
				err, d.classes.numbers, d.admission.maxOpen)
		}
		for _, ignoreRemoval := range []bool{true, false} {
			if err := d.UpdateSettings(settings("w", 6, ignoreRemoval), 1, 0); err != nil {
				t.Error(err)
			}
			if ignoreRemoval {
				d.ApplyList(policy.ListFull, nil)
			}
			if avoided := d.router.Unavailable(d.servers.ids["s"]); avoided == ignoreRemoval {
				t.Errorf("IgnoreRemoval %v: unlisted server avoided: %v, want %v", ignoreRemoval, avoided, !ignoreRemoval)
			}
		}
	})
	<-done
}

// BenchmarkList applies lists to a dispatcher of 10,000 servers in 1,000 clusters: a delta of one server, and the full list.
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
