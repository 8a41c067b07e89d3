package transport

import (
	"io"
	"slices"
	"time"
)

// reuseDelay is the least time between an answer and the next request on its connection.
const reuseDelay = 5 * time.Millisecond

// Pool keeps idle connections by their peer's address for reuse. The connection that was used last is reused first. All its
// methods must be called on the loop of its connections.
type Pool struct {
	idleTimeout time.Duration
	maxIdle     int
	count       int                    // of all connections in idle
	idle        map[string][]*idleConn // by address; those of an address in the order in which they were put
}

// idleConn is a connection in the pool.
type idleConn struct {
	conn  *Conn
	state any // what its protocol knows of it
	since time.Duration
}

// idleHandler is the handler of a connection in the pool. Bytes of the peer, or its close, end the connection.
type idleHandler struct {
	pool *Pool
	addr string
	idle *idleConn
}

// NewPool returns a pool that keeps at most maxIdle connections, each for idleTimeout at most.
func NewPool(idleTimeout time.Duration, maxIdle int) *Pool {
	return &Pool{idleTimeout: idleTimeout, maxIdle: maxIdle, idle: map[string][]*idleConn{}}
}

// SetIdleTimeout sets for how long connections are kept, those in the pool included.
func (p *Pool) SetIdleTimeout(idleTimeout time.Duration) { p.idleTimeout = idleTimeout }

// Put gives a connection to the pool, with what its protocol knows of it. The pool closes a connection that it cannot keep.
func (p *Pool) Put(addr string, c *Conn, state any) {
	// An answer may overtake the event that its request is written, so only queued bytes speak against reuse.
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
	idle := &idleConn{conn: c, state: state, since: c.loop.Now()}
	c.SetHandler(idleHandler{p, addr, idle})
	p.idle[addr] = append(p.idle[addr], idle)
	p.count++
}

// Get takes a connection to addr and its state from the pool, or returns nil. The caller sets its handler. Bytes that a peer
// sends right behind an answer would be taken for the next answer: so a connection rests for reuseDelay first, and is closed
// unless the peer was quiet.
func (p *Pool) Get(addr string, now time.Duration) (*Conn, any) {
	for _, idle := range slices.Backward(p.idle[addr]) {
		if now-idle.since >= p.idleTimeout { // so are all that were put before
			break
		}
		if now-idle.since < reuseDelay || !idle.conn.Written() { // its answer came before its request was written
			continue
		}
		p.remove(addr, idle)
		if idle.conn.Quiet() {
			return idle.conn, idle.state
		}
		idle.conn.Close()
	}
	return nil, nil
}

// CloseIdle closes all connections in the pool to addr.
func (p *Pool) CloseIdle(addr string) {
	for _, idle := range p.idle[addr] {
		p.count--
		idle.conn.Close()
	}
	delete(p.idle, addr)
}

// Sweep closes the connections that have been idle for longer than the idle timeout.
func (p *Pool) Sweep(now time.Duration) {
	for addr, connections := range p.idle {
		for len(connections) > 0 && now-connections[0].since >= p.idleTimeout {
			connections[0].conn.Close()
			p.remove(addr, connections[0])
			connections = p.idle[addr]
		}
	}
}

// CloseOldest closes the connection that has been idle longest, to make room for a dial elsewhere, and reports whether there
// was one.
func (p *Pool) CloseOldest() bool {
	var oldest *idleConn
	oldestAddr := ""
	for addr, connections := range p.idle {
		if oldest == nil || connections[0].since < oldest.since {
			oldest = connections[0]
			oldestAddr = addr
		}
	}
	if oldest == nil {
		return false
	}
	oldest.conn.Close()
	p.remove(oldestAddr, oldest)
	return true
}

// remove takes a connection out of the pool, if it is in it. It leaves the slices that callers iterate over unchanged.
func (p *Pool) remove(addr string, idle *idleConn) {
	connections := p.idle[addr]
	i := slices.Index(connections, idle)
	if i < 0 {
		return
	}
	p.count--
	if len(connections) == 1 {
		delete(p.idle, addr)
		return
	}
	p.idle[addr] = slices.Concat(connections[:i], connections[i+1:])
}

// Closed takes the connection out of the pool.
func (h idleHandler) Closed(error) { h.pool.remove(h.addr, h.idle) }

// Data closes the connection: bytes out of turn could be taken for another request's answer.
func (h idleHandler) Data(time.Duration, []byte) {
	h.idle.conn.Close()
	h.Closed(io.ErrUnexpectedEOF)
}
