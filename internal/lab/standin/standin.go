// Package standin holds small peers for tests: servers on either wire, a list service and clients, on loopback.
package standin

import (
	"crypto/rand"
	"crypto/rsa"
	"crypto/sha1"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"threadsail/internal/protocol/comment"
	"threadsail/internal/protocol/mysql"
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

// Ledger is what servers share: the requests under way at any of them.
type Ledger struct {
	mu      sync.Mutex
	out     map[string]chan struct{}
	overlap int
}

// NewLedger returns an empty one.
func NewLedger() *Ledger { return &Ledger{out: map[string]chan struct{}{}} }

// Overlaps counts the attempts that met an earlier one of the same request.
func (l *Ledger) Overlaps() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overlap
}

// begin notes an attempt down. An earlier one whose connection has been closed ends at once, though this machine may
// be slow to notice; one that stays is an overlap.
func (l *Ledger) begin(id string) (end func()) {
	for {
		l.mu.Lock()
		earlier := l.out[id]
		if earlier == nil {
			mine := make(chan struct{})
			l.out[id] = mine
			l.mu.Unlock()
			return func() {
				l.mu.Lock()
				delete(l.out, id)
				l.mu.Unlock()
				close(mine)
			}
		}
		l.mu.Unlock()
		select {
		case <-earlier:
		case <-time.After(time.Second):
			l.mu.Lock()
			l.overlap++
			l.mu.Unlock()
			return func() {}
		}
	}
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
	send(c, out)
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

func (s *Server) given() string {
	s.mu.Lock()
	defer s.mu.Unlock()
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

// buffered reads messages by a parser of the protocol.
type buffered struct {
	c net.Conn
	b []byte
}

func (r *buffered) next(parse func([]byte) (int, error)) error {
	for {
		n, err := parse(r.b)
		if err != nil {
			return err
		}
		if n > 0 {
			r.b = r.b[n:]
			return nil
		}
		chunk := make([]byte, 64<<10)
		n, err = r.c.Read(chunk)
		if err != nil {
			return err
		}
		r.b = append(r.b, chunk[:n]...)
	}
}

func (r *buffered) pg() (m pgwire.Message, err error) {
	err = r.next(func(b []byte) (n int, err error) {
		m, n, err = pgwire.Next(b, pgwire.MaxLong+1<<10)
		m.Body = append([]byte(nil), m.Body...)
		return n, err
	})
	return m, err
}

func (r *buffered) my() (payload []byte, seq byte, err error) {
	err = r.next(func(b []byte) (n int, err error) {
		seq, payload, n, err = mysql.Next(b, mysql.MaxAnswer)
		payload = append([]byte(nil), payload...)
		return n, err
	})
	return payload, seq, err
}

func (s *Server) servePostgres(c net.Conn) {
	_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10) // else the kernel takes long answers whole
	r := &buffered{c: c}
	code, key := uint32(0), pgwire.Key{}
	if r.next(func(b []byte) (n int, err error) {
		if code, n, err = pgwire.NextStartup(b); n > 8 {
			key, _ = pgwire.ReadKey(b[8:n])
		}
		return n, err
	}) != nil {
		return
	}
	if code == pgwire.CancelCode {
		s.mu.Lock()
		s.cancels = append(s.cancels, key)
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	key = pgwire.Key{Process: uint32(len(s.came)), Secret: 77}
	how := s.login
	s.mu.Unlock()
	if how == Scram && !proves(c, r) {
		return
	}
	send(c, pgwire.AppendWelcome(nil, key))
	for {
		m, err := r.pg()
		if err == nil && m.Type == 'P' {
			s.serveExtended(c, r, m)
			return
		}
		if err != nil || m.Type != 'Q' {
			return
		}
		text, _ := pgwire.Text(m.Body)
		primary, position := s.state()
		if text == "SHOW health" {
			s.mu.Lock()
			s.probes = append(s.probes, time.Now())
			s.mu.Unlock()
			x1 := map[bool]int{true: 1}[primary]
			send(c, pgwire.AppendReady(pgwire.AppendRow(nil, "health",
				fmt.Sprintf("x0=%.3f,x1=%d,waiting=0", float64(position)/1000, x1), "SHOW")))
			continue
		}
		end, act, readOnly, spoilt := s.take(text)
		var out []byte
		switch {
		case spoilt != nil:
			end()
			s.writing(c, true)
			send(c, spoilt)
			s.writing(c, false)
			continue
		case act == Break:
			end()
			return
		case act == Hang:
			_, _ = r.pg()
			end()
			return
		case act == Fault:
			out = pgwire.AppendError(nil, "ERROR", "XX000", "fault", "")
		case act == Full:
			out = pgwire.AppendError(nil, "ERROR", pgwire.CodeTooMany, "full", "")
		case act == Behind:
			out = pgwire.AppendError(nil, "ERROR", pgwire.CodeBehind, "too far behind", "")
		case readOnly:
			out = pgwire.AppendError(nil, "ERROR", pgwire.CodeReadOnly, "read-only", "")
		default:
			out = pgwire.AppendRow(nil, "val", s.given(), "SELECT 1")
		}
		out = pgwire.AppendParameter(out, "recovery", map[bool]string{true: "off", false: "on"}[primary])
		if position > 0 {
			out = pgwire.AppendParameter(out, "lsn_ms", fmt.Sprint(position))
		}
		end()
		s.answer(c, pgwire.AppendReady(out))
	}
}

// Login is how a MySQL stand-in has the pooler log in.
type Login uint8

// The ways: natively, as servers before 8 do; by the newer method, which knows the password already; or has to see it.
const (
	Native Login = iota
	Fast
	Full8
	Scram // on PostgreSQL's wire: by SCRAM-SHA-256
)

// Demand sets how the pooler must log in. The key of Full8 is made here, not within the first login: on a busy machine that takes
// longer than a pooler waits for a connection, and all servers would count as down.
func (s *Server) Demand(how Login) {
	if how == Full8 {
		serverKey()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.login = how
}

var serverKey = sync.OnceValue(func() *rsa.PrivateKey {
	key, err := rsa.GenerateKey(rand.Reader, 2048)
	if err != nil {
		panic(err)
	}
	return key
})

// logInAnew has the pooler log in by the method of servers since 8.
func logInAnew(c net.Conn, r *buffered, full bool) bool {
	challenge := []byte("ABCDEFGHIJKLMNOPQRST")
	send(c, mysql.AppendGreeting(nil, 1, []byte("abcdefghijklmnopqrst")))
	p, seq, err := r.my()
	if l, bad := mysql.ParseLogin(p); err != nil || bad != nil || l.User != BackendUser {
		return false
	}
	send(c, mysql.Append(nil, seq+1, mysql.SwitchToCaching(challenge)))
	response, seq, err := r.my()
	fine := err == nil && mysql.CachingFits(challenge, response, BackendPassword)
	if fine && full {
		send(c, mysql.Append(nil, seq+1, mysql.FullWanted()))
		wish, at, err := r.my()
		der, bad := x509.MarshalPKIXPublicKey(&serverKey().PublicKey)
		if err != nil || bad != nil || len(wish) != 1 || wish[0] != 2 {
			return false
		}
		key := pem.EncodeToMemory(&pem.Block{Type: "PUBLIC KEY", Bytes: der})
		send(c, mysql.Append(nil, at+1, append([]byte{1}, key...)))
		secret, at, err := r.my()
		password, bad := rsa.DecryptOAEP(sha1.New(), nil, serverKey(), secret, nil)
		fine, seq = err == nil && bad == nil && string(mysql.Masked(password, challenge)) == BackendPassword+"\x00", at
	} else if fine {
		send(c, mysql.Append(nil, seq+1, mysql.FastFine()))
		seq++
	}
	if !fine {
		send(c, mysql.Append(nil, seq+1, mysql.Error(mysql.ErrAccessDenied, "28000", "Access denied")))
		return false
	}
	send(c, mysql.Append(nil, seq+1, mysql.OK()))
	return true
}

// logIn checks the backend's password, by the challenge of the greeting and again by one of its own.
func logIn(c net.Conn, r *buffered, how Login) bool {
	if how != Native {
		return logInAnew(c, r, how == Full8)
	}
	first, second := []byte("abcdefghijklmnopqrst"), []byte("tsrqponmlkjihgfedcba")
	send(c, mysql.AppendGreeting(nil, 1, first))
	p, seq, err := r.my()
	l, bad := mysql.ParseLogin(p)
	if err != nil || bad != nil {
		return false
	}
	send(c, mysql.Append(nil, seq+1, mysql.SwitchToNative(second)))
	response, seq, err := r.my()
	if err != nil || l.User != BackendUser || !mysql.PasswordFits(first, l.Response, BackendPassword) ||
		!mysql.PasswordFits(second, response, BackendPassword) {
		send(c, mysql.Append(nil, seq+1, mysql.Error(mysql.ErrAccessDenied, "28000", "Access denied")))
		return false
	}
	send(c, mysql.Append(nil, seq+1, mysql.OK()))
	return true
}

func (s *Server) serveMySQL(c net.Conn) {
	r := &buffered{c: c}
	s.mu.Lock()
	how := s.login
	s.mu.Unlock()
	if !logIn(c, r, how) {
		return
	}
	prepared := map[uint32]string{}
	longData := map[uint32]string{} // received for the next EXECUTE of each statement
	for {
		p, _, err := r.my()
		if err != nil || len(p) == 0 {
			return
		}
		text, ahead := string(p[1:]), ""
		switch p[0] {
		case mysql.ComInitDB:
			send(c, mysql.Append(nil, 1, mysql.OK()))
			continue
		case mysql.ComStmtPrepare:
			id := uint32(len(prepared) + 1)
			prepared[id] = text
			params := mysql.ScanStatement(text).Params
			out := mysql.Append(nil, 1, mysql.PrepareOK{ID: id, Params: params}.Payload())
			for i := range params {
				out = mysql.Append(out, byte(2+i), mysql.ColumnDef("?"))
			}
			if params > 0 {
				out = mysql.Append(out, byte(2+params), mysql.EOF())
			}
			send(c, out)
			continue
		case mysql.ComStmtSendLong:
			if id, data, err := mysql.ParseLongData(p); err == nil {
				longData[id] += string(data.Data)
			}
			continue
		case mysql.ComStmtClose:
			continue
		case mysql.ComStmtExecute:
			id, _ := mysql.StatementID(p)
			text, ahead = prepared[id], longData[id]
			delete(longData, id)
		}
		primary, position := s.state()
		switch text {
		case "SELECT @@global.read_only":
			send(c, myRow("@@global.read_only", map[bool]string{true: "0", false: "1"}[primary], false))
			continue
		case Heartbeat:
			value := fmt.Sprint(position)
			if position == 0 {
				value = "NULL"
			}
			send(c, myRow("ts", value, false))
			continue
		}
		end, act, readOnly, spoilt := s.takeExecute(text, ahead)
		var out []byte
		switch {
		case spoilt != nil:
			end()
			send(c, spoilt)
			continue
		case act == Break:
			end()
			return
		case act == Hang:
			_, _, _ = r.my()
			end()
			return
		case act == Fault:
			out = mysql.Append(nil, 1, mysql.Error(mysql.ErrUnknown, "HY000", "fault"))
		case act == Full:
			out = mysql.Append(nil, 1, mysql.Error(mysql.ErrConCount, "08004", "full"))
		case act == Wrong:
			out = mysql.Append(nil, 1, mysql.Error(1062, "23000", "Duplicate entry"))
		case act == Check:
			out = mysql.Append(nil, 1, mysql.Error(3819, "HY000", "Check constraint is violated"))
		case readOnly:
			out = mysql.Append(nil, 1, mysql.Error(mysql.ErrOptionPrevents, "HY000", "--read-only"))
		case strings.HasPrefix(text, "SHOW REPLICA STATUS"):
			out = myRow("Seconds_Behind_Source", "0", false)
		case strings.HasPrefix(text, "SHOW"):
			out = mysql.Append(nil, 1, mysql.Error(1064, "42000", "You have an error in your SQL syntax"))
		case strings.HasPrefix(text, "SELECT"):
			out = myRow("val", s.given(), p[0] == mysql.ComStmtExecute)
		default:
			out = mysql.Append(nil, 1, mysql.Done(1, 0, 0))
		}
		end()
		s.answer(c, out)
	}
}

// myRow is a result of one row of one column. Both forms of a row hold a text the same way.
func myRow(column, value string, binary bool) []byte {
	row := append([]byte{byte(len(value))}, value...)
	if binary {
		row = append([]byte{0, 0}, row...)
	}
	out := mysql.Append(nil, 1, []byte{1})
	out = mysql.Append(out, 2, mysql.ColumnDef(column))
	out = mysql.Append(out, 3, mysql.EOF())
	out = mysql.Append(out, 4, row)
	return mysql.Append(out, 5, mysql.EOF())
}
