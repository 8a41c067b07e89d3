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

// The fronts of a large fleet do not save up for the same moment, nor all wait until a cold store is warm.
func TestSlowStartSlotsAreSpread(t *testing.T) {
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

// A cold replica is sent reads by the fronts whose turn it is as soon as their homes are slow, wherever it stands among the
// others, and no more than one a turn; an idle home keeps its reads.
func TestSlowStartServerRelievesSlowHome(t *testing.T) {
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

func TestSlowStartBudget(t *testing.T) {
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

const (
	warmGroup, coldGroup = 1, 2
	warmServers          = 4
	coldServer           = 9
	scenarioStep         = 10 * ms
)

// slowStartScenario is a fleet of fronts before warm stores, which have its traffic, and a store that starts, to which all turn.
type slowStartScenario struct {
	site                                string
	poolers                             int
	traffic                             string        // even, uneven, or hot: half of it comes to one front
	idleFor                             time.Duration // the cold store is left alone this long, and then all have requests for it at all times
	overloadFactor                      float64
	initialCapacity                     float64
	overloadInterval, slowStartDuration time.Duration
	warmUp                              time.Duration // how long fronts have known their load and their classes at the store's start
	serverCores                         float64
	workPerClass                        []time.Duration // per class, in the mean
	objectives                          []time.Duration
}

type scheduledEnd struct {
	at     time.Duration
	pooler int
	id     uint32
}

type sentWork struct {
	at   time.Duration
	work float64 // in requests of mean work
}

func (d slowStartScenario) meanWork() time.Duration {
	sum := time.Duration(0)
	for _, w := range d.workPerClass {
		sum += w
	}
	return sum / time.Duration(len(d.workPerClass))
}

// run returns what the cold store was sent, by the time since its start.
func (d slowStartScenario) run(t *testing.T, seed uint64) (sent []sentWork) {
	rng, now, id := rand.New(rand.NewPCG(seed, 1)), startTime, uint32(0)
	set := testSettings()
	set.SlowStartCapacity, set.SlowStartDuration, set.OverloadFactor, set.OverloadInterval = d.initialCapacity, d.slowStartDuration, d.overloadFactor, d.overloadInterval
	set.Poolers, set.Classes = d.poolers, nil
	for _, aim := range d.objectives {
		set.Classes = append(set.Classes, Class{LatencyObjective: aim, TotalTimeout: 2 * time.Second, PriorityWeight: 1, LateWeightFraction: 0.5})
	}
	var list []Member
	for s := range uint32(warmServers) {
		list = append(list, Member{ID: 1 + s, Group: warmGroup, State: Ready})
	}
	fronts, share, all := []*fakeHost{}, make([]float64, d.poolers), 0.0
	for me := range d.poolers {
		x := &fakeHost{t: t, now: now, attempts: map[uint32][]uint32{}}
		set.PoolerIndex = me
		x.router, _ = New(set, seed*1000+uint64(me), x)
		x.router.HandleList(now, ListFull, list)
		fronts = append(fronts, x)
		share[me] = map[string]float64{"even": 1, "uneven": math.Exp(rng.NormFloat64()), "hot": 1}[d.traffic]
		if d.traffic == "hot" && me == 0 {
			share[me] = float64(d.poolers)
		}
		all += share[me]
	}
	rate := 0.9 * d.serverCores * warmServers * float64(scenarioStep) / float64(d.meanWork()) / all // the warm stores are nearly full
	request := func(x *fakeHost, group int) {
		id++
		x.router.HandleRequest(now, Request{ID: id, Class: rng.IntN(len(d.workPerClass)), Group: group, Timeout: 2 * time.Second})
	}
	var ends []scheduledEnd
	began := startTime + d.warmUp
	for now < began+d.slowStartDuration {
		if now == began {
			for _, x := range fronts {
				x.router.HandleList(now, ListDelta, []Member{{ID: coldServer, Group: coldGroup, State: Ready, StartedAt: now}})
			}
		}
		for me, x := range fronts {
			for n := rate * share[me]; rng.Float64() < n; n-- {
				request(x, warmGroup)
			}
			if now >= began+d.idleFor && len(x.router.groups[coldGroup].queue.requests) == 0 {
				request(x, coldGroup)
			}
		}
		now += scenarioStep
		slices.SortFunc(ends, func(a, b scheduledEnd) int { return cmp.Compare(a.at, b.at) })
		for ; len(ends) > 0 && ends[0].at <= now; ends = ends[1:] {
			fronts[ends[0].pooler].endAttempt(ends[0].id, 0, OK, RoleReplica)
		}
		for me, x := range fronts {
			x.advanceTo(now)
			for q, to := range x.attempts {
				w := d.workPerClass[x.router.requests[q].classIndex]
				ends = append(ends, scheduledEnd{now + time.Duration(float64(w)*math.Exp(0.8*rng.NormFloat64()-0.32)), me, q})
				if to[0] == coldServer {
					sent = append(sent, sentWork{now - began, float64(w) / float64(d.meanWork())})
				}
			}
			clear(x.attempts)
			x.actions = nil
		}
	}
	return sent
}

// However many fronts there are, however uneven their traffic is and however long they have left a cold store alone: in no
// span is it sent more than what the settings allow then, N, and a chance of 2 root N + 2. The warm stores are nearly full of
// traffic, and hosts of the least size are among the sites.
func TestSlowStartBearsAllPoolers(t *testing.T) {
	budapest := slowStartScenario{site: "budapest", warmUp: 20 * time.Second,
		overloadFactor: 2.5, initialCapacity: 0.18, overloadInterval: time.Second, slowStartDuration: 18 * time.Second, serverCores: 3,
		workPerClass: []time.Duration{120 * ms, 120 * ms}, objectives: []time.Duration{750 * ms, 500 * ms}}
	least := slowStartScenario{site: "least", warmUp: 20 * time.Second,
		overloadFactor: 2.5, initialCapacity: 0.46, overloadInterval: time.Second, slowStartDuration: 8700 * ms, serverCores: minServerCores,
		workPerClass: []time.Duration{90 * ms, 150 * ms}, objectives: []time.Duration{750 * ms, 500 * ms}}
	prairie := slowStartScenario{site: "prairie", warmUp: 20 * time.Second,
		overloadFactor: 3, initialCapacity: 0.29, overloadInterval: 3 * time.Second, slowStartDuration: 18 * time.Second, serverCores: 5,
		workPerClass: []time.Duration{42 * ms, 120 * ms}, objectives: []time.Duration{250 * ms, 600 * ms}}
	seed := uint64(0)
	restarted := least // all fronts, and they take requests for half the work that these are
	restarted.site, restarted.warmUp, restarted.objectives = "restarted", 0, []time.Duration{180 * ms, 300 * ms}
	for _, d := range []slowStartScenario{budapest, least, prairie, restarted} {
		for _, d.poolers = range []int{2, 20, 30, 300} {
			for _, d.traffic = range []string{"even", "uneven", "hot"} {
				for _, d.idleFor = range []time.Duration{0, time.Second, d.slowStartDuration / 2} {
					seed++
					seed, d := seed, d
					t.Run(fmt.Sprintf("%s/%d %s %v", d.site, d.poolers, d.traffic, d.idleFor), func(t *testing.T) {
						t.Parallel()
						d.check(t, seed)
					})
				}
			}
		}
	}
}

func (d slowStartScenario) check(t *testing.T, seed uint64) {
	sent, at, in := d.run(t, seed), 0, 0.0
	for _, s := range sent {
		for in += s.work; sent[at].at <= s.at-d.overloadInterval; at++ {
			in -= sent[at].work
		}
		warmth := d.initialCapacity + (1-d.initialCapacity)*float64(s.at)/float64(d.slowStartDuration)
		n := d.overloadFactor * warmth * d.serverCores * float64(d.overloadInterval) / float64(d.meanWork())
		if in > n+2*math.Sqrt(n)+2 {
			t.Fatalf("seed %d: %.1f requests of mean work in the span up to %v, where %.1f are allowed", seed, in, s.at, n)
		}
	}
	if len(sent) == 0 {
		t.Fatalf("seed %d: nothing was sent", seed)
	}
}

// Whatever tells of a start makes a store cold: the list, also where the store drains or had left it, and a return after a
// silence or after refused connections of more than a break; and nothing makes it warm sooner than its latest start.
func TestStartsBeginSlowStart(t *testing.T) {
	list := func(f *fakeHost, state MemberState, started time.Duration) {
		f.router.HandleList(f.now, ListDelta, []Member{{ID: 2, Group: 7, State: state, StartedAt: started}})
	}
	hang := func(f *fakeHost, away time.Duration) { // the requests that it holds wait for so long, and then one is answered
		for id := uint32(20); id < 30; id++ {
			f.router.sendAttempt(&request{id: id, class: &f.router.settings.Classes[classAny], group: f.router.groups[7], requestTiming: requestTiming{deadline: f.now + time.Minute}}, f.server(2))
			f.router.requests[id] = f.server(2).outstanding.attempts[len(f.server(2).outstanding.attempts)-1].request
		}
		f.advanceTo(f.now + away)
		f.endAttempt(20, 0, OK, RoleReplica)
	}
	refuse := func(f *fakeHost, away time.Duration) {
		s := f.server(2)
		f.router.observeReachable(s)
		for range 3 {
			f.router.observeHealth(&attempt{server: s, request: &request{}}, ConnectFailed)
		}
		f.advanceTo(f.now + away)
		f.router.advanceClock(f.now)
		f.router.observeHealth(&attempt{server: s, sentAt: f.now, request: &request{}}, OK)
	}
	const never = -time.Hour
	for name, c := range map[string]struct {
		does func(*fakeHost)
		cold time.Duration // since when, from the test's start on
	}{
		"nothing":                      {func(f *fakeHost) {}, never},
		"listed with a start":          {func(f *fakeHost) { list(f, Ready, startTime-time.Second) }, -time.Second},
		"listed with one long ago":     {func(f *fakeHost) { list(f, Ready, startTime-time.Hour) }, never},
		"draining":                     {func(f *fakeHost) { list(f, Draining, startTime) }, 0},
		"gone and back":                {func(f *fakeHost) { list(f, Removed, 0); list(f, Ready, startTime) }, 0},
		"started again":                {func(f *fakeHost) { list(f, Ready, startTime-2*time.Second); list(f, Ready, startTime) }, 0},
		"an older word":                {func(f *fakeHost) { list(f, Ready, startTime); list(f, Ready, startTime-2*time.Second) }, 0},
		"hung for a break":             {func(f *fakeHost) { hang(f, 900*ms) }, never},
		"hung for longer":              {func(f *fakeHost) { hang(f, 4*time.Second) }, 4 * time.Second},
		"hung, and listed with before": {func(f *fakeHost) { hang(f, 4*time.Second); list(f, Ready, startTime) }, 4 * time.Second},
		"refused for a break":          {func(f *fakeHost) { refuse(f, 900*ms) }, never},
		"refused for longer":           {func(f *fakeHost) { refuse(f, 4*time.Second) }, 4 * time.Second},
	} {
		f := newHostWithPrimary(t, nil)
		c.does(f)
		s := f.server(2)
		if cold := f.router.inSlowStart(s); cold != (c.cold != never) {
			t.Errorf("%s: cold is %v", name, cold)
		} else if cold && s.slowStart.since != startTime+c.cold {
			t.Errorf("%s: cold since %v, want %v", name, s.slowStart.since-startTime, c.cold)
		}
	}
}
