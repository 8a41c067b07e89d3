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

	maxPipelinedCommands = 64      // commands of one client in flight; a client that exceeds them is disconnected
	maxQueuedAnswerBytes = 1 << 20 // answers of one client queued behind an earlier one
)

// session is a client's connection. It sends answers in the order of the client's commands.
type session struct {
	frontend.Client
	frontend            *Frontend
	input               []byte
	started             bool
	cancelKey           pgwire.Key // identifies the session in cancel requests
	requestReceived     bool       // a valid request has been received
	failedBeforeRequest bool       // a command has failed; without a valid request the client still counts as connecting
	skipToSync          bool       // after an error in an extended query, messages are ignored until Sync
	slots               []*slot    // commands whose answers are due, in order of arrival
	queuedAnswerBytes   int        // size of the answers in slots
	processingInput     bool       // Data is processing commands
	quitting            bool       // the client is disconnected after its last answer
}

// Data processes the bytes received from the client.
func (s *session) Data(arrivedAt time.Duration, received []byte) {
	s.input = append(s.input, received...)
	s.processingInput = true
	unprocessed := s.input
	for s.Connected() && !s.quitting {
		length, ok := s.nextMessage(arrivedAt, unprocessed)
		if !ok || length == 0 {
			break
		}
		unprocessed = unprocessed[length:]
	}
	if len(unprocessed) == 0 || s.quitting {
		s.input = nil // idle clients use no buffer memory
	} else {
		s.input = append([]byte(nil), unprocessed...)
	}
	s.processingInput = false
	s.updateState()
	s.closeIfDue()
}

// nextMessage processes the first message of input and returns its length, or 0 if it is incomplete. ok is false if the session
// has ended.
func (s *session) nextMessage(arrivedAt time.Duration, input []byte) (length int, ok bool) {
	if !s.started {
		return s.nextStartup(input)
	}
	message, length, err := pgwire.Next(input, pgwire.MaxQuery)
	if err != nil {
		s.fatal(pgwire.CodeProtocol, "impossible message length")
		return 0, false
	}
	if length > 0 {
		s.handleMessage(arrivedAt, message)
	}
	return length, true
}

// nextStartup is like nextMessage, for messages received before the session has started.
func (s *session) nextStartup(input []byte) (length int, ok bool) {
	code, length, err := pgwire.NextStartup(input)
	switch {
	case err != nil:
		s.fatal(pgwire.CodeProtocol, "impossible startup message")
		return 0, false
	case length == 0:
		return 0, true
	case code == pgwire.SSLCode || code == pgwire.GSSCode:
		s.Conn.Write([]byte{'N'})
	case code>>16 == protocolMajor:
		s.start()
	case code == pgwire.CancelCode: // it gets no answer, whether or not the key is valid
		if key, ok := pgwire.ReadKey(input[8:length]); ok && s.frontend.sessionsByKey[key] != nil {
			s.frontend.sessionsByKey[key].cancel()
		}
		s.Finish()
		return 0, false
	default:
		s.fatal(pgwire.CodeProtocol, "this protocol version is not supported")
		return 0, false
	}
	return length, true
}

// start starts the session and sends the client its cancel key.
func (s *session) start() {
	s.started = true
	s.frontend.lastProcessID++
	s.cancelKey = pgwire.Key{Process: s.frontend.lastProcessID, Secret: rand.Uint32()}
	s.frontend.sessionsByKey[s.cancelKey] = s
	s.Conn.Write(pgwire.AppendWelcome(nil, s.cancelKey))
}

// handleMessage processes one message of a started session.
func (s *session) handleMessage(arrivedAt time.Duration, message pgwire.Message) {
	if len(s.slots) >= maxPipelinedCommands {
		s.fatal(pgwire.CodeTooMany, "too many commands in one pipeline")
		return
	}
	switch message.Type {
	case 'Q':
		text, ok := pgwire.Text(message.Body)
		if !ok {
			s.answerLocally(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.CodeProtocol, "the query is not one string", "")))
			return
		}
		s.submitQuery(arrivedAt, text)
	case 'X':
		s.quitting = true
		s.sendAnswers()
	default:
		s.handleExtended(message.Type)
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

// answerLocally queues an answer to a command that needs no server.
func (s *session) answerLocally(answer []byte) {
	s.slots = append(s.slots, &slot{session: s, answered: true, answer: answer})
	s.queuedAnswerBytes += len(answer)
	s.sendAnswers()
}

// protocolError answers a query that can't be submitted with a protocol error.
func (s *session) protocolError(text string) {
	s.failedBeforeRequest = true
	s.answerLocally(pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.CodeProtocol, text, "")))
}

// sendAnswers writes the answers that are complete, up to the first that is not. If that one has a relay, it starts the relay.
func (s *session) sendAnswers() {
	for len(s.slots) > 0 && s.slots[0].answered {
		s.Conn.Write(s.slots[0].answer)
		s.queuedAnswerBytes -= len(s.slots[0].answer)
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

// cancel ends the first command without an answer, which is the one being executed. If there is none, cancel does nothing, so
// that it can't affect a later command.
func (s *session) cancel() {
	for _, sl := range s.slots {
		if sl.request == nil || sl.answered || sl.relayStarted() {
			continue
		}
		sl.request.HandleDisconnect() // ends the attempt; the query may have been executed, and a server that has begun it goes on
		sl.complete(pgwire.AppendError(nil, "ERROR", translate.Cancelled.Postgres(), "canceling statement due to user request", ""))
		return
	}
}

// fatal reports invalid or excessive input to the client and closes the connection, because the message framing may be lost.
// Earlier commands without an answer are answered with a failure first, as each must get a final answer. If part of an answer
// has been sent, fatal only closes the connection.
func (s *session) fatal(code, text string) {
	if s.answerStarted() {
		s.Finish()
		return
	}
	s.Conn.Write(pgwire.AppendError(s.failAll(), "FATAL", code, text, ""))
	s.Finish()
}

// failAll fails all commands without an answer, empties the slots and returns all answers that were due.
func (s *session) failAll() (answers []byte) {
	for _, sl := range s.slots {
		if !sl.answered {
			sl.abandon()
			sl.answer = pgwire.AppendReady(appendFailure(nil))
		}
		answers = append(answers, sl.answer...)
	}
	s.slots = nil
	return answers
}

// answerStarted reports whether part of an answer has been sent, so that no other message may be written.
func (s *session) answerStarted() bool { return len(s.slots) > 0 && s.slots[0].relayStarted() }

// updateState reports the client's state to the connection limiter.
func (s *session) updateState() {
	state := connlimit.Idle
	switch {
	case len(s.slots) > 0:
		state = connlimit.Active
	case !s.started || s.failedBeforeRequest && !s.requestReceived:
		state = connlimit.Connecting
	case len(s.input) > 0:
		state = connlimit.Receiving
	}
	s.SetState(state)
}

// closeIfDue disconnects the client after an answer if the shutdown requires it, unless input is still being processed.
func (s *session) closeIfDue() {
	if !s.processingInput {
		s.CloseIfDue(true)
	}
}

// InFlight reports whether commands wait for their answers.
func (s *session) InFlight() bool { return len(s.slots) > 0 }

// BufferedInput returns the number of buffered bytes of an incomplete message.
func (s *session) BufferedInput() int { return len(s.input) }

// HasCommand returns false, because every complete command is processed at once.
func (s *session) HasCommand() bool { return false }

// Abandon ends the session's commands because the client is disconnected.
func (s *session) Abandon() {
	delete(s.frontend.sessionsByKey, s.cancelKey)
	for _, sl := range s.slots {
		sl.abandon()
	}
}

// Terminate answers all commands in flight with a failure, unless part of an answer has been sent already.
func (s *session) Terminate() {
	if !s.answerStarted() {
		s.Conn.Write(s.failAll())
	}
}
