package policy

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

func TestUnknownEventsAreIgnored(t *testing.T) {
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
func TestZeroSettings(t *testing.T) {
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

// New settings must not change a request under way: it keeps its class, and may have fewer attempts but not more.
func TestUpdateSettingsKeepsOpenRequests(t *testing.T) {
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
func TestUpdateSettingsTakesEffectAtOnce(t *testing.T) {
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
