package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestUnknownEventsAreIgnored(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	host.router.HandleOutcome(host.now, Outcome{RequestID: 99, Attempt: 3})
	host.router.HandleDisconnect(host.now, 98)
	host.router.HandleProbeResult(host.now, ProbeResult{Server: 97})
	host.router.HandleTimer(host.now - time.Hour)
	host.router.HandleList(host.now, ListFull, nil)
	host.updateList(Member{ID: 96, Group: 1, State: Removed})
	host.sendRequestWithin(5, 99, time.Second)
	host.wantAction("fail 5")
	host.router.HandleRequest(host.now, Request{ID: 6, Class: classAny, Group: 12345, Timeout: time.Second})
	host.advanceTo(startTime + 2*time.Second)
	host.wantAction("reject 6")
}

// randomRun is a run of requests whose attempts end with random results.
type randomRun struct {
	*fakeHost
	seed           uint32
	lastID         uint32
	finalAnswers   map[uint32]int  // number of final answers by request
	countedActions int             // number of actions that countAnswers has read
	endedAttempts  map[[2]int]bool // attempts that have ended, by request and attempt number
}

const firstRandomRequestID = 101

// random returns a pseudorandom number in [0, n).
func (p *randomRun) random(n uint32) uint32 {
	p.seed = p.seed*1664525 + 1013904223
	return (p.seed >> 8) % n
}

// countAnswers counts the rejections and failures since the last call.
func (p *randomRun) countAnswers() {
	for ; p.countedActions < len(p.actions); p.countedActions++ {
		var id uint32
		action := p.actions[p.countedActions]
		if n, _ := fmt.Sscanf(action, "reject %d", &id); n == 1 {
			p.finalAnswers[id]++
		} else if n, _ := fmt.Sscanf(action, "fail %d", &id); n == 1 {
			p.finalAnswers[id]++
		}
	}
}

// endSomeAttempts ends each attempt in flight with a probability of 1 in 20.
func (p *randomRun) endSomeAttempts() {
	for id := uint32(firstRandomRequestID); id <= p.lastID; id++ {
		for attempt := range p.attempts[id] {
			key := [2]int{int(id), attempt}
			if p.endedAttempts[key] || p.random(20) != 0 {
				continue
			}
			p.endedAttempts[key] = true
			p.endRandomly(id, attempt)
		}
	}
}

// endRandomly ends an attempt with a random result.
func (p *randomRun) endRandomly(id uint32, attempt int) {
	result := Result(p.random(9))
	answered := p.finalAnswers[id] > 0
	if result == OK && !answered {
		p.finalAnswers[id]++
		answered = true
	}
	p.router.HandleOutcome(p.now, Outcome{RequestID: id, Attempt: attempt, Result: result, Answered: answered})
}

// runRandomly sends 600 requests within 3 s, waits for another 3 s, checks that each has had one
// final answer, and returns the actions of the Router.
func runRandomly(t *testing.T) []string {
	t.Helper()
	p := &randomRun{
		fakeHost:      newHostWithPrimary(t, func(s *Settings) { s.HedgingAllowed = true }),
		seed:          7,
		lastID:        firstRandomRequestID - 1,
		finalAnswers:  map[uint32]int{},
		endedAttempts: map[[2]int]bool{},
	}
	for p.now < startTime+6*time.Second {
		p.advance(5 * ms)
		if p.now < startTime+3*time.Second {
			p.lastID++
			p.sendRequest(p.lastID, int(p.lastID)%len(testSettings().Classes))
		}
		p.countAnswers()
		p.endSomeAttempts()
		p.probeAnswered(1, true, p.now)
	}
	for id := uint32(firstRandomRequestID); id < 700; id++ {
		if p.finalAnswers[id] != 1 {
			t.Fatalf("request %d had %d final answers, want 1; sent to %v", id, p.finalAnswers[id], p.attempts[id])
		}
	}
	return p.actions
}

// Every request has exactly one final answer in time, whatever the results of its attempts, and two
// runs with the same events have the same actions.
func TestOneFinalAnswerAndDeterminism(t *testing.T) {
	first := runRandomly(t)
	if second := runRandomly(t); !slices.Equal(first, second) {
		t.Fatal("a second run with the same events had other actions")
	}
}

// A class without a latency objective earns its full weight up to its timeout, and settings of 0
// cause no division by zero.
func TestZeroSettings(t *testing.T) {
	host := newHostWith(t, Settings{Classes: []Class{{}, {Access: Write, Idempotency: IdempotentByKey}}}, 1)
	router := host.router
	router.HandleList(host.now, ListFull, []Member{
		{ID: 1, State: Ready, StartedAt: host.now},
		{ID: 2, State: Ready, Primary: true},
	})
	router.HandleRequest(host.now, Request{ID: 1, Timeout: time.Second})
	router.HandleRequest(host.now, Request{ID: 2, Class: 1, Timeout: time.Second})
	host.wantAction("attempt 2 2")
	if len(host.attempts[1]) != 1 {
		t.Fatalf("read was not sent: %v", host.actions)
	}
	host.updateList(Member{ID: 1, State: Draining}, Member{ID: 2, State: Removed})
	host.advanceTo(startTime + ms)
	router.HandleRequest(host.now, Request{ID: 3, Class: 1, Timeout: time.Second})
	host.advanceTo(startTime + 2*time.Second)
	host.wantAction("reject 3")
}

// New settings must not change the class of an open request. They may lower its maximum number of
// attempts but not raise it.
func TestUpdateSettingsKeepsOpenRequests(t *testing.T) {
	// update sets the maximum number of attempts and adds a class that is not idempotent.
	update := func(host *fakeHost, maxAttempts int) {
		t.Helper()
		settings := testSettings()
		settings.MaxAttempts = maxAttempts
		stricter := settings.Classes[classAny]
		stricter.Access = Write
		stricter.Idempotency = NotIdempotent
		settings.Classes = append(settings.Classes, stricter)
		if err := host.router.UpdateSettings(host.now, settings); err != nil {
			t.Fatal(err)
		}
	}
	host := newHostWithPrimary(t, func(s *Settings) { s.MaxAttempts = 3 })
	host.sendRequest(2, classByKey)
	host.sendRequest(3, classByKey)
	host.sendRequest(4, classByKey)
	update(host, 4)
	host.sendRequest(5, len(testSettings().Classes))
	host.endAttempt(2, 0, ServerError, RolePrimary)
	host.endAttempt(5, 0, ServerError, RolePrimary)
	host.wantAction("fail 5")
	if len(host.attempts[2]) != 2 {
		t.Errorf("write that is idempotent by its key was sent to %v, want a repeat", host.attempts[2])
	}
	for attempt := range 4 { // MaxAttempts was 3 when the request arrived
		host.endAttempt(3, attempt, Misdirected, RoleUnknown)
	}
	if n := len(host.attempts[3]); n != 3 {
		t.Errorf("%d attempts, want 3", n)
	}
	update(host, 1)
	host.endAttempt(4, 0, Misdirected, RoleUnknown)
	if n := len(host.attempts[4]); n != 1 {
		t.Errorf("%d attempts, want 1", n)
	}
	if err := host.router.UpdateSettings(host.now, testSettings()); err == nil {
		t.Error("settings with fewer classes were accepted")
	}
}

// settingsUpdate is an update of a running Router's settings and the condition that must hold
// after it.
type settingsUpdate struct {
	old    func(*Settings)      // changes the test settings before the update; nil for no change
	next   func(*Settings)      // changes the test settings for the update; nil for no change
	before func(*fakeHost)      // called before the update; nil for none
	want   func(*fakeHost) bool // condition that must hold after the update
}

// check runs an update on a host whose server 2 was started 15 s before.
func (u settingsUpdate) check(t *testing.T) {
	t.Helper()
	host := newHostWithPrimary(t, func(s *Settings) {
		s.Classes[classAny].Name = "view"
		if u.old != nil {
			u.old(s)
		}
	})
	host.listStart(Ready, startTime-15*time.Second)
	host.advance(ms)
	if u.before != nil {
		u.before(host)
	}
	settings := testSettings()
	settings.Classes = slices.Clip(host.router.settings.Classes[:len(settings.Classes)])
	if u.next != nil {
		u.next(&settings)
	}
	if err := host.router.UpdateSettings(host.now, settings); err != nil {
		t.Fatal(err)
	}
	if !u.want(host) {
		t.Errorf("condition does not hold; actions %v, probed servers %v", host.actions, host.probedServers)
	}
}

// New settings also apply to what was counted, scheduled or left out under the old ones.
func TestUpdateSettingsTakesEffectAtOnce(t *testing.T) {
	for name, update := range map[string]settingsUpdate{
		"least window is that of a smaller fleet": {
			old:  withPoolers(300),
			want: func(host *fakeHost) bool { return host.server(2).window.size >= host.router.fleet.minWindow },
		},
		"slow start lasts longer": {
			next:   func(s *Settings) { s.SlowStartDuration = 30 * time.Second },
			before: func(host *fakeHost) { host.router.slowStartWeight(host.server(2)) },
			want:   func(host *fakeHost) bool { return host.router.slowStartWeight(host.server(2)) < 1 },
		},
		"no slow start": {
			old: func(s *Settings) { s.SlowStartDuration = 30 * time.Second },
			next: func(s *Settings) {
				s.SlowStartDuration = 30 * time.Second
				s.OverloadFactor = 0
			},
			before: func(host *fakeHost) { host.server(2).slowStart.budget = -1e12 },
			want:   func(host *fakeHost) bool { return host.router.hasCapacity(host.server(2), classAny) },
		},
		"probes are allowed": {
			old: func(s *Settings) { s.ProbesAllowed = false },
			before: func(host *fakeHost) {
				host.router.dropPrimary(host.server(1), "is down")
				host.probedServers = nil
			},
			want: func(host *fakeHost) bool {
				host.sendRequest(2, classNotIdempotent)
				return len(host.probedServers) == 3
			},
		},
		"earlier writes of a session were not tracked": {
			next: func(s *Settings) { s.TrackSessions = true },
			want: func(host *fakeHost) bool {
				return host.router.sessionPosition(Request{Sessions: []uint64{5}}) == host.now+maxClockDifference
			},
		},
	} {
		t.Run(name, update.check)
	}
}

// After the fleet has become smaller, pings of the primary and polls of the list come sooner.
func TestUpdateSettingsOfFleetSize(t *testing.T) {
	withPolling := func(s *Settings) {
		s.PollList = true
		s.MaxPollInterval = 10 * time.Second
	}
	settingsUpdate{
		old: func(s *Settings) {
			s.Poolers = 300
			withPolling(s)
		},
		next:   withPolling,
		before: func(host *fakeHost) { host.advance(50 * ms) },
		want: func(host *fakeHost) bool {
			host.advance(time.Second)
			return len(host.probedServers) > 5 && host.hasAction("watch")
		},
	}.check(t)
}

// A shorter grace period applies to a server that is already draining, and a longer one does not.
func TestUpdateSettingsOfGracePeriod(t *testing.T) {
	longer := func(s *Settings) { s.DrainGracePeriod = 2 * time.Second }
	drain := func(host *fakeHost) {
		host.updateList(newMember(1, Draining, 0))
		host.sendRequest(2, classNotIdempotent)
		host.now += 450 * ms
	}
	over := func(host *fakeHost) bool { return !host.router.MayStillSend(host.now, 2, 0) }
	t.Run("shorter", settingsUpdate{old: longer, before: drain, want: over}.check)
	t.Run("longer", settingsUpdate{next: longer, before: drain, want: over}.check)
}

// The usual timeout of a class depends on its total timeout. A new class with the same name does
// not inherit it if its total timeout differs.
func TestUpdateSettingsOfTotalTimeout(t *testing.T) {
	newClass := len(testSettings().Classes)
	settingsUpdate{
		old: func(s *Settings) {
			s.Classes[classAny].LatencyObjective = 300 * ms
			s.Classes[classAny].TotalTimeout = 750 * ms
		},
		next: func(s *Settings) { // a class of the same name, after the others
			c := s.Classes[classAny]
			c.LatencyObjective = 750 * ms
			c.TotalTimeout = 2500 * ms
			c.LateWeightFraction = 0
			s.Classes = append(s.Classes, c)
		},
		before: func(host *fakeHost) {
			for id := range uint32(60) {
				host.sendRequestWithin(100+id, classAny, 375*ms)
				host.endAttempt(100+id, 0, OK, RoleUnknown)
			}
		},
		want: func(host *fakeHost) bool {
			host.sendRequestWithin(99, newClass, 1250*ms)
			return len(host.attempts[99]) == 1
		},
	}.check(t)
}
