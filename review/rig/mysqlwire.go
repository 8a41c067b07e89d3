package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
)

// The commands of MySQL's protocol that the stand-ins know.
const (
	comQuit         = 0x01
	comInitDB       = 0x02
	comQuery        = 0x03
	comPing         = 0x0e
	comStmtPrepare  = 0x16
	comStmtExecute  = 0x17
	comStmtSendLong = 0x18
	comStmtClose    = 0x19
	comStmtReset    = 0x1a

	mysqlCapabilities = 1 | 1<<3 | 1<<9 | 1<<13 | 1<<15 | 1<<19
	typeBlob          = 0xfc
	typeVarString     = 0xfd
)

// myConn is a connection on MySQL's protocol, of a client or of a server.
type myConn struct {
	net.Conn
	r *bufio.Reader
}

func newMyConn(c net.Conn) *myConn { return &myConn{c, bufio.NewReaderSize(c, 64<<10)} }

// next reads one packet.
func (c *myConn) next() (seq byte, payload []byte, err error) {
	var head [4]byte
	if _, err = io.ReadFull(c.r, head[:]); err != nil {
		return 0, nil, err
	}
	payload = make([]byte, int(head[0])|int(head[1])<<8|int(head[2])<<16)
	_, err = io.ReadFull(c.r, payload)
	return head[3], payload, err
}

func myPacket(b []byte, seq byte, payload []byte) []byte {
	b = append(b, byte(len(payload)), byte(len(payload)>>8), byte(len(payload)>>16), seq)
	return append(b, payload...)
}

func (c *myConn) send(seq byte, payload []byte) error { return copyAll(c, myPacket(nil, seq, payload)) }

func (c *myConn) command(code byte, body string) error {
	return c.send(0, append([]byte{code}, body...))
}

func lenenc(b []byte, n int) []byte {
	switch {
	case n < 0xfb:
		return append(b, byte(n))
	case n < 1<<16:
		return append(b, 0xfc, byte(n), byte(n>>8))
	}
	return append(b, 0xfd, byte(n), byte(n>>8), byte(n>>16))
}

func lenencText(b []byte, s string) []byte { return append(lenenc(b, len(s)), s...) }

func cutLenenc(b []byte) (text string, rest []byte, err error) {
	if len(b) == 0 {
		return "", nil, io.ErrUnexpectedEOF
	}
	n, head := int(b[0]), 1
	switch {
	case b[0] == 0xfc && len(b) >= 3:
		n, head = int(b[1])|int(b[2])<<8, 3
	case b[0] == 0xfd && len(b) >= 4:
		n, head = int(b[1])|int(b[2])<<8|int(b[3])<<16, 4
	}
	if len(b) < head+n {
		return "", nil, io.ErrUnexpectedEOF
	}
	return string(b[head : head+n]), b[head+n:], nil
}

func myOK() []byte { return []byte{0, 0, 0, 2, 0, 0, 0} }

func myEOF() []byte { return []byte{0xfe, 0, 0, 2, 0} }

func myError(code uint16, state, text string) []byte {
	b := append([]byte{0xff, byte(code), byte(code >> 8), '#'}, state...)
	return append(b, text...)
}

func myColumn(name string) []byte {
	b := lenencText(nil, "def")
	for _, s := range []string{"", "", "", name, name} {
		b = lenencText(b, s)
	}
	b = append(b, 0x0c, 45, 0)
	b = binary.LittleEndian.AppendUint32(b, 1<<16)
	return append(b, typeVarString, 0, 0, 0, 0, 0)
}

// myRow is a result of one row of one column.
func myRow(value string, inBinary bool) []byte {
	b := myPacket(nil, 1, []byte{1})
	b = myPacket(b, 2, myColumn("val"))
	b = myPacket(b, 3, myEOF())
	row := lenencText(nil, value)
	if inBinary {
		row = append([]byte{0, 0}, row...)
	}
	b = myPacket(b, 4, row)
	return myPacket(b, 5, myEOF())
}

func myGreeting(id uint32) []byte {
	b := append([]byte{10}, "8.0.36\x00"...)
	b = binary.LittleEndian.AppendUint32(b, id)
	b = append(b, "abcdefgh\x00"...)
	b = append(b, mysqlCapabilities&0xff, mysqlCapabilities>>8&0xff, 45, 2, 0, mysqlCapabilities>>16&0xff, mysqlCapabilities>>24&0xff, 21)
	b = append(b, make([]byte, 10)...)
	b = append(b, "ijklmnopqrst\x00"...)
	return append(b, "mysql_native_password\x00"...)
}

// myAnswer is what a client got for one command.
type myAnswer struct {
	code  int    // of an error; 0: none
	text  string // of an error
	value string // of the row, if there is one
}

func (a myAnswer) String() string {
	if a.code != 0 {
		return fmt.Sprintf("error %d %s", a.code, a.text)
	}
	return "ok " + a.value
}

// dialMy connects and logs in.
func dialMy(addr, user, database string) (*myConn, error) {
	raw, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := newMyConn(raw)
	_, greeting, err := c.next()
	if err == nil && (len(greeting) == 0 || greeting[0] != 10) {
		err = fmt.Errorf("no greeting: %q", greeting)
	}
	if err == nil {
		caps := uint32(mysqlCapabilities)
		if database == "" {
			caps &^= 1 << 3
		}
		b := binary.LittleEndian.AppendUint32(nil, caps)
		b = binary.LittleEndian.AppendUint32(b, 1<<20)
		b = append(append(b, 45), make([]byte, 23)...)
		b = append(append(b, user...), 0, 0)
		if database != "" {
			b = append(append(b, database...), 0)
		}
		b = append(b, "mysql_native_password\x00"...)
		err = c.send(1, b)
	}
	var answer []byte
	if err == nil {
		_, answer, err = c.next()
	}
	if err == nil && (len(answer) == 0 || answer[0] != 0) {
		err = fmt.Errorf("the login fails: %q", answer)
	}
	if err != nil {
		raw.Close()
		return nil, err
	}
	return c, nil
}

// prepare prepares a statement.
func (c *myConn) prepare(text string) (id uint32, err error) {
	if err := c.command(comStmtPrepare, text); err != nil {
		return 0, err
	}
	_, p, err := c.next()
	if err != nil {
		return 0, err
	}
	if len(p) < 12 || p[0] != 0 {
		return 0, fmt.Errorf("PREPARE: %q", p)
	}
	id = binary.LittleEndian.Uint32(p[1:])
	definitions := 0
	for _, n := range []uint16{binary.LittleEndian.Uint16(p[5:]), binary.LittleEndian.Uint16(p[7:])} {
		if n > 0 {
			definitions += int(n) + 1
		}
	}
	for range definitions {
		if _, _, err := c.next(); err != nil {
			return 0, err
		}
	}
	return id, nil
}

// executeLong executes a statement of two parameters: the first is a short text, the second is sent ahead as long data.
func (c *myConn) executeLong(id uint32, short, long string) error {
	head := binary.LittleEndian.AppendUint32([]byte{comStmtSendLong}, id)
	b := myPacket(nil, 0, append(append(head, 1, 0), long...))
	e := binary.LittleEndian.AppendUint32([]byte{comStmtExecute}, id)
	e = append(e, 0, 1, 0, 0, 0, 0, 1, typeVarString, 0, typeBlob, 0)
	return copyAll(c, myPacket(b, 0, lenencText(e, short)))
}

// answer reads the answer to a QUERY or an EXECUTE.
func (c *myConn) answer(inBinary bool) (a myAnswer, err error) {
	_, p, err := c.next()
	switch {
	case err != nil:
		return a, err
	case len(p) == 0:
		return a, errors.New("an empty packet")
	case p[0] == 0xff:
		return myAnswer{code: int(binary.LittleEndian.Uint16(p[1:])), text: string(p[3:])}, nil
	case p[0] == 0:
		return a, nil
	}
	for ends := 0; ends < 2; {
		_, p, err := c.next()
		switch {
		case err != nil:
			return a, err
		case len(p) < 9 && len(p) > 0 && p[0] == 0xfe:
			ends++
		case ends == 1 && inBinary && len(p) > 2:
			a.value, _, err = cutLenenc(p[2:])
		case ends == 1:
			a.value, _, err = cutLenenc(p)
		}
		if err != nil {
			return a, err
		}
	}
	return a, nil
}

func hasPrefixFold(b []byte, prefix string) bool {
	return len(b) >= len(prefix) && bytes.EqualFold(b[:len(prefix)], []byte(prefix))
}
