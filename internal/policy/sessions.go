package policy

import (
	"sync"
	"time"
)

const (
	// maxTrackedSessions is the maximum number of sessions in one generation. Two full generations take
	// about 4 MB.
	maxTrackedSessions = 1 << 16
	// maxClockDifference is how far the clocks of a pooler and of a server that writes heartbeats may
	// differ.
	maxClockDifference = 50 * time.Millisecond
)

// SessionPositions holds the positions of the last writes of sessions, in two generations. When the
// current generation is full, the older one is dropped, and its sessions share one position that is
// no lower than any of theirs. It is safe for concurrent use, so that the Routers of a process can
// share it.
type SessionPositions struct {
	mu                sync.Mutex
	current           map[uint64]time.Duration
	older             map[uint64]time.Duration
	untrackedPosition time.Duration // upper bound of the positions of all sessions in neither generation
	commonPosition    time.Duration // position of the last write that counts for all sessions
	latest            time.Duration // highest position of any write
}

// NewSessionPositions returns an empty SessionPositions.
func NewSessionPositions() *SessionPositions {
	return &SessionPositions{current: map[uint64]time.Duration{}}
}

// LastWrite returns the position of the last write of any of the sessions, or an upper bound of it if
// one of them is in neither generation. Without sessions it returns that of the last write of all.
func (p *SessionPositions) LastWrite(sessions []uint64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(sessions) == 0 {
		return p.latest
	}
	last := p.commonPosition
	for _, session := range sessions {
		last = max(last, p.positionOf(session))
	}
	return last
}

// positionOf returns the position of a session's last write, or an upper bound of it. The caller holds
// mu.
func (p *SessionPositions) positionOf(session uint64) time.Duration {
	if position, ok := p.current[session]; ok {
		return position
	}
	if position, ok := p.older[session]; ok {
		return position
	}
	return p.untrackedPosition
}

// record records the position of a write for each of the sessions, and without sessions for all. The
// position of a session in the current generation is never lowered.
func (p *SessionPositions) record(sessions []uint64, position time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latest = max(p.latest, position)
	if len(sessions) == 0 {
		p.commonPosition = max(p.commonPosition, position)
	}
	for _, session := range sessions {
		if len(p.current) >= maxTrackedSessions {
			p.rotateGenerations()
		}
		p.current[session] = max(position, p.current[session])
	}
}

// rotateGenerations drops the older generation and starts a new one. The caller holds mu.
func (p *SessionPositions) rotateGenerations() {
	for _, position := range p.older {
		p.untrackedPosition = max(p.untrackedPosition, position)
	}
	p.older = p.current
	p.current = map[uint64]time.Duration{}
}

// sessionPosition returns the position that a replica must have reached to answer a read of the
// request's sessions, or 0 if any will do.
func (r *Router) sessionPosition(in Request) time.Duration {
	position := time.Duration(0)
	if in.SinceLastWrite != 0 {
		position = r.now - in.SinceLastWrite
	}
	if r.settings.TrackSessions {
		position = max(position, r.sessions.LastWrite(in.Sessions))
	}
	return position
}

// recordWrite records an executed write for its sessions. A server that does not tell the position of
// the write has committed it by now.
func (r *Router) recordWrite(sessions []uint64, position time.Duration, told bool) {
	if !r.settings.TrackSessions {
		return
	}
	if !told {
		position = r.now + maxClockDifference
	}
	r.sessions.record(sessions, position)
}

// ObserveStreamedWrite records that a write of the given sessions whose answer was forwarded while it
// arrived has been executed. HandleOutcome came before the end of that answer, when the server may not
// have committed the write yet.
func (r *Router) ObserveStreamedWrite(now time.Duration, sessions []uint64) {
	r.advanceClock(now)
	r.recordWrite(sessions, 0, false)
}

// ShareSessions has the Router track sessions together with all others that share the positions. The
// host calls it before the first request.
func (r *Router) ShareSessions(positions *SessionPositions) { r.sessions = positions }
