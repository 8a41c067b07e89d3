// Package translating takes the commands of one protocol's clients to the other protocol's servers: PostgresBackend those of MySQL
// clients to PostgreSQL servers, over the extended query protocol, and MySQLBackend those of PostgreSQL clients to MySQL servers.
//
// It decides how a statement, its parameters, its answer and its errors are put into the other protocol, together with package
// translate, which holds the rules. It owns the attempts and probes in flight; connections, logins and idle pools are those of the
// backends of package mysql and of package upstream. Everything runs on the worker's event loop. An answer is held until it is
// complete, so that none breaks off in the middle of a row; longer answers than maxAnswerBytes are errors.
package translating

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/mysql"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/protocol/pgwire"
	"threadsail/internal/translate"
)

// roleQuery is a probe's first query.
const roleQuery = "SELECT pg_is_in_recovery()"

// PostgresBackend takes attempts and probes of MySQL clients to PostgreSQL servers. The heartbeat of its account is a query for a
// Unix time in milliseconds.
type PostgresBackend struct {
	upstream.Connector
	upstream.Account
	scramSecrets *pgwire.Secrets // made at the first login
}

// Send starts an attempt at a *mysql.Command, whose client waits for left more.
func (b *PostgresBackend) Send(addr string, payload any, left time.Duration, a dispatch.AttemptCallbacks) dispatch.Call {
	command := payload.(*mysql.Command)
	if _, err := command.ForPostgres(); err != nil {
		answer := command.Client.AppendError(nil, translate.AsError(err))
		return upstream.AnswerLocally(b.Loop, a, dispatch.AttemptResult{Result: policy.OK, Answer: answer})
	}
	return b.newExchange(command, b.Loop.Now()+left).start(addr, a)
}

// Probe asks a server for its role, and a replica for its position.
func (b *PostgresBackend) Probe(addr string, done func(dispatch.AttemptResult)) dispatch.Call {
	start := func(done func(dispatch.AttemptResult)) dispatch.Call {
		x := b.newExchange(&mysql.Command{}, b.Loop.Now()+b.ConnectTimeout)
		x.text = roleQuery
		x.IsProbe = true
		return x.start(addr, upstream.ProbeAttempt(done))
	}
	return upstream.StartStatusProbe(start, done)
}

// newExchange returns an exchange for a command, whose connection is not taken yet.
func (b *PostgresBackend) newExchange(command *mysql.Command, deadline time.Duration) *exchange {
	x := &exchange{backend: b, command: command}
	x.Account = &b.Account
	x.Deadline = deadline
	return x
}

// connState is what is known of a connection to a server.
type connState struct {
	cancelKey  pgwire.Key                                      // by which what runs on it is cancelled
	prepared   upstream.PreparedStatements[*preparedStatement] // by text
	lastNumber int                                             // of a prepared statement's name
}

// preparedStatement is a statement that a server has parsed, and its description.
type preparedStatement struct {
	name   string
	params []uint32 // the types of its parameters
	fields []pgwire.Field
}
