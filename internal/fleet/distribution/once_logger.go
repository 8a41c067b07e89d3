package distribution

import "sync"

// maxLoggedReasons bounds the reasons that are kept; further ones are not logged.
const maxLoggedReasons = 1024

// onceLogger logs what a peer may cause again and again once for each reason.
type onceLogger struct {
	log func(string)

	mu     sync.Mutex // guards logged
	logged map[string]bool
}

// logOnce logs a line unless its reason has been logged before.
func (l *onceLogger) logOnce(reason, line string) {
	if l.isNew(reason) {
		l.log(line)
	}
}

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
