// Package postgres joins the PostgreSQL protocol to the dispatcher: a frontend that accepts clients and their simple queries, and a
// backend that takes attempts and probes to PostgreSQL servers.
//
// It decides what a message means, in which order a client's answers go out, and whether a server's answer is well formed; only
// such an answer is served. It owns the sessions of its clients, the attempts in flight and the relays of long answers. Everything
// runs on the worker's event loop. Which server gets a query, and whether it is sent again, is decided by package policy; packages
// frontend and upstream hold what the protocols share.
package postgres

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/pooler/frontend"
	"threadsail/internal/protocol/comment"
	"threadsail/internal/protocol/pgwire"
	"threadsail/internal/transport"
)

// Statement is the payload of a request: what the client sent, and its comment.
type Statement struct {
	Text    string
	Comment comment.Comment
	epoch   uint64 // of the shard map; 0: none
}

// SetEpoch is documented with dispatch.EpochCarrier.
func (s *Statement) SetEpoch(epoch uint64) { s.epoch = epoch }

// textFor returns the query as it is sent when the client waits for so long still.
func (s *Statement) textFor(left time.Duration) string {
	return comment.WithEpoch(s.Comment.WithPatience(s.Text, left), s.epoch)
}

// CheckFunc returns why a statement can't be executed by every server of a group; nil: it can.
type CheckFunc func(text string, group int) error

// Frontend accepts PostgreSQL clients.
type Frontend struct {
	*frontend.Clients
	dispatcher     *dispatch.Dispatcher
	checkStatement CheckFunc
	lastProcessID  uint32
	sessionsByKey  map[pgwire.Key]*session
}

// Listen starts a frontend for the clients that the limiter admits; listen opens its socket. It must be called before the event
// loop runs.
func Listen(listen frontend.ListenFunc, dispatcher *dispatch.Dispatcher, limiter *connlimit.Limiter, check CheckFunc) (*Frontend, error) {
	f := &Frontend{
		Clients:        frontend.NewClients(dispatcher, limiter),
		dispatcher:     dispatcher,
		checkStatement: check,
		sessionsByKey:  map[pgwire.Key]*session{},
	}
	return f, f.Listen(listen, f.accept)
}

// accept begins the session of a new connection. One that the limiter rejects gets no error, as its first query may be on the way
// and would take the error for its answer.
func (f *Frontend) accept(conn *transport.Conn) {
	s := &session{frontend: f}
	if !s.Connect(f.Clients, conn, s) {
		s.Evict()
	}
}
