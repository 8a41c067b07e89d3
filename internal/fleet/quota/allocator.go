package quota

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"threadsail/internal/config"
)

// Allocator is the leader's side, for one fencing token: a leader that is elected again begins a new one. It is safe for concurrent
// use.
//
// Invariant: for each key, the sum over all poolers of the largest quota that may be in force there is at most the limit's rate less
// its reserve. A quota may be in force from when its grant was made, or reported, until it has ended or is known to be superseded.
type Allocator struct {
	token         uint64
	term          time.Duration // of quotas
	drift         time.Duration // the most by which two monotonic clocks differ over a term
	fleetSize     int
	learningUntil time.Time // until then quotas of earlier leaders may be in force that nobody has reported

	mu       sync.Mutex // guards the fields below
	limits   config.Limits
	reported map[string]bool               // poolers that have sent a request while the allocator was learning
	accounts map[string]*account           // by pooler
	wants    map[string]map[string]float64 // by key, then by pooler: tokens a second
	holders  map[string]map[string]bool    // by key: the poolers that may hold a quota
}

// account is what one pooler may hold.
type account struct {
	instance      string
	lastNumber    uint64 // of the newest request that was answered
	lastRequestAt time.Time
	allocations   []allocation
	wants         map[string]float64 // by key: tokens a second
}

// allocation is a grant, or what a pooler reported to hold of an earlier leader's (number 0), until when it may be in force.
type allocation struct {
	number uint64
	until  time.Time
	quotas map[string]float64 // by key: tokens a second
}

// neverSuperseded is the number of allocations to an earlier process of a pooler. No request has that number, so they count until
// their end.
const neverSuperseded = ^uint64(0)

// NewAllocator returns the allocator of a new leader. Quotas of the leaders before it were requested before now, and so have ended
// after a term and a drift.
func NewAllocator(token uint64, term, drift time.Duration, fleetSize int, limits config.Limits) *Allocator {
	return &Allocator{
		token:         token,
		term:          term,
		drift:         drift,
		fleetSize:     fleetSize,
		learningUntil: time.Now().Add(term + drift),
		limits:        limits,
		reported:      map[string]bool{},
		accounts:      map[string]*account{},
		wants:         map[string]map[string]float64{},
		holders:       map[string]map[string]bool{},
	}
}

// SetLimits puts a newer set of limits in force. Quotas by the set before shrink as their poolers send further requests.
func (a *Allocator) SetLimits(limits config.Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = limits
}

// Learning reports whether the allocator grants only what poolers hold already.
func (a *Allocator) Learning() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isLearning(time.Now())
}

// isLearning reports whether earlier quotas may be in force that are not known here: they have not all ended, and not all poolers have
// reported theirs. The caller holds the mutex.
func (a *Allocator) isLearning(now time.Time) bool {
	return now.Before(a.learningUntil) && len(a.reported) < a.fleetSize
}

// Allocate answers a pooler's request. ok is false for a request that was overtaken by a later one.
func (a *Allocator) Allocate(from string, r Request) (g Grant, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	pooler := a.accountOf(from, r.Instance)
	if r.Number <= pooler.lastNumber {
		return Grant{}, false
	}
	pooler.lastNumber = r.Number
	pooler.lastRequestAt = now
	a.recordReport(from, pooler, r, now)
	learning := a.isLearning(now)
	if learning {
		a.reported[from] = true
	}
	a.setWants(from, pooler, r.Wants)
	g = Grant{Token: a.token, Number: r.Number, Term: a.term, Quotas: map[string]float64{}}
	for key := range r.Wants {
		if quota := a.quotaFor(key, from, r, learning, now); quota > 0 {
			g.Quotas[key] = quota
		}
	}
	a.recordAllocation(from, pooler, allocation{number: r.Number, until: a.endOfQuota(now), quotas: g.Quotas})
	return g, true
}

// endOfQuota is when a quota of a request that arrives now has ended on every clock.
func (a *Allocator) endOfQuota(now time.Time) time.Time { return now.Add(a.term + a.drift) }

// accountOf returns a pooler's account. What an earlier process of the pooler held may be in force until its end. The caller holds the
// mutex.
func (a *Allocator) accountOf(from, instance string) *account {
	pooler := a.accounts[from]
	if pooler == nil {
		pooler = &account{instance: instance}
		a.accounts[from] = pooler
	}
	if pooler.instance != instance {
		pooler.instance = instance
		pooler.lastNumber = 0
		for i := range pooler.allocations {
			pooler.allocations[i].number = neverSuperseded
		}
	}
	return pooler
}

// recordReport takes over what a request reports to be in force. Grants before the one that the pooler applies are superseded for
// good, as is what it reported before that. The caller holds the mutex.
func (a *Allocator) recordReport(from string, pooler *account, r Request, now time.Time) {
	switch {
	case r.AppliedNumber > 0:
		pooler.allocations = slices.DeleteFunc(pooler.allocations, func(old allocation) bool { return old.number < r.AppliedNumber })
	case len(r.Held) > 0:
		a.recordAllocation(from, pooler, allocation{until: a.endOfQuota(now), quotas: r.Held})
	}
}

// recordAllocation adds an allocation to an account. The caller holds the mutex.
func (a *Allocator) recordAllocation(from string, pooler *account, added allocation) {
	pooler.allocations = append(pooler.allocations, added)
	for key := range added.quotas {
		if a.holders[key] == nil {
			a.holders[key] = map[string]bool{}
		}
		a.holders[key][from] = true
	}
}

// setWants replaces what a pooler wants. The caller holds the mutex.
func (a *Allocator) setWants(from string, pooler *account, wants map[string]float64) {
	for key := range pooler.wants {
		delete(a.wants[key], from)
		if len(a.wants[key]) == 0 {
			delete(a.wants, key)
		}
	}
	pooler.wants = wants
	for key, want := range wants {
		if a.wants[key] == nil {
			a.wants[key] = map[string]float64{}
		}
		a.wants[key][from] = want
	}
}

// quotaFor decides the quota of a key that a request is granted, in tokens a second: the pooler's fair share, as far as no other pooler
// may hold it; while learning no more than the pooler holds already. The caller holds the mutex.
func (a *Allocator) quotaFor(key, from string, r Request, learning bool, now time.Time) float64 {
	quota := min(a.fairShare(key, from, now), a.unallocated(key, from, now))
	switch {
	case !learning:
		return quota
	case r.AppliedNumber > 0: // the pooler applies a grant of this leader already, which was within what it held
		return min(r.Wants[key], a.accounts[from].quotaInForce(r.AppliedNumber, key))
	}
	return min(quota, r.Held[key], r.Wants[key])
}

// allocatable is what may be allocated of a key: the limit less its reserve. The caller holds the mutex.
func (a *Allocator) allocatable(key string) float64 {
	name, _, _ := strings.Cut(key, "/")
	for _, l := range a.limits.List {
		if l.Name == name {
			return l.Rate * (1 - l.Reserve)
		}
	}
	return 0
}

// unallocated is what no other pooler may hold of a key. The caller holds the mutex.
func (a *Allocator) unallocated(key, from string, now time.Time) float64 {
	left := a.allocatable(key)
	for holder := range a.holders[key] {
		held := a.accounts[holder].maxQuota(key, now)
		switch {
		case held == 0:
			a.removeHolder(key, holder)
		case holder != from:
			left -= held
		}
	}
	return max(left, 0)
}

// removeHolder notes that a pooler holds no quota of a key. The caller holds the mutex.
func (a *Allocator) removeHolder(key, holder string) {
	delete(a.holders[key], holder)
	if len(a.holders[key]) == 0 {
		delete(a.holders, key)
	}
}

// fairShare is a pooler's max-min fair share of a key: nobody can have more except from a pooler that has no more. Where all wants are
// met, half of what is left is divided equally among those with wants, as wants come unevenly. The other half is for the pooler that
// wants next, which the quotas of the others would keep waiting. A pooler that has sent no request for a term wants nothing. The caller
// holds the mutex.
func (a *Allocator) fairShare(key, from string, now time.Time) float64 {
	var wants []float64
	for pooler, want := range a.wants[key] {
		if now.Sub(a.accounts[pooler].lastRequestAt) < a.term {
			wants = append(wants, want)
		}
	}
	left := a.allocatable(key)
	want := a.wants[key][from]
	if level := waterLevel(left, wants); !math.IsInf(level, 1) {
		return min(want, level)
	}
	for _, met := range wants {
		left -= met
	}
	return want + left/2/float64(len(wants))
}

// waterLevel is the level of max-min fairness: each want gets the level or what it wants, whichever is less. It is infinite if all
// wants are met. It sorts wants.
func waterLevel(total float64, wants []float64) float64 {
	slices.Sort(wants)
	for i, want := range wants {
		share := total / float64(len(wants)-i)
		if want >= share {
			return share
		}
		total -= want
	}
	return math.Inf(1)
}

// quotaInForce is the quota of a key by the grant that a pooler applies.
func (p *account) quotaInForce(number uint64, key string) float64 {
	for _, allocated := range p.allocations {
		if allocated.number == number {
			return allocated.quotas[key]
		}
	}
	return 0
}

// maxQuota is the largest quota of a key that may be in force at a pooler. It forgets allocations that have ended.
func (p *account) maxQuota(key string, now time.Time) float64 {
	p.allocations = slices.DeleteFunc(p.allocations, func(old allocation) bool { return !now.Before(old.until) })
	largest := 0.0
	for _, allocated := range p.allocations {
		largest = max(largest, allocated.quotas[key])
	}
	return largest
}
