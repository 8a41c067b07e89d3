package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	ms        = time.Millisecond
	startTime = 100 * time.Second // time of the host's clock at the start of a test
	testGroup = 7                 // group of servers 1, 2 and 3
)

// Classes of the test settings.
const (
	classAny = iota
	classBounded
	classSession
	classLatest
	classNotIdempotent
	classByKey
)

func testSettings() Settings {
	class := func(access Access, idempotency Idempotency) Class {
		return Class{
			Access:             access,
			Idempotency:        idempotency,
			LatencyObjective:   500 * ms,
			TotalTimeout:       2 * time.Second,
			PriorityWeight:     1,
			LateWeightFraction: 0.5,
		}
	}
	s := Settings{
		Poolers:           2,
		ProbesAllowed:     true,
		RolesReported:     true,
		CancelAllowed:     true,
		MaxAttempts:       10,
		EventInterval:     5 * ms,
		DrainGracePeriod:  500 * ms,
		SlowStartCapacity: 0.2,
		SlowStartDuration: 10 * time.Second,
		OverloadFactor:    2,
		OverloadInterval:  time.Second,
		Classes: []Class{
			classAny:           class(ReadAny, Idempotent),
			classBounded:       class(ReadBounded, Idempotent),
			classSession:       class(ReadSession, Idempotent),
			classLatest:        class(ReadLatest, Idempotent),
			classNotIdempotent: class(Write, NotIdempotent),
			classByKey:         class(Write, IdempotentByKey),
		},
	}
	s.Classes[classBounded].MaxStaleness = time.Second
	s.Classes[classByKey].DedupScope = DedupInGroup
	s.Classes[classByKey].DedupWindow = 700 * ms
	return s
}

// withPoolers returns a change of the settings to a fleet of n poolers.
func withPoolers(n int) func(*Settings) { return func(s *Settings) { s.Poolers = n } }

// withPooler returns a change of the settings to those of one pooler of a fleet.
func withPooler(index, poolers int) func(*Settings) {
	return func(s *Settings) {
		s.Poolers = poolers
		s.PoolerIndex = index
	}
}

// newMember returns a list entry for a server of the test group.
func newMember(id uint32, state MemberState, weight int) Member {
	return Member{ID: id, Group: testGroup, State: state, ReadWeight: weight}
}

// memberList returns list entries for servers 1 to n of the test group. The entry of server primary
// names it as primary; 0 for none.
func memberList(n int, primary uint32) []Member {
	var list []Member
	for id := uint32(1); id <= uint32(n); id++ {
		list = append(list, Member{ID: id, Group: testGroup, State: Ready, Primary: id == primary})
	}
	return list
}

// fakeHost is a host with its own clock. It records the actions of its Router.
type fakeHost struct {
	t             *testing.T
	router        *Router
	now           time.Duration
	timersDue     []time.Duration
	actions       []string            // for example "attempt 2 1" for request 2 at server 1
	attempts      map[uint32][]uint32 // servers by request, in the order of the attempts
	probedServers []uint32
	primaryEvents []PrimaryEvent
	logLines      []string
}

func (host *fakeHost) record(format string, args ...any) {
	host.actions = append(host.actions, fmt.Sprintf(format, args...))
}

func (host *fakeHost) Attempt(id, server uint32, _ time.Duration) {
	host.attempts[id] = append(host.attempts[id], server)
	host.record("attempt %d %d", id, server)
}

func (host *fakeHost) Reject(id uint32, _ time.Duration) { host.record("reject %d", id) }

func (host *fakeHost) Fail(id uint32) { host.record("fail %d", id) }

func (host *fakeHost) CancelAttempt(id uint32, attempt int) { host.record("cancel %d %d", id, attempt) }

func (host *fakeHost) Probe(server uint32) { host.probedServers = append(host.probedServers, server) }

func (host *fakeHost) SetTimer(after time.Duration) {
	host.timersDue = append(host.timersDue, host.now+after)
}

func (host *fakeHost) CloseIdleConnections(server uint32) { host.record("close %d", server) }

func (host *fakeHost) WatchList() { host.record("watch") }

func (host *fakeHost) PrimaryChanged(event PrimaryEvent) {
	host.logLines = append(host.logLines, event.LogText())
	host.primaryEvents = append(host.primaryEvents, event)
}

func (host *fakeHost) Log(text string) { host.logLines = append(host.logLines, text) }

// newHostWith returns a host whose Router has the given settings and seed and has received no list.
func newHostWith(t *testing.T, settings Settings, seed uint64) *fakeHost {
	t.Helper()
	host := &fakeHost{t: t, now: startTime, attempts: map[uint32][]uint32{}}
	router, err := New(settings, seed, host)
	if err != nil {
		t.Fatal(err)
	}
	host.router = router
	return host
}

// newHost returns a host whose test group has servers 1, 2 and 3 and no recorded primary. Its
// settings are the test settings with the given change.
func newHost(t *testing.T, change func(*Settings)) *fakeHost {
	t.Helper()
	settings := testSettings()
	if change != nil {
		change(&settings)
	}
	host := newHostWith(t, settings, 1)
	host.router.HandleList(host.now, ListCached, memberList(3, 0))
	return host
}

// newHostWithPrimary returns a host whose Router has recorded server 1 as primary and positions
// without lag for the others. What was recorded on the way is cleared.
func newHostWithPrimary(t *testing.T, change func(*Settings)) *fakeHost {
	t.Helper()
	host := newHost(t, change)
	host.sendRequest(1, classAny)
	host.probeAnswered(1, true, host.now)
	host.probeAnswered(2, false, host.now)
	host.probeAnswered(3, false, host.now)
	host.endAttempt(1, 0, OK, RoleUnknown)
	host.actions = nil
	host.probedServers = nil
	host.attempts = map[uint32][]uint32{}
	return host
}

// advanceTo moves the clock forward to a time and fires every timer that is due by then.
func (host *fakeHost) advanceTo(at time.Duration) {
	for {
		next := -1
		for i, due := range host.timersDue {
			if due <= at && (next < 0 || due < host.timersDue[next]) {
				next = i
			}
		}
		if next < 0 {
			host.now = at
			return
		}
		host.now = max(host.now, host.timersDue[next])
		host.timersDue = slices.Delete(host.timersDue, next, next+1)
		host.router.HandleTimer(host.now)
	}
}

// advance moves the clock forward by a duration and fires the timers that are due.
func (host *fakeHost) advance(span time.Duration) { host.advanceTo(host.now + span) }

// server returns the Router's record of a server, nil if there is none.
func (host *fakeHost) server(id uint32) *server { return host.router.servers.byID[id] }

// primary returns the recorded primary of the test group, 0 for none.
func (host *fakeHost) primary() uint32 {
	if p := host.router.groupFor(testGroup).primary; p != nil {
		return p.ID
	}
	return 0
}

func (host *fakeHost) probeCount(server uint32) int {
	count := 0
	for _, probed := range host.probedServers {
		if probed == server {
			count++
		}
	}
	return count
}

func (host *fakeHost) hasAction(action string) bool { return slices.Contains(host.actions, action) }

func (host *fakeHost) wantAction(action string) {
	host.t.Helper()
	if !host.hasAction(action) {
		host.t.Fatalf("at %v: no %q in %v", host.now, action, host.actions)
	}
}

func (host *fakeHost) wantNoAction(action string) {
	host.t.Helper()
	if host.hasAction(action) {
		host.t.Fatalf("at %v: %q in %v", host.now, action, host.actions)
	}
}

// sendRequest sends a request of a class to the test group, with a timeout of 2 s.
func (host *fakeHost) sendRequest(id uint32, class int) {
	host.sendRequestWithin(id, class, 2*time.Second)
}

// sendRequestWithin sends a request of a class to the test group.
func (host *fakeHost) sendRequestWithin(id uint32, class int, timeout time.Duration) {
	host.router.HandleRequest(host.now, Request{ID: id, Class: class, Group: testGroup, Timeout: timeout})
}

// updateList reports the changed entries of the list to the Router.
func (host *fakeHost) updateList(changed ...Member) {
	host.router.HandleList(host.now, ListDelta, changed)
}

// probeAnswered ends a probe of a server with a status report.
func (host *fakeHost) probeAnswered(server uint32, primary bool, position time.Duration) {
	status := ServerStatus{HasPosition: true, Position: position, HasRole: true, IsPrimary: primary}
	host.router.HandleProbeResult(host.now, ProbeResult{Server: server, Status: status})
}

// probeFailed ends a probe of a server with the given result and no status report.
func (host *fakeHost) probeFailed(server uint32, result Result) {
	host.router.HandleProbeResult(host.now, ProbeResult{Server: server, Result: result})
}

// endAttempt ends an attempt with a result. If that is OK, the request has its final answer.
func (host *fakeHost) endAttempt(id uint32, attempt int, result Result, role Role) {
	outcome := Outcome{RequestID: id, Attempt: attempt, Result: result, Role: role, Answered: result == OK}
	host.router.HandleOutcome(host.now, outcome)
}

// setLatencyRatio sets a server's latency ratio as of now.
func (host *fakeHost) setLatencyRatio(s *server, ratio float64) {
	s.latency.ratio = ratio
	s.latency.measuredAt = host.now
}

// wantSentTo checks that a request has been sent once, to the given server.
func (host *fakeHost) wantSentTo(id, server uint32) {
	host.t.Helper()
	if sent := host.attempts[id]; len(sent) != 1 || sent[0] != server {
		host.t.Errorf("request %d was sent to %v, want server %d", id, sent, server)
	}
}
