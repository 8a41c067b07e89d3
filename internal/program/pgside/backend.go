package pgside

import (
	"time"

	"threadsail/internal/protocol"
	"threadsail/internal/protocol/pgwire"
	"threadsail/internal/routing"
	"threadsail/internal/transport"
	"threadsail/rules"
)

const (
	user     = "threadsail"
	database = "core"
)

// Backend takes attempts and probes to PostgreSQL servers.
type Backend struct {
	Loop           *routing.Loop
	Budget         *transport.Budget
	Pool           *transport.Pool
	ConnectTimeout time.Duration
	Reports        bool // servers report their health to probes
}

// Send starts an attempt.
func (b *Backend) Send(addr string, payload any, left time.Duration, fits func() bool,
	done func(routing.Result)) routing.Call {
	st := payload.(*Statement)
	until := b.Loop.Now() + left
	return b.start(addr, fits, done, func() string { return st.Comment.WithPatience(st.Text, until-b.Loop.Now()) })
}

// Probe asks a server for its health.
func (b *Backend) Probe(addr string, done func(routing.Result)) routing.Call {
	text := "SELECT 1"
	if b.Reports {
		text = "SHOW health"
	}
	return b.start(addr, func() bool { return true }, func(r routing.Result) {
		if row, ok := r.Answer.([]byte); ok && b.Reports {
			if rep := report(row); rep.HasPosition || rep.HasRole {
				r.Report = rep
			}
		}
		done(r)
	}, func() string { return text })
}

// report finds the load report in the row that SHOW health gave.
func report(row []byte) rules.Report {
	for {
		m, n, err := pgwire.Next(row)
		if err != nil || n == 0 {
			return rules.Report{}
		}
		if v, ok := pgwire.Column(m.Body); ok && m.Type == 'D' {
			return protocol.Report(string(v))
		}
		row = row[n:]
	}
}

// CloseIdle closes the idle connections to a server.
func (b *Backend) CloseIdle(addr string) { b.Pool.CloseIdle(addr) }

// exchange is one query on one connection.
type exchange struct {
	b       *Backend
	addr    string
	fits    func() bool
	query   func() string
	done    func(routing.Result)
	cancel  func() // of the dial
	connect *routing.Timer
	c       *transport.Conn
	buf     []byte
	asked   bool
	whole   bool // CommandComplete has come
	code    string
	rows    []byte
	res     routing.Result
}

func (b *Backend) start(addr string, fits func() bool, done func(routing.Result), query func() string) routing.Call {
	x := &exchange{b: b, addr: addr, fits: fits, query: query, done: done}
	if c, _ := b.Pool.Get(addr, b.Loop.Now()); c != nil {
		x.c = c
		c.SetHandler(x)
		x.ask()
		return x
	}
	if b.Budget.Full() {
		b.Pool.Shed()
	}
	// A machine that has vanished answers neither the dial nor the startup message: one time-out is for both.
	x.connect = b.Loop.After(b.ConnectTimeout, func() {
		x.Abort()
		x.end(rules.NoConnect)
	})
	x.cancel = transport.Dial(b.Loop, b.Budget, addr, b.ConnectTimeout, func(c *transport.Conn, err error) {
		x.cancel = nil
		if err != nil {
			x.end(rules.NoConnect)
			return
		}
		x.c = c
		c.SetHandler(x)
		c.Write(pgwire.AppendStartup(nil, user, database))
	})
	return x
}

func (x *exchange) ask() {
	x.connect.Stop()
	x.asked = true
	x.c.Write(pgwire.AppendQuery(nil, x.query()))
}

// Abort closes the connection, which is how an attempt is given up here.
func (x *exchange) Abort() {
	x.connect.Stop()
	if x.cancel != nil {
		x.cancel()
	}
	if x.c != nil {
		x.c.Close()
	}
}

func (x *exchange) end(r rules.Result) {
	x.connect.Stop()
	x.res.Result = r
	x.done(x.res)
}

// Closed ends the exchange. Before the last byte of the query has gone out nothing can have run.
func (x *exchange) Closed(error) {
	switch {
	case !x.asked || !x.c.Written():
		x.end(rules.NoConnect)
	case x.code != "":
		x.end(outcome(x.code))
	default:
		x.end(rules.Reset)
	}
}

func (x *exchange) Data(_ time.Duration, b []byte) {
	x.buf = append(x.buf, b...)
	rest := x.buf
	for {
		m, n, err := pgwire.Next(rest)
		if err != nil {
			x.broken()
			return
		}
		if n == 0 {
			break
		}
		rest = rest[n:]
		if m.Type == 'Z' {
			if x.ready(len(rest) == 0) {
				return
			}
			continue
		}
		if !x.message(m) {
			x.broken()
			return
		}
	}
	x.buf = append([]byte(nil), rest...)
}

// broken ends an exchange whose server can't be understood.
func (x *exchange) broken() {
	x.c.Close()
	x.Closed(nil)
}

func (x *exchange) message(m pgwire.Message) bool {
	switch m.Type {
	case 'S':
		x.parameter(m.Body)
	case 'E':
		x.code = pgwire.ErrorCode(m.Body)
		if x.code == "" {
			x.code = pgwire.CodeProtocol
		}
		if !x.asked { // turned away at the door
			x.c.Close()
			x.end(rules.NoConnect)
		}
	case 'T', 'D', 'C':
		x.rows = append(x.rows, m.Raw...)
		x.whole = x.whole || m.Type == 'C'
		return len(x.rows) <= 2*pgwire.MaxMessage
	}
	return true
}

// parameter takes in what the server tells of itself. It comes before ReadyForQuery, and so before the outcome.
func (x *exchange) parameter(body []byte) {
	name, value, ok := pgwire.Parameter(body)
	if !ok {
		return
	}
	switch name {
	case "recovery":
		switch value {
		case "off":
			x.res.Role = rules.RolePrimary
		case "on":
			x.res.Role = rules.RoleReplica
		}
	case "lsn_ms":
		x.res.Position, x.res.HasPosition = protocol.Position(value)
	case "health":
		x.res.Report = protocol.Report(value)
	}
}

// ready ends the startup, or the exchange: true.
func (x *exchange) ready(clean bool) bool {
	if !x.asked {
		return x.welcome()
	}
	if clean {
		x.b.Pool.Put(x.addr, x.c, nil)
	} else {
		x.c.Close()
	}
	switch {
	case x.code != "":
		x.end(outcome(x.code))
	case x.whole:
		x.res.Answer = x.rows
		x.end(rules.OK)
	default:
		x.end(rules.Errored)
	}
	return true
}

// welcome ends the startup. The query may have become one that must not be sent here any more: true, it has ended.
func (x *exchange) welcome() bool {
	x.res = routing.Result{} // what a welcome says is no answer's note
	if x.fits() {
		x.ask()
		return false
	}
	x.b.Pool.Put(x.addr, x.c, nil)
	x.end(rules.Missed)
	return true
}

// outcome puts a server's error code into the core's words.
func outcome(code string) rules.Result {
	switch code {
	case pgwire.CodeReadOnly, pgwire.CodeBehind:
		return rules.Missed
	case pgwire.CodeTooMany:
		return rules.Full
	}
	return rules.Errored
}
