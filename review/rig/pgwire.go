package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
)

// pgConn is a connection on PostgreSQL's protocol, of a client or of a server.
type pgConn struct {
	net.Conn
	r *bufio.Reader
}

func newPGConn(c net.Conn) *pgConn { return &pgConn{c, bufio.NewReaderSize(c, 64<<10)} }

const maxPGMessage = 8 << 20

// next reads one typed message.
func (c *pgConn) next() (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(c.r, head[:]); err != nil {
		return 0, nil, err
	}
	size := binary.BigEndian.Uint32(head[1:])
	if size < 4 || size > maxPGMessage {
		return 0, nil, errors.New("a message of an impossible size")
	}
	body = make([]byte, size-4)
	_, err = io.ReadFull(c.r, body)
	return head[0], body, err
}

// startup reads the startup message.
func (c *pgConn) startup() error {
	var head [4]byte
	if _, err := io.ReadFull(c.r, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(head[:])
	if size < 8 || size > 10000 {
		return errors.New("a startup message of an impossible size")
	}
	_, err := io.ReadFull(c.r, make([]byte, size-4))
	return err
}

func pgMessage(kind byte, parts ...string) []byte {
	body := strings.Join(parts, "")
	b := []byte{kind}
	b = binary.BigEndian.AppendUint32(b, uint32(4+len(body)))
	return append(b, body...)
}

func pgStartup() []byte {
	body := "user\x00client\x00database\x00core\x00\x00"
	b := binary.BigEndian.AppendUint32(nil, uint32(8+len(body)))
	b = binary.BigEndian.AppendUint32(b, 196608)
	return append(b, body...)
}

func pgQuery(text string) []byte { return pgMessage('Q', text, "\x00") }

func pgReady() []byte { return pgMessage('Z', "I") }

func pgParameter(name, value string) []byte { return pgMessage('S', name, "\x00", value, "\x00") }

func pgError(code, text string) []byte {
	return pgMessage('E', "SERROR\x00VERROR\x00C", code, "\x00M", text, "\x00\x00")
}

// pgRow is the answer of one row of one column.
func pgRow(value, tag string) []byte {
	b := pgMessage('T', "\x00\x01val\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01")
	size := binary.BigEndian.AppendUint32(nil, uint32(len(value)))
	b = append(b, pgMessage('D', "\x00\x01", string(size), value)...)
	return append(b, pgMessage('C', tag, "\x00")...)
}

// pgAnswer is what a client got for one query.
type pgAnswer struct {
	served bool
	value  string
	code   string // of an error
}

func (a pgAnswer) String() string {
	if a.served {
		return "served"
	}
	return "error " + a.code
}

// answer reads the answer to one query, up to ReadyForQuery. A fatal error needs none.
func (c *pgConn) answer() (a pgAnswer, err error) {
	for {
		kind, body, err := c.next()
		if err != nil {
			if a.code != "" {
				err = nil
			}
			return a, err
		}
		switch kind {
		case 'D':
			if len(body) < 6 {
				return a, errors.New("a short row")
			}
			a.value = string(body[6:])
		case 'C':
			a.served = true
		case 'E':
			for field := range strings.SplitSeq(string(body), "\x00") {
				if strings.HasPrefix(field, "C") {
					a.code = field[1:]
				}
			}
		case 'Z':
			return a, nil
		}
	}
}

// dialPG connects a client.
func dialPG(addr string) (*pgConn, error) {
	raw, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := newPGConn(raw)
	if err := copyAll(c, pgStartup()); err != nil {
		return nil, err
	}
	for {
		kind, _, err := c.next()
		if err != nil {
			c.Close()
			return nil, err
		}
		if kind == 'Z' {
			return c, nil
		}
	}
}

// pgIsReady tells whether a pooler answers an empty query.
func pgIsReady(addr string) error {
	c, err := dialPG(addr)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := copyAll(c, pgQuery("")); err != nil {
		return err
	}
	kind, _, err := c.next()
	if err == nil && kind != 'I' {
		err = errors.New("no EmptyQueryResponse")
	}
	return err
}
