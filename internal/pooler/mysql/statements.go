package mysql

import (
	"fmt"
	"time"

	"threadsail/internal/protocol/comment"
	"threadsail/internal/protocol/mysql"
)

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
}

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
	if len(s.statements) >= maxClientStatements {
		s.writeError(mysql.ErrMaxPrepared, "42000", "Can't create more prepared statements")
		return
	}
	parsedComment, ok := s.parseComment(text)
	if !ok {
		return
	}
	s.lastStatementID++
	s.statements[s.lastStatementID] = &statement{text: text, paramCount: scan.Params, scan: scan, comment: parsedComment}
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
		delete(s.statements, id)
	case mysql.ComStmtReset:
		prepared.longData = nil
		prepared.longDataSize = 0
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
	prepared.longDataSize += len(data.Data)
	if err != nil || prepared.longDataSize > mysql.MaxCommand || int(data.Param) >= prepared.paramCount {
		s.writeError(mysql.ErrTooBig, "08S01", "Too much or misplaced long data")
		s.Finish()
		return
	}
	prepared.longData = append(prepared.longData, data)
}

// handleExecute submits the execution of a prepared statement with its parameters. As at a server, it uses up the long data, also if
// it fails.
func (s *session) handleExecute(at time.Duration, prepared *statement, payload []byte) {
	longData := prepared.longData
	prepared.longData = nil
	prepared.longDataSize = 0
	execute, err := mysql.ParseExecute(payload, prepared.paramCount, prepared.paramTypes)
	if err != nil {
		s.writeError(mysql.ErrWrongArgs, "HY000", err.Error())
		return
	}
	prepared.paramTypes = execute.Types
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
