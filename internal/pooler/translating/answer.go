package translating

import (
	"errors"
	"strconv"

	"threadsail/internal/policy"
	"threadsail/internal/protocol/pgwire"
	"threadsail/internal/translate"
)

// answer is a server's answer as far as it has come.
type answer struct {
	fields     []pgwire.Field
	rows       []([][]byte)
	rowBytes   int
	commandTag string // of a completed command, with a space behind it; empty: not completed
	errorCode  string // empty: no error has come
	errorText  string
}

// setError takes in the server's error.
func (a *answer) setError(body []byte) {
	a.errorCode = pgwire.ErrorCode(body)
	a.errorText = pgwire.ErrorField(body, 'M')
}

// begun tells whether rows or the end of the command have come.
func (a *answer) begun() bool { return a.commandTag != "" || len(a.rows) > 0 }

// addRow takes in a row.
func (a *answer) addRow(body []byte) error {
	if a.commandTag != "" || a.errorCode != "" || a.fields == nil {
		return errMessageOrder
	}
	values, err := pgwire.Values(append([]byte(nil), body...), len(a.fields))
	a.rowBytes += len(body)
	if err == nil && a.rowBytes > maxAnswerBytes {
		err = errAnswerTooLarge
	}
	a.rows = append(a.rows, values)
	return err
}

// complete takes in the end of the command.
func (a *answer) complete(tag string, ok bool) error {
	err := requireOrder(ok && a.commandTag == "")
	a.commandTag = tag + " "
	return err
}

// requireOrder returns an error for a message that is not due.
func requireOrder(due bool) error {
	if !due {
		return errMessageOrder
	}
	return nil
}

// handleAnswer takes in a message of the answer. over: the exchange has ended.
func (x *exchange) handleAnswer(m pgwire.Message, last bool) (over bool, err error) {
	switch m.Type {
	case '1', '2', 'n': // ParseComplete, BindComplete, NoData
		return false, requireOrder(!x.answer.begun())
	case 'T': // RowDescription
		x.answer.fields, err = pgwire.Fields(m.Body)
		return false, errors.Join(err, requireOrder(!x.answer.begun()))
	case 'D': // DataRow
		return false, x.answer.addRow(m.Body)
	case 'C': // CommandComplete
		tag, ok := pgwire.Text(m.Body)
		return false, x.answer.complete(tag, ok)
	case 'I': // EmptyQueryResponse
		return false, x.answer.complete("", true)
	case 'E': // ErrorResponse
		err = requireOrder(x.answer.errorCode == "" && x.answer.commandTag == "")
		x.answer.setError(m.Body)
		return false, err
	case 'Z': // ReadyForQuery
		return x.handleReady(m.Body, last)
	}
	return false, errMessageOrder
}

// handleReady ends the exchange, or goes on with a probe's next query.
func (x *exchange) handleReady(body []byte, last bool) (over bool, err error) {
	ended := x.answer.commandTag != "" || x.answer.errorCode != ""
	if string(body) != pgwire.StatusIdle || !ended {
		return false, errMessageOrder
	}
	return x.finishAnswer(last)
}

// finishAnswer takes in a complete answer. A probe of a replica goes on with the heartbeat. over: the exchange has ended.
func (x *exchange) finishAnswer(last bool) (over bool, err error) {
	roleKnown := x.IsProbe && x.Result.Status.HasRole
	if x.answer.errorCode != "" && !roleKnown {
		return x.finishWithError(last), nil
	}
	if !x.IsProbe {
		x.release(last)
		x.Result.Answer = x.translatedAnswer()
		x.Finish(policy.OK)
		return true, nil
	}
	if !x.handleProbeAnswer() {
		x.release(last)
		x.Finish(policy.OK)
		return true, nil
	}
	if !last {
		return false, errMessageOrder
	}
	x.sendHeartbeat()
	return x.Finished(), nil
}

// sendHeartbeat sends a probe's second query.
func (x *exchange) sendHeartbeat() {
	x.text = x.backend.Heartbeat
	x.answer = answer{}
	x.sendExecute(nil)
}

// finishWithError ends an exchange by the server's error. It returns true: the exchange is over.
func (x *exchange) finishWithError(last bool) (over bool) {
	meaning := translate.OfPostgres(x.answer.errorCode)
	switch result := meaning.Result(); {
	case meaning.Own() && !x.IsProbe:
		x.Result.Answer = x.command.Client.AppendError(nil, &translate.Error{Meaning: meaning, Text: x.answer.errorText})
		x.release(last)
		x.Finish(policy.OK)
	case result == policy.Misdirected:
		x.Result.Role = policy.RoleReplica
		x.release(last)
		x.Finish(result)
	case !x.RequestSent && result != policy.Overloaded:
		x.Conn.Close()
		x.Finish(policy.ConnectFailed)
	default:
		x.release(last && result == policy.Overloaded)
		x.Finish(result)
	}
	return true
}

// finishWithOwnError ends an exchange whose statement is wrong in itself, before it has been sent.
func (x *exchange) finishWithOwnError(err error) {
	x.release(true)
	x.Result.Answer = x.command.Client.AppendError(nil, translate.AsError(err))
	x.Finish(policy.OK)
}

// translatedAnswer returns the answer as the client reads it. What can't be written so is the statement's error: it has run.
func (x *exchange) translatedAnswer() []byte {
	result := &translate.Result{Affected: translate.PostgresTag(x.answer.commandTag)}
	if x.command.Translated.InsertID {
		if rows := x.answer.rows; len(rows) > 0 && len(rows[0]) > 0 && rows[0][0] != nil { // MySQL tells the first number given
			result.InsertID, _ = strconv.ParseUint(string(rows[0][0]), 10, 64)
		}
		x.answer.fields = nil
		x.answer.rows = nil
	}
	if err := x.answer.convert(result); err != nil {
		return x.command.Client.AppendError(nil, translate.AsError(err))
	}
	packets, err := x.command.Client.Append(nil, result, x.command.Prepared)
	if err != nil {
		return x.command.Client.AppendError(nil, translate.AsError(err))
	}
	return packets
}

// convert enters the answer's columns and rows into result.
func (a *answer) convert(result *translate.Result) error {
	for _, field := range a.fields {
		column, err := translate.PostgresColumn(field.Name, field.Type, field.Modifier)
		if err != nil {
			return err
		}
		result.Columns = append(result.Columns, column)
	}
	for _, row := range a.rows {
		values := make([]translate.Value, len(row))
		for i, text := range row {
			var err error
			if values[i], err = translate.FromPostgres(result.Columns[i], a.fields[i].Type, text); err != nil {
				return err
			}
		}
		result.Rows = append(result.Rows, values)
	}
	return nil
}

// handleProbeAnswer records the answer to one query of a probe and reports whether the heartbeat query follows.
func (x *exchange) handleProbeAnswer() bool {
	value := ""
	if rows := x.answer.rows; len(rows) == 1 && len(rows[0]) == 1 {
		value = string(rows[0][0])
	}
	if !x.Result.Status.HasRole {
		if value != "t" && value != "f" {
			return false
		}
		return x.ReportRole(value == "f")
	}
	if x.answer.errorCode != "" { // the role is known all the same; the position stays unknown
		x.LogFailure("the heartbeat query fails")
	} else if value != "" {
		x.ReportPosition(value)
	}
	return false
}
