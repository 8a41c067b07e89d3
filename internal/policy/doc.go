// Package policy decides, for one pooler of replicated database groups, which server each request
// goes to and when. It is a state machine without I/O: the host reports what happened through one
// Router method per event, and the Router answers through the Actions that the host implements.
//
// # What it decides
//
//   - which server of a group is its primary (primary_tracking.go, probe_rounds.go);
//   - which server a request is sent to (write_routing.go, replica_selection.go, read_staleness.go);
//   - whether a request waits in the group's queue, and for how long (admission.go);
//   - whether a request may be sent again, and its final answer when it is not served (retry.go);
//   - which servers are unreachable, silent or ejected (health_check.go, outlier_detection.go);
//   - how many attempts a server may hold, also after its start (concurrency_window.go, slow_start.go);
//   - what a change of the endpoint list means (endpoints.go).
//
// # What it owns
//
// A Router owns everything that it remembers: servers, groups, open requests, latency estimates,
// session positions and pending timers. The files server.go, group.go, request.go, latency.go,
// sessions.go and timers.go hold these records; they decide nothing.
//
// A Router starts no goroutine and reads no clock. It is not safe for concurrent use: the host
// calls it from one goroutine, or under one lock. The same settings, seed and events always lead to
// the same actions in the same order. All instants are durations since one epoch that the host
// chooses, and that all poolers and servers share.
//
// # Life of a request
//
// HandleRequest sends a request at once if there is a server for it, else it waits in the queue of
// its group. A queued request is tried again at each event that may have freed a server for it, and
// every positionRefreshInterval. While an attempt is in flight the request is not queued. When the
// attempt ends without an answer, the request is sent again, queued again, or finished. A request is
// finished when it is answered, when its client has left, when its answer would earn nothing any
// more, and shortly before its client gives up. It is forgotten once no attempt is in flight.
//
// # Terms
//
//   - A pooler is an instance of the program that hosts a Router; the poolers of a fleet share the
//     servers. A fleet of more than maxSmallFleet poolers is large: its poolers avoid all that would
//     add up, such as pings by each of them.
//   - The recorded primary of a group is the server that this pooler holds to be its primary, by the
//     latest evidence.
//   - A probe round probes all members of a group that has no recorded primary. The round leader is
//     the one pooler that repeats rounds for the whole fleet.
//   - A position is how far a server has applied its group's log, as the commit time of the last
//     write that it has applied.
//   - A pooler's home in a group is the replica that it prefers in a large fleet.
//   - An ejected server takes no reads by turns. From time to time one read is sent there as a trial.
//   - A latency ratio is a latency in baselines, where the baseline is the latency of the request's
//     class without queues. Over congestedLatencyRatio a server is congested.
//
// # What the host must do
//
//  1. Create the Router with New, and pass the endpoint list to HandleList before the first request.
//  2. Report each event at once, with the current time: HandleRequest, HandleOutcome,
//     HandleProbeResult, HandleList, HandleTimer and HandleDisconnect. A time that is earlier than
//     one already reported is read as the latest one.
//  3. Carry out each action in the order of the calls. An action must not call back into the Router.
//  4. Answer each Attempt with one Outcome, each Probe with one ProbeResult, each SetTimer with one
//     HandleTimer call, and each WatchList with at least one HandleList call (ListFailed where it
//     did not succeed).
//  5. Ask MayStillSend before an attempt is written that had to wait for its connection, and report
//     the attempt as NotSent or Misdirected where the answer is no.
//
// In return each request has exactly one final answer in time: an attempt that ended as OK with
// Outcome.Answered set, or one call of Actions.Reject or Actions.Fail. An outcome of an unknown
// attempt is ignored.
//
// What poolers tell each other is optional: ObservePrimary, ReportPrimaryDown,
// ObserveFleetEjection, SetRoundLeader. A Router without these decides from its own evidence.
//
// # What it does not do
//
// The package opens no connection, parses no statement, authenticates nobody, and stores nothing
// durably. It never executes a request that is not idempotent twice, sends nothing to a server
// after its drain's grace period, and sends no read to a server whose proven position is older than
// the request's class allows.
package policy
