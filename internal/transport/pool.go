package transport

import (
	"io"
	"slices"
	"time"
)

// reuseDelay is the minimum time that a connection stays in the pool before it is reused.
const reuseDelay = 5 * time.Millisecond

// Pool is a pool of idle connections, grouped by the peer's address. The most recently used connection is reused first. All
// methods must be called on the loop of the connections.
type Pool struct {
	idleTimeout time.Duration
	maxIdle     int
	count       int                    // number of connections in idle
	idle        map[string][]*idleConn // by address, each in the order of Put
}

// idleConn is a connection in the pool.
type idleConn struct {
	conn      *Conn
	state     any           // state of the protocol on the connection
	idleSince time.Duration // loop time of Put
}

// idleHandler is the handler of a connection in the pool. It removes the connection when the peer sends bytes or closes.
type idleHandler struct {
	pool *Pool
	addr string
	idle *idleConn
}

// NewPool returns an empty pool that holds at most maxIdle connections, each for idleTimeout at most.
func NewPool(idleTimeout time.Duration, maxIdle int) *Pool {
	return &Pool{idleTimeout: idleTimeout, maxIdle: maxIdle, idle: map[string][]*idleConn{}}
}

// SetIdleTimeout sets the idle timeout of all connections, including those already in the pool.
func (p *Pool) SetIdleTimeout(idleTimeout time.Duration) { p.idleTimeout = idleTimeout }

// Put adds a connection and its protocol state to the pool. It closes the connection if it cannot be reused or the pool is full.
func (p *Pool) Put(addr string, c *Conn, state any) {
	if c.closed || c.hungUp {
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
	idle := &idleConn{conn: c, state: state, idleSince: c.loop.Now()}
	c.SetHandler(idleHandler{p, addr, idle})
	p.idle[addr] = append(p.idle[addr], idle)
	p.count++
}

// Get removes a connection to addr from the pool and returns it with its protocol state, or nil if there is none. usable reports whether
// a connection with a protocol state may be used; nil stands for any. The caller must set the connection's handler. Bytes that a peer sends
// right after an answer could be mistaken for the next answer. Therefore a connection is not reused before reuseDelay has passed, and it is
// closed if the peer has sent anything.
func (p *Pool) Get(addr string, now time.Duration, usable func(state any) bool) (*Conn, any) {
	for _, idle := range slices.Backward(p.idle[addr]) {
		if now-idle.idleSince >= p.idleTimeout { // connections put earlier have expired too
			break
		}
		if now-idle.idleSince < reuseDelay || !idle.conn.Written() { // a request that was answered early is still being written
			continue
		}
		if usable != nil && !usable(idle.state) {
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

// CloseIdle closes and removes all connections to addr in the pool.
func (p *Pool) CloseIdle(addr string) {
	for _, idle := range p.idle[addr] {
		p.count--
		idle.conn.Close()
	}
	delete(p.idle, addr)
}

// Sweep closes and removes the connections that have been idle for the idle timeout or longer.
func (p *Pool) Sweep(now time.Duration) {
	for addr, connections := range p.idle {
		for len(connections) > 0 && now-connections[0].idleSince >= p.idleTimeout {
			connections[0].conn.Close()
			p.remove(addr, connections[0])
			connections = p.idle[addr]
		}
	}
}

// CloseOldest closes and removes the connection that has been idle longest, to free a descriptor for another dial. It reports
// whether there was one.
func (p *Pool) CloseOldest() bool {
	var oldest *idleConn
	oldestAddr := ""
	for addr, connections := range p.idle {
		if oldest == nil || connections[0].idleSince < oldest.idleSince {
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

// remove removes a connection from the pool, if present. It does not modify slices that callers may be iterating over.
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

// Closed removes the connection from the pool.
func (h idleHandler) Closed(error) { h.pool.remove(h.addr, h.idle) }

// Data closes the connection, as unsolicited bytes could be mistaken for the answer to another request.
func (h idleHandler) Data(time.Duration, []byte) {
	h.idle.conn.Close()
	h.Closed(io.ErrUnexpectedEOF)
}
