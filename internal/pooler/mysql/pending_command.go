package mysql

import (
	"fmt"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/translate"
)

// Error messages sent to clients whose command gets no answer from a server.
const (
	failedText    = "Query execution was interrupted: no answer in time; the statement may have run"
	rejectedText  = "Too many connections: no server can take this statement now; nothing has run"
	cancelledText = "Query execution was interrupted"
)

// pendingCommand is a command of a session that waits for its answer. It is the dispatch.Replier of its request, so that an answer
// never reaches another command of the session.
type pendingCommand struct {
	session   *session
	requestID string                // empty: the request has none
	request   *dispatch.OpenRequest // nil once the command has been answered or abandoned
	bytes     int                   // size of the command
	prepared  bool                  // it executes a prepared statement
	fieldList bool                  // it is COM_FIELD_LIST, which returns only the columns
}

// ClientDisconnected implements dispatch.Replier, as do the methods below.
func (p *pendingCommand) ClientDisconnected() bool { return p.session.ClientDisconnected() }

// MayAttempt reports whether an attempt may begin for the client.
func (p *pendingCommand) MayAttempt() bool { return p.session.MayAttempt() }

// Serve sends the client the server's answer.
func (p *pendingCommand) Serve(answer any) {
	packets := answer.([]byte)
	if p.fieldList {
		packets = translate.FieldList(packets)
	}
	p.complete(packets)
}

// Reject answers with an error which states that nothing was executed and, if retryAfter is positive, when to retry.
func (p *pendingCommand) Reject(retryAfter time.Duration) {
	text := rejectedText
	if retryAfter > 0 {
		text += fmt.Sprintf("; retry after %d ms", (retryAfter+time.Millisecond-1)/time.Millisecond)
	}
	p.complete(mysql.Append(nil, 1, mysql.Error(mysql.ErrConCount, "08004", text)))
}

// Fail answers with an error which states that the command may have been executed.
func (p *pendingCommand) Fail() {
	p.complete(mysql.Append(nil, 1, mysql.Error(mysql.ErrInterrupted, "70100", failedText)))
}

// cancel ends the request and answers with the error of a cancelled statement. The command may have been executed, and a server that
// has started to execute it continues.
func (p *pendingCommand) cancel() {
	p.request.HandleDisconnect()
	code, state := translate.Cancelled.MySQL(p.session.client.Generation)
	p.complete(mysql.Append(nil, 1, mysql.Error(code, state, cancelledText)))
}

// terminate ends the request and answers that the command may have been executed.
func (p *pendingCommand) terminate() {
	p.request.HandleDisconnect()
	p.Fail()
}

// abandon ends the request because the client is disconnected.
func (p *pendingCommand) abandon() {
	if p.request.MayHaveExecuted() && !p.prepared { // a prepared statement has the same ID at each EXECUTE
		p.session.frontend.AbandonRequest(p.requestID)
	}
	p.request.HandleDisconnect()
	p.release()
}

// complete sends the final answer, unless the command has been answered or abandoned already.
func (p *pendingCommand) complete(packets []byte) {
	if p.request == nil {
		return
	}
	p.release()
	p.session.commandAnswered(packets)
}

// release allows other requests to use the command's request ID, and the session to execute its next command.
func (p *pendingCommand) release() {
	p.session.frontend.EndRequest(p.requestID)
	p.request = nil
	p.session.pending = nil
}
