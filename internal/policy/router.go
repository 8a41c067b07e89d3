package policy

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"threadsail/internal/rendezvous"
)

// What a Router remembers and measures, its timers, and the pace that follows from its settings. What is decided stands in
// the policy's files.

const (
	ms = time.Millisecond

	timeoutToleranceDivisor = 50               // patiences within this part of the deadline count as the same
	maxTimeoutVotes         = 50               // for the usual patience: so many others must come before it is given up
	baselineSamples         = 30               // answers whose mean is one measure of a class's undisturbed time
	baselineGrowthPerSecond = 0.005            // a second: growth of the undisturbed time, so that no lucky measure lasts
	loadAveragingTime       = 10 * time.Second // over which the work sent to warm stores is averaged
	removedServerRetention  = time.Minute      // after which a store that has left the list is forgotten
)

type attempt struct {
	server        *server
	sentAt        time.Duration
	finished      bool
	serverErrored bool
	request       *request
}

type request struct {
	id                                    uint32
	classSettings                         *Class
	sessionID                             uint64
	classIndex, maxAttempts               int // most attempts, as it came
	group                                 *group
	arrivedAt, deadline, requiredPosition time.Duration
	objectiveAt, lastUsefulSendAt         time.Duration // answered by aimAt, or sent by useful, it earns its full worth
	attempts                              []*attempt
	inFlight                              int
	possiblyExecuted                      *attempt // first attempt that may have run
	queued, finished                      bool
	clientDisconnected                    bool // its client has left, or cancelled it
	reachedServer                         bool // an attempt has reached a store
	blockedByLag, catchUpExpected         bool // some replica lacks only the position for it; and will soon have it
}

type server struct {
	Member
	listed           bool
	sendUntil        time.Duration // no attempt from here on: a drain's grace; 0: none
	wasDraining      bool          // was listed as draining
	role             Role
	roleAsOf         time.Duration // as-of time of that role
	primaryClaimAsOf time.Duration // as-of time of its newest claim to be primary
	position         time.Duration // proven position, a lower bound that never goes back
	positionProvenAt time.Duration
	positionProbedAt time.Duration
	lagRejectedAt    time.Duration // it last turned a read away that it was too far behind for

	inFlight              []*attempt    // in the order of their sends
	lastAnswerAt          time.Duration // last answer on the request path
	latestAnsweredSendAt  time.Duration // when the latest attempt that it has answered was sent
	latencyRatio          float64
	latencyRatioAt        time.Duration
	failureRate           float64
	ejected               bool // has lost its turn
	ejectedByFleet        bool // by the fleet's word alone
	ejectedAt             time.Duration
	nextTrialAt           time.Duration
	trialInterval         time.Duration
	utilization           float64
	utilizationAt         time.Duration
	silenceCheckScheduled bool
	inRound               bool
	silent                bool
	lastAttemptEndedAt    time.Duration // when an attempt last ended
	slowStartSince        time.Duration // its last start, as told or seen
	slotBeganAt           time.Duration // cold: when this front's last turn that it used began
	workBudget            float64       // what that leaves, or what is saved up: work, in time
	workBudgetAt          time.Duration
	roundRobinCredit      float64 // weighed: turns that it is owed
	unreachable           bool
	connectionsScarceAt   time.Duration // it last refused connections again and again
	lastReachedAt         time.Duration // last answer to a request or a probe
	lastAttemptDuration   time.Duration // its last attempt
	window                float64
	windowCutAt           time.Duration
	pausedUntil           time.Duration
	overloadPause         time.Duration
}

type group struct {
	id                    int
	members               []*server
	primary               *server
	initialRoundTriggered bool
	pingScheduled         bool
	pingDueAt             time.Duration
	roundPending          int // members of the running round still to answer
	roundAnswered         bool
	roundStartedAt        time.Duration
	nextRoundAt           time.Duration
	lastRequestAt         time.Duration // last request
	turnCursor            int
	weightsDiffer         bool          // its members differ in weight
	primaryRemoved        bool          // the recorded primary has left the list, and no other has shown itself
	leaderRoundsUntil     time.Duration // until then another front repeats rounds of this group for all
	rankedFrom            []*server
	ranked                []*server // dealtOf as this front prefers them, until they or the fleet change
	queue                 []*request
	queueCheckScheduled   bool
	nextPositionRefreshAt time.Duration
	primaryNotFound       bool          // rounds have found no primary
	primaryDownAt         time.Duration // when the last primary was lost
	expectedOutage        time.Duration // how long a group is without one then, more or less
}

// latencyBaseline is a class's undisturbed answer time and the measure under way.
type latencyBaseline struct {
	value      time.Duration
	measuredAt time.Duration
	sum        time.Duration
	count      int
}

// majorityTimeout is the patience that most tries of a class have, found by majority vote.
type majorityTimeout struct {
	timeout time.Duration
	votes   int
}

// vote counts a try's patience and tells whether it is the usual one.
func (u *majorityTimeout) vote(patience, same time.Duration) bool {
	switch {
	case (patience - u.timeout).Abs() <= same:
		u.votes = min(u.votes+1, maxTimeoutVotes)
	case u.votes == 0:
		u.timeout, u.votes = patience, 1
	default:
		u.votes--
		return false
	}
	return true
}

// observeBaseline measures a class's answer time without queues: the least mean of some answers.
func (r *Router) observeBaseline(class int, took time.Duration) {
	b := &r.baselines[class]
	b.sum += took
	if b.count++; b.count == baselineSamples {
		grown := time.Duration((1 + baselineGrowthPerSecond*(r.now-b.measuredAt).Seconds()) * float64(b.value))
		b.value, b.measuredAt, b.sum, b.count = min(max(b.sum/baselineSamples, ms), grown), r.now, 0, 0
	}
}

type timer struct {
	dueAt    time.Duration
	sequence uint64
	run      func()
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].dueAt < h[j].dueAt || h[i].dueAt == h[j].dueAt && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}

// Router decides for one front.
type Router struct {
	settings              Settings
	actions               Actions
	now                   time.Duration
	timerSequence         uint64
	randomState           uint64
	timers                timerHeap
	armedFor              time.Duration
	servers               map[uint32]*server
	groups                map[int]*group
	requests              map[uint32]*request
	meanLatencies         []time.Duration // per class: mean answer time
	baselines             []latencyBaseline
	minWindow             float64 // least window of a store
	positionsOmitted      bool    // answers to reads do not tell positions
	pingInterval          time.Duration
	firstPollSpread       time.Duration     // over which the fronts of a large fleet spread their first calls of the list service
	roundLeader           bool              // this front repeats rounds for the whole fleet
	largeFleet            bool              // the fleet is too large to ping every 100 ms
	majorityTimeouts      []majorityTimeout // per class
	latencyRatio          float64           // as a store's, of all together
	failureRate           float64           // share of recent attempts failing at all stores
	retryBudget           float64
	listRetryDelay        time.Duration // from a failed call of the list service to the next
	listPollScheduled     bool
	sessionPositions      map[uint64]time.Duration // remembered tokens, newest generation
	olderSessionPositions map[uint64]time.Duration
	forgottenPositionMax  time.Duration // newest commit forgotten
	serverOrder           []*server     // all stores, in the order of their first listing
	warmLoad              []float64     // per class: requests that each warm store has served of late, as of loadAt
	warmLoadAt            time.Duration
	startedAt             time.Duration // when this front's time began, or a second earlier
	sendDuration          time.Duration // from a choice to the last byte of its send, as the host has lately seen it
	readyReplicas         []*server
	counters              reasonCounters
}

// New returns a Router that knows nothing but its settings.
func New(set Settings, seed uint64, act Actions) (*Router, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	r := &Router{actions: act, randomState: seed, servers: map[uint32]*server{}, groups: map[int]*group{},
		requests: map[uint32]*request{}, sessionPositions: map[uint64]time.Duration{}, retryBudget: maxRetryBudget, latencyRatio: 1}
	r.applySettings(set)
	return r, nil
}

// UpdateSettings takes over new settings under way. Classes keep their numbers: those that there are must stand where they did,
// and new ones behind them. An open request keeps its class; a class of an earlier one's name keeps that one's measures of
// the servers. What was counted or put off by the old settings is as the new ones would have it.
func (r *Router) UpdateSettings(now time.Duration, set Settings) error {
	if err := set.Validate(); err != nil {
		return err
	}
	if len(set.Classes) < len(r.settings.Classes) {
		return fmt.Errorf("settings: %d classes, where there are %d", len(set.Classes), len(r.settings.Classes))
	}
	r.advanceClock(now)
	pings, span, grace := r.pingInterval, r.firstPollSpread, r.settings.DrainGracePeriod
	if set.TrackSessions && !r.settings.TrackSessions {
		r.forgottenPositionMax = r.now // whatever was written until now was not noted down, session by session
	}
	r.applySettings(set)
	r.applyPendingSettings(pings, span, grace)
	return nil
}

func (r *Router) applySettings(set Settings) {
	old := r.settings.Classes
	set.Poolers = max(set.Poolers, 1)
	if set.OverloadFactor <= 0 || set.OverloadInterval <= 0 {
		set.SlowStartDuration = 0 // none falls that is sent too much
	}
	if set.MaxAttempts == 0 {
		set.MaxAttempts = math.MaxInt32
	}
	set.Classes = append(slices.Clip(old), set.Classes[len(old):]...) // the old ones stay where requests point to them
	r.settings = set
	r.minWindow = min(minFleetWindow/float64(set.Poolers), 1)
	r.listRetryDelay = min(max(listPollSpacing*time.Duration(set.Poolers), MaxListRetryDelay/3), MaxListRetryDelay)
	if set.MaxPollInterval > 0 {
		r.listRetryDelay = min(r.listRetryDelay, set.MaxPollInterval/2)
	}
	r.pingInterval, r.firstPollSpread, r.largeFleet = primaryPingInterval, 0, set.Poolers > maxSmallFleet
	if r.largeFleet {
		r.pingInterval *= time.Duration(set.Poolers)
		r.firstPollSpread = min(listPollSpacing*time.Duration(set.Poolers), MaxFirstPollDelay)
	}
	for i := len(old); i < len(set.Classes); i++ {
		c, guess := &set.Classes[i], set.Classes[i].LatencyObjective/baselineObjectiveDivisor
		if c.LatencyObjective == 0 { // none: full worth up to the deadline
			c.LatencyObjective, guess = cmp.Or(c.TotalTimeout, time.Hour), baselineWithoutObjective
		}
		from := i - 1
		for from >= 0 && (c.Name == "" || set.Classes[from].Name != c.Name) {
			from--
		}
		mean, b, u := guess, latencyBaseline{value: guess}, majorityTimeout{}
		if from >= 0 {
			mean, b = r.meanLatencies[from], r.baselines[from]
			if set.Classes[from].TotalTimeout == c.TotalTimeout {
				u = r.majorityTimeouts[from]
			}
		}
		r.meanLatencies, r.baselines, r.majorityTimeouts = append(r.meanLatencies, mean), append(r.baselines, b), append(r.majorityTimeouts, u)
		r.warmLoad = append(r.warmLoad, 0)
	}
}

// attemptsExhausted tells whether a request has had all its attempts. What is allowed may become less under way, but not more.
func (r *Router) attemptsExhausted(q *request) bool {
	return len(q.attempts) >= min(q.maxAttempts, r.settings.MaxAttempts)
}

func (r *Router) advanceClock(now time.Duration) {
	if r.now == 0 {
		r.startedAt = now - time.Second // a first answer is not much
	}
	if now > r.now {
		r.now = now
	}
}

func (r *Router) schedule(d time.Duration, do func()) {
	r.timerSequence++
	heap.Push(&r.timers, timer{r.now + d, r.timerSequence, do})
	r.armTimer()
}

// scheduleListPoll asks for the list in a while, unless that is under way already.
func (r *Router) scheduleListPoll(d time.Duration) {
	if r.settings.PollList && !r.listPollScheduled {
		r.listPollScheduled = true
		r.schedule(d, func() {
			r.listPollScheduled = false
			r.actions.WatchList()
		})
	}
}

// schedulePing has a group's primary pinged in a while, in place of the ping that is due.
func (r *Router) schedulePing(g *group, d time.Duration) {
	due := r.now + d
	g.pingScheduled, g.pingDueAt = true, due
	r.schedule(d, func() {
		if g.pingDueAt == due {
			r.pingPrimary(g)
		}
	})
}

// scheduleRound has a round repeated in a while, unless one is due sooner.
func (r *Router) scheduleRound(g *group, d time.Duration) {
	due := r.now + d
	if g.nextRoundAt > r.now && g.nextRoundAt <= due {
		return
	}
	g.nextRoundAt = due
	r.schedule(d, func() {
		if g.nextRoundAt == due {
			r.repeatRound(g)
		}
	})
}

func (r *Router) armTimer() {
	if len(r.timers) > 0 && (r.armedFor == 0 || r.timers[0].dueAt < r.armedFor) {
		r.armedFor = r.timers[0].dueAt
		r.actions.SetTimer(max(r.armedFor-r.now, 0).Truncate(time.Microsecond) + time.Microsecond)
	}
}

// HandleTimer runs what is due.
func (r *Router) HandleTimer(now time.Duration) {
	r.advanceClock(now)
	if r.armedFor <= r.now+time.Microsecond { // a host may round: one that rings a little early still rang
		r.armedFor = 0
	}
	for len(r.timers) > 0 && r.timers[0].dueAt <= r.now {
		heap.Pop(&r.timers).(timer).run()
	}
	r.armTimer()
}

func (r *Router) groupFor(id int) *group {
	g := r.groups[id]
	if g == nil {
		g = &group{id: id, turnCursor: int(r.random() * (1 << 24))}
		r.groups[id] = g
	}
	return g
}

// sortedGroups is all groups, the same way each time.
func (r *Router) sortedGroups() (all []*group) {
	for _, id := range slices.Sorted(maps.Keys(r.groups)) {
		all = append(all, r.groups[id])
	}
	return all
}

func attemptIndex(q *request, a *attempt) int {
	for i, t := range q.attempts {
		if t == a {
			return i
		}
	}
	return -1
}

func (r *Router) forgetFinished(q *request) {
	if q.finished && q.inFlight == 0 {
		delete(r.requests, q.id)
	}
}

func (r *Router) sessionPosition(in Request) time.Duration {
	if r.settings.TrackSessions {
		if at, ok := r.sessionPositions[in.Session]; ok {
			return at
		}
		if at, ok := r.olderSessionPositions[in.Session]; ok {
			return at
		}
		return r.forgottenPositionMax
	}
	if in.SinceLastWrite > 0 {
		return r.now - in.SinceLastWrite
	}
	return 0
}

func (r *Router) rememberSession(session uint64, at time.Duration) {
	if len(r.sessionPositions) >= 1<<16 {
		for _, old := range r.olderSessionPositions { // a maximum: the order does not matter
			r.forgottenPositionMax = max(r.forgottenPositionMax, old)
		}
		r.olderSessionPositions, r.sessionPositions = r.sessionPositions, map[uint64]time.Duration{}
	}
	r.sessionPositions[session] = max(at, r.sessionPositions[session])
}

func (r *Router) advancePosition(s *server, pos time.Duration) {
	if pos > s.position {
		s.position, s.positionProvenAt = pos, r.now
	}
}

// dispatchQueued tries to place the held requests of a group.
func (r *Router) dispatchQueued(g *group) {
	h := g.queue
	if len(h) == 0 {
		return
	}
	g.queue = nil
	kept := h[:0]
	for _, q := range h {
		if q.finished {
			continue
		}
		q.queued = false
		if !r.dispatch(q) && !q.finished {
			q.queued = true
			kept = append(kept, q)
		}
	}
	g.queue = append(kept, g.queue...)
}

// recordAttempt enters an attempt.
func (r *Router) recordAttempt(q *request, s *server) {
	a := &attempt{server: s, sentAt: r.now, request: q}
	q.attempts = append(q.attempts, a)
	q.inFlight++
	s.inFlight = append(s.inFlight, a)
	if r.inSlowStart(s) {
		s.workBudget -= float64(r.meanLatencies[q.classIndex])
	}
}

// finishAttempt finds the attempt that an outcome ends, takes it off the books and enters what it tells of its request, its store and
// its session; nil if there is none.
func (r *Router) finishAttempt(o Outcome) *attempt {
	q := r.requests[o.RequestID]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || q.attempts[o.Attempt].finished {
		return nil
	}
	a := q.attempts[o.Attempt]
	a.finished = true
	a.server.lastAttemptEndedAt = r.now
	if o.Result == OK && !r.inSlowStart(a.server) {
		r.observeWarmWork(q.classIndex)
	}
	q.inFlight--
	for i, x := range a.server.inFlight {
		if x == a {
			a.server.inFlight = append(a.server.inFlight[:i], a.server.inFlight[i+1:]...)
			break
		}
	}
	if !o.Result.NotExecuted() && q.possiblyExecuted == nil {
		q.possiblyExecuted = a
	}
	q.reachedServer = q.reachedServer || o.Result != ConnectFailed && o.Result != NotSent
	if o.Result == OK || o.Result == Misdirected || o.Result == ServerError {
		a.server.latestAnsweredSendAt = max(a.server.latestAnsweredSendAt, a.sentAt)
	}
	if o.Result == Misdirected && q.classSettings.Access != Write {
		a.server.lagRejectedAt = r.now
	}
	r.positionsOmitted = r.positionsOmitted || o.Result == OK && q.classSettings.Access < ReadLatest && !o.HasPosition
	switch wrote := q.classSettings.Access == Write && o.Result == OK; {
	case !o.HasPosition:
	case !wrote:
		r.advancePosition(a.server, o.Position)
	case r.settings.TrackSessions && q.sessionID != 0:
		r.rememberSession(q.sessionID, o.Position)
	}
	return a
}

func (r *Router) dequeue(q *request) {
	for i, x := range q.group.queue {
		if x == q {
			q.group.queue = append(q.group.queue[:i], q.group.queue[i+1:]...)
			q.queued = false
			return
		}
	}
}

// serverFor is the store that a list names, with the latest start that was told; nil: it has left before it was known. join and
// part put it into its group and take it out again.
func (r *Router) serverFor(m Member) *server {
	s := r.servers[m.ID]
	if s == nil && m.State == Removed {
		return nil
	}
	if s == nil {
		s = &server{Member: m, latencyRatio: 1, window: max(initialFleetWindow/float64(r.settings.Poolers), r.minWindow)}
		r.servers[m.ID] = s
		r.serverOrder = append(r.serverOrder, s)
		r.addMember(s)
	}
	s.slowStartSince = max(s.slowStartSince, m.StartedAt)
	return s
}

func (r *Router) addMember(s *server) {
	if !s.listed {
		s.listed = true
		g := r.groupFor(s.Group)
		g.members = append(g.members, s)
	}
}

func (r *Router) removeMember(s *server) {
	s.listed = false
	g := r.groupFor(s.Group)
	for i, x := range g.members {
		if x == s {
			g.members = append(g.members[:i:i], g.members[i+1:]...)
			return
		}
	}
}

// rankedReplicas are the members that are listed as ready and not the recorded primary, in the order in which this front prefers
// them: its home first, which the fleet has been dealt evenly, then the others as they are dealt to it.
func (r *Router) rankedReplicas(g *group) []*server {
	ready := r.readyReplicas[:0]
	for _, s := range g.members {
		if s != g.primary && s.State == Ready {
			ready = append(ready, s)
		}
	}
	if r.readyReplicas = ready; slices.Equal(ready, g.rankedFrom) {
		return g.ranked
	}
	ids := make([]uint32, len(ready))
	for i, s := range ready {
		ids[i] = s.ID
	}
	g.rankedFrom, g.ranked = slices.Clone(ready), nil
	for _, i := range rendezvous.Order(r.settings.PoolerIndex, r.settings.Poolers, ids) {
		g.ranked = append(g.ranked, ready[i])
	}
	return g.ranked
}

// leaderRoundsTrust is how long a front that repeats rounds for all is believed to go on with a group after it was heard of: three
// of its rounds, of which two may be lost on the way.
const leaderRoundsTrust = 3 * roundInterval

// ObservePrimary takes in what the front that repeats rounds for all found of a group: its primary, as of a time, or none yet. It is
// evidence like an answer's, and newer evidence of this front's own outweighs it.
func (r *Router) ObservePrimary(now time.Duration, group int, id uint32, found bool, asOf time.Duration) {
	r.advanceClock(now)
	if s := r.servers[id]; found && s != nil && s.Group == group {
		r.observePrimaryClaim(s, asOf)
	} else if g := r.groups[group]; g != nil && !found {
		g.leaderRoundsUntil = r.now + leaderRoundsTrust
	}
}

// ReportPrimaryDown takes in that another front has lost a group's primary. The front that repeats rounds for all looks for itself at
// once, and no sooner again than a round is repeated: its own pings notice a loss seconds later, as the fleet shares them.
func (r *Router) ReportPrimaryDown(now time.Duration, group int) {
	r.advanceClock(now)
	if g := r.groups[group]; g != nil && r.roundLeader && r.now >= g.roundStartedAt+roundInterval {
		r.startRound(g)
	}
}

// SetSendDuration takes in the longest time that a send has lately taken, from its choice to its last byte.
func (r *Router) SetSendDuration(d time.Duration) { r.sendDuration = d }

// SetRoundLeader has this front repeat rounds for all fronts, also of groups that it holds no work for, or leaves that to others.
func (r *Router) SetRoundLeader(on bool) { r.roundLeader = on }

// requiredPosition is the position that a read must see.
func (r *Router) requiredPosition(q *request) time.Duration {
	if c := q.classSettings; c.Access == ReadBounded {
		return r.now - c.MaxStaleness
	}
	return q.requiredPosition
}

// lagShortfall is how much a replica lacks for a read if it has kept the lag it last showed.
func (r *Router) lagShortfall(q *request, s *server) time.Duration {
	return r.requiredPosition(q) + positionTolerance - s.position - (r.now - s.positionProvenAt)
}

// mostLaggedReplica is the replica furthest behind, as far as this front knows.
func (g *group) mostLaggedReplica() (last *server) {
	for _, s := range g.members {
		if s != g.primary && s.State == Ready && !s.ejected && (last == nil || s.position < last.position) {
			last = s
		}
	}
	return last
}

// updateWeightsDiffer finds out whether the members of a group differ in weight: where they do not, the least busy one is next.
func (g *group) updateWeightsDiffer() {
	g.weightsDiffer = slices.ContainsFunc(g.members, func(s *server) bool { return max(s.ReadWeight, 1) != max(g.members[0].ReadWeight, 1) })
}

// forgetRemovedServer forgets a store that has left for good, once nothing of it is under way: in a long life every store is replaced.
func (r *Router) forgetRemovedServer(s *server) {
	switch {
	case s.State != Removed || r.servers[s.ID] != s:
	case s.listed || s.inRound || len(s.inFlight) > 0:
		r.schedule(removedServerRetention, func() { r.forgetRemovedServer(s) })
	default:
		delete(r.servers, s.ID)
		r.serverOrder = slices.DeleteFunc(r.serverOrder, func(x *server) bool { return x == s })
	}
}

// recordRoundAnswer takes a member's answer into the running round and tells whether it was the last one.
func (g *group) recordRoundAnswer(s *server, reached bool) bool {
	if !s.inRound {
		return false
	}
	s.inRound = false
	g.roundPending--
	g.roundAnswered = g.roundAnswered || reached
	return g.roundPending == 0
}

// insertBefore puts a request before the first one that is behind it.
func insertBefore(held []*request, q *request, behind func(*request) bool) []*request {
	i := slices.IndexFunc(held, behind)
	if i < 0 {
		i = len(held)
	}
	return slices.Insert(held, i, q)
}

// decayedLatencyRatio is how many undisturbed answer times a store takes, by its latest answers; what they said fades.
func (r *Router) decayedLatencyRatio(s *server) float64 {
	if s.latencyRatio <= 1 {
		return 1
	}
	return 1 + (s.latencyRatio-1)*math.Exp2(-float64(r.now-s.latencyRatioAt)/float64(latencyRatioHalfLife))
}

// observeWarmWork counts a request that a warm store has served. What is not answered does not count: the sum over all fronts is no more
// than what a store bears, however much is sent.
func (r *Router) observeWarmWork(class int) {
	warm := 0
	for _, s := range r.serverOrder {
		if s.State != Removed && !r.inSlowStart(s) {
			warm++
		}
	}
	for i := range r.warmLoad {
		r.warmLoad[i] *= loadDecay(r.now - r.warmLoadAt)
	}
	r.warmLoad[class] += 1 / float64(max(warm, 1))
	r.warmLoadAt = r.now
}

func loadDecay(d time.Duration) float64 { return math.Exp(-float64(d) / float64(loadAveragingTime)) }

// jitter is a wait that the fronts of a large fleet do not all end together: half to all of it.
func (r *Router) jitter(d time.Duration) time.Duration {
	if r.largeFleet {
		d -= time.Duration(r.random() * float64(d/2))
	}
	return d
}

// stagger is the part of a wait that falls to this front: whichever start together, they are spread over all of it.
func (r *Router) stagger(d time.Duration) time.Duration {
	return time.Duration(math.Mod(float64(r.settings.PoolerIndex)*(math.Phi-1), 1) * float64(d))
}

// random is the next number of the instance's seed, from 0 to 1.
func (r *Router) random() float64 {
	r.randomState = r.randomState*6364136223846793005 + 1442695040888963407
	return float64(r.randomState>>40) / (1 << 24)
}

// Avoids tells whether requests now go past a store: it drains, is out of reach or has lost its turn.
func (r *Router) Avoids(id uint32) bool {
	s := r.servers[id]
	return s == nil || s.State != Ready || s.ejected || s.unreachable
}
