package mysql

import (
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"threadsail/internal/protocol/mysql"
	"threadsail/internal/translate"
)

// errKillDenied is the code of MySQL's ER_KILL_DENIED_ERROR.
const errKillDenied = 1095

// errBadDatabase is the code of MySQL's ER_WRONG_DB_NAME, and maxDatabaseName the maximum size in bytes of a COM_INIT_DB payload: names
// have 64 characters at most.
const (
	errBadDatabase  = 1102
	maxDatabaseName = 1 + 4*64
)

// killPayloadLength is the length in bytes of a COM_PROCESS_KILL payload: the command byte and a thread ID.
const killPayloadLength = 5

// expectsResponse reports whether the protocol defines a response to command.
func expectsResponse(command byte) bool {
	return command != mysql.ComStmtClose && command != mysql.ComStmtSendLong
}

// handleCommand executes, submits or rejects one command, which arrived at the time at.
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

// handleSessionCommand answers a command that affects only the session, without a server. It rejects unknown commands.
func (s *session) handleSessionCommand(payload []byte) {
	switch payload[0] {
	case mysql.ComPing:
		s.writeOK()
	case mysql.ComInitDB:
		if len(payload) > maxDatabaseName {
			s.writeError(errBadDatabase, "42000", "Incorrect database name")
			return
		}
		s.database = string(payload[1:])
		s.writeOK()
	case mysql.ComResetConnection:
		s.statements = map[uint32]*statement{}
		s.statementBytes = 0
		s.longDataBytes = 0
		s.writeOK()
	case mysql.ComSetOption:
		s.writeUnsupported("several statements in one command")
	default:
		s.writeError(mysql.ErrUnknownCommand, "08S01", "Unknown command")
	}
}

// handleFieldList handles COM_FIELD_LIST. Its arguments are a table name and a column pattern. Only an empty pattern is supported;
// clients that filter the columns themselves send an empty one.
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
	s.submit(at, mysql.Read, &Command{Text: text, Database: s.database}, nil)
	if s.InFlight() {
		s.pending.fieldList = true
	}
}

// handleQuery handles COM_QUERY, a statement in text form.
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
	if parsedComment, ok := s.parseComment(decoded); ok {
		s.submit(at, scan.Kind, &Command{Text: decoded, Comment: parsedComment, Database: s.database}, nil)
	}
}

// handleSet answers a SET statement that affects only the session. SET NAMES changes the character set of the client.
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

// checkSupported reports whether a statement is supported. If it is not, checkSupported sends the client an error.
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

// decodeText converts text from the client's character set to UTF-8. If that fails, it sends the client an error and returns false.
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

// handleProcessKill handles COM_PROCESS_KILL, the binary form of KILL CONNECTION.
func (s *session) handleProcessKill(payload []byte) {
	if len(payload) != killPayloadLength {
		s.writeError(mysql.ErrHandshake, "08S01", "Malformed communication packet")
		return
	}
	s.handleKill(mysql.Kill{ID: binary.LittleEndian.Uint32(payload[1:]), Connection: true})
}

// handleKill cancels the command in flight of the session with the given thread ID immediately. If kill.Connection is set, it also
// cancels the commands behind that one and closes the session. A command that has already been answered is not affected, so a cancellation
// never hits a later command than the one that the client meant, as far as the client can tell.
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
	case other.InFlight():
		other.pending.cancel()
	case other == s:
		s.writeError(mysql.ErrInterrupted, "70100", cancelledText)
	}
	if kill.Connection {
		other.failQueued(cancelledText)
		other.Finish()
	}
}
