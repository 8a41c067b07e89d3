package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func pgMessage(kind byte, body []byte) []byte {
	b := binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(body)+4))
	return append(b, body...)
}

func pgParameter(name, value string) []byte { return pgMessage('S', []byte(name+"\x00"+value+"\x00")) }

func pgReady() []byte { return pgMessage('Z', []byte{'I'}) }

func pgError(code, text string) []byte {
	return pgMessage('E', []byte("SERROR\x00VERROR\x00C"+code+"\x00M"+text+"\x00\x00"))
}

func pgRow(column, value, tag string) []byte {
	description := append([]byte{0, 1}, column+"\x00"...)
	description = append(description, make([]byte, 6)...)
	description = append(description, 0, 0, 0, 25, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)
	row := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	out := pgMessage('T', description)
	out = append(out, pgMessage('D', append(row, value...))...)
	return append(out, pgMessage('C', []byte(tag+"\x00"))...)
}

func readPG(r io.Reader) (kind byte, body []byte, err error) {
	var head [5]byte
	if _, err = io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	body = make([]byte, binary.BigEndian.Uint32(head[1:])-4)
	_, err = io.ReadFull(r, body)
	return head[0], body, err
}

// PGServer is a stand-in for a server on PostgreSQL's wire.
type PGServer struct {
	Name, Addr string
	Cell       int
	mu         sync.Mutex
	primary    bool
	position   func() int64
	handle     func(s *PGServer, text string) []byte // the answer, without parameters and ReadyForQuery
	hang       chan struct{}
}

// NewPGServer starts a server.
func NewPGServer(name string, primary bool, handle func(s *PGServer, text string) []byte) *PGServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannot("%v", err)
	}
	s := &PGServer{Name: name, Addr: l.Addr().String(), primary: primary, position: now, handle: handle}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

// Hang makes the server stand still for a while.
func (s *PGServer) Hang(d time.Duration) {
	hang := make(chan struct{})
	s.mu.Lock()
	s.hang = hang
	s.mu.Unlock()
	record("%s hangs for %v", s.Name, d)
	time.AfterFunc(d, func() {
		s.mu.Lock()
		s.hang = nil
		s.mu.Unlock()
		record("%s goes on", s.Name)
		close(hang)
	})
}

func (s *PGServer) pause() {
	s.mu.Lock()
	hang := s.hang
	s.mu.Unlock()
	if hang != nil {
		<-hang
	}
}

// Member is its entry in discovery's list.
func (s *PGServer) Member(phase string) Member {
	return Member{ID: s.Name, HostPort: s.Addr, Locality: "a", Flavor: "std3", Cell: s.Cell, Phase: phase, Size: 1}
}

func (s *PGServer) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var size [4]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return
	}
	if _, err := r.Discard(int(binary.BigEndian.Uint32(size[:])) - 4); err != nil {
		return
	}
	s.pause()
	welcome := pgMessage('R', []byte{0, 0, 0, 0})
	_, _ = c.Write(append(welcome, pgReady()...))
	for {
		kind, body, err := readPG(r)
		if err != nil || kind != 'Q' {
			return
		}
		s.pause()
		text := strings.TrimRight(string(body), "\x00")
		s.mu.Lock()
		primary := s.primary
		s.mu.Unlock()
		recovery, x1 := "on", 0
		if primary {
			recovery, x1 = "off", 1
		}
		var out []byte
		switch {
		case text == "SHOW health":
			out = pgRow("health", fmt.Sprintf("x0=%.3f,x1=%d,waiting=0", float64(s.position())/1000, x1), "SHOW")
		case text == "SELECT 1":
			out = pgRow("?column?", "1", "SELECT 1")
		case !primary && strings.HasPrefix(text, "INSERT"):
			out = pgError("25006", "cannot execute INSERT in a read-only transaction")
		default:
			out = s.handle(s, text)
		}
		out = append(out, pgParameter("recovery", recovery)...)
		out = append(out, pgParameter("lsn_ms", fmt.Sprint(s.position()))...)
		if _, err := c.Write(append(out, pgReady()...)); err != nil {
			return
		}
	}
}

// PGClient is a client's connection.
type PGClient struct {
	conn net.Conn
	r    *bufio.Reader
	Key  []byte // process and secret, for a cancel
}

// DialPG connects and starts a session.
func DialPG(addr string) (*PGClient, error) {
	c, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	p := &PGClient{conn: c, r: bufio.NewReader(c)}
	body := append([]byte{0, 3, 0, 0}, "user\x00client\x00database\x00core\x00\x00"...)
	_, _ = c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...))
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	for {
		kind, body, err := readPG(p.r)
		if err != nil {
			c.Close()
			return nil, err
		}
		switch kind {
		case 'K':
			p.Key = body
		case 'Z':
			return p, nil
		}
	}
}

// Answer is an answer to a PostgreSQL client.
type Answer struct {
	Code  string // SQLSTATE of an error; empty: served
	Value string
}

func (a Answer) String() string {
	if a.Code != "" {
		return "error " + a.Code
	}
	return fmt.Sprintf("%.60q", a.Value)
}

// Refused reports whether the answer is a refusal.
func (a Answer) Refused() bool { return a.Code == "53300" || a.Code == "57P03" }

// Send sends queries at once.
func (p *PGClient) Send(texts ...string) error {
	var out []byte
	for _, t := range texts {
		out = append(out, pgMessage('Q', []byte(t+"\x00"))...)
	}
	_, err := p.conn.Write(out)
	return err
}

// Read reads one answer up to ReadyForQuery.
func (p *PGClient) Read(timeout time.Duration) (a Answer, err error) {
	_ = p.conn.SetReadDeadline(time.Now().Add(timeout))
	for {
		kind, body, err := readPG(p.r)
		if err != nil {
			return a, err
		}
		switch kind {
		case 'D':
			a.Value = string(body[6:])
		case 'E':
			for _, field := range strings.Split(string(body), "\x00") {
				if strings.HasPrefix(field, "C") {
					a.Code = field[1:]
				}
			}
		case 'Z':
			return a, nil
		}
	}
}

// Query sends a query and reads its answer.
func (p *PGClient) Query(text string, timeout time.Duration) (Answer, error) {
	if err := p.Send(text); err != nil {
		return Answer{}, err
	}
	return p.Read(timeout)
}
