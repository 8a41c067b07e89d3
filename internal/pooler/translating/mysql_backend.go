package translating

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/mysql"
	"threadsail/internal/pooler/postgres"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/protocol/comment"
	"threadsail/internal/protocol/pgwire"
	"threadsail/internal/translate"
)

// MySQLBackend takes the statements of PostgreSQL clients to MySQL servers. Connections, logins and probes are those of package mysql.
type MySQLBackend struct {
	*mysql.Backend
	Echo translate.Echo
}

// Send starts an attempt at a *postgres.Statement, whose client waits for left more.
func (b *MySQLBackend) Send(addr string, payload any, left time.Duration, a dispatch.AttemptCallbacks) dispatch.Call {
	translated, err := translate.ToMySQL(payload.(*postgres.Statement).Text, b.Echo)
	if err != nil {
		own := translate.AsError(err)
		answer := pgwire.AppendError(nil, "ERROR", own.Meaning.Postgres(), own.Text, "")
		return upstream.AnswerLocally(b.Loop, a, dispatch.AttemptResult{Result: policy.OK, Answer: answer})
	}
	command := &mysql.Command{Text: translated.SQL, Client: translate.Client{Generation: translate.Gen80, Charset: translate.UTF8MB4}}
	if cm, err := comment.Parse(translated.SQL); err == nil {
		command.Comment = &cm
	}
	done := a.Done
	a.Done = func(r dispatch.AttemptResult) {
		if packets, ok := r.Answer.([]byte); ok {
			r.Answer = translated.AppendPostgres(nil, packets)
		}
		done(r)
	}
	return b.Backend.Send(addr, command, left, a)
}
