// Package mysql reads and writes the MySQL client/server protocol, version 10: bytes to values, no sockets. Both
// sides of the pooler speak it with the same capabilities, so that a server's answer can be passed on as it is.
package mysql

import (
	"bytes"
	"crypto/sha1"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"fmt"
)

// Limits of what is taken in.
const (
	MaxCommand = 1 << 20 // of a client's command
	MaxAnswer  = 1 << 20 // of a server's answer
)

// Commands.
const (
	ComQuit            = 0x01
	ComInitDB          = 0x02
	ComQuery           = 0x03
	ComFieldList       = 0x04
	ComProcessKill     = 0x0c
	ComPing            = 0x0e
	ComStmtPrepare     = 0x16
	ComStmtExecute     = 0x17
	ComStmtSendLong    = 0x18
	ComStmtClose       = 0x19
	ComStmtReset       = 0x1a
	ComSetOption       = 0x1b
	ComStmtFetch       = 0x1c
	ComResetConnection = 0x1f
)

// Capabilities: those that the pooler offers and asks for, and some it must know.
const (
	capLongPassword = 1 << 0
	capConnectDB    = 1 << 3
	capCompress     = 1 << 5
	capProtocol41   = 1 << 9
	capSSL          = 1 << 11
	capTransactions = 1 << 13
	capSecureConn   = 1 << 15
	capPluginAuth   = 1 << 19
	capLenencAuth   = 1 << 21
	capSessionTrack = 1 << 23

	capabilities = capLongPassword | capConnectDB | capProtocol41 | capTransactions | capSecureConn | capPluginAuth
)

// Error codes in use.
const (
	ErrConCount       = 1040 // too many connections
	ErrAccessDenied   = 1045
	ErrUnknownCommand = 1047
	ErrHandshake      = 1043
	ErrUserConns      = 1203
	ErrUnknown        = 1105
	ErrNoThread       = 1094
	ErrUnknownStmt    = 1243
	ErrWrongArgs      = 1210
	ErrNotSupported   = 1235
	ErrOptionPrevents = 1290 // --read-only
	ErrNoCursor       = 1421
	ErrMaxPrepared    = 1461
	ErrReadOnlyMode   = 1836
	ErrInterrupted    = 1317
	ErrParse          = 1064
	ErrTooBig         = 1153
)

const (
	statusAutocommit  = 2
	statusMoreResults = 8
	nativePassword    = "mysql_native_password"
	serverVersion     = "8.0.36-threadsail"
	charsetUTF8MB4    = 45
	typeVarString     = 0xfd
)

var (
	// ErrFraming tells that the peer's packets can no longer be told apart.
	ErrFraming = errors.New("mysql: packet out of bounds or out of order")
	errShort   = errors.New("mysql: packet ends too early")
)

// Next takes one packet off b, of at most most bytes. n is 0 while more bytes are needed.
func Next(b []byte, most int) (seq byte, payload []byte, n int, err error) {
	n, err = Size(b, most)
	if err != nil || n == 0 || len(b) < n {
		return 0, nil, 0, err
	}
	return b[3], b[headerSize:n], n, nil
}

// headerSize is the size of a packet's length and number.
const headerSize = 4

// Size is the size of the packet that b begins with, of at most most bytes of payload, as its length says; 0 while that has not come.
func Size(b []byte, most int) (int, error) {
	if len(b) < headerSize {
		return 0, nil
	}
	size := int(b[0]) | int(b[1])<<8 | int(b[2])<<16
	if size > most {
		return 0, fmt.Errorf("%w: %d bytes", ErrFraming, size)
	}
	return headerSize + size, nil
}

// Append adds a packet. Payloads are under 16 MiB here.
func Append(b []byte, seq byte, payload []byte) []byte {
	b = append(b, byte(len(payload)), byte(len(payload)>>8), byte(len(payload)>>16), seq)
	return append(b, payload...)
}

// Command is the payload of a command.
func Command(code byte, body string) []byte { return append([]byte{code}, body...) }

// reader takes values off a payload; after an error all are empty.
type reader struct {
	b   []byte
	err error
}

func (r *reader) take(n int) []byte {
	if r.err != nil || n < 0 || n > len(r.b) {
		r.err = errShort
		return nil
	}
	p := r.b[:n]
	r.b = r.b[n:]
	return p
}

func (r *reader) u8() byte {
	if p := r.take(1); p != nil {
		return p[0]
	}
	return 0
}

func (r *reader) u16() uint16 {
	if p := r.take(2); p != nil {
		return binary.LittleEndian.Uint16(p)
	}
	return 0
}

func (r *reader) u32() uint32 {
	if p := r.take(4); p != nil {
		return binary.LittleEndian.Uint32(p)
	}
	return 0
}

func (r *reader) text() string {
	i := bytes.IndexByte(r.b, 0)
	if i < 0 {
		r.err = errShort
		return ""
	}
	s := string(r.take(i))
	r.take(1)
	return s
}

// lenenc reads a length-encoded integer; null is true for the NULL of a text row.
func (r *reader) lenenc() (v uint64, null bool) {
	switch c := r.u8(); c {
	case 0xfb:
		return 0, true
	case 0xfc:
		return uint64(r.u16()), false
	case 0xfd:
		if p := r.take(3); p != nil {
			return uint64(p[0]) | uint64(p[1])<<8 | uint64(p[2])<<16, false
		}
	case 0xfe:
		if p := r.take(8); p != nil {
			return binary.LittleEndian.Uint64(p), false
		}
	case 0xff:
		r.err = errShort
	default:
		return uint64(c), false
	}
	return 0, false
}

func (r *reader) lenencBytes() []byte {
	n, null := r.lenenc()
	if null {
		return nil
	}
	if n > uint64(len(r.b)) {
		r.err = errShort
		return nil
	}
	return r.take(int(n))
}

func appendLenenc(b []byte, v uint64) []byte {
	switch {
	case v < 0xfb:
		return append(b, byte(v))
	case v < 1<<16:
		return append(b, 0xfc, byte(v), byte(v>>8))
	case v < 1<<24:
		return append(b, 0xfd, byte(v), byte(v>>8), byte(v>>16))
	}
	return binary.LittleEndian.AppendUint64(append(b, 0xfe), v)
}

func appendLenencText(b []byte, s string) []byte {
	return append(appendLenenc(b, uint64(len(s))), s...)
}

// OK is the payload of an OK packet.
func OK() []byte { return []byte{0, 0, 0, statusAutocommit, 0, 0, 0} }

// EOF is the payload of an EOF packet.
func EOF() []byte { return []byte{0xfe, 0, 0, statusAutocommit, 0} }

// Error is the payload of an ERR packet.
func Error(code uint16, state, text string) []byte {
	b := []byte{0xff, byte(code), byte(code >> 8), '#'}
	b = append(b, (state + "HY000")[:5]...)
	return append(b, text...)
}

// ParseError reads an ERR packet.
func ParseError(p []byte) (code uint16, state, text string, ok bool) {
	r := &reader{b: p}
	if r.u8() != 0xff {
		return 0, "", "", false
	}
	code = r.u16()
	state = "HY000"
	if len(r.b) > 0 && r.b[0] == '#' {
		r.take(1)
		state = string(r.take(5))
	}
	return code, state, string(r.b), r.err == nil
}

// IsEOF tells an EOF packet from a row.
func IsEOF(p []byte) bool { return len(p) > 0 && len(p) < 9 && p[0] == 0xfe }

// EndsEOF tells whether b ends in an EOF packet, though its packets may say otherwise.
func EndsEOF(b []byte) bool {
	const payload = 5
	at := len(b) - headerSize - payload
	return at >= 0 && b[at] == payload && b[at+1] == 0 && b[at+2] == 0 && IsEOF(b[at+headerSize:])
}

// ColumnDef is the payload of a column's definition, of a text type.
func ColumnDef(name string) []byte {
	b := appendLenencText(nil, "def")
	for _, s := range []string{"", "", "", name, name} {
		b = appendLenencText(b, s)
	}
	b = append(b, 0x0c, charsetUTF8MB4, 0)
	b = binary.LittleEndian.AppendUint32(b, 1<<16)
	return append(b, typeVarString, 0, 0, 0, 0, 0)
}

// ---- Handshake ----

// Greeting is what a server says first.
type Greeting struct {
	Thread       uint32 // the connection's number
	Capabilities uint32
	Challenge    []byte // 20 bytes
	Plugin       string
}

// AppendGreeting adds the first packet of a server.
func AppendGreeting(b []byte, id uint32, challenge []byte) []byte {
	p := append([]byte{10}, serverVersion+"\x00"...)
	p = binary.LittleEndian.AppendUint32(p, id)
	p = append(append(p, challenge[:8]...), 0)
	p = binary.LittleEndian.AppendUint16(p, capabilities&0xffff)
	p = append(p, charsetUTF8MB4, statusAutocommit, 0)
	p = binary.LittleEndian.AppendUint16(p, capabilities>>16)
	p = append(p, byte(len(challenge)+1), 0, 0, 0, 0, 0, 0, 0, 0, 0, 0)
	p = append(append(p, challenge[8:]...), 0)
	return Append(b, 0, append(p, nativePassword+"\x00"...))
}

// ParseGreeting reads the first packet of a server.
func ParseGreeting(p []byte) (g Greeting, err error) {
	r := &reader{b: p}
	if v := r.u8(); r.err == nil && v != 10 {
		return g, fmt.Errorf("mysql: protocol version %d is not supported", v)
	}
	r.text()
	g.Thread = r.u32()
	g.Challenge = append(g.Challenge, r.take(8)...)
	r.take(1)
	g.Capabilities = uint32(r.u16())
	r.take(3)
	g.Capabilities |= uint32(r.u16()) << 16
	r.take(11)
	g.Challenge = append(g.Challenge, r.take(12)...)
	if r.take(1); r.err != nil {
		return g, r.err
	}
	if g.Capabilities&capProtocol41 == 0 {
		return g, errors.New("mysql: the server speaks no protocol 4.1")
	}
	g.Plugin = nativePassword
	if g.Capabilities&capPluginAuth != 0 {
		plugin, _, _ := bytes.Cut(r.b, []byte{0})
		g.Plugin = string(plugin)
	}
	return g, nil
}

// Login is a client's answer to the greeting.
type Login struct {
	Capabilities uint32
	Collation    uint16
	User         string
	Response     []byte
	Database     string
	Plugin       string
}

// ParseLogin reads a client's answer to the greeting.
func ParseLogin(p []byte) (l Login, err error) {
	r := &reader{b: p}
	l.Capabilities = r.u32()
	r.take(4)
	l.Collation = uint16(r.u8())
	r.take(23)
	if r.err == nil && l.Capabilities&capProtocol41 == 0 {
		return l, errors.New("mysql: the client speaks no protocol 4.1")
	}
	if r.err == nil && l.Capabilities&(capSSL|capCompress) != 0 {
		return l, errors.New("mysql: TLS and compression are not offered")
	}
	l.User = r.text()
	switch {
	case l.Capabilities&capLenencAuth != 0:
		l.Response = r.lenencBytes()
	case l.Capabilities&capSecureConn != 0:
		l.Response = r.take(int(r.u8()))
	default:
		l.Response = []byte(r.text())
	}
	if l.Capabilities&capConnectDB != 0 && len(r.b) > 0 {
		l.Database = r.text()
	}
	if l.Capabilities&capPluginAuth != 0 && len(r.b) > 0 {
		l.Plugin = r.text()
	}
	return l, r.err
}

// AppendLogin adds a client's answer to the greeting.
func AppendLogin(b []byte, seq byte, g Greeting, user, password, database string) []byte {
	caps := uint32(capabilities)
	if database == "" {
		caps &^= capConnectDB
	}
	p := binary.LittleEndian.AppendUint32(nil, caps&g.Capabilities|capProtocol41|capSecureConn)
	p = binary.LittleEndian.AppendUint32(p, MaxCommand)
	p = append(append(p, charsetUTF8MB4), make([]byte, 23)...)
	p = append(append(p, user...), 0)
	plugin := g.Plugin
	response, err := AuthResponse(plugin, g.Challenge, password)
	if err != nil { // the server will ask for one that it takes instead
		plugin = nativePassword
	}
	p = append(append(p, byte(len(response))), response...)
	if caps&g.Capabilities&capConnectDB != 0 {
		p = append(append(p, database...), 0)
	}
	if caps&g.Capabilities&capPluginAuth != 0 {
		p = append(p, plugin+"\x00"...)
	}
	return Append(b, seq, p)
}

// SwitchToNative is the payload that asks a client for the native password method.
func SwitchToNative(challenge []byte) []byte {
	p := append([]byte{0xfe}, nativePassword+"\x00"...)
	return append(append(p, challenge...), 0)
}

// ParseSwitch reads a server's wish for another method.
func ParseSwitch(p []byte) (plugin string, challenge []byte, err error) {
	r := &reader{b: p}
	if r.u8() != 0xfe {
		return "", nil, errShort
	}
	plugin = r.text()
	challenge = r.take(20)
	return plugin, challenge, r.err
}

// IsNative tells whether a login used the native password method.
func (l *Login) IsNative() bool { return l.Plugin == "" || l.Plugin == nativePassword }

// PluginAuth tells whether the client knows methods of logging in by name, as those since 5.5 do.
func (l *Login) PluginAuth() bool { return l.Capabilities&capPluginAuth != 0 }

// TracksSessions tells whether the client can be told how its session stands, as those since 5.7 can.
func (l *Login) TracksSessions() bool { return l.Capabilities&capSessionTrack != 0 }

// Scramble is the native password method: SHA1(password) XOR SHA1(challenge, SHA1(SHA1(password))).
func Scramble(challenge []byte, password string) []byte {
	if password == "" {
		return nil
	}
	once := sha1.Sum([]byte(password))
	twice := sha1.Sum(once[:])
	h := sha1.New()
	h.Write(challenge)
	h.Write(twice[:])
	out := h.Sum(nil)
	for i := range out {
		out[i] ^= once[i]
	}
	return out
}

// PasswordFits checks a client's response.
func PasswordFits(challenge, response []byte, password string) bool {
	return subtle.ConstantTimeCompare(response, Scramble(challenge, password)) == 1
}
