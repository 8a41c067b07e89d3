package mysql

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/routes"
	"threadsail/internal/translate"
)

// roleQuery is a probe's first query.
const roleQuery = "SELECT @@global.read_only"

// Backend takes attempts and probes to MySQL servers.
type Backend struct {
	upstream.Connector
	upstream.Account
	// Version returns the version that the server list names for a server.
	Version func(addr string) routes.Version
}

// Send starts an attempt at a *Command, whose client waits for left more.
func (b *Backend) Send(addr string, payload any, timeLeft time.Duration, callbacks dispatch.AttemptCallbacks) dispatch.Call {
	command := payload.(*Command)
	e := b.newExchange(command, b.Loop.Now()+timeLeft)
	e.text, e.columnsRenamed = translate.ForVersion(command.Text, b.Version(addr))
	return e.start(addr, callbacks)
}

// Probe asks a server for its role, and a replica for its position.
func (b *Backend) Probe(addr string, done func(dispatch.AttemptResult)) dispatch.Call {
	start := func(done func(dispatch.AttemptResult)) dispatch.Call {
		e := b.newExchange(&Command{Text: roleQuery}, b.Loop.Now()+b.ConnectTimeout)
		e.text = roleQuery
		e.IsProbe = true
		return e.start(addr, upstream.ProbeAttempt(done))
	}
	return upstream.StartStatusProbe(start, done)
}

// newExchange returns an exchange for a command, whose connection is not taken yet.
func (b *Backend) newExchange(command *Command, deadline time.Duration) *exchange {
	e := &exchange{backend: b, command: command, database: command.Database}
	e.Account = &b.Account
	e.Deadline = deadline
	if e.database == "" {
		e.database = b.Database
	}
	return e
}

// connState is what is known of a connection to a server.
type connState struct {
	database string
	prepared upstream.PreparedStatements[mysql.PrepareOK] // by database and text
}
