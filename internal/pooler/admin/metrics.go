package admin

import (
	"threadsail/internal/dispatch"
	"threadsail/internal/fleet/coordination"
	"threadsail/internal/protocol/admin"
)

// Metrics is what the pooler reports.
type Metrics struct {
	Serving                                      bool // clients are accepted
	Reloads, ReloadErrors                        uint64
	Classes                                      []dispatch.ClassCounters
	PendingRequests, Servers, UnavailableServers int
	Lists                                        []ListStatus // of frontends that have their servers from a file
	Fleet                                        *FleetStatus // nil: the pooler runs on its own
}

// FleetStatus is how the pooler's part in its fleet stands.
type FleetStatus = coordination.Status

// ListStatus is how a frontend's list of servers stands.
type ListStatus struct {
	Front                 string // name of the frontend
	Generation            uint64 // in force
	Taken, Held, Rejected uint64 // candidates, since the start
	Holding               bool   // one is held now
}

// The ways of FleetStatus.DocumentTransport, each of which has a figure.
var fleetWays = []string{"gossip", "stream", "distributor", "none"}

// labelled is a value of one of several figures with the same name.
type labelled struct {
	label string
	value uint64
}

// formatMetrics returns the metrics as operators read them.
func formatMetrics(m Metrics) []byte {
	b := admin.AppendDone(nil)
	b = appendClasses(b, m.Classes)
	b = admin.AppendFigure(b, "pending", uint64(m.PendingRequests))
	b = admin.AppendFigure(b, "members", uint64(m.Servers))
	b = admin.AppendFigure(b, "members_unavailable", uint64(m.UnavailableServers))
	b = admin.AppendFigure(b, "config_reloads", m.Reloads)
	b = admin.AppendFigure(b, "config_reload_errors", m.ReloadErrors)
	if m.Fleet != nil {
		b = appendFleet(b, m.Fleet)
	}
	for _, list := range m.Lists {
		b = appendList(b, list)
	}
	return admin.AppendEnd(b)
}

// appendClasses appends the counters of each class.
func appendClasses(b []byte, classes []dispatch.ClassCounters) []byte {
	for _, c := range classes {
		lane := admin.Label{Name: "lane", Value: c.Class}
		for _, r := range []labelled{{"completed", c.Served}, {"rejected", c.Rejected}, {"failed", c.Failed}} {
			b = admin.AppendFigure(b, "downstream_requests", r.value, lane, admin.Label{Name: "result", Value: r.label})
		}
		b = admin.AppendFigure(b, "upstream_requests", c.Attempts, lane)
	}
	return b
}

// appendFleet appends how the fleet stands.
func appendFleet(b []byte, fleet *FleetStatus) []byte {
	b = admin.AppendFigure(b, "shared_version", fleet.DocumentsVersion)
	if fleet.DocumentsAge >= 0 {
		b = admin.AppendFigure(b, "shared_age_ms", uint64(fleet.DocumentsAge.Milliseconds()))
	}
	b = admin.AppendFigure(b, "journal_acts_dropped", fleet.JournalRecordsDropped)
	b = admin.AppendFigure(b, "fleet_poolers", uint64(fleet.Poolers))
	for _, way := range fleetWays {
		b = admin.AppendFigure(b, "fleet_way", boolValue(fleet.DocumentTransport == way), admin.Label{Name: "way", Value: way})
	}
	b = admin.AppendFigure(b, "streams", uint64(fleet.Streams))
	b = admin.AppendFigure(b, "fleet_behind", uint64(fleet.PoolersBehind))
	b = admin.AppendFigure(b, "fleet_oldest_version", fleet.OldestVersion)
	b = appendTraffic(b, fleet)
	for _, disk := range []labelled{{"copy", boolValue(fleet.ReplicaWriteFailing)}, {"journal", boolValue(fleet.JournalWriteFailing)},
		{"steward", boolValue(fleet.VoterWriteFailing)}} {
		b = admin.AppendFigure(b, "disk_failing", disk.value, admin.Label{Name: "file", Value: disk.label})
	}
	return b
}

// appendTraffic appends what the fleet's parts send and receive.
func appendTraffic(b []byte, fleet *FleetStatus) []byte {
	in, out := admin.Label{Name: "way", Value: "in"}, admin.Label{Name: "way", Value: "out"}
	for _, t := range fleet.Traffic {
		kind := admin.Label{Name: "kind", Value: t.Kind}
		b = admin.AppendFigure(b, "fleet_bytes", t.BytesIn, kind, in)
		b = admin.AppendFigure(b, "fleet_bytes", t.BytesOut, kind, out)
		b = admin.AppendFigure(b, "fleet_messages", t.MessagesIn, kind, in)
		b = admin.AppendFigure(b, "fleet_messages", t.MessagesOut, kind, out)
	}
	return b
}

// appendList appends how a frontend's list stands.
func appendList(b []byte, list ListStatus) []byte {
	front := admin.Label{Name: "front", Value: list.Front}
	b = admin.AppendFigure(b, "list_generation", list.Generation, front)
	b = admin.AppendFigure(b, "list_holding", boolValue(list.Holding), front)
	for _, r := range []labelled{{"taken", list.Taken}, {"held", list.Held}, {"turned_down", list.Rejected}} {
		b = admin.AppendFigure(b, "list_candidates", r.value, front, admin.Label{Name: "result", Value: r.label})
	}
	return b
}

// boolValue returns 1 for true and 0 for false.
func boolValue(is bool) uint64 {
	if is {
		return 1
	}
	return 0
}
