package upstream

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/transport"
)

// Connector is how servers of one kind are reached.
type Connector struct {
	Loop           *dispatch.EventLoop
	Budget         *transport.Budget // of the connections to all servers of the worker
	Pool           *transport.Pool
	ConnectTimeout time.Duration // for everything that goes before the request itself
	// MayDial is asked before each new connection; nil: none need be. Where it returns false, after is how long to wait before it is
	// asked again.
	MayDial func(addr string) (after time.Duration, ok bool)
}

// CloseIdle closes the idle connections to a server.
func (s *Connector) CloseIdle(addr string) { s.Pool.CloseIdle(addr) }

// Account is how the pooler logs in at servers of one kind, and what it asks them in probes.
type Account struct {
	User, Password string
	Database       string
	Heartbeat      string       // the probe's second query, whose answer is a position; empty: none
	Log            func(string) // where servers' failures are logged
}
