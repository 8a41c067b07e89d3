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
	// significantChange is the factor by which a want must have grown, or a quota shrunk, for a request out of turn.
	significantChange = 1.25
	// requestsPerTerm is how often a pooler sends a request in a quota's term, so that two answers may be lost.
	requestsPerTerm = 3
	// minWeight is the least share of its work that a cold server is counted to bear.
	minWeight = 0.05
)

// Client is one pooler's side: its tokens, what it requests, and which grant it applies. It is safe for concurrent use, and no method
// blocks.
type Client struct {
	instance string
	term     time.Duration // of quotas

	mu          sync.Mutex // guards the fields below
	fleetSize   int
	limits      config.Limits
	buckets     map[string]*bucket // by "LIMIT/KEY"
	token       uint64             // the newest leader's fencing token
	leader      string             // the pooler that has it; "": none is known
	applied     appliedGrant
	lastNumber  uint64               // of the last request
	requestedAt map[uint64]time.Time // of the requests whose grants are still accepted, by number
	demandSince time.Time            // when the span of demand that is counted now began
	requestDue  bool                 // as RequestDue
	refused     map[string]uint64    // by limit: how often there was no token
}

// appliedGrant is the grant that a pooler applies.
type appliedGrant struct {
	token  uint64
	number uint64
	until  time.Time
}

// NewClient returns the client of one process of a pooler. fleetSize is how many poolers there may be.
func NewClient(instance string, term time.Duration, fleetSize int, limits config.Limits) *Client {
	return &Client{
		instance:    instance,
		term:        term,
		fleetSize:   max(fleetSize, 1),
		limits:      limits,
		buckets:     map[string]*bucket{},
		requestedAt: map[uint64]time.Time{},
		demandSince: time.Now(),
		refused:     map[string]uint64{},
	}
}

// SetLimits puts a newer set of limits in force, and reports whether it was newer. Tokens at hand of a limit that has changed are
// dropped: they were of another limit.
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

// SetFleetSize sets how many poolers there may be: the settings' number, or those alive where they are more. Safe shares shrink and
// grow at once, so as far as poolers agree on the number their shares are parts of one reserve at any time.
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

// Take takes a token of a limit at a key. Without one it returns after how long there will be one, by what is in force now. weight,
// above 0 and at most 1, is the share of its work that a cold server bears: one want counts for 1/weight tokens.
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
		if b.excessDemand(now.Sub(c.demandSince), false) > significantChange*b.reportedDemand {
			c.requestDue = true
		}
	}
	return after, ok
}

// Refund puts back a token that was taken just now and not used.
func (c *Client) Refund(l config.Limit, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b := c.buckets[bucketKey(l, key)]; b != nil {
		b.refund(time.Now())
	}
}

// bucketKey is the name of a limit's bucket at a key, in Client.buckets and in messages.
func bucketKey(l config.Limit, key string) string { return l.Name + "/" + key }

// bucket returns the bucket of a limit at a key, a new one if there is none. Where there are too many, idle buckets are dropped: a new
// one is the same. It returns nil if there are too many still. The caller holds the mutex.
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

// requestInterval is how often a request is sent in turn.
func (c *Client) requestInterval() time.Duration { return c.term / requestsPerTerm }

// ObserveLeader records that a pooler leads by a token. It reports false for a token that is older than one observed before.
func (c *Client) ObserveLeader(leader string, token uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if token < c.token {
		return false
	}
	if token > c.token {
		c.requestDue = true // a new leader learns what is held from requests
	}
	c.token = token
	c.leader = leader
	return true
}

// Leader returns the newest leader that is known, and its token; "" if none is.
func (c *Client) Leader() (name string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader, c.token
}

// RequestDue reports whether a request out of turn is worth its cost: since the last request a new leader was observed, something was
// refused that is wanted more than the leader knows, or a quota shrank, which the leader can allocate to others only once it knows.
func (c *Client) RequestDue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestDue
}

// NextRequest makes the next request; a quota counts from now. ok is false while no leader is known to send the request to.
func (c *Client) NextRequest() (r Request, leader string, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	r = Request{Instance: c.instance, Wants: c.currentWants(now)}
	inForce := now.Before(c.applied.until)
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

// currentWants returns what to request of each key, and ends the span of demand if it has lasted. The caller holds the mutex.
func (c *Client) currentWants(now time.Time) map[string]float64 {
	span := now.Sub(c.demandSince)
	endSpan := span >= c.requestInterval()
	wants := map[string]float64{}
	for key, b := range c.buckets {
		b.reportedDemand = b.excessDemand(span, endSpan)
		if b.reportedDemand > 0 {
			wants[key] = b.reportedDemand
		}
	}
	if endSpan {
		c.demandSince = now
	}
	trimWants(wants)
	return wants
}

// heldQuotas returns the quotas that are in force, by key. The caller holds the mutex.
func (c *Client) heldQuotas(now time.Time) map[string]float64 {
	held := map[string]float64{}
	for key, b := range c.buckets {
		if now.Before(b.quotaUntil) && b.quotaRate > 0 {
			held[key] = b.quotaRate
		}
	}
	return held
}

// trimWants leaves the highest wants where there are too many.
func trimWants(wants map[string]float64) {
	if len(wants) <= maxRequestedKeys {
		return
	}
	keys := slices.SortedFunc(maps.Keys(wants), func(a, b string) int {
		return cmp.Or(cmp.Compare(wants[b], wants[a]), cmp.Compare(a, b))
	})
	for _, key := range keys[maxRequestedKeys:] {
		delete(wants, key)
	}
}

// ApplyGrant puts a grant in force, until its term after its request, and reports whether it did. It refuses a grant by an older token
// than was observed, a grant of a request before the one whose grant is applied, and one that has ended.
func (c *Client) ApplyGrant(leader string, g Grant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	requestedAt, pending := c.requestedAt[g.Number]
	until := requestedAt.Add(g.Term)
	if g.Token < c.token || !pending || g.Number <= c.applied.number || !now.Before(until) {
		return false
	}
	c.token = g.Token
	c.leader = leader
	c.applied = appliedGrant{token: g.Token, number: g.Number, until: until}
	for key, b := range c.buckets {
		quota := g.Quotas[key]
		if now.Before(b.quotaUntil) && quota*significantChange < b.quotaRate {
			c.requestDue = true
		}
		b.applyQuota(now, quota, until)
	}
	return true
}

// Metrics tell, by limit, how many tokens a second this pooler may take now, and how often there was none.
type Metrics struct {
	Rate    map[string]float64
	Refused map[string]uint64
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
