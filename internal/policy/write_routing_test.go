package policy

import (
	"testing"
	"time"
)

// A member of weight 0 is as fit for primary as any.
func TestNoReadsYetPrimary(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.router.HandleList(f.now, ListDelta, []Member{newMember(2, Ready, NoReads)})
	f.probeAnswered(1, false, f.now)
	f.advanceTo(f.now + 200*ms)
	f.probeAnswered(2, true, f.now)
	f.sendRequest(2, classByKey)
	f.wantAction("attempt 2 2")
}

// When no probe finds a primary the last one is tried: turned away it is harmless, answered it is the record again.
func TestLastPrimaryIsGuessed(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.advanceTo(startTime + 2*time.Second)
	f.router.HandleProbeResult(f.now, ProbeResult{Server: 1, Result: TimedOut})
	for s := uint32(1); s <= 3; s++ {
		f.router.HandleProbeResult(f.now, ProbeResult{Server: s, Result: TimedOut})
	}
	f.sendRequest(2, classNotIdempotent)
	f.wantAction("attempt 2 1")
	f.endAttempt(2, 0, OK, RolePrimary)
	if p := f.router.groups[7].primary; p == nil || p.ID != 1 {
		t.Fatal("an answered write did not restore the record")
	}
}

func TestLatestReadGoesToPrimaryOnly(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.sendRequest(2, classLatest)
	f.wantAction("attempt 2 1")
	f.advanceTo(startTime + 20*ms)
	f.probeUnreachable(1)
	f.sendRequest(3, classLatest)
	f.advanceTo(startTime + 400*ms)
	if len(f.attempts[3]) != 0 {
		t.Fatalf("sent to %v without a record", f.attempts[3])
	}
}
