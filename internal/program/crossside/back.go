package crossside

import (
	"time"

	"threadsail/internal/program/exchange"
	"threadsail/internal/program/mysqlside"
	"threadsail/internal/program/pgside"
	"threadsail/internal/protocol/comment"
	"threadsail/internal/protocol/pgwire"
	"threadsail/internal/routing"
	"threadsail/internal/translate"
	"threadsail/rules"
)

// Back takes the statements of PostgreSQL clients to MySQL servers. Connections, logins and probes are the MySQL backend's.
type Back struct {
	*mysqlside.Backend
	Echo translate.Echo
}

// Send starts an attempt.
func (b *Back) Send(addr string, payload any, left time.Duration, a routing.Attempt) routing.Call {
	st, err := translate.ToMySQL(payload.(*pgside.Statement).Text, b.Echo)
	if err != nil {
		own := translate.AsError(err)
		return exchange.Ended(b.Loop, a, routing.Result{Result: rules.OK,
			Answer: pgwire.AppendError(nil, "ERROR", own.Meaning.Postgres(), own.Text, "")})
	}
	cmd := &mysqlside.Command{Text: st.SQL, Client: translate.Client{Generation: translate.Gen80, Charset: translate.UTF8MB4}}
	if c, err := comment.Parse(st.SQL); err == nil {
		cmd.Comment = &c
	}
	done := a.Done
	a.Done = func(r routing.Result) {
		if raw, ok := r.Answer.([]byte); ok {
			r.Answer = st.AppendPostgres(nil, raw)
		}
		done(r)
	}
	return b.Backend.Send(addr, cmd, left, a)
}
