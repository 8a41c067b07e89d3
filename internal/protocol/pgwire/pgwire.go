// Package pgwire reads and writes PostgreSQL's protocol, version 3: bytes to values, no sockets.
package pgwire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// HeaderSize is the size of a message's type and length.
const HeaderSize = 5

// Limits of what is taken in.
const (
	MaxStartup = 10 << 10
	MaxValue   = 64 << 10
	MaxQuery   = 2*MaxValue + 16<<10 // a value written in hexadecimal, and the statement around it
	MaxLong    = 4 << 20             // a value that is passed on as it comes
)

// Codes that a startup message can begin with.
const (
	Version3   = 196608
	CancelCode = 80877102
	SSLCode    = 80877103
	GSSCode    = 80877104
)

// SQLSTATE codes in use.
const (
	CodeTooMany     = "53300"
	CodeCannotNow   = "57P03"
	CodeReadOnly    = "25006"
	CodeBehind      = "72000"
	CodeFailed      = "58000"
	CodeProtocol    = "08P01"
	CodeSyntax      = "42601"
	CodeUnsupported = "0A000"
)

// ErrFraming tells that the peer's messages can no longer be told apart.
var ErrFraming = errors.New("pgwire: impossible message length")

// Message is one typed message; Body points into the bytes it was read from.
type Message struct {
	Type byte
	Body []byte
	Raw  []byte // with its type and length
}

// Next takes one message of at most most bytes off b. n is 0 while more bytes are needed.
func Next(b []byte, most int) (m Message, n int, err error) {
	n, err = Size(b, most)
	if err != nil || n == 0 || len(b) < n {
		return m, 0, err
	}
	return Message{Type: b[0], Body: b[HeaderSize:n], Raw: b[:n]}, n, nil
}

// Size is the size of the message that b begins with, of at most most bytes, as its length says; 0 while that has not come.
func Size(b []byte, most int) (int, error) {
	if len(b) < HeaderSize {
		return 0, nil
	}
	size := binary.BigEndian.Uint32(b[1:])
	if size < 4 || uint64(size) > uint64(most) {
		return 0, fmt.Errorf("%w %d", ErrFraming, size)
	}
	return 1 + int(size), nil
}

// NextAnswer takes one message of a server off b, as Next does. A server's message that can't be whole or sound is found
// by its first bytes: nobody waits for the rest of an impossible one.
func NextAnswer(b []byte) (m Message, n int, err error) {
	if len(b) > 0 && !answers[b[0]].known {
		return m, 0, fmt.Errorf("%w: type %q", ErrFraming, b[0])
	}
	if len(b) < 5 {
		return m, 0, nil
	}
	a, size := answers[b[0]], binary.BigEndian.Uint32(b[1:])
	if size < 4+a.least || size > 4+a.most {
		return m, 0, fmt.Errorf("%w %d of type %q", ErrFraming, size, b[0])
	}
	if b[0] == 'D' && len(b) >= 11 &&
		(binary.BigEndian.Uint16(b[5:]) != 1 || binary.BigEndian.Uint32(b[7:]) != size-10) {
		return m, 0, fmt.Errorf("%w of a value", ErrFraming)
	}
	return Next(b, int(size))
}

// LongRow is the size of the row that b begins with, if its value is longer than those that are held whole; 0: it is not.
// NextAnswer has found nothing wrong with b.
func LongRow(b []byte) int {
	if len(b) < 11 || b[0] != 'D' || binary.BigEndian.Uint32(b[7:]) <= MaxValue {
		return 0
	}
	return 1 + int(binary.BigEndian.Uint32(b[1:]))
}

// answers has the messages that a server sends here, and the bounds of their bodies.
var answers = [256]struct {
	known       bool
	least, most uint32
}{
	'R': {true, 4, 64}, 'K': {true, 8, 64}, 'Z': {true, 1, 1}, 'S': {true, 2, 4 << 10}, 'N': {true, 1, 16 << 10},
	'E': {true, 1, 16 << 10}, 'T': {true, 21, 1 << 10}, 'D': {true, 6, 6 + MaxLong}, 'C': {true, 1, 256},
}

// OneColumn tells whether a RowDescription's body describes exactly one column.
func OneColumn(body []byte) bool {
	if len(body) < 3 || binary.BigEndian.Uint16(body) != 1 {
		return false
	}
	end := 2 + bytes.IndexByte(body[2:], 0)
	return end >= 2 && len(body) == end+19
}

// NextStartup takes the untyped first message off b and returns its code.
func NextStartup(b []byte) (code uint32, n int, err error) {
	if len(b) < 4 {
		return 0, 0, nil
	}
	size := binary.BigEndian.Uint32(b)
	if size < 8 || size > MaxStartup {
		return 0, 0, fmt.Errorf("%w %d", ErrFraming, size)
	}
	if len(b) < int(size) {
		return 0, 0, nil
	}
	return binary.BigEndian.Uint32(b[4:]), int(size), nil
}

// Text reads a body that is one string.
func Text(body []byte) (string, bool) {
	if len(body) == 0 || body[len(body)-1] != 0 {
		return "", false
	}
	for _, c := range body[:len(body)-1] {
		if c == 0 {
			return "", false
		}
	}
	return string(body[:len(body)-1]), true
}

// Parameter reads a ParameterStatus.
func Parameter(body []byte) (name, value string, ok bool) {
	for i, c := range body {
		if c == 0 {
			value, ok = Text(body[i+1:])
			return string(body[:i]), value, ok
		}
	}
	return "", "", false
}

// ErrorCode reads the SQLSTATE of an ErrorResponse; empty where it has none, or the message is not made as it should be.
func ErrorCode(body []byte) string {
	code := ErrorField(body, 'C')
	if len(code) != 5 || len(body) < 2 || body[len(body)-1] != 0 || body[len(body)-2] != 0 {
		return ""
	}
	for _, c := range []byte(code) {
		if (c < '0' || c > '9') && (c < 'A' || c > 'Z') {
			return ""
		}
	}
	return code
}

// ErrorField reads one field of an ErrorResponse.
func ErrorField(body []byte, field byte) string {
	for len(body) > 1 && body[0] != 0 {
		end := 1
		for end < len(body) && body[end] != 0 {
			end++
		}
		if end == len(body) {
			return ""
		}
		if body[0] == field {
			return string(body[1:end])
		}
		body = body[end+1:]
	}
	return ""
}

// Column reads a DataRow of one column that is not null.
func Column(body []byte) ([]byte, bool) {
	if len(body) < 6 || binary.BigEndian.Uint16(body) != 1 ||
		uint64(binary.BigEndian.Uint32(body[2:])) != uint64(len(body)-6) {
		return nil, false
	}
	return body[6:], true
}

// Append adds a message with the given parts of its body.
func Append(b []byte, kind byte, parts ...string) []byte {
	size := 4
	for _, p := range parts {
		size += len(p)
	}
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, uint32(size))
	for _, p := range parts {
		b = append(b, p...)
	}
	return b
}

// AppendStartup adds a client's startup message.
func AppendStartup(b []byte, user, database string) []byte {
	body := "user\x00" + user + "\x00database\x00" + database + "\x00\x00"
	b = binary.BigEndian.AppendUint32(b, uint32(8+len(body)))
	b = binary.BigEndian.AppendUint32(b, Version3)
	return append(b, body...)
}

// AppendQuery adds a simple query.
func AppendQuery(b []byte, text string) []byte { return Append(b, 'Q', text, "\x00") }

// StatusIdle is the body of a ReadyForQuery outside any transaction.
const StatusIdle = "I"

// AppendReady adds ReadyForQuery, outside any transaction.
func AppendReady(b []byte) []byte { return Append(b, 'Z', StatusIdle) }

// EndsReady tells whether b ends in a ReadyForQuery, though its messages may say otherwise.
func EndsReady(b []byte) bool { return bytes.HasSuffix(b, AppendReady(nil)) }

// Key is what a client proves itself with to cancel what its connection is about.
type Key struct{ Process, Secret uint32 }

// ReadKey reads the rest of a cancel request, or a BackendKeyData.
func ReadKey(body []byte) (k Key, ok bool) {
	if len(body) != 8 {
		return k, false
	}
	return Key{binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:])}, true
}

// AppendWelcome adds a server's answer to a startup message.
func AppendWelcome(b []byte, key Key) []byte {
	b = Append(b, 'R', "\x00\x00\x00\x00")
	for _, p := range [][2]string{{"server_version", "14.0"}, {"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"}, {"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"}} {
		b = AppendParameter(b, p[0], p[1])
	}
	body := binary.BigEndian.AppendUint32(nil, key.Process)
	b = Append(b, 'K', string(binary.BigEndian.AppendUint32(body, key.Secret)))
	return AppendReady(b)
}

// AppendParameter adds a ParameterStatus.
func AppendParameter(b []byte, name, value string) []byte {
	return Append(b, 'S', name, "\x00", value, "\x00")
}

// AppendError adds an ErrorResponse.
func AppendError(b []byte, severity, code, text, detail string) []byte {
	parts := []string{"S", severity, "\x00V", severity, "\x00C", code, "\x00M", text, "\x00"}
	if detail != "" {
		parts = append(parts, "D", detail, "\x00")
	}
	return Append(b, 'E', append(parts, "\x00")...)
}

// AppendRefusal adds the error that invites the client to come again, after the given time if any.
func AppendRefusal(b []byte, after time.Duration) []byte {
	detail := ""
	if after > 0 {
		detail = strconv.FormatInt(int64((after+time.Millisecond-1)/time.Millisecond), 10)
	}
	return AppendError(b, "ERROR", CodeTooMany, "no server can take this request now", detail)
}

// AppendRow adds RowDescription, one DataRow and CommandComplete for a single text column.
func AppendRow(b []byte, column, value, tag string) []byte {
	b = Append(b, 'T', "\x00\x01", column, "\x00", "\x00\x00\x00\x00\x00\x00\x00\x00\x00\x19\xff\xff\xff\xff\xff\xff\x00\x00")
	size := binary.BigEndian.AppendUint32(nil, uint32(len(value)))
	b = Append(b, 'D', "\x00\x01", string(size), value)
	return Append(b, 'C', tag, "\x00")
}
