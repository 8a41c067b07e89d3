package dispatch

import (
	"time"

	"threadsail/internal/policy"
)

// action is something to be done behind a round of events.
type action interface{ carryOut(d *Dispatcher) }

// actionQueue holds what a round of events has led to, in order.
type actionQueue []action

func (q *actionQueue) add(a action) { *q = append(*q, a) }

// carryOutActions carries out what is queued, and what is queued meanwhile. The loop calls it behind each round of events.
func (d *Dispatcher) carryOutActions() {
	for i := 0; i < len(d.actions); i++ {
		d.actions[i].carryOut(d)
		d.actions[i] = nil
	}
	d.actions = d.actions[:0]
}

// policyActions is the Dispatcher as its policy sees it. What the policy asks for is queued, as the policy must not be
// called from within.
type policyActions Dispatcher

// Attempt queues an attempt at a server.
func (p *policyActions) Attempt(id, server uint32, timeout time.Duration) {
	if o := p.requests.open[id]; o != nil {
		o.queuedAttempts++
	}
	p.actions.add(sendAttempt{request: id, server: server, timeout: timeout, chosenAt: p.loop.Now()})
}

// Reject queues the final answer that invites a retry.
func (p *policyActions) Reject(id uint32, after time.Duration) {
	p.actions.add(concludeRequest{request: id, rejected: true, retryAfter: after})
}

// Fail queues the final answer that promises nothing.
func (p *policyActions) Fail(id uint32) { p.actions.add(concludeRequest{request: id}) }

// CancelAttempt queues the end of an attempt that is not waited for any more.
func (p *policyActions) CancelAttempt(id uint32, number int) {
	p.actions.add(cancelAttempt{request: id, attempt: number})
}

// Probe queues a health check.
func (p *policyActions) Probe(server uint32) { p.actions.add(probeServer{server: server}) }

// SetTimer has the policy called after a time.
func (p *policyActions) SetTimer(after time.Duration) {
	p.loop.After(after, func() { p.router.HandleTimer(p.loop.Now()) })
}

// CloseIdleConnections queues that idle connections to a server are closed.
func (p *policyActions) CloseIdleConnections(server uint32) {
	p.actions.add(closeIdleConnections{server: server})
}

// WatchList queues a subscription to the list of servers.
func (p *policyActions) WatchList() { p.actions.add(watchList{}) }

// PrimaryChanged logs an event of a group's primary and queues it for each observer.
func (p *policyActions) PrimaryChanged(event policy.PrimaryEvent) {
	if text := event.LogText(); text != "" {
		p.Log(text)
	}
	for _, observer := range p.primaryObservers {
		p.actions.add(notifyPrimary{observer: observer, event: event})
	}
}

// Log writes a line at once.
func (p *policyActions) Log(text string) { p.log(text) }

type sendAttempt struct {
	request, server   uint32
	timeout, chosenAt time.Duration
}

func (a sendAttempt) carryOut(d *Dispatcher) {
	if o := d.requests.open[a.request]; o != nil {
		o.queuedAttempts--
		o.startAttempt(a.server, a.timeout, a.chosenAt)
	}
}

type concludeRequest struct {
	request    uint32
	rejected   bool // else failed
	retryAfter time.Duration
}

func (a concludeRequest) carryOut(d *Dispatcher) {
	d.concludeByPolicy(a.request, FinalAnswer{Rejected: a.rejected}, a.retryAfter)
}

type cancelAttempt struct {
	request uint32
	attempt int
}

func (a cancelAttempt) carryOut(d *Dispatcher) {
	if attempt := d.requests.attempt(a.request, a.attempt); attempt != nil {
		attempt.abort()
		attempt.endLater(policy.Cancelled)
	}
}

type probeServer struct{ server uint32 }

func (a probeServer) carryOut(d *Dispatcher) { d.startHealthCheck(a.server) }

type closeIdleConnections struct{ server uint32 }

func (a closeIdleConnections) carryOut(d *Dispatcher) {
	if address := d.servers.addresses[a.server]; address != "" {
		d.backend.CloseIdle(address)
	}
}

type watchList struct{}

func (watchList) carryOut(d *Dispatcher) { d.watch() }

type notifyPrimary struct {
	observer PrimaryObserver
	event    policy.PrimaryEvent
}

func (a notifyPrimary) carryOut(d *Dispatcher) {
	a.observer(a.event.Kind, a.event.Group, d.servers.name(a.event.Server), a.event.AsOf)
}
