package mysql

import (
	"errors"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/translate"
)

// stage is the step of an exchange: the packet from the server that the exchange waits for.
type stage uint8

const (
	awaitGreeting stage = iota
	awaitLogin
	awaitInitDB
	awaitPrepare     // the first packet of the answer to PREPARE
	awaitDefinitions // the remaining packets of that answer, which describe parameters and columns
	awaitAnswer
)

// First bytes of packets that are not part of a result set.
const (
	packetOK         = 0x00
	packetAuthMore   = 0x01
	packetAuthSwitch = 0xfe
	packetError      = 0xff
)

// errUnexpectedPacket is logged if a server sends more than the answer to a setup command.
var errUnexpectedPacket = errors.New("more than the answer to a setup command")

// exchange is the execution of one command on one connection, including the setup that must precede the command: the login, the
// selection of the database and the PREPARE. Nothing can have been executed before the command itself is sent.
type exchange struct {
	upstream.Conversation
	backend         *Backend
	command         *Command
	text            string // of the command, adapted to the version of the server
	columnsRenamed  bool   // the adapted text makes the server return other column names than the client expects
	database        string
	state           *connState
	stage           stage
	challenge       []byte // sent by the server for the login
	definitionsLeft int    // number of definition packets not received yet
	inputDrained    bool   // no bytes after the packet that is being processed have been received yet
	statement       mysql.PrepareOK
	answer          *mysql.Answer
}

// start gets a connection to the server at addr and begins the exchange on it. callbacks receive the outcome.
func (e *exchange) start(addr string, callbacks dispatch.AttemptCallbacks) dispatch.Call {
	e.Start(&e.backend.Connector, addr, e, callbacks, func(state any) {
		e.state = state.(*connState)
		e.sendNext()
	}, func() { e.state = &connState{} })
	return e
}

// hasDatabase reports whether a connection of the pool has the database of the exchange.
func (e *exchange) hasDatabase(state any) bool { return state.(*connState).database == e.database }

// canUse reports whether the exchange can use a connection of the pool. A connection with a database can't go back to having none.
func (e *exchange) canUse(state any) bool {
	return e.database != "" || e.IsProbe || state.(*connState).database == ""
}

// Data processes bytes received from the server.
func (e *exchange) Data(_ time.Duration, data []byte) {
	e.Receive(data, e)
	e.EndSeen = e.PartialMessage() && mysql.EndsEOF(data)
}

// Closed ends the exchange when the connection is lost. Nothing can have been executed before the last byte of the command is sent.
func (e *exchange) Closed(error) { e.ConnClosed(e.RequestSent) }

// FailMalformed implements upstream.Protocol.
func (e *exchange) FailMalformed(err error) { e.EndMalformed(err) }

// NextMessage implements upstream.Protocol.
func (e *exchange) NextMessage(input []byte) (n int, done bool, err error) {
	seq, payload, n, err := mysql.Next(input, mysql.MaxAnswer)
	if err == nil && n > 0 && len(payload) == 0 {
		err = mysql.ErrFraming
	}
	if err != nil || n == 0 {
		return n, false, err
	}
	e.inputDrained = n == len(input)
	done, err = e.handlePacket(seq, append([]byte(nil), payload...))
	return n, done, err
}

// handlePacket processes one packet from the server and reports whether the exchange has ended.
func (e *exchange) handlePacket(seq byte, payload []byte) (done bool, err error) {
	e.ServerResponded = true
	if e.stage == awaitAnswer {
		complete, err := e.answer.Feed(seq, payload)
		if err != nil || !complete {
			return false, err
		}
		return e.finishAnswer()
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
		if err = e.requireDrained(); err == nil {
			e.state.database = e.database
			e.sendNext()
		}
	case awaitPrepare:
		err = e.handlePrepared(payload)
	case awaitDefinitions:
		e.definitionsLeft--
		err = e.executeOncePrepared()
	}
	return e.Finished(), err
}

// requireDrained returns errUnexpectedPacket if the server has sent more than the answer to a command, before the next command is sent:
// it would be taken for the answer to that one.
func (e *exchange) requireDrained() error {
	if e.inputDrained {
		return nil
	}
	return errUnexpectedPacket
}

// handleSetupError ends an exchange after an error packet that arrived before the command was sent. If the statement itself is
// wrong, the server's error becomes the answer. Malformed error packets, server errors and all login errors but an overload count as a
// failed connection.
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
		e.release()
	case policy.Misdirected:
		e.Result.Role = policy.RoleReplica
		e.release()
	case policy.ServerError:
		result = policy.ConnectFailed
		e.Conn.Close()
	default:
		e.Conn.Close()
	}
	e.Finish(result)
	return true, nil
}

// sendNext sends the next setup command that the connection still needs, or else the command itself.
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

// queryText returns the text of a COM_QUERY command for the version of the server. If the statement has a comment, the comment
// carries timeLeft.
func (e *exchange) queryText(timeLeft time.Duration) string {
	text := e.command.queryText(timeLeft)
	if e.text == e.command.Text {
		return text
	}
	text, _ = translate.ForVersion(text, e.backend.Version(e.Addr()))
	return text
}

// writeCommand writes a command packet to the connection.
func (e *exchange) writeCommand(payload []byte) { e.Conn.Write(mysql.Append(nil, 0, payload)) }

// sendCommand sends the command itself, behind its long parameter values. If the command must not be sent to this server any more,
// sendCommand sends none of them, releases the connection and finishes the exchange as misdirected: the server would keep the values
// for the next EXECUTE of the statement on this connection, which may be another client's.
func (e *exchange) sendCommand(payload []byte, longData ...[]byte) {
	if e.Overtaken() {
		e.release()
		e.Finish(policy.Misdirected)
		return
	}
	e.stage = awaitAnswer
	e.RequestSent = true
	e.answer = &mysql.Answer{Binary: e.command.Prepared}
	var request []byte
	for _, data := range longData {
		request = mysql.Append(request, 0, data)
	}
	e.Conn.Write(mysql.Append(request, 0, payload))
	if !e.IsProbe {
		e.RequestWritten()
	}
}

// finishAnswer processes a complete answer and reports whether the exchange has ended. A probe of a replica continues with the
// heartbeat query.
func (e *exchange) finishAnswer() (done bool, err error) {
	if e.IsProbe && e.handleProbeAnswer() {
		if err := e.requireDrained(); err != nil {
			return false, err
		}
		e.sendCommand(mysql.Command(mysql.ComQuery, e.backend.Heartbeat))
		return false, nil
	}
	e.release()
	if e.answer.Err == nil {
		e.Result.Answer = e.clientAnswer()
		e.Finish(policy.OK)
		return true, nil
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
	return true, nil
}

// handleProbeAnswer records the answer to one query of a probe and reports whether the heartbeat query follows.
func (e *exchange) handleProbeAnswer() bool {
	value, ok := mysql.TextColumn(e.answer.Row)
	if !e.Result.Status.HasRole {
		if e.answer.Err != nil || !ok {
			return false
		}
		return e.ReportRole(value == "0" || value == "OFF")
	}
	if e.answer.Err != nil { // the role is known, only the position stays unknown
		e.LogFailure("the heartbeat query fails")
		e.answer.Err = nil
	} else if ok {
		e.ReportPosition(value)
	}
	return false
}

// clientAnswer returns the answer in the form that the client expects. It is the server's answer unless the client uses an 8-bit
// character set, or the answer has column names or error codes that are newer than the client.
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
	if err != nil { // the statement has been executed; the error says why its result can't be shown
		return e.command.Client.AppendError(nil, translate.AsError(err))
	}
	return recoded
}

// release returns the connection to the pool, or closes it if bytes after the answer have been received.
func (e *exchange) release() { e.ReleaseConn(e.inputDrained, e.state) }

// resultForError returns the policy's result for an error from a server. The result is policy.OK if the statement would fail on any
// server, because it is wrong or violates a constraint; the server's error is then sent to the client.
func resultForError(code uint16, sqlState string) policy.Result {
	return translate.OfMySQL(code, sqlState).Result()
}
