// Package mysql connects the MySQL protocol to the dispatcher: a frontend that accepts clients and their statements, including
// prepared statements, and a backend that sends attempts and probes to MySQL servers.
//
// The package interprets packets, decides which statements are supported, and checks that servers' answers are well formed. It owns
// the attempts in flight and the sessions of its clients. A session's prepared statements outlive any server connection. All code
// runs on the worker's event loop. Package policy chooses the server for a command and decides on retries. Packages frontend and
// upstream hold the code that the protocols share. Package translating sends the commands of this package's clients to PostgreSQL
// servers.
package mysql

import (
	"crypto/rand"
	mathrand "math/rand/v2"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/pooler/frontend"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/routes"
	"threadsail/internal/transport"
)

// challengeLength is the length in bytes of the random challenge that a server sends for the login.
const challengeLength = 20

// Frontend is the MySQL frontend: it accepts the connections of MySQL clients.
type Frontend struct {
	*frontend.Clients
	loop             *dispatch.EventLoop
	dispatcher       *dispatch.Dispatcher
	config           *config.MySQL
	routes           *routes.Table // protocols of the servers
	lastThreadID     uint32
	sessionsByThread map[uint32]*session // keyed by the thread ID sent to the client in the greeting
}

// Listen starts a frontend that accepts the clients admitted by limiter. listen opens its socket. Listen must be called before the
// event loop runs.
func Listen(loop *dispatch.EventLoop, listen frontend.ListenFunc, dispatcher *dispatch.Dispatcher, cfg *config.MySQL, limiter *connlimit.Limiter,
	table *routes.Table) (*Frontend, error) {
	f := &Frontend{
		Clients:          frontend.NewClients(dispatcher, limiter),
		loop:             loop,
		dispatcher:       dispatcher,
		config:           cfg,
		routes:           table,
		lastThreadID:     mathrand.Uint32(), // a KILL that reaches another process on the same socket must meet no client there
		sessionsByThread: map[uint32]*session{},
	}
	return f, f.Listen(listen, f.accept)
}

// accept starts the session of a new connection, or rejects the connection if the limiter does not admit it.
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

// nextThreadID returns a thread ID that no connected client has. It never returns 0.
func (f *Frontend) nextThreadID() uint32 {
	f.lastThreadID++
	for f.lastThreadID == 0 || f.sessionsByThread[f.lastThreadID] != nil {
		f.lastThreadID++
	}
	return f.lastThreadID
}

// newChallenge returns a random login challenge. It consists of capital letters, because the bytes 0 and '$' end or split strings in
// some clients.
func newChallenge() []byte {
	const letters = 26
	challenge := make([]byte, challengeLength)
	_, _ = rand.Read(challenge) // never fails
	for i := range challenge {
		challenge[i] = 'A' + challenge[i]%letters
	}
	return challenge
}
