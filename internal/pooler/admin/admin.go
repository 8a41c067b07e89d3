// Package admin is the operators' door: it tells whether the pooler takes clients, and its figures. It runs on a loop
// and on descriptors of its own and answers from what was last published, so that a busy pooler keeps nobody waiting.
package admin

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/fleet/coordination"
	"threadsail/internal/protocol/admin"
	"threadsail/internal/transport"
)

const (
	maxDescriptors  = 24 // descriptors
	descriptorShare = 16 // one in so many of the limit's
	minDescriptors  = 2
	callTimeout     = 10 * time.Second
)

// Descriptors is how many the door may hold of a limit.
func Descriptors(limit int) int {
	return min(max(limit/descriptorShare, minDescriptors), maxDescriptors)
}

// Metrics is what the pooler reports.
type Metrics struct {
	Serving                                      bool // clients are taken in
	Reloads, ReloadErrors                        uint64
	Classes                                      []dispatch.ClassCounters
	PendingRequests, Servers, UnavailableServers int
	Lists                                        []ListStatus // of fronts that take their servers from a file
	Fleet                                        *FleetStatus // nil: the pooler is on its own
}

// FleetStatus is how the pooler's part in its fleet stands.
type FleetStatus = coordination.Status

// ListStatus is how a front's list of servers stands.
type ListStatus struct {
	Front                 string
	Generation            uint64 // in force
	Taken, Held, Rejected uint64 // candidates, since the start
	Holding               bool   // one is held now
}

// Server answers operators.
type Server struct {
	loop           *dispatch.EventLoop
	listener       *transport.Listener
	metrics        func() Metrics
	connections    []*connection // in the order of their coming
	maxConnections int           // of them: the one that has waited longest makes room
}

// Listen opens the door, with so many descriptors, a third of them for callers on their way out. figures is called on the
// door's own goroutine and must not wait.
func Listen(addr string, descriptors int, figures func() Metrics) (*Server, error) {
	d := &Server{loop: dispatch.NewEventLoop(), metrics: figures, maxConnections: max(descriptors*2/3, 1)}
	ln, err := transport.Listen(d.loop, transport.NewBudget(descriptors), addr, d.accept)
	if err != nil {
		return nil, err
	}
	d.listener = ln
	go d.loop.Run()
	return d, nil
}

// Addr is where it listens.
func (d *Server) Addr() string { return d.listener.Addr() }

// Close ends it.
func (d *Server) Close() {
	d.listener.Close()
	d.loop.Stop()
}

// connection is one connection. It gets one answer.
type connection struct {
	server  *Server
	conn    *transport.Conn
	line    []byte
	timeout *dispatch.Timer
}

func (d *Server) accept(c *transport.Conn) {
	if len(d.connections) >= d.maxConnections {
		d.connections[0].finish()
	}
	k := &connection{server: d, conn: c}
	d.connections = append(d.connections, k)
	c.SetHandler(k)
	k.timeout = d.loop.After(callTimeout, k.finish)
}

// finish closes the connection once the answer, if any, is written.
func (k *connection) finish() {
	k.conn.Finish()
	k.Closed(nil)
}

func (k *connection) Closed(error) {
	k.timeout.Stop()
	for i, x := range k.server.connections {
		if x == k {
			k.server.connections = append(k.server.connections[:i], k.server.connections[i+1:]...)
			return
		}
	}
}

func (k *connection) Data(_ time.Duration, b []byte) {
	k.line = append(k.line, b...)
	call, ok, err := admin.Next(k.line)
	switch {
	case err != nil:
		k.conn.Write(admin.AppendError(nil, err.Error()))
	case !ok:
		return
	case call == admin.Ping && k.server.metrics().Serving:
		k.conn.Write(admin.AppendDone(nil))
	case call == admin.Ping:
		k.conn.Write(admin.AppendError(nil, "no clients are taken in"))
	case call == admin.Info:
		k.conn.Write(formatMetrics(k.server.metrics()))
	default:
		k.conn.Write(admin.AppendError(nil, "unknown call"))
	}
	k.finish()
}

// formatMetrics writes the figures.
func formatMetrics(f Metrics) []byte {
	b := admin.AppendDone(nil)
	for _, c := range f.Classes {
		lane := admin.Label{Name: "lane", Value: c.Class}
		for _, r := range []struct {
			result string
			count  uint64
		}{{"completed", c.Served}, {"rejected", c.Rejected}, {"failed", c.Failed}} {
			b = admin.AppendFigure(b, "downstream_requests", r.count, lane, admin.Label{Name: "result", Value: r.result})
		}
		b = admin.AppendFigure(b, "upstream_requests", c.Attempts, lane)
	}
	for _, g := range []struct {
		name  string
		value uint64
	}{{"pending", uint64(f.PendingRequests)}, {"members", uint64(f.Servers)}, {"members_unavailable", uint64(f.UnavailableServers)},
		{"config_reloads", f.Reloads}, {"config_reload_errors", f.ReloadErrors}} {
		b = admin.AppendFigure(b, g.name, g.value)
	}
	if fl := f.Fleet; fl != nil {
		b = admin.AppendFigure(b, "shared_version", fl.DocumentsVersion)
		if fl.DocumentsAge >= 0 {
			b = admin.AppendFigure(b, "shared_age_ms", uint64(fl.DocumentsAge.Milliseconds()))
		}
		b = admin.AppendFigure(b, "journal_acts_dropped", fl.JournalRecordsDropped)
		b = admin.AppendFigure(b, "fleet_poolers", uint64(fl.Poolers))
		for _, way := range []string{"gossip", "stream", "distributor", "none"} {
			b = admin.AppendFigure(b, "fleet_way", boolValue(fl.Way == way), admin.Label{Name: "way", Value: way})
		}
		b = admin.AppendFigure(b, "streams", uint64(fl.Streams))
		b = admin.AppendFigure(b, "fleet_behind", uint64(fl.PoolersBehind))
		b = admin.AppendFigure(b, "fleet_oldest_version", fl.OldestVersion)
		for _, t := range fl.Traffic {
			kind := admin.Label{Name: "kind", Value: t.Kind}
			in, out := admin.Label{Name: "way", Value: "in"}, admin.Label{Name: "way", Value: "out"}
			b = admin.AppendFigure(b, "fleet_bytes", t.BytesIn, kind, in)
			b = admin.AppendFigure(b, "fleet_bytes", t.BytesOut, kind, out)
			b = admin.AppendFigure(b, "fleet_messages", t.MessagesIn, kind, in)
			b = admin.AppendFigure(b, "fleet_messages", t.MessagesOut, kind, out)
		}
		for _, d := range []struct {
			what  string
			fails bool
		}{{"copy", fl.ReplicaWriteFailing}, {"journal", fl.JournalWriteFailing}, {"steward", fl.VoterWriteFailing}} {
			b = admin.AppendFigure(b, "disk_failing", boolValue(d.fails), admin.Label{Name: "file", Value: d.what})
		}
	}
	for _, l := range f.Lists {
		front := admin.Label{Name: "front", Value: l.Front}
		b = admin.AppendFigure(b, "list_generation", l.Generation, front)
		b = admin.AppendFigure(b, "list_holding", boolValue(l.Holding), front)
		for _, r := range []struct {
			result string
			count  uint64
		}{{"taken", l.Taken}, {"held", l.Held}, {"turned_down", l.Rejected}} {
			b = admin.AppendFigure(b, "list_candidates", r.count, front, admin.Label{Name: "result", Value: r.result})
		}
	}
	return admin.AppendEnd(b)
}

func boolValue(is bool) uint64 {
	if is {
		return 1
	}
	return 0
}
