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
