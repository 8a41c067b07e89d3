package translating

import (
	"errors"
	"fmt"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/mysql"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/protocol"
	"threadsail/internal/protocol/pgwire"
	"threadsail/internal/translate"
	"threadsail/internal/transport"
)

// maxAnswerBytes bounds the rows of one answer.
const maxAnswerBytes = 1 << 20

var (
	errMessageOrder   = errors.New("a message out of order")
	errAnswerTooLarge = errors.New("the answer is too large")
	errUnprovenServer = errors.New("the server says yes without having shown that it knows the password")
)

// stage is what an exchange waits for.
type stage uint8

const (
	awaitWelcome stage = iota
	awaitDescription
	awaitAnswer
)

// exchange is one statement on one connection, with what must go before it: the startup, and the Parse of a statement whose
// parameters' types must be known. Until its Execute has gone out nothing can have run.
type exchange struct {
	upstream.Conversation
	backend   *PostgresBackend
	command   *mysql.Command
	text      string
	state     *connState
	stage     stage
	scram     *pgwire.Talk
	statement *preparedStatement // being described, or executed; nil: the text has no parameters
	answer    answer
}

// start takes a connection for the exchange.
func (x *exchange) start(addr string, a dispatch.AttemptCallbacks) dispatch.Call {
	x.Start(&x.backend.Connector, addr, x, a, func(state any) {
		x.state = state.(*connState)
		x.sendNext()
	}, func() {
		x.state = &connState{}
		x.Conn.Write(pgwire.AppendSession(nil, x.backend.User, x.backend.Database, "client_encoding", "UTF8", "DateStyle", "ISO, YMD",
			"IntervalStyle", "postgres", "TimeZone", "UTC", "extra_float_digits", "1", "standard_conforming_strings", "on"))
	})
	return x
}

// Abort closes the connection, and asks the server to stop what it has begun: it would go on else, for nobody. The connection is
// used no more, so that the cancel can reach no other statement.
func (x *exchange) Abort() {
	begun := x.RequestSent && !x.IsProbe && !x.Finished() && x.state.cancelKey != (pgwire.Key{})
	x.Exchange.Abort()
	if !begun || x.backend.Budget.Full() {
		return
	}
	transport.Dial(x.backend.Loop, x.backend.Budget, x.Addr(), x.backend.ConnectTimeout, func(conn *transport.Conn, err error) {
		if err == nil {
			conn.SetHandler(cancelHandler{})
			conn.Write(pgwire.AppendCancel(nil, x.state.cancelKey))
			conn.Finish()
		}
	})
}

// cancelHandler handles a connection that carries a cancel request. No answer comes to it.
type cancelHandler struct{}

// Data ignores what comes.
func (cancelHandler) Data(time.Duration, []byte) {}

// Closed ignores the end.
func (cancelHandler) Closed(error) {}

// Closed ends the exchange. Before the Execute's last byte has gone out nothing can have run; a complete error is the server's
// answer, though no ReadyForQuery follows.
func (x *exchange) Closed(error) {
	if x.RequestSent && x.Conn.Written() && x.answer.errorCode != "" && !x.PartialMessage() {
		x.finishWithError(false)
		return
	}
	x.ConnClosed(x.RequestSent)
}

// Data takes in what the server has sent.
func (x *exchange) Data(_ time.Duration, b []byte) {
	x.Receive(b, x)
	x.EndSeen = x.PartialMessage() && pgwire.EndsReady(b)
}

// FailMalformed ends an exchange whose answer can't be used: it may have run, whatever stands in it.
func (x *exchange) FailMalformed(err error) {
	x.Result = dispatch.AttemptResult{}
	x.EndMalformed(err)
}

// NextMessage is documented with upstream.Protocol.
func (x *exchange) NextMessage(input []byte) (n int, over bool, err error) {
	m, n, err := pgwire.NextReply(input)
	if err != nil || n == 0 {
		return n, false, err
	}
	over, err = x.handleMessage(m, n == len(input))
	return n, over, err
}

// handleMessage takes in one message. over: the exchange has ended. last: nothing has come after it.
func (x *exchange) handleMessage(m pgwire.Message, last bool) (over bool, err error) {
	x.ServerResponded = x.ServerResponded || !x.RequestSent
	switch m.Type {
	case 'S': // ParameterStatus
		return false, x.handleParameter(m.Body)
	case 'N': // NoticeResponse
		return false, nil
	}
	switch x.stage {
	case awaitWelcome:
		return x.handleStartup(m, last)
	case awaitDescription:
		return x.handleDescription(m, last)
	}
	return x.handleAnswer(m, last)
}

// handleParameter takes in what some servers report of themselves with each answer. A position that comes before the request has been
// sent is not that of its commit.
func (x *exchange) handleParameter(body []byte) error {
	name, value, ok := pgwire.Parameter(body)
	if !ok {
		return errMessageOrder
	}
	switch name {
	case "recovery", "in_hot_standby":
		switch value {
		case "off":
			x.Result.Role = policy.RolePrimary
		case "on":
			x.Result.Role = policy.RoleReplica
		}
	case "lsn_ms":
		if !x.RequestSent {
			break
		}
		x.Result.Position, x.Result.HasPosition = protocol.Position(value)
	}
	return nil
}

// sendNext sends the statement, or the Parse that must go before it.
func (x *exchange) sendNext() {
	x.updateText()
	if x.command.Translated == nil || x.command.ParamCount == 0 {
		x.sendExecute(nil)
		return
	}
	statement, ok := x.state.prepared.Get(x.text)
	if ok {
		x.statement = statement
		x.bind()
		return
	}
	x.state.lastNumber++
	x.statement = &preparedStatement{name: fmt.Sprint("s", x.state.lastNumber)}
	var out []byte
	if oldest, removed := x.state.prepared.MakeRoom(); removed {
		out = pgwire.AppendClose(out, oldest.name)
	}
	out = pgwire.AppendParse(out, x.statement.name, x.text)
	out = pgwire.AppendDescribe(out, 'S', x.statement.name)
	x.stage = awaitDescription
	x.Conn.Write(pgwire.Append(out, 'S'))
}

// updateText sets the text of the statement, whose comment tells the time left. A probe's text stays as it is.
func (x *exchange) updateText() {
	switch {
	case x.IsProbe:
	case x.command.Prepared:
		x.text = x.command.PreparedTextForPostgres(x.Loop().Now())
	default:
		x.text = x.command.Translated.Text(x.TimeLeft())
	}
}

// bind executes a described statement with the client's values.
func (x *exchange) bind() {
	values, err := x.paramValues()
	if err != nil {
		x.finishWithOwnError(err)
		return
	}
	x.sendExecute(values)
}

// paramValues returns the client's parameters as the described statement takes them.
func (x *exchange) paramValues() ([][]byte, error) {
	if len(x.statement.params) != x.command.ParamCount {
		return nil, &translate.Error{Meaning: translate.Syntax, Text: "the server counts other parameters in this statement"}
	}
	params, err := x.command.Params()
	if err != nil {
		return nil, err
	}
	values := make([][]byte, len(params))
	for i, p := range params {
		if values[i], err = translate.ToPostgresParam(p, x.statement.params[i], x.command.Client.Charset, i+1); err != nil {
			return nil, err
		}
	}
	return values, nil
}

// sendExecute sends what makes the statement run, unless it must not be sent to this server any more.
func (x *exchange) sendExecute(values [][]byte) {
	if x.Overtaken() {
		x.release(true)
		x.Finish(policy.Misdirected)
		return
	}
	var out []byte
	name := ""
	if x.statement != nil {
		name = x.statement.name
		x.answer.fields = x.statement.fields
	} else {
		out = pgwire.AppendParse(nil, "", x.text)
	}
	out = pgwire.AppendBind(out, name, values)
	if x.statement == nil {
		out = pgwire.AppendDescribe(out, 'P', "")
	}
	out = pgwire.Append(pgwire.AppendExecute(out), 'S')
	x.stage = awaitAnswer
	x.RequestSent = true
	x.Conn.Write(out)
	if !x.IsProbe {
		x.RequestWritten()
	}
}

// release gives the connection back. clean is false where more has come than the answer.
func (x *exchange) release(clean bool) { x.ReleaseConn(clean, x.state) }
