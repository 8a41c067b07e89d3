package translate

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"strconv"

	"threadsail/internal/protocol/mysql"
)

// mysqlType is how each kind is written in MySQL's rows, and how wide it shows where nothing says so.
var mysqlType = [...]struct {
	code  byte
	width uint32
}{Text: {mysql.TypeVarString, 1 << 16}, Bytes: {mysql.TypeBlob, 1 << 16}, Int8: {mysql.TypeTiny, 4}, Int16: {mysql.TypeShort, 6},
	Int32: {mysql.TypeLong, 11}, Int64: {mysql.TypeLongLong, 20}, Year: {mysql.TypeYear, 4}, Float32: {mysql.TypeFloat, 12},
	Float64: {mysql.TypeDouble, 22}, Decimal: {mysql.TypeNewDecimal, 65}, Date: {mysql.TypeDate, 10}, Time: {mysql.TypeTime, 17},
	DateTime: {mysql.TypeDateTime, 26}, Stamp: {mysql.TypeTimestamp, 26}, JSON: {mysql.TypeJSON, math.MaxUint32}, Bit: {mysql.TypeBit, 64},
	Bool: {mysql.TypeTiny, 1}, Null: {mysql.TypeNull, 0}}

// Client is what a MySQL client has been found to understand.
type Client struct {
	Generation Generation
	Charset    Charset
}

// textual kinds are written in the client's charset.
func (k Kind) textual() bool { return k == Text || k == JSON }

// definition is a column as the client reads it. Clients before 5.7 know no JSON: it is a long text to them.
func (c Client) definition(col Column) mysql.Definition {
	t := mysqlType[col.Kind]
	d := mysql.Definition{Schema: col.Schema, Table: col.Table, Name: col.Name, Charset: mysql.CharsetBinary, Type: t.code,
		Length: t.width, Decimals: col.Decimals, Flags: mysql.FlagBinary}
	if col.Length > 0 {
		d.Length = col.Length
	}
	switch {
	case col.Kind.textual():
		d.Charset, d.Flags = c.Charset.ID, 0
		if col.Kind == JSON && c.Generation < Gen80 {
			d.Type = mysql.TypeLongBlob
		}
		if col.Kind == JSON {
			d.Flags = mysql.FlagBlob
		}
	case col.Kind == Bytes:
		d.Flags |= mysql.FlagBlob
	case col.Kind == Bit:
		d.Flags |= mysql.FlagUnsigned
	case col.Unsigned || col.Kind == Year:
		d.Flags |= mysql.FlagUnsigned
	}
	return d
}

// Append adds a result as the answer to a QUERY, or to an EXECUTE (binary), in packets numbered from 1. An error means that
// the client could not have been given every value as it is; nothing is added then.
func (c Client) Append(b []byte, r *Result, binary bool) ([]byte, error) {
	if len(r.Columns) == 0 {
		return mysql.Append(b, 1, mysql.Done(r.Affected, r.InsertID, r.Warnings)), nil
	}
	out, seq := b, byte(0)
	packet := func(p []byte) {
		seq++
		out = mysql.Append(out, seq, p)
	}
	packet(mysql.AppendCount(nil, uint64(len(r.Columns))))
	for _, col := range r.Columns {
		name, err := c.Charset.Encode([]byte(col.Name))
		if err != nil {
			return b, err
		}
		d := c.definition(col)
		d.Name = string(name)
		packet(d.Payload())
	}
	packet(mysql.EndOfRows(0))
	for _, row := range r.Rows {
		p, err := c.row(r.Columns, row, binary)
		if err != nil {
			return b, err
		}
		packet(p)
	}
	packet(mysql.EndOfRows(r.Warnings))
	return out, nil
}

// AppendError adds an error as the client reads it.
func (c Client) AppendError(b []byte, e *Error) []byte {
	code, state := e.Meaning.MySQL(c.Generation)
	text, err := c.Charset.Encode([]byte(e.Text))
	if err != nil {
		text = []byte(e.Meaning.String()) // plain ASCII
	}
	return mysql.Append(b, 1, mysql.Error(code, state, string(text)))
}

func (c Client) row(cols []Column, row []Value, inBinary bool) ([]byte, error) {
	if len(row) != len(cols) {
		return nil, fmt.Errorf("translate: a row of %d values for %d columns", len(row), len(cols))
	}
	var p []byte
	if inBinary {
		p = make([]byte, 1+(len(cols)+9)/8)
	}
	for i, v := range row {
		if v == nil {
			if inBinary {
				p[1+(i+2)/8] |= 1 << ((i + 2) % 8)
			} else {
				p = append(p, 0xfb)
			}
			continue
		}
		if err := validate(cols[i], v); err != nil {
			return nil, err
		}
		if cols[i].Kind.textual() {
			text, err := c.Charset.Encode(v)
			if err != nil {
				return nil, err
			}
			p = mysql.AppendText(p, text)
			continue
		}
		if !inBinary {
			p = mysql.AppendText(p, v)
			continue
		}
		p = appendBinary(p, cols[i], string(v))
	}
	return p, nil
}

// appendBinary adds a value that validate has found sound.
func appendBinary(p []byte, col Column, s string) []byte {
	le := binary.LittleEndian
	number := func() uint64 {
		if n, err := strconv.ParseInt(s, 10, 64); err == nil {
			return uint64(n)
		}
		n, _ := strconv.ParseUint(s, 10, 64)
		return n
	}
	switch col.Kind {
	case Int8, Bool:
		return append(p, byte(number()))
	case Int16, Year:
		return le.AppendUint16(p, uint16(number()))
	case Int32:
		return le.AppendUint32(p, uint32(number()))
	case Int64:
		return le.AppendUint64(p, number())
	case Float32:
		f, _ := strconv.ParseFloat(s, 32)
		return le.AppendUint32(p, math.Float32bits(float32(f)))
	case Float64:
		f, _ := strconv.ParseFloat(s, 64)
		return le.AppendUint64(p, math.Float64bits(f))
	case Date, DateTime, Stamp:
		y, m, d, c, _, _ := dateTime(s)
		parts := append(le.AppendUint16(nil, uint16(y)), byte(m), byte(d))
		clocked := c.hour+c.minute+c.second+c.micro > 0
		if clocked {
			parts = append(parts, byte(c.hour), byte(c.minute), byte(c.second))
		}
		if c.micro > 0 {
			parts = le.AppendUint32(parts, uint32(c.micro))
		}
		if y+m+d == 0 && !clocked {
			parts = nil
		}
		return append(append(p, byte(len(parts))), parts...)
	case Time:
		c, _ := parseClock(s)
		var parts []byte
		if c.hour+c.minute+c.second+c.micro > 0 {
			parts = append(parts, map[int]byte{1: 0, -1: 1}[c.sign])
			parts = append(le.AppendUint32(parts, uint32(c.hour/24)), byte(c.hour%24), byte(c.minute), byte(c.second))
			if c.micro > 0 {
				parts = le.AppendUint32(parts, uint32(c.micro))
			}
		}
		return append(append(p, byte(len(parts))), parts...)
	}
	return mysql.AppendText(p, []byte(s)) // decimals, bytes, bits
}

// Param is a value that a client has bound.
type Param struct {
	Kind     Kind
	Unsigned bool
	Value    Value
}

var errParams = &Error{BadValue, "the parameters' values do not fit their types"}

// Params reads the values of an EXECUTE. Text and bytes can't be told apart there, as clients send both as strings: they come
// as Text undecoded, and what the server takes decides.
func Params(e mysql.Execute, long map[int][]byte, n int) ([]Param, error) {
	out := make([]Param, n)
	rest := e.Values
	for i := range out {
		t, flags := e.Types[2*i], e.Types[2*i+1]
		out[i] = Param{Kind: kindOf(t), Unsigned: flags&0x80 != 0}
		if e.Nulls[i/8]&(1<<(i%8)) != 0 {
			out[i].Kind = Null
			continue
		}
		if data, ok := long[i]; ok {
			out[i].Value = append(Value{}, data...)
			continue
		}
		var ok bool
		if out[i].Value, rest, ok = cutBinary(out[i].Kind, out[i].Unsigned, rest); !ok {
			return nil, errParams
		}
	}
	if len(rest) > 0 {
		return nil, errParams
	}
	return out, nil
}

func kindOf(t byte) Kind {
	switch t {
	case mysql.TypeTiny:
		return Int8
	case mysql.TypeShort:
		return Int16
	case mysql.TypeYear:
		return Year
	case mysql.TypeLong, mysql.TypeInt24:
		return Int32
	case mysql.TypeLongLong:
		return Int64
	case mysql.TypeFloat:
		return Float32
	case mysql.TypeDouble:
		return Float64
	case mysql.TypeDecimal, mysql.TypeNewDecimal:
		return Decimal
	case mysql.TypeDate, mysql.TypeNewDate:
		return Date
	case mysql.TypeTime:
		return Time
	case mysql.TypeDateTime:
		return DateTime
	case mysql.TypeTimestamp:
		return Stamp
	case mysql.TypeBit:
		return Bit
	case mysql.TypeJSON:
		return JSON
	case mysql.TypeNull:
		return Null
	}
	return Text
}

// cutBinary takes one value off, as rows and parameters in binary form hold it.
func cutBinary(k Kind, unsigned bool, b []byte) (v Value, rest []byte, ok bool) {
	le := binary.LittleEndian
	fixed := func(n int) bool { return len(b) >= n }
	integer := func(signed int64, plain uint64) Value {
		if unsigned {
			return strconv.AppendUint(nil, plain, 10)
		}
		return strconv.AppendInt(nil, signed, 10)
	}
	switch k {
	case Int8, Bool:
		if !fixed(1) {
			return nil, nil, false
		}
		return integer(int64(int8(b[0])), uint64(b[0])), b[1:], true
	case Int16, Year:
		if !fixed(2) {
			return nil, nil, false
		}
		n := le.Uint16(b)
		return integer(int64(int16(n)), uint64(n)), b[2:], true
	case Int32:
		if !fixed(4) {
			return nil, nil, false
		}
		n := le.Uint32(b)
		return integer(int64(int32(n)), uint64(n)), b[4:], true
	case Int64:
		if !fixed(8) {
			return nil, nil, false
		}
		n := le.Uint64(b)
		return integer(int64(n), n), b[8:], true
	case Float32:
		if !fixed(4) {
			return nil, nil, false
		}
		return strconv.AppendFloat(nil, float64(math.Float32frombits(le.Uint32(b))), 'g', -1, 32), b[4:], true
	case Float64:
		if !fixed(8) {
			return nil, nil, false
		}
		return strconv.AppendFloat(nil, math.Float64frombits(le.Uint64(b)), 'g', -1, 64), b[8:], true
	case Date, DateTime, Stamp, Time:
		if len(b) == 0 || len(b) < 1+int(b[0]) {
			return nil, nil, false
		}
		v, ok = moment(k, b[1:1+int(b[0])])
		return v, b[1+int(b[0]):], ok
	case Null:
		return nil, b, true
	}
	text, rest, null, ok := mysql.CutText(b)
	return append(Value{}, text...), rest, ok && !null
}

// moment reads a date, a time or both in binary form.
func moment(k Kind, b []byte) (Value, bool) {
	le := binary.LittleEndian
	if k == Time {
		switch len(b) {
		case 0:
			return Value("00:00:00"), true
		case 8, 12:
		default:
			return nil, false
		}
		days := le.Uint32(b[1:])
		if days > 1000 || b[5] > 23 || b[6] > 59 || b[7] > 59 || b[0] > 1 {
			return nil, false
		}
		c := clock{sign: 1 - 2*int(b[0]), hour: int(days)*24 + int(b[5]), minute: int(b[6]), second: int(b[7])}
		if len(b) == 12 {
			c.micro = int(le.Uint32(b[8:]))
		}
		return Value(c.String()), c.micro < 1e6
	}
	var y uint16
	var c clock
	parts := [5]byte{}
	switch len(b) {
	case 0:
	case 4, 7, 11:
		y = le.Uint16(b)
		copy(parts[:], b[2:min(len(b), 7)])
		if len(b) == 11 {
			c.micro = int(le.Uint32(b[7:]))
		}
	default:
		return nil, false
	}
	c.sign, c.hour, c.minute, c.second = 1, int(parts[2]), int(parts[3]), int(parts[4])
	text := fmt.Sprintf("%04d-%02d-%02d", y, parts[0], parts[1])
	if k != Date {
		text += " " + c.String()
	}
	_, _, _, _, _, ok := dateTime(text)
	return Value(text), ok && c.micro < 1e6
}

// ColumnOf is the neutral column of a definition that a server sent.
func ColumnOf(d mysql.Definition) Column {
	c := Column{Name: d.Name, Table: d.Table, Schema: d.Schema, Kind: kindOf(d.Type), Unsigned: d.Flags&mysql.FlagUnsigned != 0,
		Length: d.Length, Decimals: d.Decimals}
	switch {
	case c.Kind == Text && d.Charset == mysql.CharsetBinary:
		c.Kind = Bytes
	case c.Kind == Year || c.Kind == Bit:
		c.Unsigned = false // it goes without saying
	}
	return c
}

// Row reads a row of a QUERY's answer, or of an EXECUTE's (binary), whose texts are in a charset.
func Row(cols []Column, p []byte, inBinary bool, cs Charset) ([]Value, error) {
	out := make([]Value, len(cols))
	broken := errors.New("translate: a row that does not fit its columns")
	var nulls []byte
	if inBinary {
		n := 1 + (len(cols)+9)/8
		if len(p) < n || p[0] != 0 {
			return nil, broken
		}
		nulls, p = p[1:n], p[n:]
	}
	for i, c := range cols {
		var ok, null bool
		var v Value
		switch {
		case inBinary && nulls[(i+2)/8]&(1<<((i+2)%8)) != 0:
			continue
		case inBinary && !c.Kind.textual():
			v, p, ok = cutBinary(c.Kind, c.Unsigned, p)
		default:
			var text []byte
			text, p, null, ok = mysql.CutText(p)
			if null && ok && !inBinary {
				continue
			}
			v = append(Value{}, text...)
		}
		if !ok || null {
			return nil, broken
		}
		if c.Kind.textual() {
			text, err := cs.Decode(v)
			if err != nil {
				return nil, err
			}
			v = text
		}
		out[i] = v
	}
	if len(p) > 0 {
		return nil, broken
	}
	return out, nil
}
