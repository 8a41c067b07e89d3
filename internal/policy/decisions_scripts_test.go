package policy_test

import (
	"time"

	"threadsail/internal/policy"
)

// The indices of the classes of the scripts.
const (
	classAny = iota
	classBounded
	classSession
	classLatest
	classNotIdempotent
	classByKeyEverywhere
	classByKeyInZone
	classByKeyInGroup
	classLongRead      // a ReadAny request with a long execution time
	classBoundedStrict // bounded reads with a short bound, whose late answers have no value
	classWithoutObjective
	classAdded // added by updateSettings during a run
)

// script describes one long seeded run of the simulation.
type script struct {
	name                string
	seed                uint64
	change              func(*policy.Settings)
	duration            time.Duration
	requestInterval     time.Duration // mean interval between two requests
	disturbanceInterval time.Duration
	groups              int

	positionsInReports bool // whether status reports include positions
	positionsInAnswers bool
	rolesInAnswers     bool // whether answers include the server's role
	rolesAreCurrent    bool // value of policy.ServerStatus.RoleIsCurrent in reports
	reportsUtilization bool
	reportShare        float64 // share of the answers that include a status report
	weighted           bool
	firstList          policy.ListKind
	minTimeout         time.Duration     // minimum timeout of a client's retry
	maxTimeout         time.Duration     // maximum timeout of a client's retry
	initialEvent       func(*simulation) // called one second after the start; nil for none
}

// addedClass returns the class that updateSettings adds.
func addedClass() policy.Class {
	return policy.Class{Name: "any", Access: policy.ReadAny, Idempotency: policy.Idempotent,
		LatencyObjective: 200 * millisecond, TotalTimeout: 2 * time.Second, PriorityWeight: 3}
}

// scriptClasses returns the classes at the start of a script.
func scriptClasses() []policy.Class {
	class := func(name string, access policy.Access, idempotency policy.Idempotency,
		priorityWeight float64) policy.Class {
		return policy.Class{Name: name, Access: access, Idempotency: idempotency,
			LatencyObjective: 400 * millisecond, TotalTimeout: 2 * time.Second,
			PriorityWeight: priorityWeight, LateWeightFraction: 0.5}
	}
	classByKey := func(name string, scope policy.DedupScope) policy.Class {
		c := class(name, policy.Write, policy.IdempotentByKey, 2)
		c.DedupScope, c.DedupWindow, c.TotalTimeout = scope, 900*millisecond, 5*time.Second
		return c
	}
	classes := []policy.Class{
		classAny:              class("any", policy.ReadAny, policy.Idempotent, 1),
		classBounded:          class("bounded", policy.ReadBounded, policy.Idempotent, 1),
		classSession:          class("session", policy.ReadSession, policy.Idempotent, 1.5),
		classLatest:           class("fresh", policy.ReadLatest, policy.Idempotent, 2),
		classNotIdempotent:    class("write", policy.Write, policy.NotIdempotent, 3),
		classByKeyEverywhere:  classByKey("keyed", policy.DedupEverywhere),
		classByKeyInZone:      classByKey("keyed-zone", policy.DedupInZone),
		classByKeyInGroup:     classByKey("keyed-group", policy.DedupInGroup),
		classLongRead:         class("report", policy.ReadAny, policy.Idempotent, 0.5),
		classBoundedStrict:    class("strict", policy.ReadBounded, policy.Idempotent, 1),
		classWithoutObjective: class("patient", policy.ReadAny, policy.NotIdempotent, 0.2),
	}
	classes[classBounded].MaxStaleness = time.Second
	classes[classBoundedStrict].MaxStaleness, classes[classBoundedStrict].LateWeightFraction = 300*millisecond, 0
	classes[classLongRead].LateWeightFraction, classes[classLongRead].LatencyObjective = 0, 1200*millisecond
	classes[classNotIdempotent].TotalTimeout = 5 * time.Second
	classes[classWithoutObjective].LatencyObjective, classes[classWithoutObjective].TotalTimeout =
		0, 3*time.Second
	return classes
}

// settings returns the settings of the router at the start of the script.
func (c *script) settings() policy.Settings {
	settings := policy.Settings{Poolers: 1, Zone: 1, Classes: scriptClasses(),
		StaleReads: policy.StaleReadRejected, StaleReadWait: 100 * millisecond, RolesReported: true,
		ProbesAllowed: true, CancelAllowed: true, HedgingAllowed: true, RetryAfterSupported: true,
		MaxAttempts: 4, MaxRetryAfter: 2 * time.Second, PollList: true, MaxPollInterval: 10 * time.Second,
		EventInterval: 2 * millisecond, DrainGracePeriod: time.Second, SlowStartCapacity: 0.2,
		SlowStartDuration: 10 * time.Second, OverloadFactor: 2, OverloadInterval: time.Second}
	if c.change != nil {
		c.change(&settings)
	}
	return settings
}

// fleetOf returns a change of the settings to those of one pooler of a fleet.
func fleetOf(poolers, index int) func(*policy.Settings) {
	return func(s *policy.Settings) { s.Poolers, s.PoolerIndex = poolers, index }
}

// scripts returns all scripts. They differ in what the servers report and what the settings allow.
func scripts() []*script { return append(singlePoolerScripts(), fleetScripts()...) }

// newScript returns the base script with the given name, seed and change.
func newScript(name string, seed uint64, change func(*script)) *script {
	created := script{duration: 150 * time.Second, requestInterval: 9 * millisecond,
		disturbanceInterval: 1500 * millisecond, groups: 3, positionsInReports: true,
		positionsInAnswers: true, rolesInAnswers: true, reportsUtilization: true, reportShare: 0.3,
		firstList: policy.ListFull, minTimeout: 10 * millisecond, maxTimeout: time.Minute}
	created.name, created.seed = name, seed
	change(&created)
	return &created
}

// singlePoolerScripts returns the scripts with a single pooler.
func singlePoolerScripts() []*script {
	return []*script{
		newScript("one", 1, func(*script) {}),
		newScript("one-cached-untold", 2, func(c *script) {
			c.firstList, c.positionsInAnswers, c.rolesAreCurrent = policy.ListCached, false, true
			c.change = func(s *policy.Settings) {
				s.TrackSessions, s.HedgingAllowed, s.StaleReads = true, false, policy.StaleReadWaits
			}
		}),
		newScript("one-answers-behind", 3, func(c *script) {
			c.weighted, c.rolesInAnswers = true, false
			c.change = func(s *policy.Settings) {
				s.StaleReads, s.CancelAllowed, s.RetryAfterSupported = policy.StaleReadAnswered, false, false
			}
		}),
		newScript("one-without-probes", 4, func(c *script) {
			c.positionsInReports, c.reportShare = false, 0
			c.change = func(s *policy.Settings) { s.ProbesAllowed, s.HedgingAllowed, s.PollList = false, false, false }
		}),
		newScript("one-without-positions", 5, func(c *script) {
			c.positionsInReports, c.reportsUtilization = false, false
			c.change = func(s *policy.Settings) { s.RolesReported, s.IgnoreRemoval, s.MaxAttempts = false, true, 0 }
		}),
		newScript("one-quiet", 6, func(c *script) {
			c.disturbanceInterval, c.requestInterval = 6*time.Second, 3*millisecond
			// longer than a removed server is remembered
			c.change = func(s *policy.Settings) { s.DrainGracePeriod = 70 * time.Second }
			c.initialEvent = (*simulation).replaceServer
		}),
		newScript("one-hurried", 14, func(c *script) {
			c.minTimeout, c.maxTimeout = millisecond, 20*millisecond
			c.change = func(s *policy.Settings) { s.SlowStartCapacity = 0 }
		}),
	}
}

// fleetScripts returns the scripts for one pooler of a fleet.
func fleetScripts() []*script {
	return []*script{
		newScript("five", 7, func(c *script) { c.change, c.weighted = fleetOf(5, 2), true }),
		newScript("five-bounded-probes", 8, func(c *script) {
			c.positionsInAnswers, c.disturbanceInterval = false, 3*time.Second
			c.change = func(s *policy.Settings) {
				fleetOf(5, 4)(s)
				s.StaleReads, s.RetryAfterSupported, s.Classes[classBounded].MaxStaleness =
					policy.StaleReadWaits, false, 10*time.Second
			}
		}),
		newScript("five-busy", 9, func(c *script) {
			c.requestInterval, c.change, c.duration = 2*millisecond, fleetOf(5, 0), 60*time.Second
		}),
		newScript("eighty", 10, func(c *script) { c.requestInterval, c.change = 25*millisecond, fleetOf(80, 7) }),
		newScript("eighty-cached-untold", 11, func(c *script) {
			c.requestInterval, c.firstList, c.positionsInAnswers, c.weighted =
				30*millisecond, policy.ListCached, false, true
			c.initialEvent = func(s *simulation) { // while the first poll of the list is scheduled
				s.resizeFleet(20, 3)
				s.schedule(100*millisecond, func() { s.resizeFleet(80, 61) })
			}
			c.change = func(s *policy.Settings) {
				fleetOf(80, 61)(s)
				s.MaxPollInterval, s.TrackSessions, s.StaleReads = 0, true, policy.StaleReadAnswered
			}
		}),
		newScript("eighty-jammed", 12, func(c *script) {
			c.requestInterval, c.groups, c.disturbanceInterval = 8*millisecond, 1, 2500*millisecond
			c.change = func(s *policy.Settings) {
				fleetOf(80, 33)(s)
				s.HedgingAllowed, s.StaleReads = false, policy.StaleReadWaits
			}
		}),
		newScript("thousand", 13, func(c *script) {
			c.requestInterval, c.change = 60*millisecond, fleetOf(1000, 512)
		}),
	}
}

// run runs a script and returns a checkpoint after each quarter of its duration.
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

// start reports the list of the servers, and starts the traffic and the disturbances.
func (s *simulation) start() {
	for group := 1; group <= s.script.groups; group++ {
		for i := range 3 + group%2 {
			weight := 0
			if s.script.weighted && group%2 == 1 {
				weight = []int{1, policy.NoReads, 3, 2}[i]
			}
			s.addServer(policy.Member{Zone: 1 + i%2, Group: group, State: policy.Ready, Primary: i == 0,
				ReadWeight: weight})
		}
	}
	s.router.HandleList(s.clock, s.script.firstList, s.memberList())
	s.schedule(0, s.submitNext)
	s.schedule(2*time.Second, s.beginDisturbance)
	s.schedule(time.Second, s.recordAvoidedServers)
	if s.script.initialEvent != nil {
		s.schedule(time.Second, func() { s.script.initialEvent(s) })
	}
}

// addServer adds a server with a new identifier. The list does not name it yet.
func (s *simulation) addServer(member policy.Member) {
	s.lastServer += 7
	member.ID = s.lastServer
	s.servers = append(s.servers, newModelServer(member))
}

// submitNext submits a random request and schedules the next one.
func (s *simulation) submitNext() {
	class := s.randomClass()
	timeout := 2 * time.Second
	if class < len(s.settings.Classes) {
		timeout = s.settings.Classes[class].TotalTimeout
	}
	if s.withProbability(0.15) { // a client's retry has less time left
		timeout = s.randomDuration(s.script.minTimeout, min(timeout, s.script.maxTimeout))
	}
	in := policy.Request{Group: s.randomGroup(), Timeout: timeout}
	if s.withProbability(0.5) {
		in.Sessions = []uint64{1 + s.random.Uint64N(20)}
		in.SinceLastWrite = s.randomDuration(0, 400*millisecond)
	}
	request := s.submit(class, in)
	if s.withProbability(0.02) {
		s.schedule(s.randomDuration(0, 100*millisecond), func() { s.disconnect(request) })
	}
	gap := 2 * s.random.Float64() * float64(s.script.requestInterval) / s.requestRate
	s.schedule(min(time.Duration(gap), 5*time.Second), s.submitNext)
}

// randomClass returns a random class by its share of the traffic. A few requests have a class that
// does not exist.
func (s *simulation) randomClass() int {
	shares := []int{classAny: 25, classBounded: 20, classSession: 10, classLatest: 8,
		classNotIdempotent: 8, classByKeyEverywhere: 4, classByKeyInZone: 4, classByKeyInGroup: 4,
		classLongRead: 6, classBoundedStrict: 5, classWithoutObjective: 4, classAdded: 3}
	if s.withProbability(0.001) {
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

// recordAvoidedServers records four times a second which servers the router avoids.
func (s *simulation) recordAvoidedServers() {
	for _, server := range s.servers {
		s.record(recordAvoids, int64(server.member.ID), integer(s.router.Unavailable(server.member.ID)))
	}
	s.schedule(250*millisecond, s.recordAvoidedServers)
}
