package upstream

import (
	"net"
	"testing"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/transport"
)

// handler notes nothing: only the beginning of exchanges is looked at.
type handler struct{}

func (handler) Closed(error)               {}
func (handler) Data(time.Duration, []byte) {}

// An exchange without leave to dial asks again; with leave it dials, with a connection put back meanwhile it takes that, and
// with neither it ends as sent away unseen, in time.
func TestWaitToDial(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	loop := dispatch.NewEventLoop()
	go loop.Run()
	defer loop.Stop()
	asked, leave := 0, 3 // asked on the loop alone
	s := &Connector{Loop: loop, Budget: transport.NewBudget(4), Pool: transport.NewPool(time.Minute, 4), ConnectTimeout: 2 * time.Second,
		MayDial: func(string) (time.Duration, bool) {
			asked++
			return time.Millisecond, asked == leave
		}}
	ends := make(chan string, 1)
	start := func() *Exchange {
		x := &Exchange{}
		a := dispatch.AttemptCallbacks{StillAllowed: func() bool { return true }, Sent: func() {}, Done: func(r dispatch.AttemptResult) {
			if ends <- "ended"; r.Result != policy.Overloaded {
				t.Errorf("ends as %v", r.Result)
			}
		}}
		x.Start(s, ln.Addr().String(), handler{}, a, func(any) { ends <- "idle" }, func() {
			ends <- "fresh"
			x.connectTimer.Stop()
			loop.After(20*time.Millisecond, func() { x.ReleaseConn(true, nil) })
		})
		return x
	}
	loop.Post(func() { start() })
	if end := <-ends; end != "fresh" {
		t.Errorf("with leave at last: %s", end)
	}
	loop.Post(func() { start() }) // before the connection is back
	if end := <-ends; end != "idle" {
		t.Errorf("with a connection put back: %s", end)
	}
	loop.Post(func() {
		s.Pool.CloseIdle(ln.Addr().String())
		s.ConnectTimeout = 50 * time.Millisecond
		start()
	})
	if end := <-ends; end != "ended" {
		t.Errorf("without leave: %s", end)
	}
	loop.Post(func() { // an attempt that is given up while it waits asks no more
		x := start()
		loop.After(5*time.Millisecond, func() {
			x.Abort()
			before := asked
			loop.After(100*time.Millisecond, func() {
				if asked != before || len(ends) > 0 {
					t.Errorf("given up, it asks %d times more, and %d ends are told", asked-before, len(ends))
				}
				ends <- "given up"
			})
		})
	})
	<-ends
}

// What never ends is spoilt by its size, also before the request is sent, where no other time than that to connect is bound.
func TestTooLargeAnswerIsMalformed(t *testing.T) {
	x, spoilt := &Exchange{}, 0
	for n := 0; x.Received(64<<10, false, func() { spoilt++ }); n++ {
		if n > 1000 {
			t.Fatal("64 MB are taken in")
		}
	}
	if spoilt != 1 {
		t.Errorf("it is spoilt %d times", spoilt)
	}
}
