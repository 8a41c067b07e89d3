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

// maxClientInput bounds the bytes of commands that a client has sent and that are not taken in yet.
const maxClientInput = 2 * mysql.MaxCommand

// The texts that clients get where no answer can be had.
const (
	shutdownText = "Query execution was interrupted: the server is shutting down"
	failedText   = "Query execution was interrupted: no answer in time; the statement may have run"
	rejectedText = "Too many connections: no server can take this statement now; nothing has run"
)

// session is one client's connection. It carries one command at a time; what comes meanwhile waits. It is the dispatch.Replier of
// its requests.
type session struct {
	frontend.Client
	frontend        *Frontend
	login           login
	threadID        uint32
	client          translate.Client // what the client's program understands
	database        string
	input           []byte
	current         current
	statements      map[uint32]*statement // prepared, by ID
	lastStatementID uint32
}

// current is the command in flight.
type current struct {
	busy      bool
	requestID string
	request   *dispatch.OpenRequest // nil: there is none, or it is abandoned
	fieldList bool                  // the client wants the columns of its answer only
}

// Data takes in what the client has sent.
func (s *session) Data(at time.Duration, data []byte) {
	s.input = append(s.input, data...)
	if len(s.input) > maxClientInput {
		s.failRequest()
		s.Finish()
		return
	}
	s.processInput(at)
}

// processInput takes in the packets that have come, until a command must wait for its answer.
func (s *session) processInput(at time.Duration) {
	s.handlePackets(at)
	s.updateState()
	s.CloseIfDue(true)
}

// handlePackets takes packets until a command must wait for its answer.
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
			s.input = nil // idle clients hold no memory
		}
		s.handlePacket(at, seq, payload)
	}
}

// handlePacket takes in one packet: of the login, or a command.
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

// updateState tells the connection limiter what the client is doing.
func (s *session) updateState() {
	state := connlimit.Idle
	switch {
	case s.current.busy:
		state = connlimit.Active
	case !s.login.done:
		state = connlimit.Connecting
	case len(s.input) > 0:
		state = connlimit.Receiving
	}
	s.SetState(state)
}

// answer gives the command in flight its final answer, unless it has been abandoned, and goes on with what has come meanwhile.
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

// Serve passes on the server's answer to the command in flight.
func (s *session) Serve(answer any) {
	packets := answer.([]byte)
	if s.current.fieldList {
		packets = translate.FieldList(packets)
	}
	s.answer(packets)
}

// Reject tells the client that nothing has run, and when to come again.
func (s *session) Reject(retryAfter time.Duration) {
	text := rejectedText
	if retryAfter > 0 {
		text += fmt.Sprintf("; retry after %d ms", (retryAfter+time.Millisecond-1)/time.Millisecond)
	}
	s.answer(mysql.Append(nil, 1, mysql.Error(mysql.ErrConCount, "08004", text)))
}

// Fail tells the client that its command may have run.
func (s *session) Fail() {
	s.answer(mysql.Append(nil, 1, mysql.Error(mysql.ErrInterrupted, "70100", failedText)))
}

// failRequest answers the command in flight, if there is one.
func (s *session) failRequest() {
	if s.current.request != nil {
		s.current.request.HandleDisconnect()
		s.Fail()
	}
}

// failQueued answers the commands that came ahead of an answer and have not been taken in: nothing of them has run.
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

// InFlight is documented with frontend.Session, as the methods below.
func (s *session) InFlight() bool { return s.current.busy }

// BufferedInput returns the bytes of commands that are not taken in yet.
func (s *session) BufferedInput() int { return len(s.input) }

// HasCommand tells that a command has come that is not taken in yet.
func (s *session) HasCommand() bool {
	_, _, n, err := mysql.Next(s.input, mysql.MaxCommand)
	return n > 0 || err != nil
}

// Abandon gives up the command in flight.
func (s *session) Abandon() {
	if s.frontend.sessionsByThread[s.threadID] == s {
		delete(s.frontend.sessionsByThread, s.threadID)
	}
	if s.current.request != nil {
		s.frontend.EndRequest(s.current.requestID)
		s.current.request.HandleDisconnect()
	}
}

// Terminate answers everything that has come with a failure.
func (s *session) Terminate() {
	s.failRequest()
	s.failQueued()
}

// writePacket sends one packet.
func (s *session) writePacket(seq byte, payload []byte) {
	s.Conn.Write(mysql.Append(nil, seq, payload))
}

// writeOK answers a command that has no result.
func (s *session) writeOK() { s.writePacket(1, mysql.OK()) }

// writeError answers a command with an error.
func (s *session) writeError(code uint16, state, text string) {
	s.writePacket(1, mysql.Error(code, state, text))
}

// writeUnsupported answers a command that the pooler does not support.
func (s *session) writeUnsupported(feature string) {
	s.writeError(mysql.ErrNotSupported, "42000", "This pooler does not support "+feature)
}

// writeTranslationError answers a statement that no server can be sent. Nothing has run.
func (s *session) writeTranslationError(err error) {
	s.Conn.Write(s.client.AppendError(nil, translate.AsError(err)))
}
