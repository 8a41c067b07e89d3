// Package admin is the server that operators ask, by a line-based protocol, whether the pooler accepts clients, and for its metrics.
//
// It owns its listener, its connections and its event loop, whose goroutine runs from Listen to Close, and descriptors of its own. It
// answers from what was published last, so that a busy pooler keeps no operator waiting. It changes nothing in the pooler.
package admin

import (
	"slices"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/protocol/admin"
	"threadsail/internal/transport"
)

const (
	// The server may use one descriptor in descriptorShare of the process's limit, within these bounds.
	descriptorShare = 16
	minDescriptors  = 2
	maxDescriptors  = 24

	callTimeout = 10 * time.Second // from the connection to the end of its call
)

// Descriptors returns how many descriptors the server may use of a limit.
func Descriptors(limit int) int {
	return min(max(limit/descriptorShare, minDescriptors), maxDescriptors)
}

// Server answers operators.
type Server struct {
	loop           *dispatch.EventLoop
	listener       *transport.Listener
	metrics        func() Metrics
	connections    []*connection // in the order of their arrival
	maxConnections int           // the one that has waited longest makes room
}

// Listen opens the server, with so many descriptors, a third of them for connections that are being closed. metrics is called on the
// server's own goroutine and must not wait.
func Listen(addr string, descriptors int, metrics func() Metrics) (*Server, error) {
	s := &Server{loop: dispatch.NewEventLoop(), metrics: metrics, maxConnections: max(descriptors*2/3, 1)}
	listener, err := transport.Listen(s.loop, transport.NewBudget(descriptors), addr, s.accept)
	if err != nil {
		return nil, err
	}
	s.listener = listener
	go s.loop.Run() // until Close
	return s, nil
}

// Addr returns where the server listens.
func (s *Server) Addr() string { return s.listener.Addr() }

// Close stops the server.
func (s *Server) Close() {
	s.listener.Close()
	s.loop.Stop()
}

// accept begins a connection.
func (s *Server) accept(conn *transport.Conn) {
	if len(s.connections) >= s.maxConnections {
		s.connections[0].finish()
	}
	c := &connection{server: s, conn: conn}
	s.connections = append(s.connections, c)
	conn.SetHandler(c)
	c.timeout = s.loop.After(callTimeout, c.finish)
}

// connection is one operator's. It gets one answer.
type connection struct {
	server  *Server
	conn    *transport.Conn
	line    []byte
	timeout *dispatch.Timer
}

// finish closes the connection once the answer, if any, is written.
func (c *connection) finish() {
	c.conn.Finish()
	c.Closed(nil)
}

// Closed forgets the connection.
func (c *connection) Closed(error) {
	c.timeout.Stop()
	if i := slices.Index(c.server.connections, c); i >= 0 {
		c.server.connections = slices.Delete(c.server.connections, i, i+1)
	}
}

// Data takes in what has come, and answers a complete call.
func (c *connection) Data(_ time.Duration, b []byte) {
	c.line = append(c.line, b...)
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
