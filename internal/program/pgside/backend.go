package pgside

import (
	"time"

	"threadsail/internal/program/exchange"
	"threadsail/internal/protocol"
	"threadsail/internal/protocol/pgwire"
	"threadsail/internal/routing"
	"threadsail/rules"
)

const (
	user     = "threadsail"
	database = "core"
)

// Backend takes attempts and probes to PostgreSQL servers.
type Backend struct {
	exchange.Servers
	Reports bool // servers report their health to probes
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

// query is one query on one connection.
type query struct {
	exchange.Exchange
	fits  func() bool
	text  func() string
	buf   []byte
	asked bool
	whole bool // CommandComplete has come
	code  string
	rows  []byte
}

func (b *Backend) start(addr string, fits func() bool, done func(routing.Result), text func() string) routing.Call {
	x := &query{fits: fits, text: text}
	x.Start(&b.Servers, addr, x, done, func(any) { x.ask() }, func() {
		x.Conn.Write(pgwire.AppendStartup(nil, user, database))
	})
	return x
}

func (x *query) ask() {
	x.Begun()
	x.asked = true
	x.Conn.Write(pgwire.AppendQuery(nil, x.text()))
}

// Closed ends the exchange. Before the last byte of the query has gone out nothing can have run.
func (x *query) Closed(error) {
	switch {
	case !x.asked || !x.Conn.Written():
		x.End(rules.NoConnect)
	case x.code != "":
		x.End(outcome(x.code))
	default:
		x.End(rules.Reset)
	}
}

func (x *query) Data(_ time.Duration, b []byte) {
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
func (x *query) broken() {
	x.Conn.Close()
	x.Closed(nil)
}

func (x *query) message(m pgwire.Message) bool {
	switch m.Type {
	case 'S':
		x.parameter(m.Body)
	case 'E':
		x.code = pgwire.ErrorCode(m.Body)
		if x.code == "" {
			x.code = pgwire.CodeProtocol
		}
		if !x.asked { // turned away at the door
			x.Conn.Close()
			x.End(rules.NoConnect)
		}
	case 'T', 'D', 'C':
		x.rows = append(x.rows, m.Raw...)
		x.whole = x.whole || m.Type == 'C'
		return len(x.rows) <= 2*pgwire.MaxMessage
	}
	return true
}

// parameter takes in what the server tells of itself. It comes before ReadyForQuery, and so before the outcome.
func (x *query) parameter(body []byte) {
	name, value, ok := pgwire.Parameter(body)
	if !ok {
		return
	}
	switch name {
	case "recovery":
		switch value {
		case "off":
			x.Res.Role = rules.RolePrimary
		case "on":
			x.Res.Role = rules.RoleReplica
		}
	case "lsn_ms":
		x.Res.Position, x.Res.HasPosition = protocol.Position(value)
	case "health":
		x.Res.Report = protocol.Report(value)
	}
}

// ready ends the startup, or the exchange: true.
func (x *query) ready(clean bool) bool {
	if !x.asked {
		return x.welcome()
	}
	x.Put(clean, nil)
	switch {
	case x.code != "":
		x.End(outcome(x.code))
	case x.whole:
		x.Res.Answer = x.rows
		x.End(rules.OK)
	default:
		x.End(rules.Errored)
	}
	return true
}

// welcome ends the startup. The query may have become one that must not be sent here any more: true, it has ended.
func (x *query) welcome() bool {
	x.Res = routing.Result{} // what a welcome says is no answer's note
	if x.fits() {
		x.ask()
		return false
	}
	x.Put(true, nil)
	x.End(rules.Missed)
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
