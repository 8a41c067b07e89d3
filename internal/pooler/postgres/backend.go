package postgres

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/protocol"
	"threadsail/internal/protocol/pgwire"
)

// User and database names of the pooler's connections to servers.
const (
	serverUser     = "threadsail"
	serverDatabase = "core"
)

// Backend is a dispatch.Backend for PostgreSQL servers.
type Backend struct {
	upstream.Connector
	Reports bool // servers answer SHOW health with a load report
}

// Send starts an attempt to execute a *Statement on a server. remaining is the time until the request's deadline.
func (b *Backend) Send(addr string, payload any, remaining time.Duration, callbacks dispatch.AttemptCallbacks) dispatch.Call {
	statement := payload.(*Statement)
	deadline := b.Loop.Now() + remaining
	return b.start(addr, deadline, callbacks, func() string { return statement.textFor(deadline - b.Loop.Now()) })
}

// Probe sends a health check to a server and calls done with its result, which includes the server's load report if it sent
// one.
func (b *Backend) Probe(addr string, done func(dispatch.AttemptResult)) dispatch.Call {
	probeQuery := "SELECT 1"
	if b.Reports {
		probeQuery = "SHOW health"
	}
	start := func(done func(dispatch.AttemptResult)) dispatch.Call {
		return b.start(addr, 0, upstream.ProbeAttempt(done), func() string { return probeQuery })
	}
	return upstream.StartProbe(start, func(result dispatch.AttemptResult) {
		if row, ok := result.Answer.([]byte); ok && b.Reports {
			if report := loadReport(row); report.HasPosition || report.HasRole {
				result.Status = report
			}
		}
		done(result)
	})
}

// start executes a query on a connection to a server. It calls queryText when the query is about to be sent, so that the text
// can state the remaining time. deadline is 0 for a probe.
func (b *Backend) start(addr string, deadline time.Duration, callbacks dispatch.AttemptCallbacks, queryText func() string) dispatch.Call {
	q := &query{queryText: queryText}
	q.Deadline = deadline
	q.Start(&b.Connector, addr, q, callbacks, func(any) { q.sendQuery() }, func() {
		q.Conn.Write(pgwire.AppendStartup(nil, serverUser, serverDatabase))
	})
	return q
}

// loadReport returns the load report from the row that answers SHOW health, or a zero ServerStatus if there is none.
func loadReport(answer []byte) policy.ServerStatus {
	for len(answer) > 0 {
		message, length, err := pgwire.NextAnswer(answer)
		if err != nil || length == 0 {
			break
		}
		if value, ok := pgwire.Column(message.Body); ok && message.Type == 'D' {
			return protocol.Report(string(value))
		}
		answer = answer[length:]
	}
	return policy.ServerStatus{}
}
