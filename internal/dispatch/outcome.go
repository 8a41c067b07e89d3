package dispatch

import (
	"slices"
	"time"

	"threadsail/internal/policy"
)

// OutcomeObserver is called on the loop with the end of an attempt and how long it took from its start on.
type OutcomeObserver = func(server string, class int, result policy.Result, took time.Duration)

// OnOutcome sets the observer of attempts at servers. policy.ServerError is reported only where another server has then
// served the request, as the error may be the request's own, and policy.Cancelled only where the policy gave a silent server
// up. Attempts that were never sent are not reported. OnOutcome must be called before the loop runs.
func (d *Dispatcher) OnOutcome(observer OutcomeObserver) { d.outcomeObserver = observer }

// observeOutcome reports the end of an attempt to the observer.
func (o *OpenRequest) observeOutcome(a *attempt, result policy.Result) {
	took := o.dispatcher.loop.Now() - a.startedAt
	switch {
	case result == policy.NotSent || result == policy.Cancelled && o.ended:
		return
	case result == policy.ServerError:
		o.failedServers = append(o.failedServers, a.server)
		return
	case result == policy.OK:
		o.reportFailedServers(a.server, took)
	}
	o.reportOutcome(a.server, result, took)
}

// reportFailedServers reports the errors of a request that another server has then served, once a server.
func (o *OpenRequest) reportFailedServers(servedBy uint32, took time.Duration) {
	slices.Sort(o.failedServers)
	for _, server := range slices.Compact(o.failedServers) {
		if server != servedBy {
			o.reportOutcome(server, policy.ServerError, took)
		}
	}
	o.failedServers = nil
}

func (o *OpenRequest) reportOutcome(server uint32, result policy.Result, took time.Duration) {
	if name := o.dispatcher.servers.name(server); name != "" {
		o.dispatcher.outcomeObserver(name, o.request.Class, result, took)
	}
}

// SetEjectedByFleet takes in that the fleet ejects a server, or no longer does. A server that no list here has named is
// passed over.
func (d *Dispatcher) SetEjectedByFleet(server string, ejected bool) {
	if id, ok := d.servers.ids[server]; ok {
		d.router.ObserveFleetEjection(d.loop.Now(), id, ejected)
	}
}
