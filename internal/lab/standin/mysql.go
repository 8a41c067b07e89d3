package standin

import (
	"fmt"
	"net"
	"strings"

	"threadsail/internal/protocol/mysql"
)

// mysqlConn is a connection of a MySQL client to a server.
type mysqlConn struct {
	server   *Server
	conn     net.Conn
	reader   *buffered
	prepared map[uint32]string // texts of the prepared statements, by number
	longData map[uint32]string // received for the next EXECUTE of each statement
}

// serveMySQL answers the commands of a connection until it ends.
func (s *Server) serveMySQL(c net.Conn) {
	m := &mysqlConn{server: s, conn: c, reader: &buffered{c: c}, prepared: map[uint32]string{}, longData: map[uint32]string{}}
	s.setPace(c, m.reader)
	s.mu.Lock()
	how := s.login
	s.mu.Unlock()
	if !logIn(c, m.reader, how) {
		return
	}
	for m.serveCommand() {
		continue
	}
}

// serveCommand reads one command and answers it. It reports whether the connection stays open.
func (m *mysqlConn) serveCommand() bool {
	command, _, err := m.reader.my()
	if err != nil || len(command) == 0 {
		return false
	}
	text, longData, ok := m.statement(command)
	if !ok || m.answerProbe(text) {
		return true
	}
	end, act, readOnly, spoilt := m.server.takeExecute(text, longData)
	switch {
	case spoilt != nil:
		end()
		_ = m.server.currentPace().Write(m.conn, spoilt)
		return true
	case act == Break:
		end()
		return false
	case act == Hang:
		_, _, _ = m.reader.my()
		end()
		return false
	}
	out := m.server.mysqlAnswer(text, act, readOnly, command[0] == mysql.ComStmtExecute)
	end()
	m.server.answer(m.conn, out)
	return true
}

// statement returns the text that a command executes, and the values that were sent ahead of it. ok is false for a command that executes
// none; it has been answered.
func (m *mysqlConn) statement(command []byte) (text, longData string, ok bool) {
	switch command[0] {
	case mysql.ComInitDB:
		m.selectDatabase(string(command[1:]))
		return "", "", false
	case mysql.ComStmtPrepare:
		m.prepare(string(command[1:]))
		return "", "", false
	case mysql.ComStmtSendLong:
		if id, data, err := mysql.ParseLongData(command); err == nil {
			m.longData[id] += string(data.Data)
		}
		return "", "", false
	case mysql.ComStmtClose:
		return "", "", false
	case mysql.ComStmtExecute:
		id, _ := mysql.StatementID(command)
		longData = m.longData[id]
		delete(m.longData, id)
		return m.prepared[id], longData, true
	}
	return string(command[1:]), "", true
}

// selectDatabase answers COM_INIT_DB. No connection can go back to having no database.
func (m *mysqlConn) selectDatabase(name string) {
	answer := mysql.OK()
	if name == "" {
		answer = mysql.Error(1046, "3D000", "No database selected")
	}
	send(m.conn, mysql.Append(nil, 1, answer))
}

// prepare answers PREPARE.
func (m *mysqlConn) prepare(text string) {
	id := uint32(len(m.prepared) + 1)
	m.prepared[id] = text
	params := mysql.ScanStatement(text).Params
	out := mysql.Append(nil, 1, mysql.PrepareOK{ID: id, Params: params}.Payload())
	for i := range params {
		out = mysql.Append(out, byte(2+i), mysql.ColumnDef("?"))
	}
	if params > 0 {
		out = mysql.Append(out, byte(2+params), mysql.EOF())
	}
	send(m.conn, out)
}

// answerProbe answers the queries of a health check, and reports whether the text is one.
func (m *mysqlConn) answerProbe(text string) bool {
	primary, position := m.server.state()
	switch text {
	case "SELECT @@global.read_only":
		send(m.conn, myRow("@@global.read_only", map[bool]string{true: "0", false: "1"}[primary], false))
	case Heartbeat:
		value := fmt.Sprint(position)
		if position == 0 {
			value = "NULL"
		}
		send(m.conn, myRow("ts", value, false))
	default:
		return false
	}
	return true
}

// mysqlAnswer returns the answer to a statement: what act says, or its result. binary is true for the result of an EXECUTE.
func (s *Server) mysqlAnswer(text string, act Act, readOnly, binary bool) []byte {
	switch {
	case act == Fault:
		return mysql.Append(nil, 1, mysql.Error(mysql.ErrUnknown, "HY000", "fault"))
	case act == Full:
		return mysql.Append(nil, 1, mysql.Error(mysql.ErrConCount, "08004", "full"))
	case act == Wrong:
		return mysql.Append(nil, 1, mysql.Error(1062, "23000", "Duplicate entry"))
	case act == Check:
		return mysql.Append(nil, 1, mysql.Error(3819, "HY000", "Check constraint is violated"))
	case readOnly:
		return mysql.Append(nil, 1, mysql.Error(mysql.ErrOptionPrevents, "HY000", "--read-only"))
	case strings.HasPrefix(text, "SHOW REPLICA STATUS"):
		return myRow("Seconds_Behind_Source", "0", false)
	case strings.HasPrefix(text, "SHOW"):
		return mysql.Append(nil, 1, mysql.Error(1064, "42000", "You have an error in your SQL syntax"))
	case strings.HasPrefix(text, "SELECT"):
		return myRow("val", s.given(text), binary)
	}
	return mysql.Append(nil, 1, mysql.Done(1, 0, 0))
}

// myRow is a result of one row of one column. Both forms of a row hold a text the same way.
func myRow(column, value string, binary bool) []byte {
	row := mysql.AppendText(nil, []byte(value))
	if binary {
		row = append([]byte{0, 0}, row...)
	}
	out := mysql.Append(nil, 1, []byte{1})
	out = mysql.Append(out, 2, mysql.ColumnDef(column))
	out = mysql.Append(out, 3, mysql.EOF())
	out = mysql.Append(out, 4, row)
	return mysql.Append(out, 5, mysql.EOF())
}
