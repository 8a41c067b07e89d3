// Package policy implements request routing for one pooler of replicated database groups: it decides
// which server each request is sent to and when. It is a state machine without I/O. The host reports
// each event by calling a method of the Router, and the Router responds by calling the Actions that
// the host implements.
//
// # Decisions
//
//   - which server of a group is its primary (primary_tracking.go, probe_rounds.go);
//   - which server a request is sent to (write_routing.go, replica_selection.go, read_staleness.go);
//   - whether a request waits in its group's queue, and for how long (admission.go);
//   - whether a request is retried, and its final answer if it is not served (retry.go);
//   - which servers are unreachable, silent or ejected (health_check.go, outlier_detection.go);
//   - how many concurrent attempts a server receives, with a lower limit after its start
//     (concurrency_window.go, slow_start.go);
//   - how a change of the endpoint list is applied (endpoints.go).
//
// # State
//
// A Router owns all of its state: servers, groups, open requests, latency estimates, session
// positions, which the Routers of a process may share, and pending timers. The types are in server.go,
// group.go, request.go, latency.go, sessions.go and timers.go; the decisions are in the files listed
// above.
//
// A Router starts no goroutines and reads no clock. It is not safe for concurrent use: the host
// must call it from one goroutine or hold a lock. It is deterministic: the same settings, seed and
// events produce the same actions in the same order. All times are durations since an epoch that
// the host chooses and that is the same for all poolers and servers.
//
// # Life of a request
//
// HandleRequest sends a request immediately if a server is available for it, and otherwise adds it
// to the queue of its group. A queued request is tried again on each event that may have made a
// server available, and every positionRefreshInterval. A request with an attempt in flight is not
// queued. If the attempt ends without an answer, the request is retried, queued again or finished.
// A request is finished when it is answered, when its client has disconnected, when an answer would
// no longer have any value, or shortly before its client times out. Its state is deleted when it is
// finished and no attempt is in flight.
//
// # Terms
//
//   - A pooler is an instance of the program that hosts a Router. The poolers of a fleet share the
//     servers. A fleet of more than maxSmallFleet poolers is large; its poolers limit work whose total
//     grows with their number, such as pings.
//   - The recorded primary of a group is the server that this pooler considers its primary, according
//     to the most recent evidence.
//   - A probe round probes all members of a group that has no recorded primary. The round leader is
//     the one pooler that repeats rounds on behalf of the fleet.
//   - A position is how far a server has applied its group's log, expressed as the commit time of the
//     last write that it has applied.
//   - A pooler's home in a group is the replica that it prefers, in a large fleet.
//   - An ejected server is excluded from the regular selection of replicas. At intervals one read is
//     sent to it as a trial.
//   - A latency ratio is a latency divided by the baseline, the latency of the request's class without
//     queueing. A server with a ratio above congestedLatencyRatio is congested.
//
// # Requirements on the host
//
//  1. Create the Router with New, and pass the endpoint list to HandleList before the first request.
//  2. Report each event without delay and with the current time: HandleRequest, HandleOutcome,
//     HandleProbeResult, HandleList, HandleTimer and HandleDisconnect. A time earlier than one already
//     reported is replaced by the latest reported time.
//  3. Perform the actions in the order in which they are called. An action must not call the Router.
//  4. Respond to each Attempt with one Outcome, to each Probe with one ProbeResult, to each SetTimer
//     with one HandleTimer call, and to each WatchList with at least one HandleList call (ListFailed
//     if it did not succeed).
//  5. Call MayStillSend right before writing an attempt, and again if it had to wait for its connection.
//     If it returns false, report the attempt as NotSent or Misdirected. Call SentTooLate once its last
//     byte is written.
//
// In return, each request receives exactly one final answer in time: an attempt that ended as OK with
// Outcome.Answered set, or one call of Actions.Reject or Actions.Fail. Outcomes of unknown attempts
// are ignored.
//
// Sharing observations between poolers is optional: ObservePrimary, ReportPrimaryDown,
// ObserveFleetEjection, SetRoundLeader. Without these calls a Router uses only its own evidence.
//
// # Limits and guarantees
//
// The package opens no connections, parses no statements, authenticates no clients and has no durable
// storage. It never executes a non-idempotent request twice, sends nothing to a server after its drain
// grace period, and sends no read to a server whose known position is older than the request's class
// allows.
package policy
