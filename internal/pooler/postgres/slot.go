package postgres

import (
	"errors"
	"strings"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/frontend"
	"threadsail/internal/protocol/comment"
	"threadsail/internal/protocol/pgwire"
	"threadsail/internal/translate"
)

// slot is a command whose answer is due. It is the dispatch.Replier of its request.
type slot struct {
	session   *session
	requestID string // empty: the command needs no server
	request   *dispatch.OpenRequest
	answered  bool
	answer    []byte
	relay     *relay // of a long answer
}

// submitQuery hands a query to the dispatcher, or answers it where it needs no server or can't be submitted.
func (s *session) submitQuery(at time.Duration, text string) {
	trimmed := strings.Trim(text, " \t\r\n;")
	if trimmed == "" {
		s.answerLocally(pgwire.AppendReady(pgwire.Append(nil, 'I')))
		return
	}
	cm, err := comment.Parse(text)
	if err != nil {
		s.answerUncommented(trimmed, err)
		return
	}
	request, err := s.newRequest(at, text, cm)
	if err != nil {
		s.protocolError(err.Error())
		return
	}
	if err := s.frontend.checkStatement(text, cm.Group); err != nil {
		own := translate.AsError(err)
		s.answerLocally(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", own.Meaning.Postgres(), own.Text, "")))
		return
	}
	s.requested = true
	w := &slot{session: s, requestID: cm.ID}
	s.frontend.BeginRequest(cm.ID)
	request.Reply = w
	s.slots = append(s.slots, w)
	w.request = s.frontend.dispatcher.Submit(request)
}

// answerUncommented answers a query without a usable comment: SET and the like are accepted, as a session here has no state to set.
func (s *session) answerUncommented(trimmed string, err error) {
	command, _, _ := strings.Cut(strings.ToUpper(trimmed), " ")
	if errors.Is(err, comment.ErrNone) && (command == "SET" || command == "RESET" || command == "DISCARD") {
		s.answerLocally(pgwire.AppendReady(pgwire.Append(nil, 'C', command, "\x00")))
		return
	}
	s.protocolError(err.Error())
}

// newRequest returns the request that a query and its comment make, or what is wrong with the comment.
func (s *session) newRequest(at time.Duration, text string, cm comment.Comment) (*dispatch.Request, error) {
	class, info, err := s.frontend.Class(cm)
	if err != nil {
		return nil, err
	}
	if err := s.frontend.CheckRequestID(cm.ID); err != nil {
		return nil, err
	}
	request := frontend.NewRequest(class, info, cm, at)
	request.Payload = &Statement{Text: text, Comment: cm}
	if info.Access == policy.ReadSession || info.Access == policy.Write {
		request.Session = comment.Session(text)
	}
	if s.frontend.dispatcher.HasGuards() {
		request.Statement = comment.Bare(text)
		request.Key = comment.QuotedKey(text)
		request.CacheVariant = "simple" // a session here has no state to set
	}
	return request, nil
}

// ClientDisconnected is documented with dispatch.Replier, as the methods below.
func (w *slot) ClientDisconnected() bool { return w.session.ClientDisconnected() }

// Serve passes on the row as the server gave it, or begins to.
func (w *slot) Serve(answer any) {
	long, ok := answer.(*relay)
	switch {
	case !ok:
		w.complete(answer.([]byte))
	case w.request == nil: // abandoned
		long.Discard()
	default:
		w.relay = long
		w.session.sendAnswers()
	}
}

// Reject tells the client that nothing has run, and when to come again.
func (w *slot) Reject(after time.Duration) { w.complete(pgwire.AppendRefusal(nil, after)) }

// Fail tells the client that its query may have run.
func (w *slot) Fail() { w.complete(appendFailure(nil)) }

// complete gives the command its final answer, unless it has been abandoned.
func (w *slot) complete(answer []byte) {
	if w.request == nil {
		return
	}
	w.releaseRequest()
	w.answered = true
	w.answer = pgwire.AppendReady(answer)
	s := w.session
	s.heldBytes += len(w.answer)
	if !s.Connected() {
		return
	}
	s.sendAnswers()
	if s.heldBytes > maxHeldBytes {
		s.fatal(pgwire.CodeTooMany, "too much waits for an earlier answer")
	}
}

// completeRelay ends a long answer with what follows the row.
func (w *slot) completeRelay(trailer []byte) {
	w.releaseRequest()
	w.answered = true
	w.answer = pgwire.AppendReady(trailer)
	w.session.heldBytes += len(w.answer)
	w.session.sendAnswers()
}

// relayStarted tells whether part of the answer has been sent.
func (w *slot) relayStarted() bool { return w.relay != nil && w.relay.slot != nil }

// abandon ends a request that nobody waits for any more.
func (w *slot) abandon() {
	if w.relay != nil {
		w.relay.Discard()
	}
	if w.request != nil {
		w.request.HandleDisconnect()
		w.releaseRequest()
	}
}

// releaseRequest gives the request's ID back.
func (w *slot) releaseRequest() {
	w.session.frontend.EndRequest(w.requestID)
	w.request = nil
}

// appendFailure appends the answer to a query that may have run.
func appendFailure(b []byte) []byte {
	return pgwire.AppendError(b, "ERROR", pgwire.CodeFailed, "no answer in time; the statement may have run", "")
}
