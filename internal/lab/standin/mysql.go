package standin

import (
	"fmt"
	"net"
	"strings"

	"threadsail/internal/protocol/mysql"
)

// serveMySQL answers the commands of a connection until it ends.
func (s *Server) serveMySQL(c net.Conn) {
	r := &buffered{c: c}
	s.mu.Lock()
	how := s.login
	s.mu.Unlock()
	if !logIn(c, r, how) {
		return
	}
	prepared := map[uint32]string{}
	longData := map[uint32]string{} // received for the next EXECUTE of each statement
	for {
		p, _, err := r.my()
		if err != nil || len(p) == 0 {
			return
		}
		text, ahead := string(p[1:]), ""
		switch p[0] {
		case mysql.ComInitDB:
			send(c, mysql.Append(nil, 1, mysql.OK()))
			continue
		case mysql.ComStmtPrepare:
			id := uint32(len(prepared) + 1)
			prepared[id] = text
			params := mysql.ScanStatement(text).Params
			out := mysql.Append(nil, 1, mysql.PrepareOK{ID: id, Params: params}.Payload())
			for i := range params {
				out = mysql.Append(out, byte(2+i), mysql.ColumnDef("?"))
			}
			if params > 0 {
				out = mysql.Append(out, byte(2+params), mysql.EOF())
			}
			send(c, out)
			continue
		case mysql.ComStmtSendLong:
			if id, data, err := mysql.ParseLongData(p); err == nil {
				longData[id] += string(data.Data)
			}
			continue
		case mysql.ComStmtClose:
			continue
		case mysql.ComStmtExecute:
			id, _ := mysql.StatementID(p)
			text, ahead = prepared[id], longData[id]
			delete(longData, id)
		}
		primary, position := s.state()
		switch text {
		case "SELECT @@global.read_only":
			send(c, myRow("@@global.read_only", map[bool]string{true: "0", false: "1"}[primary], false))
			continue
		case Heartbeat:
			value := fmt.Sprint(position)
			if position == 0 {
				value = "NULL"
			}
			send(c, myRow("ts", value, false))
			continue
		}
		end, act, readOnly, spoilt := s.takeExecute(text, ahead)
		var out []byte
		switch {
		case spoilt != nil:
			end()
			send(c, spoilt)
			continue
		case act == Break:
			end()
			return
		case act == Hang:
			_, _, _ = r.my()
			end()
			return
		case act == Fault:
			out = mysql.Append(nil, 1, mysql.Error(mysql.ErrUnknown, "HY000", "fault"))
		case act == Full:
			out = mysql.Append(nil, 1, mysql.Error(mysql.ErrConCount, "08004", "full"))
		case act == Wrong:
			out = mysql.Append(nil, 1, mysql.Error(1062, "23000", "Duplicate entry"))
		case act == Check:
			out = mysql.Append(nil, 1, mysql.Error(3819, "HY000", "Check constraint is violated"))
		case readOnly:
			out = mysql.Append(nil, 1, mysql.Error(mysql.ErrOptionPrevents, "HY000", "--read-only"))
		case strings.HasPrefix(text, "SHOW REPLICA STATUS"):
			out = myRow("Seconds_Behind_Source", "0", false)
		case strings.HasPrefix(text, "SHOW"):
			out = mysql.Append(nil, 1, mysql.Error(1064, "42000", "You have an error in your SQL syntax"))
		case strings.HasPrefix(text, "SELECT"):
			out = myRow("val", s.given(), p[0] == mysql.ComStmtExecute)
		default:
			out = mysql.Append(nil, 1, mysql.Done(1, 0, 0))
		}
		end()
		s.answer(c, out)
	}
}

// myRow is a result of one row of one column. Both forms of a row hold a text the same way.
func myRow(column, value string, binary bool) []byte {
	row := append([]byte{byte(len(value))}, value...)
	if binary {
		row = append([]byte{0, 0}, row...)
	}
	out := mysql.Append(nil, 1, []byte{1})
	out = mysql.Append(out, 2, mysql.ColumnDef(column))
	out = mysql.Append(out, 3, mysql.EOF())
	out = mysql.Append(out, 4, row)
	return mysql.Append(out, 5, mysql.EOF())
}
