package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The poolers of a large fleet do not save up for the same moment, nor do all wait until a server's slow start is over.
func TestSlowStartSlotsAreSpread(t *testing.T) {
	const poolers = 100
	early, sent := 0, 0
	for seed := uint64(1); seed <= poolers; seed++ {
		host := newHostWithPrimary(t, withPooler(int(seed-1), poolers))
		host.updateList(
			Member{ID: 2, Group: testGroup, State: Ready, StartedAt: host.now},
			Member{ID: 3, Group: testGroup, State: Draining},
			Member{ID: 1, Group: testGroup, State: Draining})
		for id := uint32(10); host.now < startTime+4*time.Second; id++ {
			host.sendRequest(id, classAny)
			host.advance(50 * ms)
			for attempt, server := range host.attempts[id] {
				if server == 2 {
					sent++
				}
				if server == 2 && host.now < startTime+2*time.Second {
					early++
				}
				host.endAttempt(id, attempt, OK, RoleReplica)
			}
		}
	}
	// 0.2 to 0.52 of capacity, doubled, on two cores, in 4 s, at 125 ms each: 46 in all.
	if sent < 10 || sent > 46 || early < 2 {
		t.Errorf("%d sends, %d of them in the first half; want 10 to 46, and some early", sent, early)
	}
}

// readsAtStartedServer returns how many of 20 reads a pooler sends to a server in slow start, server 5, where all others
// have a latency ratio, and which server is the pooler's home.
func readsAtStartedServer(t *testing.T, pooler, poolers int, ratio float64) (reads int, home uint32) {
	t.Helper()
	host := newHost(t, withPooler(pooler, poolers))
	list := memberList(5, 1)
	list[4].StartedAt = host.now
	host.router.HandleList(host.now, ListFull, list)
	host.advance(5 * time.Second)
	home = host.router.rankedReplicas(host.router.groups[testGroup])[0].ID
	for id := uint32(10); id < 30; id++ {
		for _, s := range host.router.servers.ordered[:4] {
			host.setLatencyRatio(s, ratio)
			s.window.size = 1
		}
		host.sendRequest(id, classAny)
		if host.attempts[id][0] == 5 {
			reads++
		}
		host.endAttempt(id, 0, OK, RoleReplica)
		for i := range host.router.estimates.classes {
			host.router.estimates.classes[i].warmLoad = 0
		}
	}
	return reads, home
}

// A replica in slow start is sent reads by the poolers that have a slot as soon as their homes are slow, wherever it stands
// among the others, and no more than one a slot; an idle home keeps its reads.
func TestSlowStartServerRelievesSlowHome(t *testing.T) {
	const poolers = 80
	idleSum, slowSum := 0, 0
	for pooler := range poolers {
		idle, home := readsAtStartedServer(t, pooler, poolers, 1)
		if idle > 1 || idle > 0 && home != 5 {
			t.Errorf("pooler %d, whose home is %d, sends %d of 20 reads to the started server", pooler, home, idle)
		}
		idleSum += idle
		slow, home := readsAtStartedServer(t, pooler, poolers, 3)
		if slow > 1 {
			t.Errorf("pooler %d, whose home is %d and slow, sends %d of 20 reads to the started server", pooler, home, slow)
		}
		slowSum += slow
	}
	if slowSum < 2*idleSum || slowSum > 24 { // twice 0.6 of two cores for a second, at 100 ms a read
		t.Errorf("%d of %d poolers send to the started server where homes are slow, %d where not", slowSum, poolers, idleSum)
	}
}

func TestSlowStartBudget(t *testing.T) {
	host := newHost(t, func(s *Settings) { s.Classes[classAny].LatencyObjective = 400 * ms })
	host.updateList(newMember(2, Removed, 0), newMember(3, Removed, 0),
		Member{ID: 4, Group: testGroup, State: Ready, StartedAt: host.now})
	host.sendRequest(1, classNotIdempotent)
	host.probeAnswered(1, true, host.now)
	sent := 0
	for host.now < startTime+time.Second {
		host.advance(5 * ms)
		id := uint32(host.now / ms)
		host.sendRequest(id, classAny)
		if len(host.attempts[id]) == 1 && host.attempts[id][0] == 4 {
			sent++
			host.endAttempt(id, 0, OK, RoleReplica)
		}
	}
	// The pooler's half of 2 x 0.2..0.28 of two cores for one second is at most 0.56 core seconds; answers take 100 ms
	// each as first estimated.
	if sent == 0 || sent > 5 {
		t.Fatalf("%d reads sent to the started server in its first second, want 1 to 5", sent)
	}
}

const (
	warmGroup     = 1
	startedGroup  = 2
	warmServers   = 4
	startedServer = 9
	scenarioStep  = 10 * ms
)

// slowStartScenario is a fleet of poolers whose traffic goes to a group of warm servers, and a server that is started in
// another group, to which all of them turn.
type slowStartScenario struct {
	site              string
	poolers           int
	traffic           string        // even, uneven, or hot: half of it comes to one pooler
	idleFor           time.Duration // from the server's start until all poolers have requests for it, at all times
	overloadFactor    float64
	overloadInterval  time.Duration
	initialCapacity   float64
	slowStartDuration time.Duration
	warmUp            time.Duration // how long poolers have had traffic at the server's start
	serverCores       float64
	workPerClass      []time.Duration // the mean
	objectives        []time.Duration // by class
}

// scheduledEnd is an attempt that will end.
type scheduledEnd struct {
	at     time.Duration
	pooler int
	id     uint32
}

// sentWork is what was sent to the started server at a time since its start.
type sentWork struct {
	at   time.Duration
	work float64 // in requests of mean work
}

func (d slowStartScenario) meanWork() time.Duration {
	sum := time.Duration(0)
	for _, work := range d.workPerClass {
		sum += work
	}
	return sum / time.Duration(len(d.workPerClass))
}

// settings returns the settings of a pooler.
func (d slowStartScenario) settings(pooler int) Settings {
	s := testSettings()
	s.SlowStartCapacity = d.initialCapacity
	s.SlowStartDuration = d.slowStartDuration
	s.OverloadFactor = d.overloadFactor
	s.OverloadInterval = d.overloadInterval
	s.Poolers = d.poolers
	s.PoolerIndex = pooler
	s.Classes = nil
	for _, objective := range d.objectives {
		s.Classes = append(s.Classes, Class{LatencyObjective: objective, TotalTimeout: 2 * time.Second,
			PriorityWeight: 1, LateWeightFraction: 0.5})
	}
	return s
}

// trafficShare returns a pooler's share of the traffic against the others'.
func (d slowStartScenario) trafficShare(pooler int, random *rand.Rand) float64 {
	uneven := math.Exp(random.NormFloat64())
	switch {
	case d.traffic == "uneven":
		return uneven
	case d.traffic == "hot" && pooler == 0:
		return float64(d.poolers)
	}
	return 1
}

// slowStartRun is a run of a scenario.
type slowStartRun struct {
	slowStartScenario
	random    *rand.Rand
	hosts     []*fakeHost // by pooler
	shares    []float64   // of the traffic, by pooler
	startedAt time.Duration
	now       time.Duration
	lastID    uint32
	ends      []scheduledEnd
	sent      []sentWork
}

func newSlowStartRun(t *testing.T, d slowStartScenario, seed uint64) *slowStartRun {
	t.Helper()
	run := &slowStartRun{slowStartScenario: d, random: rand.New(rand.NewPCG(seed, 1)),
		now: startTime, startedAt: startTime + d.warmUp}
	var list []Member
	for i := range uint32(warmServers) {
		list = append(list, Member{ID: 1 + i, Group: warmGroup, State: Ready})
	}
	for pooler := range d.poolers {
		host := newHostWith(t, d.settings(pooler), seed*1000+uint64(pooler))
		host.router.HandleList(run.now, ListFull, list)
		run.hosts = append(run.hosts, host)
		run.shares = append(run.shares, d.trafficShare(pooler, run.random))
	}
	return run
}

// requestsPerStep returns the requests of a pooler with a share of 1 in one step: the warm servers are nearly full.
func (r *slowStartRun) requestsPerStep() float64 {
	all := 0.0
	for _, share := range r.shares {
		all += share
	}
	return 0.9 * r.serverCores * warmServers * float64(scenarioStep) / float64(r.meanWork()) / all
}

func (r *slowStartRun) request(host *fakeHost, group int) {
	r.lastID++
	host.router.HandleRequest(r.now, Request{ID: r.lastID, Class: r.random.IntN(len(r.workPerClass)), Group: group,
		Timeout: 2 * time.Second})
}

// startServer lists the started server at all poolers.
func (r *slowStartRun) startServer() {
	for _, host := range r.hosts {
		started := Member{ID: startedServer, Group: startedGroup, State: Ready, StartedAt: r.now}
		host.router.HandleList(r.now, ListDelta, []Member{started})
	}
}

// endDueAttempts ends the attempts that have been served by now.
func (r *slowStartRun) endDueAttempts() {
	slices.SortFunc(r.ends, func(a, b scheduledEnd) int { return cmp.Compare(a.at, b.at) })
	for len(r.ends) > 0 && r.ends[0].at <= r.now {
		r.hosts[r.ends[0].pooler].endAttempt(r.ends[0].id, 0, OK, RoleReplica)
		r.ends = r.ends[1:]
	}
}

// collectAttempts schedules the ends of the attempts that a pooler has sent.
func (r *slowStartRun) collectAttempts(pooler int) {
	host := r.hosts[pooler]
	for id, servers := range host.attempts {
		work := r.workPerClass[host.router.requests[id].classIndex]
		took := time.Duration(float64(work) * math.Exp(0.8*r.random.NormFloat64()-0.32))
		r.ends = append(r.ends, scheduledEnd{r.now + took, pooler, id})
		if servers[0] == startedServer {
			r.sent = append(r.sent, sentWork{r.now - r.startedAt, float64(work) / float64(r.meanWork())})
		}
	}
	clear(host.attempts)
	host.actions = nil
}

// play runs until the slow start is over.
func (r *slowStartRun) play() {
	rate := r.requestsPerStep()
	for r.now < r.startedAt+r.slowStartDuration {
		if r.now == r.startedAt {
			r.startServer()
		}
		for pooler, host := range r.hosts {
			for n := rate * r.shares[pooler]; r.random.Float64() < n; n-- {
				r.request(host, warmGroup)
			}
			if r.now >= r.startedAt+r.idleFor && len(host.router.groups[startedGroup].queue.requests) == 0 {
				r.request(host, startedGroup)
			}
		}
		r.now += scenarioStep
		r.endDueAttempts()
		for pooler, host := range r.hosts {
			host.advanceTo(r.now)
			r.collectAttempts(pooler)
		}
	}
}

// check checks that no overload interval has more work than the settings allow, N, and a chance of 2 root N + 2.
func (d slowStartScenario) check(t *testing.T, seed uint64) {
	t.Helper()
	run := newSlowStartRun(t, d, seed)
	run.play()
	first, work := 0, 0.0
	for _, send := range run.sent {
		work += send.work
		for run.sent[first].at <= send.at-d.overloadInterval {
			work -= run.sent[first].work
			first++
		}
		capacity := d.initialCapacity + (1-d.initialCapacity)*float64(send.at)/float64(d.slowStartDuration)
		full := d.overloadFactor * d.serverCores * float64(d.overloadInterval) / float64(d.meanWork())
		allowed := full * capacity
		if work > allowed+2*math.Sqrt(allowed)+2 {
			t.Fatalf("seed %d: %.1f requests of mean work in the interval up to %v, where %.1f are allowed",
				seed, work, send.at, allowed)
		}
	}
	if len(run.sent) == 0 {
		t.Fatalf("seed %d: nothing was sent", seed)
	}
}

// slowStartSites returns the scenarios of deployments, without their poolers and traffic. Hosts of the least size are among
// them, and poolers that were all restarted and take requests for half the work that they are.
func slowStartSites() []slowStartScenario {
	budapest := slowStartScenario{
		site: "budapest", warmUp: 20 * time.Second, serverCores: 3,
		overloadFactor: 2.5, overloadInterval: time.Second, initialCapacity: 0.18, slowStartDuration: 18 * time.Second,
		workPerClass: []time.Duration{120 * ms, 120 * ms}, objectives: []time.Duration{750 * ms, 500 * ms},
	}
	least := slowStartScenario{
		site: "least", warmUp: 20 * time.Second, serverCores: minServerCores,
		overloadFactor: 2.5, overloadInterval: time.Second, initialCapacity: 0.46, slowStartDuration: 8700 * ms,
		workPerClass: []time.Duration{90 * ms, 150 * ms}, objectives: []time.Duration{750 * ms, 500 * ms},
	}
	prairie := slowStartScenario{
		site: "prairie", warmUp: 20 * time.Second, serverCores: 5,
		overloadFactor: 3, overloadInterval: 3 * time.Second, initialCapacity: 0.29, slowStartDuration: 18 * time.Second,
		workPerClass: []time.Duration{42 * ms, 120 * ms}, objectives: []time.Duration{250 * ms, 600 * ms},
	}
	restarted := least
	restarted.site = "restarted"
	restarted.warmUp = 0
	restarted.objectives = []time.Duration{180 * ms, 300 * ms}
	return []slowStartScenario{budapest, least, prairie, restarted}
}

// However many poolers there are, however uneven their traffic is and however long they have left a server in slow start
// alone: it is not sent more than it bears.
func TestSlowStartBearsAllPoolers(t *testing.T) {
	seed := uint64(0)
	for _, site := range slowStartSites() {
		for _, poolers := range []int{2, 20, 30, 300} {
			for _, traffic := range []string{"even", "uneven", "hot"} {
				for _, idleFor := range []time.Duration{0, time.Second, site.slowStartDuration / 2} {
					seed++
					runSeed := seed
					scenario := site
					scenario.poolers = poolers
					scenario.traffic = traffic
					scenario.idleFor = idleFor
					name := fmt.Sprintf("%s/%d %s %v", site.site, poolers, traffic, idleFor)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						scenario.check(t, runSeed)
					})
				}
			}
		}
	}
}

// listStart lists server 2 with a state and the time of its last start.
func (host *fakeHost) listStart(state MemberState, startedAt time.Duration) {
	host.updateList(Member{ID: 2, Group: testGroup, State: state, StartedAt: startedAt})
}

// hang has the requests at server 2 wait for a span, and then one of them is answered.
func (host *fakeHost) hang(span time.Duration) {
	s := host.server(2)
	for id := uint32(20); id < 30; id++ {
		q := &request{
			id:            id,
			class:         &host.router.settings.Classes[classAny],
			group:         host.router.groups[testGroup],
			requestTiming: requestTiming{deadline: host.now + time.Minute},
		}
		host.router.requests[id] = q
		host.router.sendAttempt(q, s)
	}
	host.advance(span)
	host.endAttempt(20, 0, OK, RoleReplica)
}

// refuseConnections has server 2 refuse three connections, and answer after a span.
func (host *fakeHost) refuseConnections(span time.Duration) {
	s := host.server(2)
	host.router.observeReachable(s)
	for range 3 {
		host.router.observeHealth(&attempt{server: s, request: &request{}}, ConnectFailed)
	}
	host.advance(span)
	host.router.advanceClock(host.now)
	host.router.observeHealth(&attempt{server: s, sentAt: host.now, request: &request{}}, OK)
}

// Whatever tells of a start begins a slow start: the list, also where the server drains or had left it, and a return after
// a silence or after refused connections of more than a break. Nothing ends it sooner than after the latest start.
func TestStartsBeginSlowStart(t *testing.T) {
	const never = -time.Hour
	for name, c := range map[string]struct {
		events func(*fakeHost)
		since  time.Duration // from the test's start on
	}{
		"nothing":                  {func(*fakeHost) {}, never},
		"listed with a start":      {func(host *fakeHost) { host.listStart(Ready, startTime-time.Second) }, -time.Second},
		"listed with one long ago": {func(host *fakeHost) { host.listStart(Ready, startTime-time.Hour) }, never},
		"draining":                 {func(host *fakeHost) { host.listStart(Draining, startTime) }, 0},
		"removed and back": {func(host *fakeHost) {
			host.listStart(Removed, 0)
			host.listStart(Ready, startTime)
		}, 0},
		"started again": {func(host *fakeHost) {
			host.listStart(Ready, startTime-2*time.Second)
			host.listStart(Ready, startTime)
		}, 0},
		"an older start": {func(host *fakeHost) {
			host.listStart(Ready, startTime)
			host.listStart(Ready, startTime-2*time.Second)
		}, 0},
		"hung for a break": {func(host *fakeHost) { host.hang(900 * ms) }, never},
		"hung for longer":  {func(host *fakeHost) { host.hang(4 * time.Second) }, 4 * time.Second},
		"hung, and listed with before": {func(host *fakeHost) {
			host.hang(4 * time.Second)
			host.listStart(Ready, startTime)
		}, 4 * time.Second},
		"refused for a break": {func(host *fakeHost) { host.refuseConnections(900 * ms) }, never},
		"refused for longer":  {func(host *fakeHost) { host.refuseConnections(4 * time.Second) }, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			host := newHostWithPrimary(t, nil)
			c.events(host)
			s := host.server(2)
			started := host.router.inSlowStart(s)
			if started != (c.since != never) {
				t.Errorf("in slow start: %v", started)
			} else if started && s.slowStart.startedAt != startTime+c.since {
				t.Errorf("in slow start since %v, want %v", s.slowStart.startedAt-startTime, c.since)
			}
		})
	}
}
