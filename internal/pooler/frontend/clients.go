// Package frontend is what the frontends of all protocols share: the clients that are connected, how they are disconnected while
// the pooler shuts down, and the checks that turn a statement's comment into a request.
//
// It decides when a client's connection may be closed without losing a request or an answer. It owns the listener and the set of
// connected clients; a protocol's session owns its input, and tells through the interface Session what stands between the client
// and its answers. Everything runs on the worker's event loop. The package reads and writes no messages; which clients stay
// connected under pressure is decided by package connlimit.
package frontend

import (
	"threadsail/internal/dispatch"
	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/transport"
)

// ListenFunc opens a listener that hands each accepted connection to accept, on the event loop.
type ListenFunc func(accept func(*transport.Conn)) (*transport.Listener, error)

// Clients are the connected clients of one frontend.
type Clients struct {
	dispatcher *dispatch.Dispatcher
	limiter    *connlimit.Limiter
	listener   *transport.Listener
	connected  map[*Client]bool
	requestIDs map[string]bool // of requests in flight
	draining   bool            // each client is disconnected after its next answer
	closing    bool            // no new clients are accepted, and all are to be disconnected
	arrived    bool            // a client has connected since the last CloseClients
}

// NewClients returns the clients of a frontend that submits its requests to a dispatcher. limiter says which clients stay.
func NewClients(dispatcher *dispatch.Dispatcher, limiter *connlimit.Limiter) *Clients {
	return &Clients{dispatcher: dispatcher, limiter: limiter, connected: map[*Client]bool{}, requestIDs: map[string]bool{}}
}

// Listen opens the frontend's listener. accept is called for each new connection.
func (c *Clients) Listen(listen ListenFunc, accept func(*transport.Conn)) error {
	listener, err := listen(accept)
	c.listener = listener
	return err
}

// Addr returns the address of the listener.
func (c *Clients) Addr() string { return c.listener.Addr() }

// Drain accepts no new clients, and has each connected one closed after its next answer.
func (c *Clients) Drain() {
	c.draining = true
	c.listener.Close()
}

// CloseClients disconnects a share of the clients, from 0 to 1 (all), each between two requests: those that are idle now, and the
// others after an answer. It is called again and again during the shutdown. Once all are to go and no more come it accepts no new
// ones. Of a client that never stops sending no more is read from then on. allDisconnected: no client is left, and none can come.
func (c *Clients) CloseClients(share float64) (allDisconnected bool) {
	c.limiter.SetDisconnectShare(share)
	if share >= 1 && !c.closing && !c.arrived && !c.listener.Pending() {
		c.closing = true
		c.Drain()
	}
	c.arrived = false
	for client := range c.connected {
		client.CloseIfDue(false)
	}
	return c.closing && len(c.connected) == 0
}

// Terminate answers everything in flight with a failure, and closes all clients: there is no more time.
func (c *Clients) Terminate() {
	c.Drain()
	for client := range c.connected {
		client.session.Terminate()
		client.Finish()
	}
}
