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

const late = 20 * time.Second

// side is a connection's owner that passes on what it hears.
type side struct {
	data   chan []byte
	closed chan error
}

func newSide() side { return side{make(chan []byte, 64), make(chan error, 4)} }

func (s side) Data(_ time.Duration, b []byte) { s.data <- append([]byte(nil), b...) }
func (s side) Closed(err error)               { s.closed <- err }

// fixture is a loop with a listener on loopback.
type fixture struct {
	t        *testing.T
	loop     *dispatch.EventLoop
	budget   *transport.Budget
	ln       *transport.Listener
	accepted chan *transport.Conn
	server   side
}

func newFixture(t *testing.T, descriptors int) *fixture {
	f := &fixture{t: t, loop: dispatch.NewEventLoop(), budget: transport.NewBudget(descriptors),
		accepted: make(chan *transport.Conn, 8), server: newSide()}
	ln, err := transport.Listen(f.loop, f.budget, "127.0.0.1:0", func(c *transport.Conn) {
		c.SetHandler(f.server)
		f.accepted <- c
	})
	if err != nil {
		t.Fatal(err)
	}
	f.ln = ln
	ended := make(chan struct{})
	go func() { f.loop.Run(); close(ended) }()
	t.Cleanup(func() { ln.Close(); f.loop.Stop(); <-ended })
	return f
}

// on runs f on the loop and waits for it.
func (f *fixture) on(do func()) {
	done := make(chan struct{})
	f.loop.Post(func() { do(); close(done) })
	<-done
}

func (f *fixture) dial(h transport.Handler) (*transport.Conn, error) {
	type end struct {
		c   *transport.Conn
		err error
	}
	ended := make(chan end, 1)
	f.on(func() {
		transport.Dial(f.loop, f.budget, f.ln.Addr(), time.Second, func(c *transport.Conn, err error) {
			if err == nil {
				c.SetHandler(h)
			}
			ended <- end{c, err}
		})
	})
	e := <-ended
	return e.c, e.err
}

// free waits until only so many descriptors are counted: netpoll closes them.
func (f *fixture) free(most int) {
	f.t.Helper()
	for until := time.Now().Add(late); f.budget.Used() > most; f.on(func() {}) {
		if time.Now().After(until) {
			f.t.Fatalf("%d descriptors are still counted", f.budget.Used())
		}
	}
}

func receive[T any](t *testing.T, c chan T) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(late):
		t.Fatal("nothing comes")
	}
	return v
}

// awaitClose waits until a connection's close is reported, whatever its error is.
func awaitClose(t *testing.T, closed chan error) {
	t.Helper()
	_ = receive(t, closed)
}

// Bytes arrive whole, a close after them; descriptors are given back; a dial beyond the budget fails.
func TestConnection(t *testing.T) {
	f := newFixture(t, 2)
	client := newSide()
	c, err := f.dial(client)
	if err != nil {
		t.Fatal(err)
	}
	s := receive(t, f.accepted)
	if _, err := f.dial(newSide()); !errors.Is(err, transport.ErrNoDescriptor) {
		t.Errorf("a dial beyond the budget ends with %v", err)
	}
	const size = 300000 // more than the kernel takes at once: the peer must read on
	f.on(func() { c.Write(make([]byte, size)); c.Finish() })
	got := 0
	for got < size {
		got += len(receive(t, f.server.data))
	}
	awaitClose(t, f.server.closed)
	f.on(func() { s.Close() })
	if got != size {
		t.Errorf("%d bytes came", got)
	}
	f.free(0)
}

// Nobody may hear of a connection after closing it, and a peer's close before the first read must not be missed.
func TestClose(t *testing.T) {
	f := newFixture(t, 8)
	client := newSide()
	c, err := f.dial(client)
	if err != nil {
		t.Fatal(err)
	}
	s := receive(t, f.accepted)
	f.on(s.Close)
	if err := receive(t, client.closed); !errors.Is(err, io.EOF) {
		t.Errorf("closed with %v", err)
	}
	f.on(c.Close)
	raw, err := net.Dial("tcp", f.ln.Addr())
	if err != nil {
		t.Fatal(err)
	}
	raw.Close()
	receive(t, f.accepted)
	awaitClose(t, f.server.closed)
	if len(f.server.closed)+len(client.closed) > 0 {
		t.Error("a connection was reported closed twice, or after its owner's own close")
	}
}

// The pool gives back the connection used last, and none that its peer has closed, spoken on or left idle too long.
func TestPool(t *testing.T) {
	f := newFixture(t, 64)
	pool := transport.NewPool(time.Minute, 3)
	var conns, peers []*transport.Conn
	for range 4 {
		c, err := f.dial(newSide())
		if err != nil {
			t.Fatal(err)
		}
		conns, peers = append(conns, c), append(peers, receive(t, f.accepted))
	}
	get := func(now time.Duration) (c *transport.Conn) {
		f.on(func() { c, _ = pool.Get("a", now) })
		return c
	}
	f.on(func() {
		for _, c := range conns { // the fourth is one too many
			pool.Put("a", c, nil)
		}
		peers[2].Close()
		peers[1].Write([]byte("out of turn"))
	})
	f.free(2) // those of no use are gone
	if c := get(f.loop.Now() + time.Second); c != conns[0] {
		t.Error("not the connection that is left")
	}
	f.on(func() { pool.Put("a", conns[0], nil) })
	if c := get(f.loop.Now() + time.Hour); c != nil {
		t.Error("a connection that was idle too long comes back")
	}
	newer, err := f.dial(newSide())
	if err != nil {
		t.Fatal(err)
	}
	f.on(func() {
		pool.Put("b", newer, nil)
		if !pool.CloseOldest() {
			t.Error("nothing is shed")
		}
	})
	if c := get(f.loop.Now() + time.Second); c != nil {
		t.Error("not the oldest was shed")
	}
	f.on(func() { pool.Sweep(f.loop.Now() + time.Hour) })
	if pool.CloseOldest() {
		t.Error("something is left to shed")
	}
	f.free(0)
}

// A connection whose request is still being written, as its answer came early, is not given to the next one.
func TestPoolWaitsForTheLastByte(t *testing.T) {
	f := newFixture(t, 4)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	came := make(chan *transport.Conn, 1)
	f.on(func() {
		transport.Dial(f.loop, f.budget, ln.Addr().String(), time.Second, func(c *transport.Conn, _ error) { came <- c })
	})
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	c := receive(t, came)
	pool := transport.NewPool(time.Minute, 4)
	const size = 64 << 20 // more than the kernel takes
	f.on(func() {
		for n := 0; n < size && c.Written(); n += 1 << 20 {
			c.Write(make([]byte, 1<<20))
		}
		pool.Put("a", c, nil)
		if got, _ := pool.Get("a", f.loop.Now()+time.Second); got != nil {
			t.Error("it is given away while it is being written to")
		}
	})
	go func() { _, _ = io.Copy(io.Discard, peer) }()
	for late := time.Now().Add(late); ; {
		var got *transport.Conn
		f.on(func() { got, _ = pool.Get("a", f.loop.Now()+time.Second) })
		if got == c {
			return
		}
		if time.Now().After(late) {
			t.Fatal("it never comes back")
		}
	}
}

// A peer that takes all bytes and closes at once must not look as if the last byte had never gone out: the request may
// have run. The close can overtake the news that the write is done.
func TestCloseRightAfterTheLastByte(t *testing.T) {
	f := newFixture(t, 64)
	peer, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	const text = "write"
	go func() {
		for {
			c, err := peer.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(c, make([]byte, len(text)))
			c.Close()
		}
	}()
	for range 500 {
		written := make(chan bool, 1)
		f.on(func() {
			transport.Dial(f.loop, f.budget, peer.Addr().String(), time.Second, func(c *transport.Conn, err error) {
				if err != nil {
					t.Error(err)
					written <- true
					return
				}
				c.SetHandler(closer(func() { written <- c.Written() }))
				c.Write([]byte(text))
			})
		})
		if !receive(t, written) {
			t.Fatal("a request that has gone out whole counts as never written")
		}
	}
}

// A peer that hangs up while it is being written to must cost its connection only. netpoll frees the buffers on its own
// goroutines then, and a write through them ended the program.
func TestPeerHangsUpUnderAWrite(t *testing.T) {
	f := newFixture(t, 256)
	for range 3000 {
		c, err := net.Dial("tcp", f.ln.Addr())
		if err != nil {
			t.Fatal(err)
		}
		s := receive(t, f.accepted)
		_ = c.(*net.TCPConn).SetLinger(0)
		go c.Close()
		f.on(func() { s.Write([]byte("a")) })
		awaitClose(t, f.server.closed)
	}
}

// An owner that closes a connection as soon as it comes must not meet netpoll while that still registers it: the program
// ended then.
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
	ended := make(chan struct{})
	go func() { loop.Run(); close(ended) }()
	defer func() { ln.Close(); loop.Stop(); <-ended }()
	for range 2000 {
		c, err := net.Dial("tcp", ln.Addr())
		if err != nil {
			t.Fatal(err)
		}
		receive(t, closed)
		c.Close()
	}
}

// What a client sends with its connection must be read, however it meets the accept: now and then netpoll kept it to
// itself for good, and the client's request was lost.
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

// A small write is with the kernel when Write returns: no goroutine and no round through the loop for each.
func TestSmallWriteGoesOutAtOnce(t *testing.T) {
	f := newFixture(t, 8)
	c, err := f.dial(newSide())
	if err != nil {
		t.Fatal(err)
	}
	f.on(func() {
		if c.Write([]byte("query")); !c.Written() {
			t.Error("the write is still under way")
		}
	})
	if b := receive(t, f.server.data); string(b) != "query" {
		t.Errorf("%q came", b)
	}
}

// A peer that sends faster than the loop takes in has to wait, and nothing of what it sends may be lost on the way from
// netpoll to Go's poller: nothing else bounds what is kept for it.
func TestPeerHasToWait(t *testing.T) {
	f := newFixture(t, 8)
	c, err := net.Dial("tcp", f.ln.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s := receive(t, f.accepted)
	const size = 64 << 20
	text := make([]byte, size)
	for i := range text {
		text[i] = byte(i >> 8)
	}
	sent := 0
	f.on(func() { // while the loop is busy
		_ = c.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
		sent, err = c.Write(text)
	})
	if err == nil || sent > size/2 {
		t.Fatalf("%d bytes are taken from a peer that nobody listens to", sent)
	}
	hears := func(upTo int, got int) int {
		for got < upTo {
			for _, b := range receive(t, f.server.data) {
				if b != byte(got>>8) {
					t.Fatalf("byte %d is %d", got, b)
				}
				got++
			}
		}
		return got
	}
	got := hears(sent, 0)
	f.on(func() { s.Pause(true); s.Write([]byte("still")) })
	_ = c.SetDeadline(time.Now().Add(late))
	go func() { _, _ = c.Write(text[sent:]) }()
	if _, err := io.ReadFull(c, make([]byte, 5)); err != nil {
		t.Errorf("a paused connection does not write: %v", err)
	}
	f.on(func() { s.Pause(false) })
	hears(size, got)
	c.Close()
	awaitClose(t, f.server.closed)
	f.on(s.Close)
	f.free(0)
}

// Whatever closes a connection, its peer gets all that was written to it and then the end of the stream, though it is still
// sending then and begins to read late: a reset would take with it what the peer has not taken yet. The descriptor is given back
// once the peer has closed, or sends on for good.
func TestAnswerBeforeTheEnd(t *testing.T) {
	for name, end := range map[string]func(*transport.Conn){
		"finish":        (*transport.Conn).Finish,
		"reset":         (*transport.Conn).Reset, // an answer is owed
		"pause, finish": func(c *transport.Conn) { c.Pause(true); c.Finish() },
	} {
		for _, size := range []int{4, 64 << 10, 256 << 10} { // taken at once, held by the kernel here, more than it takes
			if size == 4 && name == "reset" {
				continue // nothing is owed
			}
			f := newFixture(t, 8)
			ln, err := net.Listen("tcp", "127.0.0.1:0") // its connections take little: the rest stays with the closing side
			if err != nil {
				t.Fatal(err)
			}
			raw, _ := ln.(*net.TCPListener).SyscallConn()
			_ = raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
			came := make(chan *transport.Conn, 1)
			f.on(func() {
				transport.Dial(f.loop, f.budget, ln.Addr().String(), time.Second, func(c *transport.Conn, _ error) {
					c.SetHandler(newSide())
					came <- c
				})
			})
			c, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			s := receive(t, came)
			send := func() {
				if _, err := c.Write([]byte("not read")); err != nil {
					t.Error(err)
				}
			}
			f.on(func() {
				send()
				s.Write(make([]byte, size))
				end(s)
				send()
			})
			send()
			_ = c.SetDeadline(time.Now().Add(late))
			if got, err := io.ReadAll(c); len(got) != size || err != nil {
				t.Errorf("%s: %d of %d bytes come, and then %v", name, len(got), size, err)
			}
			if size == 4 { // one that never stops is cut off
				for err = nil; err == nil; {
					_, err = c.Write(make([]byte, 64<<10))
				}
			}
			c.Close()
			ln.Close()
			f.free(0)
		}
	}
}

// A peer's close or reset is known to who asks, at a moment when its owner can't have been told: the loop is busy, bytes lie
// unread before it on a paused connection, or a write still waits for a peer that has closed its half only.
func TestPeerGone(t *testing.T) {
	for _, reset := range []bool{false, true} {
		for _, how := range []string{"busy", "paused", "writing"} {
			if reset && how == "writing" { // the write meets the reset
				continue
			}
			t.Run(fmt.Sprint(how, reset), func(t *testing.T) { testPeerGone(t, how, reset) })
		}
	}
}

func testPeerGone(t *testing.T, how string, reset bool) {
	f := newFixture(t, 8)
	c, err := net.Dial("tcp", f.ln.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	s := receive(t, f.accepted)
	t.Cleanup(func() { f.on(s.Close) })
	switch how {
	case "paused":
		f.on(func() { s.Pause(true) })
	case "writing":
		f.on(func() { s.Pause(true); s.Pause(false); s.Write(make([]byte, 1<<20)) })
	}
	f.on(func() {
		if s.PeerDisconnected() {
			t.Error("it has gone before its close")
		}
	})
	f.on(func() {
		if how == "writing" {
			_ = c.(*net.TCPConn).CloseWrite()
			awaitDisconnected(s)
		} else {
			sendAndLeave(t, c, reset)
		}
		if !s.PeerDisconnected() || len(f.server.closed) > 0 {
			t.Error("its close is not known to who asks")
		}
	})
}

// awaitDisconnected waits, on the loop, until a connection's peer counts as disconnected, but not for long.
func awaitDisconnected(c *transport.Conn) {
	for until := time.Now().Add(late); !c.PeerDisconnected() && time.Now().Before(until); {
		runtime.Gosched()
	}
}

// sendAndLeave leaves bytes behind that nobody reads, and waits until the kernel has the close.
func sendAndLeave(t *testing.T, c net.Conn, reset bool) {
	if _, err := c.Write(make([]byte, 100<<10)); err != nil {
		t.Error(err)
	}
	if err := standin.Leave(c, reset); err != nil {
		t.Error(err)
	}
}

type closer func()

func (c closer) Data(time.Duration, []byte) {}
func (c closer) Closed(error)               { c() }

// A listener that is closed twice, as a pooler's is at its end, must not close what has taken its descriptor's number.
func TestListenerIsClosedOnce(t *testing.T) {
	f := newFixture(t, 4)
	ln := f.ln
	if _, err := f.dial(newSide()); err != nil {
		t.Fatal(err)
	}
	receive(t, f.accepted) // it serves: one closed before could still be registered, under a number that is the next test's
	ln.Close()
	var files []*os.File
	for range 16 { // the lowest numbers that are free, its own among them
		f, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = f.Close() }()
		files = append(files, f)
	}
	ln.Close()
	for _, f := range files {
		if _, err := f.Stat(); err != nil {
			t.Errorf("a file of the test: %v", err)
		}
	}
}
