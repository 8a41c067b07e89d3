// Package frontend contains what the frontends of all protocols share: the connected clients, their disconnection while the
// pooler shuts down, and the checks that turn a statement's comment into a request.
//
// It decides when a client's connection can be closed without losing a request or an answer. It owns the listener and the set
// of connected clients. A protocol's session owns its input, and reports its commands in flight and its buffered input through
// the Session interface. Everything runs on the worker's event loop. The package reads and writes no messages; package
// connlimit decides which clients are admitted and evicted.
package frontend

import (
	"threadsail/internal/dispatch"
	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/transport"
)

// ListenFunc opens a listener that hands each accepted connection to accept, on the event loop.
type ListenFunc func(accept func(*transport.Conn)) (*transport.Listener, error)

// Clients is the set of connected clients of one frontend.
type Clients struct {
	dispatcher *dispatch.Dispatcher
	limiter    *connlimit.Limiter
	listener   *transport.Listener
	connected  map[*Client]bool
	requestIDs
	draining         bool // each client is disconnected after its next answer
	disconnectingAll bool // no clients are accepted, and all are to be disconnected
	clientConnected  bool // a client has connected since the last CloseClients
}

// NewClients returns an empty set of clients for a frontend that submits requests to dispatcher. limiter decides which clients
// are admitted and stay connected.
func NewClients(dispatcher *dispatch.Dispatcher, limiter *connlimit.Limiter) *Clients {
	return &Clients{dispatcher: dispatcher, limiter: limiter, connected: map[*Client]bool{}, requestIDs: newRequestIDs()}
}

// Listen opens the frontend's listener, which calls accept for each new connection.
func (c *Clients) Listen(listen ListenFunc, accept func(*transport.Conn)) error {
	listener, err := listen(accept)
	c.listener = listener
	return err
}

// Addr returns the address of the listener.
func (c *Clients) Addr() string { return c.listener.Addr() }

// Drain stops accepting clients and disconnects each connected client after its next answer.
func (c *Clients) Drain() {
	c.draining = true
	c.listener.Close()
}

// CloseClients disconnects a share of the clients, from 0 to 1 (all), each between two requests: idle clients at once, the
// others after an answer. It is called repeatedly during the shutdown. Once share is 1, no client has connected since the last
// call and no connection waits to be accepted, it stops accepting clients. From then on it stops reading from a client that
// keeps sending before it is answered. allDisconnected reports that no client is connected and none can connect.
func (c *Clients) CloseClients(share float64) (allDisconnected bool) {
	c.limiter.SetDisconnectShare(share)
	if share >= 1 && !c.disconnectingAll && !c.clientConnected && !c.listener.Pending() {
		c.disconnectingAll = true
		c.Drain()
	}
	c.clientConnected = false
	for client := range c.connected {
		client.CloseIfDue(false)
	}
	return c.disconnectingAll && len(c.connected) == 0
}

// Terminate answers all commands in flight with a failure and disconnects all clients, because the time for the shutdown is
// over.
func (c *Clients) Terminate() {
	c.Drain()
	for client := range c.connected {
		client.session.Terminate()
		client.Finish()
	}
}
