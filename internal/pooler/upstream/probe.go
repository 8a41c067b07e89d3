package upstream

import (
	"threadsail/internal/dispatch"
)

// Probe is a probe that is started once more if its connection breaks: the next one tells whether the server is gone. It is a
// dispatch.Call.
type Probe struct{ call dispatch.Call }

// StartProbe starts a probe. start begins it, and may be called a second time.
func StartProbe(start func(done func(dispatch.AttemptResult)) dispatch.Call, done func(dispatch.AttemptResult)) *Probe {
	p := &Probe{}
	p.call = start(func(r dispatch.AttemptResult) {
		if r.Broken {
			p.call = start(done)
		} else {
			done(r)
		}
	})
	return p
}

// StartStatusProbe starts a probe of which only the server's status is of use, not its answer.
func StartStatusProbe(start func(done func(dispatch.AttemptResult)) dispatch.Call, done func(dispatch.AttemptResult)) *Probe {
	return StartProbe(start, func(r dispatch.AttemptResult) {
		r.Answer = nil
		done(r)
	})
}

// Abort gives the probe up.
func (p *Probe) Abort() { p.call.Abort() }

// ProbeAttempt returns the callbacks of a probe, which is always allowed and counts nowhere.
func ProbeAttempt(done func(dispatch.AttemptResult)) dispatch.AttemptCallbacks {
	return dispatch.AttemptCallbacks{StillAllowed: func() bool { return true }, Sent: func() {}, Done: done}
}

// localCall is an attempt that needs no server.
type localCall struct{ aborted bool }

// Abort has the attempt end unreported.
func (c *localCall) Abort() { c.aborted = true }

// AnswerLocally reports the end of an attempt that needs no server.
func AnswerLocally(loop *dispatch.EventLoop, a dispatch.AttemptCallbacks, r dispatch.AttemptResult) dispatch.Call {
	call := &localCall{}
	loop.Post(func() {
		if !call.aborted {
			a.Done(r)
		}
	})
	return call
}
