package postgres

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/protocol"
	"threadsail/internal/protocol/pgwire"
)

// query is the execution of one query on one connection to a server. It is a dispatch.Call.
type query struct {
	upstream.Exchange
	queryText   func() string // returns the query's text at the time it is sent
	input       []byte
	querySent   bool
	lastMessage byte   // type of the answer's last message: T, D or C; 0: none yet
	errorCode   string // SQLSTATE of the server's error
	rows        []byte
	relay       *relay // relay of a long answer; nil: the answer is buffered
}

// sendQuery sends the query. Once its last byte is sent, the server may have executed it.
func (q *query) sendQuery() {
	q.querySent = true
	q.Conn.Write(pgwire.AppendQuery(nil, q.queryText()))
	q.RequestWritten()
}

// Closed ends the exchange because the connection was closed. Until the last byte of the query is written, the server can't
// have executed it.
func (q *query) Closed(error) {
	switch {
	case q.relay != nil:
		q.failMalformed()
	case !q.querySent || !q.Conn.Written():
		q.FinishBroken(policy.ConnectFailed)
	case q.errorCode != "" && len(q.input) == 0:
		q.Finish(resultOf(q.errorCode))
	default:
		q.FinishBroken(policy.ConnectionReset)
	}
}

// Data processes the bytes received from the server.
func (q *query) Data(_ time.Duration, received []byte) {
	if q.relay != nil {
		if received = q.relay.receive(received); len(received) == 0 {
			return
		}
	}
	if !q.Received(len(received), q.querySent, q.failMalformed) {
		return
	}
	q.input = append(q.input, received...)
	unprocessed := q.input
	for {
		length, ended := q.nextMessage(unprocessed)
		if ended {
			return
		}
		if length == 0 {
			break
		}
		unprocessed = unprocessed[length:]
	}
	q.input = append([]byte(nil), unprocessed...)
	q.EndSeen = len(q.input) > 0 && pgwire.EndsReady(q.input)
}

// nextMessage processes the first message of input, or the beginning of a long row, and returns the number of bytes consumed,
// or 0 if the message is incomplete. ended reports whether the exchange has ended.
func (q *query) nextMessage(input []byte) (length int, ended bool) {
	message, length, err := pgwire.NextAnswer(input)
	if err != nil {
		q.failMalformed()
		return 0, true
	}
	if consumed := q.beginRelay(input); consumed > 0 {
		return consumed, false
	}
	if length == 0 {
		return 0, false
	}
	ended, wellFormed := q.handleMessage(message, length == len(input))
	if !wellFormed {
		q.failMalformed()
	}
	return length, ended || !wellFormed
}

// failMalformed ends an exchange whose answer is malformed or incomplete. Only a single, well-formed answer is served, and only in
// such an answer are the role, the position and the load report used. The query may have been executed, whatever error code was
// received.
func (q *query) failMalformed() {
	q.Conn.Close()
	if q.relay != nil {
		q.relay.finish(dispatch.StreamBroken, nil)
		return
	}
	q.Result = dispatch.AttemptResult{}
	if q.querySent {
		q.Finish(policy.ServerError)
	} else {
		q.Finish(policy.ConnectFailed)
	}
}

// handleMessage processes one message. last reports that no bytes follow it; ended, that the exchange has ended.
func (q *query) handleMessage(message pgwire.Message, last bool) (ended, wellFormed bool) {
	if !q.querySent {
		return q.handleStartup(message, last)
	}
	switch message.Type {
	case 'S': // ParameterStatus
		return false, q.handleParameter(message.Body)
	case 'N': // NoticeResponse
		return false, true
	case 'E': // ErrorResponse
		return false, q.handleError(message.Body)
	case 'Z': // ReadyForQuery
		idle := message.Body[0] == 'I'
		if !idle || q.lastMessage != 'C' && q.errorCode == "" {
			return false, false
		}
		q.finishAnswer(last)
		return true, true
	}
	wellFormed = q.isExpected(message)
	q.lastMessage = message.Type
	q.rows = append(q.rows, message.Raw...)
	return false, wellFormed
}

// handleError stores the code of the server's error. Only ReadyForQuery may follow an error, apart from notices and parameters.
func (q *query) handleError(body []byte) (wellFormed bool) {
	isFirst := q.lastMessage == 0 && q.errorCode == ""
	q.errorCode = pgwire.ErrorCode(body)
	return isFirst && q.errorCode != ""
}

// isExpected reports whether a message is valid at this point of the answer, which has one row of one column and then
// CommandComplete.
func (q *query) isExpected(message pgwire.Message) bool {
	switch message.Type {
	case 'T': // RowDescription
		return q.lastMessage == 0 && q.errorCode == "" && pgwire.OneColumn(message.Body)
	case 'D': // DataRow
		_, ok := pgwire.Column(message.Body)
		return q.lastMessage == 'T' && ok
	case 'C': // CommandComplete
		_, ok := pgwire.Text(message.Body)
		return q.lastMessage == 'D' && ok
	}
	return false
}

// handleStartup processes a message received before the query is sent.
func (q *query) handleStartup(message pgwire.Message, last bool) (ended, wellFormed bool) {
	switch message.Type {
	case 'E': // the server rejected the connection
		q.Conn.Close()
		q.Finish(policy.ConnectFailed)
		return true, true
	case 'Z': // ReadyForQuery
		if !last { // it would be taken for the answer to the query
			return false, false
		}
		return q.finishStartup(), true
	}
	return false, message.Type == 'R' || message.Type == 'K' || message.Type == 'S' || message.Type == 'N'
}

// handleParameter stores a role, position or load report from a ParameterStatus message. These messages precede ReadyForQuery,
// so the values are known when the exchange ends. A value that can't be parsed is ignored.
func (q *query) handleParameter(body []byte) (wellFormed bool) {
	name, value, ok := pgwire.Parameter(body)
	switch name {
	case "recovery":
		switch value {
		case "off":
			q.Result.Role = policy.RolePrimary
		case "on":
			q.Result.Role = policy.RoleReplica
		}
	case "lsn_ms":
		q.Result.Position, q.Result.HasPosition = protocol.Position(value)
	case "health":
		q.Result.Status = protocol.Report(value)
	}
	return ok
}

// finishAnswer ends the exchange with its complete answer or error. clean reports that no bytes follow the answer.
func (q *query) finishAnswer(clean bool) {
	q.Conn.Pause(false)
	q.ReleaseConn(clean, nil)
	if q.relay != nil {
		q.relay.finish(dispatch.StreamComplete, q.rows)
		return
	}
	if q.errorCode != "" {
		q.Finish(resultOf(q.errorCode))
		return
	}
	q.Result.Answer = q.rows
	q.Finish(policy.OK)
}

// finishStartup sends the query if the dispatcher still allows it, and otherwise ends the exchange. ended reports whether the
// exchange has ended.
func (q *query) finishStartup() (ended bool) {
	if q.MaySend() {
		q.sendQuery()
		return false
	}
	q.ReleaseConn(true, nil)
	q.Finish(policy.Misdirected)
	return true
}

// resultOf returns the policy's result for a server's error code.
func resultOf(code string) policy.Result {
	switch code {
	case pgwire.CodeReadOnly, pgwire.CodeBehind:
		return policy.Misdirected
	case pgwire.CodeTooMany:
		return policy.Overloaded
	}
	return policy.ServerError
}
