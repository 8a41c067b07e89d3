package mysql

import (
	"time"

	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/pooler/frontend"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/translate"
	"threadsail/internal/transport"
)

// maxReadAhead is the number of bytes above which a client is not read from while its commands wait for their turn. It is read from
// until then because its close shows only behind what it has sent.
const maxReadAhead = 1 << 20

// maxLoginPacket is the maximum size in bytes of a packet before the client has logged in.
const maxLoginPacket = 8 << 10

// shutdownText is the error message for buffered commands that a shutdown leaves without execution.
const shutdownText = "Query execution was interrupted: the server is shutting down"

// session is the session of one client connection. It executes one command at a time and buffers the input that arrives meanwhile.
type session struct {
	frontend.Client
	frontend        *Frontend
	login           login
	threadID        uint32
	client          translate.Client // protocol generation and character set of the client
	database        string
	input           frontend.Input
	resumedAt       time.Duration         // loop time at which commands that had to wait were last allowed to go on
	pending         *pendingCommand       // the command in flight; nil: none
	statements      map[uint32]*statement // prepared statements, keyed by ID
	statementBytes  int                   // of the prepared statements, with their long data
	longDataBytes   int                   // of the long data
	lastStatementID uint32
}

// Data processes bytes received from the client.
func (s *session) Data(at time.Duration, data []byte) {
	s.input.Append(data)
	s.handlePackets(max(at, s.resumedAt))
	s.updateWaiting()
	s.updateState()
	s.CloseIfDue(true)
}

// Drained goes on with the client's commands once the client has read its answers.
func (s *session) Drained() { s.Continue() }

// Continue goes on with the client's commands if they need not wait any more.
func (s *session) Continue() {
	s.resumedAt = s.frontend.loop.Now()
	s.updateWaiting()
	s.updateState()
}

// updateWaiting makes the client wait while it does not read its answers, has sent much ahead, or others need the memory.
func (s *session) updateWaiting() {
	s.Wait(s.MustWait() || s.InFlight() && !s.mayReadAhead())
}

// mayReadAhead reports whether the client may send more while its command is in flight.
func (s *session) mayReadAhead() bool {
	return s.input.Len() < maxReadAhead && s.TryReserve(s.memoryUsed()+transport.DefaultReadSize)
}

// handlePackets processes the buffered packets until a command must wait or the session ends.
func (s *session) handlePackets(at time.Duration) {
	for count := 0; !s.InFlight() && s.Connected() && !s.Conn.Blocked(); count++ {
		if s.rejectShed() {
			continue
		}
		if count == frontend.MaxCommandsPerTurn && s.HasCommand() {
			s.Conn.Yield()
			return
		}
		seq, payload, ok := s.nextPacket()
		if !ok {
			return
		}
		s.handlePacket(at, seq, payload)
	}
}

// nextPacket removes the first packet from the input. It returns false if the packet is incomplete or has to wait, or if the session
// has ended.
func (s *session) nextPacket() (seq byte, payload []byte, ok bool) {
	input, limit := s.input.Bytes(), s.packetLimit()
	size, err := mysql.Size(input, limit)
	switch {
	case err != nil:
		s.writePacket(1, mysql.Error(mysql.ErrTooBig, "08S01", "Got a packet bigger than 'max_allowed_packet' bytes"))
		s.Finish()
		return 0, nil, false
	case size == 0 || len(input) < min(size, shedHeaderBytes):
		return 0, nil, false
	case !s.Reserve(s.memoryUsed()-s.input.Size()+max(size, len(input)), 1):
		return 0, nil, false
	case len(input) < size:
		s.input.Expect(size)
		s.Conn.SetReadSize(size - len(input))
		return 0, nil, false
	}
	s.Conn.SetReadSize(transport.DefaultReadSize)
	seq, packet, _, _ := mysql.Next(input, limit)
	payload = append([]byte(nil), packet...)
	s.input.Consume(size)
	return seq, payload, true
}

// packetLimit returns the maximum size in bytes of the client's next packet.
func (s *session) packetLimit() int {
	if s.login.done {
		return mysql.MaxCommand
	}
	return maxLoginPacket
}

// memoryUsed returns the bytes that the client's input, its command in flight and its prepared statements take.
func (s *session) memoryUsed() int {
	used := s.input.Size() + s.statementBytes
	if s.InFlight() {
		used += s.pending.bytes
	}
	return used
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

// updateState reports to the connection limiter what the client uses. A complete command that waits for its turn counts as in flight:
// the client is owed an answer to it.
func (s *session) updateState() {
	state := connlimit.Idle
	switch {
	case s.InFlight() || s.login.done && s.HasCommand():
		state = connlimit.Active
	case !s.login.done:
		state = connlimit.Connecting
	case s.input.Len() > 0 || s.input.Shedding():
		state = connlimit.Receiving
	}
	commands := 0
	if s.InFlight() {
		commands = 1
	}
	s.SetUsage(connlimit.Usage{
		State:       state,
		Bytes:       s.memoryUsed(),
		Commands:    commands,
		Discardable: !s.InFlight() && (s.input.Incomplete() || s.longDataBytes > 0),
	})
}

// commandAnswered sends the final answer of the command that was in flight, and schedules the processing of the input received meanwhile.
func (s *session) commandAnswered(packets []byte) {
	if !s.Connected() {
		return
	}
	s.resumedAt = s.frontend.loop.Now()
	s.Conn.Write(packets)
	s.updateWaiting()
	s.updateState()
	if s.input.Len() > 0 {
		s.Conn.Yield()
		return
	}
	s.CloseIfDue(true)
}

// failQueued answers the buffered commands with an error, and one that has been discarded with its rejection. None of them has been
// executed.
func (s *session) failQueued(text string) {
	s.rejectShed()
	for s.login.done {
		_, payload, n, err := mysql.Next(s.input.Bytes(), mysql.MaxCommand)
		if err != nil || n == 0 || len(payload) == 0 || payload[0] == mysql.ComQuit {
			return
		}
		command := payload[0]
		s.input.Consume(n)
		if expectsResponse(command) {
			s.writeError(mysql.ErrInterrupted, "70100", text)
		}
	}
}

// InFlight implements frontend.Session, as do the methods below.
func (s *session) InFlight() bool { return s.pending != nil }

// BufferedInput returns the number of bytes that have been received and not processed, or discarded.
func (s *session) BufferedInput() int {
	if s.input.Shedding() {
		return max(s.input.Len(), 1)
	}
	return s.input.Len()
}

// HasCommand reports whether the buffered input has a complete or invalid packet.
func (s *session) HasCommand() bool {
	_, _, n, err := mysql.Next(s.input.Bytes(), s.packetLimit())
	return n > 0 || err != nil
}

// Abandon removes the session from the frontend and abandons the command in flight.
func (s *session) Abandon() {
	if s.frontend.sessionsByThread[s.threadID] == s {
		delete(s.frontend.sessionsByThread, s.threadID)
	}
	if s.InFlight() {
		s.pending.abandon()
	}
}

// Terminate answers the command in flight and all buffered commands with an error.
func (s *session) Terminate() {
	if s.InFlight() {
		s.pending.terminate()
	}
	s.failQueued(shutdownText)
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
