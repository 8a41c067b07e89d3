package policy

import (
	"testing"
	"time"
)

// A timer that the host fires a microsecond early must not stop the timer queue.
func TestTimerFiresEarly(t *testing.T) {
	host := newHost(t, nil)
	host.sendRequest(1, classNotIdempotent)
	for i := 0; i < 5000 && host.now < startTime+2*time.Second; i++ {
		host.now += 5 * ms
		var notDue []time.Duration
		for _, due := range host.timersDue {
			if due > host.now+time.Microsecond {
				notDue = append(notDue, due)
			}
		}
		anyDue := len(notDue) < len(host.timersDue)
		host.timersDue = notDue
		if anyDue {
			host.router.HandleTimer(host.now)
		}
	}
	host.wantAction("reject 1")
}
