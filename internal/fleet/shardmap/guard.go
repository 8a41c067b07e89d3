package shardmap

import (
	"time"

	"threadsail/internal/dispatch"
)

// Guard puts the map's rules between a core and its servers. It implements routing.Guard and routing.Witness, all on the core's
// loop. Requests without a key pass it, and go where they went without a map; so do all while there is no map.
type Guard struct {
	router         *Router
	writes         func(class int) bool
	onFenceDrained func() // the last write to a fenced range has ended
	openWrites     map[*dispatch.Request]*Write
	sweepAt        int // size of open at which those whose clients have gone are looked for
}

const minSweepSize = 1 << 10

// newGuard is a new one for a core; writes tells whether a class is of writes.
func (r *Router) newGuard(writes func(class int) bool, news func()) *Guard {
	return &Guard{router: r, writes: writes, onFenceDrained: news, openWrites: map[*dispatch.Request]*Write{}, sweepAt: minSweepSize}
}

// Admit is documented with routing.Guard: a request goes to its key's home; a write only if it may be sent now.
func (g *Guard) Admit(now time.Duration, r *dispatch.Request) dispatch.Admission {
	home, _, ok := g.router.Home(r.Key)
	switch {
	case !ok || r.Key == "":
		return dispatch.Admission{}
	case !g.writes(r.Class):
		return dispatch.Admission{Reroute: true, Group: home}
	}
	w, after := g.router.BeginWrite(r.Key, time.Now().Add(r.ArrivedAt+r.Timeout-now))
	if w == nil {
		return dispatch.Admission{Reject: true, RetryAfter: after}
	}
	if len(g.openWrites) >= g.sweepAt {
		for q, w := range g.openWrites {
			if time.Now().After(w.deadline) { // its client has gone: the core answers the others in their time
				g.endWrite(q)
			}
		}
		g.sweepAt = max(2*len(g.openWrites), minSweepSize)
	}
	g.openWrites[r] = w
	return dispatch.Admission{Reroute: true, Group: w.Home}
}

// MaySend is documented with routing.Guard.
func (g *Guard) MaySend(_ time.Duration, r *dispatch.Request, _ string) dispatch.SendDecision {
	w := g.openWrites[r]
	if w == nil {
		return dispatch.Send
	}
	epoch, ok := g.router.AuthorizeSend(w)
	if !ok {
		return dispatch.RejectRequest
	}
	if s, ok := r.Payload.(dispatch.Stamped); ok {
		s.Stamp(epoch)
	}
	return dispatch.Send
}

// AcceptAnswer is documented with routing.Witness.
func (g *Guard) AcceptAnswer(_ time.Duration, r *dispatch.Request) bool {
	w := g.openWrites[r]
	return w == nil || g.router.AnswerCounts(w)
}

// RequestEnded is documented with routing.Guard.
func (g *Guard) RequestEnded(_ time.Duration, r *dispatch.Request, _ dispatch.FinalAnswer) {
	g.endWrite(r)
}

func (g *Guard) endWrite(r *dispatch.Request) {
	if w := g.openWrites[r]; w != nil {
		delete(g.openWrites, r)
		if g.router.EndWrite(w) {
			g.onFenceDrained()
		}
	}
}
