package dispatch

import (
	"slices"
	"time"

	"threadsail/internal/policy"
)

// OnOutcome has f told, on the loop, what each attempt at a server met with, and how long it took from its choice on. Errored
// is told only where another server has then served the request, as the error may be the request's own, and Cancelled only
// where the module gave a silent server up. Attempts that were never sent are not told. It must be called before the loop runs.
func (c *Dispatcher) OnOutcome(f func(server string, class int, result policy.Result, took time.Duration)) {
	c.outcomeObserver = f
}

// observeOutcome tells an attempt's end.
func (o *OpenRequest) observeOutcome(k *inFlightAttempt, result policy.Result) {
	took := o.dispatcher.loop.Now() - k.chosenAt
	tell := func(store uint32, result policy.Result) {
		if server := o.dispatcher.serverName(store); server != "" {
			o.dispatcher.outcomeObserver(server, o.request.Class, result, took)
		}
	}
	switch {
	case result == policy.NotSent || result == policy.Cancelled && o.ended:
		return
	case result == policy.ServerError:
		o.failedServers = append(o.failedServers, k.server)
		return
	case result == policy.OK:
		slices.Sort(o.failedServers)
		for _, store := range slices.Compact(o.failedServers) {
			if store != k.server {
				tell(store, policy.ServerError)
			}
		}
		o.failedServers = nil
	}
	tell(k.server, result)
}

// SetEjectedByFleet takes in the fleet's word that a server is bad, or no longer. One that no list here has named is passed over.
func (c *Dispatcher) SetEjectedByFleet(server string, bad bool) {
	if id, ok := c.serverIDs[server]; ok {
		c.router.ObserveFleetEjection(c.loop.Now(), id, bad)
	}
}

// ReadyMembers are the servers that the list holds to be ready, by group.
func (c *Dispatcher) ReadyMembers() map[int][]string {
	out := map[int][]string{}
	for id, group := range c.readyGroups {
		if name := c.serverName(id); name != "" {
			out[group] = append(out[group], name)
		}
	}
	return out
}
