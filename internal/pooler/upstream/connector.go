package upstream

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/pooler/quota"
	"threadsail/internal/transport"
)

// Connector holds what is needed to connect to the servers of one protocol.
type Connector struct {
	Loop           *dispatch.EventLoop
	Budget         *transport.Budget // descriptors of the connections to all servers of the worker
	Pool           *transport.Pool
	Answers        *quota.Quota  // memory for answers; nil: no limit
	ConnectTimeout time.Duration // limit for dialing and for all messages before the request itself
	// MayDial reports whether a new connection to addr may be dialed now. If not, after is the delay before the next call. If
	// MayDial is nil, every dial is allowed.
	MayDial func(addr string) (after time.Duration, ok bool)
}

// CloseIdle closes the idle connections to the server at addr.
func (c *Connector) CloseIdle(addr string) { c.Pool.CloseIdle(addr) }

// Account holds the credentials with which the pooler logs in to the servers of one protocol, and the settings of its probes.
type Account struct {
	User, Password string
	Database       string
	Heartbeat      string       // the probe's second query, which returns a replica's position; empty if there is none
	Log            func(string) // logs a failure of a server
}
