package upstream

import (
	"errors"
	"time"

	"threadsail/internal/policy"
	"threadsail/internal/protocol"
)

// errIncompleteAnswer is the error of an answer that stalls before its end or exceeds maxReceivedBytes.
var errIncompleteAnswer = errors.New("answer was not completed within the time and size limits")

// Protocol is the part of a Conversation that depends on the protocol.
type Protocol interface {
	// NextMessage handles the first message of input and returns its length n, or 0 if the message is incomplete. It returns
	// ended if the exchange has ended, and an error if the message is malformed.
	NextMessage(input []byte) (n int, ended bool, err error)
	// FailMalformed ends the exchange because its answer is unusable.
	FailMalformed(err error)
}

// Conversation is an Exchange that may have to log in, select a database or prepare a statement before it sends the request. The
// server cannot have executed the request before RequestSent is set.
type Conversation struct {
	Exchange
	Account         *Account
	IsProbe         bool
	RequestSent     bool
	ServerResponded bool   // the server sent something before the request, so time has passed since the router chose the server
	input           []byte // received bytes that are not handled yet
}

// TimeLeft returns the time until the client's deadline.
func (c *Conversation) TimeLeft() time.Duration { return c.Deadline - c.Loop().Now() }

// Receive appends data to the input and passes each complete message to proto. It keeps an incomplete message for the next
// call.
func (c *Conversation) Receive(data []byte, proto Protocol) {
	if !c.Received(len(data), c.RequestSent && !c.IsProbe, func() { proto.FailMalformed(errIncompleteAnswer) }) {
		return
	}
	c.input = append(c.input, data...)
	rest := c.input
	for {
		n, ended, err := proto.NextMessage(rest)
		if err != nil {
			proto.FailMalformed(err)
			return
		}
		if ended {
			return
		}
		if n == 0 {
			break
		}
		rest = rest[n:]
	}
	c.input = append([]byte(nil), rest...)
}

// PartialMessage reports whether an incomplete message has been received.
func (c *Conversation) PartialMessage() bool { return len(c.input) > 0 }

// LogFailure logs a failure of the server, with its address.
func (c *Conversation) LogFailure(message string) { c.Account.Log("server " + c.addr + ": " + message) }

// EndMalformed logs err, closes the connection and finishes the exchange: with policy.ServerError if the request was sent and may
// have executed, otherwise with policy.ConnectFailed.
func (c *Conversation) EndMalformed(err error) {
	c.LogFailure(err.Error())
	c.Conn.Close()
	if c.RequestSent {
		c.Finish(policy.ServerError)
	} else {
		c.Finish(policy.ConnectFailed)
	}
}

// Overtaken reports whether the request must not be sent any more, because the attempt was disallowed while it waited for the
// server.
func (c *Conversation) Overtaken() bool {
	return c.ServerResponded && !c.RequestSent && !c.MaySend()
}

// ReportRole records the role that a probe has found. It reports whether the probe must also send the heartbeat query, which
// returns a replica's position.
func (c *Conversation) ReportRole(primary bool) (heartbeatFollows bool) {
	status := &c.Result.Status
	status.HasRole = true
	status.RoleIsCurrent = true
	status.IsPrimary = primary
	return !primary && c.Account.Heartbeat != ""
}

// ReportPosition records the position that the heartbeat query has returned.
func (c *Conversation) ReportPosition(value string) {
	c.Result.Status.Position, c.Result.Status.HasPosition = protocol.Position(value)
}
