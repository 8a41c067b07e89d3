package policy

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Router routes the requests of one pooler. The package comment describes how a host uses it.
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
	requests map[uint32]*request // by Request.ID; removed by forgetFinished
	sessions *SessionPositions

	estimates        latencyEstimates
	overall          overallHealth
	retryBudget      float64 // number of retries available to idempotent requests, up to maxRetryBudget
	positionsOmitted bool    // whether an answer to a read has come without the server's position

	listPollScheduled bool
	reported          hostReports
}

// hostReports holds what the host has reported about this pooler.
type hostReports struct {
	roundLeader  bool          // whether this pooler repeats probe rounds on behalf of the fleet
	sendDuration time.Duration // recent maximum from the check that allowed a send to its last byte
}

// fleetParameters holds the limits that depend on the number of poolers, which share the servers and
// the list service.
type fleetParameters struct {
	isLarge         bool          // whether there are more than maxSmallFleet poolers
	pingInterval    time.Duration // interval between two pings of a primary by this pooler
	minWindow       float64       // minimum size of a server's concurrency window
	firstPollSpread time.Duration // span over which a large fleet spreads its first polls of the list
	listRetryDelay  time.Duration // maximum delay from a failed poll of the list to the next one
}

// fleetParametersFor computes the limits for the number of poolers in the settings.
func fleetParametersFor(settings *Settings) fleetParameters {
	poolers := time.Duration(settings.Poolers)
	p := fleetParameters{
		isLarge:        settings.Poolers > maxSmallFleet,
		pingInterval:   primaryPingInterval,
		minWindow:      min(minFleetWindow/float64(settings.Poolers), 1),
		listRetryDelay: min(max(listPollSpacing*poolers, MaxListRetryDelay/3), MaxListRetryDelay),
	}
	if settings.MaxPollInterval > 0 {
		p.listRetryDelay = min(p.listRetryDelay, settings.MaxPollInterval/2)
	}
	if p.isLarge {
		p.pingInterval *= poolers
		p.firstPollSpread = min(listPollSpacing*poolers, MaxFirstPollDelay)
	}
	return p
}

// New returns a Router without any servers or requests. The seed determines its random choices. New
// returns an error if a setting is out of range.
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
		sessions:    NewSessionPositions(),
		overall:     overallHealth{latencyRatio: 1},
		retryBudget: maxRetryBudget,
	}
	r.applySettings(settings)
	return r, nil
}

// UpdateSettings replaces the settings of a running Router. Existing classes keep their indices and
// definitions; new classes must follow them. An open request keeps its class, and a new class with
// the name of an earlier one starts with the estimates of that class. Scheduled polls and pings,
// concurrency windows and grace periods are adjusted to the new settings. UpdateSettings returns an
// error if a setting is out of range or there are fewer classes than before.
func (r *Router) UpdateSettings(now time.Duration, settings Settings) error {
	if err := settings.Validate(); err != nil {
		return err
	}
	if len(settings.Classes) < len(r.settings.Classes) {
		return fmt.Errorf("policy: update settings: %d classes, where there are %d",
			len(settings.Classes), len(r.settings.Classes))
	}
	r.advanceClock(now)
	oldFleet := r.fleet
	oldGracePeriod := r.settings.DrainGracePeriod
	if settings.TrackSessions && !r.settings.TrackSessions {
		r.sessions.record(nil, r.now+maxClockDifference) // sessions' writes were not tracked until now
	}
	r.applySettings(settings)
	r.rescheduleListPoll(oldFleet)
	r.updateGroupsAfterSettings(oldFleet)
	r.updateServersAfterSettings(oldGracePeriod)
	return nil
}

// applySettings normalizes the settings, stores them and adds the new classes.
func (r *Router) applySettings(settings Settings) {
	old := r.settings.Classes
	settings.Poolers = max(settings.Poolers, 1)
	if settings.OverloadFactor <= 0 || settings.OverloadInterval <= 0 {
		settings.SlowStartDuration = 0 // servers do not fail from overload after their start
	}
	if settings.MaxAttempts == 0 {
		settings.MaxAttempts = math.MaxInt32
	}
	// Open requests hold pointers to the old classes, so that the old array must not be overwritten:
	// Clip makes append allocate a new one.
	settings.Classes = append(slices.Clip(old), settings.Classes[len(old):]...)
	r.settings = settings
	r.fleet = fleetParametersFor(&r.settings)
	for i := len(old); i < len(settings.Classes); i++ {
		r.addClass(i)
	}
}

// addClass sets the defaults of a new class and adds its estimates, which are copied from the latest
// earlier class with the same name if there is one.
func (r *Router) addClass(index int) {
	classes := r.settings.Classes
	c := &classes[index]
	baseline := c.LatencyObjective / baselineObjectiveDivisor
	if c.LatencyObjective == 0 { // no objective: the full weight is earned until the timeout
		c.LatencyObjective = cmp.Or(c.TotalTimeout, time.Hour)
		baseline = baselineWithoutObjective
	}
	estimate := classEstimate{meanLatency: baseline, baseline: latencyBaseline{value: baseline}}
	for earlierIndex := index - 1; earlierIndex >= 0; earlierIndex-- {
		if c.Name == "" || classes[earlierIndex].Name != c.Name {
			continue
		}
		earlier := r.estimates.classes[earlierIndex]
		estimate.meanLatency = earlier.meanLatency
		estimate.baseline = earlier.baseline
		if classes[earlierIndex].TotalTimeout == c.TotalTimeout {
			estimate.usualTimeout = earlier.usualTimeout
		}
		break
	}
	r.estimates.classes = append(r.estimates.classes, estimate)
}

// rescheduleListPoll schedules an earlier first poll if the new settings spread the first polls over
// a shorter span.
func (r *Router) rescheduleListPoll(old fleetParameters) {
	if r.listPollScheduled && r.fleet.firstPollSpread < old.firstPollSpread {
		r.listPollScheduled = false
		r.scheduleListPoll(r.stagger(r.fleet.firstPollSpread))
	}
}

// updateGroupsAfterSettings applies new settings to the groups: it invalidates their rankings,
// reschedules their pings if the interval has changed, and permits the initial round again, as probes
// may not have been allowed before.
func (r *Router) updateGroupsAfterSettings(old fleetParameters) {
	for _, g := range r.sortedGroups() {
		g.ranking.invalidate()
		g.round.initialRoundHandled = false
		if g.ping.scheduled && r.fleet.pingInterval != old.pingInterval {
			r.schedulePing(g, r.fleet.pingInterval)
		}
	}
}

// updateServersAfterSettings applies new settings to the servers: it raises their windows to the new
// minimum and shortens the grace periods of draining servers if DrainGracePeriod has decreased. A
// longer DrainGracePeriod applies only to servers that begin to drain later.
func (r *Router) updateServersAfterSettings(oldGracePeriod time.Duration) {
	for _, s := range r.servers.ordered {
		s.window.size = max(s.window.size, r.fleet.minWindow)
		if s.sendUntil > 0 {
			shortened := min(r.settings.DrainGracePeriod-oldGracePeriod, 0)
			s.sendUntil = max(s.sendUntil+shortened, 1)
		}
	}
}
