// Package admin implements the server that reports to operators, by a line-based protocol, whether the pooler accepts clients, and
// the pooler's metrics.
//
// The server has its own listener, connections, file descriptors and event loop, whose goroutine runs from Listen to Close. It
// answers from the metrics published last, so that its answers are not delayed when the pooler is busy. It never changes the
// pooler's state.
package admin

import (
	"slices"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/protocol/admin"
	"threadsail/internal/transport"
)

const (
	// The server may use 1/descriptorShare of the process's limit of file descriptors, but at least minDescriptors and at most
	// maxDescriptors.
	descriptorShare = 16
	minDescriptors  = 2
	maxDescriptors  = 24

	callTimeout = 10 * time.Second // from the accept of a connection to the end of its call
)

// Descriptors returns the number of file descriptors that the server may use if the process's limit is limit.
func Descriptors(limit int) int {
	return min(max(limit/descriptorShare, minDescriptors), maxDescriptors)
}

// Server is the admin server. It answers one call on each connection.
type Server struct {
	loop           *dispatch.EventLoop
	listener       *transport.Listener
	metrics        func() Metrics
	connections    []*connection // open connections, oldest first
	maxConnections int           // at this number, the oldest connection is closed when another is accepted
}

// Listen starts a server on addr that uses at most the given number of descriptors. It reserves a third of them for connections
// that are being closed. The server calls metrics on its own goroutine; metrics must not block.
func Listen(addr string, descriptors int, metrics func() Metrics) (*Server, error) {
	server := &Server{loop: dispatch.NewEventLoop(), metrics: metrics, maxConnections: max(descriptors*2/3, 1)}
	listener, err := transport.Listen(server.loop, transport.NewBudget(descriptors), addr, server.accept)
	if err != nil {
		return nil, err
	}
	server.listener = listener
	go server.loop.Run() // returns after Close
	return server, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr() }

// Close closes the listener and stops the event loop. It does not wait for the goroutine of the loop.
func (s *Server) Close() {
	s.listener.Close()
	s.loop.Stop()
}

// accept starts the handling of a connection. If there are maxConnections already, it finishes the oldest one first.
func (s *Server) accept(conn *transport.Conn) {
	if len(s.connections) >= s.maxConnections {
		s.connections[0].finish()
	}
	c := &connection{server: s, conn: conn}
	s.connections = append(s.connections, c)
	conn.SetHandler(c)
	c.timeout = s.loop.After(callTimeout, c.finish)
}

// connection is a connection of an operator. It carries one call and its answer.
type connection struct {
	server  *Server
	conn    *transport.Conn
	line    []byte          // received part of the call
	timeout *dispatch.Timer // closes the connection after callTimeout
}

// finish closes the connection once the answer, if any, has been written, and removes it from the server.
func (c *connection) finish() {
	c.conn.Finish()
	c.Closed(nil)
}

// Closed removes the connection from the server.
func (c *connection) Closed(error) {
	c.timeout.Stop()
	if i := slices.Index(c.server.connections, c); i >= 0 {
		c.server.connections = slices.Delete(c.server.connections, i, i+1)
	}
}

// Data appends received bytes to the call. It answers the call once it is complete, or an error if it is malformed, and finishes
// the connection.
func (c *connection) Data(_ time.Duration, data []byte) {
	c.line = append(c.line, data...)
	call, complete, err := admin.Next(c.line)
	switch {
	case err != nil:
		c.conn.Write(admin.AppendError(nil, err.Error()))
	case !complete:
		return
	default:
		c.conn.Write(c.server.answer(call))
	}
	c.finish()
}

// answer returns the answer to a call.
func (s *Server) answer(call admin.Call) []byte {
	switch call {
	case admin.Ping:
		if s.metrics().Serving {
			return admin.AppendDone(nil)
		}
		return admin.AppendError(nil, "no clients are taken in")
	case admin.Info:
		return formatMetrics(s.metrics())
	}
	return admin.AppendError(nil, "unknown call")
}
