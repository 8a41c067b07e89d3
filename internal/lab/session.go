package lab

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"threadsail/internal/lab/standin"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/translate"
)

// SessionVersion is that of the files of recorded sessions.
const SessionVersion = 1

// Session is what one MySQL client has asked, and the packets of each answer.
type Session struct {
	Version   int    `cbor:"1,keyasint"`
	Collation byte   `cbor:"2,keyasint"`
	Steps     []Step `cbor:"3,keyasint"`
}

// Step is a command and its answer. Mark names what happened outside the session before it, for whoever replays it: a failover.
type Step struct {
	Command []byte   `cbor:"1,keyasint"`
	Answer  [][]byte `cbor:"2,keyasint"`
	Mark    string   `cbor:"3,keyasint,omitempty"`
}

// Save writes a session to a file.
func (s *Session) Save(path string) error {
	text, err := cbor.Marshal(s)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}

const maxSession = 64 << 20

// LoadSession reads a session from a file.
func LoadSession(path string) (*Session, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // only read
	text, err := io.ReadAll(io.LimitReader(f, maxSession))
	if err != nil {
		return nil, err
	}
	s := &Session{}
	if err := cbor.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if s.Version != SessionVersion {
		return nil, fmt.Errorf("%s: version %d, expected %d", path, s.Version, SessionVersion)
	}
	for i, st := range s.Steps {
		if len(st.Command) == 0 {
			return nil, fmt.Errorf("%s: step %d holds no command", path, i)
		}
	}
	return s, nil
}

// Recorder is a proxy that passes one client's connection on, and notes down its session.
type Recorder struct {
	ln       net.Listener
	upstream string
	mu       sync.Mutex
	session  Session
	mark     string
	ended    chan error
}

// Record listens on loopback for one client, whose commands go to a front.
func Record(listen, upstream string) (*Recorder, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &Recorder{ln: ln, upstream: upstream, session: Session{Version: SessionVersion}, ended: make(chan error, 1)}
	go func() { r.ended <- r.run() }()
	return r, nil
}

// Addr is where it listens.
func (r *Recorder) Addr() string { return r.ln.Addr().String() }

// Mark notes that something happens now, before the next command.
func (r *Recorder) Mark(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mark = what
}

// Wait waits until the client has gone, and gives its session.
func (r *Recorder) Wait() (*Session, error) {
	err := <-r.ended
	return &r.session, err
}

func (r *Recorder) run() error {
	client, err := r.ln.Accept()
	_ = r.ln.Close()
	if err != nil {
		return err
	}
	defer client.Close()
	server, err := net.Dial("tcp", r.upstream)
	if err != nil {
		return err
	}
	defer server.Close()
	// The login: a greeting, its answer, and whatever goes to and fro until an OK. It is not kept: it holds a proof of a password.
	pass := func(from, to net.Conn) ([]byte, error) {
		raw, err := readPacket(from)
		if err == nil {
			_, err = to.Write(raw)
		}
		return raw, err
	}
	if _, err := pass(server, client); err != nil {
		return err
	}
	for first := true; ; first = false {
		raw, err := pass(client, server)
		if err != nil {
			return err
		}
		if first && len(raw) > 12 {
			r.session.Collation = raw[12]
		}
		if raw, err = pass(server, client); err != nil {
			return err
		}
		if raw[4] == 0 {
			break
		}
		if raw[4] == 0xff {
			return errors.New("the login is turned down")
		}
	}
	for {
		raw, err := pass(client, server)
		if errors.Is(err, io.EOF) || err == nil && raw[4] == mysql.ComQuit {
			return nil
		}
		if err != nil {
			return err
		}
		r.mu.Lock()
		step := Step{Command: raw[4:], Mark: r.mark}
		r.mark = ""
		r.mu.Unlock()
		step.Answer, err = standin.ReadAnswer(raw[4], func() ([]byte, error) {
			raw, err := pass(server, client)
			if err != nil {
				return nil, err
			}
			return raw[4:], nil
		})
		if err != nil {
			return err
		}
		r.session.Steps = append(r.session.Steps, step)
	}
}

func readPacket(c net.Conn) ([]byte, error) {
	raw := make([]byte, 4)
	if _, err := io.ReadFull(c, raw); err != nil {
		return nil, err
	}
	size := int(raw[0]) | int(raw[1])<<8 | int(raw[2])<<16
	if size == 0 || size > mysql.MaxAnswer {
		return nil, fmt.Errorf("a packet of %d bytes", size)
	}
	raw = append(raw, make([]byte, size)...)
	_, err := io.ReadFull(c, raw[4:])
	return raw, err
}

// Masks are fields that may differ, by their names in differences: "error.text", "column.length", "value.val".
type Masks []string

// DefaultMasks are what no client may rely on: an error's words, how wide a column shows, its table and flags.
var DefaultMasks = Masks{"error.text", "column.length", "column.flags", "column.table", "column.schema", "column.decimals"}

// Difference is a field of an answer that is not as it was.
type Difference struct {
	Step      int
	Command   string
	Field     string
	Was, Came string
}

func (d Difference) String() string {
	return fmt.Sprintf("step %d, %s\n  %s\n  - %s\n  + %s", d.Step, d.Command, d.Field, d.Was, d.Came)
}

// Replay plays a session against a front, as its client was, and gives the differences outside the masks. before is called for
// each mark; nil: marks are passed over.
func (s *Session) Replay(addr, user, password string, masks Masks, before func(mark string) error) (out []Difference, err error) {
	c, err := standin.DialOld(addr, user, password, s.Collation)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	ids := map[uint32]uint32{} // of prepared statements, then and now
	for i, step := range s.Steps {
		if step.Mark != "" && before != nil {
			if err := before(step.Mark); err != nil {
				return out, fmt.Errorf("step %d, %s: %w", i, step.Mark, err)
			}
		}
		command := bytes.Clone(step.Command)
		if then, ok := mysql.StatementID(command); ok && slices.Contains([]byte{mysql.ComStmtExecute, mysql.ComStmtSendLong, mysql.ComStmtClose,
			mysql.ComStmtReset, mysql.ComStmtFetch}, command[0]) {
			binary.LittleEndian.PutUint32(command[1:], cmp.Or(ids[then], then))
		}
		answer, err := c.Do(command)
		if err != nil {
			return out, fmt.Errorf("step %d, %s: %w", i, describe(step.Command), err)
		}
		if step.Command[0] == mysql.ComStmtPrepare && len(answer) > 0 && len(step.Answer) > 0 {
			was, err1 := mysql.ParsePrepareOK(step.Answer[0])
			came, err2 := mysql.ParsePrepareOK(answer[0])
			if err1 == nil && err2 == nil {
				ids[was.ID] = came.ID
			}
		}
		for _, d := range compare(step.Command[0], step.Answer, answer) {
			if !masks.cover(d.Field) {
				d.Step, d.Command = i, describe(step.Command)
				out = append(out, d)
			}
		}
	}
	return out, nil
}

func (m Masks) cover(field string) bool {
	return slices.ContainsFunc(m, func(x string) bool { return x == field || strings.HasPrefix(field, x+".") })
}

func describe(command []byte) string {
	switch command[0] {
	case mysql.ComQuery:
		return fmt.Sprintf("QUERY %.100q", command[1:])
	case mysql.ComStmtPrepare:
		return fmt.Sprintf("PREPARE %.100q", command[1:])
	case mysql.ComStmtExecute:
		return fmt.Sprintf("EXECUTE %x", command[1:min(len(command), 40)])
	}
	return fmt.Sprintf("command %#x", command[0])
}

// compare finds the fields in which two answers to a command differ.
func compare(command byte, was, came [][]byte) (out []Difference) {
	field := func(name string, a, b any) {
		if x, y := fmt.Sprint(a), fmt.Sprint(b); x != y {
			out = append(out, Difference{Field: name, Was: x, Came: y})
		}
	}
	a, b := read(command, was), read(command, came)
	if field("kind", a.kind, b.kind); a.kind != b.kind {
		out[0].Was, out[0].Came = a.kind+" "+a.words(), b.kind+" "+b.words()
		return out
	}
	field("error.code", a.code, b.code)
	field("error.state", a.state, b.state)
	field("error.text", a.text, b.text)
	field("affected", a.affected, b.affected)
	field("insert id", a.insertID, b.insertID)
	field("warnings", a.warnings, b.warnings)
	field("parameters", a.params, b.params)
	if field("columns", len(a.columns), len(b.columns)); len(a.columns) != len(b.columns) {
		return out
	}
	for i, x := range a.columns {
		y := b.columns[i]
		field("column.name", x.Name, y.Name)
		field("column.type", x.Type, y.Type)
		field("column.charset", x.Charset, y.Charset)
		field("column.length", x.Length, y.Length)
		field("column.flags", x.Flags, y.Flags)
		field("column.decimals", x.Decimals, y.Decimals)
		field("column.table", x.Table, y.Table)
		field("column.schema", x.Schema, y.Schema)
	}
	if field("rows", len(a.rows), len(b.rows)); len(a.rows) != len(b.rows) {
		return out
	}
	for i := range a.rows {
		for j, c := range a.columns {
			x, y := a.rows[i][j], b.rows[i][j]
			if (x == nil) != (y == nil) || !bytes.Equal(x, y) {
				out = append(out, Difference{Field: "value." + c.Name, Was: fmt.Sprintf("%q", []byte(x)), Came: fmt.Sprintf("%q", []byte(y))})
			}
		}
	}
	return out
}

// reading is an answer by its fields.
type reading struct {
	kind        string
	code        uint16
	state, text string
	affected    uint64
	insertID    uint64
	warnings    uint16
	params      int
	columns     []mysql.Definition
	rows        [][]translate.Value
}

func (r reading) words() string {
	if r.kind == "error" {
		return fmt.Sprintf("%d (%s) %s", r.code, r.state, r.text)
	}
	return fmt.Sprintf("of %d rows", len(r.rows))
}

// read takes an answer apart. Its texts stay in the client's charset: both clients have the same.
func read(command byte, packets [][]byte) (r reading) {
	if len(packets) == 0 {
		r.kind = "none"
		return r
	}
	first := packets[0]
	var ok bool
	if r.code, r.state, r.text, ok = mysql.ParseError(first); ok {
		r.kind = "error"
		return r
	}
	switch {
	case command == mysql.ComStmtPrepare:
		p, err := mysql.ParsePrepareOK(first)
		if r.kind, r.params = "prepared", p.Params; err != nil {
			r.kind = "unreadable"
		}
		return r
	case first[0] == 0:
		r.kind = "done"
		rest := first[1:]
		if r.affected, rest, ok = mysql.CutCount(rest); ok {
			if r.insertID, rest, ok = mysql.CutCount(rest); ok && len(rest) >= 4 {
				r.warnings = binary.LittleEndian.Uint16(rest[2:])
			}
		}
		return r
	}
	n, _, ok := mysql.CutCount(first)
	if !ok || uint64(len(packets)) < n+3 {
		r.kind = "unreadable"
		return r
	}
	r.kind = "rows"
	var cols []translate.Column
	for _, p := range packets[1 : n+1] {
		d, err := mysql.ParseDefinition(p)
		if err != nil {
			r.kind = "unreadable"
			return r
		}
		r.columns = append(r.columns, d)
		c := translate.ColumnOf(d)
		if c.Kind == translate.Text || c.Kind == translate.JSON {
			c.Kind = translate.Bytes // as it came
		}
		cols = append(cols, c)
	}
	for _, p := range packets[n+2 : len(packets)-1] {
		row, err := translate.Row(cols, p, command == mysql.ComStmtExecute, translate.UTF8MB4)
		if err != nil {
			r.kind = "unreadable"
			return r
		}
		r.rows = append(r.rows, row)
	}
	if last := packets[len(packets)-1]; mysql.IsEOF(last) && len(last) >= 3 {
		r.warnings = binary.LittleEndian.Uint16(last[1:])
	} else if r.code, r.state, r.text, ok = mysql.ParseError(last); ok {
		r.kind = "error after rows"
	}
	return r
}
