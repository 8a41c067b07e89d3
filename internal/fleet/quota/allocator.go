package quota

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"threadsail/internal/config"
)

// Allocator allocates quotas at the leader. It is valid for one fencing token: a leader with a new token needs a new Allocator. It is safe
// for concurrent use.
//
// Invariant: for each key, the sum over all poolers of the largest quota that may be in force at a pooler is at most the limit's rate minus
// its reserve. A quota may be in force from when it was granted, or reported, until it expires or is known to be superseded.
type Allocator struct {
	token         uint64
	term          time.Duration // term of quotas
	drift         time.Duration // maximum difference between two monotonic clocks over a term
	fleetSize     int           // number of poolers
	learningUntil time.Time     // when all quotas granted by earlier leaders have expired

	mu       sync.Mutex // guards the fields below
	limits   config.Limits
	reported map[string]bool               // poolers that have sent a request during the learning period
	accounts map[string]*account           // by pooler
	demands  map[string]map[string]float64 // by key, then by pooler: tokens a second
	holders  map[string]map[string]bool    // by key: the poolers that may hold a quota
}

// account holds the demand of one pooler and the quotas that it may hold.
type account struct {
	instance      string
	lastNumber    uint64 // number of the newest answered request
	lastRequestAt time.Time
	allocations   []allocation
	demands       map[string]float64 // by key: tokens a second
}

// allocation is a set of quotas that may be in force at a pooler until expiresAt: a grant, or, with number 0, the quotas from an earlier
// leader that the pooler has reported.
type allocation struct {
	number    uint64
	expiresAt time.Time
	quotas    map[string]float64 // by key: tokens a second
}

// neverSuperseded is the number given to allocations of an earlier process of a pooler. No request has this number, so the allocations
// count until they expire.
const neverSuperseded = ^uint64(0)

// NewAllocator returns an allocator for a new leader. Its learning period lasts for term and drift together: quotas from earlier leaders
// were requested before now, so they expire within that time.
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
		demands:       map[string]map[string]float64{},
		holders:       map[string]map[string]bool{},
	}
}

// SetLimits applies a newer set of limits. Quotas granted under the previous set shrink when their poolers send their next requests.
func (a *Allocator) SetLimits(limits config.Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = limits
}

// Learning reports whether the allocator is in its learning period, in which it grants only quotas that poolers hold already.
func (a *Allocator) Learning() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isLearning(time.Now())
}

// isLearning reports whether quotas from earlier leaders may be in force that the allocator does not know: they have not all expired, and
// not all poolers have reported theirs. The caller holds the mutex.
func (a *Allocator) isLearning(now time.Time) bool {
	return now.Before(a.learningUntil) && len(a.reported) < a.fleetSize
}

// Allocate returns the grant for a request of the pooler from. ok is false for a request that is not newer than the last one answered.
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
	a.setDemands(from, pooler, r.Demands)
	g = Grant{Token: a.token, Number: r.Number, Term: a.term, Quotas: map[string]float64{}}
	for key := range r.Demands {
		if quota := a.quotaFor(key, from, r, learning, now); quota > 0 {
			g.Quotas[key] = quota
		}
	}
	a.recordAllocation(from, pooler, allocation{number: r.Number, expiresAt: a.quotaExpiry(now), quotas: g.Quotas})
	return g, true
}

// quotaExpiry returns the time at which a quota requested no later than now has expired on every clock.
func (a *Allocator) quotaExpiry(now time.Time) time.Time { return now.Add(a.term + a.drift) }

// accountOf returns the account of a pooler, a new one if there is none. If the pooler has been restarted, the quotas of its earlier
// process still count until they expire. The caller holds the mutex.
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

// recordReport updates the account with the quotas that a request reports to be in force. Once the pooler applies a grant of this leader,
// earlier grants and quotas reported before are superseded permanently. The caller holds the mutex.
func (a *Allocator) recordReport(from string, pooler *account, r Request, now time.Time) {
	switch {
	case r.AppliedNumber > 0:
		pooler.allocations = slices.DeleteFunc(pooler.allocations, func(old allocation) bool { return old.number < r.AppliedNumber })
	case len(r.Held) > 0:
		a.recordAllocation(from, pooler, allocation{expiresAt: a.quotaExpiry(now), quotas: r.Held})
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

// setDemands replaces the demands of a pooler. The caller holds the mutex.
func (a *Allocator) setDemands(from string, pooler *account, demands map[string]float64) {
	for key := range pooler.demands {
		delete(a.demands[key], from)
		if len(a.demands[key]) == 0 {
			delete(a.demands, key)
		}
	}
	pooler.demands = demands
	for key, demand := range demands {
		if a.demands[key] == nil {
			a.demands[key] = map[string]float64{}
		}
		a.demands[key][from] = demand
	}
}

// quotaFor returns the quota to grant for a key, in tokens a second: the fair share of the pooler, limited to what no other pooler may
// hold. During the learning period it is at most the quota that the pooler holds already. The caller holds the mutex.
func (a *Allocator) quotaFor(key, from string, r Request, learning bool, now time.Time) float64 {
	quota := min(a.fairShare(key, from, now), a.unallocated(key, from, now))
	switch {
	case !learning:
		return quota
	case r.AppliedNumber > 0: // already applies a grant of this leader, which was limited to what the pooler held
		return min(r.Demands[key], a.accounts[from].quotaInForce(r.AppliedNumber, key))
	}
	return min(quota, r.Held[key], r.Demands[key])
}

// allocatable returns the rate that may be allocated for a key: the rate of its limit minus the reserve. The caller holds the mutex.
func (a *Allocator) allocatable(key string) float64 {
	name, _, _ := strings.Cut(key, "/")
	for _, l := range a.limits.List {
		if l.Name == name {
			return l.Rate * (1 - l.Reserve)
		}
	}
	return 0
}

// unallocated returns the part of the allocatable rate for a key that no other pooler may hold. The caller holds the mutex.
func (a *Allocator) unallocated(key, from string, now time.Time) float64 {
	remaining := a.allocatable(key)
	for holder := range a.holders[key] {
		held := a.accounts[holder].maxQuota(key, now)
		switch {
		case held == 0:
			a.removeHolder(key, holder)
		case holder != from:
			remaining -= held
		}
	}
	return max(remaining, 0)
}

// removeHolder records that a pooler holds no quota for a key. The caller holds the mutex.
func (a *Allocator) removeHolder(key, holder string) {
	delete(a.holders[key], holder)
	if len(a.holders[key]) == 0 {
		delete(a.holders, key)
	}
}

// fairShare returns the max-min fair share of a pooler for a key: no pooler can get more without taking it from a pooler that has no more.
// If all demands can be met, half of the remaining rate is divided equally among the poolers with demand, as demand fluctuates. The other
// half remains for the next pooler with new demand, which would otherwise have to wait because of the quotas of the others. A pooler that
// has sent no request for a term has no demand. The caller holds the mutex.
func (a *Allocator) fairShare(key, from string, now time.Time) float64 {
	var demands []float64
	for pooler, demand := range a.demands[key] {
		if now.Sub(a.accounts[pooler].lastRequestAt) < a.term {
			demands = append(demands, demand)
		}
	}
	remaining := a.allocatable(key)
	demand := a.demands[key][from]
	if level := waterLevel(remaining, demands); !math.IsInf(level, 1) {
		return min(demand, level)
	}
	for _, met := range demands {
		remaining -= met
	}
	return demand + remaining/2/float64(len(demands))
}

// waterLevel returns the max-min fair level by water-filling: each demand is met up to that level. It returns infinity if all demands can
// be met. It sorts demands in place.
func waterLevel(total float64, demands []float64) float64 {
	slices.Sort(demands)
	for i, demand := range demands {
		share := total / float64(len(demands)-i)
		if demand >= share {
			return share
		}
		total -= demand
	}
	return math.Inf(1)
}

// quotaInForce returns the quota for a key in the grant with the given number, or 0 if there is none.
func (p *account) quotaInForce(number uint64, key string) float64 {
	for _, allocated := range p.allocations {
		if allocated.number == number {
			return allocated.quotas[key]
		}
	}
	return 0
}

// maxQuota returns the largest quota for a key that may be in force at a pooler. It removes expired allocations.
func (p *account) maxQuota(key string, now time.Time) float64 {
	p.allocations = slices.DeleteFunc(p.allocations, func(old allocation) bool { return !now.Before(old.expiresAt) })
	largest := 0.0
	for _, allocated := range p.allocations {
		largest = max(largest, allocated.quotas[key])
	}
	return largest
}
