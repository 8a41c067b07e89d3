// Package standin holds small peers for tests: servers on either wire, a list service and clients, on loopback.
package standin

import (
	"errors"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"threadsail/internal/protocol/comment"
	"threadsail/internal/protocol/pgwire"
)

// What MySQL stand-ins ask of the pooler, and the pooler of its MySQL clients.
const (
	BackendUser     = "backend"
	BackendPassword = "secret"
	ClientUser      = "client"
	ClientPassword  = "other secret"
)

// Heartbeat is the query by which MySQL stand-ins tell their position.
const Heartbeat = "SELECT ts FROM heartbeat"

// Act is what a server does with a statement instead of answering it.
type Act uint8

// The acts.
const (
	Answer Act = iota
	Hang       // say nothing until the client goes away
	Break      // close the connection once the statement is in
	Fault      // an error; it may have run
	Full       // turned away
	Wrong      // the statement breaks a key
	Check      // or a check that only newer MySQL servers have
	Behind     // turned away untouched: too far behind
)

// Seen is a statement that has reached a server whole.
type Seen struct {
	ID       string // of its comment
	Text     string
	LongData string // parameter values sent ahead of a prepared statement's EXECUTE, joined
	At       time.Time
}

// Server is a database server on one of the wires.
type Server struct {
	Name, Addr string
	Cell       int       // its group; set before it is listed
	Started    time.Time // as lists tell; zero: long ago
	mysql      bool
	ln         net.Listener

	mu      sync.Mutex
	primary bool
	behind  time.Duration // of its position; below 0: it tells none
	act     func(Seen) Act
	spoil   func(Seen) []byte
	table   Table
	login   Login
	cancels []pgwire.Key
	value   string
	stamp   bool
	echo    bool // reads get the ID of their statement
	pace    Pace
	seen    []Seen
	ledger  *Ledger
	conns   map[net.Conn]bool
	came    []time.Time   // of each connection, ever
	broken  error         // of the stand-in itself
	probes  []time.Time   // of each time that health was asked for
	changed chan struct{} // closed at the next statement
	meetAt  int
	meet    func(*net.TCPConn)
	unsent  map[net.Conn]bool
	lag     Lag
	stops   int // reads that stop its log now
	turned  int
	// Since a read first stopped its log: how far that was, and when it went on.
	stoppedAt, goesOn time.Time
}

// NewServer starts a server at a free port of loopback.
func NewServer(name string, speaksMySQL, primary bool, ledger *Ledger) (*Server, error) {
	s := &Server{Name: name, mysql: speaksMySQL, primary: primary, ledger: ledger, conns: map[net.Conn]bool{}, unsent: map[net.Conn]bool{},
		changed: make(chan struct{})}
	return s, s.Up()
}

// SpeaksMySQL tells its wire.
func (s *Server) SpeaksMySQL() bool { return s.mysql }

// Up listens, again where it did before.
func (s *Server) Up() error {
	addr := s.Addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.ln, s.Addr = ln, ln.Addr().String()
	s.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				if !errors.Is(err, net.ErrClosed) {
					s.mu.Lock()
					s.broken = err // want of descriptors, say: whoever judges must not take it for the pooler's doing
					s.mu.Unlock()
				}
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.came = append(s.came, time.Now())
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return nil
}

// Down refuses connections and breaks those there are.
func (s *Server) Down() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ln.Close()
	for c := range s.conns {
		c.Close()
	}
}

// Set changes its role, and how far behind its position is (below 0: untold).
func (s *Server) Set(primary bool, behind time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.primary, s.behind = primary, behind
}

// Do sets what it does with statements; nil: it answers them. act may be called from several connections at once.
func (s *Server) Do(act func(Seen) Act) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.act = act
}

// Spoil sets what it sends in place of an answer; nil bytes: the answer. The connection stays open.
func (s *Server) Spoil(spoil func(Seen) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spoil = spoil
}

// Meet sets what happens at a byte of each answer to a statement: once so many have gone out, do may hold, cut or reset the
// connection, or write on it; the rest follows when it returns. Below 0 it counts from the answer's end; a nil do ends it.
func (s *Server) Meet(at int, do func(c *net.TCPConn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.meetAt, s.meet = at, do
}

// send writes to a client. Where that fails the connection is over, which the next read of it shows.
func send(c net.Conn, b []byte) { _, _ = c.Write(b) }

func (s *Server) answer(c net.Conn, out []byte) {
	s.mu.Lock()
	at, meet := s.meetAt, s.meet
	s.mu.Unlock()
	if meet != nil {
		if at < 0 {
			at += len(out)
		}
		at = min(at, len(out))
		send(c, out[:at])
		meet(c.(*net.TCPConn))
		out = out[at:]
	}
	_ = s.currentPace().Write(c, out)
}

// Seen is what has reached it so far.
func (s *Server) Seen() []Seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Seen(nil), s.seen...)
}

func (s *Server) writing(c net.Conn, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unsent[c] = on; !on {
		delete(s.unsent, c)
	}
}

// Unsent counts the answers that it is still writing.
func (s *Server) Unsent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unsent)
}

// Cancels lists the cancel requests that have come, by their keys.
func (s *Server) Cancels() []pgwire.Key {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]pgwire.Key(nil), s.cancels...)
}

// Give sets the value that reads get, instead of the server's name.
func (s *Server) Give(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = value
}

// Stamp has reads get the time at which the answer was made, in Unix ns, from now on.
func (s *Server) Stamp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stamp = true
}

// Echo has reads get the ID of their own statement from now on, so that a client can tell whose answer it got.
func (s *Server) Echo() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.echo = true
}

// given returns the value that a read with this text gets.
func (s *Server) given(text string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.echo {
		parsed, _ := comment.Parse(text)
		return parsed.ID
	}
	if s.stamp {
		return strconv.FormatInt(time.Now().UnixNano(), 10)
	}
	if s.value != "" {
		return s.value
	}
	return "from " + s.Name
}

// Probes counts how often it has been asked for its health.
func (s *Server) Probes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.probes)
}

// ProbedAt is when each of those came, in order.
func (s *Server) ProbedAt() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.probes)
}

// Came counts the connections that it has ever had.
func (s *Server) Came() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.came)
}

// CameAt is when each of those came, in order.
func (s *Server) CameAt() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.came)
}

// Broken tells that the stand-in could not take connections any more, through no fault put on it.
func (s *Server) Broken() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.broken
}

// Open counts the connections that are open now.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Primary tells its role.
func (s *Server) Primary() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.primary
}

// Wait waits until it has seen n statements, for a generous while.
func (s *Server) Wait(n int) bool {
	late := time.After(20 * time.Second)
	for {
		s.mu.Lock()
		have, changed := len(s.seen), s.changed
		s.mu.Unlock()
		if have >= n {
			return true
		}
		select {
		case <-changed:
		case <-late:
			return false
		}
	}
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	if s.mysql {
		s.serveMySQL(c)
	} else {
		s.servePostgres(c)
	}
}

// take notes a statement down. A replica turns writes away untouched: readOnly.
func (s *Server) take(text string) (end func(), act Act, readOnly bool, spoilt []byte) {
	return s.takeExecute(text, "")
}

// takeExecute is take for an EXECUTE behind long data.
func (s *Server) takeExecute(text, longData string) (end func(), act Act, readOnly bool, spoilt []byte) {
	cm, _ := comment.Parse(text)
	end = s.ledger.begin(cm.ID)
	s.mu.Lock()
	readOnly = !s.primary && !strings.HasPrefix(text, "SELECT")
	one := Seen{ID: cm.ID, Text: text, LongData: longData, At: time.Now()}
	s.seen = append(s.seen, one)
	close(s.changed)
	s.changed = make(chan struct{})
	do, spoil := s.act, s.spoil
	s.mu.Unlock()
	read, tooOld := s.reads(text)
	defer read()
	if tooOld {
		return end, Behind, readOnly, nil
	}
	if do != nil {
		act = do(one) // it may wait
	}
	if spoil != nil {
		spoilt = spoil(one)
	}
	return end, act, readOnly, spoilt
}

// state is its role and position as a Unix time in milliseconds; 0: it tells none.
func (s *Server) state() (primary bool, position int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behind < 0 {
		return s.primary, 0
	}
	return s.primary, s.applied(time.Now()).UnixMilli()
}
