package main

import (
	"time"

	"threadsail/internal/config"
	"threadsail/internal/policy"
	"threadsail/internal/simulator"
)

// instance is one simulated pooler: a policy.Router, and what is needed to translate for it. It is the policy.Actions of its
// Router, each of which becomes a record of the reply.
type instance struct {
	number        uint16
	router        *policy.Router
	reply         *simulator.Reply
	positionEpoch time.Duration
	reportFields  []string // what the values of a report are
}

// handle hands a message to the Router. Streams and messages between instances carry nothing that the policy uses.
func (i *instance) handle(now time.Duration, message simulator.Message) {
	switch message := message.(type) {
	case simulator.Request:
		i.router.HandleRequest(now, request(message))
	case simulator.Outcome:
		i.router.HandleOutcome(now, i.outcome(message))
	case simulator.ProbeResult:
		i.router.HandleProbeResult(now, policy.ProbeResult{Server: message.Server, Result: result(message.Result),
			Status: i.status(message.Report)})
	case simulator.Disconnect:
		i.router.HandleDisconnect(now, message.RequestID)
	case simulator.Timer:
		i.router.HandleTimer(now)
	}
}

// Attempt sends a request to a server.
func (i *instance) Attempt(id, server uint32, timeout time.Duration) {
	i.reply.Attempt(i.number, id, server, milliseconds(timeout))
}

// Reject ends a request: a retry is harmless.
func (i *instance) Reject(id uint32, after time.Duration) {
	i.reply.Reject(i.number, id, milliseconds(after))
}

// Fail ends a request that may have run.
func (i *instance) Fail(id uint32) { i.reply.Fail(i.number, id) }

// CancelAttempt stops waiting for an attempt.
func (i *instance) CancelAttempt(id uint32, attempt int) {
	i.reply.CancelAttempt(i.number, id, uint8(attempt))
}

// Probe checks a server.
func (i *instance) Probe(server uint32) { i.reply.Probe(i.number, server) }

// SetTimer asks for a call later.
func (i *instance) SetTimer(after time.Duration) {
	i.reply.SetTimer(i.number, milliseconds(after), 0)
}

// CloseIdleConnections closes the idle connections to a server.
func (i *instance) CloseIdleConnections(server uint32) {
	i.reply.CloseIdleConnections(i.number, server)
}

// WatchList subscribes to changes of the list.
func (i *instance) WatchList() { i.reply.WatchList(i.number, true) }

// PrimaryChanged logs an event of a group's primary.
func (i *instance) PrimaryChanged(event policy.PrimaryEvent) {
	if text := event.LogText(); text != "" {
		i.Log(text)
	}
}

// Log adds a line to the simulator's report.
func (i *instance) Log(text string) { i.reply.Log(i.number, text) }

// request translates a client's request.
func request(message simulator.Request) policy.Request {
	request := policy.Request{
		ID:             message.ID,
		Class:          int(message.Class),
		Group:          int(message.Group),
		Timeout:        config.Milliseconds(message.TimeoutMs),
		SinceLastWrite: config.Milliseconds(float64(message.SinceLastWriteMs)),
	}
	if message.Session != 0 {
		request.Sessions = []uint64{message.Session}
	}
	return request
}

// outcome translates the end of an attempt.
func (i *instance) outcome(message simulator.Outcome) policy.Outcome {
	outcome := policy.Outcome{
		RequestID: message.RequestID,
		Attempt:   int(message.Attempt),
		Server:    message.Server,
		Result:    result(message.Result),
		Answered:  message.RequestClosed,
		Status:    i.status(message.Report),
	}
	switch message.RolePosition & 3 {
	case 1:
		outcome.Role = policy.RolePrimary
	case 2:
		outcome.Role = policy.RoleReplica
	}
	if position := message.RolePosition >> 2; position > 0 {
		outcome.HasPosition = true
		outcome.Position = i.positionEpoch + time.Duration(position)*time.Millisecond
	}
	return outcome
}

// status translates a server's report by the names of its values.
func (i *instance) status(values []float32) policy.ServerStatus {
	var status policy.ServerStatus
	for n, value := range values[:min(len(values), len(i.reportFields))] {
		switch i.reportFields[n] {
		case "x0": // seconds of the clock up to which the server has applied everything
			status.HasPosition = true
			status.Position = i.positionEpoch + config.Milliseconds(float64(value)*1000)
		case "x1":
			status.HasRole, status.IsPrimary = true, value == 1
		case "cpu":
			status.Utilization = float64(value)
		}
	}
	return status
}

// members translates the entries of a list.
func members(entries []simulator.ServerEntry) []policy.Member {
	members := make([]policy.Member, len(entries))
	for i, entry := range entries {
		members[i] = policy.Member{
			ID:        entry.Server,
			Zone:      int(entry.Zone),
			Group:     int(entry.Group),
			State:     memberState(entry.Availability),
			Primary:   entry.Head == 1,
			StartedAt: config.Milliseconds(entry.StartedMs),
		}
	}
	return members
}

func memberState(availability simulator.Availability) policy.MemberState {
	switch availability {
	case simulator.Ready:
		return policy.Ready
	case simulator.Draining:
		return policy.Draining
	}
	return policy.Removed
}

func listKind(kind simulator.ListKind) policy.ListKind {
	switch kind {
	case simulator.ListDelta:
		return policy.ListDelta
	case simulator.ListFull:
		return policy.ListFull
	}
	return policy.ListCached
}

func result(code simulator.ResultCode) policy.Result {
	switch code {
	case simulator.ResultOK:
		return policy.OK
	case simulator.ResultMisdirected:
		return policy.Misdirected
	case simulator.ResultServerError:
		return policy.ServerError
	case simulator.ResultOverloaded:
		return policy.Overloaded
	case simulator.ResultTimedOut:
		return policy.TimedOut
	case simulator.ResultConnectFailed:
		return policy.ConnectFailed
	case simulator.ResultConnectionReset:
		return policy.ConnectionReset
	case simulator.ResultCancelled:
		return policy.Cancelled
	}
	return policy.NotSent
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
