package mysql

import (
	"fmt"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/pooler/frontend"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/translate"
)

// maxClientInput is the maximum size in bytes of the received client input that has not been processed yet.
const maxClientInput = 2 * mysql.MaxCommand

// Error messages sent to clients whose command gets no answer from a server.
const (
	shutdownText = "Query execution was interrupted: the server is shutting down"
	failedText   = "Query execution was interrupted: no answer in time; the statement may have run"
	rejectedText = "Too many connections: no server can take this statement now; nothing has run"
)

// session is the session of one client connection. It executes one command at a time and buffers the input that arrives meanwhile.
// It is the dispatch.Replier of its requests.
type session struct {
	frontend.Client
	frontend        *Frontend
	login           login
	threadID        uint32
	client          translate.Client // protocol generation and character set of the client
	database        string
	input           []byte
	current         current
	statements      map[uint32]*statement // prepared statements, keyed by ID
	lastStatementID uint32
}

// current is the state of the command in flight.
type current struct {
	busy      bool
	requestID string
	request   *dispatch.OpenRequest // nil if there is none or it is abandoned
	fieldList bool                  // the command is COM_FIELD_LIST, which returns only the columns
}

// Data processes bytes received from the client. It closes the session if the buffered input exceeds maxClientInput.
func (s *session) Data(at time.Duration, data []byte) {
	s.input = append(s.input, data...)
	if len(s.input) > maxClientInput {
		s.failRequest()
		s.Finish()
		return
	}
	s.processInput(at)
}

// processInput processes the buffered packets until a command must wait for its answer, then updates the state of the session.
func (s *session) processInput(at time.Duration) {
	s.handlePackets(at)
	s.updateState()
	s.CloseIfDue(true)
}

// handlePackets processes the buffered packets until a command must wait for its answer or the session ends.
func (s *session) handlePackets(at time.Duration) {
	for !s.current.busy && s.Connected() {
		seq, packet, n, err := mysql.Next(s.input, mysql.MaxCommand)
		switch {
		case err != nil:
			s.writePacket(1, mysql.Error(mysql.ErrTooBig, "08S01", "Got a packet bigger than 'max_allowed_packet' bytes"))
			s.Finish()
			return
		case n == 0:
			return
		}
		payload := append([]byte(nil), packet...)
		s.input = s.input[n:]
		if len(s.input) == 0 {
			s.input = nil // release the buffer, so that idle clients use no memory
		}
		s.handlePacket(at, seq, payload)
	}
}

// handlePacket processes one packet, which belongs to the login or is a command.
func (s *session) handlePacket(at time.Duration, seq byte, payload []byte) {
	switch {
	case !s.login.done:
		s.handleLogin(seq, payload)
	case seq != 0 || len(payload) == 0:
		s.writePacket(1, mysql.Error(mysql.ErrHandshake, "08S01", "Got packets out of order"))
		s.Finish()
	default:
		s.handleCommand(at, payload)
	}
}

// updateState reports the state of the session to the connection limiter. A complete command that waits for its turn counts as in
// flight: the client is owed an answer to it.
func (s *session) updateState() {
	state := connlimit.Idle
	switch {
	case s.current.busy || s.login.done && s.HasCommand():
		state = connlimit.Active
	case !s.login.done:
		state = connlimit.Connecting
	case len(s.input) > 0:
		state = connlimit.Receiving
	}
	s.SetState(state)
}

// answer sends the final answer of the command in flight, unless the command has been abandoned, and schedules the processing of the
// input received meanwhile.
func (s *session) answer(packets []byte) {
	if s.current.request == nil {
		return
	}
	s.frontend.EndRequest(s.current.requestID)
	s.current = current{}
	if !s.Connected() {
		return
	}
	s.Conn.Write(packets)
	s.updateState()
	if len(s.input) > 0 {
		s.frontend.loop.Post(func() { s.processInput(s.frontend.loop.Now()) })
		return
	}
	s.CloseIfDue(true)
}

// Serve sends the client the server's answer to the command in flight.
func (s *session) Serve(answer any) {
	packets := answer.([]byte)
	if s.current.fieldList {
		packets = translate.FieldList(packets)
	}
	s.answer(packets)
}

// Reject answers the command in flight with an error which states that nothing was executed and, if retryAfter is positive, when to
// retry.
func (s *session) Reject(retryAfter time.Duration) {
	text := rejectedText
	if retryAfter > 0 {
		text += fmt.Sprintf("; retry after %d ms", (retryAfter+time.Millisecond-1)/time.Millisecond)
	}
	s.answer(mysql.Append(nil, 1, mysql.Error(mysql.ErrConCount, "08004", text)))
}

// Fail answers the command in flight with an error which states that the command may have been executed.
func (s *session) Fail() {
	s.answer(mysql.Append(nil, 1, mysql.Error(mysql.ErrInterrupted, "70100", failedText)))
}

// failRequest abandons the command in flight, if there is one, and fails it.
func (s *session) failRequest() {
	if s.current.request != nil {
		s.current.request.HandleDisconnect()
		s.Fail()
	}
}

// failQueued answers the buffered commands with an error. None of them has been executed.
func (s *session) failQueued() {
	for s.login.done {
		_, payload, n, err := mysql.Next(s.input, mysql.MaxCommand)
		if err != nil || n == 0 || len(payload) == 0 || payload[0] == mysql.ComQuit {
			return
		}
		s.input = s.input[n:]
		if expectsResponse(payload[0]) {
			s.writeError(mysql.ErrInterrupted, "70100", shutdownText)
		}
	}
}

// InFlight implements frontend.Session, as do the methods below.
func (s *session) InFlight() bool { return s.current.busy }

// BufferedInput returns the number of input bytes that have not been processed yet.
func (s *session) BufferedInput() int { return len(s.input) }

// HasCommand reports whether the buffered input has a complete or invalid packet.
func (s *session) HasCommand() bool {
	_, _, n, err := mysql.Next(s.input, mysql.MaxCommand)
	return n > 0 || err != nil
}

// Abandon removes the session from the frontend and abandons the command in flight.
func (s *session) Abandon() {
	if s.frontend.sessionsByThread[s.threadID] == s {
		delete(s.frontend.sessionsByThread, s.threadID)
	}
	if s.current.request != nil {
		s.frontend.EndRequest(s.current.requestID)
		s.current.request.HandleDisconnect()
	}
}

// Terminate answers the command in flight and all buffered commands with an error.
func (s *session) Terminate() {
	s.failRequest()
	s.failQueued()
}

// writePacket sends one packet to the client.
func (s *session) writePacket(seq byte, payload []byte) {
	s.Conn.Write(mysql.Append(nil, seq, payload))
}

// writeOK answers a command with an OK packet.
func (s *session) writeOK() { s.writePacket(1, mysql.OK()) }

// writeError answers a command with an error.
func (s *session) writeError(code uint16, state, text string) {
	s.writePacket(1, mysql.Error(code, state, text))
}

// writeUnsupported answers a command that the pooler does not support.
func (s *session) writeUnsupported(feature string) {
	s.writeError(mysql.ErrNotSupported, "42000", "This pooler does not support "+feature)
}

// writeTranslationError answers a statement that can't be decoded or translated with an error. Nothing has been executed.
func (s *session) writeTranslationError(err error) {
	s.Conn.Write(s.client.AppendError(nil, translate.AsError(err)))
}
