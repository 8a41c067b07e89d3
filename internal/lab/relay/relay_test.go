package relay

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

// echo is a target that sends each line back.
func echo(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					if _, err := c.Write([]byte(line)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func link(t *testing.T) *Link {
	t.Helper()
	l, err := Listen(echo(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// ask sends a line and reads the answer within a while; the error is the connection's.
func ask(c net.Conn, within time.Duration) (string, error) {
	_ = c.SetDeadline(time.Now().Add(within))
	if _, err := c.Write([]byte("hello\n")); err != nil {
		return "", err
	}
	return bufio.NewReader(c).ReadString('\n')
}

func dial(t *testing.T, l *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func TestPasses(t *testing.T) {
	l := link(t)
	got, err := ask(dial(t, l), 5*time.Second)
	if err != nil || got != "hello\n" {
		t.Fatalf("%q, %v", got, err)
	}
	if l.Accepted() != 1 {
		t.Errorf("accepted %d, want 1", l.Accepted())
	}
}

// A delay holds each answer back by at least its length: the test asks for no upper bound, which a busy machine may pass.
func TestDelays(t *testing.T) {
	l := link(t)
	l.Set(Fault{Delay: 50 * time.Millisecond, Jitter: 10 * time.Millisecond})
	c := dial(t, l)
	began := time.Now()
	if _, err := ask(c, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < 100*time.Millisecond { // both ways
		t.Errorf("answered in %v, want 100 ms at least", took)
	}
}

// A black hole takes the request and answers nothing, on open and new connections alike; once healed, new ones pass.
func TestDrops(t *testing.T) {
	for _, fault := range []Fault{{Drop: true}, {Drop: true, OneWay: true}, {Drop: true, Unheard: true}} {
		l := link(t)
		open := dial(t, l)
		if _, err := ask(open, 5*time.Second); err != nil {
			t.Fatal(err)
		}
		l.Set(fault)
		for _, c := range []net.Conn{open, dial(t, l)} {
			var timeout net.Error
			if got, err := ask(c, 100*time.Millisecond); !errors.As(err, &timeout) || !timeout.Timeout() {
				t.Errorf("%+v: %q, %v, want a time-out", fault, got, err)
			}
		}
		l.Set(Fault{})
		if _, err := ask(dial(t, l), 5*time.Second); err != nil {
			t.Errorf("healed: %v", err)
		}
	}
}

// What one way loses, the other still carries, on a connection that was open before: the target speaks first and is heard, or hears.
func TestDropsOneWay(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l, err := Listen(ln.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	caller := dial(t, l)
	target, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	passes := func(from, to net.Conn) bool {
		_, _ = from.Write([]byte("a"))
		_ = to.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		n, _ := to.Read(make([]byte, 1))
		return n == 1
	}
	for _, c := range []struct {
		fault       Fault
		there, back bool
	}{{Fault{}, true, true}, {Fault{Drop: true, OneWay: true}, true, false}, {Fault{Drop: true, Unheard: true}, false, true}} {
		l.Set(c.fault)
		if there, back := passes(caller, target), passes(target, caller); there != c.there || back != c.back {
			t.Errorf("%+v: passes there %v, back %v", c.fault, there, back)
		}
	}
}

// A refusing link resets what is open and what comes.
func TestRefuses(t *testing.T) {
	l := link(t)
	open := dial(t, l)
	if _, err := ask(open, 5*time.Second); err != nil {
		t.Fatal(err)
	}
	l.Set(Fault{Refuse: true})
	reset := func(err error) bool { return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) }
	if _, err := ask(open, 5*time.Second); !reset(err) {
		t.Errorf("open: %v, want a reset", err)
	}
	c, err := net.Dial("tcp", l.Addr()) // the reset may come before the dial has returned
	if err == nil {
		defer c.Close()
		_, err = ask(c, 5*time.Second)
	}
	if !reset(err) {
		t.Errorf("new: %v, want a reset", err)
	}
}

// Datagrams go both ways at the port that TCP has too, each caller's answers to that caller, and by the fault in force.
func TestDatagrams(t *testing.T) {
	target, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = target.Close() }()
	go func() {
		buf := make([]byte, 100)
		for {
			n, from, err := target.ReadFrom(buf)
			if err != nil {
				return
			}
			_, _ = target.WriteTo(buf[:n], from)
		}
	}()
	l, err := ListenBoth(target.LocalAddr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	say := func(text string, within time.Duration) string {
		c, err := net.Dial("udp", l.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = c.Write([]byte(text))
		_ = c.SetReadDeadline(time.Now().Add(within))
		buf := make([]byte, 100)
		n, _ := c.Read(buf)
		return string(buf[:n])
	}
	for _, c := range []struct {
		fault Fault
		want  string
	}{{Fault{}, "a"}, {Fault{Drop: true}, ""}, {Fault{Drop: true, OneWay: true}, ""}, {Fault{Drop: true, Unheard: true}, ""}, {Fault{Refuse: true}, ""},
		{Fault{Delay: 10 * time.Millisecond, Jitter: 10 * time.Millisecond}, "a"}} {
		l.Set(c.fault)
		within := 5 * time.Second
		if c.want == "" {
			within = 100 * time.Millisecond
		}
		if got := say("a", within); got != c.want {
			t.Errorf("%+v: %q comes back, want %q", c.fault, got, c.want)
		}
	}
}

// An address given out can be listened at by TCP and UDP, and is none that the system gives out.
func TestFreeAddr(t *testing.T) {
	for range 100 {
		addr, err := FreeAddr()
		if err != nil {
			t.Fatal(err)
		}
		tcp, err := net.ResolveTCPAddr("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if tcp.Port < firstFreePort || tcp.Port >= firstFreePort+freePorts {
			t.Errorf("port %d is given out by the system too", tcp.Port)
		}
		if err := bindBoth(addr); err != nil {
			t.Errorf("%s is not free: %v", addr, err)
		}
	}
}
