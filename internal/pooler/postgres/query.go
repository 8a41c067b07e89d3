package postgres

import (
	"errors"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/protocol"
	"threadsail/internal/protocol/pgwire"
	"threadsail/internal/transport"
)

// query is one query on one connection to a server. It is a dispatch.Call.
type query struct {
	upstream.Exchange
	text        func() string
	input       []byte
	querySent   bool
	lastMessage byte // the last message of the answer: T, D, C; 0: none so far
	errorCode   string
	rows        []byte
	relay       *relay // of a long answer that has begun
}

// sendQuery sends the query itself. From its last byte on it may have run.
func (x *query) sendQuery() {
	x.querySent = true
	x.Conn.Write(pgwire.AppendQuery(nil, x.text()))
	x.RequestWritten()
}

// Closed ends the exchange. Before the last byte of the query has gone out nothing can have run.
func (x *query) Closed(err error) {
	switch {
	case x.relay != nil:
		x.failMalformed()
	case !x.querySent || !x.Conn.Written():
		x.FinishBroken(policy.ConnectFailed)
	case x.errorCode != "" && len(x.input) == 0:
		x.Finish(resultOf(x.errorCode))
	case errors.Is(err, transport.ErrFlood):
		x.failMalformed()
	default:
		x.FinishBroken(policy.ConnectionReset)
	}
}

// Data takes in what the server has sent.
func (x *query) Data(_ time.Duration, b []byte) {
	if x.relay != nil {
		if b = x.relay.receive(b); len(b) == 0 {
			return
		}
	}
	if !x.Received(len(b), x.querySent, x.failMalformed) {
		return
	}
	x.input = append(x.input, b...)
	rest := x.input
	for {
		n, over := x.nextMessage(rest)
		if over {
			return
		}
		if n == 0 {
			break
		}
		rest = rest[n:]
	}
	x.input = append([]byte(nil), rest...)
}

// nextMessage takes one message, or the beginning of a long row, off input and returns its length; 0: it is not complete. over: the
// exchange has ended.
func (x *query) nextMessage(input []byte) (n int, over bool) {
	m, n, err := pgwire.NextAnswer(input)
	if err != nil {
		x.failMalformed()
		return 0, true
	}
	if taken := x.beginRelay(input); taken > 0 {
		return taken, false
	}
	if n == 0 {
		return 0, false
	}
	over, wellFormed := x.handleMessage(m, n == len(input))
	if !wellFormed {
		x.failMalformed()
	}
	return n, over || !wellFormed
}

// failMalformed ends an exchange whose answer can't be used. Only exactly one answer made as it should be is served, and only
// such a one is believed: anything else may have run, whatever code or note stands in it.
func (x *query) failMalformed() {
	x.Conn.Close()
	if x.relay != nil {
		x.relay.finish(dispatch.StreamBroken, nil)
		return
	}
	x.Result = dispatch.AttemptResult{}
	if x.querySent {
		x.Finish(policy.ServerError)
	} else {
		x.Finish(policy.ConnectFailed)
	}
}

// handleMessage takes in one message. over: the exchange has ended. last: nothing has come after it.
func (x *query) handleMessage(m pgwire.Message, last bool) (over, wellFormed bool) {
	if !x.querySent {
		return x.handleStartup(m, last)
	}
	switch m.Type {
	case 'S': // ParameterStatus
		return false, x.handleParameter(m.Body)
	case 'N': // NoticeResponse
		return false, true
	case 'E': // ErrorResponse
		return false, x.handleError(m.Body)
	case 'Z': // ReadyForQuery
		idle := m.Body[0] == 'I'
		if !idle || x.lastMessage != 'C' && x.errorCode == "" {
			return false, false
		}
		x.finishAnswer(last)
		return true, true
	}
	wellFormed = x.inOrder(m)
	x.lastMessage = m.Type
	x.rows = append(x.rows, m.Raw...)
	return false, wellFormed
}

// handleError takes in the server's error, which nothing but ReadyForQuery may follow.
func (x *query) handleError(body []byte) (wellFormed bool) {
	first := x.lastMessage == 0 && x.errorCode == ""
	x.errorCode = pgwire.ErrorCode(body)
	return first && x.errorCode != ""
}

// inOrder tells whether a message of the answer is the one that is due: one row of one column, and the end of the command.
func (x *query) inOrder(m pgwire.Message) bool {
	switch m.Type {
	case 'T': // RowDescription
		return x.lastMessage == 0 && x.errorCode == "" && pgwire.OneColumn(m.Body)
	case 'D': // DataRow
		_, ok := pgwire.Column(m.Body)
		return x.lastMessage == 'T' && ok
	case 'C': // CommandComplete
		_, ok := pgwire.Text(m.Body)
		return x.lastMessage == 'D' && ok
	}
	return false
}

// handleStartup takes in what comes before the query is sent.
func (x *query) handleStartup(m pgwire.Message, last bool) (over, wellFormed bool) {
	switch m.Type {
	case 'E': // rejected by the server
		x.Conn.Close()
		x.Finish(policy.ConnectFailed)
		return true, true
	case 'Z':
		return x.finishStartup(), last
	}
	return false, m.Type == 'R' || m.Type == 'K' || m.Type == 'S' || m.Type == 'N'
}

// handleParameter takes in what the server reports of itself. It comes before ReadyForQuery, and so before the outcome. A value
// that can't be read reports nothing, and does no harm.
func (x *query) handleParameter(body []byte) (wellFormed bool) {
	name, value, ok := pgwire.Parameter(body)
	switch name {
	case "recovery":
		switch value {
		case "off":
			x.Result.Role = policy.RolePrimary
		case "on":
			x.Result.Role = policy.RoleReplica
		}
	case "lsn_ms":
		x.Result.Position, x.Result.HasPosition = protocol.Position(value)
	case "health":
		x.Result.Status = protocol.Report(value)
	}
	return ok
}

// finishAnswer ends the exchange with its answer.
func (x *query) finishAnswer(clean bool) {
	x.Conn.Pause(false)
	x.ReleaseConn(clean, nil)
	if x.relay != nil {
		x.relay.finish(dispatch.StreamComplete, x.rows)
		return
	}
	if x.errorCode != "" {
		x.Finish(resultOf(x.errorCode))
		return
	}
	x.Result.Answer = x.rows
	x.Finish(policy.OK)
}

// finishStartup sends the query, unless it must not be sent to this server any more. over: the exchange has ended.
func (x *query) finishStartup() (over bool) {
	if x.MaySend() {
		x.sendQuery()
		return false
	}
	x.ReleaseConn(true, nil)
	x.Finish(policy.Misdirected)
	return true
}

// resultOf returns what a server's error code means to the policy.
func resultOf(code string) policy.Result {
	switch code {
	case pgwire.CodeReadOnly, pgwire.CodeBehind:
		return policy.Misdirected
	case pgwire.CodeTooMany:
		return policy.Overloaded
	}
	return policy.ServerError
}
