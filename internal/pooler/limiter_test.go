package pooler_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
)

// scarceLimiter lets a connection be made every 40 ms, and sends every fourth attempt elsewhere. It is one frontend's, on its loop.
type scarceLimiter struct {
	next  time.Duration
	sends int
	leave *atomic.Int64 // connections that were let, of all fronts
}

func (m *scarceLimiter) Admit(time.Duration, *dispatch.Request) dispatch.Admission {
	return dispatch.Admission{}
}
func (m *scarceLimiter) MaySend(_ time.Duration, r *dispatch.Request, _ string) dispatch.SendDecision {
	if m.sends++; m.sends%4 == 0 && !r.WaitedForConnection {
		return dispatch.SendElsewhere
	}
	return dispatch.Send
}
func (m *scarceLimiter) RequestEnded(time.Duration, *dispatch.Request, dispatch.FinalAnswer) {}
func (m *scarceLimiter) ServerListed(string, time.Duration)                                  {}
func (m *scarceLimiter) MayDial(now time.Duration, _ string) (time.Duration, bool) {
	if now < m.next {
		return m.next - now, false
	}
	m.next = now + 40*time.Millisecond
	m.leave.Add(1)
	return 0, true
}
func (m *scarceLimiter) MayProbe(time.Duration, string) bool { return true }

// Under limits that bind, on every pair of protocols, no connection is made without leave, every request is answered, and
// many are served.
func TestLimiter(t *testing.T) {
	for _, pair := range pairs {
		t.Run(pair.name, func(t *testing.T) {
			t.Parallel()
			f := standin.NewMixedFleet(t, pair.mysql, pair.speak, nil, "p", "r", "s")
			var leave atomic.Int64
			options := fleetOptions(nil, func() pooler.Limiter { return &scarceLimiter{leave: &leave} })
			addrs, terminate, ended, err := launchWith(f.Getenv, nil, options)
			if err != nil {
				t.Fatal(err)
			}
			served := sendMany(t, addrs)
			close(terminate)
			if err := <-ended; err != nil {
				t.Error(err)
			}
			came := 0
			for _, s := range f.Servers {
				came += s.Came()
			}
			if int64(came) > leave.Load() || came == 0 {
				t.Errorf("%d connections came to the servers, %d were let", came, leave.Load())
			}
			if served < 20 {
				t.Errorf("%d of 120 requests served", served)
			}
		})
	}
}

// sendMany sends 20 requests each from six clients and returns how many were served. It ends the test unless all are answered
// within a minute.
func sendMany(t *testing.T, addrs pooler.Addresses) int64 {
	var clients sync.WaitGroup
	var good, all atomic.Int64
	for range 6 {
		c := dial(t, addrs)
		clients.Go(func() {
			for i := range 20 {
				text := standin.Read("any", patience)
				if i%5 == 0 {
					text = standin.Write("", patience)
				}
				r := c.Do(text)
				all.Add(1)
				if r.Served() {
					good.Add(1)
				} else if !r.Refused && !r.Failed {
					t.Errorf("neither served, refused nor failed: %+v", r)
				}
			}
		})
	}
	answered := make(chan struct{})
	go func() { clients.Wait(); close(answered) }()
	select {
	case <-answered:
	case <-time.After(time.Minute):
		t.Fatalf("%d of 120 requests are answered", all.Load())
	}
	return good.Load()
}
