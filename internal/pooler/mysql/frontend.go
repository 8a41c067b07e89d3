// Package mysql joins the MySQL protocol to the dispatcher: a frontend that accepts clients and their statements, prepared ones too,
// and a backend that takes attempts and probes to MySQL servers.
//
// It decides what a packet means, which statements are supported, and whether a server's answer is well formed. It owns the
// sessions of its clients with their prepared statements, which outlive any server, and the attempts in flight. Everything runs on
// the worker's event loop. Which server gets a command, and whether it is sent again, is decided by package policy; packages
// frontend and upstream hold what the protocols share; package translating takes the commands of this package's clients to
// PostgreSQL servers.
package mysql

import (
	"crypto/rand"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/pooler/frontend"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/routes"
	"threadsail/internal/transport"
)

// challengeLength is how many random bytes a server sends for the login.
const challengeLength = 20

// Frontend accepts MySQL clients.
type Frontend struct {
	*frontend.Clients
	loop             *dispatch.EventLoop
	dispatcher       *dispatch.Dispatcher
	config           *config.MySQL
	routes           *routes.Table // what the servers speak
	lastThreadID     uint32
	sessionsByThread map[uint32]*session // by the thread ID that each client was sent at its login
}

// Listen starts a frontend for the clients that the limiter admits; listen opens its socket. It must be called before the event
// loop runs.
func Listen(loop *dispatch.EventLoop, listen frontend.ListenFunc, dispatcher *dispatch.Dispatcher, cfg *config.MySQL, limiter *connlimit.Limiter,
	table *routes.Table) (*Frontend, error) {
	f := &Frontend{
		Clients:          frontend.NewClients(dispatcher, limiter),
		loop:             loop,
		dispatcher:       dispatcher,
		config:           cfg,
		routes:           table,
		sessionsByThread: map[uint32]*session{},
	}
	return f, f.Listen(listen, f.accept)
}

// accept begins the session of a new connection.
func (f *Frontend) accept(conn *transport.Conn) {
	s := &session{frontend: f, login: login{challenge: newChallenge()}, statements: map[uint32]*statement{}}
	if !s.Connect(f.Clients, conn, s) {
		s.writePacket(0, mysql.Error(mysql.ErrConCount, "08004", "Too many connections"))
		s.Finish()
		return
	}
	s.threadID = f.nextThreadID()
	f.sessionsByThread[s.threadID] = s
	conn.Write(mysql.AppendGreeting(nil, s.threadID, s.login.challenge))
}

// nextThreadID returns a number that no connected client has. It is never 0.
func (f *Frontend) nextThreadID() uint32 {
	f.lastThreadID++
	for f.lastThreadID == 0 || f.sessionsByThread[f.lastThreadID] != nil {
		f.lastThreadID++
	}
	return f.lastThreadID
}

// newChallenge draws the bytes for a login, none of them 0 or '$', which end or split strings in some clients.
func newChallenge() []byte {
	const letters = 26
	challenge := make([]byte, challengeLength)
	_, _ = rand.Read(challenge) // never fails
	for i := range challenge {
		challenge[i] = 'A' + challenge[i]%letters
	}
	return challenge
}
