package mysql

import (
	"encoding/binary"
	"errors"
	"strconv"
	"strings"
)

// Kind sorts statements by what they need.
type Kind uint8

// The kinds of statements.
const (
	Read        Kind = iota
	Write            // also all that is not known to be a read
	Local            // a SET of how things stand: the front answers
	Unsupported      // transactions, LOAD DATA and what else needs a session's state
)

// Scan looks through a statement: its kind, its parameters, and whether more statements follow it.
type Scan struct {
	Kind   Kind
	Params int
	Multi  bool
	Names  string // of SET NAMES and SET CHARACTER SET: the charset, in lower case
}

// ScanStatement reads a statement outside its strings and comments.
func ScanStatement(text string) Scan {
	var s Scan
	words := make([]string, 0, 8)
	ended := false // a semicolon has come
	var last [2]string
	intoSeen, locks, modifies := false, false, false
	for i := 0; i < len(text); {
		c := text[i]
		switch {
		case c == '\'' || c == '"' || c == '`':
			from := i
			i = skipQuoted(text, i)
			if len(words) == 2 && words[1] == "NAMES" || len(words) == 3 && words[1] == "CHARACTER" {
				words = append(words, strings.ToUpper(strings.Trim(text[from:i], "'\"`")))
			}
			s.Multi = s.Multi || ended
			continue
		case c == '#' || c == '-' && strings.HasPrefix(text[i:], "--") && (i+2 == len(text) || text[i+2] <= ' '):
			if n := strings.IndexByte(text[i:], '\n'); n >= 0 {
				i += n
			} else {
				i = len(text)
			}
			continue
		case strings.HasPrefix(text[i:], "/*!"): // servers run what stands in such a comment
			i += len("/*!")
			for i < len(text) && text[i] >= '0' && text[i] <= '9' { // the version of the servers that do
				i++
			}
			continue
		case strings.HasPrefix(text[i:], "/*"):
			n := strings.Index(text[i+2:], "*/")
			if n < 0 {
				i = len(text)
			} else {
				i += n + 4
			}
			continue
		case c == '?':
			s.Params++
		case c == ';':
			ended = true
			i++
			continue
		case isWord(c):
			from := i
			for i < len(text) && isWord(text[i]) {
				i++
			}
			s.Multi = s.Multi || ended
			w := strings.ToUpper(text[from:i])
			if len(words) < cap(words) {
				words = append(words, w)
			}
			intoSeen = intoSeen || w == "INTO"
			locks = locks || last[1] == "FOR" && (w == "UPDATE" || w == "SHARE") ||
				last[0] == "LOCK" && last[1] == "IN" && w == "SHARE"
			modifies = modifies || w == "INSERT" || w == "UPDATE" || w == "DELETE" || w == "REPLACE"
			last[0], last[1] = last[1], w
			continue
		}
		if c > ' ' {
			s.Multi = s.Multi || ended
		}
		i++
	}
	s.Kind = kind(words, intoSeen, locks, modifies)
	if len(words) >= 3 && words[0] == "SET" && words[1] == "NAMES" {
		s.Names = strings.ToLower(words[2])
	} else if len(words) >= 4 && words[0] == "SET" && words[1] == "CHARACTER" && words[2] == "SET" {
		s.Names = strings.ToLower(words[3])
	}
	return s
}

func kind(words []string, into, locks, modifies bool) Kind {
	if len(words) == 0 {
		return Write
	}
	switch words[0] {
	case "SELECT", "TABLE", "VALUES":
		if into { // a file on some server, or variables that no session keeps
			return Unsupported
		}
		if locks {
			return Write
		}
		return Read
	case "WITH":
		if modifies {
			return Write
		}
		return Read
	case "SHOW", "DESCRIBE", "DESC", "EXPLAIN":
		return Read
	case "BEGIN", "START", "COMMIT", "ROLLBACK", "SAVEPOINT", "RELEASE", "LOCK", "UNLOCK", "XA", "LOAD", "PREPARE",
		"EXECUTE", "DEALLOCATE", "HANDLER", "CALL":
		return Unsupported
	case "SET":
		return kindOfSet(words)
	case "USE", "KILL":
		return Unsupported // COM_INIT_DB does the first
	}
	return Write
}

// kindOfSet lets pass what asks for how things stand: text in UTF-8, and every statement on its own. Any other
// variable would have to be set on all servers' connections.
func kindOfSet(words []string) Kind {
	if len(words) < 3 {
		return Unsupported
	}
	switch w := words[2]; {
	case words[1] == "NAMES", words[1] == "CHARACTER" && w == "SET", // the front knows which it can write
		words[1] == "AUTOCOMMIT" && (w == "1" || w == "ON" || w == "TRUE"):
		return Local
	}
	return Unsupported
}

// Kill is a client's wish to end what another connection is about, or that connection.
type Kill struct {
	ID         uint32
	Connection bool
}

// ParseKill reads a KILL statement; false: it is none.
func ParseKill(text string) (k Kill, ok bool) {
	words := strings.Fields(strings.TrimRight(text, " \t\r\n;"))
	if len(words) < 2 || len(words) > 3 || !strings.EqualFold(words[0], "KILL") {
		return k, false
	}
	k.Connection = true
	if len(words) == 3 {
		if k.Connection = strings.EqualFold(words[1], "CONNECTION"); !k.Connection && !strings.EqualFold(words[1], "QUERY") {
			return k, false
		}
	}
	id, err := strconv.ParseUint(words[len(words)-1], 10, 32)
	k.ID = uint32(id)
	return k, err == nil
}

func isWord(c byte) bool {
	return c == '_' || c == '$' || c == '@' || c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

// skipQuoted returns the place behind a quoted part. A doubled quote starts the next part at once.
func skipQuoted(text string, i int) int {
	q := text[i]
	for i++; i < len(text); i++ {
		switch {
		case text[i] == '\\' && q != '`':
			i++
		case text[i] == q:
			return i + 1
		}
	}
	return len(text)
}

// PrepareOK is what a server says of a statement it has prepared.
type PrepareOK struct {
	ID      uint32
	Columns int
	Params  int
}

// ParsePrepareOK reads the first packet of the answer to a PREPARE.
func ParsePrepareOK(p []byte) (ok PrepareOK, err error) {
	r := &reader{b: p}
	if r.u8() != 0 {
		r.err = errShort
	}
	ok.ID = r.u32()
	ok.Columns, ok.Params = int(r.u16()), int(r.u16())
	return ok, r.err
}

// Payload is its form on the wire.
func (ok PrepareOK) Payload() []byte {
	p := binary.LittleEndian.AppendUint32([]byte{0}, ok.ID)
	p = binary.LittleEndian.AppendUint16(p, uint16(ok.Columns))
	p = binary.LittleEndian.AppendUint16(p, uint16(ok.Params))
	return append(p, 0, 0, 0)
}

// Execute is a client's EXECUTE. Types are those of the parameters, kept from the last time where it sends none.
type Execute struct {
	ID     uint32
	Nulls  []byte
	Types  []byte
	Values []byte
}

// StatementID reads the statement that a STMT command is for.
func StatementID(p []byte) (uint32, bool) {
	if len(p) < 5 {
		return 0, false
	}
	return binary.LittleEndian.Uint32(p[1:]), true
}

// ExecuteHeadSize returns the size in bytes of the payload of an EXECUTE up to its first value, if it sends the types of so many
// parameters.
func ExecuteHeadSize(params int) int {
	const fixed = 1 + 4 + 1 + 4 // command, statement, flags, iterations
	if params == 0 {
		return fixed
	}
	return fixed + (params+7)/8 + 1 + 2*params
}

// ParseExecute reads the payload of an EXECUTE of a statement with params parameters. Types are those that apply if it sends none.
func ParseExecute(p []byte, params int, types []byte) (e Execute, err error) {
	r := &reader{b: p}
	r.u8()
	e.ID = r.u32()
	r.take(1) // the cursor wanted: none is opened, as a server may choose
	if n := r.u32(); r.err == nil && n != 1 {
		return e, errors.New("mysql: an iteration count other than 1")
	}
	if params > 0 {
		e.Nulls = r.take((params + 7) / 8)
		if e.Types = types; r.u8() == 1 {
			e.Types = r.take(2 * params)
		}
		if r.err == nil && len(e.Types) != 2*params {
			return e, errors.New("mysql: the parameters' types were never sent")
		}
		e.Values = r.b
	}
	return e, r.err
}

// Payload is the command for a statement's number at some server.
func (e Execute) Payload(id uint32) []byte {
	p := binary.LittleEndian.AppendUint32([]byte{ComStmtExecute}, id)
	p = append(p, 0, 1, 0, 0, 0)
	if len(e.Types) > 0 {
		p = append(append(p, e.Nulls...), 1)
		p = append(append(p, e.Types...), e.Values...)
	}
	return p
}

// LongData is one piece of a parameter sent ahead.
type LongData struct {
	Param uint16
	Data  []byte
}

// ParseLongData reads a SEND_LONG_DATA.
func ParseLongData(p []byte) (id uint32, d LongData, err error) {
	r := &reader{b: p}
	r.u8()
	id = r.u32()
	d.Param = r.u16()
	d.Data = append([]byte(nil), r.b...)
	return id, d, r.err
}

// Payload is the command for a statement's number at some server.
func (d LongData) Payload(id uint32) []byte {
	p := binary.LittleEndian.AppendUint32([]byte{ComStmtSendLong}, id)
	return append(binary.LittleEndian.AppendUint16(p, d.Param), d.Data...)
}

// Answer gathers the packets of a server's answer to a QUERY or an EXECUTE, numbered for the client.
type Answer struct {
	Binary bool // its rows are those of an EXECUTE

	Raw   []byte
	Err   []byte // the ERR packet's payload, if it ended in one
	Row   []byte // the first row's payload
	stage int    // 0: first packet, 1: columns, 2: rows
	cols  uint64
	left  uint64
	seq   byte
}

// Feed takes in one packet and tells whether the answer is whole. A packet out of order or not made as it should be is
// an error: the answer is spoilt, and what it says, a refusal too, is not to be believed.
func (a *Answer) Feed(seq byte, p []byte) (whole bool, err error) {
	if len(p) == 0 || seq != a.seq+1 {
		return false, ErrFraming
	}
	if len(a.Raw)+len(p) > MaxAnswer {
		return false, errors.New("mysql: the answer is too large")
	}
	a.seq++
	a.Raw = Append(a.Raw, a.seq, p)
	if p[0] == 0xff {
		if _, _, _, ok := ParseError(p); !ok {
			return false, errShort
		}
		a.Err = p
		return true, nil
	}
	switch a.stage {
	case 0:
		switch p[0] {
		case 0:
			return true, okStatus(p)
		case 0xfb:
			return false, errors.New("mysql: LOCAL INFILE is not supported")
		}
		r := &reader{b: p}
		if a.left, _ = r.lenenc(); r.err != nil || a.left == 0 || a.left > 4096 {
			return false, errShort
		}
		a.stage, a.cols = 1, a.left
	case 1:
		switch {
		case a.left > 0:
			a.left--
		case !IsEOF(p):
			return false, ErrFraming
		default:
			a.stage = 2
		}
	case 2:
		if IsEOF(p) {
			return true, eofStatus(p)
		}
		if !a.sound(p) {
			return false, ErrFraming
		}
		if a.Row == nil {
			a.Row = p
		}
	}
	return false, nil
}

// sound tells whether a row's lengths fit. Those of a binary row depend on types that are not kept here.
func (a *Answer) sound(row []byte) bool {
	if a.Binary {
		return row[0] == 0 && uint64(len(row)) >= 1+(a.cols+9)/8
	}
	r := &reader{b: row}
	for range a.cols {
		r.lenencBytes()
	}
	return r.err == nil && len(r.b) == 0
}

var errMore = errors.New("mysql: a second result is not supported")

func okStatus(p []byte) error {
	r := &reader{b: p[1:]}
	r.lenenc()
	r.lenenc()
	if r.u16()&statusMoreResults != 0 {
		return errMore
	}
	return r.err
}

func eofStatus(p []byte) error {
	if len(p) >= 5 && p[3]&statusMoreResults != 0 {
		return errMore
	}
	return nil
}

// TextColumn reads the first column of a text row.
func TextColumn(row []byte) (string, bool) {
	r := &reader{b: row}
	if len(row) > 0 && row[0] == 0xfb {
		return "", false
	}
	v := r.lenencBytes()
	return string(v), r.err == nil
}

// StmtClose is the command that gives up a statement's number at some server.
func StmtClose(id uint32) []byte { return binary.LittleEndian.AppendUint32([]byte{ComStmtClose}, id) }
