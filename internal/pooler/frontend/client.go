package frontend

import (
	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/transport"
)

// Session is the protocol's side of a client.
type Session interface {
	transport.Handler
	// InFlight tells whether commands of the client wait for their answers.
	InFlight() bool
	// BufferedInput returns how many bytes have come that are not taken in yet.
	BufferedInput() int
	// HasCommand tells whether a complete command is among them.
	HasCommand() bool
	// Abandon gives up what is in flight: the client is disconnected.
	Abandon()
	// Terminate answers what is in flight with a failure, as far as the protocol allows. The connection is closed after it.
	Terminate()
}

// Client is one client's connection. A session embeds it; Connect begins its use.
type Client struct {
	Conn      *transport.Conn
	clients   *Clients
	session   Session
	admission *connlimit.Admission // nil: rejected
	paused    bool                 // nothing more is read from it
}

// Connect enters a new connection, which session is to handle. It returns false where there is no room for the client: the caller
// then closes it.
func (c *Client) Connect(clients *Clients, conn *transport.Conn, session Session) (admitted bool) {
	c.Conn, c.clients, c.session = conn, clients, session
	conn.SetHandler(session)
	clients.connected[c] = true
	clients.arrived = true
	c.admission = clients.limiter.Admit(c)
	return c.admission != nil
}

// Connected tells whether the connection is still open here.
func (c *Client) Connected() bool { return c.clients.connected[c] }

// Closed forgets the client, whose connection has ended, and has the session give up what is in flight.
func (c *Client) Closed(error) {
	delete(c.clients.connected, c)
	if c.admission != nil {
		c.admission.Release()
	}
	c.session.Abandon()
}

// Quiet tells whether nothing has come from the client that has not been seen yet.
func (c *Client) Quiet() bool { return c.Conn.Quiet() }

// Evict closes the connection for the connection limiter, without a message.
func (c *Client) Evict() {
	c.Conn.Reset()
	c.Closed(nil)
}

// Finish closes the connection once everything written to it is sent.
func (c *Client) Finish() {
	if c.Connected() {
		c.Conn.Finish()
		c.Closed(nil)
	}
}

// ClientDisconnected tells whether the client has closed its connection, and then ends the session, also where the close has not
// been read yet.
func (c *Client) ClientDisconnected() bool {
	if !c.Conn.PeerDisconnected() {
		return false
	}
	if c.Connected() {
		c.Conn.Close()
		c.Closed(nil)
	}
	return true
}

// SetState tells the connection limiter what the client is doing.
func (c *Client) SetState(state connlimit.State) {
	c.admission.SetState(state, c.session.BufferedInput())
}

// CloseIfDue disconnects the client if it is its turn and this is between two commands: everything that has come has its answer.
// afterAnswer: the client has just got one.
func (c *Client) CloseIfDue(afterAnswer bool) {
	if !c.Connected() || !c.mustLeave(afterAnswer) {
		return
	}
	switch {
	case c.session.InFlight():
		if c.clients.closing && !c.Quiet() { // it sends on before it has its answers, and would for good
			c.paused = true
			c.Conn.Pause(true)
		}
	case c.session.BufferedInput() == 0 && c.Quiet():
		c.Finish()
	case c.paused && c.Conn.AllDelivered() && !c.session.HasCommand():
		c.Finish()
	}
}

func (c *Client) mustLeave(afterAnswer bool) bool {
	return c.admission.ShouldDisconnect() || afterAnswer && c.clients.draining
}
