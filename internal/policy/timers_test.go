package policy

import (
	"testing"
	"time"
)

// A host that rings a timer a microsecond early must not silence the timers.
func TestTimerFiresEarly(t *testing.T) {
	f := newHost(t, nil)
	f.sendRequest(1, classNotIdempotent)
	for i := 0; i < 5000 && f.now < startTime+2*time.Second; i++ {
		f.now += 5 * ms
		due := f.timersDue[:0:0]
		for _, ring := range f.timersDue {
			if ring > f.now+time.Microsecond {
				due = append(due, ring)
			}
		}
		rang := len(due) < len(f.timersDue)
		f.timersDue = due
		if rang {
			f.router.HandleTimer(f.now)
		}
	}
	f.wantAction("refuse 1")
}
