package standin

import (
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-sql-driver/mysql"

	"threadsail/internal/protocol/pgwire"
)

// Result is a client's one final answer.
type Result struct {
	Value   string
	Refused bool
	After   time.Duration // of a refusal
	Failed  bool
	Code    string // of any error
	Err     error  // no answer at all
}

// Served tells that it is a server's own answer.
func (r Result) Served() bool { return !r.Refused && !r.Failed && r.Code == "" && r.Err == nil }

// Client is one connection to a front.
type Client interface {
	Do(statement string) Result
	Close() error
}

// Leave closes a client's connection, in order or by a reset, and waits until the kernel of its peer, which is this machine's, has
// that: whatever the peer's process has read by then.
func Leave(c net.Conn, reset bool) error {
	port := func(a net.Addr) string { return fmt.Sprintf(":%04X", a.(*net.TCPAddr).Port) }
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	c.Close()
	for late := time.Now().Add(20 * time.Second); time.Now().Before(late); {
		table, err := os.ReadFile("/proc/net/tcp")
		if err != nil {
			return err
		}
		open := false
		for line := range strings.Lines(string(table)) {
			f := strings.Fields(line)
			open = open || strings.HasSuffix(f[1], port(c.RemoteAddr())) && strings.HasSuffix(f[2], port(c.LocalAddr())) && f[3] == "01"
		}
		if !open {
			return nil
		}
	}
	return errors.New("the peer's kernel has no close")
}

var lastID atomic.Int64

// Read is a read of the class, Write a write; key may be empty.
func Read(class string, patience time.Duration) string {
	return fmt.Sprintf("SELECT val FROM state WHERE uid = 'u1' /* id=%08x,c=%s,d=%d,cluster=0 */", lastID.Add(1), class,
		patience.Milliseconds())
}

// Write is a write with a key, or without one.
func Write(key string, patience time.Duration) string {
	if key != "" {
		key = ",k=" + key
	}
	return fmt.Sprintf("INSERT INTO state (uid, val) VALUES ('u1', 'x') RETURNING val /* id=%08x,c=write,d=%d%s,cluster=0 */",
		lastID.Add(1), patience.Milliseconds(), key)
}

// At is a statement of Read or Write for another group than the first.
func At(cluster int, text string) string {
	return strings.Replace(text, "cluster=0", "cluster="+strconv.Itoa(cluster), 1)
}

// Dial connects to a front of a wire, "postgres" or "mysql".
func Dial(wire, addr string) (Client, error) {
	if wire == "mysql" {
		return DialMySQL(addr)
	}
	return DialPostgres(addr)
}

// Postgres is a client on PostgreSQL's protocol.
type Postgres struct {
	net.Conn
	r   *buffered
	Key pgwire.Key // by which it cancels
}

// Cancel asks the front, on a connection of its own, to cancel what this one is about; it waits until the front is done.
func (p *Postgres) Cancel() error {
	c, err := net.Dial("tcp", p.RemoteAddr().String())
	if err != nil {
		return err
	}
	defer c.Close()
	if _, err := c.Write(pgwire.AppendCancel(nil, p.Key)); err != nil {
		return err
	}
	_, _ = c.Read(make([]byte, 1)) // the front closes it
	return nil
}

// DialPostgres connects; the startup message goes out with the first statement.
func DialPostgres(addr string) (*Postgres, error) { return DialPostgresWithin(addr, 0) }

// DialPostgresWithin connects and logs in within a time; 0: however long it takes. The error is the connection's.
func DialPostgresWithin(addr string, within time.Duration) (*Postgres, error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	if within > 0 {
		_ = c.SetDeadline(time.Now().Add(within))
		defer func() { _ = c.SetDeadline(time.Time{}) }()
	}
	_, err = c.Write(pgwire.AppendStartup(nil, "client", "core"))
	p := &Postgres{Conn: c, r: &buffered{c: c}}
	for err == nil {
		m, e := p.r.pg()
		if err = e; e == nil && m.Type == 'K' {
			p.Key, _ = pgwire.ReadKey(m.Body)
		} else if e == nil && m.Type == 'Z' {
			return p, nil
		}
	}
	return nil, err
}

// Send writes a query, Receive reads one answer.
func (p *Postgres) Send(statement string) error {
	_, err := p.Write(pgwire.AppendQuery(nil, statement))
	return err
}

// Receive reads one answer.
func (p *Postgres) Receive() (r Result) {
	for {
		m, err := p.r.pg()
		if err != nil {
			if r.Code == "" {
				r.Err = err
			}
			return r
		}
		switch m.Type {
		case 'D':
			v, _ := pgwire.Column(m.Body)
			r.Value = string(v)
		case 'E':
			r.Code = pgwire.ErrorCode(m.Body)
			r.Refused = r.Code == pgwire.CodeTooMany || r.Code == pgwire.CodeCannotNow
			r.Failed = !r.Refused
			if ms, err := strconv.Atoi(pgwire.ErrorField(m.Body, 'D')); err == nil {
				r.After = time.Duration(ms) * time.Millisecond
			}
		case 'Z':
			return r
		}
	}
}

// Do sends a query and reads its answer.
func (p *Postgres) Do(statement string) Result {
	if err := p.Send(statement); err != nil {
		return Result{Err: err}
	}
	return p.Receive()
}

// MySQL is a client on the MySQL protocol that prepares each statement.
type MySQL struct{ *sql.DB }

// DialMySQL connects by the Go driver.
func DialMySQL(addr string) (*MySQL, error) { return LogInMySQL(addr, ClientPassword) }

// LogInMySQL connects with a password.
func LogInMySQL(addr, password string) (*MySQL, error) {
	cfg := mysql.NewConfig()
	cfg.Net, cfg.Addr, cfg.User, cfg.Passwd, cfg.DBName = "tcp", addr, ClientUser, password, "core"
	cfg.Logger = &mysql.NopLogger{}
	connector, err := mysql.NewConnector(cfg)
	if err != nil {
		return nil, err
	}
	db := sql.OpenDB(connector)
	db.SetMaxOpenConns(1)
	return &MySQL{db}, db.Ping()
}

// Do prepares and executes a statement.
func (m *MySQL) Do(statement string) Result {
	st, err := m.Prepare(statement)
	if err != nil {
		return FromMySQL(err)
	}
	defer func() { _ = st.Close() }() // the answer is all that counts
	return Execute(st)
}

// Execute runs a prepared statement.
func Execute(st *sql.Stmt, args ...any) (r Result) {
	rows, err := st.QueryContext(context.Background(), args...)
	if err != nil {
		return FromMySQL(err)
	}
	defer func() { _ = rows.Close() }() // the answer is all that counts
	for rows.Next() {
		if err := rows.Scan(&r.Value); err != nil {
			return FromMySQL(err)
		}
	}
	return r
}

// FromMySQL reads the driver's error.
func FromMySQL(err error) (r Result) {
	var e *mysql.MySQLError
	if !errors.As(err, &e) {
		return Result{Err: err}
	}
	r.Code = strconv.Itoa(int(e.Number))
	r.Refused, r.Failed = e.Number == 1040, e.Number != 1040
	if _, ms, ok := strings.Cut(e.Message, "retry after "); ok {
		n, _ := strconv.Atoi(strings.TrimSuffix(ms, " ms"))
		r.After = time.Duration(n) * time.Millisecond
	}
	return r
}
