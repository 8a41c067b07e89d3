package upstream

import (
	"net"
	"testing"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/transport"
)

// noopHandler ignores all events, as the tests only check the acquisition of connections.
type noopHandler struct{}

func (noopHandler) Closed(error)               {}
func (noopHandler) Data(time.Duration, []byte) {}

// TestWaitToDial checks that an exchange that may not dial yet retries until MayDial allows it, uses a connection that is returned
// to the pool meanwhile, and otherwise ends with policy.Overloaded at its deadline.
func TestWaitToDial(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	loop := dispatch.NewEventLoop()
	go loop.Run()
	defer loop.Stop()
	mayDialCalls, allowedCall := 0, 3 // mayDialCalls is accessed on the loop only
	connector := &Connector{Loop: loop, Budget: transport.NewBudget(4), Pool: transport.NewPool(time.Minute, 4), ConnectTimeout: 2 * time.Second,
		MayDial: func(string) (time.Duration, bool) {
			mayDialCalls++
			return time.Millisecond, mayDialCalls == allowedCall
		}}
	events := make(chan string, 1)
	start := func() *Exchange {
		exchange := &Exchange{}
		attempt := dispatch.AttemptCallbacks{StillAllowed: func() bool { return true }, Sent: func() {}, Progress: func(bool) {}, Done: func(r dispatch.AttemptResult) {
			if events <- "ended"; r.Result != policy.Overloaded {
				t.Errorf("the exchange ends with %v", r.Result)
			}
		}}
		exchange.Start(connector, ln.Addr().String(), noopHandler{}, attempt, func(any) { events <- "idle" }, func() {
			events <- "fresh"
			exchange.connectTimer.Stop()
			loop.After(20*time.Millisecond, func() { exchange.ReleaseConn(true, nil) })
		})
		return exchange
	}
	loop.Post(func() { start() })
	if event := <-events; event != "fresh" {
		t.Errorf("when the dial is allowed: %s", event)
	}
	loop.Post(func() { start() }) // before the connection is returned to the pool
	if event := <-events; event != "idle" {
		t.Errorf("with a connection returned to the pool: %s", event)
	}
	loop.Post(func() {
		connector.Pool.CloseIdle(ln.Addr().String())
		connector.ConnectTimeout = 50 * time.Millisecond
		start()
	})
	if event := <-events; event != "ended" {
		t.Errorf("when no dial is allowed: %s", event)
	}
	loop.Post(func() { // an exchange that is aborted while it waits stops retrying
		exchange := start()
		loop.After(5*time.Millisecond, func() {
			exchange.Abort()
			callsBefore := mayDialCalls
			loop.After(100*time.Millisecond, func() {
				if mayDialCalls != callsBefore || len(events) > 0 {
					t.Errorf("after Abort: %d further calls of MayDial, %d events reported", mayDialCalls-callsBefore, len(events))
				}
				events <- "aborted"
			})
		})
	})
	<-events
}

// A request that the kernel does not take at once must not be sent later, when a limit such as a drain's may have passed: what was checked
// before the write would no longer hold.
func TestRequestThatTheKernelDelays(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0") // it accepts connections and reads nothing
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	loop := dispatch.NewEventLoop()
	go loop.Run()
	defer loop.Stop()
	connector := &Connector{Loop: loop, Budget: transport.NewBudget(4), Pool: transport.NewPool(time.Minute, 4), ConnectTimeout: time.Minute}
	results := make(chan policy.Result, 1)
	attempt := dispatch.AttemptCallbacks{StillAllowed: func() bool { return true }, Sent: func() { t.Error("the request is reported as sent") },
		Progress: func(bool) {}, Done: func(r dispatch.AttemptResult) { results <- r.Result }}
	loop.Post(func() {
		exchange := &Exchange{}
		exchange.Start(connector, ln.Addr().String(), noopHandler{}, attempt, nil, func() {
			fill := make([]byte, 1<<20)
			for exchange.Conn.Written() {
				exchange.Conn.Write(fill)
			}
			exchange.Conn.Write([]byte("request"))
			exchange.RequestWritten()
			if !exchange.Conn.PeerDisconnected() {
				t.Error("the connection is not closed")
			}
		})
	})
	if result := <-results; result != policy.Overloaded {
		t.Errorf("the exchange ends with %v, want %v", result, policy.Overloaded)
	}
}

// TestTooLargeAnswerIsMalformed checks that an endless answer fails by its size, even before the request is sent, when only the
// connect timeout applies.
func TestTooLargeAnswerIsMalformed(t *testing.T) {
	exchange, failures := &Exchange{connector: &Connector{}}, 0
	for n := 0; exchange.Received(64<<10, false, func() { failures++ }); n++ {
		if n > 1000 {
			t.Fatal("64 MB are accepted")
		}
	}
	if failures != 1 {
		t.Errorf("failMalformed is called %d times, want 1", failures)
	}
}

// A call that ends on an idle connection as soon as it has it must report that after Start, and must not close the connection when it is
// aborted later: another exchange may use it by then.
func TestExchangeThatFinishesWithinStart(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	loop := dispatch.NewEventLoop()
	go loop.Run()
	defer loop.Stop()
	address := listener.Addr().String()
	connector := &Connector{Loop: loop, Budget: transport.NewBudget(4), Pool: transport.NewPool(time.Minute, 4), ConnectTimeout: time.Minute}
	reported := make(chan struct{}, 2)
	start := func(finish bool) *Exchange {
		exchange := &Exchange{}
		end := func() {
			exchange.ReleaseConn(true, nil)
			exchange.Finish(policy.OK)
		}
		exchange.Start(connector, address, noopHandler{}, dispatch.AttemptCallbacks{Done: func(dispatch.AttemptResult) { reported <- struct{}{} }},
			func(any) {
				if finish {
					end()
				}
			}, end)
		return exchange
	}
	loop.Post(func() { start(true) })
	<-reported
	const reuseTime = 50 * time.Millisecond // more than the time for which a connection is not used again
	checked := make(chan struct{})
	loop.Post(func() {
		loop.After(reuseTime, func() {
			ended := start(true)
			if len(reported) > 0 {
				t.Error("the result is reported before Start has returned")
			}
			loop.After(reuseTime, func() {
				defer close(checked)
				current := start(false)
				if ended.Conn != current.Conn {
					t.Error("the connection is not used again")
				}
				ended.Abort()
				if !current.Conn.Quiet() {
					t.Error("aborting an exchange that has finished closes a connection that another one uses")
				}
			})
		})
	})
	<-checked
	if len(reported) != 1 {
		t.Errorf("%d results are reported for the exchange that finished, want 1", len(reported))
	}
}
