package frontend

import (
	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/transport"
)

// Session is the protocol-specific part of a client's connection.
type Session interface {
	transport.Handler
	// InFlight reports whether commands of the client wait for their answers.
	InFlight() bool
	// BufferedInput returns the number of bytes received but not processed yet.
	BufferedInput() int
	// HasCommand reports whether the buffered input contains a complete command.
	HasCommand() bool
	// Abandon ends the commands in flight because the client is disconnected.
	Abandon()
	// Terminate answers the commands in flight with a failure, as far as the protocol allows. The caller then closes the
	// connection.
	Terminate()
}

// Client is a client's connection. A protocol's session embeds it and calls Connect before any other method.
type Client struct {
	Conn      *transport.Conn
	clients   *Clients
	session   Session
	admission *connlimit.Admission // nil: the limiter rejected the client
	paused    bool                 // reading from the connection is paused until it is closed
	throttled bool                 // reading from the connection is paused by the connection limiter
}

// Connect registers a new connection and makes session its handler. It returns false if the connection limiter rejects the
// client: the caller must then close the connection.
func (c *Client) Connect(clients *Clients, conn *transport.Conn, session Session) (admitted bool) {
	c.Conn, c.clients, c.session = conn, clients, session
	conn.SetHandler(session)
	clients.connected[c] = true
	clients.clientConnected = true
	c.admission = clients.limiter.Admit(c)
	return c.admission != nil
}

// Connected reports whether the connection is open: neither closed by the pooler nor reported as closed by the client.
func (c *Client) Connected() bool { return c.clients.connected[c] }

// Closed unregisters the client, whose connection has ended, and abandons its commands in flight.
func (c *Client) Closed(error) {
	delete(c.clients.connected, c)
	if c.admission != nil {
		c.admission.Release()
	}
	c.session.Abandon()
}

// Quiet reports whether the client has neither sent nor closed anything that its session has not handled yet.
func (c *Client) Quiet() bool { return c.Conn.Quiet() }

// Evict resets the connection on behalf of the connection limiter, without a message to the client.
func (c *Client) Evict() {
	c.Conn.Reset()
	c.Closed(nil)
}

// Throttle stops reading from the connection on behalf of the connection limiter, or resumes it.
func (c *Client) Throttle(throttled bool) {
	c.throttled = throttled
	c.updatePause()
}

func (c *Client) updatePause() { c.Conn.Pause(c.paused || c.throttled) }

// Finish closes the connection once everything written to it is sent.
func (c *Client) Finish() {
	if c.Connected() {
		c.Conn.Finish()
		c.Closed(nil)
	}
}

// ClientDisconnected reports whether the client has closed its connection, even if the close has not been read yet. If so, it
// also ends the session.
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

// SetState reports the client's state to the connection limiter.
func (c *Client) SetState(state connlimit.State) {
	c.admission.SetState(state, c.session.BufferedInput())
}

// CloseIfDue closes the connection if the client is to be disconnected and is between two commands: all input received has been
// answered. afterAnswer reports that the client has just received an answer.
func (c *Client) CloseIfDue(afterAnswer bool) {
	if !c.Connected() || !c.shouldDisconnect(afterAnswer) {
		return
	}
	switch {
	case c.session.InFlight():
		if c.clients.disconnectingAll && !c.Quiet() { // the client sends more before it is answered, and might do so forever
			c.paused = true
			c.updatePause()
		}
	case c.session.BufferedInput() == 0 && c.Quiet():
		c.Finish()
	case c.paused && c.Conn.AllDelivered() && !c.session.HasCommand():
		c.Finish()
	}
}

func (c *Client) shouldDisconnect(afterAnswer bool) bool {
	return c.admission.ShouldDisconnect() || afterAnswer && c.clients.draining
}
