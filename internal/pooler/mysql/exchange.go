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
func (x *exchange) start(addr string, a dispatch.AttemptCallbacks) dispatch.Call {
	x.Start(&x.backend.Connector, addr, x, a, func(state any) {
		x.state = state.(*connState)
		x.sendNext()
	}, func() { x.state = &connState{} })
	return x
}

// Data takes in what the server has sent.
func (x *exchange) Data(_ time.Duration, b []byte) { x.Receive(b, x) }

// Closed ends the exchange. Before the command's last byte has gone out nothing can have run.
func (x *exchange) Closed(err error) { x.ConnClosed(err, x.RequestSent, x.FailMalformed) }

// FailMalformed is documented with upstream.Protocol.
func (x *exchange) FailMalformed(err error) { x.EndMalformed(err) }

// NextMessage is documented with upstream.Protocol.
func (x *exchange) NextMessage(input []byte) (n int, over bool, err error) {
	seq, payload, n, err := mysql.Next(input, mysql.MaxAnswer)
	if err == nil && n > 0 && len(payload) == 0 {
		err = mysql.ErrFraming
	}
	if err != nil || n == 0 {
		return n, false, err
	}
	over, err = x.handlePacket(seq, append([]byte(nil), payload...), n == len(input))
	return n, over, err
}

// handlePacket takes in one packet. over: the exchange has ended. last: no more bytes have come yet.
func (x *exchange) handlePacket(seq byte, payload []byte, last bool) (over bool, err error) {
	x.ServerResponded = true
	if x.stage == awaitAnswer {
		complete, err := x.answer.Feed(seq, payload)
		if err != nil || !complete {
			return false, err
		}
		return x.finishAnswer(last), nil
	}
	if payload[0] == packetError {
		return x.handleRejection(payload)
	}
	switch x.stage {
	case awaitGreeting:
		err = x.handleGreeting(seq, payload)
	case awaitLogin:
		err = x.handleLogin(seq, payload)
	case awaitInitDB:
		x.state.database = x.database
		x.sendNext()
	case awaitPrepare:
		err = x.handlePrepared(payload)
	case awaitDefinitions:
		x.definitionsLeft--
		x.executeOncePrepared()
	}
	return x.Finished(), err
}

// handleRejection ends an exchange whose command has never been sent. A statement that is wrong in itself gets the
// server's own message; everything else counts as no connection made.
func (x *exchange) handleRejection(payload []byte) (over bool, err error) {
	code, sqlState, text, ok := mysql.ParseError(payload)
	result := resultOf(code, sqlState)
	if x.stage < awaitInitDB && result != policy.Overloaded || !ok {
		x.LogFailure(text)
		result = policy.ConnectFailed
	}
	switch result {
	case policy.OK:
		x.Result.Answer = mysql.Append(nil, 1, payload)
		x.release(true)
	case policy.Misdirected:
		x.Result.Role = policy.RoleReplica
		x.release(true)
	case policy.ServerError:
		result = policy.ConnectFailed
		x.Conn.Close()
	default:
		x.Conn.Close()
	}
	x.Finish(result)
	return true, nil
}

// sendNext sends what is still to go before the command, or the command.
func (x *exchange) sendNext() {
	if x.state.database != x.database && !x.IsProbe {
		x.stage = awaitInitDB
		x.writeCommand(mysql.Command(mysql.ComInitDB, x.database))
		return
	}
	if !x.command.Prepared {
		x.sendCommand(mysql.Command(mysql.ComQuery, x.queryText(x.TimeLeft())))
		return
	}
	x.prepare()
}

// queryText returns the text of a plain query, with the time that is left in its comment.
func (x *exchange) queryText(left time.Duration) string {
	text := x.command.queryText(left)
	if x.text == x.command.Text {
		return text
	}
	text, _ = translate.ForVersion(text, x.backend.Version(x.Addr()))
	return text
}

// writeCommand sends a command.
func (x *exchange) writeCommand(payload []byte) { x.Conn.Write(mysql.Append(nil, 0, payload)) }

// sendCommand sends the command itself, unless it must not be sent to this server any more.
func (x *exchange) sendCommand(payload []byte) {
	if x.Overtaken() {
		x.release(true)
		x.Finish(policy.Misdirected)
		return
	}
	x.stage = awaitAnswer
	x.RequestSent = true
	x.answer = &mysql.Answer{Binary: x.command.Prepared}
	x.writeCommand(payload)
	if !x.IsProbe {
		x.RequestWritten()
	}
}

// finishAnswer takes in a complete answer. A probe of a replica goes on with the heartbeat. over: the exchange has ended.
func (x *exchange) finishAnswer(last bool) (over bool) {
	if x.IsProbe && x.handleProbeAnswer() {
		return false
	}
	x.release(last)
	if x.answer.Err == nil {
		x.Result.Answer = x.recodedAnswer()
		x.Finish(policy.OK)
		return true
	}
	code, sqlState, _, ok := mysql.ParseError(x.answer.Err)
	result := resultOf(code, sqlState)
	if !ok || x.IsProbe && result == policy.OK {
		result = policy.ServerError
	}
	switch result {
	case policy.OK:
		x.Result.Answer = x.recodedAnswer()
	case policy.Misdirected:
		x.Result.Role = policy.RoleReplica
	}
	x.Finish(result)
	return true
}

// handleProbeAnswer takes in the answer to one query of a probe; true: another one follows.
func (x *exchange) handleProbeAnswer() bool {
	value, ok := mysql.TextColumn(x.answer.Row)
	if !x.Result.Status.HasRole {
		if x.answer.Err != nil || !ok {
			return false
		}
		if !x.ReportRole(value == "0" || value == "OFF") {
			return false
		}
		x.sendCommand(mysql.Command(mysql.ComQuery, x.backend.Heartbeat))
		return true
	}
	if x.answer.Err != nil { // the role is known all the same; the position stays unknown
		x.LogFailure("the heartbeat query fails")
		x.answer.Err = nil
	} else if ok {
		x.ReportPosition(value)
	}
	return false
}

// recodedAnswer returns the answer as the client reads it: as the server gave it, unless the client writes in a charset of 8 bits, or
// names or numbers in it are newer than the client.
func (x *exchange) recodedAnswer() []byte {
	packets := x.answer.Raw
	if x.answer.Err != nil {
		packets = mysql.Append(nil, 1, x.command.Client.OldError(x.answer.Err))
	}
	if !x.command.Client.Foreign() && !x.columnsRenamed {
		return packets
	}
	rename := translate.OldColumn
	if !x.columnsRenamed {
		rename = nil
	}
	recoded, err := x.command.Client.Recode(packets, x.command.Prepared, rename)
	if err != nil { // the statement has run: its error says why nothing is seen of it
		return x.command.Client.AppendError(nil, translate.AsError(err))
	}
	return recoded
}

// release gives the connection back. clean is false where more has come than the answer.
func (x *exchange) release(clean bool) { x.ReleaseConn(clean, x.state) }

// resultOf returns what a server's error means to the policy. OK: the statement itself is wrong, or breaks a constraint, wherever it
// runs; the client must hear that from the server.
func resultOf(code uint16, sqlState string) policy.Result {
	return translate.OfMySQL(code, sqlState).Result()
}
