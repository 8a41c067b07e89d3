// Package relay puts faults on a link between two processes on loopback: a Link listens where the caller dials and passes
// bytes on to the target, late, not at all, or not after a reset, as its Fault says. Listen makes one for TCP, ListenBoth one
// for TCP and UDP at the same port. The fleet laboratory puts one on each link between a pooler and a server, and between
// poolers. A Link counts what it accepted and passed, so that a judge can tell what reached the other side.
package relay

import (
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Fault is what a link does to its traffic. The zero Fault passes every byte at once.
type Fault struct {
	// Delay and Jitter hold back each piece of data by Delay plus up to Jitter, in order. Both are times on the wall clock.
	Delay, Jitter time.Duration
	// Drop takes the bytes of both ways and passes none on: a black hole. New connections are accepted and left silent,
	// as a peer beyond a cut link looks to a dialler on loopback.
	Drop bool
	// OneWay limits Drop to what the target sends back: requests arrive, answers are lost.
	OneWay bool
	// Unheard limits Drop to what callers send: requests are lost, what the target sends arrives.
	Unheard bool
	// Refuse resets the open connections and every new one at once.
	Refuse bool
}

// drops tells whether what goes one way is lost: to the caller (answer), or to the target.
func (f Fault) drops(answer bool) bool {
	return f.Drop && (answer || !f.OneWay) && (!answer || !f.Unheard)
}

// Link is one link with faults: a listener on loopback and the connections passed through it.
type Link struct {
	ln     net.Listener
	udp    net.PacketConn // nil: TCP only
	target string

	mu       sync.Mutex
	fault    Fault
	rng      *rand.Rand
	open     map[*pair]struct{}
	accepted int
	flows    map[string]net.Conn // by UDP caller, each with a socket of its own to the target
	closed   bool
	done     sync.WaitGroup
}

type pair struct{ caller, target net.Conn }

// Listen opens a link to target at a free port of 127.0.0.1; seed makes its jitter. The error is the listener's.
func Listen(target string, seed uint64) (*Link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{ln: ln, target: target, rng: rand.New(rand.NewPCG(seed, 0x5eed)), open: map[*pair]struct{}{}}
	l.done.Go(l.accept)
	return l, nil
}

// ListenBoth is Listen for TCP and UDP at one port.
func ListenBoth(target string, seed uint64) (*Link, error) {
	for {
		l, err := Listen(target, seed)
		if err != nil {
			return nil, err
		}
		udp, err := net.ListenPacket("udp", l.Addr())
		if errors.Is(err, syscall.EADDRINUSE) { // another's UDP port: try the next free one of TCP
			l.Close()
			continue
		}
		if err != nil {
			l.Close()
			return nil, err
		}
		l.udp, l.flows = udp, map[string]net.Conn{}
		l.done.Go(l.datagrams)
		return l, nil
	}
}

// datagrams passes callers' datagrams on, each caller's from a socket of its own, and their answers back.
func (l *Link) datagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, caller, err := l.udp.ReadFrom(buf)
		if err != nil {
			return
		}
		l.mu.Lock()
		flow, closed := l.flows[caller.String()], l.closed
		l.mu.Unlock()
		if closed {
			return
		}
		if flow == nil {
			if flow, err = net.Dial("udp", l.target); err != nil {
				continue
			}
			l.mu.Lock()
			if closed = l.closed; !closed {
				l.flows[caller.String()] = flow
			}
			l.mu.Unlock()
			if closed {
				_ = flow.Close()
				return
			}
			l.done.Go(func() {
				back := make([]byte, 64<<10)
				for {
					n, err := flow.Read(back)
					if errors.Is(err, net.ErrClosed) {
						return
					}
					if err == nil { // else nobody listens at the target: later datagrams may be heard
						l.pass(true, back[:n], func(b []byte) { _, _ = l.udp.WriteTo(b, caller) })
					}
				}
			})
		}
		l.pass(false, buf[:n], func(b []byte) { _, _ = flow.Write(b) })
	}
}

// pass sends one datagram as the fault says; delayed ones may overtake each other.
func (l *Link) pass(answer bool, b []byte, send func([]byte)) {
	f := l.Fault()
	if f.Refuse || f.drops(answer) {
		return
	}
	wait := f.Delay
	if f.Jitter > 0 {
		l.mu.Lock()
		wait += time.Duration(l.rng.Int64N(int64(f.Jitter)))
		l.mu.Unlock()
	}
	if wait == 0 {
		send(b)
		return
	}
	late := slices.Clone(b)
	time.AfterFunc(wait, func() { send(late) })
}

// Addr is where callers dial.
func (l *Link) Addr() string { return l.ln.Addr().String() }

// Set puts a fault in force; it holds for what is passed from now on. Refuse resets the open connections at once.
func (l *Link) Set(f Fault) {
	l.mu.Lock()
	l.fault = f
	var reset []*pair
	if f.Refuse {
		for p := range l.open {
			reset = append(reset, p)
		}
	}
	l.mu.Unlock()
	for _, p := range reset {
		p.reset()
	}
}

// Fault is the one in force.
func (l *Link) Fault() Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault
}

// Accepted counts the connections that callers have made through the link, refused ones too.
func (l *Link) Accepted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

// Open counts the connections passed through the link that are open now.
func (l *Link) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Close stops listening, resets what is open and waits until its goroutines have ended.
func (l *Link) Close() {
	_ = l.ln.Close()
	l.mu.Lock()
	l.closed = true
	open := l.open
	l.open = map[*pair]struct{}{}
	if l.udp != nil {
		_ = l.udp.Close()
	}
	for _, flow := range l.flows {
		_ = flow.Close()
	}
	l.mu.Unlock()
	for p := range open {
		p.reset()
	}
	l.done.Wait()
}

func (l *Link) accept() {
	for {
		c, err := l.ln.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		l.accepted++
		refuse, closed := l.fault.Refuse, l.closed
		l.mu.Unlock()
		if refuse || closed {
			resetConn(c)
			continue
		}
		l.done.Go(func() { l.serve(c) })
	}
}

// serve dials the target for one caller and copies both ways until either side ends.
func (l *Link) serve(caller net.Conn) {
	target, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		resetConn(caller) // as the target itself would have refused
		return
	}
	p := &pair{caller: caller, target: target}
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		p.reset()
		return
	}
	l.open[p] = struct{}{}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.copy(target, caller, false) })
	both.Go(func() { l.copy(caller, target, true) })
	both.Wait()
	l.mu.Lock()
	delete(l.open, p)
	l.mu.Unlock()
}

// piece is data read at a time, to be written at another.
type piece struct {
	data []byte
	due  time.Time
}

// copy passes what from sends on to to, by the fault in force when each piece came; answers tells the direction. The
// reader never waits for the writer, so that a delay does not slow the sender beyond what it holds: at most 256 pieces
// are held, after which the reader waits as a full socket would have it.
func (l *Link) copy(to, from net.Conn, answers bool) {
	held := make(chan piece, 256)
	go func() {
		defer close(held)
		var last time.Time
		for {
			buf := make([]byte, 16<<10)
			n, err := from.Read(buf)
			if n > 0 {
				f := l.Fault()
				if f.drops(answers) {
					continue
				}
				due := time.Now().Add(f.Delay)
				if f.Jitter > 0 {
					l.mu.Lock()
					due = due.Add(time.Duration(l.rng.Int64N(int64(f.Jitter))))
					l.mu.Unlock()
				}
				if due.Before(last) { // in order, whatever the jitter
					due = last
				}
				last = due
				held <- piece{buf[:n], due}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range held {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.data); err != nil {
			break
		}
	}
	// One side has ended, and so does the link, with a reset if the fault says so: these are requests and answers, and no
	// peer of the laboratory half-closes.
	if l.Fault().Refuse {
		resetConn(to)
		resetConn(from)
	} else {
		_ = to.Close()
		_ = from.Close()
	}
	for range held { // let the reader end
	}
}

func (p *pair) reset() {
	resetConn(p.caller)
	resetConn(p.target)
}

// resetConn closes c with a reset instead of an orderly end.
func resetConn(c net.Conn) {
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = c.Close()
}
