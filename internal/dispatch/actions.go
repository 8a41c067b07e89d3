package dispatch

import (
	"time"

	"threadsail/internal/policy"
)

// action is a step that is executed at the end of a round of events.
type action interface{ execute(d *Dispatcher) }

// actionQueue holds the actions of a round of events in the order in which they were requested.
type actionQueue []action

func (q *actionQueue) add(a action) { *q = append(*q, a) }

// executeActions executes the queued actions, including those that are queued while it runs. The loop calls it at the end of
// each round of events.
func (d *Dispatcher) executeActions() {
	for i := 0; i < len(d.actions); i++ {
		d.actions[i].execute(d)
		d.actions[i] = nil
	}
	d.actions = d.actions[:0]
}

// policyActions implements policy.Actions on a Dispatcher. It queues what the policy requests, because the actions may call
// the policy, which must not be re-entered.
type policyActions Dispatcher

// Attempt queues an attempt at a server.
func (p *policyActions) Attempt(id, server uint32, timeout time.Duration) {
	if o := p.requests.open[id]; o != nil {
		o.queuedAttempts++
	}
	p.actions.add(sendAttempt{request: id, server: server, timeout: timeout})
}

// Reject queues the rejection of a request. The client may retry, after retryAfter if that is not 0.
func (p *policyActions) Reject(id uint32, retryAfter time.Duration) {
	p.actions.add(concludeRequest{request: id, rejected: true, retryAfter: retryAfter})
}

// Fail queues the failure of a request, which may have been executed.
func (p *policyActions) Fail(id uint32) { p.actions.add(concludeRequest{request: id}) }

// CancelAttempt queues the cancellation of an attempt whose outcome is no longer needed.
func (p *policyActions) CancelAttempt(id uint32, number int) {
	p.actions.add(cancelAttempt{request: id, attempt: number})
}

// Probe queues a health check of a server.
func (p *policyActions) Probe(server uint32) { p.actions.add(probeServer{server: server}) }

// SetTimer schedules a call of the policy's HandleTimer after a delay.
func (p *policyActions) SetTimer(delay time.Duration) {
	p.loop.After(delay, func() { p.router.HandleTimer(p.loop.Now()) })
}

// CloseIdleConnections queues the closing of the idle connections to a server.
func (p *policyActions) CloseIdleConnections(server uint32) {
	p.actions.add(closeIdleConnections{server: server})
}

// WatchList queues a subscription to the list of servers.
func (p *policyActions) WatchList() { p.actions.add(watchList{}) }

// PrimaryChanged logs a change of a group's primary and queues a notification of each observer.
func (p *policyActions) PrimaryChanged(event policy.PrimaryEvent) {
	if line := event.LogText(); line != "" {
		p.Log(line)
	}
	for _, observer := range p.primaryObservers {
		p.actions.add(notifyPrimary{observer: observer, event: event})
	}
}

// Log writes a line to the log immediately, without queueing it.
func (p *policyActions) Log(line string) { p.log(line) }

type sendAttempt struct {
	request, server uint32
	timeout         time.Duration
}

func (a sendAttempt) execute(d *Dispatcher) {
	if o := d.requests.open[a.request]; o != nil {
		o.queuedAttempts--
		o.startAttempt(a.server, a.timeout)
	}
}

type concludeRequest struct {
	request    uint32
	rejected   bool // false: the request fails
	retryAfter time.Duration
}

func (a concludeRequest) execute(d *Dispatcher) {
	d.concludeByPolicy(a.request, FinalAnswer{Rejected: a.rejected}, a.retryAfter)
}

type cancelAttempt struct {
	request uint32
	attempt int
}

func (a cancelAttempt) execute(d *Dispatcher) {
	if attempt := d.requests.attempt(a.request, a.attempt); attempt != nil {
		attempt.abort()
		attempt.endLater(policy.Cancelled)
	}
}

type probeServer struct{ server uint32 }

func (a probeServer) execute(d *Dispatcher) { d.startHealthCheck(a.server) }

type closeIdleConnections struct{ server uint32 }

func (a closeIdleConnections) execute(d *Dispatcher) {
	if address := d.servers.addresses[a.server]; address != "" {
		d.backend.CloseIdle(address)
	}
}

type watchList struct{}

func (watchList) execute(d *Dispatcher) { d.watch() }

type notifyPrimary struct {
	observer PrimaryObserver
	event    policy.PrimaryEvent
}

func (a notifyPrimary) execute(d *Dispatcher) {
	a.observer(a.event.Kind, a.event.Group, d.servers.name(a.event.Server), a.event.AsOf)
}
