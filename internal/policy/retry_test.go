package policy

import (
	"testing"
	"time"
)

func TestNotIdempotentIsNeverSentTwice(t *testing.T) {
	for name, c := range map[string]struct {
		result Result
		answer string // final answer; "" if the request may be sent again
	}{
		"server error":     {ServerError, "fail 2"},
		"timed out":        {TimedOut, "fail 2"},
		"connection reset": {ConnectionReset, "fail 2"},
		"cancelled":        {Cancelled, "fail 2"},
		"misdirected":      {Misdirected, ""},
		"overloaded":       {Overloaded, ""},
		"connect failed":   {ConnectFailed, ""},
		"not sent":         {NotSent, "reject 2"},
	} {
		t.Run(name, func(t *testing.T) {
			host := newHostWithPrimary(t, nil)
			host.sendRequest(2, classNotIdempotent)
			host.advanceTo(startTime + 20*ms)
			host.endAttempt(2, 0, c.result, RoleUnknown)
			host.probeAnswered(3, true, host.now)
			host.advanceTo(startTime + 1500*ms)
			if c.answer == "" {
				host.wantNoAction("fail 2")
				return
			}
			host.wantAction(c.answer)
			if len(host.attempts[2]) != 1 {
				t.Errorf("write was sent to %v, want one server", host.attempts[2])
			}
		})
	}
}

func TestDedupWindow(t *testing.T) {
	const window = 700 * ms
	for _, c := range []struct {
		errorAfter time.Duration
		repeated   bool
	}{
		{100 * ms, true},
		{window - sendMargin - ms, true},
		{window - sendMargin, false},
		{time.Second, false},
	} {
		t.Run(c.errorAfter.String(), func(t *testing.T) {
			host := newHostWithPrimary(t, nil)
			host.sendRequest(2, classByKey)
			host.server(1).health.lastAnswerAt = startTime + 2*time.Second // keeps the server from counting as silent
			host.advanceTo(startTime + c.errorAfter)
			host.endAttempt(2, 0, ServerError, RolePrimary)
			host.advance(20 * ms)
			repeated := len(host.attempts[2]) > 1
			if repeated != c.repeated {
				t.Errorf("write was repeated: %v, want %v", repeated, c.repeated)
			}
			if repeated { // the repeat may wait for its connection until the window has ended
				end := startTime + window - sendMargin
				if host.now < end && !host.router.MayStillSend(end-ms, 2, 1) {
					t.Error("the repeat may not be sent just before the end of the deduplication window")
				}
				if host.router.MayStillSend(end, 2, 1) {
					t.Error("the repeat may be sent after the end of the deduplication window")
				}
			}
			host.advanceTo(startTime + 2*time.Second)
			host.wantNoAction("reject 2")
		})
	}
}

func TestDedupScopes(t *testing.T) {
	for name, c := range map[string]struct {
		scope    DedupScope
		repeated bool // whether it is repeated at a new primary in another zone
	}{
		"everywhere": {DedupEverywhere, true},
		"in group":   {DedupInGroup, true},
		"in zone":    {DedupInZone, false},
	} {
		t.Run(name, func(t *testing.T) {
			host := newHostWithPrimary(t, func(s *Settings) { s.Classes[classByKey].DedupScope = c.scope })
			host.updateList(Member{ID: 3, Group: testGroup, Zone: 1, State: Ready})
			host.sendRequest(2, classByKey)
			host.advanceTo(startTime + 50*ms)
			host.endAttempt(2, 0, ConnectionReset, RoleUnknown)
			host.probeAnswered(3, true, host.now)
			host.advanceTo(startTime + 2*time.Second)
			if repeated := len(host.attempts[2]) > 1; repeated != c.repeated {
				t.Errorf("write was repeated: %v, want %v", repeated, c.repeated)
			}
			if !c.repeated {
				host.wantAction("fail 2")
			}
		})
	}
}

// MayStillSend returns false once the server of a waiting attempt is too far behind for the read or
// the server's drain grace period has ended.
func TestMayStillSend(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	host.sendRequest(2, classBounded)
	host.sendRequest(3, classAny)
	if !host.router.MayStillSend(host.now, 2, 0) {
		t.Error("a new attempt may not be sent")
	}
	if host.router.MayStillSend(host.now, 2, 1) || host.router.MayStillSend(host.now, 9, 0) {
		t.Error("an unknown attempt may be sent")
	}
	host.advance(1100 * ms) // MaxStaleness is 1 s, and the replicas' positions are as of the start
	if host.router.MayStillSend(host.now, 2, 0) {
		t.Error("a bounded read may be sent to a replica that is too far behind")
	}
	if !host.router.MayStillSend(host.now, 3, 0) {
		t.Error("an unbounded read may not be sent to a replica that is behind")
	}
	host.updateList(newMember(host.attempts[3][0], Draining, 0))
	if !host.router.MayStillSend(host.now, 3, 0) {
		t.Error("an attempt may not be sent within the grace period")
	}
	if host.router.MayStillSend(host.now+500*ms, 3, 0) {
		t.Error("an attempt may be sent after the grace period")
	}
}
