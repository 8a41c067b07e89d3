package policy

import "time"

// maxTrackedSessions bounds the sessions of one generation. Two generations take about 4 MB.
const maxTrackedSessions = 1 << 16

// sessionPositions remembers the position of each session's last write, in two generations: when
// the current one is full the older one is dropped, and what was dropped is replaced by one
// position that is no lower than any of them.
type sessionPositions struct {
	current           map[uint64]time.Duration
	older             map[uint64]time.Duration
	untrackedPosition time.Duration // no lower than the position of any session that is not remembered
}

// of returns a position that is no lower than that of the session's last write.
func (p *sessionPositions) of(session uint64) time.Duration {
	if position, ok := p.current[session]; ok {
		return position
	}
	if position, ok := p.older[session]; ok {
		return position
	}
	return p.untrackedPosition
}

func (p *sessionPositions) remember(session uint64, position time.Duration) {
	if len(p.current) >= maxTrackedSessions {
		p.startGeneration()
	}
	p.current[session] = max(position, p.current[session])
}

func (p *sessionPositions) startGeneration() {
	for _, position := range p.older {
		p.untrackedPosition = max(p.untrackedPosition, position)
	}
	p.older = p.current
	p.current = map[uint64]time.Duration{}
}

// sessionPosition returns the position that a read of the request's session must see, 0 for none.
func (r *Router) sessionPosition(in Request) time.Duration {
	if r.settings.TrackSessions {
		return r.sessions.of(in.Session)
	}
	if in.SinceLastWrite > 0 {
		return r.now - in.SinceLastWrite
	}
	return 0
}
