package dispatch

import "time"

// ConnectionGate stands before new connections to servers and before probes. All calls are on the loop; none may wait.
type ConnectionGate interface {
	// ServerListed tells of a server that the list in force names, and of its last start (Unix time; 0: long ago).
	ServerListed(server string, started time.Duration)
	// MayDial is asked before each new connection; a yes is for that one. Of a no: after how long to ask again.
	MayDial(now time.Duration, server string) (after time.Duration, ok bool)
	// MayProbe is asked before each probe; one that may not go ends as if the server had sent it away.
	MayProbe(now time.Duration, server string) bool
}

// SetConnectionGate puts a gate in place. It must be called before the loop runs.
func (c *Dispatcher) SetConnectionGate(g ConnectionGate) { c.connectionGate = g }

// MayDial asks the gate, if there is one, for a new connection to an address.
func (c *Dispatcher) MayDial(addr string) (after time.Duration, ok bool) {
	if c.connectionGate == nil {
		return 0, true
	}
	for id, at := range c.addresses {
		if at == addr {
			return c.connectionGate.MayDial(c.loop.Now(), c.serverName(id))
		}
	}
	return 0, true // no list names it any more
}
