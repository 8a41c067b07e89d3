package standin

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"

	"threadsail/internal/protocol/mysql"
)

// OldClient is a client as libraries of MySQL 5.0 were: protocol 4.1, native passwords by no name, EOF packets, text of 8 bits.
// It gives the packets of each answer as they came.
type OldClient struct {
	net.Conn
	r      *buffered
	Thread uint32 // its number, as the greeting told it
}

// Latin2 is the number of the collation in which an OldClient writes unless told otherwise.
const Latin2 = 9

// DialOld connects and logs in.
func DialOld(addr, user, password string, collation byte) (*OldClient, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	o := &OldClient{Conn: c, r: &buffered{c: c}}
	greeting, seq, err := o.r.my()
	if err != nil {
		return nil, err
	}
	g, err := mysql.ParseGreeting(greeting)
	if err != nil {
		return nil, err
	}
	o.Thread = g.Thread
	const longPassword, connectDB, protocol41, secureConnection = 1, 8, 512, 32768
	p := binary.LittleEndian.AppendUint32(nil, longPassword|connectDB|protocol41|secureConnection)
	p = binary.LittleEndian.AppendUint32(p, 1<<24)
	p = append(append(p, collation), make([]byte, 23)...)
	p = append(append(p, user...), 0)
	response := mysql.Scramble(g.Challenge, password)
	p = append(append(p, byte(len(response))), response...)
	p = append(p, "core\x00"...)
	if _, err := c.Write(mysql.Append(nil, seq+1, p)); err != nil {
		return nil, err
	}
	answer, _, err := o.r.my()
	if err != nil {
		return nil, err
	}
	if len(answer) == 0 || answer[0] != 0 {
		_, _, text, _ := mysql.ParseError(answer)
		return nil, fmt.Errorf("the login is answered with %x %s", answer, text)
	}
	return o, nil
}

// Do sends a command and reads its answer. Some commands have none.
func (o *OldClient) Do(command []byte) ([][]byte, error) {
	if err := o.Send(command); err != nil {
		return nil, err
	}
	return o.Receive(command[0])
}

// Send writes a command, Receive reads one answer.
func (o *OldClient) Send(command []byte) error {
	_, err := o.Write(mysql.Append(nil, 0, command))
	return err
}

// Receive reads the answer to a command.
func (o *OldClient) Receive(command byte) ([][]byte, error) {
	return ReadAnswer(command, func() (p []byte, err error) { p, _, err = o.r.my(); return p, err })
}

// ReadAnswer reads the packets of the answer to a command.
func ReadAnswer(command byte, next func() ([]byte, error)) (out [][]byte, err error) {
	read := func() []byte {
		p, e := next()
		if e == nil && len(p) == 0 {
			e = errors.New("an empty packet")
		}
		if e != nil {
			err = e
			return nil
		}
		out = append(out, p)
		return p
	}
	until := func() { // and with an EOF
		p := read()
		for p != nil && !mysql.IsEOF(p) && p[0] != 0xff {
			p = read()
		}
	}
	switch command {
	case mysql.ComQuit, mysql.ComStmtClose, mysql.ComStmtSendLong:
		return nil, nil
	}
	first := read()
	switch {
	case first == nil || first[0] == 0xff:
	case command == mysql.ComStmtPrepare:
		ok, e := mysql.ParsePrepareOK(first)
		if err = e; err == nil && ok.Params > 0 {
			until()
		}
		if err == nil && ok.Columns > 0 {
			until()
		}
	case first[0] == 0 || mysql.IsEOF(first):
	case command == mysql.ComFieldList:
		until()
	default:
		if until(); err == nil {
			until()
		}
	}
	return out, err
}
