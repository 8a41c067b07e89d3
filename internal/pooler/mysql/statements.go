package mysql

import (
	"fmt"
	"time"

	"threadsail/internal/protocol/comment"
	"threadsail/internal/protocol/mysql"
)

const (
	maxClientStatements = 1024   // prepared by one client
	maxStatementParams  = 0xffff // as the protocol counts them
)

// statement is one that a client has prepared. It belongs to the session, not to a server: it outlives any connection to one.
type statement struct {
	text         string
	paramCount   int
	scan         mysql.Scan
	comment      *comment.Comment // nil: it has none
	translated   *Translated      // nil: it has not been needed yet
	paramTypes   []byte
	longData     []mysql.LongData
	longDataSize int
}

// handlePrepare is answered here. The parameters are counted; what columns come, the answer to EXECUTE tells.
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
	cm, ok := s.parseComment(text)
	if !ok {
		return
	}
	s.lastStatementID++
	s.statements[s.lastStatementID] = &statement{text: text, paramCount: scan.Params, scan: scan, comment: cm}
	s.Conn.Write(appendPrepared(nil, s.lastStatementID, scan.Params))
}

// appendPrepared appends the answer to PREPARE: a definition for each parameter, and no columns.
func appendPrepared(dst []byte, id uint32, params int) []byte {
	dst = mysql.Append(dst, 1, mysql.PrepareOK{ID: id, Params: params}.Payload())
	if params == 0 {
		return dst
	}
	const firstSeq = 2
	definition := mysql.ColumnDef("?")
	for i := range params {
		dst = mysql.Append(dst, byte(firstSeq+i), definition)
	}
	return mysql.Append(dst, byte(firstSeq+params), mysql.EOF())
}

// handleStatementCommand takes in a command on a prepared statement.
func (s *session) handleStatementCommand(at time.Duration, payload []byte) {
	id, ok := mysql.StatementID(payload)
	st := s.statements[id]
	if !ok || st == nil {
		if expectsResponse(payload[0]) {
			s.writeError(mysql.ErrUnknownStmt, "HY000", fmt.Sprintf("Unknown prepared statement handler (%d)", id))
		}
		return
	}
	switch payload[0] {
	case mysql.ComStmtClose:
		delete(s.statements, id)
	case mysql.ComStmtReset:
		st.longData = nil
		st.longDataSize = 0
		s.writeOK()
	case mysql.ComStmtFetch:
		s.writeError(mysql.ErrNoCursor, "HY000", "The statement has no open cursor")
	case mysql.ComStmtSendLong:
		s.handleLongData(st, payload)
	case mysql.ComStmtExecute:
		s.handleExecute(at, st, payload)
	}
}

// handleLongData keeps a part of a parameter's value until the next EXECUTE.
func (s *session) handleLongData(st *statement, payload []byte) {
	_, data, err := mysql.ParseLongData(payload)
	st.longDataSize += len(data.Data)
	if err != nil || st.longDataSize > mysql.MaxCommand || int(data.Param) >= st.paramCount {
		s.writeError(mysql.ErrTooBig, "08S01", "Too much or misplaced long data")
		s.Finish()
		return
	}
	st.longData = append(st.longData, data)
}

// handleExecute submits a prepared statement with its parameters.
func (s *session) handleExecute(at time.Duration, st *statement, payload []byte) {
	execute, err := mysql.ParseExecute(payload, st.paramCount, st.paramTypes)
	if err != nil {
		s.writeError(mysql.ErrWrongArgs, "HY000", err.Error())
		return
	}
	st.paramTypes = execute.Types
	cmd := &Command{
		Text:       st.text,
		Comment:    st.comment,
		Database:   s.database,
		Prepared:   true,
		ParamCount: st.paramCount,
		Execute:    execute,
		LongData:   st.longData,
	}
	st.longData = nil
	st.longDataSize = 0
	s.submit(at, st.scan.Kind, cmd, st)
}
