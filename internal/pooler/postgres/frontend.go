// Package postgres connects the PostgreSQL protocol to the dispatcher: a frontend that accepts clients and their simple
// queries, and a backend that sends attempts and probes to PostgreSQL servers.
//
// It interprets protocol messages, keeps a client's answers in the order of its commands, and checks that a server's answer is
// well formed; only a well-formed answer is served. It owns the sessions of its clients, the attempts in flight and the relays
// of long answers. Everything runs on the worker's event loop. Package policy decides which server gets a query and whether it
// is retried; packages frontend and upstream contain what the protocols share.
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

// Statement is the payload of a request: the query as the client sent it, and its parsed comment.
type Statement struct {
	Text    string
	Comment comment.Comment
	epoch   uint64 // epoch of the shard map; 0: none
}

// SetEpoch implements dispatch.EpochCarrier.
func (s *Statement) SetEpoch(epoch uint64) { s.epoch = epoch }

// textFor returns the query text to send to a server, with the remaining time and the shard map's epoch in its comment.
func (s *Statement) textFor(remaining time.Duration) string {
	return comment.WithEpoch(s.Comment.WithPatience(s.Text, remaining), s.epoch)
}

// CheckFunc returns an error that says why some servers of a group can't execute a statement, or nil if all of them can.
type CheckFunc func(text string, group int) error

// Frontend accepts PostgreSQL clients.
type Frontend struct {
	*frontend.Clients
	loop           *dispatch.EventLoop
	dispatcher     *dispatch.Dispatcher
	checkStatement CheckFunc
	lastProcessID  uint32
	sessionsByKey  map[pgwire.Key]*session
}

// Listen returns a frontend for the clients that the limiter admits. listen opens its listener. Listen must be called before
// the event loop runs.
func Listen(loop *dispatch.EventLoop, listen frontend.ListenFunc, dispatcher *dispatch.Dispatcher, limiter *connlimit.Limiter,
	check CheckFunc) (*Frontend, error) {
	f := &Frontend{
		Clients:        frontend.NewClients(dispatcher, limiter),
		loop:           loop,
		dispatcher:     dispatcher,
		checkStatement: check,
		sessionsByKey:  map[pgwire.Key]*session{},
	}
	return f, f.Listen(listen, f.accept)
}

// accept starts the session of a new connection. A connection that the limiter rejects is closed without an error message: its
// first query may already be in transit, and the client would take the message for the answer to it.
func (f *Frontend) accept(conn *transport.Conn) {
	s := &session{frontend: f}
	if !s.Connect(f.Clients, conn, s) {
		s.Evict()
	}
}
