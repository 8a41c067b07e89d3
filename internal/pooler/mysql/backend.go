package mysql

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/routes"
	"threadsail/internal/translate"
)

// roleQuery is the first query of a probe. Its result tells whether the server is a primary or a replica.
const roleQuery = "SELECT @@global.read_only"

// Backend is the MySQL backend: it sends attempts and probes to MySQL servers.
type Backend struct {
	upstream.Connector
	upstream.Account
	// Version returns the version that the server list gives for the server at addr.
	Version func(addr string) routes.Version
}

// Send starts an attempt to execute payload, a *Command, on the server at addr and returns it. timeLeft is the time until the
// client's deadline. The text of the command is adapted to the version of the server.
func (b *Backend) Send(addr string, payload any, timeLeft time.Duration, callbacks dispatch.AttemptCallbacks) dispatch.Call {
	command := payload.(*Command)
	e := b.newExchange(command, b.Loop.Now()+timeLeft)
	e.text, e.columnsRenamed = translate.ForVersion(command.Text, b.Version(addr))
	return e.start(addr, callbacks)
}

// Probe starts a health check of the server at addr, which queries its role and, on a replica, its position.
func (b *Backend) Probe(addr string, done func(dispatch.AttemptResult)) dispatch.Call {
	start := func(done func(dispatch.AttemptResult)) dispatch.Call {
		e := b.newExchange(&Command{Text: roleQuery}, b.Loop.Now()+b.ConnectTimeout)
		e.text = roleQuery
		e.IsProbe = true
		return e.start(addr, upstream.ProbeAttempt(done))
	}
	return upstream.StartStatusProbe(start, done)
}

// newExchange returns an exchange for command that has no connection yet. deadline is a time of the event loop's clock.
func (b *Backend) newExchange(command *Command, deadline time.Duration) *exchange {
	e := &exchange{backend: b, command: command, database: command.Database}
	e.Account = &b.Account
	e.Deadline = deadline
	if e.database == "" {
		e.database = b.Database
	}
	e.Prefers = e.hasDatabase
	e.Usable = e.canUse
	return e
}

// connState is the session state of a connection to a server. It is kept with the connection in the pool.
type connState struct {
	database string
	prepared upstream.PreparedStatements[mysql.PrepareOK] // keyed by database and text
}
