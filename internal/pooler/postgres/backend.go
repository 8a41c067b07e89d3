package postgres

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/protocol"
	"threadsail/internal/protocol/pgwire"
)

// Who the pooler is to its servers.
const (
	serverUser     = "threadsail"
	serverDatabase = "core"
)

// Backend takes attempts and probes to PostgreSQL servers.
type Backend struct {
	upstream.Connector
	Reports bool // servers report their health to probes
}

// Send starts an attempt at a *Statement, whose client waits for left more.
func (b *Backend) Send(addr string, payload any, left time.Duration, a dispatch.AttemptCallbacks) dispatch.Call {
	statement := payload.(*Statement)
	deadline := b.Loop.Now() + left
	return b.start(addr, a, func() string { return statement.textFor(deadline - b.Loop.Now()) })
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
			if report := loadReport(row); report.HasPosition || report.HasRole {
				r.Status = report
			}
		}
		done(r)
	})
}

// start runs a query on a connection. text is called when it is sent.
func (b *Backend) start(addr string, a dispatch.AttemptCallbacks, text func() string) dispatch.Call {
	x := &query{text: text}
	x.Start(&b.Connector, addr, x, a, func(any) { x.sendQuery() }, func() {
		x.Conn.Write(pgwire.AppendStartup(nil, serverUser, serverDatabase))
	})
	return x
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
