package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// valueBytes is the size of the largest value that is not long.
const valueBytes = 64 << 10

// pgServer is a stand-in server on PostgreSQL's protocol: cores that serve one request at a time each, a waiting room, a role and a
// position.
type pgServer struct {
	id      string
	addr    string
	cores   chan struct{}
	mu      sync.Mutex
	primary bool
	stuckAt time.Time // position of a replica that applies nothing; zero: it is current
	welcome time.Duration
	work    func(text string) time.Duration
	run     func(text string) string // executes a statement and returns its value
	pieces  int                      // in which it writes a long answer; 0: at once
	pause   time.Duration            // behind each piece
	rec     *record
	open    map[*pgConn]bool
	cutEnds time.Time // until then nothing comes from the server, and nothing reaches it
}

func startPGServer(id string, primary bool, cores int, rec *record) (*pgServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &pgServer{id: id, addr: l.Addr().String(), cores: make(chan struct{}, cores), primary: primary, rec: rec,
		work: func(string) time.Duration { return 0 }, run: func(string) string { return "v" }}
	go s.acceptFrom(l)
	return s, nil
}

// acceptFrom serves the connections of a listener, until that is closed.
func (s *pgServer) acceptFrom(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(newPGConn(c))
	}
}

func (s *pgServer) member() member {
	recovery := "on"
	if s.isPrimary() {
		recovery = "off"
	}
	return member{ID: s.id, HostPort: s.addr, Locality: "pest-east", Flavor: "std3", Phase: "Ready", Size: 1, Recovery: recovery}
}

func (s *pgServer) isPrimary() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.primary
}

// position is the time up to which the server has applied every commit.
func (s *pgServer) position() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.primary || s.stuckAt.IsZero() {
		return time.Now()
	}
	return s.stuckAt
}

// status is what comes with each answer.
func (s *pgServer) status() []byte {
	recovery := "on"
	if s.isPrimary() {
		recovery = "off"
	}
	return append(pgParameter("recovery", recovery), pgParameter("lsn_ms", fmt.Sprint(s.position().UnixMilli()))...)
}

func (s *pgServer) health() string {
	role := 0
	if s.isPrimary() {
		role = 1
	}
	return fmt.Sprintf("x0=%.3f,x1=%d,waiting=0", float64(s.position().UnixMilli())/1000, role)
}

// cut cuts the server off for some time. What is open meanwhile stays open and silent, and is reset at the end.
func (s *pgServer) cut(length time.Duration) {
	s.mu.Lock()
	s.cutEnds = time.Now().Add(length)
	s.mu.Unlock()
	time.Sleep(length)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (s *pgServer) isCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.cutEnds)
}

// keep notes a connection as open until done is called.
func (s *pgServer) keep(c *pgConn) (done func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*pgConn]bool{}
	}
	s.open[c] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.open, c)
		c.Close()
	}
}

func (s *pgServer) serve(c *pgConn) {
	defer s.keep(c)()
	if c.startup() != nil {
		return
	}
	s.mu.Lock()
	welcome := max(s.welcome, time.Until(s.cutEnds))
	s.mu.Unlock()
	time.Sleep(welcome)
	hello := append(pgMessage('R', "\x00\x00\x00\x00"), pgMessage('K', "\x00\x00\x00\x01\x00\x00\x00\x02")...)
	if copyAll(c, append(hello, pgReady()...)) != nil {
		return
	}
	for {
		kind, body, err := c.next()
		if err != nil || kind == 'X' {
			return
		}
		if kind != 'Q' {
			return
		}
		var answer []byte
		if !s.isCut() {
			answer = s.answer(strings.TrimRight(string(body), "\x00"))
		}
		if s.isCut() { // it is reset in the end
			_, _ = io.Copy(io.Discard, c)
			return
		}
		if s.write(c, answer) != nil {
			return
		}
	}
}

// answer executes one query.
func (s *pgServer) answer(text string) []byte {
	switch {
	case text == "SELECT 1":
		return append(pgRow("1", "SELECT 1"), pgReady()...)
	case text == "SHOW health":
		return append(pgRow(s.health(), "SHOW"), pgReady()...)
	case strings.TrimSpace(text) == "":
		return append(pgMessage('I'), pgReady()...)
	}
	write := strings.HasPrefix(text, "INSERT")
	if write && !s.isPrimary() {
		return append(append(pgError("25006", "this is a replica"), s.status()...), pgReady()...)
	}
	s.cores <- struct{}{}
	time.Sleep(s.work(text))
	value, tag := s.run(text), "SELECT 1"
	s.rec.line("%s: run %s, a value of %d bytes", s.id, requestID(text), len(value))
	<-s.cores
	if write {
		tag = "INSERT 0 1"
	}
	return append(append(pgRow(value, tag), s.status()...), pgReady()...)
}

// write sends an answer, a long one in pieces if the server is slow.
func (s *pgServer) write(c *pgConn, answer []byte) error {
	const long = 256 << 10
	if s.pieces == 0 || len(answer) < long {
		return copyAll(c, answer)
	}
	for i := range s.pieces {
		if err := copyAll(c, answer[i*len(answer)/s.pieces:(i+1)*len(answer)/s.pieces]); err != nil {
			s.rec.line("%s: the pooler has ended the connection within a long answer, behind piece %d of %d: %v", s.id, i, s.pieces, err)
			return err
		}
		time.Sleep(s.pause)
	}
	s.rec.line("%s: a long answer is written whole", s.id)
	return nil
}

// requestID is the id in a statement's comment.
func requestID(text string) string {
	_, rest, _ := strings.Cut(text, "/* id=")
	id, _, _ := strings.Cut(rest, ",")
	return id
}

// startPostgres starts servers on PostgreSQL's protocol, the first of them the primary, a list service and a pooler, and waits until
// that is ready.
func (p *play) startPostgres(memoryMB, sockets, servers int, set func(*pgServer)) (listen string, pl *pooler, err error) {
	var members []member
	for i := range servers {
		s, err := startPGServer(fmt.Sprintf("db%d", i+1), i == 0, 3, p.rec)
		if err != nil {
			return "", nil, err
		}
		set(s)
		members = append(members, s.member())
	}
	d, err := startDiscovery(members)
	if err != nil {
		return "", nil, err
	}
	if listen, err = freeAddr(); err != nil {
		return "", nil, err
	}
	config := poolerConfig(listen, d.addr, memoryMB, sockets, settings(), members)
	if pl, err = startPooler(p.root, p.dir, map[string]any{"PROXY_CONFIG": config}); err != nil {
		return "", nil, err
	}
	if err := waitUntil(10*time.Second, func() error { return pgIsReady(listen) }); err != nil {
		pl.stop()
		return "", nil, err
	}
	time.Sleep(time.Second) // the pooler finds the primary
	return listen, pl, nil
}
