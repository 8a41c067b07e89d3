package mysql

import (
	"errors"

	"threadsail/internal/policy"
	"threadsail/internal/protocol/mysql"
)

// What goes before the command on a connection: the login, and the PREPARE of its statement.

// errLoginNotOK tells that a server answers the login by something else than OK.
var errLoginNotOK = errors.New("the login is not answered by OK")

// handleGreeting answers the server's greeting with the login. The database follows it: a client that names an unknown one must not
// look like a lost server.
func (e *exchange) handleGreeting(seq byte, payload []byte) error {
	greeting, err := mysql.ParseGreeting(payload)
	if err != nil {
		return err
	}
	e.challenge = greeting.Challenge
	e.Conn.Write(mysql.AppendLogin(nil, seq+1, greeting, e.backend.User, e.backend.Password, ""))
	e.stage = awaitLogin
	return nil
}

// handleLogin goes on with the login.
func (e *exchange) handleLogin(seq byte, payload []byte) error {
	switch payload[0] {
	case packetAuthSwitch:
		return e.switchAuth(seq, payload)
	case packetAuthMore:
		answer, err := mysql.AuthMore(payload, e.challenge, e.backend.Password)
		if answer != nil {
			e.Conn.Write(mysql.Append(nil, seq+1, answer))
		}
		return err
	case packetOK:
		e.sendNext()
		return nil
	}
	return errLoginNotOK
}

// switchAuth answers by the plugin that the server asks for.
func (e *exchange) switchAuth(seq byte, payload []byte) error {
	plugin, challenge, err := mysql.ParseSwitch(payload)
	if err != nil {
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

// prepare executes a statement that is prepared on the connection, or prepares it.
func (e *exchange) prepare() {
	if statement, ok := e.state.prepared.Get(e.preparedKey()); ok {
		e.statement = statement
		e.sendExecute()
		return
	}
	e.stage = awaitPrepare
	e.definitionsLeft = 0
	e.writeCommand(mysql.Command(mysql.ComStmtPrepare, e.text))
}

// preparedKey returns the key of the statement among those of the connection.
func (e *exchange) preparedKey() string { return e.database + "\x00" + e.text }

// handlePrepared takes in the answer to PREPARE.
func (e *exchange) handlePrepared(payload []byte) error {
	statement, err := mysql.ParsePrepareOK(payload)
	e.statement = statement
	if err != nil {
		return err
	}
	if statement.Params != e.command.ParamCount { // the frontend's count differs: the values can't be laid out
		e.Result.Answer = mysql.Append(nil, 1, mysql.Error(mysql.ErrWrongArgs, "HY000",
			"the server counts other parameters in this statement"))
		e.Conn.Close()
		e.Finish(policy.OK)
		return nil
	}
	e.definitionsLeft += definitionPackets(statement.Params) + definitionPackets(statement.Columns)
	e.stage = awaitDefinitions
	e.executeOncePrepared()
	return nil
}

// definitionPackets returns how many packets define n parameters or columns: one each, and an EOF.
func definitionPackets(n int) int {
	if n == 0 {
		return 0
	}
	return n + 1
}

// executeOncePrepared executes the statement once all its definitions have come. The oldest statement of the connection is closed
// where there are too many.
func (e *exchange) executeOncePrepared() {
	if e.definitionsLeft > 0 {
		return
	}
	if oldest, removed := e.state.prepared.MakeRoom(); removed {
		e.writeCommand(mysql.StmtClose(oldest.ID))
	}
	e.state.prepared.Add(e.preparedKey(), e.statement)
	e.sendExecute()
}

// sendExecute sends the statement's parameters and has it executed.
func (e *exchange) sendExecute() {
	for _, data := range e.command.LongData {
		e.writeCommand(data.Payload(e.statement.ID))
	}
	execute := e.command.Execute
	if e.command.utf8Execute != nil {
		execute = *e.command.utf8Execute
	}
	e.sendCommand(execute.Payload(e.statement.ID))
}
