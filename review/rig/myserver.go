package main

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// myServer is a stand-in server on MySQL's protocol, with prepared statements. Data sent ahead for a parameter is appended to
// what the statement holds already, and dropped by EXECUTE and RESET, as MySQL's manual says of COM_STMT_SEND_LONG_DATA.
type myServer struct {
	id         string
	addr       string
	primary    atomic.Bool
	lastThread atomic.Uint32
	mu         sync.Mutex
	stuckAt    time.Time
	login      func() time.Duration // how long a login takes
	parse      func() time.Duration // how long a PREPARE takes
	execute    func(text string, params []string, inBinary bool) []byte
	rec        *record
}

func startMyServer(id string, primary bool, rec *record) (*myServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &myServer{id: id, addr: l.Addr().String(), rec: rec, login: noTime, parse: noTime}
	s.primary.Store(primary)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(newMyConn(c))
		}
	}()
	return s, nil
}

func noTime() time.Duration { return 0 }

// heartbeat is the time up to which the server has applied every commit, a Unix time in milliseconds.
func (s *myServer) heartbeat() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary.Load() || s.stuckAt.IsZero() {
		return time.Now().UnixMilli()
	}
	return s.stuckAt.UnixMilli()
}

// myStatement is a prepared statement on one connection of a server.
type myStatement struct {
	text   string
	params int
	long   map[int]string
}

func (s *myServer) serve(c *myConn) {
	defer c.Close()
	if c.send(0, myGreeting(s.lastThread.Add(1))) != nil {
		return
	}
	if _, _, err := c.next(); err != nil {
		return
	}
	time.Sleep(s.login())
	if c.send(2, myOK()) != nil {
		return
	}
	statements, last := map[uint32]*myStatement{}, uint32(0)
	for {
		_, p, err := c.next()
		if err != nil || len(p) == 0 {
			return
		}
		var answer []byte
		switch p[0] {
		case comQuit:
			return
		case comInitDB, comPing:
			answer = myPacket(nil, 1, myOK())
		case comQuery:
			answer = s.query(string(p[1:]))
		case comStmtPrepare:
			time.Sleep(s.parse())
			last++
			statements[last] = &myStatement{text: string(p[1:]), params: strings.Count(string(p[1:]), "?"), long: map[int]string{}}
			answer = myPrepared(last, statements[last].params)
		default:
			answer = s.statementCommand(statements, p)
		}
		if copyAll(c, answer) != nil {
			return
		}
	}
}

func myPrepared(id uint32, params int) []byte {
	p := binary.LittleEndian.AppendUint32([]byte{0}, id)
	p = append(p, 0, 0, byte(params), byte(params>>8), 0, 0, 0)
	b := myPacket(nil, 1, p)
	for i := range params {
		b = myPacket(b, byte(2+i), myColumn("?"))
	}
	if params > 0 {
		b = myPacket(b, byte(2+params), myEOF())
	}
	return b
}

func (s *myServer) query(text string) []byte {
	switch {
	case strings.Contains(text, "read_only"):
		if s.primary.Load() {
			return myRow("0", false)
		}
		return myRow("1", false)
	case strings.Contains(text, "heartbeat"):
		return myRow(fmt.Sprint(s.heartbeat()), false)
	}
	return s.execute(text, nil, false)
}

// statementCommand executes a command on a prepared statement.
func (s *myServer) statementCommand(statements map[uint32]*myStatement, p []byte) []byte {
	if len(p) < 5 {
		return myPacket(nil, 1, myError(1047, "08S01", "Unknown command"))
	}
	id := binary.LittleEndian.Uint32(p[1:])
	statement := statements[id]
	switch p[0] {
	case comStmtClose:
		delete(statements, id)
		return nil
	case comStmtSendLong:
		if statement != nil && len(p) >= 7 {
			statement.long[int(binary.LittleEndian.Uint16(p[5:]))] += string(p[7:])
		}
		return nil
	}
	switch {
	case statement == nil:
		return myPacket(nil, 1, myError(1243, "HY000", "Unknown prepared statement handler"))
	case p[0] == comStmtReset:
		statement.long = map[int]string{}
		return myPacket(nil, 1, myOK())
	case p[0] == comStmtExecute:
		params, err := statement.values(p)
		statement.long = map[int]string{}
		if err != nil {
			return myPacket(nil, 1, myError(1210, "HY000", "Incorrect arguments to EXECUTE"))
		}
		return s.execute(statement.text, params, true)
	}
	return myPacket(nil, 1, myError(1047, "08S01", "Unknown command"))
}

// values reads the parameters of an EXECUTE, which are all texts.
func (t *myStatement) values(p []byte) ([]string, error) {
	values := make([]string, t.params)
	head := 10 + (t.params+7)/8 + 1 + 2*t.params
	if t.params == 0 || len(p) < head {
		return nil, nil
	}
	rest := p[head:]
	for i := range values {
		if long, ok := t.long[i]; ok {
			values[i] = long
			continue
		}
		text, behind, err := cutLenenc(rest)
		if err != nil {
			return nil, err
		}
		values[i], rest = text, behind
	}
	return values, nil
}
