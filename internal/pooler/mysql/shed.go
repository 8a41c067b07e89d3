package mysql

import (
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/transport"
)

// What is kept of a packet that is discarded for want of memory: its header, the command and a statement's ID at least, and of an EXECUTE
// the parameter types.
const (
	packetHeaderBytes = 4
	shedHeaderBytes   = packetHeaderBytes + 5
	maxShedHead       = 4 << 10 // an EXECUTE with more types has to send them again
)

// Shed discards the packet that has begun to arrive, or else the long data for statements. The client gets a rejection once it has sent
// the rest of the packet, or executes a statement.
func (s *session) Shed() {
	s.rejectShed()
	size, err := mysql.Size(s.input.Bytes(), s.packetLimit())
	switch {
	case !s.login.done || err != nil:
		return
	case size > transport.DefaultReadSize && !s.InFlight() && s.input.Len() >= shedHeaderBytes: // smaller ones never wait
		s.input.Shed(size, s.shedHeadSize())
		s.Conn.SetReadSize(transport.DefaultReadSize)
		s.Conn.Yield()
	default:
		s.discardAllLongData()
	}
	s.Continue()
}

// shedHeadSize returns the number of bytes to keep of the packet that is discarded.
func (s *session) shedHeadSize() int {
	command := s.input.Bytes()[packetHeaderBytes:]
	id, _ := mysql.StatementID(command)
	prepared := s.statements[id]
	if command[0] != mysql.ComStmtExecute || prepared == nil {
		return shedHeaderBytes
	}
	return min(packetHeaderBytes+mysql.ExecuteHeadSize(prepared.paramCount), maxShedHead)
}

// rejectShed answers a command that has been discarded completely, if there is one, and reports whether there was. It was not executed.
func (s *session) rejectShed() bool {
	head, complete := s.input.ShedComplete()
	if !complete {
		return false
	}
	command := head[packetHeaderBytes:]
	id, _ := mysql.StatementID(command)
	if prepared := s.statements[id]; prepared != nil {
		s.shedStatementCommand(prepared, command)
	}
	if expectsResponse(command[0]) {
		s.writeError(mysql.ErrConCount, "08004", rejectedText)
	}
	return true
}

// shedStatementCommand leaves a statement as a command for it leaves it that was discarded. An EXECUTE uses up the long data although it
// is rejected: its client sends the data again with the next one. It sends the types of the parameters only once, so these are kept.
func (s *session) shedStatementCommand(prepared *statement, head []byte) {
	switch head[0] {
	case mysql.ComStmtSendLong:
		s.discardLongData(prepared)
	case mysql.ComStmtExecute:
		s.takeLongData(prepared)
		execute, err := mysql.ParseExecute(head, prepared.paramCount, prepared.paramTypes)
		if err != nil { // its types are not known, and those before it may not apply any more
			execute.Types = nil
		}
		prepared.paramTypes = execute.Types
	}
}
