package transport

import (
	"io"
	"time"
)

// reuseDelay passes between an answer and the next request on its connection.
const reuseDelay = 5 * time.Millisecond

// Pool keeps idle connections to peers for reuse, the last used first.
type Pool struct {
	idleTimeout time.Duration
	maxIdle     int
	count       int
	idle        map[string][]*idleConn
}

type idleConn struct {
	conn  *Conn
	state any
	since time.Duration
}

// idleHandler sees to a connection while nobody uses it: a word from the peer, or its close, ends it.
type idleHandler struct {
	pool *Pool
	addr string
	idle *idleConn
}

// NewPool keeps at most most connections, none idle for longer than idleFor.
func NewPool(idleFor time.Duration, most int) *Pool {
	return &Pool{idleTimeout: idleFor, maxIdle: most, idle: map[string][]*idleConn{}}
}

// SetIdleTimeout sets for how long connections are kept idle from now on.
func (p *Pool) SetIdleTimeout(idleFor time.Duration) { p.idleTimeout = idleFor }

// Put gives a connection back, with what its protocol knows of it.
func (p *Pool) Put(addr string, c *Conn, state any) {
	// An answer can overtake the news that its request is written: only bytes that are still queued speak against reuse.
	if c.closed || c.peerClosed || len(c.unsent) > 0 {
		c.Close()
		return
	}
	if p.count >= p.maxIdle {
		p.Sweep(c.loop.Now())
	}
	if p.count >= p.maxIdle {
		c.Close()
		return
	}
	i := &idleConn{conn: c, state: state, since: c.loop.Now()}
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
		if now-i.since >= p.idleTimeout { // so are all that are left
			break
		}
		if now-i.since < reuseDelay || !i.conn.Written() { // its answer came before its request had gone out whole
			continue
		}
		p.remove(addr, i)
		if i.conn.Quiet() {
			return i.conn, i.state
		}
		i.conn.Close()
	}
	return nil, nil
}

// CloseIdle closes all idle connections to a peer.
func (p *Pool) CloseIdle(addr string) {
	for _, i := range p.idle[addr] {
		p.count--
		i.conn.Close()
	}
	delete(p.idle, addr)
}

// Sweep closes what has been idle for too long.
func (p *Pool) Sweep(now time.Duration) {
	for addr, l := range p.idle {
		for len(l) > 0 && now-l[0].since >= p.idleTimeout {
			l[0].conn.Close()
			p.remove(addr, l[0])
			l = p.idle[addr]
		}
	}
}

// CloseOldest closes the connection that has been idle longest, to make room for a dial elsewhere.
func (p *Pool) CloseOldest() bool {
	var oldest *idleConn
	at := ""
	for addr, l := range p.idle {
		if oldest == nil || l[0].since < oldest.since {
			oldest, at = l[0], addr
		}
	}
	if oldest == nil {
		return false
	}
	oldest.conn.Close()
	p.remove(at, oldest)
	return true
}

func (p *Pool) remove(addr string, i *idleConn) {
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

func (h idleHandler) Closed(error) { h.pool.remove(h.addr, h.idle) }

// Data on an idle connection is out of turn: what follows could be taken for another request's answer.
func (h idleHandler) Data(time.Duration, []byte) {
	h.idle.conn.Close()
	h.Closed(io.ErrUnexpectedEOF)
}
