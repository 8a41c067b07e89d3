package pgwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
)

// MaxAnswer is the size of the largest message of a server's answer to an extended query.
const MaxAnswer = 1 << 20

var errShort = errors.New("pgwire: a message ends too early")

// AppendSession adds a startup message with settings of the session, in pairs.
func AppendSession(b []byte, user, database string, settings ...string) []byte {
	body := binary.BigEndian.AppendUint32(nil, Version3)
	for _, s := range append([]string{"user", user, "database", database}, settings...) {
		body = append(append(body, s...), 0)
	}
	body = append(body, 0)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)+4))
	return append(b, body...)
}

// AppendParse adds a Parse that leaves the types of parameters to the server.
func AppendParse(b []byte, name, text string) []byte {
	return Append(b, 'P', name, "\x00", text, "\x00\x00\x00")
}

// AppendDescribe adds a Describe of a statement ('S') or portal ('P').
func AppendDescribe(b []byte, kind byte, name string) []byte {
	return Append(b, 'D', string(kind), name, "\x00")
}

// AppendBind adds a Bind of the unnamed portal, with values in text form; a nil one is NULL. Results come as text too.
func AppendBind(b []byte, name string, values [][]byte) []byte {
	body := append([]byte{0}, name...)
	body = append(body, 0, 0, 0)
	body = binary.BigEndian.AppendUint16(body, uint16(len(values)))
	for _, v := range values {
		if v == nil {
			body = append(body, 0xff, 0xff, 0xff, 0xff)
			continue
		}
		body = append(binary.BigEndian.AppendUint32(body, uint32(len(v))), v...)
	}
	return Append(b, 'B', string(body), "\x00\x00")
}

// AppendExecute adds an Execute of the unnamed portal, of all its rows.
func AppendExecute(b []byte) []byte { return Append(b, 'E', "\x00\x00\x00\x00\x00") }

// AppendClose adds a Close of a statement.
func AppendClose(b []byte, name string) []byte { return Append(b, 'C', "S", name, "\x00") }

// Field is a column as RowDescription tells it.
type Field struct {
	Name     string
	Type     uint32 // its number in pg_type
	Modifier int32  // -1: none
}

// Fields reads a RowDescription. Columns in binary form are an error: none were asked for.
func Fields(body []byte) ([]Field, error) {
	if len(body) < 2 {
		return nil, errShort
	}
	n := int(binary.BigEndian.Uint16(body))
	body = body[2:]
	out := make([]Field, 0, min(n, 64))
	for range n {
		name, rest, ok := cutString(body)
		if !ok || len(rest) < 18 {
			return nil, errShort
		}
		if binary.BigEndian.Uint16(rest[16:]) != 0 {
			return nil, errors.New("pgwire: a column in binary form")
		}
		out = append(out, Field{name, binary.BigEndian.Uint32(rest[6:]), int32(binary.BigEndian.Uint32(rest[12:]))})
		body = rest[18:]
	}
	if len(body) > 0 {
		return nil, errShort
	}
	return out, nil
}

func cutString(b []byte) (s string, rest []byte, ok bool) {
	for i, c := range b {
		if c == 0 {
			return string(b[:i]), b[i+1:], true
		}
	}
	return "", nil, false
}

// Values reads a DataRow of so many columns; a nil one is NULL. They point into the body.
func Values(body []byte, columns int) ([][]byte, error) {
	if len(body) < 2 || int(binary.BigEndian.Uint16(body)) != columns {
		return nil, errShort
	}
	body = body[2:]
	out := make([][]byte, columns)
	for i := range out {
		if len(body) < 4 {
			return nil, errShort
		}
		n := int32(binary.BigEndian.Uint32(body))
		if body = body[4:]; n == -1 {
			continue
		}
		if n < 0 || int(n) > len(body) {
			return nil, errShort
		}
		out[i], body = body[:n:n], body[n:]
	}
	if len(body) > 0 {
		return nil, errShort
	}
	return out, nil
}

// ParameterTypes reads a ParameterDescription.
func ParameterTypes(body []byte) ([]uint32, error) {
	if len(body) < 2 || len(body) != 2+4*int(binary.BigEndian.Uint16(body)) {
		return nil, errShort
	}
	out := make([]uint32, binary.BigEndian.Uint16(body))
	for i := range out {
		out[i] = binary.BigEndian.Uint32(body[2+4*i:])
	}
	return out, nil
}

// NextReply takes one message of a server's answer to an extended query off b. What no such answer holds is an error.
func NextReply(b []byte) (m Message, n int, err error) {
	if len(b) > 0 {
		switch b[0] {
		case '1', '2', '3', 'C', 'D', 'E', 'I', 'K', 'N', 'R', 'S', 'T', 'Z', 'n', 't':
		default:
			return m, 0, fmt.Errorf("%w: type %q", ErrFraming, b[0])
		}
	}
	return Next(b, MaxAnswer)
}

// ---- What a server of extended queries reads and writes, for stand-ins ----

// ParsedStatement reads a Parse.
func ParsedStatement(body []byte) (name, text string, err error) {
	name, rest, ok := cutString(body)
	text, _, ok2 := cutString(rest)
	if !ok || !ok2 {
		return "", "", errShort
	}
	return name, text, nil
}

// BoundValues reads a Bind with text values.
func BoundValues(body []byte) (statement string, values [][]byte, err error) {
	_, rest, ok := cutString(body)
	statement, rest, ok2 := cutString(rest)
	if !ok || !ok2 || len(rest) < 6 || binary.BigEndian.Uint16(rest) != 0 {
		return "", nil, errShort
	}
	n := int(binary.BigEndian.Uint16(rest[2:]))
	values, err = Values(rest[2:len(rest)-2], n)
	return statement, values, err
}

// AppendFields adds a RowDescription.
func AppendFields(b []byte, fields []Field) []byte {
	body := binary.BigEndian.AppendUint16(nil, uint16(len(fields)))
	for _, f := range fields {
		body = append(append(body, f.Name...), 0, 0, 0, 0, 0, 0, 0)
		body = binary.BigEndian.AppendUint32(body, f.Type)
		body = append(body, 0xff, 0xff)
		body = binary.BigEndian.AppendUint32(body, uint32(f.Modifier))
		body = append(body, 0, 0)
	}
	return Append(b, 'T', string(body))
}

// AppendValues adds a DataRow.
func AppendValues(b []byte, values [][]byte) []byte {
	body := binary.BigEndian.AppendUint16(nil, uint16(len(values)))
	for _, v := range values {
		if v == nil {
			body = append(body, 0xff, 0xff, 0xff, 0xff)
			continue
		}
		body = append(binary.BigEndian.AppendUint32(body, uint32(len(v))), v...)
	}
	return Append(b, 'D', string(body))
}

// AppendParameterTypes adds a ParameterDescription.
func AppendParameterTypes(b []byte, types []uint32) []byte {
	body := binary.BigEndian.AppendUint16(nil, uint16(len(types)))
	for _, t := range types {
		body = binary.BigEndian.AppendUint32(body, t)
	}
	return Append(b, 't', string(body))
}

// AppendCancel adds the request that cancels what the connection of a key is about.
func AppendCancel(b []byte, key Key) []byte {
	b = append(b, 0, 0, 0, 16)
	for _, v := range []uint32{CancelCode, key.Process, key.Secret} {
		b = binary.BigEndian.AppendUint32(b, v)
	}
	return b
}

// Tag is the tag of a CommandComplete of so many rows.
func Tag(verb string, rows int) string {
	if verb == "INSERT" {
		verb += " 0"
	}
	return verb + " " + strconv.Itoa(rows)
}
