package upstream

import (
	"errors"
	"time"

	"threadsail/internal/policy"
	"threadsail/internal/protocol"
)

// errStalled tells that the rest of an answer stays away.
var errStalled = errors.New("an answer has begun and does not end")

// Protocol is one protocol's side of a Conversation.
type Protocol interface {
	// NextMessage takes one message off input and returns its length; 0: it is not complete yet. over: the exchange has ended. An
	// error means that the message is malformed.
	NextMessage(input []byte) (n int, over bool, err error)
	// FailMalformed ends the exchange because its answer can't be used.
	FailMalformed(err error)
}

// Conversation is an Exchange with what must go before the request: a login, a database, a prepared statement. Until RequestSent is
// set nothing can have run.
type Conversation struct {
	Exchange
	Account         *Account
	Deadline        time.Duration // of the client, on the loop's clock
	IsProbe         bool
	RequestSent     bool
	ServerResponded bool // before the request: time has passed since the attempt was chosen
	input           []byte
}

// TimeLeft returns for how long the client still waits.
func (c *Conversation) TimeLeft() time.Duration { return c.Deadline - c.Loop().Now() }

// Receive takes in what the server has sent, message by message.
func (c *Conversation) Receive(b []byte, p Protocol) {
	if !c.Received(len(b), c.RequestSent && !c.IsProbe, func() { p.FailMalformed(errStalled) }) {
		return
	}
	c.input = append(c.input, b...)
	rest := c.input
	for {
		n, over, err := p.NextMessage(rest)
		if err != nil {
			p.FailMalformed(err)
			return
		}
		if over {
			return
		}
		if n == 0 {
			break
		}
		rest = rest[n:]
	}
	c.input = append([]byte(nil), rest...)
}

// PartialMessage tells whether an incomplete message has come.
func (c *Conversation) PartialMessage() bool { return len(c.input) > 0 }

// LogFailure logs what is wrong with the server.
func (c *Conversation) LogFailure(what string) { c.Account.Log("server " + c.addr + ": " + what) }

// EndMalformed logs err, closes the connection and reports that the request may have run, if it was sent.
func (c *Conversation) EndMalformed(err error) {
	c.LogFailure(err.Error())
	c.Conn.Close()
	if c.RequestSent {
		c.Finish(policy.ServerError)
	} else {
		c.Finish(policy.ConnectFailed)
	}
}

// Overtaken tells whether the request must not be sent any more, after a wait for the server.
func (c *Conversation) Overtaken() bool {
	return c.ServerResponded && !c.RequestSent && !c.MaySend()
}

// ReportRole enters the role that a probe has found. It returns whether the heartbeat query is to follow, which tells a replica's
// position.
func (c *Conversation) ReportRole(primary bool) (heartbeatFollows bool) {
	report := &c.Result.Status
	report.HasRole = true
	report.RoleIsCurrent = true
	report.IsPrimary = primary
	return !primary && c.Account.Heartbeat != ""
}

// ReportPosition enters the position that the heartbeat query has found.
func (c *Conversation) ReportPosition(value string) {
	c.Result.Status.Position, c.Result.Status.HasPosition = protocol.Position(value)
}
