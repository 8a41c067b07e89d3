package policy

import (
	"testing"
	"time"
)

func TestNotIdempotentIsNeverSentTwice(t *testing.T) {
	for _, c := range []struct {
		res    Result
		answer string
	}{{ServerError, "fail 2"}, {TimedOut, "fail 2"}, {ConnectionReset, "fail 2"}, {Cancelled, "fail 2"}, {Misdirected, ""}, {Overloaded, ""},
		{ConnectFailed, ""}, {NotSent, "refuse 2"}} {
		f := newHostWithPrimary(t, nil)
		f.sendRequest(2, classNotIdempotent)
		f.advanceTo(startTime + 20*ms)
		f.endAttempt(2, 0, c.res, RoleUnknown)
		f.probeAnswered(3, true, f.now)
		f.advanceTo(startTime + 1500*ms)
		if c.answer != "" {
			f.wantAction(c.answer)
			if len(f.attempts[2]) != 1 {
				t.Errorf("after %d: sent %v", c.res, f.attempts[2])
			}
		} else if f.hasAction("fail 2") {
			t.Errorf("after %d, which proves that nothing ran: failed", c.res)
		}
	}
}

func TestDedupWindow(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		again bool
	}{{100 * ms, true}, {700*ms - sendMargin - ms, true}, {700*ms - sendMargin, false}, {time.Second, false}} {
		f := newHostWithPrimary(t, nil)
		f.sendRequest(2, classByKey)
		f.router.groups[7].primary.health.lastAnswerAt = startTime + 2*time.Second // no silence here
		f.advanceTo(startTime + c.after)
		f.endAttempt(2, 0, ServerError, RolePrimary)
		f.advanceTo(f.now + 20*ms)
		if again := len(f.attempts[2]) > 1; again != c.again {
			t.Errorf("error after %v: sent again %v, want %v", c.after, again, c.again)
		} else if again { // and may wait for its connection until the window is over
			end := startTime + 700*ms - sendMargin
			if f.now < end && !f.router.MayStillSend(end-ms, 2, 1) || f.router.MayStillSend(end, 2, 1) {
				t.Errorf("error after %v: the repeat does not fit up to its window's end, or does from there on", c.after)
			}
		}
		f.advanceTo(startTime + 2*time.Second)
		f.wantNoAction("refuse 2")
	}
}

func TestDedupScopes(t *testing.T) {
	for _, c := range []struct {
		scope  DedupScope
		again  bool // to a new primary in another zone
		answer string
	}{{DedupEverywhere, true, ""}, {DedupInGroup, true, ""}, {DedupInZone, false, "fail 2"}} {
		f := newHostWithPrimary(t, func(s *Settings) { s.Classes[classByKey].DedupScope = c.scope })
		f.router.HandleList(f.now, ListDelta, []Member{{ID: 3, Group: 7, Zone: 1, State: Ready}})
		f.sendRequest(2, classByKey)
		f.advanceTo(startTime + 50*ms)
		f.endAttempt(2, 0, ConnectionReset, RoleUnknown)
		f.probeAnswered(3, true, f.now)
		f.advanceTo(startTime + 2*time.Second)
		if again := len(f.attempts[2]) > 1; again != c.again {
			t.Errorf("scope %d: sent again %v, want %v", c.scope, again, c.again)
		}
		if c.answer != "" {
			f.wantAction(c.answer)
		}
	}
}

// An attempt may wait for its connection until its store has become too old for the read, or has drained.
func TestMayStillSend(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.sendRequest(2, classBounded)
	f.sendRequest(3, classAny)
	if !f.router.MayStillSend(f.now, 2, 0) || f.router.MayStillSend(f.now, 2, 1) || f.router.MayStillSend(f.now, 9, 0) {
		t.Error("a new attempt does not fit, or one that was never made does")
	}
	f.advanceTo(f.now + 1100*ms) // its bound is 1 s, and the replicas' positions are of the start
	if f.router.MayStillSend(f.now, 2, 0) || !f.router.MayStillSend(f.now, 3, 0) {
		t.Error("a bounded read fits a replica that is too far behind, or an unbounded one does not")
	}
	f.router.HandleList(f.now, ListDelta, []Member{{ID: f.attempts[3][0], Group: 7, State: Draining}})
	if !f.router.MayStillSend(f.now, 3, 0) || f.router.MayStillSend(f.now+500*ms, 3, 0) {
		t.Error("an attempt fits after the drain's grace, or does not within it")
	}
}
