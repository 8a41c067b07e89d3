package dispatch

import (
	"slices"
	"time"

	"threadsail/internal/policy"
)

// OutcomeObserver is called on the loop with the result of an attempt and the time since its start.
type OutcomeObserver = func(server string, class int, result policy.Result, duration time.Duration)

// OnOutcome sets the observer of attempts. policy.ServerError is reported only if another server served the request
// afterwards, as the request itself may have caused the error. policy.Cancelled is reported only if the policy cancelled the
// attempt because the server did not respond. Attempts that were never sent are not reported. OnOutcome must be called before
// the loop runs.
func (d *Dispatcher) OnOutcome(observer OutcomeObserver) { d.outcomeObserver = observer }

// observeOutcome reports the result of an attempt to the observer, or records it for reportFailedServers.
func (o *OpenRequest) observeOutcome(a *attempt, result policy.Result) {
	duration := o.dispatcher.loop.Now() - a.startedAt
	switch {
	case result == policy.NotSent || result == policy.Cancelled && o.ended:
		return
	case result == policy.ServerError:
		o.failedServers = append(o.failedServers, a.server)
		return
	case result == policy.OK:
		o.reportFailedServers(a.server, duration)
	}
	o.reportOutcome(a.server, result, duration)
}

// reportFailedServers reports an error for each server that failed a request before another server served it, once per server.
func (o *OpenRequest) reportFailedServers(servedBy uint32, duration time.Duration) {
	slices.Sort(o.failedServers)
	for _, server := range slices.Compact(o.failedServers) {
		if server != servedBy {
			o.reportOutcome(server, policy.ServerError, duration)
		}
	}
	o.failedServers = nil
}

func (o *OpenRequest) reportOutcome(server uint32, result policy.Result, duration time.Duration) {
	if name := o.dispatcher.servers.name(server); name != "" {
		o.dispatcher.outcomeObserver(name, o.request.Class, result, duration)
	}
}

// SetEjectedByFleet tells the policy whether the fleet ejects a server. It does nothing if no list of this pooler has named the
// server.
func (d *Dispatcher) SetEjectedByFleet(server string, ejected bool) {
	if id, ok := d.servers.ids[server]; ok {
		d.router.ObserveFleetEjection(d.loop.Now(), id, ejected)
	}
}
