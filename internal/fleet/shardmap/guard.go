package shardmap

import (
	"time"

	"threadsail/internal/dispatch"
)

// minSweepSize is the least number of writes at which those whose clients have gone are looked for.
const minSweepSize = 1 << 10

// Guard applies the map's rules to the requests of one frontend. All of its methods are called on the frontend's event loop. Requests without a
// key pass, and go where they would go without a map; so do all requests while there is no map.
type Guard struct {
	router         *Router
	isWrite        func(class int) bool
	onFenceDrained func() // called when the last write to a fenced range has ended
	openWrites     map[*dispatch.Request]*Write
	sweepAt        int // size of openWrites at which those whose clients have gone are looked for
}

var (
	_ dispatch.Guard          = (*Guard)(nil)
	_ dispatch.AnswerVerifier = (*Guard)(nil)
)

// newGuard returns the guard of a frontend. isWrite reports whether a class is of writes.
func (r *Router) newGuard(isWrite func(class int) bool, onFenceDrained func()) *Guard {
	return &Guard{router: r, isWrite: isWrite, onFenceDrained: onFenceDrained, openWrites: map[*dispatch.Request]*Write{}, sweepAt: minSweepSize}
}

// Admit implements dispatch.Guard: a request goes to its key's home; a write is rejected if it may not be sent now.
func (g *Guard) Admit(now time.Duration, r *dispatch.Request) dispatch.Admission {
	home, _, mapped := g.router.Home(r.Key)
	switch {
	case !mapped || r.Key == "":
		return dispatch.Admission{}
	case !g.isWrite(r.Class):
		return dispatch.Admission{Reroute: true, Group: home}
	}
	left := r.ArrivedAt + r.Timeout - now
	w, retryAfter := g.router.BeginWrite(r.Key, time.Now().Add(left))
	if w == nil {
		return dispatch.Admission{Reject: true, RetryAfter: retryAfter}
	}
	if len(g.openWrites) >= g.sweepAt {
		g.sweep()
	}
	g.openWrites[r] = w
	return dispatch.Admission{Reroute: true, Group: w.Home}
}

// sweep ends the writes whose deadline has passed: their clients have gone, as the dispatcher answers all others in time.
func (g *Guard) sweep() {
	for r, w := range g.openWrites {
		if time.Now().After(w.deadline) {
			g.endWrite(r)
		}
	}
	g.sweepAt = max(2*len(g.openWrites), minSweepSize)
}

// MaySend implements dispatch.Guard.
func (g *Guard) MaySend(_ time.Duration, r *dispatch.Request, _ string) dispatch.SendDecision {
	w := g.openWrites[r]
	if w == nil {
		return dispatch.Send
	}
	epoch, ok := g.router.AuthorizeSend(w)
	if !ok {
		return dispatch.RejectRequest
	}
	if stamped, ok := r.Payload.(dispatch.EpochCarrier); ok {
		stamped.SetEpoch(epoch)
	}
	return dispatch.Send
}

// AcceptAnswer implements dispatch.AnswerVerifier.
func (g *Guard) AcceptAnswer(_ time.Duration, r *dispatch.Request) bool {
	w := g.openWrites[r]
	return w == nil || g.router.AnswerCounts(w)
}

// RequestEnded implements dispatch.Guard.
func (g *Guard) RequestEnded(_ time.Duration, r *dispatch.Request, _ dispatch.FinalAnswer) {
	g.endWrite(r)
}

// endWrite ends a request's write, if it has one.
func (g *Guard) endWrite(r *dispatch.Request) {
	w := g.openWrites[r]
	if w == nil {
		return
	}
	delete(g.openWrites, r)
	if g.router.EndWrite(w) {
		g.onFenceDrained()
	}
}
