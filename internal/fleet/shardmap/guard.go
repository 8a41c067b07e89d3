package shardmap

import (
	"time"

	"threadsail/internal/dispatch"
)

// minSweepThreshold is the lowest number of open writes at which Guard searches for expired ones.
const minSweepThreshold = 1 << 10

// Guard applies the shard map to the requests of one frontend. Its methods must be called on the frontend's event loop. Requests without a
// key are admitted and routed as without a map, and so are all requests while there is no map.
type Guard struct {
	router         *Router
	isWrite        func(class int) bool         // reports whether a class is a class of writes
	onFenceDrained func()                       // called when the last write to a fenced range has ended
	openWrites     map[*dispatch.Request]*Write // admitted writes without a final answer
	sweepThreshold int                          // size of openWrites at which Admit removes expired writes
}

var (
	_ dispatch.Guard          = (*Guard)(nil)
	_ dispatch.AnswerVerifier = (*Guard)(nil)
)

// newGuard returns the guard of a frontend. isWrite reports whether a class is a class of writes. The guard calls onFenceDrained when the
// last write to a fenced range has ended.
func (r *Router) newGuard(isWrite func(class int) bool, onFenceDrained func()) *Guard {
	return &Guard{router: r, isWrite: isWrite, onFenceDrained: onFenceDrained, openWrites: map[*dispatch.Request]*Write{}, sweepThreshold: minSweepThreshold}
}

// Admit implements dispatch.Guard. It reroutes a request to the home of its key, and rejects a write that may not be sent now.
func (g *Guard) Admit(now time.Duration, r *dispatch.Request) dispatch.Admission {
	home, _, mapped := g.router.Home(r.Key)
	switch {
	case !mapped || r.Key == "":
		return dispatch.Admission{}
	case !g.isWrite(r.Class):
		return dispatch.Admission{Reroute: true, Group: home}
	}
	remaining := r.ArrivedAt + r.Timeout - now
	w, retryAfter := g.router.BeginWrite(r.Key, time.Now().Add(remaining))
	if w == nil {
		return dispatch.Admission{Reject: true, RetryAfter: retryAfter}
	}
	if len(g.openWrites) >= g.sweepThreshold {
		g.sweep()
	}
	g.openWrites[r] = w
	return dispatch.Admission{Reroute: true, Group: w.Home}
}

// sweep ends the writes whose deadline has passed. Their clients have disconnected, because the dispatcher answers every other request by
// its deadline.
func (g *Guard) sweep() {
	for r, w := range g.openWrites {
		if time.Now().After(w.deadline) {
			g.endWrite(r)
		}
	}
	g.sweepThreshold = max(2*len(g.openWrites), minSweepThreshold)
}

// MaySend implements dispatch.Guard. It allows a write only while the router may send it, and sets the epoch of its payload.
func (g *Guard) MaySend(_ time.Duration, r *dispatch.Request, _ string) dispatch.SendDecision {
	w := g.openWrites[r]
	if w == nil {
		return dispatch.Send
	}
	epoch, ok := g.router.AuthorizeSend(w)
	if !ok {
		return dispatch.RejectRequest
	}
	if carrier, ok := r.Payload.(dispatch.EpochCarrier); ok {
		carrier.SetEpoch(epoch)
	}
	return dispatch.Send
}

// AcceptAnswer implements dispatch.AnswerVerifier.
func (g *Guard) AcceptAnswer(_ time.Duration, r *dispatch.Request) bool {
	w := g.openWrites[r]
	return w == nil || g.router.IsAnswerValid(w)
}

// RequestEnded implements dispatch.Guard.
func (g *Guard) RequestEnded(_ time.Duration, r *dispatch.Request, _ dispatch.FinalAnswer) {
	g.endWrite(r)
}

// endWrite ends the write of a request. It does nothing if the request has none.
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
