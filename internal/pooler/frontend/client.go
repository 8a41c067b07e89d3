package frontend

import (
	"time"

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
	// Shed discards a message that has not arrived completely, or data for a statement that has not been executed.
	Shed()
	// Continue processes the input that had to wait, as far as it may go on.
	Continue()
	// HasCommand reports whether the buffered input contains a complete command.
	HasCommand() bool
	// Abandon ends the commands in flight because the client is disconnected.
	Abandon()
	// Terminate answers the commands in flight with a failure, as far as the protocol allows. The caller then closes the
	// connection.
	Terminate()
}

// MaxCommandsPerTurn is the number of commands of one client that are handled before the other clients have their turns.
const MaxCommandsPerTurn = 64

// maxFinishStall is the time after which an evicted client that has accepted none of its answers does not get them any more.
const maxFinishStall = time.Second

// maxUnreadDelay is the time after which no attempt is begun for a client that accepts none of its answers.
const maxUnreadDelay = 50 * time.Millisecond

// Client is a client's connection. A protocol's session embeds it and calls Connect before any other method.
type Client struct {
	Conn      *transport.Conn
	clients   *Clients
	session   Session
	admission *connlimit.Admission // nil: the limiter rejected the client
	paused    bool                 // reading from the connection is paused until it is closed
	waiting   bool                 // reading from the connection is paused while the client's commands have to wait
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

// Evict resets the connection on behalf of the connection limiter, without a message to the client. Answers that the client does not
// read are discarded.
func (c *Client) Evict() {
	if c.Conn.StalledFor() >= maxFinishStall {
		c.Conn.Close()
	} else {
		c.Conn.Reset()
	}
	c.Closed(nil)
}

// StalledFor returns for how long the client has accepted none of the bytes that are written to it; 0 if all are.
func (c *Client) StalledFor() time.Duration { return c.Conn.StalledFor() }

// Resume goes on with the client's input on behalf of the connection limiter.
func (c *Client) Resume() { c.session.Continue() }

// Shed discards an incomplete message on behalf of the connection limiter.
func (c *Client) Shed() { c.session.Shed() }

// Reserve asks the connection limiter for so many bytes and commands. If it returns false, the session's Continue is called once it may
// ask again.
func (c *Client) Reserve(bytes, commands int) bool { return c.admission.Reserve(bytes, commands) }

// TryReserve asks the connection limiter for so many bytes, for which the client does not wait.
func (c *Client) TryReserve(bytes int) bool { return c.admission.TryReserve(bytes) }

// MustWait reports whether the connection limiter makes the client wait, or the client does not read its answers.
func (c *Client) MustWait() bool { return c.admission.Waits() || c.Conn.Blocked() }

// Wait stops reading from the connection while the client's commands have to wait: for the answers to earlier ones, for the client to
// read these, or for memory. Once they need not wait any more, the session goes on with the input that it holds.
func (c *Client) Wait(waiting bool) {
	if waiting == c.waiting {
		return
	}
	c.waiting = waiting
	c.updatePause()
	if !waiting {
		c.Conn.Yield()
	}
}

// Waiting reports whether the client's commands have to wait.
func (c *Client) Waiting() bool { return c.waiting }

func (c *Client) updatePause() { c.Conn.Pause(c.paused || c.waiting) }

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

// MayAttempt reports whether an attempt may begin for the client: it would be known if the client had closed the connection, and the
// client reads its answers.
func (c *Client) MayAttempt() bool {
	return c.Conn.CloseVisible() && c.Conn.StalledFor() < maxUnreadDelay
}

// SetUsage reports to the connection limiter what the client uses.
func (c *Client) SetUsage(usage connlimit.Usage) {
	usage.AnswerBytes += c.Conn.UnsentBytes()
	c.admission.SetUsage(usage)
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
