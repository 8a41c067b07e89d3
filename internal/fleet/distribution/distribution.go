package distribution

import (
	"context"
	"net"
	"time"

	"threadsail/internal/fleet/replication"
)

// Endpoint identifies a distributor: its name as a pooler, the address on which it accepts streams, and its region.
type Endpoint struct{ Name, Addr, Region string }

// Resource is a named replica that is kept up to date over the streams: the documents of the fleet, or the list of servers.
type Resource struct {
	Name            string
	Replica         *replication.Replica
	FullReplacement bool // see replication.History.FullReplacement
}

// Status is the state that a pooler reports about itself.
type Status struct {
	Build    string `json:"build,omitempty"`  // version of the program
	Config   string `json:"config,omitempty"` // digest of the configuration in force
	Token    uint64 `json:"token,omitempty"`  // fencing token of the list in force, as in discoveryleader.Announcement
	Sequence uint64 `json:"seq,omitempty"`    // sequence number of the list in force, as in discoveryleader.Announcement
}

// Dialer opens a connection to an address. It returns an error once ctx has ended.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// dialTCP is the default Dialer.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// Counter counts the frames received (In) and sent (Out) on the streams, by their kind and with their length on the connection in bytes.
// Its methods must not block.
type Counter interface {
	In(kind string, bytes int)
	Out(kind string, bytes int)
}

// noopCounter is the default Counter, which counts nothing.
type noopCounter struct{}

func (noopCounter) In(string, int)  {}
func (noopCounter) Out(string, int) {}

// setDefaults sets the options that are nil to their defaults.
func setDefaults(dial *Dialer, counter *Counter, log *func(string)) {
	if *dial == nil {
		*dial = dialTCP
	}
	if *counter == nil {
		*counter = noopCounter{}
	}
	if *log == nil {
		*log = func(string) {}
	}
}

// sleep blocks for the duration d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
