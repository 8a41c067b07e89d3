package dispatch

import "time"

// ConnectionGate stands before new connections to servers and before probes. All calls are on the loop; none may wait.
type ConnectionGate interface {
	// ServerListed is called for each server that a list names as ready or draining, with the Unix time of its last start;
	// 0: long ago.
	ServerListed(server string, started time.Duration)
	// MayDial is called before each new connection and allows that one, or says after how long to try again.
	MayDial(now time.Duration, server string) (after time.Duration, ok bool)
	// MayProbe is called before each probe. A probe that is not allowed ends as if the server had been overloaded.
	MayProbe(now time.Duration, server string) bool
}

// SetConnectionGate puts a gate in place. It must be called before the loop runs.
func (d *Dispatcher) SetConnectionGate(gate ConnectionGate) { d.connectionGate = gate }

// MayDial returns the decision of the gate, if there is one, on a new connection to an address. An address that no list
// names any more is allowed.
func (d *Dispatcher) MayDial(address string) (after time.Duration, ok bool) {
	if d.connectionGate == nil {
		return 0, true
	}
	server, found := d.servers.nameAt(address)
	if !found {
		return 0, true
	}
	return d.connectionGate.MayDial(d.loop.Now(), server)
}
