package mysql

import (
	"fmt"
	"slices"
	"time"

	"threadsail/internal/protocol/comment"
	"threadsail/internal/protocol/mysql"
)

// statementOverhead is the memory in bytes that a prepared statement takes beside its text.
const statementOverhead = 512

const (
	maxClientStatements = 1024   // maximum number of prepared statements of one client
	maxStatementParams  = 0xffff // maximum of the protocol's 16-bit parameter count
)

// statement is a prepared statement of a client. It belongs to the session, so it outlives any connection to a server.
type statement struct {
	text         string
	paramCount   int
	scan         mysql.Scan
	comment      *comment.Comment // nil if the statement has none
	translated   *Translated      // nil until the translation is first needed
	paramTypes   []byte
	longData     []mysql.LongData
	longDataSize int
	longDataLost bool // long data was discarded for want of memory, so that the next EXECUTE can't be sent
}

// size returns the memory in bytes that the statement takes.
func (p *statement) size() int { return statementOverhead + len(p.text) + p.longDataSize }

// handlePrepare handles COM_STMT_PREPARE without a server. Its answer has the number of parameters but no columns, which are known
// only from the answer to EXECUTE.
func (s *session) handlePrepare(text string) {
	text, ok := s.decodeText(text)
	if !ok {
		return
	}
	scan := mysql.ScanStatement(text)
	if !s.checkSupported(scan) {
		return
	}
	if scan.Kind == mysql.Local || scan.Params > maxStatementParams {
		s.writeUnsupported("this as a prepared statement")
		return
	}
	if len(s.statements) >= maxClientStatements || !s.TryReserve(s.memoryUsed()+statementOverhead+len(text)) {
		s.writeError(mysql.ErrMaxPrepared, "42000", "Can't create more prepared statements")
		return
	}
	parsedComment, ok := s.parseComment(text)
	if !ok {
		return
	}
	s.lastStatementID++
	prepared := &statement{text: text, paramCount: scan.Params, scan: scan, comment: parsedComment}
	s.statements[s.lastStatementID] = prepared
	s.statementBytes += prepared.size()
	s.Conn.Write(appendPrepared(nil, s.lastStatementID, scan.Params))
}

// appendPrepared appends the answer to PREPARE to dst: a definition for each parameter and no columns.
func appendPrepared(dst []byte, id uint32, paramCount int) []byte {
	dst = mysql.Append(dst, 1, mysql.PrepareOK{ID: id, Params: paramCount}.Payload())
	if paramCount == 0 {
		return dst
	}
	const firstSeq = 2
	definition := mysql.ColumnDef("?")
	for i := range paramCount {
		dst = mysql.Append(dst, byte(firstSeq+i), definition)
	}
	return mysql.Append(dst, byte(firstSeq+paramCount), mysql.EOF())
}

// handleStatementCommand handles a command that refers to a prepared statement.
func (s *session) handleStatementCommand(at time.Duration, payload []byte) {
	id, ok := mysql.StatementID(payload)
	prepared := s.statements[id]
	if !ok || prepared == nil {
		if expectsResponse(payload[0]) {
			s.writeError(mysql.ErrUnknownStmt, "HY000", fmt.Sprintf("Unknown prepared statement handler (%d)", id))
		}
		return
	}
	switch payload[0] {
	case mysql.ComStmtClose:
		s.takeLongData(prepared)
		s.statementBytes -= prepared.size()
		delete(s.statements, id)
	case mysql.ComStmtReset:
		s.takeLongData(prepared)
		s.writeOK()
	case mysql.ComStmtFetch:
		s.writeError(mysql.ErrNoCursor, "HY000", "The statement has no open cursor")
	case mysql.ComStmtSendLong:
		s.handleLongData(prepared, payload)
	case mysql.ComStmtExecute:
		s.handleExecute(at, prepared, payload)
	}
}

// handleLongData stores a part of a parameter's value for the next EXECUTE.
func (s *session) handleLongData(prepared *statement, payload []byte) {
	_, data, err := mysql.ParseLongData(payload)
	s.addLongDataSize(prepared, len(data.Data))
	if err != nil || prepared.longDataSize > mysql.MaxCommand || int(data.Param) >= prepared.paramCount {
		s.writeError(mysql.ErrTooBig, "08S01", "Too much or misplaced long data")
		s.Finish()
		return
	}
	prepared.longData = append(prepared.longData, data)
}

// addLongDataSize counts long data of a statement.
func (s *session) addLongDataSize(prepared *statement, size int) {
	prepared.longDataSize += size
	s.longDataBytes += size
	s.statementBytes += size
}

// takeLongData removes the long data from a statement and returns it. complete is false if some of it was discarded.
func (s *session) takeLongData(prepared *statement) (data []mysql.LongData, complete bool) {
	data, complete = prepared.longData, !prepared.longDataLost
	prepared.longData = nil
	prepared.longDataLost = false
	s.addLongDataSize(prepared, -prepared.longDataSize)
	return data, complete
}

// discardLongData discards the long data of a statement. Its next EXECUTE is rejected.
func (s *session) discardLongData(prepared *statement) {
	s.takeLongData(prepared)
	prepared.longDataLost = true
}

// discardAllLongData discards the long data of all statements that have any.
func (s *session) discardAllLongData() {
	for _, prepared := range s.statements {
		if prepared.longDataSize > 0 {
			s.discardLongData(prepared)
		}
	}
}

// handleExecute submits the execution of a prepared statement with its parameters. As at a server, it uses up the long data, also if
// it fails.
func (s *session) handleExecute(at time.Duration, prepared *statement, payload []byte) {
	longData, complete := s.takeLongData(prepared)
	execute, err := mysql.ParseExecute(payload, prepared.paramCount, prepared.paramTypes)
	if err != nil {
		s.writeError(mysql.ErrWrongArgs, "HY000", err.Error())
		return
	}
	prepared.paramTypes = slices.Clone(execute.Types)
	if !complete {
		s.writeError(mysql.ErrConCount, "08004", rejectedText)
		return
	}
	command := &Command{
		Text:       prepared.text,
		Comment:    prepared.comment,
		Database:   s.database,
		Prepared:   true,
		ParamCount: prepared.paramCount,
		Execute:    execute,
		LongData:   longData,
	}
	s.submit(at, prepared.scan.Kind, command, prepared)
}
