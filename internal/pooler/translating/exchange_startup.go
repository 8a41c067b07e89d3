package translating

import (
	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/protocol/pgwire"
	"threadsail/internal/translate"
)

// What goes before the statement on a connection: the startup with its login, and the description of the statement.

// handleStartup takes in a message of the startup. over: the exchange has ended.
func (x *exchange) handleStartup(m pgwire.Message, last bool) (over bool, err error) {
	switch m.Type {
	case 'E': // ErrorResponse: rejected by the server
		x.handleStartupError(m.Body)
		return true, nil
	case 'R': // Authentication
		return false, x.authenticate(m.Body)
	case 'Z': // ReadyForQuery
		if !last {
			return false, errMessageOrder
		}
		x.Result = dispatch.AttemptResult{}
		x.sendNext()
		return x.Finished(), nil
	case 'K': // BackendKeyData
		x.state.cancelKey, _ = pgwire.ReadKey(m.Body)
		return false, nil
	}
	return false, errMessageOrder
}

// handleStartupError ends an exchange that the server has rejected.
func (x *exchange) handleStartupError(body []byte) {
	x.Conn.Close()
	if translate.OfPostgres(pgwire.ErrorCode(body)) == translate.ServerFull {
		x.Finish(policy.Overloaded)
		return
	}
	x.LogFailure(pgwire.ErrorField(body, 'M'))
	x.Finish(policy.ConnectFailed)
}

// authenticate goes on with the login. The password itself is never sent.
func (x *exchange) authenticate(body []byte) error {
	kind, data, err := pgwire.Auth(body)
	switch {
	case err != nil:
		return err
	case kind == pgwire.AuthFine:
		if x.scram != nil && !x.scram.Valid {
			return errUnprovenServer
		}
		return nil
	case kind == pgwire.AuthSASL:
		return x.beginSCRAM()
	case x.scram == nil:
		return errMessageOrder
	case kind == pgwire.AuthContinue:
		return x.continueSCRAM(data)
	}
	return x.scram.Final(data)
}

// beginSCRAM sends the first message of a login by SCRAM.
func (x *exchange) beginSCRAM() error {
	if x.backend.scramSecrets == nil {
		secrets, err := pgwire.NewSecrets(x.backend.Password)
		x.backend.scramSecrets = secrets
		if err != nil {
			return err
		}
	}
	var first string
	x.scram, first = x.backend.scramSecrets.Talk()
	x.Conn.Write(pgwire.AppendSASLFirst(nil, pgwire.ScramSHA256, first))
	return nil
}

// continueSCRAM answers the server's challenge.
func (x *exchange) continueSCRAM(challenge string) error {
	answer, err := x.scram.Answer(challenge)
	if err != nil {
		return err
	}
	x.Conn.Write(pgwire.AppendSASL(nil, answer))
	return nil
}

// handleDescription takes in what the server says of a statement. The statement has not run.
func (x *exchange) handleDescription(m pgwire.Message, last bool) (over bool, err error) {
	switch m.Type {
	case '1', '3', 'n': // ParseComplete, CloseComplete, NoData
		return false, nil
	case 't': // ParameterDescription
		x.statement.params, err = pgwire.ParameterTypes(m.Body)
		return false, err
	case 'T': // RowDescription
		x.statement.fields, err = pgwire.Fields(m.Body)
		return false, err
	case 'E': // ErrorResponse
		x.answer.setError(m.Body)
		return false, nil
	case 'Z': // ReadyForQuery
		if x.answer.errorCode != "" {
			return x.finishWithError(last), nil
		}
		if !last { // it would be taken for the answer to what is sent next
			return false, errMessageOrder
		}
		x.state.prepared.Add(x.text, x.statement)
		x.bind()
		return x.Finished(), nil
	}
	return false, errMessageOrder
}
