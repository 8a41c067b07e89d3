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

// randomPlay plays requests whose attempts end in random ways.
type randomPlay struct {
	*fakeHost
	seed     uint32
	lastID   uint32
	answers  map[uint32]int  // final answers by request
	readTo   int             // actions already counted
	finished map[[2]int]bool // attempts that have ended, by request and number
}

const firstPlayedID = 101

// random returns a number from 0 to below n.
func (p *randomPlay) random(n uint32) uint32 {
	p.seed = p.seed*1664525 + 1013904223
	return (p.seed >> 8) % n
}

// countAnswers counts the rejections and failures since the last call.
func (p *randomPlay) countAnswers() {
	for ; p.readTo < len(p.actions); p.readTo++ {
		var id uint32
		action := p.actions[p.readTo]
		if n, _ := fmt.Sscanf(action, "reject %d", &id); n == 1 {
			p.answers[id]++
		} else if n, _ := fmt.Sscanf(action, "fail %d", &id); n == 1 {
			p.answers[id]++
		}
	}
}

// endSomeAttempts ends one in twenty of the attempts that are in flight.
func (p *randomPlay) endSomeAttempts() {
	for id := uint32(firstPlayedID); id <= p.lastID; id++ {
		for attempt := range p.attempts[id] {
			key := [2]int{int(id), attempt}
			if p.finished[key] || p.random(20) != 0 {
				continue
			}
			p.finished[key] = true
			p.endRandomly(id, attempt)
		}
	}
}

func (p *randomPlay) endRandomly(id uint32, attempt int) {
	result := Result(p.random(9))
	answered := p.answers[id] > 0
	if result == OK && !answered {
		p.answers[id]++
		answered = true
	}
	p.router.HandleOutcome(p.now, Outcome{RequestID: id, Attempt: attempt, Result: result, Answered: answered})
}

// playRandomly plays 600 requests over 3 s, waits for 3 s, and returns the actions.
func playRandomly(t *testing.T) []string {
	t.Helper()
	p := &randomPlay{
		fakeHost: newHostWithPrimary(t, func(s *Settings) { s.HedgingAllowed = true }),
		seed:     7,
		lastID:   firstPlayedID - 1,
		answers:  map[uint32]int{},
		finished: map[[2]int]bool{},
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
	for id := uint32(firstPlayedID); id < 700; id++ {
		if p.answers[id] != 1 {
			t.Fatalf("request %d had %d answers; sent to %v", id, p.answers[id], p.attempts[id])
		}
	}
	return p.actions
}

// Every request has exactly one final answer in time, whatever the servers do, and two runs are alike.
func TestOneAnswerAndDeterminism(t *testing.T) {
	first := playRandomly(t)
	if second := playRandomly(t); !slices.Equal(first, second) {
		t.Fatal("the same events led to other actions")
	}
}

// A class without a latency objective earns its full weight up to its timeout; settings left out divide nothing by zero.
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
		t.Fatalf("the read was not sent: %v", host.actions)
	}
	host.updateList(Member{ID: 1, State: Draining}, Member{ID: 2, State: Removed})
	host.advanceTo(startTime + ms)
	router.HandleRequest(host.now, Request{ID: 3, Class: 1, Timeout: time.Second})
	host.advanceTo(startTime + 2*time.Second)
	host.wantAction("reject 3")
}

// New settings must not change a request under way: it keeps its class, and may have fewer attempts but not more.
func TestUpdateSettingsKeepsOpenRequests(t *testing.T) {
	// update sets the number of attempts and adds a class that is not idempotent.
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
		t.Errorf("a write that is idempotent by its key was sent to %v, want a repeat", host.attempts[2])
	}
	for attempt := range 4 { // three were allowed when it arrived
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
		t.Error("settings with a class less are accepted")
	}
}

// settingsUpdate is an update of a running Router's settings and what must hold after it.
type settingsUpdate struct {
	old    func(*Settings) // nil for the test settings
	next   func(*Settings) // nil for the test settings
	before func(*fakeHost) // what happens before the update; nil for nothing
	holds  func(*fakeHost) bool
}

// check plays an update. Server 2 was started 15 s before.
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
	if !u.holds(host) {
		t.Errorf("it does not hold; actions %v, probed %v", host.actions, host.probedServers)
	}
}

// What the old settings had counted, scheduled or not begun is as the new ones have it, from the moment that they hold.
func TestUpdateSettingsTakesEffectAtOnce(t *testing.T) {
	for name, update := range map[string]settingsUpdate{
		"a server has a part of fewer poolers": {
			old:   withPoolers(300),
			holds: func(host *fakeHost) bool { return host.server(2).window.size >= host.router.fleet.minWindow },
		},
		"slow start lasts longer": {
			next:   func(s *Settings) { s.SlowStartDuration = 30 * time.Second },
			before: func(host *fakeHost) { host.router.slowStartWeight(host.server(2)) },
			holds:  func(host *fakeHost) bool { return host.router.slowStartWeight(host.server(2)) < 1 },
		},
		"there is no slow start": {
			old: func(s *Settings) { s.SlowStartDuration = 30 * time.Second },
			next: func(s *Settings) {
				s.SlowStartDuration = 30 * time.Second
				s.OverloadFactor = 0
			},
			before: func(host *fakeHost) { host.server(2).slowStart.budget = -1e12 },
			holds:  func(host *fakeHost) bool { return host.router.hasCapacity(host.server(2), classAny) },
		},
		"probes that are allowed find the primary": {
			old: func(s *Settings) { s.ProbesAllowed = false },
			before: func(host *fakeHost) {
				host.router.dropPrimary(host.server(1), "is down")
				host.probedServers = nil
			},
			holds: func(host *fakeHost) bool {
				host.sendRequest(2, classNotIdempotent)
				return len(host.probedServers) == 3
			},
		},
		"a session's writes were not remembered": {
			next:  func(s *Settings) { s.TrackSessions = true },
			holds: func(host *fakeHost) bool { return host.router.sessionPosition(Request{Session: 5}) == host.now },
		},
	} {
		t.Run(name, update.check)
	}
}

// Pings and polls of a smaller fleet come sooner.
func TestUpdateSettingsOfFleetSize(t *testing.T) {
	polled := func(s *Settings) {
		s.PollList = true
		s.MaxPollInterval = 10 * time.Second
	}
	settingsUpdate{
		old: func(s *Settings) {
			s.Poolers = 300
			polled(s)
		},
		next:   polled,
		before: func(host *fakeHost) { host.advance(50 * ms) },
		holds: func(host *fakeHost) bool {
			host.advance(time.Second)
			return len(host.probedServers) > 5 && host.hasAction("watch")
		},
	}.check(t)
}

// A shorter grace period counts for a server that drains already, and a longer one does not.
func TestUpdateSettingsOfGracePeriod(t *testing.T) {
	longer := func(s *Settings) { s.DrainGracePeriod = 2 * time.Second }
	drain := func(host *fakeHost) {
		host.updateList(newMember(1, Draining, 0))
		host.sendRequest(2, classNotIdempotent)
		host.now += 450 * ms
	}
	over := func(host *fakeHost) bool { return !host.router.MayStillSend(host.now, 2, 0) }
	t.Run("shorter", settingsUpdate{old: longer, before: drain, holds: over}.check)
	t.Run("longer", settingsUpdate{next: longer, before: drain, holds: over}.check)
}

// The usual timeout of a class is that of one total timeout: it does not go over to a class of the same name with another.
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
		holds: func(host *fakeHost) bool {
			host.sendRequestWithin(99, newClass, 1250*ms)
			return len(host.attempts[99]) == 1
		},
	}.check(t)
}
