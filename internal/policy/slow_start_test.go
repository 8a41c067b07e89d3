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

// The poolers of a large fleet neither send to a server in slow start at the same time nor all wait until its
// slow start is over.
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
	// The server tolerates 2 (OverloadFactor) times 0.2 to 0.52 of two cores for 4 s, which is 46 requests of
	// 125 ms each.
	if sent < 10 || sent > 46 || early < 2 {
		t.Errorf("%d sends, %d of them in the first half; want 10 to 46, and some early", sent, early)
	}
}

// readsAtStartedServer returns how many of 20 reads a pooler sends to server 5, which is in slow start, if
// all other servers have the given latency ratio. It also returns the pooler's home.
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

// If a pooler's home is slow and the pooler has a slot, it sends at most one read per slot to a replica in
// slow start, whatever that replica's rank. If its home is idle, the pooler continues to send its reads
// there.
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
	if slowSum < 2*idleSum || slowSum > 24 { // 2 (OverloadFactor) times 0.6 of two cores for 1 s, at 100 ms per read
		t.Errorf("%d of %d poolers send to the started server if homes are slow, %d if not", slowSum, poolers, idleSum)
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
	// The pooler's half of 2 (OverloadFactor) times 0.2 to 0.28 of two cores for 1 s is at most 0.56 core
	// seconds. The initial estimate of a read is 100 ms.
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

// slowStartScenario is a fleet of poolers with traffic to a group of warm servers, and a server that is
// started in another group, to which all poolers then send requests.
type slowStartScenario struct {
	name              string // of the deployment
	poolers           int
	traffic           string        // "even", "uneven" or "hot": half of it is at one pooler
	unusedFor         time.Duration // from the server's start until all poolers permanently have requests for it
	overloadFactor    float64
	overloadInterval  time.Duration
	initialCapacity   float64
	slowStartDuration time.Duration
	warmUpTime        time.Duration // how long poolers have traffic before the server's start
	serverCores       float64
	workPerClass      []time.Duration // mean work of a request, by class
	objectives        []time.Duration // latency objectives, by class
}

// scheduledEnd is the scheduled end of an attempt.
type scheduledEnd struct {
	at     time.Duration
	pooler int
	id     uint32
}

// sentWork is a request sent to the started server.
type sentWork struct {
	at   time.Duration // since the start of the server
	work float64       // in requests of mean work
}

func (scenario slowStartScenario) meanWork() time.Duration {
	sum := time.Duration(0)
	for _, work := range scenario.workPerClass {
		sum += work
	}
	return sum / time.Duration(len(scenario.workPerClass))
}

// settings returns the settings of a pooler.
func (scenario slowStartScenario) settings(pooler int) Settings {
	s := testSettings()
	s.SlowStartCapacity = scenario.initialCapacity
	s.SlowStartDuration = scenario.slowStartDuration
	s.OverloadFactor = scenario.overloadFactor
	s.OverloadInterval = scenario.overloadInterval
	s.Poolers = scenario.poolers
	s.PoolerIndex = pooler
	s.Classes = nil
	for _, objective := range scenario.objectives {
		s.Classes = append(s.Classes, Class{LatencyObjective: objective, TotalTimeout: 2 * time.Second,
			PriorityWeight: 1, LateWeightFraction: 0.5})
	}
	return s
}

// trafficShare returns a pooler's share of the traffic relative to the other poolers.
func (scenario slowStartScenario) trafficShare(pooler int, random *rand.Rand) float64 {
	uneven := math.Exp(random.NormFloat64())
	switch {
	case scenario.traffic == "uneven":
		return uneven
	case scenario.traffic == "hot" && pooler == 0:
		return float64(scenario.poolers)
	}
	return 1
}

// slowStartRun is a simulation of a scenario.
type slowStartRun struct {
	slowStartScenario
	random    *rand.Rand
	hosts     []*fakeHost // by pooler
	shares    []float64   // relative shares of the traffic, by pooler
	startedAt time.Duration
	now       time.Duration
	lastID    uint32
	ends      []scheduledEnd
	sent      []sentWork
}

// newSlowStartRun returns a run whose poolers have the list of warm servers.
func newSlowStartRun(t *testing.T, scenario slowStartScenario, seed uint64) *slowStartRun {
	t.Helper()
	run := &slowStartRun{slowStartScenario: scenario, random: rand.New(rand.NewPCG(seed, 1)),
		now: startTime, startedAt: startTime + scenario.warmUpTime}
	var list []Member
	for i := range uint32(warmServers) {
		list = append(list, Member{ID: 1 + i, Group: warmGroup, State: Ready})
	}
	for pooler := range scenario.poolers {
		host := newHostWith(t, scenario.settings(pooler), seed*1000+uint64(pooler))
		host.router.HandleList(run.now, ListFull, list)
		run.hosts = append(run.hosts, host)
		run.shares = append(run.shares, scenario.trafficShare(pooler, run.random))
	}
	return run
}

// requestsPerStep returns the number of requests per step of a pooler with a share of 1. They use 90% of the
// warm servers.
func (r *slowStartRun) requestsPerStep() float64 {
	totalShares := 0.0
	for _, share := range r.shares {
		totalShares += share
	}
	return 0.9 * r.serverCores * warmServers * float64(scenarioStep) / float64(r.meanWork()) / totalShares
}

// request sends a request of a random class.
func (r *slowStartRun) request(host *fakeHost, group int) {
	r.lastID++
	host.router.HandleRequest(r.now, Request{ID: r.lastID, Class: r.random.IntN(len(r.workPerClass)), Group: group,
		Timeout: 2 * time.Second})
}

// startServer adds the started server to the lists of all poolers.
func (r *slowStartRun) startServer() {
	for _, host := range r.hosts {
		started := Member{ID: startedServer, Group: startedGroup, State: Ready, StartedAt: r.now}
		host.router.HandleList(r.now, ListDelta, []Member{started})
	}
}

// endDueAttempts ends the attempts whose scheduled end has been reached.
func (r *slowStartRun) endDueAttempts() {
	slices.SortFunc(r.ends, func(a, b scheduledEnd) int { return cmp.Compare(a.at, b.at) })
	for len(r.ends) > 0 && r.ends[0].at <= r.now {
		r.hosts[r.ends[0].pooler].endAttempt(r.ends[0].id, 0, OK, RoleReplica)
		r.ends = r.ends[1:]
	}
}

// collectAttempts schedules the ends of the attempts that a pooler has sent and records those to the started
// server.
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

// simulate runs the scenario until the slow start is over.
func (r *slowStartRun) simulate() {
	rate := r.requestsPerStep()
	for r.now < r.startedAt+r.slowStartDuration {
		if r.now == r.startedAt {
			r.startServer()
		}
		for pooler, host := range r.hosts {
			for n := rate * r.shares[pooler]; r.random.Float64() < n; n-- {
				r.request(host, warmGroup)
			}
			if r.now >= r.startedAt+r.unusedFor && len(host.router.groups[startedGroup].queue.requests) == 0 {
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

// checkTotalLoad simulates the scenario and checks that the work sent in any overload interval is at most N +
// 2*sqrt(N) + 2 requests, where N is the number that the settings allow and the rest is a margin for random
// excess.
func (scenario slowStartScenario) checkTotalLoad(t *testing.T, seed uint64) {
	t.Helper()
	run := newSlowStartRun(t, scenario, seed)
	run.simulate()
	first, work := 0, 0.0
	for _, send := range run.sent {
		work += send.work
		for run.sent[first].at <= send.at-scenario.overloadInterval {
			work -= run.sent[first].work
			first++
		}
		capacity := scenario.initialCapacity + (1-scenario.initialCapacity)*float64(send.at)/float64(scenario.slowStartDuration)
		full := scenario.overloadFactor * scenario.serverCores * float64(scenario.overloadInterval) / float64(scenario.meanWork())
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

// slowStartDeployments returns scenarios of different deployments, without poolers and traffic. They include
// hosts of the minimum size, and poolers that were restarted and whose initial work estimates are half of the
// actual work.
func slowStartDeployments() []slowStartScenario {
	budapest := slowStartScenario{
		name: "budapest", warmUpTime: 20 * time.Second, serverCores: 3,
		overloadFactor: 2.5, overloadInterval: time.Second, initialCapacity: 0.18, slowStartDuration: 18 * time.Second,
		workPerClass: []time.Duration{120 * ms, 120 * ms}, objectives: []time.Duration{750 * ms, 500 * ms},
	}
	smallestHosts := slowStartScenario{
		name: "least", warmUpTime: 20 * time.Second, serverCores: minServerCores,
		overloadFactor: 2.5, overloadInterval: time.Second, initialCapacity: 0.46, slowStartDuration: 8700 * ms,
		workPerClass: []time.Duration{90 * ms, 150 * ms}, objectives: []time.Duration{750 * ms, 500 * ms},
	}
	prairie := slowStartScenario{
		name: "prairie", warmUpTime: 20 * time.Second, serverCores: 5,
		overloadFactor: 3, overloadInterval: 3 * time.Second, initialCapacity: 0.29, slowStartDuration: 18 * time.Second,
		workPerClass: []time.Duration{42 * ms, 120 * ms}, objectives: []time.Duration{250 * ms, 600 * ms},
	}
	restarted := smallestHosts
	restarted.name = "restarted"
	restarted.warmUpTime = 0
	restarted.objectives = []time.Duration{180 * ms, 300 * ms}
	return []slowStartScenario{budapest, smallestHosts, prairie, restarted}
}

// A server in slow start is not sent more work than it tolerates, for any number of poolers, any distribution
// of their traffic, and however long they have sent nothing to it.
func TestSlowStartLimitsTotalLoad(t *testing.T) {
	seed := uint64(0)
	for _, deployment := range slowStartDeployments() {
		for _, poolers := range []int{2, 20, 30, 300} {
			for _, traffic := range []string{"even", "uneven", "hot"} {
				for _, unusedFor := range []time.Duration{0, time.Second, deployment.slowStartDuration / 2} {
					seed++
					runSeed := seed
					scenario := deployment
					scenario.poolers = poolers
					scenario.traffic = traffic
					scenario.unusedFor = unusedFor
					name := fmt.Sprintf("%s/%d %s %v", deployment.name, poolers, traffic, unusedFor)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						scenario.checkTotalLoad(t, runSeed)
					})
				}
			}
		}
	}
}

// listStart reports an entry of server 2 with the given state and start time.
func (host *fakeHost) listStart(state MemberState, startedAt time.Duration) {
	host.updateList(Member{ID: 2, Group: testGroup, State: state, StartedAt: startedAt})
}

// hangServer lets requests at server 2 wait for the given time, after which one of them is answered.
func (host *fakeHost) hangServer(span time.Duration) {
	s := host.server(2)
	for id := uint32(20); id < 30; id++ {
		req := &request{
			id:            id,
			class:         &host.router.settings.Classes[classAny],
			group:         host.router.groups[testGroup],
			requestTiming: requestTiming{deadline: host.now + time.Minute},
		}
		host.router.requests[id] = req
		host.router.sendAttempt(req, s)
	}
	host.advance(span)
	host.endAttempt(20, 0, OK, RoleReplica)
}

// refuseConnections lets server 2 refuse three connections and answer after the given time.
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

// A slow start begins at a start reported by the list, even if the server is draining or had been removed,
// and at the first answer after a silence or refused connections that lasted longer than a brief
// interruption. It is measured from the latest start.
func TestSlowStartBegin(t *testing.T) {
	const never = -time.Hour
	for name, c := range map[string]struct {
		events    func(*fakeHost)
		startedAt time.Duration // relative to startTime
	}{
		"no event":                   {func(*fakeHost) {}, never},
		"listed with a recent start": {func(host *fakeHost) { host.listStart(Ready, startTime-time.Second) }, -time.Second},
		"listed with an old start":   {func(host *fakeHost) { host.listStart(Ready, startTime-time.Hour) }, never},
		"listed as draining":         {func(host *fakeHost) { host.listStart(Draining, startTime) }, 0},
		"removed and listed again": {func(host *fakeHost) {
			host.listStart(Removed, 0)
			host.listStart(Ready, startTime)
		}, 0},
		"restarted": {func(host *fakeHost) {
			host.listStart(Ready, startTime-2*time.Second)
			host.listStart(Ready, startTime)
		}, 0},
		"listed with an earlier start": {func(host *fakeHost) {
			host.listStart(Ready, startTime)
			host.listStart(Ready, startTime-2*time.Second)
		}, 0},
		"hung briefly":  {func(host *fakeHost) { host.hangServer(900 * ms) }, never},
		"hung for long": {func(host *fakeHost) { host.hangServer(4 * time.Second) }, 4 * time.Second},
		"hung, then listed with an earlier start": {func(host *fakeHost) {
			host.hangServer(4 * time.Second)
			host.listStart(Ready, startTime)
		}, 4 * time.Second},
		"refused briefly":  {func(host *fakeHost) { host.refuseConnections(900 * ms) }, never},
		"refused for long": {func(host *fakeHost) { host.refuseConnections(4 * time.Second) }, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			host := newHostWithPrimary(t, nil)
			c.events(host)
			s := host.server(2)
			started := host.router.inSlowStart(s)
			if started != (c.startedAt != never) {
				t.Errorf("in slow start: %v", started)
			} else if started && s.slowStart.startedAt != startTime+c.startedAt {
				t.Errorf("in slow start since %v, want %v", s.slowStart.startedAt-startTime, c.startedAt)
			}
		})
	}
}
