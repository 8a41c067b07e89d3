package mysql

import (
	"errors"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/protocol"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/routes"
	"threadsail/internal/translate"
)

const (
	maxPreparedPerConn = 64 // statements kept prepared on one connection to a server
	roleQuery          = "SELECT @@global.read_only"
)

var errStalled = errors.New("an answer has begun and does not end")

// Backend takes attempts and probes to MySQL servers.
type Backend struct {
	upstream.Connector
	User, Password string
	Database       string
	Heartbeat      string // the probe's second query; empty: none
	Version        func(addr string) routes.Version
	Log            func(string)
}

// connState is what is known of a connection to a server.
type connState struct {
	database      string
	prepared      map[string]mysql.PrepareOK // by database and text
	preparedOrder []string
}

// Send starts an attempt.
func (b *Backend) Send(addr string, payload any, left time.Duration, a dispatch.AttemptCallbacks) dispatch.Call {
	cmd := payload.(*Command)
	x := &exchange{backend: b, addr: addr, command: cmd, database: cmd.Database, deadline: b.Loop.Now() + left}
	x.text, x.columnsRenamed = translate.ForVersion(cmd.Text, b.Version(addr))
	return x.start(a)
}

// Probe asks a server for its role, and a replica for its position.
func (b *Backend) Probe(addr string, done func(dispatch.AttemptResult)) dispatch.Call {
	start := func(done func(dispatch.AttemptResult)) dispatch.Call {
		x := &exchange{backend: b, addr: addr, command: &Command{Text: roleQuery}, text: roleQuery, deadline: b.Loop.Now() + b.ConnectTimeout,
			isProbe: true}
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
	awaitGreeting stage = iota
	awaitLogin
	awaitInitDB
	awaitPrepare     // the first packet of the answer to PREPARE
	awaitDefinitions // and those that describe the statement
	awaitAnswer
)

// exchange is one command on one connection, with what must go before it: the login, the database, the PREPARE.
// Until the command itself is sent nothing can have run.
type exchange struct {
	upstream.Exchange
	backend         *Backend
	addr            string
	command         *Command
	text            string // of the command, as a server of its version knows it
	columnsRenamed  bool   // so are columns of the answer
	database        string
	deadline        time.Duration
	isProbe         bool
	state           *connState
	input           []byte
	stage           stage
	serverResponded bool   // for the server's word, before the command
	challenge       []byte // of the login
	commandSent     bool
	endedBeforeSend bool // ended while the command was to be sent
	definitionsLeft int  // packets of definitions still to come
	statement       mysql.PrepareOK
	answer          *mysql.Answer
}

func (x *exchange) start(a dispatch.AttemptCallbacks) dispatch.Call {
	if x.database == "" {
		x.database = x.backend.Database
	}
	x.Start(&x.backend.Connector, x.addr, x, a, func(st any) {
		x.state = st.(*connState)
		x.sendNext()
	}, func() { x.state = &connState{prepared: map[string]mysql.PrepareOK{}} })
	return x
}

// Closed ends the exchange. Before the command's last byte has gone out nothing can have run.
func (x *exchange) Closed(err error) { x.ConnClosed(err, x.commandSent, x.failMalformed) }

// discard ends an exchange on a connection that is of no more use.
func (x *exchange) discard(r policy.Result) {
	x.Conn.Close()
	x.Finish(r)
}

func (x *exchange) failMalformed(err error) {
	x.backend.Log("server " + x.addr + ": " + err.Error())
	if x.Conn.Close(); x.commandSent {
		x.Finish(policy.ServerError)
	} else {
		x.Finish(policy.ConnectFailed)
	}
}

func (x *exchange) Data(_ time.Duration, b []byte) {
	if !x.Received(len(b), x.commandSent && !x.isProbe, func() { x.failMalformed(errStalled) }) {
		return
	}
	x.input = append(x.input, b...)
	rest := x.input
	for {
		seq, p, n, err := mysql.Next(rest, mysql.MaxAnswer)
		if err == nil && n > 0 && len(p) == 0 {
			err = mysql.ErrFraming
		}
		if err != nil {
			x.failMalformed(err)
			return
		}
		if n == 0 {
			break
		}
		rest = rest[n:]
		over, err := x.handlePacket(seq, append([]byte(nil), p...), len(rest) == 0)
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

// handlePacket takes in one packet; over: the exchange has ended. last: no more bytes have come yet.
func (x *exchange) handlePacket(seq byte, p []byte, last bool) (over bool, err error) {
	x.serverResponded = true
	if x.stage < awaitAnswer && p[0] == 0xff {
		return x.handleRejection(p)
	}
	switch x.stage {
	case awaitGreeting:
		g, err := mysql.ParseGreeting(p)
		if err != nil {
			return false, err
		}
		x.challenge = g.Challenge
		x.Conn.Write(mysql.AppendLogin(nil, seq+1, g, x.backend.User, x.backend.Password, ""))
		x.stage = awaitLogin // the database follows: a client that names an unknown one must not look like a lost server
	case awaitLogin:
		switch p[0] {
		case 0xfe:
			plugin, challenge, err := mysql.ParseSwitch(p)
			if err != nil {
				return false, err
			}
			answer, err := mysql.AuthResponse(plugin, challenge, x.backend.Password)
			if err != nil {
				return false, err
			}
			x.challenge = challenge
			x.Conn.Write(mysql.Append(nil, seq+1, answer))
			return false, nil
		case 1:
			answer, err := mysql.AuthMore(p, x.challenge, x.backend.Password)
			if answer != nil {
				x.Conn.Write(mysql.Append(nil, seq+1, answer))
			}
			return false, err
		}
		if p[0] != 0 {
			return false, errors.New("the login is not answered by OK")
		}
		x.sendNext()
	case awaitInitDB:
		x.state.database = x.database
		x.sendNext()
	case awaitPrepare:
		if x.statement, err = mysql.ParsePrepareOK(p); err != nil {
			return false, err
		}
		if x.statement.Params != x.command.ParamCount { // our count of the marks differs: the values can't be laid out
			x.Result.Answer = mysql.Append(nil, 1, mysql.Error(mysql.ErrWrongArgs, "HY000",
				"the server counts other parameters in this statement"))
			x.discard(policy.OK)
			return true, nil
		}
		for _, n := range []int{x.statement.Params, x.statement.Columns} {
			if n > 0 {
				x.definitionsLeft += n + 1 // and an EOF
			}
		}
		if x.stage = awaitDefinitions; x.definitionsLeft == 0 {
			x.finishPrepare()
		}
	case awaitDefinitions:
		if x.definitionsLeft--; x.definitionsLeft == 0 {
			x.finishPrepare()
		}
	case awaitAnswer:
		whole, err := x.answer.Feed(seq, p)
		if err != nil || !whole {
			return false, err
		}
		return x.finishAnswer(last), nil
	}
	return x.endedBeforeSend, nil
}

// handleRejection ends an exchange whose command has never been sent. A statement that is wrong in itself gets the
// server's own words; all else is no connection made.
func (x *exchange) handleRejection(p []byte) (bool, error) {
	code, sqlState, text, ok := mysql.ParseError(p)
	r := resultOf(code, sqlState)
	if x.stage < awaitInitDB && r != policy.Overloaded || !ok {
		x.backend.Log("server " + x.addr + ": " + text)
		r = policy.ConnectFailed
	}
	switch r {
	case policy.OK:
		x.Result.Answer = mysql.Append(nil, 1, p)
		x.release(true)
	case policy.Misdirected:
		x.Result.Role = policy.RoleReplica
		x.release(true)
	default:
		if r == policy.ServerError {
			r = policy.ConnectFailed
		}
		x.Conn.Close()
	}
	x.Finish(r)
	return true, nil
}

// sendNext sends what is still to go before the command, or the command.
func (x *exchange) sendNext() {
	if x.state.database != x.database && !x.isProbe {
		x.stage = awaitInitDB
		x.writeCommand(mysql.Command(mysql.ComInitDB, x.database))
		return
	}
	if !x.command.Prepared {
		x.sendCommand(mysql.Command(mysql.ComQuery, x.queryText(x.deadline-x.backend.Loop.Now())))
		return
	}
	if ok, found := x.state.prepared[x.preparedKey()]; found {
		x.statement = ok
		x.sendExecute()
		return
	}
	x.stage, x.definitionsLeft = awaitPrepare, 0
	x.writeCommand(mysql.Command(mysql.ComStmtPrepare, x.text))
}

// queryText is the text of a plain query, with the time that is left in its comment.
func (x *exchange) queryText(left time.Duration) string {
	if x.text == x.command.Text {
		return x.command.queryText(left)
	}
	text, _ := translate.ForVersion(x.command.queryText(left), x.backend.Version(x.addr))
	return text
}

func (x *exchange) preparedKey() string { return x.database + "\x00" + x.text }

// finishPrepare notes a statement down, and gives the oldest one of the connection up when there are too many.
func (x *exchange) finishPrepare() {
	if len(x.state.preparedOrder) >= maxPreparedPerConn {
		old := x.state.preparedOrder[0]
		x.writeCommand(mysql.StmtClose(x.state.prepared[old].ID))
		delete(x.state.prepared, old)
		x.state.preparedOrder = x.state.preparedOrder[1:]
	}
	x.state.prepared[x.preparedKey()] = x.statement
	x.state.preparedOrder = append(x.state.preparedOrder, x.preparedKey())
	x.sendExecute()
}

func (x *exchange) sendExecute() {
	for _, d := range x.command.LongData {
		x.writeCommand(d.Payload(x.statement.ID))
	}
	exec := x.command.Execute
	if x.command.utf8Execute != nil {
		exec = *x.command.utf8Execute
	}
	x.sendCommand(exec.Payload(x.statement.ID))
}

func (x *exchange) writeCommand(p []byte) { x.Conn.Write(mysql.Append(nil, 0, p)) }

func (x *exchange) sendCommand(p []byte) {
	if x.serverResponded && !x.commandSent && !x.MaySend() {
		x.endedBeforeSend = true
		x.release(true)
		x.Finish(policy.Misdirected)
		return
	}
	x.stage, x.commandSent = awaitAnswer, true
	x.answer = &mysql.Answer{Binary: x.command.Prepared}
	if x.writeCommand(p); !x.isProbe {
		x.RequestWritten()
	}
}

// finishAnswer takes in a whole answer. A probe of a replica goes on with the heartbeat.
func (x *exchange) finishAnswer(last bool) bool {
	if x.isProbe {
		if x.handleProbeAnswer() {
			return false
		}
	}
	x.release(last)
	if x.answer.Err == nil {
		x.Result.Answer = x.recodedAnswer()
		x.Finish(policy.OK)
		return true
	}
	code, sqlState, _, ok := mysql.ParseError(x.answer.Err)
	r := resultOf(code, sqlState)
	if !ok || x.isProbe && r == policy.OK {
		r = policy.ServerError
	}
	switch r {
	case policy.OK:
		x.Result.Answer = x.recodedAnswer()
	case policy.Misdirected:
		x.Result.Role = policy.RoleReplica
	}
	x.Finish(r)
	return true
}

// recodedAnswer is the answer as the client reads it: as the server gave it, unless the client writes in a charset of 8 bits, or names
// or numbers in it are newer than the client.
func (x *exchange) recodedAnswer() []byte {
	raw := x.answer.Raw
	if x.answer.Err != nil {
		raw = mysql.Append(nil, 1, x.command.Client.OldError(x.answer.Err))
	}
	if !x.command.Client.Foreign() && !x.columnsRenamed {
		return raw
	}
	rename := translate.OldColumn
	if !x.columnsRenamed {
		rename = nil
	}
	out, err := x.command.Client.Recode(raw, x.command.Prepared, rename)
	if err != nil { // the statement has run: its error says why nothing is seen of it
		return x.command.Client.AppendError(nil, translate.AsError(err))
	}
	return out
}

// handleProbeAnswer takes in the answer to one query of a probe; true: another one follows.
func (x *exchange) handleProbeAnswer() bool {
	rep := &x.Result.Report
	value, ok := mysql.TextColumn(x.answer.Row)
	if !rep.HasRole {
		if x.answer.Err != nil || !ok {
			return false
		}
		rep.HasRole, rep.RoleIsCurrent, rep.IsPrimary = true, true, value == "0" || value == "OFF"
		if rep.IsPrimary || x.backend.Heartbeat == "" {
			return false
		}
		x.sendCommand(mysql.Command(mysql.ComQuery, x.backend.Heartbeat))
		return true
	}
	if x.answer.Err != nil { // the role is known all the same; the position stays unknown
		x.backend.Log("server " + x.addr + ": the heartbeat query fails")
		x.answer.Err = nil
	} else if ok {
		rep.Position, rep.HasPosition = protocol.Position(value)
	}
	return false
}

func (x *exchange) release(clean bool) { x.ReleaseConn(clean, x.state) }

// resultOf puts a server's error into the core's words. OK: the statement itself is wrong, or breaks a constraint,
// wherever it runs; the client must hear that from the server.
func resultOf(code uint16, sqlState string) policy.Result {
	return translate.OfMySQL(code, sqlState).Result()
}
