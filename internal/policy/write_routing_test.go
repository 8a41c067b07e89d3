package policy

import (
	"testing"
	"time"
)

// A member with weight NoReads can become primary.
func TestNoReadsMemberMayBecomePrimary(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	host.updateList(newMember(2, Ready, NoReads))
	host.probeAnswered(1, false, host.now)
	host.advance(200 * ms)
	host.probeAnswered(2, true, host.now)
	host.sendRequest(2, classByKey)
	host.wantAction("attempt 2 2")
}

// If a probe round finds no primary, a write is sent to the last one. It becomes the recorded
// primary again if it executes the write.
func TestLastPrimaryIsTriedAfterFailedRound(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	host.advanceTo(startTime + 2*time.Second)
	host.probeFailed(1, TimedOut)
	for server := uint32(1); server <= 3; server++ {
		host.probeFailed(server, TimedOut)
	}
	host.sendRequest(2, classNotIdempotent)
	host.wantAction("attempt 2 1")
	host.endAttempt(2, 0, OK, RolePrimary)
	if host.primary() != 1 {
		t.Fatal("server 1 is not the recorded primary although it has executed a write")
	}
}

func TestLatestReadGoesToPrimaryOnly(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	host.sendRequest(2, classLatest)
	host.wantAction("attempt 2 1")
	host.advanceTo(startTime + 20*ms)
	host.probeFailed(1, ConnectFailed)
	host.sendRequest(3, classLatest)
	host.advanceTo(startTime + 400*ms)
	if len(host.attempts[3]) != 0 {
		t.Fatalf("read was sent to %v without a recorded primary", host.attempts[3])
	}
}
