package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func withPoolers(n int) func(*Settings) { return func(s *Settings) { s.Poolers = n } }

func (f *fakeHost) probeCount(s uint32) (n int) {
	for _, p := range f.probedServers {
		if p == s {
			n++
		}
	}
	return n
}

// All fronts together send a primary a bounded number of pings, and the small fleet its 100 ms ping.
func TestFleetPings(t *testing.T) {
	for _, c := range []struct{ fronts, least, most int }{{3, 598, 602}, {5, 598, 602}, {100, 5, 7}, {400, 1, 2}} {
		f := newHostWithPrimary(t, withPoolers(c.fronts))
		for id := uint32(10); f.now < startTime+time.Minute; id++ {
			f.sendRequest(id, classAny) // in use, but no word from the primary
			if len(f.attempts[id]) > 0 {
				f.endAttempt(id, 0, OK, RoleUnknown)
			}
			f.advanceTo(f.now + 500*ms)
		}
		if n := f.probeCount(1); n < c.least || n > c.most {
			t.Errorf("%d fronts: %d pings by one in a minute, want %d to %d", c.fronts, n, c.least, c.most)
		}
	}
}

// A front of a large fleet without traffic does not ping; its first write finds that the primary is dead, and
// reaches the new one.
func TestIdleFrontFindsDeadPrimary(t *testing.T) {
	f := newHostWithPrimary(t, withPoolers(400))
	f.advanceTo(startTime + 20*time.Second)
	f.probedServers = nil
	f.advanceTo(startTime + time.Minute)
	if len(f.probedServers) != 0 {
		t.Fatalf("%d probes by a front without traffic", len(f.probedServers))
	}
	f.sendRequest(2, classNotIdempotent)
	f.wantAction("attempt 2 1")
	f.endAttempt(2, 0, ConnectFailed, RoleUnknown)
	if f.probeCount(2) == 0 || f.probeCount(3) == 0 {
		t.Fatalf("probed %v after the refused connect, want a round", f.probedServers)
	}
	f.probeUnreachable(1)
	f.probeAnswered(3, true, f.now)
	f.wantAction("attempt 2 3")
}

// Scarce connections: a refused connect pauses the store and starts a round; the record stands while the primary
// answers that. When it comes a third time with nothing served between, connections are not kept idle meanwhile;
// sooner it may be one that broke.
func TestRefusedConnectKeepsTheRecord(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.sendRequest(2, classNotIdempotent)
	f.endAttempt(2, 0, ConnectFailed, RoleUnknown)
	f.probeAnswered(1, true, f.now)
	if p := f.router.groups[7].primary; p == nil || p.ID != 1 {
		t.Fatal("a refused connect took the primary off the record")
	}
	f.advanceTo(f.now + 200*ms)
	if len(f.attempts[2]) != 2 || f.attempts[2][1] != 1 {
		t.Fatalf("sent to %v, want store 1 again after a pause", f.attempts[2])
	}
	f.endAttempt(2, 1, ConnectFailed, RoleUnknown)
	f.wantNoAction("close 1")
	f.advanceTo(f.now + 200*ms)
	f.endAttempt(2, 2, ConnectFailed, RoleUnknown)
	f.wantAction("close 1")
}

// Probes that fail by themselves: an error says nothing, and silence nothing within a second of an answer.
func TestFailedProbesAgainstAnswers(t *testing.T) {
	for _, c := range []struct {
		res  Result
		wait time.Duration
		lost bool
	}{{ServerError, 100 * ms, false}, {ServerError, 5 * time.Second, false}, {TimedOut, 900 * ms, false},
		{TimedOut, 1100 * ms, true}, {ConnectFailed, 100 * ms, true}} {
		f := newHostWithPrimary(t, nil)
		f.sendRequest(2, classLatest)
		f.endAttempt(2, 0, OK, RolePrimary)
		f.advanceTo(f.now + c.wait)
		f.router.HandleProbeResult(f.now, ProbeResult{Server: 1, Result: c.res})
		if lost := f.router.groups[7].primary == nil; lost != c.lost {
			t.Errorf("probe result %d %v after an answer: record lost %v, want %v", c.res, c.wait, lost, c.lost)
		}
	}
}

// When no probe finds a primary the last one is tried: turned away it is harmless, answered it is the record again.
func TestDarkGroupTriesTheLastPrimary(t *testing.T) {
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

// Worthless requests get a quick error at every store and cost none its turn.
func TestErrorsEverywhereCostNoTurn(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	for id := uint32(2); id < 80; id++ {
		f.advanceTo(f.now + 10*ms)
		f.sendRequest(id, classAny)
		res := OK
		if id%2 == 0 {
			res = ServerError
		}
		for n := 0; n < len(f.attempts[id]); n++ {
			f.endAttempt(id, n, res, RoleReplica)
		}
	}
	for s := uint32(2); s <= 3; s++ {
		if f.server(s).ejection.ejected {
			t.Errorf("store %d lost its turn to errors that all stores give", s)
		}
	}
}

// What a gone client left behind is cancelled, and its short life is no good answer time.
func TestGoneIsCancelledAndNoGoodTime(t *testing.T) {
	f := newHostWithPrimary(t, nil)
	f.sendRequest(2, classLatest)
	p := f.server(1)
	p.latency.ratio, p.latency.measuredAt, f.router.overall.latencyRatio = 3, f.now, 3
	f.advanceTo(f.now + 20*ms)
	f.router.HandleDisconnect(f.now, 2)
	f.wantAction("cancel 2 0")
	f.endAttempt(2, 0, Cancelled, RoleUnknown)
	if p.latency.ratio < 3 || f.router.overall.latencyRatio < 3 {
		t.Fatalf("slowness %.2f and %.2f after a cancelled attempt, want 3", p.latency.ratio, f.router.overall.latencyRatio)
	}
}

// A client in a hurry is judged by what it has left, not taken for a later try.
func TestHurriedClientIsServed(t *testing.T) {
	f := newHostWithPrimary(t, func(s *Settings) { s.Classes[classAny].LateWeightFraction = 0 })
	f.router.HandleRequest(f.now, Request{ID: 2, Class: classAny, Group: 7, Timeout: 200 * ms})
	f.wantNoAction("refuse 2")
	if len(f.attempts[2]) != 1 {
		t.Fatalf("sent to %v, want one store at once", f.attempts[2])
	}
}

// In a jam the primary of a large fleet takes reads that no replica has room for while it answers in good time itself,
// whatever the replicas do.
func TestFallbackInAJam(t *testing.T) {
	for _, c := range []struct {
		primary, all float64
		sent         bool
	}{{1, 1, true}, {1, 3, true}, {3, 1, false}} {
		f := newHostWithPrimary(t, withPoolers(400))
		p := f.server(1)
		p.latency.ratio, p.latency.measuredAt, f.router.overall.latencyRatio = c.primary, f.now, c.all
		f.router.withdraw(f.server(2), Draining)
		f.router.withdraw(f.server(3), Draining)
		f.sendRequest(2, classAny)
		f.advanceTo(f.now + 200*ms)
		if sent := len(f.attempts[2]) > 0; sent != c.sent {
			t.Errorf("%+v: sent to the primary %v", c, sent)
		}
	}
}

// Fronts with little traffic start without rests: a shared window holds them back only in a jam.
func TestLightFrontServesAtOnce(t *testing.T) {
	f := newHostWithPrimary(t, withPoolers(400))
	for id := uint32(2); id < 8; id++ {
		f.sendRequest(id, classLatest)
		f.wantAction(fmt.Sprintf("attempt %d 1", id))
		f.advanceTo(f.now + 80*ms)
		f.endAttempt(id, 0, OK, RolePrimary)
	}
}

func newBenchmarkRouter(b *testing.B) (*Router, []Member) {
	b.Helper()
	set := testSettings()
	set.Poolers = 400
	r, err := New(set, 1, discardActions{})
	if err != nil {
		b.Fatal(err)
	}
	list := make([]Member, 60)
	for i := range list {
		list[i] = Member{ID: uint32(i + 1), Group: i / 6, State: Ready}
	}
	return r, list
}

type discardActions struct{}

func (discardActions) Attempt(uint32, uint32, time.Duration) {}
func (discardActions) Reject(uint32, time.Duration)          {}
func (discardActions) Fail(uint32)                           {}
func (discardActions) CancelAttempt(uint32, int)             {}
func (discardActions) Probe(uint32)                          {}
func (discardActions) SetTimer(time.Duration)                {}
func (discardActions) CloseIdleConnections(uint32)           {}
func (discardActions) WatchList()                            {}
func (discardActions) PrimaryChanged(PrimaryEvent)           {}
func (discardActions) Log(string)                            {}

// The cost of a request and its outcome at a front that knows 60 stores.
func BenchmarkRequest(b *testing.B) {
	r, list := newBenchmarkRouter(b)
	r.HandleList(startTime, ListCached, list)
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		now := startTime + time.Duration(i)*ms
		id := uint32(i + 1)
		r.HandleRequest(now, Request{ID: id, Class: classAny, Group: i % 10, Timeout: 2 * time.Second})
		r.HandleOutcome(now, Outcome{RequestID: id, Result: OK, Answered: true, Role: RoleReplica})
		r.HandleTimer(now)
	}
}

// The cost of a front's start with a full list.
func BenchmarkStart(b *testing.B) {
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		r, list := newBenchmarkRouter(b)
		r.HandleList(startTime, ListCached, list)
	}
}

// The fronts of a large fleet do not save up for the same moment, nor all wait until a cold store is warm.
func TestColdStoreIsSentWorkAtPhases(t *testing.T) {
	early, sends := 0, 0
	const fronts = 100
	for seed := uint64(1); seed <= fronts; seed++ {
		f := newHostWithPrimary(t, func(s *Settings) { s.Poolers, s.PoolerIndex = fronts, int(seed-1) })
		f.router.HandleList(f.now, ListDelta, []Member{{ID: 2, Group: 7, State: Ready, StartedAt: f.now},
			{ID: 3, Group: 7, State: Draining}, {ID: 1, Group: 7, State: Draining}})
		for id := uint32(10); f.now < startTime+4*time.Second; id++ {
			f.sendRequest(id, classAny)
			f.advanceTo(f.now + 50*ms)
			for n, s := range f.attempts[id] {
				if s == 2 {
					sends++
					if f.now < startTime+2*time.Second {
						early++
					}
				}
				f.endAttempt(id, n, OK, RoleReplica)
			}
		}
	}
	// 0.2 to 0.52 of capacity, doubled, on two cores, in 4 s, at 125 ms each: 46 in all.
	if sends < 10 || sends > 46 || early < 2 {
		t.Errorf("%d sends, %d of them in the first half; want 10 to 46, and some early", sends, early)
	}
}

// A large fleet's front asks one replica for its position at a time while reads are held for one, the next where that
// stays silent, and one that was too far behind as seldom as rounds are held.
func TestOnePositionAtATime(t *testing.T) {
	for _, c := range []struct{ fronts, probes int }{{2, 2}, {400, 1}} {
		f := newHostWithPrimary(t, withPoolers(c.fronts))
		f.advanceTo(startTime + 5*time.Second) // all that was known is old
		f.probedServers = nil
		f.sendRequest(2, classBounded)
		if n := f.probeCount(2) + f.probeCount(3); n != c.probes {
			t.Errorf("%d fronts: %d replicas asked at once, want %d", c.fronts, n, c.probes)
		}
	}
	f := newHostWithPrimary(t, withPoolers(400))
	f.advanceTo(startTime + 5*time.Second)
	f.probedServers = nil
	f.router.HandleRequest(f.now, Request{ID: 2, Class: classBounded, Group: 7, Timeout: time.Second})
	f.advanceTo(f.now + 2*positionRefreshInterval)
	if f.probeCount(2) != 1 || f.probeCount(3) != 1 {
		t.Fatalf("asked %v, want each replica once", f.probedServers)
	}
	f.probeAnswered(2, false, f.now-3*time.Second)
	f.probeAnswered(3, false, f.now)
	f.wantAction("attempt 2 3")
	f.endAttempt(2, 0, OK, RoleReplica)
	f.router.withdraw(f.server(3), Draining)
	for id := uint32(3); id < 6; id++ {
		f.router.HandleRequest(f.now, Request{ID: id, Class: classBounded, Group: 7, Timeout: time.Second})
	}
	if f.advanceTo(f.now + 200*ms); f.probeCount(2) != 1 {
		t.Fatalf("asked %v, want the replica that lags left alone at first", f.probedServers)
	}
}

func memberList(n int, primary uint32) (list []Member) {
	for id := uint32(1); id <= uint32(n); id++ {
		list = append(list, Member{ID: id, Group: 7, State: Ready, Primary: id == primary})
	}
	return list
}

// Eighty fronts with a read each, and then with another while that is out: each replica is the home of as many, and what a
// home has no time for goes to the others alike. Lagging replicas draw nobody elsewhere.
func TestHomesSpreadReadsEvenly(t *testing.T) {
	const fronts = 80
	first, second := map[uint32]int{}, map[uint32]int{}
	for me := range fronts {
		f := newHost(t, func(s *Settings) { s.Poolers, s.PoolerIndex = fronts, me })
		f.router.HandleList(f.now, ListFull, memberList(5, 1))
		f.probeAnswered(1, true, f.now)
		f.probeAnswered(2, false, f.now-time.Second)
		f.sendRequest(10, classAny)
		f.endAttempt(10, 0, OK, RoleReplica)
		f.sendRequest(11, classAny)
		if f.attempts[11][0] != f.attempts[10][0] {
			t.Fatalf("front %d: reads at %d and %d, want its home again", me, f.attempts[10][0], f.attempts[11][0])
		}
		f.sendRequest(12, classAny)
		first[f.attempts[11][0]]++
		second[f.attempts[12][0]]++
	}
	for id := uint32(2); id <= 5; id++ {
		for place, n := range map[string]int{"home": first[id], "second": second[id]} {
			if n < 17 || n > 21 { // balance.Slack of the mean
				t.Errorf("replica %d is the %s of %d fronts, want about 20", id, place, n)
			}
		}
	}
}

// A hundred fronts that start at once probe nobody where the list names a primary: their first writes go there, and only
// those that learn better ask the others.
func TestStartWithoutRounds(t *testing.T) {
	for _, c := range []struct {
		fronts, probes int
		listed         uint32
	}{{2, 3, 1}, {100, 0, 1}, {100, 3, 0}} {
		f := &fakeHost{t: t, now: startTime, attempts: map[uint32][]uint32{}}
		set := testSettings()
		set.Poolers = c.fronts
		f.router, _ = New(set, 1, f)
		f.router.HandleList(f.now, ListCached, memberList(3, 0))
		f.router.HandleList(f.now, ListFull, memberList(3, c.listed))
		f.sendRequest(2, classByKey)
		if len(f.probedServers) != c.probes {
			t.Errorf("%+v: probed %v", c, f.probedServers)
		}
		if c.probes > 0 {
			continue
		}
		f.wantAction("attempt 2 1")
		f.endAttempt(2, 0, Misdirected, RoleReplica)
		if len(f.probedServers) != 3 {
			t.Fatalf("probed %v after a miss, want a round", f.probedServers)
		}
		f.probeAnswered(3, true, f.now)
		f.wantAction("attempt 2 3")
	}
}

// A cold replica is sent reads by the fronts whose turn it is as soon as their homes are slow, wherever it stands among the
// others, and no more than one a turn; an idle home keeps its reads.
func TestColdStoreRelievesASlowHome(t *testing.T) {
	calm := 0
	for _, slow := range []float64{1, 3} {
		cold := 0
		for me := range 80 {
			f := newHost(t, func(s *Settings) { s.Poolers, s.PoolerIndex = 80, me })
			list := memberList(5, 1)
			list[4].StartedAt = f.now
			f.router.HandleList(f.now, ListFull, list)
			f.advanceTo(f.now + 5*time.Second)
			home, one := f.router.rankedReplicas(f.router.groups[7])[0].ID, 0
			for id := uint32(10); id < 30; id++ {
				for _, s := range f.router.servers.ordered[:4] {
					s.latency.ratio, s.latency.measuredAt, s.window.size = slow, f.now, 1
				}
				f.sendRequest(id, classAny)
				if f.attempts[id][0] == 5 {
					one++
				}
				f.endAttempt(id, 0, OK, RoleReplica)
				clearWarmLoad(f.router)
			}
			if one > 1 || one > 0 && home != 5 && slow == 1 {
				t.Errorf("slowness %v: front %d, whose home is %d, sends %d of 20 reads to the cold one", slow, me, home, one)
			}
			cold += one
		}
		if slow == 1 {
			calm = cold
		} else if cold < 2*calm || cold > 24 { // twice 0.6 of two cores for a second, at 100 ms a read
			t.Errorf("%d of 80 fronts send to the cold replica in a jam, %d in a calm", cold, calm)
		}
	}
}

// In a jam a front whose share of a window is less than one attempt rests between reads as long as that share asks for:
// by how long the last one took, so that the sum over all fronts is the window however slow the store. Writes, which
// have nowhere else to go, do not rest, nor does anybody while answers come in good time.
func TestRestsInAJam(t *testing.T) {
	for _, c := range []struct {
		slow        float64
		class       int
		first, next time.Duration // the store has held an attempt so long, and may be sent the next one so much later
	}{{1, classBounded, 200 * ms, 0}, {3, classBounded, 100 * ms, 900 * ms}, {3, classBounded, 300 * ms, 2700 * ms}, {3, classNotIdempotent, 200 * ms, 0}} {
		f := newHostWithPrimary(t, withPoolers(80))
		f.router.overall.latencyRatio = c.slow
		f.sendRequest(2, classAny)
		s := f.server(f.attempts[2][0])
		f.advanceTo(f.now + c.first)
		f.endAttempt(2, 0, OK, RoleReplica)
		s.window.size, s.latency.ratio, f.router.overall.latencyRatio = 0.1, 1, c.slow
		for _, wait := range []time.Duration{c.next - 10*ms, c.next} {
			f.router.advanceClock(s.outstanding.lastEndedAt + wait)
			if got, want := f.router.hasCapacity(s, c.class), wait >= c.next || c.next == 0; got != want {
				t.Errorf("%+v: room after %v is %v", c, wait, got)
			}
		}
	}
}

// Windows of less than one attempt grow only where they were in force; one good answer after another in a calm says
// nothing about a jam.
func TestSharedWindowKeepsInACalm(t *testing.T) {
	for _, slow := range []float64{1, 2} {
		f := newHostWithPrimary(t, withPoolers(80))
		for id := uint32(2); id < 12; id++ {
			f.sendRequest(id, classLatest)
			f.advanceTo(f.now + 20*ms)
			f.router.overall.latencyRatio = slow
			f.endAttempt(id, 0, OK, RolePrimary)
		}
		if w := f.server(1).window.size; (w > 0.1) != (slow > congestedLatencyRatio) {
			t.Errorf("slowness %v: window %v after ten good answers, from 0.1", slow, w)
		}
	}
}

// Attempts that wait at a store which says nothing count against that store, and make no jam of the others.
func TestSilenceIsNoJam(t *testing.T) {
	for _, heard := range []time.Duration{200 * ms, 5 * time.Second} {
		f := newHostWithPrimary(t, withPoolers(80))
		f.advanceTo(startTime + 10*time.Second)
		s := f.server(2)
		f.router.advanceClock(f.now)
		s.health.lastAnswerAt = f.now - heard
		for range 20 {
			f.router.observeLatency(s, &attempt{server: s, sentAt: f.now - 500*ms, request: &request{}}, false)
		}
		if jam := f.router.overall.latencyRatio > congestedLatencyRatio; jam != (heard < recentAnswerAge) || s.latency.ratio < 2 {
			t.Errorf("heard %v ago: slowness of all %.1f, of the store %.1f", heard, f.router.overall.latencyRatio, s.latency.ratio)
		}
	}
}

// Eighty fronts that start at once, and whose calls of the list service all fail after 2 s: what the service gets in any second
// is near what it can bear, and each front is back in time. A small fleet asks at once.
func TestListCallsAreSpread(t *testing.T) {
	seeds := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct{ fronts, inASecond int }{{1, 1}, {80, 36}} { // twice the even rate for first calls, half as many more by chance
		var calls []time.Duration
		for me := range c.fronts {
			f := &fakeHost{t: t, now: startTime, attempts: map[uint32][]uint32{}}
			set := testSettings()
			set.Poolers, set.PoolerIndex, set.PollList, set.MaxPollInterval = c.fronts, me, true, 10*time.Second
			f.router, _ = New(set, seeds.Uint64(), f)
			f.router.HandleList(f.now, ListCached, memberList(3, 1))
			called := startTime - 10*time.Second
			for f.now < startTime+20*time.Second {
				f.actions = nil
				f.advanceTo(f.now + 10*ms)
				if f.hasAction("watch") {
					if f.now > called+20*time.Second {
						t.Fatalf("front %d: no call for %v", me, f.now-called)
					}
					calls, called = append(calls, f.now), f.now
					f.advanceTo(f.now + 2*time.Second)
					f.router.HandleList(f.now, ListFailed, nil)
				}
			}
		}
		slices.Sort(calls)
		most := 0
		for i, at := range calls {
			n, _ := slices.BinarySearch(calls, at+time.Second)
			most = max(most, n-i)
		}
		if most > c.inASecond {
			t.Errorf("%d fronts: %d calls in a second, want %d at most", c.fronts, most, c.inASecond)
		}
	}
}

// When one replica of a group is replaced, or hands its place to the primary, the fronts whose home it was move, and few
// others: each that moves dials a server anew.
func TestFewHomesMove(t *testing.T) {
	const fronts = 80
	for name, change := range map[string]func(f *fakeHost){
		"replaced": func(f *fakeHost) {
			list := memberList(5, 1)
			list[4].ID = 6
			f.router.HandleList(f.now, ListFull, list)
		},
		"promoted": func(f *fakeHost) {
			f.now += time.Second
			f.probeAnswered(1, false, f.now)
			f.probeAnswered(5, true, f.now)
		},
	} {
		moved, own := 0, 0
		for me := range fronts {
			f := newHost(t, func(s *Settings) { s.Poolers, s.PoolerIndex = fronts, me })
			f.router.HandleList(f.now, ListFull, memberList(5, 1))
			f.probeAnswered(1, true, f.now)
			f.sendRequest(10, classAny)
			f.endAttempt(10, 0, OK, RoleReplica)
			change(f)
			f.sendRequest(11, classAny)
			if home := f.attempts[10][0]; home != f.attempts[11][0] {
				if moved++; home == 5 {
					own++
				}
			}
		}
		if own == 0 || moved > own+fronts/4+fronts/20 { // the new one's share, and one in twenty
			t.Errorf("%s: %d of %d fronts have another home, %d of them had the one that left", name, moved, fronts, own)
		}
	}
}

// While another front repeats a group's rounds for all, one that holds work leaves them to it, and goes on by itself once
// nothing is heard of it. What it tells is taken as of its time, and newer evidence stands.
func TestRoundsLeftToAnother(t *testing.T) {
	f := newHostWithPrimary(t, withPoolers(80))
	rounds := func(d time.Duration) int { // probes within d, where every member says that it is a replica
		before := len(f.probedServers)
		for end := f.now + d; f.now < end; {
			f.advanceTo(min(f.now+100*ms, end))
			for _, s := range f.router.servers.ordered {
				if s.health.inRound {
					f.probeAnswered(s.ID, false, f.now)
				}
			}
		}
		return len(f.probedServers) - before
	}
	f.probeAnswered(1, false, f.now)
	f.sendRequest(2, classLatest)
	if n := rounds(time.Second); n == 0 {
		t.Fatal("no round of its own after the loss")
	}
	f.sendRequest(3, classLatest)
	f.router.ObservePrimary(f.now, 7, 0, false, 0)
	if n := rounds(leaderRoundsTrust - 100*ms); n != 0 {
		t.Errorf("%d probes while another front repeats the rounds", n)
	}
	before := len(f.probedServers)
	if f.router.ReportPrimaryDown(f.now, 7); len(f.probedServers) != before {
		t.Error("a front that repeats nothing for others probes at another's loss")
	}
	f.sendRequest(4, classLatest)
	if n := rounds(time.Second); n == 0 {
		t.Error("no round of its own once the other is silent")
	}
	f.router.ObservePrimary(f.now, 7, 2, true, f.now-time.Minute)
	if f.router.groupFor(7).primary != nil {
		t.Error("old news of a primary outweighs a newer no")
	}
	f.router.ObservePrimary(f.now, 7, 2, true, f.now+ms)
	if p := f.router.groupFor(7).primary; p == nil || p.ID != 2 {
		t.Errorf("the primary that was told is not the record: %v", p)
	}
	f.router.ObservePrimary(f.now, 7, 0, false, 0)
	f.probeAnswered(3, true, f.now+2*ms)
	if f.router.groupFor(7).round.leaderUntil != 0 {
		t.Error("with a primary found, the rounds of a next loss are still left to another")
	}
	f.router.ObservePrimary(f.now, 7, 2, true, f.now+3*ms)
	f.router.SetRoundLeader(true)
	f.advanceTo(f.now + roundInterval)
	before = len(f.probedServers)
	f.router.ReportPrimaryDown(f.now, 7)
	f.router.ReportPrimaryDown(f.now, 7)
	if n := len(f.probedServers) - before; n != 3 {
		t.Errorf("%d probes of the front that repeats rounds for all, told twice of a loss, want one round", n)
	}
	f.probeAnswered(2, false, f.now)
	for id := range uint32(10) {
		f.router.HandleDisconnect(f.now, id)
	}
	if n := rounds(2 * time.Second); n < 6 {
		t.Errorf("%d probes of the front that repeats rounds for all, without work of its own", n)
	}
}
