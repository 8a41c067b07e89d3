package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Router decides for one pooler. The package comment tells how a host uses it.
type Router struct {
	clock
	settings Settings
	actions  Actions
	fleet    fleetParameters
	random   randomSource
	timers   timerQueue
	counters reasonCounters

	servers  serverTable
	groups   map[int]*group
	requests map[uint32]*request // by Request.ID, until forgetFinished
	sessions sessionPositions

	estimates        latencyEstimates
	overall          overallHealth
	retryBudget      float64 // repeats of idempotent requests that may be sent now, up to maxRetryBudget
	positionsOmitted bool    // an answer to a read came without the server's position

	listPollScheduled bool
	reported          hostReports
}

// hostReports is what the host has reported of itself.
type hostReports struct {
	roundLeader  bool          // this pooler repeats probe rounds for all poolers
	sendDuration time.Duration // the longest time that a send has lately taken, from its choice to its last byte
}

// fleetParameters is what follows from the number of poolers that share the servers and the list service.
type fleetParameters struct {
	isLarge         bool          // there are too many poolers for each to ping every primaryPingInterval
	pingInterval    time.Duration // between two pings of a primary by this pooler
	minWindow       float64       // the least concurrency window of a server
	firstPollSpread time.Duration // over which a large fleet spreads its first polls of the list
	listRetryDelay  time.Duration // the longest wait from a failed poll of the list to the next
}

func fleetParametersFor(s *Settings) fleetParameters {
	poolers := time.Duration(s.Poolers)
	p := fleetParameters{
		isLarge:        s.Poolers > maxSmallFleet,
		pingInterval:   primaryPingInterval,
		minWindow:      min(minFleetWindow/float64(s.Poolers), 1),
		listRetryDelay: min(max(listPollSpacing*poolers, MaxListRetryDelay/3), MaxListRetryDelay),
	}
	if s.MaxPollInterval > 0 {
		p.listRetryDelay = min(p.listRetryDelay, s.MaxPollInterval/2)
	}
	if p.isLarge {
		p.pingInterval *= poolers
		p.firstPollSpread = min(listPollSpacing*poolers, MaxFirstPollDelay)
	}
	return p
}

// New returns a Router that knows nothing but its settings. The seed determines its random choices.
func New(settings Settings, seed uint64, actions Actions) (*Router, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	r := &Router{
		actions:     actions,
		random:      randomSource{state: seed},
		servers:     serverTable{byID: map[uint32]*server{}},
		groups:      map[int]*group{},
		requests:    map[uint32]*request{},
		sessions:    sessionPositions{current: map[uint64]time.Duration{}},
		overall:     overallHealth{latencyRatio: 1},
		retryBudget: maxRetryBudget,
	}
	r.applySettings(settings)
	return r, nil
}

// UpdateSettings replaces the settings of a running Router. Classes keep their indices: those that
// there are must stand where they did, and new ones after them. An open request keeps its class,
// and a new class with the name of an earlier one starts with that one's estimates. What was
// scheduled or counted by the old settings is as the new ones have it.
func (r *Router) UpdateSettings(now time.Duration, settings Settings) error {
	if err := settings.Validate(); err != nil {
		return err
	}
	if len(settings.Classes) < len(r.settings.Classes) {
		return fmt.Errorf("policy: update settings: %d classes, where there are %d",
			len(settings.Classes), len(r.settings.Classes))
	}
	r.advanceClock(now)
	oldPace := r.fleet
	oldGrace := r.settings.DrainGracePeriod
	if settings.TrackSessions && !r.settings.TrackSessions {
		r.sessions.untrackedPosition = r.now // the writes until now were not remembered by their sessions
	}
	r.applySettings(settings)
	r.rescheduleListPoll(oldPace)
	r.updateGroupsAfterSettings(oldPace)
	r.updateServersAfterSettings(oldGrace)
	return nil
}

// applySettings normalizes the settings and makes them the Router's.
func (r *Router) applySettings(settings Settings) {
	old := r.settings.Classes
	settings.Poolers = max(settings.Poolers, 1)
	if settings.OverloadFactor <= 0 || settings.OverloadInterval <= 0 {
		settings.SlowStartDuration = 0 // no server fails under too much work after its start
	}
	if settings.MaxAttempts == 0 {
		settings.MaxAttempts = math.MaxInt32
	}
	// Open requests point to the old classes, which are never overwritten: new ones go to a new
	// array.
	settings.Classes = append(slices.Clip(old), settings.Classes[len(old):]...)
	r.settings = settings
	r.fleet = fleetParametersFor(&r.settings)
	for i := len(old); i < len(settings.Classes); i++ {
		r.addClass(i)
	}
}

// addClass completes the settings of a new class and adds its estimates: those of the last earlier
// class of its name, if there is one.
func (r *Router) addClass(index int) {
	classes := r.settings.Classes
	c := &classes[index]
	baseline := c.LatencyObjective / baselineObjectiveDivisor
	if c.LatencyObjective == 0 { // none: the full weight is earned up to the timeout
		c.LatencyObjective = cmp.Or(c.TotalTimeout, time.Hour)
		baseline = baselineWithoutObjective
	}
	estimate := classEstimate{meanLatency: baseline, baseline: latencyBaseline{value: baseline}}
	for from := index - 1; from >= 0; from-- {
		if c.Name == "" || classes[from].Name != c.Name {
			continue
		}
		earlier := r.estimates.classes[from]
		estimate.meanLatency = earlier.meanLatency
		estimate.baseline = earlier.baseline
		if classes[from].TotalTimeout == c.TotalTimeout {
			estimate.usualTimeout = earlier.usualTimeout
		}
		break
	}
	r.estimates.classes = append(r.estimates.classes, estimate)
}

// rescheduleListPoll brings the first poll forward if the old settings spread it over a longer
// span.
func (r *Router) rescheduleListPoll(old fleetParameters) {
	if r.listPollScheduled && r.fleet.firstPollSpread < old.firstPollSpread {
		r.listPollScheduled = false
		r.scheduleListPoll(r.stagger(r.fleet.firstPollSpread))
	}
}

// updateGroupsAfterSettings drops what groups hold by the old settings: their ranking, the pings'
// interval, and the first round, which may be allowed only now.
func (r *Router) updateGroupsAfterSettings(old fleetParameters) {
	for _, g := range r.sortedGroups() {
		g.ranking.invalidate()
		g.round.initialTriggered = false
		if g.ping.scheduled && r.fleet.pingInterval != old.pingInterval {
			r.schedulePing(g, r.fleet.pingInterval)
		}
	}
}

// updateServersAfterSettings raises windows to the new least one and shortens the grace of servers
// that drain. A longer grace is for those that drain from now on.
func (r *Router) updateServersAfterSettings(oldGrace time.Duration) {
	for _, s := range r.servers.ordered {
		s.window.size = max(s.window.size, r.fleet.minWindow)
		if s.sendUntil > 0 {
			shortened := min(r.settings.DrainGracePeriod-oldGrace, 0)
			s.sendUntil = max(s.sendUntil+shortened, 1)
		}
	}
}
