package distribution

import "sync"

// maxLoggedReasons is the maximum number of reasons that are remembered. Lines with further reasons are not logged.
const maxLoggedReasons = 1024

// onceLogger logs one line per reason, so that a peer that repeats a fault does not fill the log. It is safe for concurrent use.
type onceLogger struct {
	log func(string)

	mu     sync.Mutex // guards logged
	logged map[string]bool
}

// logOnce logs a line unless one with the same reason has been logged before.
func (l *onceLogger) logOnce(reason, line string) {
	if l.isNew(reason) {
		l.log(line)
	}
}

// isNew reports whether reason has not been logged before, and records it.
func (l *onceLogger) isNew(reason string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.logged[reason] || len(l.logged) >= maxLoggedReasons {
		return false
	}
	if l.logged == nil {
		l.logged = map[string]bool{}
	}
	l.logged[reason] = true
	return true
}
