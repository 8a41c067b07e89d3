package transport_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/lab/standin"
	"threadsail/internal/transport"
)

// testTimeout is the time after which a test that waits for an event fails.
const testTimeout = 20 * time.Second

// recordingHandler is a connection's handler that passes the events on to channels.
type recordingHandler struct {
	data   chan []byte
	closed chan error
}

// newRecordingHandler returns a recordingHandler with buffered channels.
func newRecordingHandler() recordingHandler {
	return recordingHandler{make(chan []byte, 64), make(chan error, 4)}
}

func (h recordingHandler) Data(_ time.Duration, b []byte) { h.data <- append([]byte(nil), b...) }
func (h recordingHandler) Closed(err error)               { h.closed <- err }

// fixture is an event loop with a listener on the loopback interface. Connections that it accepts have the handler server.
type fixture struct {
	t        *testing.T
	loop     *dispatch.EventLoop
	budget   *transport.Budget
	ln       *transport.Listener
	accepted chan *transport.Conn
	server   recordingHandler
}

// newFixture returns a fixture with a budget of the given number of descriptors. It ends with the test.
func newFixture(t *testing.T, descriptors int) *fixture {
	f := &fixture{t: t, loop: dispatch.NewEventLoop(), budget: transport.NewBudget(descriptors),
		accepted: make(chan *transport.Conn, 8), server: newRecordingHandler()}
	ln, err := transport.Listen(f.loop, f.budget, "127.0.0.1:0", func(c *transport.Conn) {
		c.SetHandler(f.server)
		f.accepted <- c
	})
	if err != nil {
		t.Fatal(err)
	}
	f.ln = ln
	loopStopped := make(chan struct{})
	go func() { f.loop.Run(); close(loopStopped) }()
	t.Cleanup(func() { f.runOnLoop(ln.Close); f.loop.Stop(); <-loopStopped })
	return f
}

// runOnLoop runs action on the loop and waits until it returns.
func (f *fixture) runOnLoop(action func()) {
	done := make(chan struct{})
	f.loop.Post(func() { action(); close(done) })
	<-done
}

// dial connects to the fixture's listener and waits for the result. The connection has the handler h.
func (f *fixture) dial(h transport.Handler) (*transport.Conn, error) {
	type dialResult struct {
		c   *transport.Conn
		err error
	}
	results := make(chan dialResult, 1)
	f.runOnLoop(func() {
		transport.Dial(f.loop, f.budget, f.ln.Addr(), time.Second, func(c *transport.Conn, err error) {
			if err == nil {
				c.SetHandler(h)
			}
			results <- dialResult{c, err}
		})
	})
	result := <-results
	return result.c, result.err
}

// awaitDescriptors waits until at most limit descriptors are in use. Finished connections linger until their peers close.
func (f *fixture) awaitDescriptors(limit int) {
	f.t.Helper()
	for deadline := time.Now().Add(testTimeout); f.budget.Used() > limit; f.runOnLoop(func() {}) {
		if time.Now().After(deadline) {
			f.t.Fatalf("%d descriptors are still in use", f.budget.Used())
		}
	}
}

// receive returns the next value of events and fails the test if none arrives in time.
func receive[T any](t *testing.T, events chan T) (event T) {
	t.Helper()
	select {
	case event = <-events:
	case <-time.After(testTimeout):
		t.Fatal("no event arrived in time")
	}
	return event
}

// awaitClose waits until the end of a connection is reported, with any error.
func awaitClose(t *testing.T, closed chan error) {
	t.Helper()
	_ = receive(t, closed)
}

// All bytes must arrive before the close is reported, descriptors must be released, and a dial beyond the budget must fail.
func TestConnection(t *testing.T) {
	f := newFixture(t, 2)
	client := newRecordingHandler()
	c, err := f.dial(client)
	if err != nil {
		t.Fatal(err)
	}
	s := receive(t, f.accepted)
	if _, err := f.dial(newRecordingHandler()); !errors.Is(err, transport.ErrNoDescriptor) {
		t.Errorf("a dial beyond the budget returned %v, want ErrNoDescriptor", err)
	}
	const size = 300000 // more than the kernel accepts at once, so the peer must read several times
	f.runOnLoop(func() { c.Write(make([]byte, size)); c.Finish() })
	got := 0
	for got < size {
		got += len(receive(t, f.server.data))
	}
	awaitClose(t, f.server.closed)
	f.runOnLoop(func() { s.Close() })
	if got != size {
		t.Errorf("received %d bytes, want all of them", got)
	}
	f.awaitDescriptors(0)
}

// A handler must receive no event after its owner has closed the connection, and a peer's close before the first read must be
// reported.
func TestClose(t *testing.T) {
	f := newFixture(t, 8)
	client := newRecordingHandler()
	c, err := f.dial(client)
	if err != nil {
		t.Fatal(err)
	}
	s := receive(t, f.accepted)
	f.runOnLoop(s.Close)
	if err := receive(t, client.closed); !errors.Is(err, io.EOF) {
		t.Errorf("the connection ended with %v, want io.EOF", err)
	}
	f.runOnLoop(c.Close)
	raw, err := net.Dial("tcp", f.ln.Addr())
	if err != nil {
		t.Fatal(err)
	}
	raw.Close()
	receive(t, f.accepted)
	awaitClose(t, f.server.closed)
	if len(f.server.closed)+len(client.closed) > 0 {
		t.Error("the end of a connection was reported twice, or after its owner had closed it")
	}
}

// The pool must return the most recently used connection, and none that its peer has closed or sent on, or that has been idle too
// long.
func TestPool(t *testing.T) {
	f := newFixture(t, 64)
	pool := transport.NewPool(time.Minute, 3)
	var conns, peers []*transport.Conn
	for range 4 {
		c, err := f.dial(newRecordingHandler())
		if err != nil {
			t.Fatal(err)
		}
		conns, peers = append(conns, c), append(peers, receive(t, f.accepted))
	}
	get := func(now time.Duration) (c *transport.Conn) {
		f.runOnLoop(func() { c, _ = pool.Get("a", now, nil) })
		return c
	}
	f.runOnLoop(func() {
		for _, c := range conns { // the fourth exceeds maxIdle
			pool.Put("a", c, nil)
		}
		peers[2].Close()
		peers[1].Write([]byte("unsolicited"))
	})
	f.awaitDescriptors(2) // the unusable connections are closed
	if c := get(f.loop.Now() + time.Second); c != conns[0] {
		t.Error("Get did not return the only usable connection")
	}
	f.runOnLoop(func() { pool.Put("a", conns[0], nil) })
	if c := get(f.loop.Now() + time.Hour); c != nil {
		t.Error("Get returned a connection that had been idle too long")
	}
	newer, err := f.dial(newRecordingHandler())
	if err != nil {
		t.Fatal(err)
	}
	f.runOnLoop(func() {
		pool.Put("b", newer, nil)
		if !pool.CloseOldest() {
			t.Error("CloseOldest closed no connection")
		}
	})
	if c := get(f.loop.Now() + time.Second); c != nil {
		t.Error("CloseOldest did not close the oldest connection")
	}
	f.runOnLoop(func() { pool.Sweep(f.loop.Now() + time.Hour) })
	if pool.CloseOldest() {
		t.Error("a connection is left in the pool after Sweep")
	}
	f.awaitDescriptors(0)
}

// Get must not return a connection whose request is still being written because its answer arrived early.
func TestPoolSkipsConnectionWithUnfinishedWrite(t *testing.T) {
	f := newFixture(t, 4)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialed := make(chan *transport.Conn, 1)
	f.runOnLoop(func() {
		transport.Dial(f.loop, f.budget, ln.Addr().String(), time.Second, func(c *transport.Conn, _ error) { dialed <- c })
	})
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	c := receive(t, dialed)
	pool := transport.NewPool(time.Minute, 4)
	const size = 64 << 20 // more than the kernel accepts
	f.runOnLoop(func() {
		for n := 0; n < size && c.Written(); n += 1 << 20 {
			c.Write(make([]byte, 1<<20))
		}
		pool.Put("a", c, nil)
		if got, _ := pool.Get("a", f.loop.Now()+time.Second, nil); got != nil {
			t.Error("Get returned a connection with a write in progress")
		}
	})
	go func() { _, _ = io.Copy(io.Discard, peer) }()
	for deadline := time.Now().Add(testTimeout); ; {
		var got *transport.Conn
		f.runOnLoop(func() { got, _ = pool.Get("a", f.loop.Now()+time.Second, nil) })
		if got == c {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("Get did not return the connection after the write had ended")
		}
	}
}

// If a peer reads all bytes and closes at once, the write must count as complete, as the request may have been executed. The
// event of the close can arrive before that of the end of the write.
func TestPeerClosesRightAfterLastByte(t *testing.T) {
	f := newFixture(t, 64)
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	const request = "write"
	go func() {
		for {
			c, err := peer.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(c, make([]byte, len(request)))
			c.Close()
		}
	}()
	for range 500 {
		written := make(chan bool, 1)
		f.runOnLoop(func() {
			transport.Dial(f.loop, f.budget, peer.Addr().String(), time.Second, func(c *transport.Conn, err error) {
				if err != nil {
					t.Error(err)
					written <- true
					return
				}
				c.SetHandler(closeFunc(func() { written <- c.Written() }))
				c.Write([]byte(request))
			})
		})
		if !receive(t, written) {
			t.Fatal("a request that the peer has read in full counts as unwritten")
		}
	}
}

// A peer that resets its connection during a write must not affect anything else.
func TestPeerResetsDuringWrite(t *testing.T) {
	f := newFixture(t, 256)
	for range 3000 {
		c, err := net.Dial("tcp", f.ln.Addr())
		if err != nil {
			t.Fatal(err)
		}
		s := receive(t, f.accepted)
		_ = c.(*net.TCPConn).SetLinger(0)
		go c.Close()
		f.runOnLoop(func() { s.Write([]byte("a")) })
		awaitClose(t, f.server.closed)
	}
}

// Closing a connection as soon as it is accepted must not disturb the poller, which may report events of it afterwards.
func TestCloseOnAccept(t *testing.T) {
	loop := dispatch.NewEventLoop()
	closed := make(chan bool, 64)
	ln, err := transport.Listen(loop, transport.NewBudget(64), "127.0.0.1:0", func(c *transport.Conn) {
		c.Close()
		closed <- true
	})
	if err != nil {
		t.Fatal(err)
	}
	loopStopped := make(chan struct{})
	go func() { loop.Run(); close(loopStopped) }()
	defer func() { loop.Post(ln.Close); loop.Stop(); <-loopStopped }()
	for range 2000 {
		c, err := net.Dial("tcp", ln.Addr())
		if err != nil {
			t.Fatal(err)
		}
		receive(t, closed)
		c.Close()
	}
}

// Bytes that a client sends right after connecting must be delivered, whether they arrive before or after the accept. A client's
// request is lost otherwise.
func TestFirstBytesAreRead(t *testing.T) {
	f := newFixture(t, 64)
	for range 5000 {
		c, err := net.Dial("tcp", f.ln.Addr())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte("hello")); err != nil {
			t.Fatal(err)
		}
		receive(t, f.server.data)
		c.Close()
		awaitClose(t, f.server.closed)
		receive(t, f.accepted)
	}
}

// The kernel must have accepted a small write when Write returns, without a goroutine and an event on the loop for each write.
func TestSmallWriteIsSynchronous(t *testing.T) {
	f := newFixture(t, 8)
	c, err := f.dial(newRecordingHandler())
	if err != nil {
		t.Fatal(err)
	}
	f.runOnLoop(func() {
		if c.Write([]byte("query")); !c.Written() {
			t.Error("the write is still in progress after Write has returned")
		}
	})
	if b := receive(t, f.server.data); string(b) != "query" {
		t.Errorf("received %q", b)
	}
}

// A peer that sends faster than the loop handles the bytes must be throttled, as nothing else bounds the memory that its bytes
// take. No byte may be lost meanwhile, and a paused connection must still write.
func TestFastPeerIsThrottled(t *testing.T) {
	f := newFixture(t, 8)
	c, err := net.Dial("tcp", f.ln.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s := receive(t, f.accepted)
	const size = 64 << 20
	payload := make([]byte, size)
	for i := range payload {
		payload[i] = byte(i >> 8)
	}
	sent := 0
	f.runOnLoop(func() { // blocks the loop while the peer sends
		_ = c.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
		sent, err = c.Write(payload)
	})
	if err == nil || sent > size/2 {
		t.Fatalf("%d bytes were accepted from a peer while the loop was blocked", sent)
	}
	receiveUntil := func(total int, got int) int {
		for got < total {
			for _, b := range receive(t, f.server.data) {
				if b != byte(got>>8) {
					t.Fatalf("byte %d is %d", got, b)
				}
				got++
			}
		}
		return got
	}
	got := receiveUntil(sent, 0)
	f.runOnLoop(func() { s.Pause(true); s.Write([]byte("still")) })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	go func() { _, _ = c.Write(payload[sent:]) }()
	if _, err := io.ReadFull(c, make([]byte, 5)); err != nil {
		t.Errorf("the bytes written to a paused connection did not arrive: %v", err)
	}
	f.runOnLoop(func() { s.Pause(false) })
	receiveUntil(size, got)
	c.Close()
	awaitClose(t, f.server.closed)
	f.runOnLoop(s.Close)
	f.awaitDescriptors(0)
}

// However a connection is closed, the peer must receive all bytes written and then the end of the stream, even if it is still
// sending and starts to read late: a reset would discard the bytes that it has not read yet. The descriptor must be released
// once the peer has closed, or if the peer never stops sending.
func TestPeerReceivesAnswerBeforeClose(t *testing.T) {
	for name, closeConn := range map[string]func(*transport.Conn){
		"finish":        (*transport.Conn).Finish,
		"reset":         (*transport.Conn).Reset, // must act like Finish, as an answer is unsent
		"pause, finish": func(c *transport.Conn) { c.Pause(true); c.Finish() },
	} {
		for _, size := range []int{4, 64 << 10, 256 << 10} { // received at once, fits the send buffer, exceeds it
			if size == 4 && name == "reset" {
				continue // nothing is unsent
			}
			f := newFixture(t, 8)
			ln, err := net.Listen("tcp", "127.0.0.1:0") // a small receive buffer keeps most bytes on the closing side
			if err != nil {
				t.Fatal(err)
			}
			raw, _ := ln.(*net.TCPListener).SyscallConn()
			_ = raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
			dialed := make(chan *transport.Conn, 1)
			f.runOnLoop(func() {
				transport.Dial(f.loop, f.budget, ln.Addr().String(), time.Second, func(c *transport.Conn, _ error) {
					c.SetHandler(newRecordingHandler())
					dialed <- c
				})
			})
			c, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			s := receive(t, dialed)
			send := func() {
				if _, err := c.Write([]byte("not read")); err != nil {
					t.Error(err)
				}
			}
			f.runOnLoop(func() {
				send()
				s.Write(make([]byte, size))
				closeConn(s)
				send()
			})
			send()
			_ = c.SetDeadline(time.Now().Add(testTimeout))
			if got, err := io.ReadAll(c); len(got) != size || err != nil {
				t.Errorf("%s: received %d of %d bytes and then error %v", name, len(got), size, err)
			}
			if size == 4 { // a peer that never stops sending must be disconnected
				for err = nil; err == nil; {
					_, err = c.Write(make([]byte, 64<<10))
				}
			}
			c.Close()
			ln.Close()
			f.awaitDescriptors(0)
		}
	}
}

// PeerDisconnected must report a peer's close or reset before the handler can know of it: while the loop is blocked, while
// unread bytes precede the close on a paused connection, or while a write to a peer that has closed only its sending half is in
// progress.
func TestPeerDisconnected(t *testing.T) {
	for _, reset := range []bool{false, true} {
		for _, state := range []string{"busy", "paused", "writing"} {
			if reset && state == "writing" { // the reset ends the write
				continue
			}
			t.Run(fmt.Sprint(state, reset), func(t *testing.T) { testPeerDisconnected(t, state, reset) })
		}
	}
}

// testPeerDisconnected tests PeerDisconnected on a connection in the given state, after a close or a reset.
func testPeerDisconnected(t *testing.T, state string, reset bool) {
	f := newFixture(t, 8)
	c, err := net.Dial("tcp", f.ln.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s := receive(t, f.accepted)
	t.Cleanup(func() { f.runOnLoop(s.Close) })
	switch state {
	case "paused":
		f.runOnLoop(func() { s.Pause(true) })
	case "writing":
		f.runOnLoop(func() { s.Pause(true); s.Pause(false); s.Write(make([]byte, 1<<20)) })
	}
	f.runOnLoop(func() {
		if s.PeerDisconnected() {
			t.Error("PeerDisconnected reports a close before the peer has closed")
		}
	})
	f.runOnLoop(func() {
		if state == "writing" {
			_ = c.(*net.TCPConn).CloseWrite()
			awaitDisconnected(s)
		} else {
			sendAndClose(t, c, reset)
		}
		if !s.PeerDisconnected() || len(f.server.closed) > 0 {
			t.Error("PeerDisconnected does not report the close, or the handler was called first")
		}
	})
}

// awaitDisconnected waits on the loop until PeerDisconnected reports true, for testTimeout at most.
func awaitDisconnected(c *transport.Conn) {
	for deadline := time.Now().Add(testTimeout); !c.PeerDisconnected() && time.Now().Before(deadline); {
		runtime.Gosched()
	}
}

// sendAndClose sends bytes that stay unread, closes or resets the connection, and waits until the other end's kernel has the
// close.
func sendAndClose(t *testing.T, c net.Conn, reset bool) {
	if _, err := c.Write(make([]byte, 100<<10)); err != nil {
		t.Error(err)
	}
	if err := standin.Leave(c, reset); err != nil {
		t.Error(err)
	}
}

// closeFunc is a handler that calls the function when the connection ends.
type closeFunc func()

func (f closeFunc) Data(time.Duration, []byte) {}
func (f closeFunc) Closed(error)               { f() }

// Closing a listener twice, as a pooler does when it ends, must not close a file that has been given the same descriptor number.
func TestListenerCloseIsIdempotent(t *testing.T) {
	f := newFixture(t, 4)
	ln := f.ln
	if _, err := f.dial(newRecordingHandler()); err != nil {
		t.Fatal(err)
	}
	receive(t, f.accepted)
	f.runOnLoop(ln.Close)
	var files []*os.File
	for range 16 { // these get the lowest free numbers, among them the listener's
		file, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = file.Close() }()
		files = append(files, file)
	}
	f.runOnLoop(ln.Close)
	for _, file := range files {
		if _, err := file.Stat(); err != nil {
			t.Errorf("the second Close closed the descriptor of another file: %v", err)
		}
	}
}

// A peer that sends little must get its turn although many others have sent much before it: its bytes must not wait for all of theirs.
// Nor may one handler that is slow take the loop from the other events.
func TestSparsePeerNeedNotWaitForFloods(t *testing.T) {
	const floods, floodBytes, turnTime = 20, 48 << 10, time.Millisecond
	f := newFixture(t, 64)
	slow, sparse := &countingHandler{cost: turnTime}, newRecordingHandler()
	var conns []net.Conn
	for i := range floods + 1 {
		c, err := net.Dial("tcp", f.ln.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		s := receive(t, f.accepted)
		f.runOnLoop(func() {
			if i < floods {
				s.SetHandler(slow)
			} else {
				s.SetHandler(sparse)
			}
		})
		conns = append(conns, c)
	}
	f.runOnLoop(func() { // all of it has come before any is read
		for i, c := range conns {
			size := floodBytes
			if i == floods {
				size = 1
			}
			if _, err := c.Write(make([]byte, size)); err != nil {
				t.Error(err)
			}
		}
	})
	receive(t, sparse.data)
	turns := 0
	f.runOnLoop(func() { turns = slow.turns })
	if turns > 2*floods {
		t.Errorf("%d turns of floods came before that of a peer that had sent a byte, want %d at most", turns, 2*floods)
	}
	began := time.Now()
	f.runOnLoop(func() {})
	if waited := time.Since(began); waited > floods*turnTime*3/4 {
		t.Errorf("an event waits for %v while connections take turns of %v", waited, turnTime)
	}
}

// countingHandler counts its turns and takes its time for each.
type countingHandler struct {
	cost  time.Duration
	turns int
}

func (h *countingHandler) Data(time.Duration, []byte) {
	h.turns++
	for end := time.Now().Add(h.cost); time.Now().Before(end); {
		continue
	}
}

func (h *countingHandler) Closed(error) {}

// After Yield, Data must be called again without bytes and before more is read; a paused connection must not read, and a handler that
// waits for its peer must be told once the peer has read everything.
func TestYieldAndDrained(t *testing.T) {
	f := newFixture(t, 8)
	c, err := net.Dial("tcp", f.ln.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s := receive(t, f.accepted)
	handler := &yieldingHandler{conn: s, sizes: make(chan int, 8), drained: make(chan struct{}, 1)}
	f.runOnLoop(func() { s.SetHandler(handler) })
	if _, err := c.Write(make([]byte, transport.DefaultReadSize+1)); err != nil {
		t.Fatal(err)
	}
	for i, want := range []int{transport.DefaultReadSize, 0, 1} {
		if got := receive(t, handler.sizes); got != want {
			t.Errorf("call %d of Data: %d bytes, want %d", i, got, want)
		}
	}
	const size = 8 << 20 // more than the kernel accepts
	f.runOnLoop(func() {
		for range size >> 20 {
			s.Write(make([]byte, 1<<20))
		}
		if !s.Blocked() || s.UnsentBytes() == 0 {
			t.Error("the connection is not blocked though its peer does not read")
		}
	})
	if _, err := io.ReadFull(c, make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	receive(t, handler.drained)
}

// yieldingHandler yields once, after its first bytes.
type yieldingHandler struct {
	conn    *transport.Conn
	yielded bool
	sizes   chan int
	drained chan struct{}
}

func (h *yieldingHandler) Data(_ time.Duration, b []byte) {
	h.sizes <- len(b)
	if !h.yielded {
		h.yielded = true
		h.conn.Yield()
	}
}

func (h *yieldingHandler) Closed(error) {}
func (h *yieldingHandler) Drained()     { h.drained <- struct{}{} }

// CloseVisible must become false once input has waited unread for longer than the last look counts, and true again once the peer has
// no more of it on the way.
func TestCloseVisible(t *testing.T) {
	f := newFixture(t, 8)
	c, err := net.Dial("tcp", f.ln.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s := receive(t, f.accepted)
	awaitVisible := func(want bool) {
		for deadline := time.Now().Add(testTimeout); ; {
			visible := false
			f.runOnLoop(func() { visible = s.CloseVisible() })
			if visible == want {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("CloseVisible is still %v", !want)
			}
		}
	}
	f.runOnLoop(func() { s.Pause(true) })
	awaitVisible(true)
	const size = 32 << 10
	if _, err := c.Write(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	awaitVisible(false)
	f.runOnLoop(func() { s.Pause(false) })
	for got := 0; got < size; {
		got += len(receive(t, f.server.data))
	}
	for visible := false; !visible; { // a peer that sends one request at a time catches up though each is looked at as it comes
		time.Sleep(time.Millisecond)
		if _, err := c.Write([]byte("request")); err != nil {
			t.Fatal(err)
		}
		receive(t, f.server.data)
		f.runOnLoop(func() { visible = s.CloseVisible() })
	}
}
