package policy_test

import (
	"time"

	"threadsail/internal/policy"
)

// The classes of the scripts.
const (
	classAny = iota
	classBounded
	classSession
	classFresh
	classUnsafeWrite
	classKeyedAll
	classKeyedZone
	classKeyedGroup
	classReport // a long read of any age
	classBoundedStrict
	classWithoutAim
	classAdded // by Retune, under way
)

// script is one long seeded run of the simulation.
type script struct {
	name         string
	seed         uint64
	change       func(*policy.Settings)
	duration     time.Duration
	requestEvery time.Duration // mean time between two requests
	disturbEvery time.Duration
	groups       int

	positions            bool // reports carry positions
	answersTellPositions bool
	roles                bool // answers carry the server's role
	roleNow              bool // as rules.Report.RoleNow
	busy                 bool
	reportShare          float64 // of the answers carry a report
	weighted             bool
	firstList            policy.ListKind
	minTimeout           time.Duration     // of a client's later try
	maxTimeout           time.Duration     // and no more than its class's deadline
	opening              func(*simulation) // a second after the beginning; nil: nothing
}

func addedClass() policy.Class {
	return policy.Class{Name: "any", Access: policy.ReadAny, Idempotency: policy.Idempotent, LatencyObjective: 200 * millisecond,
		TotalTimeout: 2 * time.Second, PriorityWeight: 3}
}

func scriptClasses() []policy.Class {
	class := func(name string, need policy.Access, effect policy.Idempotency, worth float64) policy.Class {
		return policy.Class{Name: name, Access: need, Idempotency: effect, LatencyObjective: 400 * millisecond, TotalTimeout: 2 * time.Second,
			PriorityWeight: worth, LateWeightFraction: 0.5}
	}
	keyed := func(name string, scope policy.DedupScope) policy.Class {
		c := class(name, policy.Write, policy.IdempotentByKey, 2)
		c.DedupScope, c.DedupWindow, c.TotalTimeout = scope, 900*millisecond, 5*time.Second
		return c
	}
	classes := []policy.Class{
		classAny:           class("any", policy.ReadAny, policy.Idempotent, 1),
		classBounded:       class("bounded", policy.ReadBounded, policy.Idempotent, 1),
		classSession:       class("session", policy.ReadSession, policy.Idempotent, 1.5),
		classFresh:         class("fresh", policy.ReadLatest, policy.Idempotent, 2),
		classUnsafeWrite:   class("write", policy.Write, policy.NotIdempotent, 3),
		classKeyedAll:      keyed("keyed", policy.DedupEverywhere),
		classKeyedZone:     keyed("keyed-zone", policy.DedupInZone),
		classKeyedGroup:    keyed("keyed-group", policy.DedupInGroup),
		classReport:        class("report", policy.ReadAny, policy.Idempotent, 0.5),
		classBoundedStrict: class("strict", policy.ReadBounded, policy.Idempotent, 1),
		classWithoutAim:    class("patient", policy.ReadAny, policy.NotIdempotent, 0.2),
	}
	classes[classBounded].MaxStaleness = time.Second
	classes[classBoundedStrict].MaxStaleness, classes[classBoundedStrict].LateWeightFraction = 300*millisecond, 0
	classes[classReport].LateWeightFraction, classes[classReport].LatencyObjective = 0, 1200*millisecond
	classes[classUnsafeWrite].TotalTimeout = 5 * time.Second
	classes[classWithoutAim].LatencyObjective, classes[classWithoutAim].TotalTimeout = 0, 3*time.Second
	return classes
}

func (c *script) settings() policy.Settings {
	settings := policy.Settings{Poolers: 1, Zone: 1, Classes: scriptClasses(), StaleReads: policy.StaleReadRejected,
		StaleReadWait: 100 * millisecond, RolesReported: true, ProbesAllowed: true, CancelAllowed: true, HedgingAllowed: true,
		RetryAfterSupported: true, MaxAttempts: 4, MaxRetryAfter: 2 * time.Second, PollList: true, MaxPollInterval: 10 * time.Second,
		EventInterval: 2 * millisecond, DrainGracePeriod: time.Second, SlowStartCapacity: 0.2, SlowStartDuration: 10 * time.Second, OverloadFactor: 2,
		OverloadInterval: time.Second}
	if c.change != nil {
		c.change(&settings)
	}
	return settings
}

func fleetOf(poolers, me int) func(*policy.Settings) {
	return func(s *policy.Settings) { s.Poolers, s.PoolerIndex = poolers, me }
}

// scripts are all runs. Each has its own mix of what servers tell and what the settings allow.
func scripts() []*script { return append(singlePoolerScripts(), fleetScripts()...) }

// variant is the base script with a name, a seed and what change makes of it.
func variant(name string, seed uint64, change func(*script)) *script {
	made := script{duration: 150 * time.Second, requestEvery: 9 * millisecond, disturbEvery: 1500 * millisecond, groups: 3,
		positions: true, answersTellPositions: true, roles: true, busy: true, reportShare: 0.3, firstList: policy.ListFull,
		minTimeout: 10 * millisecond, maxTimeout: time.Minute}
	made.name, made.seed = name, seed
	change(&made)
	return &made
}

// singlePoolerScripts are the runs of a pooler that is alone.
func singlePoolerScripts() []*script {
	return []*script{
		variant("one", 1, func(*script) {}),
		variant("one-cached-untold", 2, func(c *script) {
			c.firstList, c.answersTellPositions, c.roleNow = policy.ListCached, false, true
			c.change = func(s *policy.Settings) {
				s.TrackSessions, s.HedgingAllowed, s.StaleReads = true, false, policy.StaleReadWaits
			}
		}),
		variant("one-answers-behind", 3, func(c *script) {
			c.weighted, c.roles = true, false
			c.change = func(s *policy.Settings) {
				s.StaleReads, s.CancelAllowed, s.RetryAfterSupported = policy.StaleReadAnswered, false, false
			}
		}),
		variant("one-without-probes", 4, func(c *script) {
			c.positions, c.reportShare = false, 0
			c.change = func(s *policy.Settings) { s.ProbesAllowed, s.HedgingAllowed, s.PollList = false, false, false }
		}),
		variant("one-without-positions", 5, func(c *script) {
			c.positions, c.busy = false, false
			c.change = func(s *policy.Settings) { s.RolesReported, s.IgnoreRemoval, s.MaxAttempts = false, true, 0 }
		}),
		variant("one-quiet", 6, func(c *script) {
			c.disturbEvery, c.requestEvery = 6*time.Second, 3*millisecond
			c.change = func(s *policy.Settings) { s.DrainGracePeriod = 70 * time.Second } // longer than a server that has gone is kept
			c.opening = (*simulation).replace
		}),
		variant("one-hurried", 14, func(c *script) {
			c.minTimeout, c.maxTimeout = millisecond, 20*millisecond
			c.change = func(s *policy.Settings) { s.SlowStartCapacity = 0 }
		}),
	}
}

// fleetScripts are the runs of one pooler of several.
func fleetScripts() []*script {
	return []*script{
		variant("five", 7, func(c *script) { c.change, c.weighted = fleetOf(5, 2), true }),
		variant("five-bounded-probes", 8, func(c *script) {
			c.answersTellPositions, c.disturbEvery = false, 3*time.Second
			c.change = func(s *policy.Settings) {
				fleetOf(5, 4)(s)
				s.StaleReads, s.RetryAfterSupported, s.Classes[classBounded].MaxStaleness = policy.StaleReadWaits, false, 10*time.Second
			}
		}),
		variant("five-busy", 9, func(c *script) {
			c.requestEvery, c.change, c.duration = 2*millisecond, fleetOf(5, 0), 60*time.Second
		}),
		variant("eighty", 10, func(c *script) { c.requestEvery, c.change = 25*millisecond, fleetOf(80, 7) }),
		variant("eighty-cached-untold", 11, func(c *script) {
			c.requestEvery, c.firstList, c.answersTellPositions, c.weighted = 30*millisecond, policy.ListCached, false, true
			c.opening = func(s *simulation) { // while the first call of the list service is due
				s.resizeFleet(20, 3)
				s.schedule(100*millisecond, func() { s.resizeFleet(80, 61) })
			}
			c.change = func(s *policy.Settings) {
				fleetOf(80, 61)(s)
				s.MaxPollInterval, s.TrackSessions, s.StaleReads = 0, true, policy.StaleReadAnswered
			}
		}),
		variant("eighty-jammed", 12, func(c *script) {
			c.requestEvery, c.groups, c.disturbEvery = 8*millisecond, 1, 2500*millisecond
			c.change = func(s *policy.Settings) {
				fleetOf(80, 33)(s)
				s.HedgingAllowed, s.StaleReads = false, policy.StaleReadWaits
			}
		}),
		variant("thousand", 13, func(c *script) { c.requestEvery, c.change = 60*millisecond, fleetOf(1000, 512) }),
	}
}

// run plays a script and returns a checkpoint at each quarter of it.
func (c *script) run(recorder *recorder) ([]checkpoint, error) {
	s, err := newSimulation(c, recorder)
	if err != nil {
		return nil, err
	}
	s.start()
	const quarters = 4
	var checkpoints []checkpoint
	for quarter := time.Duration(1); quarter <= quarters; quarter++ {
		s.runUntil(startClock + c.duration*quarter/quarters)
		checkpoints = append(checkpoints, recorder.checkpoint())
	}
	return checkpoints, nil
}

// start lists the servers and begins the traffic and the disturbances.
func (s *simulation) start() {
	for group := 1; group <= s.script.groups; group++ {
		for i := range 3 + group%2 {
			weight := 0
			if s.script.weighted && group%2 == 1 {
				weight = []int{1, policy.NoReads, 3, 2}[i]
			}
			s.addServer(policy.Member{Zone: 1 + i%2, Group: group, State: policy.Ready, Primary: i == 0, ReadWeight: weight})
		}
	}
	s.router.HandleList(s.clock, s.script.firstList, s.listed())
	s.schedule(0, s.arrivals)
	s.schedule(2*time.Second, s.disturb)
	s.schedule(time.Second, s.askAvoids)
	if s.script.opening != nil {
		s.schedule(time.Second, func() { s.script.opening(s) })
	}
}

func (s *simulation) addServer(member policy.Member) {
	s.lastServer += 7
	member.ID = s.lastServer
	s.servers = append(s.servers, newModelServer(member))
}

// arrivals submits one request and schedules the next.
func (s *simulation) arrivals() {
	class := s.drawClass()
	timeout := 2 * time.Second
	if class < len(s.settings.Classes) {
		timeout = s.settings.Classes[class].TotalTimeout
	}
	if s.chance(0.15) { // a client's later try has less time left
		timeout = s.between(s.script.minTimeout, min(timeout, s.script.maxTimeout))
	}
	in := policy.Request{Group: s.anyGroup(), Timeout: timeout}
	if s.chance(0.5) {
		in.Session = 1 + s.random.Uint64N(20)
		in.SinceLastWrite = s.between(0, 400*millisecond)
	}
	request := s.submit(class, in)
	if s.chance(0.02) {
		s.schedule(s.between(0, 100*millisecond), func() { s.disconnect(request) })
	}
	gap := 2 * s.random.Float64() * float64(s.script.requestEvery) / s.rate
	s.schedule(min(time.Duration(gap), 5*time.Second), s.arrivals)
}

// drawClass is a class by its share of the traffic; rarely one that does not exist.
func (s *simulation) drawClass() int {
	shares := []int{classAny: 25, classBounded: 20, classSession: 10, classFresh: 8, classUnsafeWrite: 8, classKeyedAll: 4,
		classKeyedZone: 4, classKeyedGroup: 4, classReport: 6, classBoundedStrict: 5, classWithoutAim: 4, classAdded: 3}
	if s.chance(0.001) {
		return 99
	}
	drawn := s.random.IntN(101)
	for class, share := range shares {
		if drawn -= share; drawn < 0 {
			return min(class, len(s.settings.Classes)-1)
		}
	}
	return classAny
}

// askAvoids records which servers are passed over, four times a second.
func (s *simulation) askAvoids() {
	for _, server := range s.servers {
		s.record(recordAvoids, int64(server.member.ID), integer(s.router.Unavailable(server.member.ID)))
	}
	s.schedule(250*millisecond, s.askAvoids)
}
