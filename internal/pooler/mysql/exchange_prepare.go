package mysql

import (
	"errors"

	"threadsail/internal/policy"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/translate"
)

// The steps of an exchange that precede its command: the login and the PREPARE of its statement.

// errLoginNotOK is logged if a server answers the login with an unexpected packet instead of OK.
var errLoginNotOK = errors.New("login response is not an OK packet")

// handleGreeting answers the server's greeting with the login, which names no database. The database is selected after the login, so
// that an unknown database named by a client is not mistaken for a failed connection.
func (e *exchange) handleGreeting(seq byte, payload []byte) error {
	greeting, err := mysql.ParseGreeting(payload)
	if err := errors.Join(err, e.requireDrained()); err != nil {
		return err
	}
	e.challenge = greeting.Challenge
	e.Conn.Write(mysql.AppendLogin(nil, seq+1, greeting, e.backend.User, e.backend.Password, ""))
	e.stage = awaitLogin
	return nil
}

// handleLogin processes the server's response to a login packet. It returns errLoginNotOK for an unexpected packet.
func (e *exchange) handleLogin(seq byte, payload []byte) error {
	switch payload[0] {
	case packetAuthSwitch:
		return e.switchAuth(seq, payload)
	case packetAuthMore:
		return e.continueAuth(seq, payload)
	case packetOK:
		if err := e.requireDrained(); err != nil {
			return err
		}
		e.sendNext()
		return nil
	}
	return errLoginNotOK
}

// continueAuth answers the server's message of an authentication that takes several, if it expects an answer.
func (e *exchange) continueAuth(seq byte, payload []byte) error {
	answer, err := mysql.AuthMore(payload, e.challenge, e.backend.Password)
	if answer == nil {
		return err
	}
	if err := errors.Join(err, e.requireDrained()); err != nil {
		return err
	}
	e.Conn.Write(mysql.Append(nil, seq+1, answer))
	return nil
}

// switchAuth answers the server's request for another authentication plugin.
func (e *exchange) switchAuth(seq byte, payload []byte) error {
	plugin, challenge, err := mysql.ParseSwitch(payload)
	if err := errors.Join(err, e.requireDrained()); err != nil {
		return err
	}
	answer, err := mysql.AuthResponse(plugin, challenge, e.backend.Password)
	if err != nil {
		return err
	}
	e.challenge = challenge
	e.Conn.Write(mysql.Append(nil, seq+1, answer))
	return nil
}

// prepare executes the statement if it is already prepared on the connection, or else sends its PREPARE.
func (e *exchange) prepare() {
	e.text, _ = translate.ForVersion(e.command.preparedText(e.Loop().Now()), e.backend.Version(e.Addr()))
	if statement, ok := e.state.prepared.Get(e.preparedKey()); ok {
		e.statement = statement
		e.sendExecute()
		return
	}
	e.stage = awaitPrepare
	e.definitionsLeft = 0
	e.writeCommand(mysql.Command(mysql.ComStmtPrepare, e.text))
}

// preparedKey returns the key of the statement in connState.prepared.
func (e *exchange) preparedKey() string { return e.database + "\x00" + e.text }

// handlePrepared processes the first packet of the answer to PREPARE.
func (e *exchange) handlePrepared(payload []byte) error {
	statement, err := mysql.ParsePrepareOK(payload)
	e.statement = statement
	if err != nil {
		return err
	}
	if statement.Params != e.command.ParamCount { // the frontend counted differently, so the parameter values can't be encoded
		e.Result.Answer = mysql.Append(nil, 1, mysql.Error(mysql.ErrWrongArgs, "HY000",
			"the server counts other parameters in this statement"))
		e.Conn.Close()
		e.Finish(policy.OK)
		return nil
	}
	e.definitionsLeft += definitionPackets(statement.Params) + definitionPackets(statement.Columns)
	e.stage = awaitDefinitions
	return e.executeOncePrepared()
}

// definitionPackets returns the number of packets that describe n parameters or columns: one for each, then an EOF if n > 0.
func definitionPackets(n int) int {
	if n == 0 {
		return 0
	}
	return n + 1
}

// executeOncePrepared executes the statement when all its definition packets have been received. If the connection has too many
// prepared statements, it first closes the oldest one.
func (e *exchange) executeOncePrepared() error {
	if e.definitionsLeft > 0 {
		return nil
	}
	if err := e.requireDrained(); err != nil {
		return err
	}
	if oldest, removed := e.state.prepared.MakeRoom(); removed {
		e.writeCommand(mysql.StmtClose(oldest.ID))
	}
	e.state.prepared.Add(e.preparedKey(), e.statement)
	e.sendExecute()
	return nil
}

// sendExecute sends the EXECUTE of the statement, behind its long parameter values.
func (e *exchange) sendExecute() {
	var longData [][]byte
	for _, data := range e.command.LongData {
		longData = append(longData, data.Payload(e.statement.ID))
	}
	execute := e.command.Execute
	if e.command.utf8Execute != nil {
		execute = *e.command.utf8Execute
	}
	e.sendCommand(execute.Payload(e.statement.ID), longData...)
}
