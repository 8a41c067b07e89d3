package policy

import (
	"fmt"
	"testing"
	"time"
)

func newMember(s uint32, state MemberState, weight int) Member {
	return Member{ID: s, Group: 7, State: state, ReadWeight: weight}
}

const ms = time.Millisecond

// server returns the router's record of a server, nil if there is none.
func (f *fakeHost) server(id uint32) *server { return f.router.servers.byID[id] }

// clearWarmLoad forgets the load that the router has observed.
func clearWarmLoad(r *Router) {
	for i := range r.estimates.classes {
		r.estimates.classes[i].warmLoad = 0
	}
}

func withPoolers(n int) func(*Settings) { return func(s *Settings) { s.Poolers = n } }

func (f *fakeHost) probeCount(s uint32) (n int) {
	for _, p := range f.probedServers {
		if p == s {
			n++
		}
	}
	return n
}

func memberList(n int, primary uint32) (list []Member) {
	for id := uint32(1); id <= uint32(n); id++ {
		list = append(list, Member{ID: id, Group: 7, State: Ready, Primary: id == primary})
	}
	return list
}

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

func (f *fakeHost) Fail(id uint32) { f.record("fail %d", id) }

func (f *fakeHost) CancelAttempt(id uint32, n int) { f.record("cancel %d %d", id, n) }

func (f *fakeHost) Probe(s uint32) { f.probedServers = append(f.probedServers, s) }

func (f *fakeHost) SetTimer(d time.Duration) { f.timersDue = append(f.timersDue, f.now+d) }

func (f *fakeHost) CloseIdleConnections(s uint32) { f.record("close %d", s) }

func (f *fakeHost) WatchList() { f.record("watch") }

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
