package transport

import (
	"io"
	"time"
)

// restFor passes between an answer and the next request on its connection.
const restFor = 5 * time.Millisecond

// Pool keeps idle connections to peers for reuse, the last used first.
type Pool struct {
	idleFor time.Duration
	most    int
	count   int
	idle    map[string][]*idle
}

type idle struct {
	c     *Conn
	state any
	since time.Duration
}

// idleHandler sees to a connection while nobody uses it: a word from the peer, or its close, ends it.
type idleHandler struct {
	p    *Pool
	addr string
	i    *idle
}

// NewPool keeps at most most connections, none idle for longer than idleFor.
func NewPool(idleFor time.Duration, most int) *Pool {
	return &Pool{idleFor: idleFor, most: most, idle: map[string][]*idle{}}
}

// Rest sets for how long connections are kept idle from now on.
func (p *Pool) Rest(idleFor time.Duration) { p.idleFor = idleFor }

// Put gives a connection back, with what its protocol knows of it.
func (p *Pool) Put(addr string, c *Conn, state any) {
	// An answer can overtake the news that its request is written: only bytes that are still queued speak against reuse.
	if c.closed || c.hungUp || len(c.unsent) > 0 {
		c.Close()
		return
	}
	if p.count >= p.most {
		p.Sweep(c.loop.Now())
	}
	if p.count >= p.most {
		c.Close()
		return
	}
	i := &idle{c: c, state: state, since: c.loop.Now()}
	c.SetHandler(idleHandler{p, addr, i})
	p.idle[addr] = append(p.idle[addr], i)
	p.count++
}

// Get takes a connection, or returns nil. The caller sets its handler. What a peer sends right behind an answer would be
// taken for the next one: a connection rests for a moment first, and must have stayed quiet.
func (p *Pool) Get(addr string, now time.Duration) (*Conn, any) {
	l := p.idle[addr]
	for n := len(l) - 1; n >= 0; n-- {
		i := l[n]
		if now-i.since >= p.idleFor { // so are all that are left
			break
		}
		if now-i.since < restFor || !i.c.Written() { // its answer came before its request had gone out whole
			continue
		}
		p.remove(addr, i)
		if i.c.Quiet() {
			return i.c, i.state
		}
		i.c.Close()
	}
	return nil, nil
}

// CloseIdle closes all idle connections to a peer.
func (p *Pool) CloseIdle(addr string) {
	for _, i := range p.idle[addr] {
		p.count--
		i.c.Close()
	}
	delete(p.idle, addr)
}

// Sweep closes what has been idle for too long.
func (p *Pool) Sweep(now time.Duration) {
	for addr, l := range p.idle {
		for len(l) > 0 && now-l[0].since >= p.idleFor {
			l[0].c.Close()
			p.remove(addr, l[0])
			l = p.idle[addr]
		}
	}
}

// Shed closes the connection that has been idle longest, to make room for a dial elsewhere.
func (p *Pool) Shed() bool {
	var oldest *idle
	at := ""
	for addr, l := range p.idle {
		if oldest == nil || l[0].since < oldest.since {
			oldest, at = l[0], addr
		}
	}
	if oldest == nil {
		return false
	}
	oldest.c.Close()
	p.remove(at, oldest)
	return true
}

func (p *Pool) remove(addr string, i *idle) {
	l := p.idle[addr]
	for n, x := range l {
		if x == i {
			p.count--
			if l = append(l[:n:n], l[n+1:]...); len(l) == 0 {
				delete(p.idle, addr)
			} else {
				p.idle[addr] = l
			}
			return
		}
	}
}

func (h idleHandler) Closed(error) { h.p.remove(h.addr, h.i) }

// Data on an idle connection is out of turn: what follows could be taken for another request's answer.
func (h idleHandler) Data(time.Duration, []byte) {
	h.i.c.Close()
	h.Closed(io.ErrUnexpectedEOF)
}
