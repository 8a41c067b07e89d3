package distribution

import (
	"context"
	"net"
	"time"

	"threadsail/internal/fleet/replication"
)

// Endpoint is a distributor as the others know it: its name among the poolers, the address of its streams, and its region.
type Endpoint struct{ Name, Addr, Region string }

// Resource is a replica that the streams keep up to date: the fleet's documents, or the list of servers.
type Resource struct {
	Name            string
	Replica         *replication.Replica
	FullReplacement bool // as replication.History.FullReplacement
}

// Status is what a pooler reports of itself.
type Status struct {
	Build    string `json:"build,omitempty"`  // version of the program
	Config   string `json:"config,omitempty"` // digest of the configuration in force
	Token    uint64 `json:"token,omitempty"`  // of the list in force, as discoveryleader.Announcement
	Sequence uint64 `json:"seq,omitempty"`
}

// Dialer opens a connection, and fails once ctx has ended.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// dialTCP is the Dialer of a pooler that names none.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// Counter counts the frames on the streams by their kind, with their size on the connection in bytes. Its methods must not wait.
type Counter interface {
	In(kind string, bytes int)
	Out(kind string, bytes int)
}

// noopCounter is the Counter of a pooler that names none.
type noopCounter struct{}

func (noopCounter) In(string, int)  {}
func (noopCounter) Out(string, int) {}

// setDefaults fills in what options leave out.
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

// sleep waits for a while, or until ctx ends.
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
