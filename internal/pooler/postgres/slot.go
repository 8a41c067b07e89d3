package postgres

import (
	"errors"
	"strings"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/pooler/frontend"
	"threadsail/internal/protocol/comment"
	"threadsail/internal/protocol/pgwire"
	"threadsail/internal/sessionkey"
	"threadsail/internal/translate"
)

// slot is the place of a command's answer in the order of a session's answers. It is the dispatch.Replier of its request.
type slot struct {
	session      *session
	requestID    string // empty: the request has no ID, or the command needs no server
	requestBytes int    // size of the request's text
	request      *dispatch.OpenRequest
	answered     bool
	answer       []byte
	relay        *relay // relay of a long answer; nil: none
}

// submitQuery submits a query to the dispatcher, or answers it locally if it needs no server or is invalid.
func (s *session) submitQuery(arrivedAt time.Duration, text string) {
	trimmed := strings.Trim(text, " \t\r\n;")
	if trimmed == "" {
		s.answerLocally(pgwire.AppendReady(pgwire.Append(nil, 'I')))
		return
	}
	parsedComment, err := comment.Parse(text)
	if err != nil {
		s.answerWithoutComment(trimmed, err)
		return
	}
	request, err := s.newRequest(arrivedAt, text, parsedComment)
	if err != nil {
		s.protocolError(err.Error())
		return
	}
	if err := s.frontend.checkStatement(text, parsedComment.Group); err != nil {
		translateError := translate.AsError(err)
		s.answerLocally(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", translateError.Meaning.Postgres(), translateError.Text, "")))
		return
	}
	s.requestReceived = true
	sl := &slot{session: s, requestID: parsedComment.ID, requestBytes: len(text)}
	s.requestBytes += sl.requestBytes
	s.frontend.BeginRequest(parsedComment.ID)
	request.Reply = sl
	s.slots = append(s.slots, sl)
	sl.request = s.frontend.dispatcher.Submit(request)
}

// answerWithoutComment answers a query that has no usable comment. SET, RESET and DISCARD are accepted without effect, because
// a session of the pooler has no state; other queries are answered with err.
func (s *session) answerWithoutComment(trimmed string, err error) {
	command, _, _ := strings.Cut(strings.ToUpper(trimmed), " ")
	if errors.Is(err, comment.ErrNone) && (command == "SET" || command == "RESET" || command == "DISCARD") {
		s.answerLocally(pgwire.AppendReady(pgwire.Append(nil, 'C', command, "\x00")))
		return
	}
	s.protocolError(err.Error())
}

// newRequest returns the request for a query and its comment, or an error that says what is wrong with the comment.
func (s *session) newRequest(arrivedAt time.Duration, text string, parsedComment comment.Comment) (*dispatch.Request, error) {
	class, classSettings, err := s.frontend.Class(parsedComment)
	if err != nil {
		return nil, err
	}
	if err := s.frontend.CheckRequestID(parsedComment.ID); err != nil {
		return nil, err
	}
	request := frontend.NewRequest(class, classSettings, parsedComment, arrivedAt)
	request.Payload = &Statement{Text: text, Comment: parsedComment}
	if s.frontend.dispatcher.NeedsSessions(classSettings) {
		keys := sessionkey.OfText(text, sessionkey.Postgres)
		request.Sessions = frontend.Sessions(&keys, classSettings)
	}
	if s.frontend.dispatcher.HasGuards() {
		request.Statement = comment.Bare(text)
		request.Key = comment.QuotedKey(text)
		request.CacheVariant = "simple" // a session of the pooler has no state that would change the answer
	}
	return request, nil
}

// ClientDisconnected implements dispatch.Replier.
func (sl *slot) ClientDisconnected() bool { return sl.session.ClientDisconnected() }

// MayAttempt implements dispatch.Replier.
func (sl *slot) MayAttempt() bool { return sl.session.MayAttempt() }

// Serve sends the server's answer, or queues its relay if it is long.
func (sl *slot) Serve(answer any) {
	longAnswer, ok := answer.(*relay)
	switch {
	case !ok:
		sl.complete(answer.([]byte))
	case sl.request == nil: // the command was abandoned
		longAnswer.Discard()
	default:
		sl.relay = longAnswer
		sl.session.sendAnswers()
	}
}

// Reject answers that the query was not executed and may be retried after the given delay.
func (sl *slot) Reject(retryAfter time.Duration) { sl.complete(pgwire.AppendRefusal(nil, retryAfter)) }

// Fail answers that the query may have been executed.
func (sl *slot) Fail() { sl.complete(appendFailure(nil)) }

// complete sets the command's final answer, unless the request has ended already, and sends the answers that are due.
func (sl *slot) complete(answer []byte) {
	if sl.request == nil {
		return
	}
	sl.releaseRequest()
	sl.answered = true
	sl.answer = pgwire.AppendReady(answer)
	s := sl.session
	s.queuedAnswerBytes += len(sl.answer)
	if !s.Connected() {
		return
	}
	s.sendAnswers()
}

// completeRelay ends a relayed answer with the messages that follow its row.
func (sl *slot) completeRelay(trailer []byte) {
	sl.releaseRequest()
	sl.answered = true
	sl.answer = pgwire.AppendReady(trailer)
	sl.session.queuedAnswerBytes += len(sl.answer)
	sl.session.sendAnswers()
}

// relayStarted reports whether the relay of the answer has begun to send.
func (sl *slot) relayStarted() bool { return sl.relay != nil && sl.relay.slot != nil }

// abandon ends the command's request because its client no longer waits for the answer.
func (sl *slot) abandon() {
	if sl.relay != nil {
		sl.relay.Discard()
	}
	if sl.request == nil {
		return
	}
	if sl.request.MayHaveExecuted() {
		sl.session.frontend.AbandonRequest(sl.requestID)
	}
	sl.request.HandleDisconnect()
	sl.releaseRequest()
}

// releaseRequest allows other requests to use the request's ID.
func (sl *slot) releaseRequest() {
	sl.session.frontend.EndRequest(sl.requestID)
	sl.request = nil
}

// appendFailure appends the error for a query that may have been executed.
func appendFailure(b []byte) []byte {
	return pgwire.AppendError(b, "ERROR", pgwire.CodeFailed, "no answer in time; the statement may have run", "")
}
