package policy

import "time"

// maxTrackedSessions is the maximum number of sessions in one generation. Two full generations take
// about 4 MB.
const maxTrackedSessions = 1 << 16

// sessionPositions holds the positions of the last writes of sessions, in two generations. When the
// current generation is full, the older one is dropped, and its sessions share one position that is
// no lower than any of theirs.
type sessionPositions struct {
	current           map[uint64]time.Duration
	older             map[uint64]time.Duration
	untrackedPosition time.Duration // upper bound of the positions of all sessions in neither generation
}

// lastWritePosition returns the position of a session's last write, or an upper bound of it if the
// session is in neither generation.
func (p *sessionPositions) lastWritePosition(session uint64) time.Duration {
	if position, ok := p.current[session]; ok {
		return position
	}
	if position, ok := p.older[session]; ok {
		return position
	}
	return p.untrackedPosition
}

// record records the position of a session's write. The position of a session in the current
// generation is never lowered.
func (p *sessionPositions) record(session uint64, position time.Duration) {
	if len(p.current) >= maxTrackedSessions {
		p.rotateGenerations()
	}
	p.current[session] = max(position, p.current[session])
}

// rotateGenerations drops the older generation and starts a new one.
func (p *sessionPositions) rotateGenerations() {
	for _, position := range p.older {
		p.untrackedPosition = max(p.untrackedPosition, position)
	}
	p.older = p.current
	p.current = map[uint64]time.Duration{}
}

// sessionPosition returns the position that a replica must have reached to answer a read of the
// request's session, or 0 if any will do.
func (r *Router) sessionPosition(in Request) time.Duration {
	if r.settings.TrackSessions {
		return r.sessions.lastWritePosition(in.Session)
	}
	if in.SinceLastWrite > 0 {
		return r.now - in.SinceLastWrite
	}
	return 0
}
