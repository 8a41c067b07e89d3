package mysql

import (
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"threadsail/internal/protocol/mysql"
	"threadsail/internal/translate"
)

// errKillDenied is MySQL's ER_KILL_DENIED_ERROR.
const errKillDenied = 1095

// killPayloadLength is that of COM_PROCESS_KILL: the command and a thread ID.
const killPayloadLength = 5

// expectsResponse tells whether a command gets an answer at all.
func expectsResponse(command byte) bool {
	return command != mysql.ComStmtClose && command != mysql.ComStmtSendLong
}

// handleCommand takes in one command.
func (s *session) handleCommand(at time.Duration, payload []byte) {
	switch payload[0] {
	case mysql.ComQuit:
		s.Finish()
	case mysql.ComFieldList:
		s.handleFieldList(at, string(payload[1:]))
	case mysql.ComProcessKill:
		s.handleProcessKill(payload)
	case mysql.ComQuery:
		s.handleQuery(at, string(payload[1:]))
	case mysql.ComStmtPrepare:
		s.handlePrepare(string(payload[1:]))
	case mysql.ComStmtExecute, mysql.ComStmtSendLong, mysql.ComStmtClose, mysql.ComStmtReset, mysql.ComStmtFetch:
		s.handleStatementCommand(at, payload)
	default:
		s.handleSessionCommand(payload)
	}
}

// handleSessionCommand answers a command that concerns the session alone.
func (s *session) handleSessionCommand(payload []byte) {
	switch payload[0] {
	case mysql.ComPing:
		s.writeOK()
	case mysql.ComInitDB:
		s.database = string(payload[1:])
		s.writeOK()
	case mysql.ComResetConnection:
		s.statements = map[uint32]*statement{}
		s.writeOK()
	case mysql.ComSetOption:
		s.writeUnsupported("several statements in one command")
	default:
		s.writeError(mysql.ErrUnknownCommand, "08S01", "Unknown command")
	}
}

// handleFieldList takes in a table's name, and a pattern, which clients that match by themselves leave empty.
func (s *session) handleFieldList(at time.Duration, arguments string) {
	name, pattern, _ := strings.Cut(arguments, "\x00")
	table, ok := s.decodeText(name)
	if !ok {
		return
	}
	if pattern != "" || table == "" {
		s.writeUnsupported("a list of fields by a pattern")
		return
	}
	text := "SELECT * FROM `" + strings.ReplaceAll(table, "`", "``") + "` LIMIT 0"
	s.current.fieldList = true
	s.submit(at, mysql.Read, &Command{Text: text, Database: s.database}, nil)
	s.current.fieldList = s.current.busy
}

// handleQuery takes in a statement as text.
func (s *session) handleQuery(at time.Duration, text string) {
	if kill, ok := mysql.ParseKill(text); ok {
		s.handleKill(kill)
		return
	}
	setsMode, err := translate.SetsMode(text)
	if err != nil {
		s.writeTranslationError(err)
		return
	}
	if setsMode {
		s.writeOK()
		return
	}
	scan := mysql.ScanStatement(text)
	if !s.checkSupported(scan) {
		return
	}
	if scan.Kind == mysql.Local {
		s.handleSet(scan)
		return
	}
	decoded, ok := s.decodeText(text)
	if !ok {
		return
	}
	if cm, ok := s.parseComment(decoded); ok {
		s.submit(at, scan.Kind, &Command{Text: decoded, Comment: cm, Database: s.database}, nil)
	}
}

// handleSet answers a SET that concerns the session alone.
func (s *session) handleSet(scan mysql.Scan) {
	if scan.Names != "" {
		charset, ok := translate.CharsetNamed(scan.Names)
		if !ok && scan.Names != "default" {
			s.writeUnsupported("the character set " + scan.Names)
			return
		}
		if ok {
			s.client.Charset = charset
		}
	}
	s.writeOK()
}

// checkSupported answers a statement that is not supported, and tells whether it is.
func (s *session) checkSupported(scan mysql.Scan) bool {
	switch {
	case scan.Multi:
		s.writeUnsupported("several statements in one command")
	case scan.Kind == mysql.Unsupported:
		s.writeUnsupported("transactions, LOAD DATA or statements that need a session's state")
	default:
		return true
	}
	return false
}

// decodeText returns a client's text in UTF-8. Where that fails the client gets the error.
func (s *session) decodeText(text string) (string, bool) {
	if !s.client.Foreign() {
		return text, true
	}
	decoded, err := s.client.Charset.Decode([]byte(text))
	if err != nil {
		s.writeTranslationError(err)
		return "", false
	}
	return string(decoded), true
}

// handleProcessKill takes in the command's form of KILL.
func (s *session) handleProcessKill(payload []byte) {
	if len(payload) != killPayloadLength {
		s.writeError(mysql.ErrHandshake, "08S01", "Malformed communication packet")
		return
	}
	s.handleKill(mysql.Kill{ID: binary.LittleEndian.Uint32(payload[1:]), Connection: true})
}

// handleKill ends what another connection executes, at once, and that connection if it is to end. A command that has its answer is
// not touched: a cancel never reaches the command after the one it was meant for, as far as its client could know.
func (s *session) handleKill(kill mysql.Kill) {
	other := s.frontend.sessionsByThread[kill.ID]
	switch {
	case other == nil || !other.login.done:
		s.writeError(mysql.ErrNoThread, "HY000", fmt.Sprintf("Unknown thread id: %d", kill.ID))
		return
	case other.login.user != s.login.user:
		s.writeError(errKillDenied, "HY000", fmt.Sprintf("You are not owner of thread %d", kill.ID))
		return
	}
	if other != s {
		s.writeOK()
	}
	switch {
	case other.current.request != nil:
		other.cancel()
	case other == s:
		s.writeError(mysql.ErrInterrupted, "70100", "Query execution was interrupted")
	}
	if kill.Connection {
		other.Finish()
	}
}

// cancel ends the command in flight. The policy ends its attempt; it may have run, and goes on at a server that has begun it.
func (s *session) cancel() {
	s.current.request.HandleDisconnect()
	code, state := translate.Cancelled.MySQL(s.client.Generation)
	s.answer(mysql.Append(nil, 1, mysql.Error(code, state, "Query execution was interrupted")))
}
