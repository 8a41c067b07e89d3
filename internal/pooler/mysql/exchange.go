package mysql

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/translate"
)

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

// The first bytes of packets that do not belong to a result set.
const (
	packetOK         = 0x00
	packetAuthMore   = 0x01
	packetAuthSwitch = 0xfe
	packetError      = 0xff
)

// exchange is one command on one connection, with what must go before it: the login, the database, the PREPARE. Until the command
// itself is sent nothing can have run.
type exchange struct {
	upstream.Conversation
	backend         *Backend
	command         *Command
	text            string // of the command, as a server of its version knows it
	columnsRenamed  bool   // columns of the answer have names that such a server knows
	database        string
	state           *connState
	stage           stage
	challenge       []byte // of the login
	definitionsLeft int    // packets of definitions still to come
	statement       mysql.PrepareOK
	answer          *mysql.Answer
}

// start takes a connection for the exchange.
func (e *exchange) start(addr string, callbacks dispatch.AttemptCallbacks) dispatch.Call {
	e.Start(&e.backend.Connector, addr, e, callbacks, func(state any) {
		e.state = state.(*connState)
		e.sendNext()
	}, func() { e.state = &connState{} })
	return e
}

// Data takes in what the server has sent.
func (e *exchange) Data(_ time.Duration, data []byte) { e.Receive(data, e) }

// Closed ends the exchange. Before the command's last byte has gone out nothing can have run.
func (e *exchange) Closed(err error) { e.ConnClosed(err, e.RequestSent, e.FailMalformed) }

// FailMalformed is documented with upstream.Protocol.
func (e *exchange) FailMalformed(err error) { e.EndMalformed(err) }

// NextMessage is documented with upstream.Protocol.
func (e *exchange) NextMessage(input []byte) (n int, done bool, err error) {
	seq, payload, n, err := mysql.Next(input, mysql.MaxAnswer)
	if err == nil && n > 0 && len(payload) == 0 {
		err = mysql.ErrFraming
	}
	if err != nil || n == 0 {
		return n, false, err
	}
	done, err = e.handlePacket(seq, append([]byte(nil), payload...), n == len(input))
	return n, done, err
}

// handlePacket takes in one packet. over: the exchange has ended. last: no more bytes have come yet.
func (e *exchange) handlePacket(seq byte, payload []byte, inputDrained bool) (done bool, err error) {
	e.ServerResponded = true
	if e.stage == awaitAnswer {
		complete, err := e.answer.Feed(seq, payload)
		if err != nil || !complete {
			return false, err
		}
		return e.finishAnswer(inputDrained), nil
	}
	if payload[0] == packetError {
		return e.handleSetupError(payload)
	}
	switch e.stage {
	case awaitGreeting:
		err = e.handleGreeting(seq, payload)
	case awaitLogin:
		err = e.handleLogin(seq, payload)
	case awaitInitDB:
		e.state.database = e.database
		e.sendNext()
	case awaitPrepare:
		err = e.handlePrepared(payload)
	case awaitDefinitions:
		e.definitionsLeft--
		e.executeOncePrepared()
	}
	return e.Finished(), err
}

// handleSetupError ends an exchange whose command has never been sent. A statement that is wrong in itself gets the
// server's own message; everything else counts as no connection made.
func (e *exchange) handleSetupError(payload []byte) (done bool, err error) {
	code, sqlState, text, ok := mysql.ParseError(payload)
	result := resultForError(code, sqlState)
	if e.stage < awaitInitDB && result != policy.Overloaded || !ok {
		e.LogFailure(text)
		result = policy.ConnectFailed
	}
	switch result {
	case policy.OK:
		e.Result.Answer = mysql.Append(nil, 1, payload)
		e.release(true)
	case policy.Misdirected:
		e.Result.Role = policy.RoleReplica
		e.release(true)
	case policy.ServerError:
		result = policy.ConnectFailed
		e.Conn.Close()
	default:
		e.Conn.Close()
	}
	e.Finish(result)
	return true, nil
}

// sendNext sends what is still to go before the command, or the command.
func (e *exchange) sendNext() {
	if e.state.database != e.database && !e.IsProbe {
		e.stage = awaitInitDB
		e.writeCommand(mysql.Command(mysql.ComInitDB, e.database))
		return
	}
	if !e.command.Prepared {
		e.sendCommand(mysql.Command(mysql.ComQuery, e.queryText(e.TimeLeft())))
		return
	}
	e.prepare()
}

// queryText returns the text of a plain query, with the time that is left in its comment.
func (e *exchange) queryText(timeLeft time.Duration) string {
	text := e.command.queryText(timeLeft)
	if e.text == e.command.Text {
		return text
	}
	text, _ = translate.ForVersion(text, e.backend.Version(e.Addr()))
	return text
}

// writeCommand sends a command.
func (e *exchange) writeCommand(payload []byte) { e.Conn.Write(mysql.Append(nil, 0, payload)) }

// sendCommand sends the command itself, unless it must not be sent to this server any more.
func (e *exchange) sendCommand(payload []byte) {
	if e.Overtaken() {
		e.release(true)
		e.Finish(policy.Misdirected)
		return
	}
	e.stage = awaitAnswer
	e.RequestSent = true
	e.answer = &mysql.Answer{Binary: e.command.Prepared}
	e.writeCommand(payload)
	if !e.IsProbe {
		e.RequestWritten()
	}
}

// finishAnswer takes in a complete answer. A probe of a replica goes on with the heartbeat. over: the exchange has ended.
func (e *exchange) finishAnswer(inputDrained bool) (done bool) {
	if e.IsProbe && e.handleProbeAnswer() {
		return false
	}
	e.release(inputDrained)
	if e.answer.Err == nil {
		e.Result.Answer = e.clientAnswer()
		e.Finish(policy.OK)
		return true
	}
	code, sqlState, _, ok := mysql.ParseError(e.answer.Err)
	result := resultForError(code, sqlState)
	if !ok || e.IsProbe && result == policy.OK {
		result = policy.ServerError
	}
	switch result {
	case policy.OK:
		e.Result.Answer = e.clientAnswer()
	case policy.Misdirected:
		e.Result.Role = policy.RoleReplica
	}
	e.Finish(result)
	return true
}

// handleProbeAnswer takes in the answer to one query of a probe; true: another one follows.
func (e *exchange) handleProbeAnswer() bool {
	value, ok := mysql.TextColumn(e.answer.Row)
	if !e.Result.Status.HasRole {
		if e.answer.Err != nil || !ok {
			return false
		}
		if !e.ReportRole(value == "0" || value == "OFF") {
			return false
		}
		e.sendCommand(mysql.Command(mysql.ComQuery, e.backend.Heartbeat))
		return true
	}
	if e.answer.Err != nil { // the role is known all the same; the position stays unknown
		e.LogFailure("the heartbeat query fails")
		e.answer.Err = nil
	} else if ok {
		e.ReportPosition(value)
	}
	return false
}

// clientAnswer returns the answer as the client reads it: as the server gave it, unless the client writes in a charset of 8 bits, or
// names or numbers in it are newer than the client.
func (e *exchange) clientAnswer() []byte {
	packets := e.answer.Raw
	if e.answer.Err != nil {
		packets = mysql.Append(nil, 1, e.command.Client.OldError(e.answer.Err))
	}
	if !e.command.Client.Foreign() && !e.columnsRenamed {
		return packets
	}
	rename := translate.OldColumn
	if !e.columnsRenamed {
		rename = nil
	}
	recoded, err := e.command.Client.Recode(packets, e.command.Prepared, rename)
	if err != nil { // the statement has run: its error says why nothing is seen of it
		return e.command.Client.AppendError(nil, translate.AsError(err))
	}
	return recoded
}

// release gives the connection back. clean is false where more has come than the answer.
func (e *exchange) release(clean bool) { e.ReleaseConn(clean, e.state) }

// resultForError returns what a server's error means to the policy. OK: the statement itself is wrong, or breaks a constraint, wherever it
// runs; the client must hear that from the server.
func resultForError(code uint16, sqlState string) policy.Result {
	return translate.OfMySQL(code, sqlState).Result()
}
