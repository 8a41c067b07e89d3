package postgres

import (
	"math/rand/v2"
	"time"

	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/pooler/frontend"
	"threadsail/internal/protocol/pgwire"
	"threadsail/internal/translate"
	"threadsail/internal/transport"
)

const (
	protocolMajor = 3

	maxPipelinedCommands = 64      // commands of one client in flight, above which the client is not read from
	maxQueuedAnswerBytes = 1 << 20 // answers of one client queued behind an earlier one, above which it is not read from either
)

// session is a client's connection. It sends answers in the order of the client's commands.
type session struct {
	frontend.Client
	frontend            *Frontend
	input               frontend.Input
	requestBytes        int // size of the requests in slots
	started             bool
	cancelKey           pgwire.Key    // identifies the session in cancel requests
	requestReceived     bool          // a valid request has been received
	failedBeforeRequest bool          // a command has failed; without a valid request the client still counts as connecting
	skipToSync          bool          // after an error in an extended query, messages are ignored until Sync
	slots               []*slot       // commands whose answers are due, in order of arrival
	queuedAnswerBytes   int           // size of the answers in slots
	processingInput     bool          // Data is processing commands
	quitting            bool          // the client is disconnected after its last answer
	resumedAt           time.Duration // loop time at which commands that had to wait were last allowed to go on
}

// Data processes the bytes received from the client.
func (s *session) Data(arrivedAt time.Duration, received []byte) {
	s.input.Append(received)
	s.processingInput = true
	s.rejectShed()
	s.processMessages(max(arrivedAt, s.resumedAt))
	s.processingInput = false
	s.updateState()
	s.closeIfDue()
}

// Drained goes on with the client's commands once the client has read its answers.
func (s *session) Drained() { s.Continue() }

// Continue goes on with the client's commands if they need not wait any more.
func (s *session) Continue() {
	s.updateWaiting()
	s.updateState()
}

// processMessages processes the messages of the input until one is incomplete or has to wait.
func (s *session) processMessages(arrivedAt time.Duration) {
	for count := 0; s.Connected() && !s.quitting; count++ {
		s.updateWaiting()
		if s.Waiting() {
			return
		}
		if count == frontend.MaxCommandsPerTurn {
			s.Conn.Yield()
			return
		}
		length, ok := s.nextMessage(arrivedAt, s.input.Bytes())
		if !ok || length == 0 {
			return
		}
		s.input.Consume(length)
	}
}

// updateWaiting makes the client's further commands wait while too many are in flight, while it does not read its answers, or while
// others need the memory.
func (s *session) updateWaiting() {
	waits := len(s.slots) >= maxPipelinedCommands || s.queuedAnswerBytes > maxQueuedAnswerBytes || s.MustWait()
	if s.Waiting() && !waits {
		s.resumedAt = s.frontend.loop.Now()
	}
	s.Wait(waits)
}

// nextMessage processes the first message of input and returns its length, or 0 if it is incomplete or has to wait. ok is false if the
// session has ended.
func (s *session) nextMessage(arrivedAt time.Duration, input []byte) (length int, ok bool) {
	if !s.started {
		return s.nextStartup(input)
	}
	size, err := pgwire.Size(input, pgwire.MaxQuery)
	switch {
	case err != nil:
		s.fatal("impossible message length")
		return 0, false
	case size == 0:
		return 0, true
	case !s.Reserve(s.requestBytes+max(size, len(input)), len(s.slots)+1):
		s.updateWaiting()
		return 0, true
	case len(input) < size:
		s.input.Expect(size)
		s.Conn.SetReadSize(size - len(input))
		return 0, true
	}
	s.Conn.SetReadSize(transport.DefaultReadSize)
	s.handleMessage(arrivedAt, pgwire.Message{Type: input[0], Body: input[pgwire.HeaderSize:size], Raw: input[:size]})
	return size, true
}

// Shed discards the message that has begun to arrive. The client gets a rejection once it has sent the rest.
func (s *session) Shed() {
	size, err := pgwire.Size(s.input.Bytes(), pgwire.MaxQuery)
	if !s.started || err != nil || size <= transport.DefaultReadSize { // smaller ones never wait
		return
	}
	s.input.Shed(size, 1) // its type
	s.Conn.SetReadSize(transport.DefaultReadSize)
	s.rejectShed()
	s.Continue()
}

// rejectShed answers a message that has been discarded completely, if there is one. It was not executed.
func (s *session) rejectShed() {
	head, complete := s.input.ShedComplete()
	switch {
	case !complete:
	case head[0] == 'Q':
		s.answerLocally(pgwire.AppendReady(pgwire.AppendRefusal(nil, 0)))
	default:
		s.handleExtended(head[0])
	}
}

// nextStartup is like nextMessage, for messages received before the session has started.
func (s *session) nextStartup(input []byte) (length int, ok bool) {
	code, length, err := pgwire.NextStartup(input)
	switch {
	case err != nil:
		s.fatal("impossible startup message")
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
		s.fatal("this protocol version is not supported")
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
		s.fatal("unknown message type")
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
		s.requestBytes -= s.slots[0].requestBytes
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
	s.updateWaiting()
	s.updateState()
	s.closeIfDue()
}

// cancel ends the first command without an answer, which is the one being executed. If there is none, or its answer is being sent, cancel
// does nothing, so that it can't affect a later command.
func (s *session) cancel() {
	if len(s.slots) == 0 || s.answerStarted() {
		return
	}
	sl := s.slots[0]
	if sl.request == nil {
		return
	}
	sl.request.HandleDisconnect() // ends the attempt; the query may have been executed, and a server that has begun it goes on
	sl.complete(pgwire.AppendError(nil, "ERROR", translate.Cancelled.Postgres(), "canceling statement due to user request", ""))
}

// fatal reports invalid input to the client and closes the connection, because the message framing may be lost.
// Earlier commands without an answer are answered with a failure first, as each must get a final answer. If part of an answer
// has been sent, fatal only closes the connection.
func (s *session) fatal(text string) {
	if s.answerStarted() {
		s.Finish()
		return
	}
	s.Conn.Write(pgwire.AppendError(s.failAll(), "FATAL", pgwire.CodeProtocol, text, ""))
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
	s.requestBytes = 0
	return answers
}

// answerStarted reports whether part of an answer has been sent, so that no other message may be written.
func (s *session) answerStarted() bool { return len(s.slots) > 0 && s.slots[0].relayStarted() }

// updateState reports to the connection limiter what the client uses.
func (s *session) updateState() {
	state := connlimit.Idle
	switch {
	case len(s.slots) > 0 || s.Waiting() && s.HasCommand():
		state = connlimit.Active
	case !s.started || s.failedBeforeRequest && !s.requestReceived:
		state = connlimit.Connecting
	case s.input.Len() > 0 || s.input.Shedding():
		state = connlimit.Receiving
	}
	s.SetUsage(connlimit.Usage{
		State:       state,
		Bytes:       s.input.Size() + s.requestBytes,
		Commands:    len(s.slots),
		AnswerBytes: s.queuedAnswerBytes,
		Discardable: s.input.Incomplete(),
	})
}

// closeIfDue disconnects the client after an answer if the shutdown requires it, unless input is still being processed.
func (s *session) closeIfDue() {
	if !s.processingInput {
		s.CloseIfDue(true)
	}
}

// InFlight reports whether commands wait for their answers.
func (s *session) InFlight() bool { return len(s.slots) > 0 }

// BufferedInput returns the number of bytes that have been received and not processed, or discarded.
func (s *session) BufferedInput() int {
	if s.input.Shedding() {
		return max(s.input.Len(), 1)
	}
	return s.input.Len()
}

// HasCommand reports whether the buffered input has a complete or invalid message. It may have while commands have to wait.
func (s *session) HasCommand() bool {
	if !s.started {
		_, length, err := pgwire.NextStartup(s.input.Bytes())
		return length > 0 || err != nil
	}
	_, length, err := pgwire.Next(s.input.Bytes(), pgwire.MaxQuery)
	return length > 0 || err != nil
}

// Abandon ends the session's commands because the client is disconnected.
func (s *session) Abandon() {
	delete(s.frontend.sessionsByKey, s.cancelKey)
	for _, sl := range s.slots {
		sl.abandon()
	}
}

// Terminate answers all commands in flight, and those that wait, with a failure, unless part of an answer has been sent already.
func (s *session) Terminate() {
	if s.answerStarted() {
		return
	}
	s.Conn.Write(s.failAll())
	for s.started {
		message, length, err := pgwire.Next(s.input.Bytes(), pgwire.MaxQuery)
		if err != nil || length == 0 || message.Type == 'X' {
			return
		}
		s.input.Consume(length)
		if message.Type == 'Q' {
			s.Conn.Write(pgwire.AppendReady(appendFailure(nil)))
		}
	}
}
