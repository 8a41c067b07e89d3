package rules // the interface (settings, events, actions) is in api.go

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

const (
	ms = time.Millisecond

	// The record and its rounds, as the design has them.
	pingEvery   = 100 * ms    // steady ping of the recorded primary
	smallFleet  = 5           // fronts whose pings at 100 ms each take a primary 1% of its time at most
	heardFresh  = time.Second // an answer on the request path outweighs failed probes this long
	resumeAfter = 10 * ms     // from finding a primary to its first ping
	roundSeen   = 500 * ms    // to the next round when some member answered
	roundDark   = time.Second // to the next round when none did
	roundGap    = 50 * ms     // no two rounds of a group start closer than this: a storm of misses is one cause

	// Waits without a primary.
	outage   = 4 * time.Second // from a primary's death until another takes writes, more or less
	handOver = 700 * ms        // and from a drained one's last write
	lastHope = 0.3             // a wait that meets a primary less often is not worth a late refusal

	// Freshness.
	posSlack    = 2 * ms           // positions and ages are rounded on their way here
	refreshGap  = 60 * ms          // replicas are asked for positions this often while a read is held
	staleLag    = 500 * ms         // a replica this far behind is of no use to most reads
	lagMemory   = 30 * time.Second // after that, reads for any member are kept to one replica
	spareFresh  = 2.0              // cost of a replica that is not for this kind of read
	positionOld = 2 * time.Second  // a position older than this is asked for before a replica is left out again
	holdShare   = 0.25             // of the aim: how long a read waits before the primary may take it
	endMargin   = 5 * ms           // a held request is refused this long before its client leaves
	graceMargin = 60 * ms          // of the drain grace, left unused: the answer tick and the way to the store

	// Health.
	silentAfter   = 10.0     // mean answer times waited without a word: rarely by chance, heavy tails included
	leastSilence  = 150 * ms // shorter pauses are no silence
	windowFirst   = 8.0      // attempts that a store may hold of all fronts together until its answers tell more
	windowLeast   = 6.0      // and of these at least; under one is a rest between a front's reads in a jam
	jamRatio      = 1.3      // undisturbed answer times at which a queue costs more than it hides
	jamCut        = 0.85     // window kept at such an answer, at most once per cutGap
	cutGap        = 100 * ms
	fullPause     = 50 * ms // after being sent away unseen; doubles up to fullMost
	fullMost      = 800 * ms
	patienceSame  = 50       // patiences within this part of the deadline count as the same
	patienceVotes = 50       // for the usual patience: so many others must come before it is given up
	baseGuess     = 4        // part of the aim that a class's undisturbed time is taken for at first
	baseBlind     = 100 * ms // and where it has no aim
	baseCount     = 30       // answers whose mean is one measure of a class's undisturbed time
	baseForgets   = 0.005    // a second: growth of the undisturbed time, so that no lucky measure lasts
	failLimit     = 0.5      // share of recent attempts failing at which a store loses its turn
	failStep      = 0.3      // weight of one outcome in that share
	failsStep     = 0.1      // and in the share that fails everywhere
	trialFirst    = 300 * ms // from losing its turn to the first trial
	trialMost     = 3 * time.Second
	slowStep      = 0.15             // weight of one answer in a store's slowness
	slowAllStep   = 0.1              // and in that of all stores together
	slowForgets   = 8 * time.Second  // slowness halves its excess in this time, so that a store is tried again
	meanStep      = 0.03             // weight of one answer in a class's mean answer time
	awayCost      = 0.5              // of one request, for each replica that a front of a large fleet prefers
	farCost       = 0.3              // of one request: crossing zones costs a little time and money
	scarceFor     = 10 * time.Second // after a refused connection: none is kept idle
	retryShare    = 0.2              // further tries of safe requests, as a share of requests
	retryBurst    = 20.0

	// Cold start.
	coldUse    = 0.9              // of this front's share: the rest is for probes and handshakes
	outOfReach = time.Second      // no process is back sooner
	loadMemory = 10 * time.Second // over which the work sent to warm stores is averaged
	coldCores  = 2.0              // no database host is smaller than this

	// List.
	askAgainFirst = 500 * ms
	askAgainMost  = 4 * time.Second
	listGap       = 80 * ms     // between two fronts' calls: a list service bore some ten a second from 80
	goneFor       = time.Minute // after which a store that has left the list is forgotten
)

// ---- The record and its ping ----

// ping is every 100 ms. All fronts of a large fleet together ping as often as one alone would, and only
// groups in use, where no answer has said the same since.
func (r *Router) ping(g *group) {
	if g.pinging = g.primary != nil && r.set.MayProbe && (!r.large || r.now < g.usedAt+r.pingGap); g.pinging {
		if !r.large || r.now >= g.primary.claimAt+r.pingGap {
			r.probe(g.primary, "ping")
		}
		r.after(r.pingGap, func() { r.ping(g) })
	}
}

// claim and deny weigh role evidence by its as-of time: the latest wins, whatever was under way meanwhile.
func (r *Router) claim(s *store, asOf time.Duration) {
	s.claimAt = max(s.claimAt, asOf)
	if asOf < s.roleAt && s.role != RolePrimary {
		return
	}
	s.role, s.roleAt = RolePrimary, max(s.roleAt, asOf)
	g := r.group(s.Group)
	if !s.listed || s.silent || g.primary == s || g.primary != nil && g.primary.claimAt >= asOf {
		return
	}
	g.primary, g.dark, g.left, g.leftUntil = s, false, false, 0
	r.act.Primary(News{Kind: PrimaryFound, Group: g.id, Store: s.Store, AsOf: asOf})
	if !g.pinging {
		g.pinging = true
		r.after(resumeAfter, func() { r.ping(g) })
	}
	r.pump(g)
}

func (r *Router) deny(s *store, asOf time.Duration) {
	if asOf < s.roleAt || asOf < s.claimAt {
		return
	}
	s.role, s.roleAt = RoleReplica, asOf
	if r.lose(s, "says it is a replica") {
		r.group(s.Group).expect = handOver
	}
}

// lose drops a store from the record, if it stands there, and starts a round.
func (r *Router) lose(s *store, why string) bool {
	g := r.group(s.Group)
	if g.primary != s {
		return false
	}
	g.primary, g.lostAt, g.expect = nil, r.now, outage
	r.act.Primary(News{Kind: PrimaryLost, Group: g.id, Store: s.Store, Why: why})
	r.round(g)
	return true
}

func (r *Router) learn(s *store, rep Report) {
	asOf := r.now - pingEvery // where its age is untold
	if rep.HasPosition {
		r.proved(s, rep.Position)
		if !rep.RoleNow {
			asOf = rep.Position // exact as of the report
		}
	}
	if s.role == RoleReplica && s.posAt == r.now && r.now-s.pos >= staleLag {
		r.lagAt = r.now
	}
	if rep.Busy > 0 {
		s.busy, s.busyAt = rep.Busy, r.now
	}
	if rep.HasRole && rep.Primary {
		r.claim(s, asOf)
	} else if rep.HasRole {
		r.deny(s, asOf)
	}
}

// ---- Rounds ----

// round probes all members of a group in parallel; the one that reports itself primary becomes the record.
func (r *Router) round(g *group) {
	switch {
	case g.roundOut > 0 || !r.set.MayProbe:
		return
	case r.now < g.leftUntil && !r.forAll: // another front is at it for all
		r.roundIn(g, roundSeen)
		return
	case g.roundAt > 0 && r.now < g.roundAt+roundGap:
		r.roundIn(g, g.roundAt+roundGap-r.now)
		return
	}
	g.roundAt, g.roundSeen = r.now, false
	for _, s := range g.members {
		if s.listed && !s.inRound {
			s.inRound = true
			g.roundOut++
			r.probe(s, "round")
		}
	}
	if g.roundOut == 0 {
		r.roundIn(g, roundDark)
	}
}

func (r *Router) roundIn(g *group, d time.Duration) {
	due := r.now + d
	if g.roundDue > r.now && g.roundDue <= due {
		return
	}
	g.roundDue = due
	r.after(d, func() {
		if g.roundDue == due && g.primary == nil && (!r.large || len(g.held) > 0 || r.forAll) {
			r.round(g) // in a large fleet only fronts that hold work for the group repeat it, or one for all
		}
	})
}

// ProbeResult takes in what a probe found.
func (r *Router) ProbeResult(now time.Duration, p ProbeResult) {
	r.tick(now)
	s := r.stores[p.Store]
	if s == nil {
		return
	}
	g := r.group(s.Group)
	reached := p.Result == OK || p.Result == Full || p.Result == Errored
	if p.Result == OK {
		r.reached(s)
		r.learn(s, p.Report)
	} else if p.Result == NoConnect || !reached && r.now >= s.heard+heardFresh {
		// An error, or silence where requests have just been answered, says nothing: probes fail by themselves.
		s.unreach = true
		r.lose(s, "does not answer its ping")
	}
	if g.roundEnds(s, reached) && g.primary == nil {
		r.act.Primary(News{Kind: PrimaryUnknown, Group: g.id, Again: g.dark})
		g.dark = true
		r.roundIn(g, map[bool]time.Duration{true: roundSeen, false: roundDark}[g.roundSeen])
	}
	r.pump(g)
}

// ---- Requests ----

// Request takes in a client's request.
func (r *Router) Request(now time.Duration, in Request) {
	r.tick(now)
	if in.Class < 0 || in.Class >= len(r.set.Classes) {
		r.act.Fail(in.ID)
		return
	}
	g := r.group(in.Group)
	if g.usedAt = r.now; !g.pinging {
		r.ping(g)
	}
	q := &request{id: in.ID, class: in.Class, c: &r.set.Classes[in.Class], session: in.Session, g: g,
		most: r.set.MaxAttempts, arrived: r.now, deadline: r.now + in.Patience}
	r.reqs[q.id] = q
	if q.c.Need == NeedSession {
		q.needPos = r.token(in)
	}
	r.aim(q, in.Patience)
	r.retry = min(r.retry+retryShare, retryBurst)
	if !g.needed && (!r.large || q.c.Need == NeedFresh || q.c.Need == NeedWrite) {
		if g.needed = true; !r.large || g.primary == nil { // the list may have named one
			r.round(g)
		}
	}
	r.after(max(in.Patience-endMargin-r.set.Tick, 0), func() {
		if q.live == 0 { // else the last attempt's time-out is still to come, and ends it in time
			r.end(q)
		}
	})
	if r.now >= q.useful && q.c.LateWorth == 0 {
		r.end(q)
	} else if !r.place(q) {
		r.hold(q)
	}
}

// aim sets when the answer must come to earn its full worth. A try whose patience is not the usual one of its
// class is a later one: its time has run since the first.
func (r *Router) aim(q *request, patience time.Duration) {
	c, u := q.c, &r.usual[q.class]
	q.aimAt = q.arrived + min(c.Aim, patience)
	switch {
	case patience < c.Aim: // in a hurry, and judged by what it has
	case (patience - u.patience).Abs() <= c.Deadline/patienceSame:
		u.votes = min(u.votes+1, patienceVotes)
	case u.votes == 0:
		u.patience, u.votes = patience, 1
	default:
		u.votes--
		q.aimAt -= max(c.Deadline-patience, 0)
	}
	q.useful = q.aimAt - min(2*r.base[q.class].time, c.Aim/2, patience/2)
}

// hold queues a request here, where it can still be refused, most worth for the work first.
func (r *Router) hold(q *request) {
	q.held = true
	q.g.held = insert(q.g.held, q, func(x *request) bool { return r.density(x) <= r.density(q) })
	if q.useful > r.now {
		r.after(q.useful-r.now, func() { r.passed(q) })
	}
	if half := (q.arrived+q.deadline)/2 - endMargin - r.set.Tick; half > r.now {
		r.after(half-r.now, func() {
			if q.held && !q.ended && !q.reached && r.hopeless(q) {
				r.end(q)
			}
		})
	}
	r.watchHeld(q.g)
}

// hopeless tells whether a wait for a primary will hardly end in time; it is given up at half the patience.
func (r *Router) hopeless(q *request) bool {
	g := q.g
	if g.primary != nil || !g.dark {
		return false
	}
	rest := max(g.expect-(r.now-g.lostAt), g.expect/2)
	return float64(q.deadline-r.now) < lastHope*float64(rest)
}

// density is what the answer is still worth for the work; past the aim only the late share is left.
func (r *Router) density(q *request) float64 {
	c := q.c
	w := c.Worth / float64(r.base[q.class].time)
	if r.now >= q.useful {
		w *= c.LateWorth
	}
	return w
}

// passed ends a held request that is past all worth, and puts one past its aim behind the others.
func (r *Router) passed(q *request) {
	switch {
	case q.ended || !q.held:
	case q.c.LateWorth == 0:
		r.end(q)
	default:
		r.unhold(q)
		r.hold(q)
	}
}

// watchHeld looks after held requests: replicas are asked for their positions while a read waits for one.
func (r *Router) watchHeld(g *group) {
	if g.watching {
		return
	}
	soon, stale := false, false
	for _, q := range g.held {
		soon, stale = soon || q.soon, stale || q.stale
	}
	if r.set.MayProbe && !r.large && (soon || stale && r.now >= g.refreshAt) {
		g.refreshAt = r.now + roundSeen // replicas far behind are asked as seldom as rounds are held
		for _, s := range g.members {
			if s != g.primary && s.listed && !s.lost && s.State == Ready && !s.inRound {
				r.probe(s, "refresh")
			}
		}
	}
	g.watching = true
	r.after(refreshGap, func() {
		g.watching = false
		if r.pump(g); len(g.held) > 0 {
			r.watchHeld(g)
		}
	})
}

// place sends a request if there is a store for it now.
func (r *Router) place(q *request) bool {
	if q.live > 0 && (!r.set.SecondCopies || q.c.Effect != Safe) || r.spent(q) {
		return false
	}
	var s *store
	if q.c.Need == NeedWrite || q.c.Need == NeedFresh {
		s = r.primaryFor(q)
	} else {
		s = r.replicaFor(q)
	}
	if s != nil {
		r.send(q, s)
	}
	return s != nil
}

func (r *Router) send(q *request, s *store) {
	a := &attempt{s: s, sent: r.now, req: q}
	q.tries = append(q.tries, a)
	q.live++
	s.out = append(s.out, a)
	if s.lost {
		s.trialAt, s.trialWait = r.now+s.trialWait, min(2*s.trialWait, trialMost)
	}
	r.spend(s, q.class)
	timeout := time.Duration(0)
	if c := q.c; c.LateWorth == 0 && c.Effect == Safe {
		timeout = max(q.aimAt-r.now, ms) // nothing is spent on an answer past all worth
	}
	r.act.Attempt(q.id, s.Store, timeout)
	if !s.checking {
		r.check(s)
	}
}

// ---- Writes and fresh reads ----

func (r *Router) primaryFor(q *request) *store {
	s := q.g.primary
	if s == nil && (!r.set.MayProbe || !r.set.RoleReported || q.g.dark && !q.g.left) {
		s = r.guess(q)
	}
	if s == nil || !r.mayTry(q, s) || s.stopAt > 0 && r.now >= s.stopAt || !r.room(s, q.class) {
		return nil
	}
	return s
}

// guess serves where probes cannot tell the role, or fail while requests are served: a try is harmless, since
// a member that is not the primary turns a write away untouched. First the last primary, then the listed one.
func (r *Router) guess(q *request) *store {
	g := q.g
	var best *store
	bestRank := -1
	for i := range g.members {
		s := g.members[(g.cursor+i)%len(g.members)]
		rank := 0
		if s.role == RolePrimary {
			rank = 2
		} else if s.Primary {
			rank = 1
		}
		blind := q.c.Need == NeedFresh && r.set.Behind == BehindAnswers && rank == 0 // would answer from old data
		denied := s.role == RoleReplica && r.now < s.roleAt+roundSeen
		if !s.lost && !blind && !denied && rank > bestRank && r.usable(q, s) {
			best, bestRank = s, rank
		}
	}
	return best
}

// mayTry keeps repeats within what the class allows: an unsafe request that may have run is never sent again,
// a keyed one only to the stores that drop its repeats and while they remember it.
func (r *Router) mayTry(q *request, s *store) bool {
	c := q.c
	switch {
	case !s.listed:
		return false
	case q.risk == nil && q.live == 0 || c.Effect == Safe:
		return true
	case c.Effect == Unsafe || q.risk == nil || r.now >= q.risk.sent+c.Window-graceMargin:
		return false
	}
	return c.Scope == ScopeAll || c.Scope == ScopeZone && s.Zone == q.risk.s.Zone ||
		c.Scope == ScopeGroup && s.Group == q.risk.s.Group
}

// StillFits tells whether an attempt that had to wait for its connection may be written now: a drain's
// grace may have passed meanwhile, or the store's proven position have become too old for the read.
func (r *Router) StillFits(now time.Duration, id uint32, attempt int) bool {
	r.tick(now)
	q := r.reqs[id]
	if q == nil || attempt < 0 || attempt >= len(q.tries) {
		return false
	}
	s := q.tries[attempt].s
	if s.stopAt > 0 && r.now >= s.stopAt {
		return false
	}
	return s == q.g.primary || q.c.Need == NeedWrite || q.c.Need == NeedFresh || r.fresh(q, s)
}

// ---- Other reads ----

// replicaFor gives a read to the replica whose turn it is: of those fresh enough and healthy the one
// that holds least for its speed, ties by turn. A front of a large fleet, which sees few requests, keeps to
// one replica of a group while that is not busy: it has fewer connections, and knows that one better.
func (r *Router) replicaFor(q *request) *store {
	g := q.g
	var best, trial, ask *store
	q.stale = false
	soon, holdFor := false, time.Duration(holdShare*float64(q.c.Aim)) // soon: a replica is about to qualify
	cost, turns := math.Inf(1), 0.0
	spare, members, at, away := r.spare(g), g.members, g.cursor, 0.0
	if r.large {
		members, at, away = r.replicas(g), 0, awayCost
	}
	for i := range members {
		s := members[(at+i)%len(members)]
		if s == g.primary || s.Weight == NoReads || !r.usable(q, s) {
			continue
		}
		if !r.fresh(q, s) {
			q.stale = true
			soon = soon || !s.lost && r.behind(q, s) <= holdFor
			wait := refreshGap
			if r.behind(q, s) > 0 || s.askedAt > s.posAt { // was too far behind, or has not answered yet
				wait = roundSeen
			}
			if r.large && r.set.MayProbe && !s.lost && ask == nil && r.now >= s.askedAt+wait {
				ask = s
			}
			continue
		}
		if s.lost {
			if due := q.tries == nil && r.now >= s.trialAt; due && s.unreach && r.set.MayProbe {
				s.trialAt = r.now + trialMost // it must answer a probe before a request is tried there
				r.probe(s, "trial")
			} else if due && trial == nil {
				trial = s
			}
			continue
		}
		share := 1.0
		if spare != nil && (s == spare) != (q.c.Need == NeedAny) {
			share /= spareFresh
		}
		c := r.cost(s) / share
		if s.coldSince == 0 { // what cold ones may be sent is to come from all fronts
			c += away * float64(i)
		}
		if g.weighed { // smooth turns; a store that is cold or jammed has fewer
			w := float64(max(s.Weight, 1)) * share * r.warmth(s) / max(r.slowness(s)/jamRatio, 1)
			s.credit, turns = s.credit+w, turns+w
			c = -s.credit
		}
		if c < cost {
			best, cost = s, c
		}
	}
	if best != nil {
		best.credit -= turns
	} else if ask != nil { // one is enough: asked of all by each front, it is more than the reads themselves
		ask.askedAt = r.now
		r.probe(ask, "position")
	}
	if best = cmp.Or(trial, best); best == nil && (!soon && g.primary != nil || r.now-q.arrived >= holdFor) {
		best = r.fallback(q)
	}
	q.soon = soon
	if best != nil {
		g.cursor++
	}
	return best
}

// spare is the replica that takes the reads any member may answer, the same at all fronts of a small fleet,
// while replicas fall behind: no front knows where the long reads of others keep one from applying.
func (r *Router) spare(g *group) (first *store) {
	if r.lagAt == 0 || r.now > r.lagAt+lagMemory || r.large {
		return nil
	}
	for _, s := range g.members {
		if s != g.primary && s.State == Ready && (first == nil || s.Store < first.Store) {
			first = s
		}
	}
	return first
}

// usable tells whether a store may take the read but for its freshness.
func (r *Router) usable(q *request, s *store) bool {
	n := len(q.tries)
	again := n > 0 && q.tries[n-1].s == s && (!q.tries[n-1].done || r.now < q.tries[n-1].sent+refreshGap)
	return s.State == Ready && !again && r.mayTry(q, s) && r.room(s, q.class)
}

// fallback is the bounded way out when no replica has qualified for a share of the aim, or none soon
// will: the primary, else a fresh enough replica that has lost its turn.
func (r *Router) fallback(q *request) *store {
	if p := q.g.primary; p != nil && r.usable(q, p) && (!r.large || r.slowness(p) <= jamRatio) {
		return p
	}
	var best *store
	for _, s := range q.g.members {
		if s.lost && !s.unreach && r.usable(q, s) && r.fresh(q, s) && (best == nil || len(s.out) < len(best.out)) {
			best = s
		}
	}
	return best
}

// fresh tells whether a store's proven position satisfies the read. Where stores check by themselves
// a miss is cheap, so a replica is also tried when it would do if it kept the lag it last showed.
func (r *Router) fresh(q *request, s *store) bool {
	need := r.needs(q)
	if need <= 0 || s.pos >= need+posSlack {
		return true
	}
	return r.set.Behind != BehindAnswers && (s.posAt == 0 && s.coldSince == 0 || r.behind(q, s) <= 0)
}

func (r *Router) needs(q *request) time.Duration {
	if c := q.c; c.Need == NeedBounded {
		return r.now - c.Bound
	}
	return q.needPos
}

// behind is how much a replica lacks for a read if it has kept the lag it last showed.
func (r *Router) behind(q *request, s *store) time.Duration {
	return r.needs(q) + posSlack - s.pos - (r.now - s.posAt)
}

func (r *Router) cost(s *store) float64 {
	c := (float64(len(s.out)) + 1) * r.slowness(s)
	if s.busyAt > 0 && r.now-s.busyAt < time.Second {
		c *= 1 + s.busy
	}
	if r.large { // where a cold store's share for each front is so small that it bears them all
		return c
	}
	if c /= r.warmth(s); s.Zone != r.set.Zone {
		c += farCost
	}
	return c
}

func (r *Router) slowness(s *store) float64 {
	if s.slow <= 1 {
		return 1
	}
	return 1 + (s.slow-1)*math.Exp2(-float64(r.now-s.slowAt)/float64(slowForgets))
}

// ---- Health ----

// room tells whether a store may hold one more attempt of this front. Work beyond the window waits here
// and not in the store's queue, whatever made the store slow: overload, a neighbour, a cold start, a jam.
func (r *Router) room(s *store, class int) bool {
	rest := time.Duration(0)
	if s.window < 1 && max(r.slowness(s), r.slow) > jamRatio && r.set.Classes[class].Need != NeedWrite {
		rest = time.Duration((1/s.window - 1) * float64(s.took))
	}
	held := s.out
	for s.lost && len(held) > 0 && held[0].sent < s.lostAt {
		held = held[1:] // what hangs there since before must not keep it from its trial
	}
	return float64(len(held)) < max(s.window, 1) && r.now >= s.pausedTo && r.now >= s.ended+rest &&
		r.coldRoom(s, class)
}

// gauge moves a window: up when it was used up and answers come in good time, down when they show a queue.
func (r *Router) gauge(s *store) {
	switch {
	case s.slow > jamRatio:
		if r.now >= s.cutAt+cutGap {
			s.window, s.cutAt = max(s.window*jamCut, r.least), r.now
		}
	case s.window < 1 && r.slow > jamRatio: // only then has it been in force
		s.window = min(s.window/jamCut, 1)
	case s.window >= 1 && float64(len(s.out)+1) >= s.window:
		s.window += min(1/s.window, s.window)
	}
}

// check looks for silence: the time that the store's attempts have waited since it last answered any, in mean
// answer times, summed: hangs, stalls, slow hosts and cut links, where a shallow probe may still succeed.
func (r *Router) check(s *store) {
	s.checking = false
	if len(s.out) == 0 {
		return
	}
	waited, rate, oldest := 0.0, 0.0, time.Duration(0)
	for _, a := range s.out {
		if a.sent < s.answered {
			continue // a later one has been answered: this one may be lost, but the store is not silent
		}
		m := float64(r.mean[a.req.class]) / r.warmth(s)
		waited += float64(r.now-max(a.sent, s.heard)) / m
		rate += 1 / m
		oldest = max(oldest, r.now-max(a.sent, s.heard))
	}
	if rate == 0 {
		return
	}
	if waited >= silentAfter && oldest >= leastSilence {
		s.silent = true // no claim counts until it answers a request: a shallow probe may succeed on a hung one
		r.lostTurn(s, "is silent")
		r.lose(s, "is silent")
		r.rescue(s)
		waited = 0
	}
	wait := max(time.Duration((silentAfter-waited)/rate), leastSilence-oldest, 20*ms)
	s.checking = true
	r.after(wait, func() { r.check(s) })
}

func (r *Router) lostTurn(s *store, why string) {
	if s.lost {
		return
	}
	s.lost, s.lostAt, s.trialWait, s.trialAt = true, r.now, trialFirst, r.now+trialFirst
	r.act.Log(fmt.Sprintf("group %d: store %d %s and loses its turn", s.Group, s.Store, why))
}

// rescue takes the safe requests of a silent store elsewhere.
func (r *Router) rescue(s *store) {
	for _, a := range append([]*attempt(nil), s.out...) {
		q := a.req
		if q.ended || q.c.Effect != Safe || q.live > 1 || r.retry < 1 {
			continue
		}
		if r.set.SecondCopies && r.place(q) {
			r.retry--
		} else if !r.set.SecondCopies && r.set.MayCancel {
			r.act.Cancel(q.id, indexOf(q, a))
		}
	}
}

// reached notes an answer: after a while out of reach, longer than a break, a store may have restarted cold.
func (r *Router) reached(s *store) {
	if s.unreach && r.now >= s.reachedAt+outOfReach {
		r.chill(s, r.now)
	}
	s.unreach, s.reachedAt = false, r.now
}

// ---- Cold start ----

func (r *Router) chill(s *store, since time.Duration) {
	if r.set.ColdFor <= 0 || r.set.ColdMultiple <= 0 || since+r.set.ColdFor <= r.now || since <= s.coldSince {
		return
	}
	s.coldSince, s.budgetAt, s.budget, s.phase = since, r.now, 0, r.random()
}

func (r *Router) warmth(s *store) float64 {
	if s.coldSince == 0 || r.set.ColdFor <= 0 || r.now >= s.coldSince+r.set.ColdFor {
		s.coldSince = 0
		return 1
	}
	f := max(r.set.ColdFrom, 0.05)
	return f + (1-f)*float64(r.now-s.coldSince)/float64(r.set.ColdFor)
}

// coldRoom keeps a front inside its share of what a cold store may be sent.
func (r *Router) coldRoom(s *store, class int) bool {
	w := r.warmth(s)
	if s.coldSince == 0 {
		return true
	}
	rate := coldUse * r.set.ColdMultiple * w * max(coldCores/float64(r.set.Balancers), r.load)
	work := float64(r.mean[class])
	s.budget = min(s.budget+rate*float64(r.now-s.budgetAt), rate*float64(r.set.ColdSpan)/2+work)
	s.budgetAt = r.now
	return s.budget >= work*s.phase // no two fronts save up for the same moment
}

func (r *Router) spend(s *store, class int) {
	if work := float64(r.mean[class]); s.coldSince > 0 {
		s.budget -= work
	} else {
		r.worked(work)
	}
}

// ---- The list ----

// List takes in what discovery says.
func (r *Router) List(now time.Duration, kind ListKind, entries []Member) {
	r.tick(now)
	if kind == ListFailed { // keep the old list and ask again, ever later, but within the time allowed
		r.askIn(r.spread(max(r.askWait, r.askSpan)))
		r.askWait = min(2*r.askWait, askAgainMost)
		if r.set.MustAsk > 0 {
			r.askWait = min(r.askWait, r.set.MustAsk/2)
		}
		return
	}
	seen := map[uint32]bool{}
	for _, m := range entries {
		seen[m.Store] = true
		r.entry(m)
	}
	if kind != ListDelta {
		for _, s := range r.order {
			if s.listed && !seen[s.Store] && s.State != Gone {
				r.leave(s, Gone)
			}
		}
	}
	if kind == ListCached {
		r.askIn(r.askSpan - r.spread(r.askSpan))
	} else {
		r.askWait = askAgainFirst
	}
}

func (r *Router) askIn(d time.Duration) {
	if r.set.Asks && !r.asking {
		r.asking = true
		r.after(d, func() {
			r.asking = false
			r.act.Watch()
		})
	}
}

func (r *Router) entry(m Member) {
	s := r.stores[m.Store]
	if s == nil && m.State == Gone {
		return
	}
	if s == nil {
		s = r.add(m)
	}
	if m.State != Ready {
		r.leave(s, m.State)
		return
	}
	if m.Started > s.Started && m.Started > s.roleAt && s.role == RolePrimary {
		r.deny(s, m.Started) // a process that starts again comes back as a replica
	}
	r.join(s)
	s.Member, s.stopAt = m, 0
	g := r.group(s.Group)
	g.left = g.left && g.primary != s
	if p := g.primary; r.large && m.Primary && s.role == RoleUnknown && g.lostAt == 0 &&
		(p == nil || p.role == RoleUnknown) {
		// Rounds by all at a start are a storm: the list's word, some seconds old, stands until an answer.
		g.primary, s.claimAt = s, max(s.claimAt, r.now-outage)
		r.act.Primary(News{Kind: PrimaryListed, Group: g.id, Store: s.Store, AsOf: s.claimAt})
	}
	g.weigh()
	if m.Started > 0 {
		r.chill(s, m.Started)
	}
}

// leave stops reads at once; writes may use the grace, less a margin, until the hand-over.
func (r *Router) leave(s *store, st State) {
	s.drained = s.drained || st == Draining
	if st == Gone && r.set.DrainOnly && !s.drained {
		return // the list does not prove what is up
	}
	s.State = st
	if st == Gone {
		g := r.group(s.Group)
		g.left = g.left || g.primary == s // what stays may be about to be promoted, or not: no write tries it out
		r.after(goneFor, func() { r.retire(s) })
	}
	if s.stopAt > 0 {
		return
	}
	s.stopAt = max(r.now+r.set.DrainGrace-graceMargin-r.set.Tick, 1)
	r.after(max(s.stopAt-r.now, 0), func() {
		if s.State != Ready && r.now >= s.stopAt {
			r.part(s)
			if r.lose(s, "has left") {
				r.group(s.Group).left = true
			}
		}
	})
}

// ---- Answers ----

// Outcome takes in the end of an attempt.
func (r *Router) Outcome(now time.Duration, o Outcome) {
	r.tick(now)
	a := r.settle(o)
	if a == nil {
		return
	}
	q, s := a.req, a.s
	if !o.Result.NeverRan() && q.risk == nil {
		q.risk = a
	}
	q.reached = q.reached || o.Result != NoConnect && o.Result != Moot
	r.health(s, a, o)
	if o.HasPosition && !(q.c.Need == NeedWrite && o.Result == OK) {
		r.proved(s, o.Position)
	}
	switch o.Role {
	case RolePrimary:
		r.claim(s, r.now-r.set.Tick)
	case RoleReplica:
		r.deny(s, r.now)
	}
	r.learn(s, o.Report)
	if q.c.Need == NeedWrite && o.Result == OK && o.HasPosition && r.set.Remembered && q.session != 0 {
		r.keep(q.session, o.Position)
	}
	q.ended = q.ended || o.Closed
	if !q.ended && q.live == 0 {
		r.again(q, s, o.Result)
	}
	r.forget(q)
	r.pump(q.g)
}

func (r *Router) health(s *store, a *attempt, o Outcome) {
	if o.Result == OK || o.Result == Missed || o.Result == Errored {
		s.answered = max(s.answered, a.sent)
	}
	switch o.Result {
	case TimedOut, Cancelled:
		if !a.req.gone { // a client's own cancel says nothing of the store
			r.took(s, a, false)
		}
	case OK, Missed:
		r.reached(s)
		s.heard, s.silent = r.now, false
		s.fails *= 1 - failStep
		r.fails *= 1 - failsStep
		if o.Result == OK {
			s.fullWait = 0
			if e := a.req.risk; e != nil && e.errored && e.s != s {
				r.failed(e.s) // an error is the store's, not the request's, if another store then served it
			}
			r.undisturbed(a.req.class, r.took(s, a, true))
			if s.lost && s.fails < failLimit {
				s.lost = false
				r.act.Log(fmt.Sprintf("group %d: store %d has its turn back", s.Group, s.Store))
			}
		}
	case Full, NoConnect: // work or connections are scarce: a pause; a round tells whether the store is gone
		s.fullWait = min(max(2*s.fullWait, fullPause), fullMost)
		s.pausedTo = r.now + s.fullWait
		if s.heard = r.now; o.Result == Full {
			s.window = max(s.window/2, r.least)
			break
		}
		if s.heard = 0; s.fullWait > 2*fullPause { // thrice with nothing served between: one may just have broken
			s.scarceAt = r.now
		}
		r.failed(s)
		if g := r.group(s.Group); g.primary == s {
			r.round(g)
		}
	case Errored, Reset:
		if s.heard, a.errored = r.now, o.Result == Errored; o.Result == Reset {
			r.failed(s)
			r.lose(s, "cannot be reached")
		}
	}
	if len(s.out) == 0 && s.scarceAt > 0 && r.now < s.scarceAt+scarceFor {
		r.act.CloseIdle(s.Store) // leave the connection to fronts that have none
	}
}

// failed counts a failure against a store, as far as it fails more than all do: where all refuse, connections
// are scarce, and that costs no store its turn.
func (r *Router) failed(s *store) {
	s.fails += failStep * (1 - s.fails)
	if (s.fails-r.fails)/(1-r.fails) >= failLimit {
		r.lostTurn(s, "fails")
	}
	r.fails += failsStep * (1 - r.fails)
}

// took enters how long an attempt lasted, or at least, if it was not waited out.
func (r *Router) took(s *store, a *attempt, answered bool) time.Duration {
	took := r.now - a.sent
	ratio := min(float64(took)/float64(r.base[a.req.class].time), 20)
	if answered || ratio > r.slowness(s) {
		s.slow = r.slowness(s)*(1-slowStep) + slowStep*ratio
	}
	if answered || ratio > r.slow && r.now < s.heard+heardFresh { // silence is no jam
		r.slow += slowAllStep * (ratio - r.slow)
	}
	s.slowAt, s.took = r.now, took
	r.gauge(s)
	m := &r.mean[a.req.class]
	*m = max(*m+time.Duration(meanStep*float64(min(took, 8**m)-*m)), ms)
	return took
}

// undisturbed measures a class's answer time without queues: the least mean of some answers.
func (r *Router) undisturbed(class int, took time.Duration) {
	b := &r.base[class]
	b.sum += took
	if b.count++; b.count == baseCount {
		grown := time.Duration((1 + baseForgets*(r.now-b.at).Seconds()) * float64(b.time))
		b.time, b.at, b.sum, b.count = min(max(b.sum/baseCount, ms), grown), r.now, 0, 0
	}
}

// again decides what follows an attempt that served nothing.
func (r *Router) again(q *request, s *store, res Result) {
	c, ran := q.c, q.risk != nil
	pointless := q.deadline-r.now <= endMargin+r.set.Tick || r.now >= q.useful && c.LateWorth == 0
	repeats := ran && c.Effect == Safe && res != Cancelled
	if pointless || ran && c.Effect == Unsafe || r.spent(q) || res == Moot ||
		repeats && r.retry < 1 {
		r.end(q)
		return
	}
	if repeats {
		r.retry--
	}
	if !r.place(q) {
		r.hold(q)
	}
}

// end gives the final answer: a refusal where a retry is harmless; a late read's client is told to stay away.
func (r *Router) end(q *request) {
	if q.ended {
		return
	}
	q.ended = true
	r.account(q)
	c := q.c
	if q.risk == nil && q.live == 0 || c.Effect == Safe || c.Effect == Keyed && c.Scope == ScopeAll {
		away := time.Duration(0)
		if r.set.RetryAfter && r.now >= q.useful && c.Need != NeedWrite {
			away = r.set.MaxRetryAfter
		} else if r.set.RetryAfter && r.hopeless(q) { // when this try's time would have been over
			away = min(r.set.MaxRetryAfter, max(q.deadline-r.now, 0))
		}
		r.act.Refuse(q.id, away)
	} else {
		r.act.Fail(q.id)
	}
	r.forget(q)
}

// Gone takes in that a client has left.
func (r *Router) Gone(now time.Duration, id uint32) {
	r.tick(now)
	if q := r.reqs[id]; q != nil {
		q.ended, q.gone = true, true
		for i, a := range q.tries {
			if !a.done && r.set.MayCancel {
				r.act.Cancel(id, i) // nobody waits for it: it must not stand in a queue
			}
		}
		r.forget(q)
	}
}
