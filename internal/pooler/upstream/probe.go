package upstream

import (
	"threadsail/internal/dispatch"
)

// Probe is a probe that is repeated once if its connection breaks, as only the second result shows whether the server is down. It
// implements dispatch.Call.
type Probe struct{ call dispatch.Call }

// StartProbe starts a probe by calling start, and calls start once more if the connection breaks. It calls done with the last
// result.
func StartProbe(start func(done func(dispatch.AttemptResult)) dispatch.Call, done func(dispatch.AttemptResult)) *Probe {
	probe := &Probe{}
	probe.call = start(func(result dispatch.AttemptResult) {
		if result.Broken {
			probe.call = start(done)
		} else {
			done(result)
		}
	})
	return probe
}

// StartStatusProbe starts a probe like StartProbe, and discards the answer so that done receives only the server's status.
func StartStatusProbe(start func(done func(dispatch.AttemptResult)) dispatch.Call, done func(dispatch.AttemptResult)) *Probe {
	return StartProbe(start, func(result dispatch.AttemptResult) {
		result.Answer = nil
		done(result)
	})
}

// Abort cancels the probe without calling done.
func (p *Probe) Abort() { p.call.Abort() }

// ProbeAttempt returns the callbacks of a probe, which is always allowed and is not counted as sent.
func ProbeAttempt(done func(dispatch.AttemptResult)) dispatch.AttemptCallbacks {
	return dispatch.AttemptCallbacks{StillAllowed: func() bool { return true }, Sent: func() {}, Progress: func(bool) {}, Done: done}
}

// localCall is an attempt that is answered without a server. It implements dispatch.Call.
type localCall struct{ aborted bool }

// Abort cancels the attempt without reporting its result.
func (c *localCall) Abort() { c.aborted = true }

// AnswerLocally reports result as the result of an attempt that needs no server, from a later event of the loop.
func AnswerLocally(loop *dispatch.EventLoop, attempt dispatch.AttemptCallbacks, result dispatch.AttemptResult) dispatch.Call {
	call := &localCall{}
	loop.Post(func() {
		if !call.aborted {
			attempt.Done(result)
		}
	})
	return call
}
