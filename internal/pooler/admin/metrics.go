package admin

import (
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/fleet/coordination"
	"threadsail/internal/protocol/admin"
)

// Metrics is a snapshot of the metrics and the status that the pooler reports to operators.
type Metrics struct {
	Serving                                      bool // the pooler accepts clients
	Reloads, ReloadErrors                        uint64
	Classes                                      []dispatch.ClassCounters
	PendingRequests, Servers, UnavailableServers int
	Frontends                                    []FrontendStatus
	Lists                                        []ListStatus // one for each frontend that reads its list of servers from a file
	Fleet                                        *FleetStatus // nil if the pooler runs without a fleet
}

// FleetStatus is the status of the pooler as part of a fleet.
type FleetStatus = coordination.Status

// FrontendStatus is the status of a frontend's clients and of its event loop.
type FrontendStatus struct {
	Front                                      string // name of the frontend
	Clients                                    int    // connected
	Waiting                                    int    // clients that wait for memory, or for other clients' commands to be answered
	RequestBytes, AnswerBytes                  int    // held beyond the clients' allowances
	EvictedSilent, EvictedIdle, EvictedStalled uint64 // clients that were disconnected since the start, by reason
	Refused                                    uint64 // connections for which there was no place
	Waits                                      uint64 // commands that had to wait
	Shed                                       uint64 // messages that were discarded for want of memory
	LongestRound                               time.Duration
}

// ListStatus is the status of a frontend's list of servers.
type ListStatus struct {
	Front                 string // name of the frontend
	Generation            uint64 // generation of the list in force
	Taken, Held, Rejected uint64 // number of candidates with each outcome since the start
	Holding               bool   // a candidate is held at present
}

// documentTransports are the possible values of FleetStatus.DocumentTransport. The metric fleet_way has one sample for each.
var documentTransports = []string{"gossip", "stream", "distributor", "none"}

// labeledValue is one sample of a metric, with the value of its label.
type labeledValue struct {
	label string
	value uint64
}

// formatMetrics returns the answer to an Info call, with the metrics in the Prometheus text format between its first and its last
// line.
func formatMetrics(metrics Metrics) []byte {
	b := admin.AppendDone(nil)
	b = appendClasses(b, metrics.Classes)
	b = admin.AppendFigure(b, "pending", uint64(metrics.PendingRequests))
	b = admin.AppendFigure(b, "members", uint64(metrics.Servers))
	b = admin.AppendFigure(b, "members_unavailable", uint64(metrics.UnavailableServers))
	b = admin.AppendFigure(b, "config_reloads", metrics.Reloads)
	b = admin.AppendFigure(b, "config_reload_errors", metrics.ReloadErrors)
	if metrics.Fleet != nil {
		b = appendFleet(b, metrics.Fleet)
	}
	for _, frontend := range metrics.Frontends {
		b = appendFrontend(b, frontend)
	}
	for _, list := range metrics.Lists {
		b = appendList(b, list)
	}
	return admin.AppendEnd(b)
}

// appendClasses appends the request counters of each class.
func appendClasses(b []byte, classes []dispatch.ClassCounters) []byte {
	for _, class := range classes {
		classLabel := admin.Label{Name: "lane", Value: class.Class}
		for _, result := range []labeledValue{{"completed", class.Served}, {"rejected", class.Rejected}, {"failed", class.Failed}} {
			b = admin.AppendFigure(b, "downstream_requests", result.value, classLabel, admin.Label{Name: "result", Value: result.label})
		}
		b = admin.AppendFigure(b, "upstream_requests", class.Attempts, classLabel)
	}
	return b
}

// appendFrontend appends the status of a frontend.
func appendFrontend(b []byte, frontend FrontendStatus) []byte {
	front := admin.Label{Name: "front", Value: frontend.Front}
	b = admin.AppendFigure(b, "clients", uint64(frontend.Clients), front)
	b = admin.AppendFigure(b, "clients_waiting", uint64(frontend.Waiting), front)
	for _, closed := range []labeledValue{{"silent", frontend.EvictedSilent}, {"idle", frontend.EvictedIdle}, {"stalled", frontend.EvictedStalled},
		{"refused", frontend.Refused}} {
		b = admin.AppendFigure(b, "clients_closed", closed.value, front, admin.Label{Name: "reason", Value: closed.label})
	}
	for _, held := range []labeledValue{{"requests", uint64(frontend.RequestBytes)}, {"answers", uint64(frontend.AnswerBytes)}} {
		b = admin.AppendFigure(b, "buffered_bytes", held.value, front, admin.Label{Name: "of", Value: held.label})
	}
	b = admin.AppendFigure(b, "commands_waited", frontend.Waits, front)
	b = admin.AppendFigure(b, "messages_shed", frontend.Shed, front)
	return admin.AppendFigure(b, "loop_longest_us", uint64(frontend.LongestRound.Microseconds()), front)
}

// appendFleet appends the metrics of the fleet.
func appendFleet(b []byte, fleet *FleetStatus) []byte {
	b = admin.AppendFigure(b, "shared_version", fleet.DocumentsVersion)
	if fleet.DocumentsAge >= 0 {
		b = admin.AppendFigure(b, "shared_age_ms", uint64(fleet.DocumentsAge.Milliseconds()))
	}
	b = admin.AppendFigure(b, "journal_acts_dropped", fleet.JournalRecordsDropped)
	b = admin.AppendFigure(b, "fleet_poolers", uint64(fleet.Poolers))
	for _, documentTransport := range documentTransports {
		b = admin.AppendFigure(b, "fleet_way", boolValue(fleet.DocumentTransport == documentTransport),
			admin.Label{Name: "way", Value: documentTransport})
	}
	b = admin.AppendFigure(b, "streams", uint64(fleet.Streams))
	b = admin.AppendFigure(b, "fleet_behind", uint64(fleet.PoolersBehind))
	b = admin.AppendFigure(b, "fleet_oldest_version", fleet.OldestVersion)
	b = appendTraffic(b, fleet)
	for _, file := range []labeledValue{{"copy", boolValue(fleet.ReplicaWriteFailing)}, {"journal", boolValue(fleet.JournalWriteFailing)},
		{"steward", boolValue(fleet.VoterWriteFailing)}} {
		b = admin.AppendFigure(b, "disk_failing", file.value, admin.Label{Name: "file", Value: file.label})
	}
	return b
}

// appendTraffic appends the bytes and messages exchanged with the other poolers and the voters, by kind.
func appendTraffic(b []byte, fleet *FleetStatus) []byte {
	inLabel, outLabel := admin.Label{Name: "way", Value: "in"}, admin.Label{Name: "way", Value: "out"}
	for _, count := range fleet.Traffic {
		kindLabel := admin.Label{Name: "kind", Value: count.Kind}
		b = admin.AppendFigure(b, "fleet_bytes", count.BytesIn, kindLabel, inLabel)
		b = admin.AppendFigure(b, "fleet_bytes", count.BytesOut, kindLabel, outLabel)
		b = admin.AppendFigure(b, "fleet_messages", count.MessagesIn, kindLabel, inLabel)
		b = admin.AppendFigure(b, "fleet_messages", count.MessagesOut, kindLabel, outLabel)
	}
	return b
}

// appendList appends the status of a frontend's list of servers.
func appendList(b []byte, list ListStatus) []byte {
	frontLabel := admin.Label{Name: "front", Value: list.Front}
	b = admin.AppendFigure(b, "list_generation", list.Generation, frontLabel)
	b = admin.AppendFigure(b, "list_holding", boolValue(list.Holding), frontLabel)
	for _, result := range []labeledValue{{"taken", list.Taken}, {"held", list.Held}, {"turned_down", list.Rejected}} {
		b = admin.AppendFigure(b, "list_candidates", result.value, frontLabel, admin.Label{Name: "result", Value: result.label})
	}
	return b
}

// boolValue returns 1 for true and 0 for false.
func boolValue(value bool) uint64 {
	if value {
		return 1
	}
	return 0
}
