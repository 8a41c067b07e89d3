package standin

import (
	"fmt"
	"net"
	"strings"

	"github.com/xdg-go/scram"

	"threadsail/internal/protocol/pgwire"
)

// Rows is what a statement gives on a PostgreSQL server: columns, values in text form, and the words of the tag.
type Rows struct {
	Fields []pgwire.Field
	Values [][][]byte
	Tag    string
	Code   string // an error in their place
}

// Table answers statements of a server with values of its own; false: as servers do without one. Types are those of the
// parameters.
type Table interface {
	Types(text string) []uint32
	Run(text string, params [][]byte) (Rows, bool)
}

// Hold has a server answer from a table.
func (s *Server) Hold(t Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = t
}

func (s *Server) held() Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}

const oidText, oidBool = 25, 16

// proves has the pooler prove that it knows the password, by SCRAM.
func proves(c net.Conn, r *buffered) bool {
	const salt, iterations = "salt of the test", 4096
	known, err := scram.SHA256.NewClient(BackendUser, BackendPassword, "")
	if err != nil {
		return false
	}
	kept, err := known.GetStoredCredentialsWithError(scram.KeyFactors{Salt: salt, Iters: iterations})
	if err != nil {
		return false
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return kept, nil })
	if err != nil {
		return false
	}
	talk := server.NewConversation()
	send(c, pgwire.AppendAuth(nil, pgwire.AuthSASL, pgwire.ScramSHA256+"\x00\x00"))
	m, err := r.pg()
	if err != nil || m.Type != 'p' {
		return false
	}
	_, data, err := pgwire.SASLFirst(m.Body)
	if err != nil {
		return false
	}
	first, err := talk.Step(data)
	if err != nil {
		return false
	}
	send(c, pgwire.AppendAuth(nil, pgwire.AuthContinue, first))
	if m, err = r.pg(); err != nil {
		return false
	}
	last, err := talk.Step(string(m.Body))
	if err != nil || !talk.Valid() {
		send(c, pgwire.AppendError(nil, "FATAL", "28P01", "password authentication failed", ""))
		return false
	}
	send(c, pgwire.AppendAuth(nil, pgwire.AuthFinal, last))
	return true
}

// params counts the parameters of a statement, $1 and on.
func params(text string) (n int) {
	for strings.Contains(text, fmt.Sprintf("$%d", n+1)) {
		n++
	}
	return n
}

// serveExtended goes on with a connection on which extended queries come, of which m is the first message.
func (s *Server) serveExtended(c net.Conn, r *buffered, m pgwire.Message) {
	texts := map[string]string{}
	var out []byte
	var bound string
	var values [][]byte
	failed, ran := false, false
	for ; ; failed = failed && m.Type != 'S' {
		if m.Type == 'S' || !failed {
			switch m.Type {
			case 'P':
				name, text, err := pgwire.ParsedStatement(m.Body)
				if err != nil {
					return
				}
				texts[name] = text
				out = pgwire.Append(out, '1')
			case 'C':
				delete(texts, string(m.Body[1:len(m.Body)-1]))
				out = pgwire.Append(out, '3')
			case 'D':
				text := texts[bound]
				if m.Body[0] == 'S' {
					text = texts[string(m.Body[1:len(m.Body)-1])]
					out = pgwire.AppendParameterTypes(out, s.types(text))
				}
				out = s.describe(out, text)
			case 'B':
				var err error
				if bound, values, err = pgwire.BoundValues(m.Body); err != nil {
					return
				}
				out = pgwire.Append(out, '2')
			case 'E':
				var gone bool
				if out, failed, gone = s.execute(c, r, out, texts[bound], values); gone {
					return
				}
				ran = !asksState(texts[bound])
			case 'S':
				if out = pgwire.AppendReady(out); ran {
					s.answer(c, out)
				} else {
					send(c, out)
				}
				out, ran = nil, false
			default:
				return
			}
		}
		var err error
		if m, err = r.pg(); err != nil {
			return
		}
	}
}

func (s *Server) types(text string) []uint32 {
	if t := s.held(); t != nil {
		if types := t.Types(text); types != nil {
			return types
		}
	}
	types := make([]uint32, params(text))
	for i := range types {
		types[i] = oidText
	}
	return types
}

// plain is what a statement gives without a table.
func (s *Server) plain(text string, primary bool, position int64) Rows {
	one := func(name string, oid uint32, value []byte) Rows {
		return Rows{Fields: []pgwire.Field{{Name: name, Type: oid, Modifier: -1}}, Values: [][][]byte{{value}}, Tag: "SELECT 1"}
	}
	switch {
	case strings.HasPrefix(text, "SELECT pg_is_in_recovery()"):
		return one("pg_is_in_recovery", oidBool, []byte(map[bool]string{true: "f", false: "t"}[primary]))
	case text == Heartbeat && position == 0:
		return one("ts", oidText, nil)
	case text == Heartbeat:
		return one("ts", oidText, []byte(fmt.Sprint(position)))
	case strings.HasPrefix(text, "SELECT"), strings.Contains(text, " RETURNING "):
		return one("val", oidText, []byte(s.given(text)))
	}
	verb, _, _ := strings.Cut(text, " ")
	return Rows{Tag: pgwire.Tag(verb, 1)}
}

func (s *Server) rows(text string, values [][]byte) Rows {
	if t := s.held(); t != nil {
		if rows, ok := t.Run(text, values); ok {
			return rows
		}
	}
	primary, position := s.state()
	return s.plain(text, primary, position)
}

func (s *Server) describe(out []byte, text string) []byte {
	rows := s.rows(text, make([][]byte, params(text)))
	if rows.Code != "" || rows.Fields == nil {
		return pgwire.Append(out, 'n')
	}
	return pgwire.AppendFields(out, rows.Fields)
}

// asksState tells a probe from a statement.
func asksState(text string) bool {
	return strings.HasPrefix(text, "SELECT pg_is_in_recovery()") || text == Heartbeat
}

// execute runs a statement as the server's acts have it; gone: the connection is at its end.
func (s *Server) execute(c net.Conn, r *buffered, out []byte, text string, values [][]byte) (_ []byte, failed, gone bool) {
	fail := func(code string) ([]byte, bool, bool) {
		return pgwire.AppendError(out, "ERROR", code, "as the act has it", ""), true, false
	}
	if !asksState(text) {
		end, act, readOnly, spoilt := s.take(text)
		defer end()
		switch {
		case spoilt != nil:
			send(c, append(out, spoilt...))
			return nil, true, false
		case act == Break:
			return nil, false, true
		case act == Hang:
			for { // what was sent along with the Execute is no word of the client's
				if m, err := r.pg(); err != nil || m.Type != 'S' {
					return nil, false, true
				}
			}
		case act == Fault:
			return fail("XX000")
		case act == Full:
			return fail(pgwire.CodeTooMany)
		case act == Wrong:
			return fail("23505")
		case readOnly:
			return fail(pgwire.CodeReadOnly)
		}
	}
	rows := s.rows(text, values)
	if rows.Code != "" {
		return fail(rows.Code)
	}
	for _, v := range rows.Values {
		out = pgwire.AppendValues(out, v)
	}
	return pgwire.Append(out, 'C', rows.Tag, "\x00"), false, false
}
