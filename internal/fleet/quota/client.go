package quota

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"threadsail/internal/config"
)

const (
	// significantChange is the factor by which a demand must grow, or a quota shrink, to cause an early request.
	significantChange = 1.25
	// requestsPerTerm is the number of regular requests that a pooler sends in the term of a quota, so that two grants may be lost.
	requestsPerTerm = 3
	// minWeight is the minimum weight of a cold server.
	minWeight = 0.05
)

// Client holds the tokens of one pooler, makes its requests for quotas and applies the grants. It is safe for concurrent use, and no method
// blocks.
type Client struct {
	instance string
	term     time.Duration // term of quotas

	mu              sync.Mutex // guards the fields below
	fleetSize       int
	limits          config.Limits
	buckets         map[string]*bucket // by "LIMIT/KEY"
	token           uint64             // fencing token of the newest leader
	leader          string             // pooler that holds the token; empty if none is known
	applied         appliedGrant
	lastNumber      uint64               // number of the last request
	requestedAt     map[uint64]time.Time // by number: send times of the requests whose grants are still accepted
	demandStartedAt time.Time            // start of the current demand interval
	requestDue      bool                 // returned by RequestDue
	refused         map[string]uint64    // by limit: how often no token was available
}

// appliedGrant identifies the grant that the client applies.
type appliedGrant struct {
	token     uint64
	number    uint64
	expiresAt time.Time
}

// NewClient returns a client for one process of a pooler. instance identifies the process, term is the term of quotas, and fleetSize is the
// maximum number of poolers that may be alive.
func NewClient(instance string, term time.Duration, fleetSize int, limits config.Limits) *Client {
	return &Client{
		instance:        instance,
		term:            term,
		fleetSize:       max(fleetSize, 1),
		limits:          limits,
		buckets:         map[string]*bucket{},
		requestedAt:     map[uint64]time.Time{},
		demandStartedAt: time.Now(),
		refused:         map[string]uint64{},
	}
}

// SetLimits applies a set of limits if its revision is newer, and reports whether it is. The tokens of limits that were changed or removed
// are discarded.
func (c *Client) SetLimits(limits config.Limits) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limits.Revision <= c.limits.Revision {
		return false
	}
	maps.DeleteFunc(c.buckets, func(_ string, b *bucket) bool { return !slices.Contains(limits.List, b.limit) })
	c.limits = limits
	return true
}

// Limits returns the limits in force.
func (c *Client) Limits() config.Limits {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limits
}

// SetFleetSize sets the number of poolers that share the reserves. Safe shares change immediately, so that the shares of all poolers that
// agree on the number add up to at most the reserve at any time.
func (c *Client) SetFleetSize(fleetSize int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if fleetSize == c.fleetSize || fleetSize < 1 {
		return
	}
	c.fleetSize = fleetSize
	now := time.Now()
	for _, b := range c.buckets {
		b.refill(now)
		b.setFleetSize(fleetSize)
		b.trimToCapacity(now)
	}
}

// Take takes a token for a key of a limit. If none is available, it returns the time after which one will be, at the rate in force. weight,
// in the range (0, 1], is the share of its normal load that a cold server can take; the call takes 1/weight tokens.
func (c *Client) Take(l config.Limit, key string, weight float64) (after time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	b := c.bucket(l, key, now)
	if b == nil {
		return c.requestInterval(), false
	}
	after, ok = b.take(now, 1/min(max(weight, minWeight), 1))
	if !ok {
		c.refused[l.Name]++
		if b.excessDemand(now.Sub(c.demandStartedAt), false) > significantChange*b.reportedDemand {
			c.requestDue = true
		}
	}
	return after, ok
}

// Refund returns a token that was just taken and not used.
func (c *Client) Refund(l config.Limit, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b := c.buckets[bucketKey(l, key)]; b != nil {
		b.refund(time.Now())
	}
}

// bucketKey returns the name of the bucket for a key of a limit, which is used in Client.buckets and in messages.
func bucketKey(l config.Limit, key string) string { return l.Name + "/" + key }

// bucket returns the bucket for a key of a limit, a new one if there is none. If there are maxBuckets others, it first removes idle buckets,
// which lose no state by that. It returns nil if there are still maxBuckets. The caller holds the mutex.
func (c *Client) bucket(l config.Limit, key string, now time.Time) *bucket {
	name := bucketKey(l, key)
	if b := c.buckets[name]; b != nil {
		return b
	}
	if len(c.buckets) >= maxBuckets {
		maps.DeleteFunc(c.buckets, func(_ string, b *bucket) bool { return b.isIdle(now) })
	}
	if len(c.buckets) >= maxBuckets {
		return nil
	}
	b := newBucket(l, c.fleetSize, now)
	c.buckets[name] = b
	return b
}

// requestInterval returns the interval between regular requests.
func (c *Client) requestInterval() time.Duration { return c.term / requestsPerTerm }

// ObserveLeader records that a pooler is the leader with a fencing token. It returns false for a token older than one observed before.
func (c *Client) ObserveLeader(leader string, token uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if token < c.token {
		return false
	}
	if token > c.token {
		c.requestDue = true // a new leader learns from requests which quotas are held
	}
	c.token = token
	c.leader = leader
	return true
}

// Leader returns the newest known leader and its token. name is empty if no leader is known.
func (c *Client) Leader() (name string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.token
}

// RequestDue reports whether an early request should be sent, because one of the following has happened since the last request: a new leader
// was observed; no token was available and the demand exceeds the one last reported; or a quota shrank, which the leader can allocate to
// other poolers only once it knows.
func (c *Client) RequestDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestDue
}

// NextRequest returns the next request and the leader to send it to. The term of the resulting quotas begins now. ok is false while no leader
// is known.
func (c *Client) NextRequest() (r Request, leader string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	r = Request{Instance: c.instance, Demands: c.currentDemands(now)}
	inForce := now.Before(c.applied.expiresAt)
	switch {
	case inForce && c.applied.token == c.token:
		r.AppliedNumber = c.applied.number
	case inForce:
		r.Held = c.heldQuotas(now)
	}
	c.lastNumber++
	r.Number = c.lastNumber
	c.requestDue = false
	c.requestedAt[r.Number] = now
	delete(c.requestedAt, r.Number-maxPendingRequests)
	return r, c.leader, c.leader != ""
}

// currentDemands returns the demand to request for each key, and begins a new demand interval if the current one is over. The caller holds
// the mutex.
func (c *Client) currentDemands(now time.Time) map[string]float64 {
	interval := now.Sub(c.demandStartedAt)
	endInterval := interval >= c.requestInterval()
	demands := map[string]float64{}
	for key, b := range c.buckets {
		b.reportedDemand = b.excessDemand(interval, endInterval)
		if b.reportedDemand > 0 {
			demands[key] = b.reportedDemand
		}
	}
	if endInterval {
		c.demandStartedAt = now
	}
	trimDemands(demands)
	return demands
}

// heldQuotas returns the quotas in force by key, in tokens a second. The caller holds the mutex.
func (c *Client) heldQuotas(now time.Time) map[string]float64 {
	held := map[string]float64{}
	for key, b := range c.buckets {
		if now.Before(b.quotaExpiresAt) && b.quotaRate > 0 {
			held[key] = b.quotaRate
		}
	}
	return held
}

// trimDemands removes all but the maxRequestedKeys highest demands.
func trimDemands(demands map[string]float64) {
	if len(demands) <= maxRequestedKeys {
		return
	}
	keys := slices.SortedFunc(maps.Keys(demands), func(a, b string) int {
		return cmp.Or(cmp.Compare(demands[b], demands[a]), cmp.Compare(a, b))
	})
	for _, key := range keys[maxRequestedKeys:] {
		delete(demands, key)
	}
}

// ApplyGrant applies a grant until its term after the request is over, and reports whether it did. It rejects a grant with an older token
// than the newest one observed, a grant that does not answer a newer request than the applied one, and an expired grant.
func (c *Client) ApplyGrant(leader string, g Grant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	requestedAt, pending := c.requestedAt[g.Number]
	expiresAt := requestedAt.Add(g.Term)
	if g.Token < c.token || !pending || g.Number <= c.applied.number || !now.Before(expiresAt) {
		return false
	}
	c.token = g.Token
	c.leader = leader
	c.applied = appliedGrant{token: g.Token, number: g.Number, expiresAt: expiresAt}
	for key, b := range c.buckets {
		quota := g.Quotas[key]
		if now.Before(b.quotaExpiresAt) && quota*significantChange < b.quotaRate {
			c.requestDue = true
		}
		b.applyQuota(now, quota, expiresAt)
	}
	return true
}

// Metrics holds the metrics of a Client.
type Metrics struct {
	Rate    map[string]float64 // by limit: rate in force at this pooler, in tokens a second
	Refused map[string]uint64  // by limit: how often no token was available
}

// Metrics returns the metrics, summed over the keys of each limit.
func (c *Client) Metrics() Metrics {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	m := Metrics{Rate: map[string]float64{}, Refused: maps.Clone(c.refused)}
	for _, b := range c.buckets {
		m.Rate[b.limit.Name] += b.rate(now)
	}
	return m
}
