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
func (x *exchange) handleGreeting(seq byte, payload []byte) error {
	greeting, err := mysql.ParseGreeting(payload)
	if err != nil {
		return err
	}
	x.challenge = greeting.Challenge
	x.Conn.Write(mysql.AppendLogin(nil, seq+1, greeting, x.backend.User, x.backend.Password, ""))
	x.stage = awaitLogin
	return nil
}

// handleLogin goes on with the login.
func (x *exchange) handleLogin(seq byte, payload []byte) error {
	switch payload[0] {
	case packetAuthSwitch:
		return x.switchAuth(seq, payload)
	case packetAuthMore:
		answer, err := mysql.AuthMore(payload, x.challenge, x.backend.Password)
		if answer != nil {
			x.Conn.Write(mysql.Append(nil, seq+1, answer))
		}
		return err
	case packetOK:
		x.sendNext()
		return nil
	}
	return errLoginNotOK
}

// switchAuth answers by the plugin that the server asks for.
func (x *exchange) switchAuth(seq byte, payload []byte) error {
	plugin, challenge, err := mysql.ParseSwitch(payload)
	if err != nil {
		return err
	}
	answer, err := mysql.AuthResponse(plugin, challenge, x.backend.Password)
	if err != nil {
		return err
	}
	x.challenge = challenge
	x.Conn.Write(mysql.Append(nil, seq+1, answer))
	return nil
}

// prepare executes a statement that is prepared on the connection, or prepares it.
func (x *exchange) prepare() {
	if statement, ok := x.state.prepared.Get(x.preparedKey()); ok {
		x.statement = statement
		x.sendExecute()
		return
	}
	x.stage = awaitPrepare
	x.definitionsLeft = 0
	x.writeCommand(mysql.Command(mysql.ComStmtPrepare, x.text))
}

// preparedKey returns the key of the statement among those of the connection.
func (x *exchange) preparedKey() string { return x.database + "\x00" + x.text }

// handlePrepared takes in the answer to PREPARE.
func (x *exchange) handlePrepared(payload []byte) error {
	statement, err := mysql.ParsePrepareOK(payload)
	x.statement = statement
	if err != nil {
		return err
	}
	if statement.Params != x.command.ParamCount { // the frontend's count differs: the values can't be laid out
		x.Result.Answer = mysql.Append(nil, 1, mysql.Error(mysql.ErrWrongArgs, "HY000",
			"the server counts other parameters in this statement"))
		x.Conn.Close()
		x.Finish(policy.OK)
		return nil
	}
	x.definitionsLeft += definitionPackets(statement.Params) + definitionPackets(statement.Columns)
	x.stage = awaitDefinitions
	x.executeOncePrepared()
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
func (x *exchange) executeOncePrepared() {
	if x.definitionsLeft > 0 {
		return
	}
	if oldest, removed := x.state.prepared.MakeRoom(); removed {
		x.writeCommand(mysql.StmtClose(oldest.ID))
	}
	x.state.prepared.Add(x.preparedKey(), x.statement)
	x.sendExecute()
}

// sendExecute sends the statement's parameters and has it executed.
func (x *exchange) sendExecute() {
	for _, data := range x.command.LongData {
		x.writeCommand(data.Payload(x.statement.ID))
	}
	execute := x.command.Execute
	if x.command.utf8Execute != nil {
		execute = *x.command.utf8Execute
	}
	x.sendCommand(execute.Payload(x.statement.ID))
}
