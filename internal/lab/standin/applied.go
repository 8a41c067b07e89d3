package standin

import (
	"strings"
	"time"

	"threadsail/internal/protocol/comment"
)

// Lag is how PostgreSQL stand-ins serve reads while they follow their primary's log.
type Lag struct {
	Wait   time.Duration            // a read for which a replica is too far behind waits so long, and is then turned away untouched
	Bounds map[string]time.Duration // how old data may be, by class
	Stops  string                   // the class whose reads stop a replica's log while they run
}

// catchUp is how many seconds of the log a replica applies in a second once its log goes on.
const catchUp = 3

// Follow has it serve reads so from now on.
func (s *Server) Follow(l Lag) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = l
}

// Turned counts the reads for which it stayed too far behind.
func (s *Server) Turned() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turned
}

// applied is the time up to which it has applied the log. s.mu is held.
func (s *Server) applied(now time.Time) time.Time {
	at := now.Add(-s.behind)
	if s.primary || s.stoppedAt.IsZero() {
		return at
	}
	reached := s.stoppedAt
	if s.stops == 0 {
		reached = reached.Add(catchUp * now.Sub(s.goesOn))
	}
	if reached.Before(at) {
		return reached
	}
	return at
}

// stop stops its log until the end that is returned.
func (s *Server) stop() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stoppedAt = s.applied(time.Now())
	s.stops++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.stops--; s.stops == 0 {
			s.goesOn = time.Now()
		}
	}
}

// reads lets a read in: tooOld if what it has stays too old for it. end is owed.
func (s *Server) reads(text string) (end func(), tooOld bool) {
	s.mu.Lock()
	l := s.lag
	s.mu.Unlock()
	none := func() {}
	cm, err := comment.Parse(text)
	if err != nil || !strings.HasPrefix(text, "SELECT") {
		return none, false
	}
	if l.Stops != "" && cm.Class == l.Stops {
		return s.stop(), false
	}
	bound := l.Bounds[cm.Class]
	for until := time.Now().Add(l.Wait); bound > 0; time.Sleep(time.Millisecond) {
		now := time.Now()
		s.mu.Lock()
		age := now.Sub(s.applied(now))
		s.mu.Unlock()
		if age <= bound {
			break
		}
		if now.After(until) {
			s.mu.Lock()
			s.turned++
			s.mu.Unlock()
			return none, true
		}
	}
	return none, false
}
