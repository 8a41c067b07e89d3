// Package crossside takes the commands of MySQL clients to PostgreSQL servers: it speaks the extended query protocol and puts
// what comes back into MySQL's packets. An answer is held until it is whole, so that none breaks off in the middle of a row.
package translating

import (
	"errors"
	"fmt"
	"strconv"
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

const (
	maxPreparedPerConn = 64 // statements kept prepared on one connection to a server
	maxAnswer          = 1 << 20
	roleQuery          = "SELECT pg_is_in_recovery()"
)

var (
	errStalled        = errors.New("an answer has begun and does not end")
	errMessageOrder   = errors.New("a message out of order")
	errAnswerTooLarge = errors.New("the answer is too large")
)

// PostgresBackend takes attempts and probes to PostgreSQL servers.
type PostgresBackend struct {
	upstream.Connector
	User, Database string
	Password       string
	Heartbeat      string // the probe's second query, a Unix time in milliseconds; empty: none
	Log            func(string)
	scramSecrets   *pgwire.Secrets
}

// connState is what is known of a connection to a server.
type connState struct {
	cancelKey     pgwire.Key                    // by which what runs on it is cancelled
	prepared      map[string]*preparedStatement // by text
	preparedOrder []string
	lastNumber    int
}

// preparedStatement is a statement that a server has taken in, and what it says of it.
type preparedStatement struct {
	name   string
	params []uint32
	fields []pgwire.Field
}

// Send starts an attempt.
func (b *PostgresBackend) Send(addr string, payload any, left time.Duration, a dispatch.AttemptCallbacks) dispatch.Call {
	cmd := payload.(*mysql.Command)
	if _, err := cmd.ForPostgres(); err != nil {
		return upstream.AnswerLocally(b.Loop, a, dispatch.AttemptResult{Result: policy.OK, Answer: cmd.Client.AppendError(nil, translate.AsError(err))})
	}
	x := &exchange{backend: b, addr: addr, command: cmd, text: cmd.Translated.SQL, deadline: b.Loop.Now() + left}
	if !cmd.Prepared {
		x.text = cmd.Translated.Text(left)
	}
	return x.start(a)
}

// Probe asks a server for its role, and a replica for its position.
func (b *PostgresBackend) Probe(addr string, done func(dispatch.AttemptResult)) dispatch.Call {
	start := func(done func(dispatch.AttemptResult)) dispatch.Call {
		x := &exchange{backend: b, addr: addr, text: roleQuery, isProbe: true, command: &mysql.Command{}, deadline: b.Loop.Now() + b.ConnectTimeout}
		return x.start(upstream.ProbeAttempt(done))
	}
	return upstream.StartProbe(start, func(r dispatch.AttemptResult) {
		r.Answer = nil
		done(r)
	})
}

// stage is what an exchange waits for.
type stage uint8

const (
	awaitWelcome stage = iota
	awaitDescription
	awaitAnswer
)

// exchange is one statement on one connection, with what must go before it: the startup, the Parse whose parameters' types must
// be known. Until its Execute has gone out nothing can have run.
type exchange struct {
	upstream.Exchange
	backend         *PostgresBackend
	addr            string
	command         *mysql.Command
	text            string
	deadline        time.Duration
	isProbe         bool
	state           *connState
	input           []byte
	stage           stage
	serverResponded bool // for the server's word, before the statement
	statementSent   bool
	scram           *pgwire.Talk
	statement       *preparedStatement // being described, or run
	fields          []pgwire.Field
	columns         []translate.Column
	rows            []([][]byte)
	rowBytes        int
	commandTag      string
	errorCode       string // of the server's error
	errorText       string
}

func (x *exchange) start(a dispatch.AttemptCallbacks) dispatch.Call {
	x.Start(&x.backend.Connector, x.addr, x, a, func(st any) {
		x.state = st.(*connState)
		x.sendNext()
	}, func() {
		x.state = &connState{prepared: map[string]*preparedStatement{}}
		x.Conn.Write(pgwire.AppendSession(nil, x.backend.User, x.backend.Database, "client_encoding", "UTF8", "DateStyle", "ISO, YMD",
			"IntervalStyle", "postgres", "TimeZone", "UTC", "extra_float_digits", "1", "standard_conforming_strings", "on"))
	})
	return x
}

// Abort closes the connection, and asks the server to stop what it has begun: it would go on else, for nobody. The connection is
// used no more, so that the cancel can reach no other statement.
func (x *exchange) Abort() {
	begun := x.statementSent && !x.isProbe && !x.Finished() && x.state.cancelKey != (pgwire.Key{})
	x.Exchange.Abort()
	if !begun || x.backend.Budget.Full() {
		return
	}
	transport.Dial(x.backend.Loop, x.backend.Budget, x.addr, x.backend.ConnectTimeout, func(c *transport.Conn, err error) {
		if err == nil {
			c.SetHandler(cancelHandler{})
			c.Write(pgwire.AppendCancel(nil, x.state.cancelKey))
			c.Finish()
		}
	})
}

// cancelHandler is a connection that carries a cancel request. No answer comes to it.
type cancelHandler struct{}

func (cancelHandler) Data(time.Duration, []byte) {}
func (cancelHandler) Closed(error)               {}

// Closed ends the exchange. Before the Execute's last byte has gone out nothing can have run; a whole error is the server's word,
// though no ReadyForQuery follows.
func (x *exchange) Closed(err error) {
	if x.statementSent && x.Conn.Written() && x.errorCode != "" && len(x.input) == 0 {
		x.finishWithError(false)
		return
	}
	x.ConnClosed(err, x.statementSent, x.failMalformed)
}

// failMalformed ends an exchange whose answer can't be used: it may have run, whatever stands in it.
func (x *exchange) failMalformed(err error) {
	x.backend.Log("server " + x.addr + ": " + err.Error())
	x.Conn.Close()
	x.Result = dispatch.AttemptResult{}
	if x.statementSent {
		x.Finish(policy.ServerError)
	} else {
		x.Finish(policy.ConnectFailed)
	}
}

func (x *exchange) Data(_ time.Duration, b []byte) {
	if !x.Received(len(b), x.statementSent && !x.isProbe, func() { x.failMalformed(errStalled) }) {
		return
	}
	x.input = append(x.input, b...)
	rest := x.input
	for {
		m, n, err := pgwire.NextReply(rest)
		if err == nil && n == 0 {
			break
		}
		over := false
		if err == nil {
			rest = rest[n:]
			over, err = x.handleMessage(m, len(rest) == 0)
		}
		if err != nil {
			x.failMalformed(err)
			return
		}
		if over {
			return
		}
	}
	x.input = append([]byte(nil), rest...)
}

// sendNext sends the statement, or the Parse that must go before it.
func (x *exchange) sendNext() {
	if x.command.Translated == nil || x.command.ParamCount == 0 {
		x.sendExecute(nil)
		return
	}
	if x.statement = x.state.prepared[x.text]; x.statement != nil {
		x.bind()
		return
	}
	x.state.lastNumber++
	x.statement = &preparedStatement{name: fmt.Sprint("s", x.state.lastNumber)}
	var out []byte
	if len(x.state.preparedOrder) >= maxPreparedPerConn { // the oldest one of the connection is given up
		old := x.state.preparedOrder[0]
		out = pgwire.AppendClose(out, x.state.prepared[old].name)
		delete(x.state.prepared, old)
		x.state.preparedOrder = x.state.preparedOrder[1:]
	}
	out = pgwire.AppendParse(out, x.statement.name, x.text)
	out = pgwire.AppendDescribe(out, 'S', x.statement.name)
	x.stage = awaitDescription
	x.Conn.Write(pgwire.Append(out, 'S'))
}

// bind runs a described statement with the client's values.
func (x *exchange) bind() {
	if len(x.statement.params) != x.command.ParamCount {
		x.finishWithOwnError(&translate.Error{Meaning: translate.Syntax, Text: "the server counts other parameters in this statement"})
		return
	}
	long := map[int][]byte{}
	for _, d := range x.command.LongData {
		long[int(d.Param)] = append(long[int(d.Param)], d.Data...)
	}
	params, err := translate.Params(x.command.Execute, long, x.command.ParamCount)
	if err != nil {
		x.finishWithOwnError(err)
		return
	}
	values := make([][]byte, len(params))
	for i, p := range params {
		if values[i], err = translate.ToPostgresParam(p, x.statement.params[i], x.command.Client.Charset, i+1); err != nil {
			x.finishWithOwnError(err)
			return
		}
	}
	x.sendExecute(values)
}

// finishWithOwnError ends an exchange whose statement is wrong in itself, before it has been sent.
func (x *exchange) finishWithOwnError(err error) {
	x.release(true)
	x.Result.Answer = x.command.Client.AppendError(nil, translate.AsError(err))
	x.Finish(policy.OK)
}

// sendExecute sends what makes the statement run.
func (x *exchange) sendExecute(values [][]byte) {
	if x.serverResponded && !x.statementSent && !x.MaySend() {
		x.release(true)
		x.Finish(policy.Misdirected)
		return
	}
	var out []byte
	name := ""
	if x.statement != nil {
		name, x.fields = x.statement.name, x.statement.fields
	} else {
		out = pgwire.AppendParse(nil, "", x.text)
	}
	out = pgwire.AppendBind(out, name, values)
	if x.statement == nil {
		out = pgwire.AppendDescribe(out, 'P', "")
	}
	out = pgwire.Append(pgwire.AppendExecute(out), 'S')
	x.stage, x.statementSent = awaitAnswer, true
	if x.Conn.Write(out); !x.isProbe {
		x.RequestWritten()
	}
}

// handleMessage takes in one message; over: the exchange has ended. last: nothing has come behind it.
func (x *exchange) handleMessage(m pgwire.Message, last bool) (over bool, err error) {
	x.serverResponded = x.serverResponded || !x.statementSent
	switch m.Type {
	case 'S':
		name, value, ok := pgwire.Parameter(m.Body)
		if !ok {
			return false, errMessageOrder
		}
		x.handleParameter(name, value)
		return false, nil
	case 'N':
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

// handleParameter takes in what some servers tell of themselves with each answer.
func (x *exchange) handleParameter(name, value string) {
	switch name {
	case "recovery", "in_hot_standby":
		switch value {
		case "off":
			x.Result.Role = policy.RolePrimary
		case "on":
			x.Result.Role = policy.RoleReplica
		}
	case "lsn_ms":
		x.Result.Position, x.Result.HasPosition = protocol.Position(value)
	}
}

func (x *exchange) handleStartup(m pgwire.Message, last bool) (bool, error) {
	switch m.Type {
	case 'E': // turned away at the door
		x.Conn.Close()
		if translate.OfPostgres(pgwire.ErrorCode(m.Body)) == translate.ServerFull {
			x.Finish(policy.Overloaded)
		} else {
			x.backend.Log("server " + x.addr + ": " + pgwire.ErrorField(m.Body, 'M'))
			x.Finish(policy.ConnectFailed)
		}
		return true, nil
	case 'R':
		return false, x.authenticate(m.Body)
	case 'Z':
		if !last {
			return false, errMessageOrder
		}
		x.Result = dispatch.AttemptResult{}
		x.sendNext()
		return x.finished(), nil
	case 'K':
		x.state.cancelKey, _ = pgwire.ReadKey(m.Body)
	default:
		return false, errMessageOrder
	}
	return false, nil
}

// authenticate goes on with the login. The password itself is never sent.
func (x *exchange) authenticate(body []byte) error {
	kind, data, err := pgwire.Auth(body)
	switch {
	case err != nil:
	case kind == pgwire.AuthFine:
		if x.scram != nil && !x.scram.Valid {
			err = errors.New("the server says yes without having shown that it knows the password")
		}
	case kind == pgwire.AuthSASL:
		if x.backend.scramSecrets == nil {
			if x.backend.scramSecrets, err = pgwire.NewSecrets(x.backend.Password); err != nil {
				return err
			}
		}
		x.scram, data = x.backend.scramSecrets.Talk()
		x.Conn.Write(pgwire.AppendSASLFirst(nil, pgwire.ScramSHA256, data))
	case x.scram == nil:
		err = errMessageOrder
	case kind == pgwire.AuthContinue:
		if data, err = x.scram.Answer(data); err == nil {
			x.Conn.Write(pgwire.AppendSASL(nil, data))
		}
	default:
		err = x.scram.Final(data)
	}
	return err
}

// finished tells that the exchange has ended within a step.
func (x *exchange) finished() bool { return x.Finished() }

// handleDescription takes in what the server says of a statement. It has not run.
func (x *exchange) handleDescription(m pgwire.Message, last bool) (bool, error) {
	var err error
	switch m.Type {
	case '1', '3', 'n':
	case 't':
		x.statement.params, err = pgwire.ParameterTypes(m.Body)
	case 'T':
		x.statement.fields, err = pgwire.Fields(m.Body)
	case 'E':
		x.errorCode, x.errorText = pgwire.ErrorCode(m.Body), pgwire.ErrorField(m.Body, 'M')
	case 'Z':
		if x.errorCode != "" {
			return x.finishWithError(last), nil
		}
		x.state.prepared[x.text] = x.statement
		x.state.preparedOrder = append(x.state.preparedOrder, x.text)
		x.bind()
		return x.finished(), nil
	default:
		err = errMessageOrder
	}
	return false, err
}

func (x *exchange) handleAnswer(m pgwire.Message, last bool) (bool, error) {
	switch m.Type {
	case '1', '2', 'n':
		return false, x.requireOrder(x.commandTag == "" && len(x.rows) == 0)
	case 'T':
		var err error
		x.fields, err = pgwire.Fields(m.Body)
		return false, errors.Join(err, x.requireOrder(x.commandTag == "" && len(x.rows) == 0))
	case 'D':
		if x.commandTag != "" || x.errorCode != "" || x.fields == nil {
			return false, errMessageOrder
		}
		values, err := pgwire.Values(append([]byte(nil), m.Body...), len(x.fields))
		if x.rowBytes += len(m.Body); err == nil && x.rowBytes > maxAnswer {
			err = errAnswerTooLarge
		}
		x.rows = append(x.rows, values)
		return false, err
	case 'C', 'I':
		tag, ok := "", m.Type == 'I'
		if m.Type == 'C' {
			tag, ok = pgwire.Text(m.Body)
		}
		err := x.requireOrder(ok && x.commandTag == "")
		x.commandTag = tag + " "
		return false, err
	case 'E':
		err := x.requireOrder(x.errorCode == "" && x.commandTag == "")
		x.errorCode, x.errorText = pgwire.ErrorCode(m.Body), pgwire.ErrorField(m.Body, 'M')
		return false, err
	case 'Z':
		if m.Body[0] != 'I' || x.commandTag == "" && x.errorCode == "" {
			return false, errMessageOrder
		}
		return x.finishAnswer(last), nil
	}
	return false, errMessageOrder
}

func (x *exchange) requireOrder(sound bool) error {
	if !sound {
		return errMessageOrder
	}
	return nil
}

// finishWithError ends an exchange by the server's error.
func (x *exchange) finishWithError(last bool) bool {
	m := translate.OfPostgres(x.errorCode)
	switch r := m.Result(); {
	case m.Own() && !x.isProbe:
		x.Result.Answer = x.command.Client.AppendError(nil, &translate.Error{Meaning: m, Text: x.errorText})
		x.release(last)
		x.Finish(policy.OK)
	case r == policy.Misdirected:
		x.Result.Role = policy.RoleReplica
		x.release(last)
		x.Finish(r)
	case !x.statementSent && r != policy.Overloaded:
		x.Conn.Close()
		x.Finish(policy.ConnectFailed)
	default:
		x.release(last && r == policy.Overloaded)
		x.Finish(r)
	}
	return true
}

// finishAnswer takes in a whole answer. A probe of a replica goes on with the heartbeat.
func (x *exchange) finishAnswer(last bool) bool {
	if x.errorCode != "" && !(x.isProbe && x.Result.Report.HasRole) {
		return x.finishWithError(last)
	}
	if x.isProbe {
		if x.handleProbeAnswer() {
			return x.finished()
		}
		x.release(last)
		x.Finish(policy.OK)
		return true
	}
	x.release(last)
	x.Result.Answer = x.translatedAnswer()
	x.Finish(policy.OK)
	return true
}

// translatedAnswer is the answer as the client reads it. What can't be written so is the statement's error: it has run.
func (x *exchange) translatedAnswer() []byte {
	r := &translate.Result{Affected: translate.PostgresTag(x.commandTag)}
	if x.command.Translated.InsertID {
		if len(x.rows) > 0 && x.rows[0][0] != nil { // MySQL tells the first number given
			r.InsertID, _ = strconv.ParseUint(string(x.rows[0][0]), 10, 64)
		}
		x.fields, x.rows = nil, nil
	}
	err := x.convertRows(r)
	if err == nil {
		var out []byte
		if out, err = x.command.Client.Append(nil, r, x.command.Prepared); err == nil {
			return out
		}
	}
	return x.command.Client.AppendError(nil, translate.AsError(err))
}

func (x *exchange) convertRows(r *translate.Result) error {
	for _, f := range x.fields {
		c, err := translate.PostgresColumn(f.Name, f.Type, f.Modifier)
		if err != nil {
			return err
		}
		r.Columns = append(r.Columns, c)
	}
	for _, row := range x.rows {
		values := make([]translate.Value, len(row))
		for i, v := range row {
			var err error
			if values[i], err = translate.FromPostgres(r.Columns[i], x.fields[i].Type, v); err != nil {
				return err
			}
		}
		r.Rows = append(r.Rows, values)
	}
	return nil
}

// handleProbeAnswer takes in the answer to one query of a probe; true: another one follows.
func (x *exchange) handleProbeAnswer() bool {
	rep := &x.Result.Report
	value := ""
	if len(x.rows) == 1 && len(x.rows[0]) == 1 {
		value = string(x.rows[0][0])
	}
	if !rep.HasRole {
		if value != "t" && value != "f" {
			return false
		}
		rep.HasRole, rep.RoleIsCurrent, rep.IsPrimary = true, true, value == "f"
		if rep.IsPrimary || x.backend.Heartbeat == "" {
			return false
		}
		x.text, x.fields, x.rows, x.commandTag, x.rowBytes = x.backend.Heartbeat, nil, nil, "", 0
		x.sendExecute(nil)
		return true
	}
	if x.errorCode != "" { // the role is known all the same; the position stays unknown
		x.backend.Log("server " + x.addr + ": the heartbeat query fails")
	} else if value != "" {
		rep.Position, rep.HasPosition = protocol.Position(value)
	}
	return false
}

func (x *exchange) release(clean bool) { x.ReleaseConn(clean, x.state) }
