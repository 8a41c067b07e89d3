package dispatch

import (
	"time"

	"threadsail/internal/policy"
)

// probeConnectAllowance is added to the timeout of a probe, which may have to open a connection first.
const probeConnectAllowance = 50 * time.Millisecond

// healthCheck is one probe of a server. It reports its result to the policy once.
type healthCheck struct {
	dispatcher *Dispatcher
	server     uint32
	ended      bool
	timeout    *Timer
}

// startHealthCheck probes a server for the policy.
func (d *Dispatcher) startHealthCheck(server uint32) {
	check := &healthCheck{dispatcher: d, server: server}
	address := d.servers.addresses[server]
	if address == "" {
		check.endLater(policy.ConnectFailed)
		return
	}
	if d.connectionGate != nil && !d.connectionGate.MayProbe(d.loop.Now(), d.servers.name(server)) {
		check.endLater(policy.Overloaded)
		return
	}
	call := d.backend.Probe(address, check.end)
	check.timeout = d.loop.After(d.probeTimeout+probeConnectAllowance, func() {
		call.Abort()
		check.end(AttemptResult{Result: policy.TimedOut})
	})
}

// endLater posts the end of the check to the loop's next round of events.
func (h *healthCheck) endLater(result policy.Result) {
	h.dispatcher.loop.Post(func() { h.end(AttemptResult{Result: result}) })
}

func (h *healthCheck) end(result AttemptResult) {
	if h.ended {
		return
	}
	h.ended = true
	h.timeout.Stop()
	h.dispatcher.router.HandleProbeResult(h.dispatcher.loop.Now(),
		policy.ProbeResult{Server: h.server, Result: result.Result, Status: result.Status})
}
