package postgres

import (
	"errors"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/protocol"
	"threadsail/internal/protocol/comment"
	"threadsail/internal/protocol/pgwire"
	"threadsail/internal/transport"
)

const (
	serverUser     = "threadsail"
	serverDatabase = "core"
)

// Backend takes attempts and probes to PostgreSQL servers.
type Backend struct {
	upstream.Connector
	Reports bool // servers report their health to probes
}

// Send starts an attempt.
func (b *Backend) Send(addr string, payload any, left time.Duration, a dispatch.AttemptCallbacks) dispatch.Call {
	st := payload.(*Statement)
	until := b.Loop.Now() + left
	return b.start(addr, a, func() string {
		return comment.WithEpoch(st.Comment.WithPatience(st.Text, until-b.Loop.Now()), st.epoch)
	})
}

// Probe asks a server for its health.
func (b *Backend) Probe(addr string, done func(dispatch.AttemptResult)) dispatch.Call {
	text := "SELECT 1"
	if b.Reports {
		text = "SHOW health"
	}
	start := func(done func(dispatch.AttemptResult)) dispatch.Call {
		return b.start(addr, upstream.ProbeAttempt(done), func() string { return text })
	}
	return upstream.StartProbe(start, func(r dispatch.AttemptResult) {
		if row, ok := r.Answer.([]byte); ok && b.Reports {
			if rep := loadReport(row); rep.HasPosition || rep.HasRole {
				r.Report = rep
			}
		}
		done(r)
	})
}

// loadReport reads the load report in the row that SHOW health gave.
func loadReport(answer []byte) policy.ServerStatus {
	for len(answer) > 0 {
		m, n, err := pgwire.NextAnswer(answer)
		if err != nil || n == 0 {
			break
		}
		if v, ok := pgwire.Column(m.Body); ok && m.Type == 'D' {
			return protocol.Report(string(v))
		}
		answer = answer[n:]
	}
	return policy.ServerStatus{}
}

// query is one query on one connection.
type query struct {
	upstream.Exchange
	text        func() string
	input       []byte
	querySent   bool
	lastMessage byte // the last message of the answer: T, D, C; 0: none so far
	errorCode   string
	rows        []byte
	relay       *relay // of a long answer that has begun
}

func (b *Backend) start(addr string, a dispatch.AttemptCallbacks, text func() string) dispatch.Call {
	x := &query{text: text}
	x.Start(&b.Connector, addr, x, a, func(any) { x.sendQuery() }, func() {
		x.Conn.Write(pgwire.AppendStartup(nil, serverUser, serverDatabase))
	})
	return x
}

func (x *query) sendQuery() {
	x.querySent = true
	x.Conn.Write(pgwire.AppendQuery(nil, x.text()))
	x.RequestWritten()
}

// Closed ends the exchange. Before the last byte of the query has gone out nothing can have run.
func (x *query) Closed(err error) {
	switch {
	case x.relay != nil:
		x.failMalformed()
	case !x.querySent || !x.Conn.Written():
		x.FinishBroken(policy.ConnectFailed)
	case x.errorCode != "" && len(x.input) == 0:
		x.Finish(resultOf(x.errorCode))
	case errors.Is(err, transport.ErrFlood):
		x.failMalformed()
	default:
		x.FinishBroken(policy.ConnectionReset)
	}
}

func (x *query) Data(_ time.Duration, b []byte) {
	if x.relay != nil {
		if b = x.relay.receive(b); len(b) == 0 {
			return
		}
	}
	if !x.Received(len(b), x.querySent, x.failMalformed) {
		return
	}
	x.input = append(x.input, b...)
	rest := x.input
	for {
		m, n, err := pgwire.NextAnswer(rest)
		if err != nil {
			x.failMalformed()
			return
		}
		var long bool
		if rest, long = x.beginRelay(rest); long {
			continue
		}
		if n == 0 {
			break
		}
		rest = rest[n:]
		over, sound := x.handleMessage(m, len(rest) == 0)
		if !sound {
			x.failMalformed()
		}
		if over || !sound {
			return
		}
	}
	x.input = append([]byte(nil), rest...)
}

// failMalformed ends an exchange whose answer can't be used. Only exactly one answer made as it should be is served, and only
// such a one is believed: anything else may have run, whatever code or note stands in it.
func (x *query) failMalformed() {
	x.Conn.Close()
	if x.relay != nil {
		x.relay.finish(dispatch.StreamBroken, nil)
		return
	}
	x.Result = dispatch.AttemptResult{}
	if x.querySent {
		x.Finish(policy.ServerError)
	} else {
		x.Finish(policy.ConnectFailed)
	}
}

// handleMessage takes in one message; over: the exchange has ended. last: nothing has come behind it.
func (x *query) handleMessage(m pgwire.Message, last bool) (over, sound bool) {
	if !x.querySent {
		return x.handleStartup(m, last)
	}
	switch m.Type {
	case 'S':
		return false, x.handleParameter(m.Body)
	case 'N':
		return false, true
	case 'E':
		sound = x.lastMessage == 0 && x.errorCode == ""
		x.errorCode = pgwire.ErrorCode(m.Body)
		return false, sound && x.errorCode != ""
	case 'T':
		sound = x.lastMessage == 0 && x.errorCode == "" && pgwire.OneColumn(m.Body)
	case 'D':
		_, ok := pgwire.Column(m.Body)
		sound = x.lastMessage == 'T' && ok
	case 'C':
		_, ok := pgwire.Text(m.Body)
		sound = x.lastMessage == 'D' && ok
	case 'Z':
		if m.Body[0] != 'I' || x.lastMessage != 'C' && x.errorCode == "" {
			return false, false
		}
		x.finishAnswer(last)
		return true, true
	}
	x.lastMessage = m.Type
	x.rows = append(x.rows, m.Raw...)
	return false, sound
}

// handleStartup takes in what comes before the query is sent.
func (x *query) handleStartup(m pgwire.Message, last bool) (over, sound bool) {
	switch m.Type {
	case 'E': // turned away at the door
		x.Conn.Close()
		x.Finish(policy.ConnectFailed)
		return true, true
	case 'Z':
		return x.finishStartup(), last
	}
	return false, m.Type == 'R' || m.Type == 'K' || m.Type == 'S' || m.Type == 'N'
}

// handleParameter takes in what the server tells of itself. It comes before ReadyForQuery, and so before the outcome. A value
// that can't be read tells nothing, and spoils nothing.
func (x *query) handleParameter(body []byte) (sound bool) {
	name, value, ok := pgwire.Parameter(body)
	switch name {
	case "recovery":
		switch value {
		case "off":
			x.Result.Role = policy.RolePrimary
		case "on":
			x.Result.Role = policy.RoleReplica
		}
	case "lsn_ms":
		x.Result.Position, x.Result.HasPosition = protocol.Position(value)
	case "health":
		x.Result.Report = protocol.Report(value)
	}
	return ok
}

// finishAnswer ends the exchange with its answer.
func (x *query) finishAnswer(clean bool) {
	x.Conn.Pause(false)
	x.ReleaseConn(clean, nil)
	if x.relay != nil {
		x.relay.finish(dispatch.StreamComplete, x.rows)
		return
	}
	if x.errorCode != "" {
		x.Finish(resultOf(x.errorCode))
		return
	}
	x.Result.Answer = x.rows
	x.Finish(policy.OK)
}

// finishStartup ends the startup. The query may have become one that must not be sent here any more: true, it has ended.
func (x *query) finishStartup() bool {
	if x.MaySend() {
		x.sendQuery()
		return false
	}
	x.ReleaseConn(true, nil)
	x.Finish(policy.Misdirected)
	return true
}

// resultOf puts a server's error code into the core's words.
func resultOf(code string) policy.Result {
	switch code {
	case pgwire.CodeReadOnly, pgwire.CodeBehind:
		return policy.Misdirected
	case pgwire.CodeTooMany:
		return policy.Overloaded
	}
	return policy.ServerError
}
