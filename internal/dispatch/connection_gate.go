package dispatch

import "time"

// ConnectionGate limits new connections to servers and probes. Its methods are called on the loop and must not block.
type ConnectionGate interface {
	// ServerListed is called for each server that a list contains as ready or draining, with the Unix time of the server's
	// last start; 0 means long ago.
	ServerListed(server string, startedAt time.Duration)
	// MayDial is called before each new connection. It returns true if that connection is allowed, or else how long to wait
	// before trying again.
	MayDial(now time.Duration, server string) (retryAfter time.Duration, ok bool)
	// MayProbe is called before each probe. A probe that is not allowed ends with policy.Overloaded.
	MayProbe(now time.Duration, server string) bool
}

// SetConnectionGate sets the gate for new connections and probes. It must be called before the loop runs.
func (d *Dispatcher) SetConnectionGate(gate ConnectionGate) { d.connectionGate = gate }

// MayDial returns the gate's decision on a new connection to an address. The connection is allowed if there is no gate, or if
// the address belongs to no known server.
func (d *Dispatcher) MayDial(address string) (retryAfter time.Duration, ok bool) {
	if d.connectionGate == nil {
		return 0, true
	}
	server, found := d.servers.nameAt(address)
	if !found {
		return 0, true
	}
	return d.connectionGate.MayDial(d.loop.Now(), server)
}
