package postgres

import (
	"math/rand/v2"
	"time"

	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/pooler/frontend"
	"threadsail/internal/protocol/pgwire"
	"threadsail/internal/translate"
)

const (
	protocolMajor = 3

	maxPipelinedCommands = 64      // of one client in flight; it is disconnected beyond
	maxHeldBytes         = 1 << 20 // of answers that wait for an earlier one
)

// session is one client's connection. Answers go out in the order of its commands.
type session struct {
	frontend.Client
	frontend            *Frontend
	input               []byte
	started             bool
	cancelKey           pgwire.Key // by which the client cancels
	requested           bool       // a request has come
	failedBeforeRequest bool       // a command has met an error: alone that is no reason to stay connected
	skipToSync          bool       // after an error in an extended query
	slots               []*slot    // commands whose answers are due, in order
	heldBytes           int        // in slots
	reading             bool       // commands that have come are being taken in
	quitting            bool       // the client leaves after the last answer that it is owed
}

// Data takes in what the client has sent.
func (s *session) Data(at time.Duration, b []byte) {
	s.input = append(s.input, b...)
	s.reading = true
	rest := s.input
	for s.Connected() && !s.quitting {
		n, ok := s.nextMessage(at, rest)
		if !ok || n == 0 {
			break
		}
		rest = rest[n:]
	}
	if len(rest) == 0 || s.quitting {
		s.input = nil // idle clients hold no memory
	} else {
		s.input = append([]byte(nil), rest...)
	}
	s.reading = false
	s.updateState()
	s.closeIfDue()
}

// nextMessage takes one message off b and returns its length; 0: it is not complete. ok is false where the session has ended.
func (s *session) nextMessage(at time.Duration, b []byte) (n int, ok bool) {
	if !s.started {
		return s.nextStartup(b)
	}
	m, n, err := pgwire.Next(b, pgwire.MaxQuery)
	if err != nil {
		s.fatal(pgwire.CodeProtocol, "impossible message length")
		return 0, false
	}
	if n > 0 {
		s.handleMessage(at, m)
	}
	return n, true
}

// nextStartup takes one message off b before the session has started.
func (s *session) nextStartup(b []byte) (n int, ok bool) {
	code, n, err := pgwire.NextStartup(b)
	switch {
	case err != nil:
		s.fatal(pgwire.CodeProtocol, "impossible startup message")
		return 0, false
	case n == 0:
		return 0, true
	case code == pgwire.SSLCode || code == pgwire.GSSCode:
		s.Conn.Write([]byte{'N'})
	case code>>16 == protocolMajor:
		s.start()
	case code == pgwire.CancelCode: // it gets no answer, whether the key is right or not
		if key, ok := pgwire.ReadKey(b[8:n]); ok && s.frontend.sessionsByKey[key] != nil {
			s.frontend.sessionsByKey[key].cancel()
		}
		s.Finish()
		return 0, false
	default:
		s.fatal(pgwire.CodeProtocol, "this protocol version is not supported")
		return 0, false
	}
	return n, true
}

// start gives the client the key by which it cancels.
func (s *session) start() {
	s.started = true
	s.frontend.lastProcessID++
	s.cancelKey = pgwire.Key{Process: s.frontend.lastProcessID, Secret: rand.Uint32()}
	s.frontend.sessionsByKey[s.cancelKey] = s
	s.Conn.Write(pgwire.AppendWelcome(nil, s.cancelKey))
}

// handleMessage takes in one message of a started session.
func (s *session) handleMessage(at time.Duration, m pgwire.Message) {
	if len(s.slots) >= maxPipelinedCommands {
		s.fatal(pgwire.CodeTooMany, "too many commands in one pipeline")
		return
	}
	switch m.Type {
	case 'Q':
		text, ok := pgwire.Text(m.Body)
		if !ok {
			s.answerLocally(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.CodeProtocol, "the query is not one string", "")))
			return
		}
		s.submitQuery(at, text)
	case 'X':
		s.quitting = true
		s.sendAnswers()
	default:
		s.handleExtended(m.Type)
	}
}

// handleExtended rejects the messages of extended queries and function calls, which are not supported.
func (s *session) handleExtended(messageType byte) {
	switch messageType {
	case 'H': // Flush
	case 'S': // Sync
		s.skipToSync = false
		s.answerLocally(pgwire.AppendReady(nil))
	case 'P', 'B', 'D', 'E', 'C', 'F':
		if s.skipToSync {
			return
		}
		functionCall := messageType == 'F'
		s.skipToSync = !functionCall
		answer := pgwire.AppendError(nil, "ERROR", pgwire.CodeUnsupported, "only simple queries are supported", "")
		if functionCall {
			answer = pgwire.AppendReady(answer)
		}
		s.answerLocally(answer)
	default:
		s.fatal(pgwire.CodeProtocol, "unknown message type")
	}
}

// answerLocally answers a command that needs no server.
func (s *session) answerLocally(answer []byte) {
	s.slots = append(s.slots, &slot{session: s, answered: true, answer: answer})
	s.heldBytes += len(answer)
	s.sendAnswers()
}

// protocolError answers a query that can't be submitted.
func (s *session) protocolError(text string) {
	s.failedBeforeRequest = true
	s.answerLocally(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.CodeProtocol, text, "")))
}

// sendAnswers writes the answers that are due, in order.
func (s *session) sendAnswers() {
	for len(s.slots) > 0 && s.slots[0].answered {
		s.Conn.Write(s.slots[0].answer)
		s.heldBytes -= len(s.slots[0].answer)
		s.slots[0] = nil
		s.slots = s.slots[1:]
	}
	if len(s.slots) > 0 && s.slots[0].relay != nil && !s.slots[0].relayStarted() {
		s.slots[0].relay.start(s.slots[0])
		return
	}
	if s.quitting && len(s.slots) == 0 {
		s.Finish()
		return
	}
	s.updateState()
	s.closeIfDue()
}

// cancel ends the command that is being executed, at once: the first that has no answer yet. Without one nothing happens, so that
// no cancel reaches a command that comes after it.
func (s *session) cancel() {
	for _, w := range s.slots {
		if w.request == nil || w.answered || w.relayStarted() {
			continue
		}
		w.request.HandleDisconnect() // the policy ends the attempt; it may have run, and goes on at a server that has begun it
		w.complete(pgwire.AppendError(nil, "ERROR", translate.Cancelled.Postgres(), "canceling statement due to user request", ""))
		return
	}
}

// fatal answers what can't be understood and closes at once: the framing may be lost. Commands that came before it and
// still wait get their final answer first, a failure: none may end without one.
func (s *session) fatal(code, text string) {
	if s.answerBegun() {
		s.Finish()
		return
	}
	s.Conn.Write(pgwire.AppendError(s.failAll(), "FATAL", code, text, ""))
	s.Finish()
}

// failAll returns the final answers of all commands that still wait: failures.
func (s *session) failAll() (answers []byte) {
	for _, w := range s.slots {
		if !w.answered {
			w.abandon()
			w.answer = pgwire.AppendReady(appendFailure(nil))
		}
		answers = append(answers, w.answer...)
	}
	s.slots = nil
	return answers
}

// answerBegun tells whether part of an answer has been sent: no message fits into its middle.
func (s *session) answerBegun() bool { return len(s.slots) > 0 && s.slots[0].relayStarted() }

// updateState tells the connection limiter what the client is doing.
func (s *session) updateState() {
	state := connlimit.Idle
	switch {
	case len(s.slots) > 0:
		state = connlimit.Active
	case !s.started || s.failedBeforeRequest && !s.requested:
		state = connlimit.Connecting
	case len(s.input) > 0:
		state = connlimit.Receiving
	}
	s.SetState(state)
}

// closeIfDue disconnects the client after an answer if it is its turn, unless there is more to take in.
func (s *session) closeIfDue() {
	if !s.reading {
		s.CloseIfDue(true)
	}
}

// InFlight is documented with frontend.Session, as the methods below.
func (s *session) InFlight() bool { return len(s.slots) > 0 }

// BufferedInput returns the bytes of an incomplete message.
func (s *session) BufferedInput() int { return len(s.input) }

// HasCommand is always false: every complete command is taken in at once.
func (s *session) HasCommand() bool { return false }

// Abandon gives up the session's commands.
func (s *session) Abandon() {
	delete(s.frontend.sessionsByKey, s.cancelKey)
	for _, w := range s.slots {
		w.abandon()
	}
}

// Terminate answers all commands with a failure, unless part of an answer has been sent already.
func (s *session) Terminate() {
	if !s.answerBegun() {
		s.Conn.Write(s.failAll())
	}
}
