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

// MySQLBackend takes the statements of PostgreSQL clients to MySQL servers. Connections, logins and probes are the MySQL backend's.
type MySQLBackend struct {
	*mysql.Backend
	Echo translate.Echo
}

// Send starts an attempt.
func (b *MySQLBackend) Send(addr string, payload any, left time.Duration, a dispatch.AttemptCallbacks) dispatch.Call {
	st, err := translate.ToMySQL(payload.(*postgres.Statement).Text, b.Echo)
	if err != nil {
		own := translate.AsError(err)
		return upstream.AnswerLocally(b.Loop, a, dispatch.AttemptResult{Result: policy.OK,
			Answer: pgwire.AppendError(nil, "ERROR", own.Meaning.Postgres(), own.Text, "")})
	}
	cmd := &mysql.Command{Text: st.SQL, Client: translate.Client{Generation: translate.Gen80, Charset: translate.UTF8MB4}}
	if c, err := comment.Parse(st.SQL); err == nil {
		cmd.Comment = &c
	}
	done := a.Done
	a.Done = func(r dispatch.AttemptResult) {
		if raw, ok := r.Answer.([]byte); ok {
			r.Answer = st.AppendPostgres(nil, raw)
		}
		done(r)
	}
	return b.Backend.Send(addr, cmd, left, a)
}
