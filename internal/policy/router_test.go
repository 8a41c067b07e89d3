package policy

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"
	"unicode/utf8"
)

// fakeHost is a host with a clock of its own. It keeps what the Router asked for.
type fakeHost struct {
	t             *testing.T
	router        *Router
	now           time.Duration
	timersDue     []time.Duration
	actions       []string
	attempts      map[uint32][]uint32 // request: stores, in order
	probedServers []uint32
	primaryEvents []PrimaryEvent
	logLines      []string
}

func (f *fakeHost) record(format string, a ...any) {
	f.actions = append(f.actions, fmt.Sprintf(format, a...))
}
func (f *fakeHost) Attempt(id, s uint32, timeout time.Duration) {
	f.attempts[id] = append(f.attempts[id], s)
	f.record("attempt %d %d", id, s)
}
func (f *fakeHost) Reject(id uint32, _ time.Duration) { f.record("refuse %d", id) }
func (f *fakeHost) Fail(id uint32)                    { f.record("fail %d", id) }
func (f *fakeHost) CancelAttempt(id uint32, n int)    { f.record("cancel %d %d", id, n) }
func (f *fakeHost) Probe(s uint32)                    { f.probedServers = append(f.probedServers, s) }
func (f *fakeHost) SetTimer(d time.Duration)          { f.timersDue = append(f.timersDue, f.now+d) }
func (f *fakeHost) CloseIdleConnections(s uint32)     { f.record("close %d", s) }
func (f *fakeHost) WatchList()                        { f.record("watch") }
func (f *fakeHost) PrimaryChanged(n PrimaryEvent) {
	f.logLines, f.primaryEvents = append(f.logLines, n.LogText()), append(f.primaryEvents, n)
}
func (f *fakeHost) Log(text string) { f.logLines = append(f.logLines, text) }

// advanceTo rings every timer due up to a time, and moves the clock there.
func (f *fakeHost) advanceTo(at time.Duration) {
	for {
		next := -1
		for i, ring := range f.timersDue {
			if ring <= at && (next < 0 || ring < f.timersDue[next]) {
				next = i
			}
		}
		if next < 0 {
			f.now = at
			return
		}
		f.now = max(f.now, f.timersDue[next])
		f.timersDue = append(f.timersDue[:next], f.timersDue[next+1:]...)
		f.router.HandleTimer(f.now)
	}
}

func (f *fakeHost) hasAction(what string) bool {
	for _, d := range f.actions {
		if d == what {
			return true
		}
	}
	return false
}

func (f *fakeHost) wantAction(what string) {
	f.t.Helper()
	if !f.hasAction(what) {
		f.t.Fatalf("at %v: no %q in %v", f.now, what, f.actions)
	}
}

func (f *fakeHost) wantNoAction(what string) {
	f.t.Helper()
	if f.hasAction(what) {
		f.t.Fatalf("at %v: %q in %v", f.now, what, f.actions)
	}
}

// Classes of the test front.
const (
	classAny = iota
	classBounded
	classSession
	classLatest
	classNotIdempotent
	classByKey
)

func testSettings() Settings {
	class := func(n Access, e Idempotency) Class {
		return Class{Access: n, Idempotency: e, LatencyObjective: 500 * ms, TotalTimeout: 2 * time.Second, PriorityWeight: 1, LateWeightFraction: 0.5}
	}
	s := Settings{Poolers: 2, ProbesAllowed: true, RolesReported: true, CancelAllowed: true, MaxAttempts: 10, EventInterval: 5 * ms,
		DrainGracePeriod: 500 * ms, SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second, OverloadFactor: 2, OverloadInterval: time.Second,
		Classes: []Class{class(ReadAny, Idempotent), class(ReadBounded, Idempotent), class(ReadSession, Idempotent),
			class(ReadLatest, Idempotent), class(Write, NotIdempotent), class(Write, IdempotentByKey)}}
	s.Classes[classBounded].MaxStaleness = time.Second
	s.Classes[classByKey].DedupScope, s.Classes[classByKey].DedupWindow = DedupInGroup, 700*ms
	return s
}

const startTime = 100 * time.Second

// newHost has group 7 with stores 1, 2 and 3, and no record yet.
func newHost(t *testing.T, change func(*Settings)) *fakeHost {
	t.Helper()
	set := testSettings()
	if change != nil {
		change(&set)
	}
	f := &fakeHost{t: t, now: startTime, attempts: map[uint32][]uint32{}}
	r, err := New(set, 1, f)
	if err != nil {
		t.Fatal(err)
	}
	f.router = r
	r.HandleList(f.now, ListCached, []Member{{ID: 1, Group: 7, State: Ready}, {ID: 2, Group: 7, State: Ready},
		{ID: 3, Group: 7, State: Ready}})
	return f
}

// newHostWithPrimary is a front that has found store 1, with replicas at the present.
func newHostWithPrimary(t *testing.T, change func(*Settings)) *fakeHost {
	t.Helper()
	f := newHost(t, change)
	f.sendRequest(1, classAny)
	f.probeAnswered(1, true, f.now)
	f.probeAnswered(2, false, f.now)
	f.probeAnswered(3, false, f.now)
	f.endAttempt(1, 0, OK, RoleUnknown)
	f.actions, f.probedServers, f.attempts = nil, nil, map[uint32][]uint32{}
	return f
}

func (f *fakeHost) sendRequest(id uint32, class int) {
	f.router.HandleRequest(f.now, Request{ID: id, Class: class, Group: 7, Timeout: 2 * time.Second})
}

func (f *fakeHost) probeAnswered(s uint32, primary bool, pos time.Duration) {
	f.router.HandleProbeResult(f.now, ProbeResult{Server: s, Status: ServerStatus{HasPosition: true, Position: pos, HasRole: true, IsPrimary: primary}})
}

func (f *fakeHost) probeUnreachable(s uint32) {
	f.router.HandleProbeResult(f.now, ProbeResult{Server: s, Result: ConnectFailed})
}

func (f *fakeHost) endAttempt(id uint32, n int, res Result, role Role) {
	f.router.HandleOutcome(f.now, Outcome{RequestID: id, Attempt: n, Result: res, Role: role, Answered: res == OK})
}

func TestFirstRequestStartsRound(t *testing.T) {
	f := newHost(t, nil)
	if len(f.probedServers) != 0 {
		t.Fatalf("probed %v before the group was needed", f.probedServers)
	}
	f.sendRequest(1, classNotIdempotent)
	if !reflect.DeepEqual(f.probedServers, []uint32{1, 2, 3}) {
		t.Fatalf("probed %v, want all members", f.probedServers)
	}
	f.wantNoAction("attempt 1 1")
	f.probeAnswered(2, true, f.now)
	f.wantAction("attempt 1 2")
}

func TestPingEvery100ms(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.advanceTo(startTime + 1010*ms + 5*ms)
	pings := 0
	for _, s := range f.probedServers {
		if s == 1 {
			pings++
		}
	}
	if pings != 11 { // at 10 ms, then each 100 ms
		t.Fatalf("%d pings of the primary in 1.01 s, want 11", pings)
	}
}

func TestRoundRepeats(t *testing.T) {
	for _, c := range []struct {
		name     string
		answered bool
		wait     time.Duration
	}{{"some answered", true, 500 * ms}, {"none answered", false, time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			f := newHost(t, nil)
			f.sendRequest(1, classNotIdempotent)
			for s := uint32(1); s <= 3; s++ {
				if c.answered {
					f.probeAnswered(s, false, f.now-ms)
				} else {
					f.probeUnreachable(s)
				}
			}
			f.probedServers = nil
			f.advanceTo(startTime + c.wait - ms)
			if len(f.probedServers) != 0 {
				t.Fatalf("another round before %v", c.wait)
			}
			f.advanceTo(startTime + c.wait + ms)
			if len(f.probedServers) != 3 {
				t.Fatalf("%d probes after %v, want 3", len(f.probedServers), c.wait)
			}
		})
	}
}

func TestLossOfPrimaryHoldsWrites(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.advanceTo(startTime + 200*ms)
	f.probedServers = nil
	f.probeUnreachable(1)
	if !reflect.DeepEqual(f.probedServers, []uint32{1, 2, 3}) {
		t.Fatalf("a failed ping probed %v, want all members", f.probedServers)
	}
	f.sendRequest(2, classNotIdempotent)
	f.advanceTo(f.now + 300*ms)
	if len(f.attempts[2]) != 0 {
		t.Fatalf("a write was sent without a primary: %v", f.actions)
	}
	f.probeAnswered(3, true, f.now)
	f.wantAction("attempt 2 3")
}

func TestHeldWriteIsRefusedInTime(t *testing.T) {
	f := newHost(t, nil)
	f.sendRequest(1, classNotIdempotent)
	f.advanceTo(startTime + 1980*ms)
	f.wantNoAction("refuse 1")
	f.advanceTo(startTime + 2*time.Second)
	f.wantAction("refuse 1")
}

// A hung primary still answers shallow pings as primary. Guards against writes sent into it.
func TestHungPrimaryLosesItsPlace(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.sendRequest(2, classLatest)
	f.wantAction("attempt 2 1")
	for f.now < startTime+3*time.Second {
		f.advanceTo(f.now + 50*ms)
		f.probeAnswered(1, true, startTime)
		if len(f.router.groups[7].queue.requests) == 0 && f.router.groups[7].primary == nil {
			break
		}
	}
	if f.router.groups[7].primary != nil {
		t.Fatal("still on record after 3 s of silence")
	}
	f.sendRequest(3, classNotIdempotent)
	f.probeAnswered(1, true, f.now)
	f.wantNoAction("attempt 3 1")
	f.probeAnswered(2, true, f.now)
	f.wantAction("attempt 3 2")
}

// A connection that breaks is no dead primary: the round that follows takes it back, although its report is
// older than its last answer.
func TestResetDoesNotBarThePrimary(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.advanceTo(startTime + 200*ms)
	f.sendRequest(2, classLatest)
	f.advanceTo(startTime + 280*ms)
	f.endAttempt(2, 0, OK, RolePrimary)
	f.sendRequest(3, classNotIdempotent)
	f.advanceTo(startTime + 300*ms)
	f.endAttempt(3, 0, ConnectionReset, RoleUnknown)
	f.wantAction("fail 3")
	f.sendRequest(4, classNotIdempotent)
	f.wantNoAction("attempt 4 1")
	f.advanceTo(startTime + 360*ms)
	f.probeAnswered(1, true, f.now-150*ms)
	f.wantAction("attempt 4 1")
}

func TestMissedWriteStartsRoundAtOnce(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.advanceTo(startTime + 200*ms)
	f.sendRequest(2, classNotIdempotent)
	f.probedServers = nil
	f.endAttempt(2, 0, Misdirected, RoleReplica)
	if len(f.probedServers) != 3 {
		t.Fatalf("a missed write probed %v, want all members", f.probedServers)
	}
	f.wantNoAction("refuse 2")
	f.probeAnswered(3, true, f.now)
	f.wantAction("attempt 2 3")
}

func TestClaimsByAsOfTime(t *testing.T) {
	for _, newerFirst := range []bool{true, false} {
		f := newHost(t, nil)
		f.sendRequest(1, classNotIdempotent)
		claims := []struct {
			s   uint32
			pos time.Duration
		}{{1, startTime - 5*time.Second}, {2, startTime - ms}}
		if newerFirst {
			claims[0], claims[1] = claims[1], claims[0]
		}
		for _, c := range claims {
			f.probeAnswered(c.s, true, c.pos)
		}
		if p := f.router.groups[7].primary; p == nil || p.ID != 2 {
			t.Errorf("newer first %v: record %v, want store 2", newerFirst, p)
		}
	}
}

func TestUnsafeIsNeverSentTwice(t *testing.T) {
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

func TestKeyedKeepsGroupAndWindow(t *testing.T) {
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

func TestKeyedScopes(t *testing.T) {
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

func TestBoundedAtItsExactBound(t *testing.T) {
	for _, c := range []struct {
		age     time.Duration
		replica bool
	}{{time.Second - positionTolerance, true}, {time.Second - positionTolerance + time.Microsecond, false}, {3 * time.Second, false}} {
		f := newHostWithPrimary(t, nil)
		for s := uint32(2); s <= 3; s++ {
			f.server(s).replication.position = f.now - c.age
			f.server(s).replication.provenAt = f.now
		}
		f.sendRequest(2, classBounded)
		if got := len(f.attempts[2]) == 1 && f.attempts[2][0] != 1; got != c.replica {
			t.Errorf("age %v: sent to %v, want a replica %v", c.age, f.attempts[2], c.replica)
		}
	}
}

func TestSessionReadWaitsForItsWrite(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.router.HandleRequest(f.now, Request{ID: 2, Class: classSession, Group: 7, Timeout: 2 * time.Second, SinceLastWrite: 40 * ms})
	f.wantAction("attempt 2 2") // proven at the present
	f.advanceTo(startTime + 100*ms)
	f.router.HandleRequest(f.now, Request{ID: 3, Class: classSession, Group: 7, Timeout: 2 * time.Second, SinceLastWrite: 40 * ms})
	if len(f.attempts[3]) != 0 {
		t.Fatalf("sent to %v before any position proved the write", f.attempts[3])
	}
	f.probeAnswered(3, false, f.now-20*ms)
	f.wantAction("attempt 3 3")
}

func TestRememberedSessions(t *testing.T) {
	f := newHostWithPrimary(t, func(s *Settings) { s.TrackSessions = true })
	f.router.HandleRequest(f.now, Request{ID: 2, Class: classNotIdempotent, Group: 7, Session: 9, Timeout: 2 * time.Second})
	f.advanceTo(startTime + 50*ms)
	f.router.HandleOutcome(f.now, Outcome{RequestID: 2, Result: OK, Answered: true, Role: RolePrimary, HasPosition: true, Position: f.now})
	f.router.HandleRequest(f.now, Request{ID: 3, Class: classSession, Group: 7, Session: 9, Timeout: 2 * time.Second})
	f.router.HandleRequest(f.now, Request{ID: 4, Class: classSession, Group: 7, Session: 8, Timeout: 2 * time.Second})
	if len(f.attempts[3]) != 0 || len(f.attempts[4]) != 1 {
		t.Fatalf("own write: %v, other session: %v", f.attempts[3], f.attempts[4])
	}
	f.probeAnswered(2, false, f.now+5*ms)
	f.wantAction("attempt 3 2")
}

func TestFreshGoesToRecordOnly(t *testing.T) {
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

func TestReadsTakeTurns(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	for id := uint32(2); id < 8; id++ {
		f.sendRequest(id, classAny)
	}
	count := map[uint32]int{}
	for _, s := range f.attempts {
		count[s[0]]++
	}
	if count[1] != 0 || count[2] != 3 || count[3] != 3 {
		t.Fatalf("reads by store %v, want three for each replica", count)
	}
}

func TestDrainGrace(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.router.HandleList(f.now, ListDelta, []Member{{ID: 1, Group: 7, State: Draining}, {ID: 2, Group: 7, State: Draining}})
	for id := uint32(2); id < 6; id++ {
		f.sendRequest(id, classAny)
		if s := f.attempts[id]; len(s) > 0 && s[0] != 3 {
			t.Fatalf("a read went to draining store %d", s[0])
		}
	}
	edge := startTime + 500*ms - sendMargin - 5*ms
	f.advanceTo(edge - ms)
	f.probeAnswered(1, true, f.now)
	f.sendRequest(10, classNotIdempotent)
	f.wantAction("attempt 10 1")
	f.advanceTo(edge + ms)
	f.probeAnswered(1, true, f.now)
	f.sendRequest(11, classNotIdempotent)
	f.advanceTo(startTime + 1500*ms)
	f.wantNoAction("attempt 11 1")
}

// An attempt may wait for its connection until its store has become too old for the read, or has drained.
func TestStillFits(t *testing.T) {
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

func TestColdBudget(t *testing.T) {
	f := newHost(t, func(s *Settings) { s.Classes[classAny].LatencyObjective = 400 * ms })
	f.router.HandleList(f.now, ListDelta, []Member{{ID: 2, Group: 7, State: Removed}, {ID: 3, Group: 7, State: Removed},
		{ID: 4, Group: 7, State: Ready, StartedAt: f.now}})
	f.sendRequest(1, classNotIdempotent)
	f.probeAnswered(1, true, f.now)
	sent := 0
	for f.now < startTime+time.Second {
		f.advanceTo(f.now + 5*ms)
		id := uint32(f.now / ms)
		f.sendRequest(id, classAny)
		if len(f.attempts[id]) == 1 && f.attempts[id][0] == 4 {
			sent++
			f.endAttempt(id, 0, OK, RoleReplica)
		}
	}
	// The front's half of 2 x 0.2..0.28 of two cores for one second is at most 0.56 core seconds; answers
	// take 100 ms each at first sight.
	if sent == 0 || sent > 5 {
		t.Fatalf("%d reads sent to the cold store in its first second, want 1 to 5", sent)
	}
}

func TestFullStoreIsLeftAlone(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.sendRequest(2, classNotIdempotent)
	f.advanceTo(startTime + 10*ms)
	f.endAttempt(2, 0, Overloaded, RolePrimary)
	f.advanceTo(startTime + 10*ms + initialPause - ms)
	if len(f.attempts[2]) != 1 {
		t.Fatalf("sent %d times within the pause", len(f.attempts[2]))
	}
	f.advanceTo(startTime + 10*ms + initialPause + 2*positionRefreshInterval)
	if len(f.attempts[2]) != 2 {
		t.Fatalf("sent %d times after the pause, want 2", len(f.attempts[2]))
	}
}

func TestWindowHoldsWorkHere(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	for id := uint32(2); id < 12; id++ {
		f.sendRequest(id, classNotIdempotent)
	}
	if n := len(f.server(1).outstanding.attempts); n != int(initialFleetWindow)/2 {
		t.Fatalf("%d writes out at the primary, want %v", n, initialFleetWindow/2)
	}
	f.advanceTo(startTime + 10*ms)
	f.endAttempt(2, 0, OK, RolePrimary)
	if n := len(f.server(1).outstanding.attempts); n < int(initialFleetWindow)/2 {
		t.Fatalf("%d writes out after an answer, want the window full again", n)
	}
}

// With many fronts one attempt from each is a queue already: a window under one is a rest between attempts.
func TestManyFrontsRestBetweenAttempts(t *testing.T) {
	for _, c := range []struct {
		fronts int
		rest   bool
	}{{3, false}, {24, true}} {
		f := newHostWithPrimary(t, func(s *Settings) { s.Poolers = c.fronts })
		for i := 0; i < 200; i++ { // answers that show a queue
			s := f.server(1)
			f.now += windowCutInterval
			s.latency.ratio, s.latency.measuredAt = 3, f.now
			f.router.advanceClock(f.now)
			f.router.adjustWindow(s)
		}
		f.sendRequest(2, classLatest)
		f.wantAction("attempt 2 1")
		f.advanceTo(f.now + 20*ms)
		f.endAttempt(2, 0, OK, RolePrimary)
		f.sendRequest(3, classLatest)
		if rested := len(f.attempts[3]) == 0; rested != c.rest {
			t.Errorf("%d fronts: rests %v after an attempt, want %v", c.fronts, rested, c.rest)
		}
		f.advanceTo(f.now + 480*ms)
		if len(f.attempts[3]) == 0 {
			t.Errorf("%d fronts: nothing sent after the rest", c.fronts)
		}
	}
}

// A try with less patience than the others is a later one: its aim has run since the first.
func TestLaterTriesHaveLessLeft(t *testing.T) {
	f := newHost(t, func(s *Settings) { s.Classes[classLatest].LateWeightFraction = 0 })
	for id := uint32(1); id < 5; id++ {
		f.sendRequest(id, classLatest)
	}
	f.wantNoAction("refuse 4")
	f.router.HandleRequest(f.now, Request{ID: 9, Class: classLatest, Group: 7, Timeout: 1200 * ms})
	f.wantAction("refuse 9")
}

// Held work goes newest first, and not at all once too little of its aim is left.
func TestHeldOrderAndEnd(t *testing.T) {
	f := newHost(t, func(s *Settings) { s.Classes[classLatest].LateWeightFraction = 0 })
	f.sendRequest(1, classLatest)
	f.advanceTo(startTime + 20*ms)
	f.sendRequest(2, classLatest)
	held := f.router.groups[7].queue.requests
	if len(held) != 2 || held[0].id != 2 {
		t.Fatalf("%d held, want request 2 before 1", len(held))
	}
	f.advanceTo(startTime + 500*ms)
	f.wantAction("refuse 1")
	f.wantAction("refuse 2")
}

// If all look bad those that can be reached keep serving; a dead store is no way out although it holds least.
func TestNoFallbackToTheUnreachable(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.router.groups[7].primary = nil
	f.server(1).ejection.ejected, f.server(1).health.unreachable = true, true
	f.server(2).ejection.ejected, f.server(3).ejection.ejected = true, true
	f.server(2).ejection.nextTrialAt, f.server(3).ejection.nextTrialAt = startTime+time.Hour, startTime+time.Hour
	f.server(3).health.unreachable = true
	f.sendRequest(2, classAny)
	f.advanceTo(startTime + 300*ms)
	if len(f.attempts[2]) != 1 || f.attempts[2][0] != 2 {
		t.Fatalf("sent to %v, want store 2", f.attempts[2])
	}
}

// A host that rings a timer a microsecond early must not silence the timers.
func TestEarlyRing(t *testing.T) {
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

func TestFailingStoreLosesItsTurn(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	for id := uint32(2); id < 40 && !f.server(2).ejection.ejected; id++ {
		f.advanceTo(f.now + 10*ms)
		f.sendRequest(id, classAny)
		res := OK
		if f.attempts[id][0] == 2 {
			res = ServerError
		}
		f.endAttempt(id, 0, res, RoleReplica)
		for n := 1; n < len(f.attempts[id]); n++ {
			f.endAttempt(id, n, OK, RoleReplica)
		}
	}
	if !f.server(2).ejection.ejected || f.server(3).ejection.ejected {
		t.Fatal("the store that fails keeps its turn, or the good one lost it")
	}
}

func TestSilentStoreIsRescued(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.sendRequest(2, classAny)
	silent := f.attempts[2][0]
	f.advanceTo(startTime + 1500*ms)
	f.wantAction("cancel 2 0")
	f.endAttempt(2, 0, Cancelled, RoleUnknown)
	if len(f.attempts[2]) != 2 || f.attempts[2][1] == silent {
		t.Fatalf("sent to %v, want another store after %d", f.attempts[2], silent)
	}
}

func TestFailedListIsAskedAgain(t *testing.T) {
	f := newHost(t, func(s *Settings) { s.PollList, s.MaxPollInterval = true, 6*time.Second })
	f.advanceTo(startTime + ms)
	f.wantAction("watch")
	last := f.now
	for i := 0; i < 6; i++ {
		f.actions = nil
		f.router.HandleList(f.now, ListFailed, nil)
		for !f.hasAction("watch") && f.now < last+10*time.Second {
			f.advanceTo(f.now + 10*ms)
		}
		if f.now-last > 3*time.Second+20*ms {
			t.Fatalf("asked again only after %v", f.now-last)
		}
		last = f.now
	}
	if len(f.router.groups[7].members) != 3 {
		t.Fatal("the old list was not kept")
	}
}

func TestOddEvents(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.router.HandleOutcome(f.now, Outcome{RequestID: 99, Attempt: 3})
	f.router.HandleDisconnect(f.now, 98)
	f.router.HandleProbeResult(f.now, ProbeResult{Server: 97})
	f.router.HandleTimer(f.now - time.Hour)
	f.router.HandleList(f.now, ListFull, nil)
	f.router.HandleList(f.now, ListDelta, []Member{{ID: 96, Group: 1, State: Removed}})
	f.router.HandleRequest(f.now, Request{ID: 5, Class: 99, Group: 7, Timeout: time.Second})
	f.wantAction("fail 5")
	f.router.HandleRequest(f.now, Request{ID: 6, Class: classAny, Group: 12345, Timeout: time.Second})
	f.advanceTo(startTime + 2*time.Second)
	f.wantAction("refuse 6")
}

// Every request has exactly one final answer in time, whatever the stores do, and two runs are alike.
func TestOneAnswerAndDeterminism(t *testing.T) {
	run := func() []string {
		f := newHostWithPrimary(t, func(s *Settings) { s.HedgingAllowed = true })
		seed := uint32(7)
		next := func(n uint32) uint32 { seed = seed*1664525 + 1013904223; return (seed >> 8) % n }
		answered, done := map[uint32]int{}, 0
		settled := map[string]bool{}
		for id := uint32(100); f.now < startTime+6*time.Second; {
			f.advanceTo(f.now + 5*ms)
			if f.now < startTime+3*time.Second {
				id++
				f.sendRequest(id, int(id)%6)
			}
			for ; done < len(f.actions); done++ {
				var q, s uint32
				if n, _ := fmt.Sscanf(f.actions[done], "attempt %d %d", &q, &s); n == 2 {
					continue
				}
				if n, _ := fmt.Sscanf(f.actions[done], "refuse %d", &q); n == 1 {
					answered[q]++
				} else if n, _ := fmt.Sscanf(f.actions[done], "fail %d", &q); n == 1 {
					answered[q]++
				}
			}
			for x := uint32(101); x <= id; x++ {
				for n := range f.attempts[x] {
					k := fmt.Sprint(x, ".", n)
					if settled[k] || next(20) != 0 {
						continue
					}
					settled[k] = true
					res := Result(next(9))
					o := Outcome{RequestID: x, Attempt: n, Result: res, Role: RoleUnknown, Answered: answered[x] > 0}
					if res == OK && answered[x] == 0 {
						answered[x]++
						o.Answered = true
					}
					f.router.HandleOutcome(f.now, o)
				}
			}
			f.probeAnswered(1, true, f.now)
		}
		for x := uint32(101); x < 700; x++ {
			if answered[x] != 1 {
				t.Fatalf("request %d had %d answers; sends %v", x, answered[x], f.attempts[x])
			}
		}
		return f.actions
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Fatal("the same events gave other actions")
	}
}

// A class with no aim earns its worth up to the deadline; figures left out divide nothing by zero.
func TestSettingsLeftOut(t *testing.T) {
	f := &fakeHost{t: t, now: startTime, attempts: map[uint32][]uint32{}}
	r, err := New(Settings{Classes: []Class{{}, {Access: Write, Idempotency: IdempotentByKey}}}, 1, f)
	if err != nil {
		t.Fatal(err)
	}
	f.router = r
	r.HandleList(f.now, ListFull, []Member{{ID: 1, State: Ready, StartedAt: f.now}, {ID: 2, State: Ready, Primary: true}})
	r.HandleRequest(f.now, Request{ID: 1, Timeout: time.Second})
	r.HandleRequest(f.now, Request{ID: 2, Class: 1, Timeout: time.Second})
	f.wantAction("attempt 2 2")
	if len(f.attempts[1]) != 1 {
		t.Fatalf("the read was not sent: %v", f.actions)
	}
	r.HandleList(f.now, ListDelta, []Member{{ID: 1, State: Draining}, {ID: 2, State: Removed}})
	f.advanceTo(startTime + ms)
	r.HandleRequest(f.now, Request{ID: 3, Class: 1, Timeout: time.Second})
	f.advanceTo(startTime + 2*time.Second)
	f.wantAction("refuse 3")
}

func TestValidateNamesTheField(t *testing.T) {
	for _, c := range []struct {
		change func(*Settings)
		want   string
	}{
		{func(s *Settings) { s.EventInterval = -1 }, "EventInterval is -1ns"},
		{func(s *Settings) { s.SlowStartCapacity = 1.5 }, "SlowStartCapacity is 1.5"},
		{func(s *Settings) { s.Poolers = -2 }, "Poolers is -2"},
		{func(s *Settings) { s.Classes[0].Access = 77 }, "Access 77"},
		{func(s *Settings) { s.Classes[0].LatencyObjective = -ms }, "LatencyObjective -1ms"},
	} {
		s := testSettings()
		c.change(&s)
		if _, err := New(s, 1, &fakeHost{}); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("error %v, want one with %q", err, c.want)
		}
	}
	if _, err := New(Settings{}, 1, &fakeHost{}); err != nil {
		t.Errorf("empty settings: %v", err)
	}
}

// The policy files are those that deploy/balancer.toml names: each is there, and short enough to be read at once.
func TestLineLimits(t *testing.T) {
	const maxLines, maxColumns = 400, 110
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, list, _ := strings.Cut(string(deploy), "\npolicy = [")
	list, _, _ = strings.Cut(list, "]")
	for _, name := range strings.Split(list, ",") {
		name = strings.Trim(name, ` "`)
		text, err := os.ReadFile("../../" + name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
		if len(lines) > maxLines {
			t.Errorf("%s has %d lines, want %d at most", name, len(lines), maxLines)
		}
		for at, line := range lines {
			if n := utf8.RuneCountInString(line); n > maxColumns {
				t.Errorf("%s: line %d has %d characters, want %d at most", name, at+1, n, maxColumns)
			}
		}
	}
}

// An attempt that hangs at a store that has lost its turn must not keep it from its trial until it times out: it may be
// a lost connection, and the store well.
func TestHungAttemptLeavesRoomForTheTrial(t *testing.T) {
	f := newHost(t, nil)
	s := f.server(2)
	s.window.size = 1
	f.router.sendAttempt(&request{class: &f.router.settings.Classes[classNotIdempotent], classIndex: classNotIdempotent, group: f.router.groupFor(7)}, s)
	if f.router.hasCapacity(s, classNotIdempotent) {
		t.Fatal("a full window has room")
	}
	f.router.advanceClock(f.now + ms)
	f.router.eject(s, "is silent")
	if !f.router.hasCapacity(s, classNotIdempotent) {
		t.Error("no room for a trial beside the attempt that hangs")
	}
}

// One attempt that is never answered, while later ones are, is no silence of the store's.
func TestOvertakenAttemptIsNoSilence(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.sendRequest(2, classNotIdempotent)
	f.advanceTo(f.now + 10*ms)
	f.sendRequest(3, classNotIdempotent)
	f.advanceTo(f.now + 10*ms)
	f.endAttempt(3, 0, OK, RolePrimary)
	f.advanceTo(f.now + 1500*ms)
	if s := f.server(1); s.health.silent || s.ejection.ejected {
		t.Error("the store counts as silent")
	}
}

// A store that has left must be forgotten, or a long life holds every store there ever was. One that comes back within
// that time keeps its state.
func TestGoneStoreIsForgotten(t *testing.T) {
	f := newHost(t, nil)
	gone := []Member{{ID: 2, Group: 7, State: Removed}, {ID: 3, Group: 7, State: Removed}}
	f.router.HandleList(f.now, ListDelta, gone)
	f.advanceTo(f.now + removedServerRetention/2)
	f.router.HandleList(f.now, ListDelta, []Member{{ID: 3, Group: 7, State: Ready}})
	f.advanceTo(f.now + removedServerRetention)
	if len(f.router.servers.byID) != 2 || len(f.router.servers.ordered) != 2 || f.server(2) != nil {
		t.Errorf("%d stores are known, want 1 and 3", len(f.router.servers.byID))
	}
}

// A connection that breaks between two answers is no restart: its store must not be held to a cold one's share. One that
// was out of reach for longer may have restarted.
func TestBrokenConnectionIsNoRestart(t *testing.T) {
	for away, cold := range map[time.Duration]bool{minRestartOutage / 2: false, 2 * minRestartOutage: true} {
		f := newHostWithPrimary(t, nil)
		f.advanceTo(f.now + away)
		f.probeUnreachable(2)
		f.probeAnswered(2, false, f.now)
		if s := f.server(2); s.slowStart.since > 0 != cold {
			t.Errorf("out of reach for %v: cold %v, want %v", away, !cold, cold)
		}
	}
}

// While a group is without a primary, a write that can hardly live to see the next one is refused at half its time, so
// that its client can come again; one with more time is held to its end, as the design has it.
func TestHopelessWaitEndsAtHalfItsTime(t *testing.T) {
	f := newHostWithPrimary(t, func(s *Settings) { s.RetryAfterSupported, s.MaxRetryAfter = true, time.Second })
	f.advanceTo(f.now + 100*ms)
	f.router.eject(f.server(1), "fails")
	f.probeUnreachable(1)
	f.probeUnreachable(1)
	f.probeAnswered(2, false, f.now)
	f.probeAnswered(3, false, f.now)
	f.router.HandleRequest(f.now, Request{ID: 2, Class: classNotIdempotent, Group: 7, Timeout: 600 * ms})
	f.router.HandleRequest(f.now, Request{ID: 3, Class: classNotIdempotent, Group: 7, Timeout: 3 * time.Second})
	f.advanceTo(f.now + 250*ms)
	f.wantNoAction("refuse 2")
	f.advanceTo(f.now + 60*ms)
	f.wantAction("refuse 2")
	f.advanceTo(f.now + 2600*ms)
	f.wantNoAction("refuse 3")
}

// New settings must not change a request under way: it keeps its class, and may have fewer attempts but not more.
func TestRetuneKeepsOpenRequests(t *testing.T) {
	retune := func(f *fakeHost, attempts int, change func(*Class)) error {
		set := testSettings()
		set.MaxAttempts = attempts
		stricter := set.Classes[classAny]
		change(&stricter)
		set.Classes = append(set.Classes, stricter)
		return f.router.UpdateSettings(f.now, set)
	}
	unsafe := func(c *Class) { c.Access, c.Idempotency = Write, NotIdempotent }
	f := newHostWithPrimary(t, func(s *Settings) { s.MaxAttempts = 3 })
	f.sendRequest(2, classByKey)
	f.sendRequest(3, classByKey)
	f.sendRequest(4, classByKey)
	if err := retune(f, 4, unsafe); err != nil {
		t.Fatal(err)
	}
	f.sendRequest(5, len(testSettings().Classes))
	f.endAttempt(2, 0, ServerError, RolePrimary)
	f.endAttempt(5, 0, ServerError, RolePrimary)
	if f.wantAction("fail 5"); len(f.attempts[2]) != 2 {
		t.Errorf("a keyed write under way has been sent to %v, want a repeat", f.attempts[2])
	}
	for n := range 4 { // three were allowed when it came
		f.endAttempt(3, n, Misdirected, RoleUnknown)
	}
	if n := len(f.attempts[3]); n != 3 {
		t.Errorf("%d attempts, want 3", n)
	}
	if err := retune(f, 1, unsafe); err != nil {
		t.Fatal(err)
	}
	f.endAttempt(4, 0, Misdirected, RoleUnknown)
	if n := len(f.attempts[4]); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
	if err := f.router.UpdateSettings(f.now, testSettings()); err == nil {
		t.Error("settings that take a class's number away pass")
	}
}

// What the old settings had counted, put off or not begun is as the new ones would have it, from the moment that they hold.
func TestRetuneActsAtOnce(t *testing.T) {
	draining := []Member{{ID: 1, Group: 7, State: Draining}}
	hurried := Request{ID: 99, Class: len(testSettings().Classes), Group: 7, Timeout: 1250 * ms}
	for name, c := range map[string]struct {
		old, next func(*Settings)
		before    func(*fakeHost)
		ok        func(*fakeHost) bool
	}{
		"a usual patience is that of one deadline": {
			old: func(s *Settings) {
				s.Classes[classAny].LatencyObjective, s.Classes[classAny].TotalTimeout = 300*ms, 750*ms
			},
			next: func(s *Settings) { // a class of the same name, behind the others
				k := s.Classes[classAny]
				k.LatencyObjective, k.TotalTimeout, k.LateWeightFraction = 750*ms, 2500*ms, 0
				s.Classes = append(s.Classes, k)
			},
			before: func(f *fakeHost) {
				for id := range uint32(60) {
					f.router.HandleRequest(f.now, Request{ID: 100 + id, Class: classAny, Group: 7, Timeout: 375 * ms})
					f.endAttempt(100+id, 0, OK, RoleUnknown)
				}
			},
			ok: func(f *fakeHost) bool { f.router.HandleRequest(f.now, hurried); return len(f.attempts[99]) == 1 }},
		"pings and calls of a smaller fleet come sooner": {
			old:    func(s *Settings) { s.Poolers, s.PollList, s.MaxPollInterval = 300, true, 10*time.Second },
			next:   func(s *Settings) { s.PollList, s.MaxPollInterval = true, 10*time.Second },
			before: func(f *fakeHost) { f.advanceTo(f.now + 50*ms) },
			ok: func(f *fakeHost) bool {
				f.advanceTo(f.now + time.Second)
				return len(f.probedServers) > 5 && f.hasAction("watch")
			}},
		"and fewer share a server": {old: func(s *Settings) { s.Poolers = 300 },
			ok: func(f *fakeHost) bool { return f.server(2).window.size >= f.router.pace.minWindow }},
		"a shorter grace holds for what drains": {old: func(s *Settings) { s.DrainGracePeriod = 2 * time.Second },
			before: func(f *fakeHost) {
				f.router.HandleList(f.now, ListDelta, draining)
				f.sendRequest(2, classNotIdempotent)
				f.now += 450 * ms
			},
			ok: func(f *fakeHost) bool { return !f.router.MayStillSend(f.now, 2, 0) }},
		"a longer one does not": {next: func(s *Settings) { s.DrainGracePeriod = 2 * time.Second },
			before: func(f *fakeHost) {
				f.router.HandleList(f.now, ListDelta, draining)
				f.sendRequest(2, classNotIdempotent)
				f.now += 450 * ms
			},
			ok: func(f *fakeHost) bool { return !f.router.MayStillSend(f.now, 2, 0) }},
		"a server is cold for longer": {next: func(s *Settings) { s.SlowStartDuration = 30 * time.Second },
			before: func(f *fakeHost) { f.router.slowStartWeight(f.server(2)) },
			ok:     func(f *fakeHost) bool { return f.router.slowStartWeight(f.server(2)) < 1 }},
		"or not at all": {old: func(s *Settings) { s.SlowStartDuration = 30 * time.Second }, next: func(s *Settings) { s.SlowStartDuration, s.OverloadFactor = 30*time.Second, 0 },
			before: func(f *fakeHost) { f.server(2).slowStart.budget = -1e12 },
			ok:     func(f *fakeHost) bool { return f.router.hasCapacity(f.server(2), classAny) }},
		"probes that are allowed find the primary": {old: func(s *Settings) { s.ProbesAllowed = false },
			before: func(f *fakeHost) { f.router.dropPrimary(f.server(1), "is lost"); f.probedServers = nil },
			ok:     func(f *fakeHost) bool { f.sendRequest(2, classNotIdempotent); return len(f.probedServers) == 3 }},
		"a session's writes were not remembered": {next: func(s *Settings) { s.TrackSessions = true },
			ok: func(f *fakeHost) bool { return f.router.sessionPosition(Request{Session: 5}) == f.now }},
	} {
		f := newHostWithPrimary(t, func(s *Settings) {
			s.Classes[classAny].Name = "view"
			if c.old != nil {
				c.old(s)
			}
		})
		f.router.HandleList(f.now, ListDelta, []Member{{ID: 2, Group: 7, State: Ready, StartedAt: startTime - 15*time.Second}})
		f.advanceTo(f.now + ms)
		if c.before != nil {
			c.before(f)
		}
		set := testSettings()
		set.Classes = f.router.settings.Classes[:len(set.Classes):len(set.Classes)]
		if c.next != nil {
			c.next(&set)
		}
		if err := f.router.UpdateSettings(f.now, set); err != nil {
			t.Fatal(err)
		}
		if !c.ok(f) {
			t.Errorf("%s: not so; did %v, probed %v", name, f.actions, f.probedServers)
		}
	}
}
