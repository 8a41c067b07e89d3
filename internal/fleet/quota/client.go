package quota

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"threadsail/internal/config"
)

// Client is one pooler's side: its tokens, what it asks for, and which answers it goes by. It is safe for use by several
// goroutines; its mutex guards all that is below it.
type Client struct {
	instance string
	term     time.Duration

	mu            sync.Mutex
	fleetSize     int
	limits        config.Limits
	buckets       map[string]*bucket // by "LIMIT/KEY"
	token         uint64             // the newest heard of
	leader        string             // who has it
	appliedToken  uint64             // the token of the answer in force
	appliedNumber uint64             // the ask that it answers
	appliedUntil  time.Time          // its end
	lastNumber    uint64
	requestedAt   map[uint64]time.Time
	demandSince   time.Time // since when wants are counted
	requestDue    bool      // Short
	refused       map[string]uint64
}

// NewClient returns the side of one process of a pooler. fleet is how many poolers there may be.
func NewClient(instance string, term time.Duration, fleet int, set config.Limits) *Client {
	return &Client{instance: instance, term: term, fleetSize: max(fleet, 1), limits: set, buckets: map[string]*bucket{}, requestedAt: map[uint64]time.Time{},
		demandSince: time.Now(), refused: map[string]uint64{}}
}

// significantChange is by how much a want must have grown, or a slice shrunk, for an ask out of turn.
const significantChange = 1.25

// SetLimits puts a newer set of limits in force; an older one changes nothing. Tokens put by of a limit that has changed are gone:
// they were another limit's.
func (t *Client) SetLimits(set config.Limits) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if set.Revision <= t.limits.Revision {
		return false
	}
	for key, b := range t.buckets {
		if !slices.Contains(set.List, b.limit) {
			delete(t.buckets, key)
		}
	}
	t.limits = set
	return true
}

// Limits are those in force.
func (t *Client) Limits() config.Limits {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits
}

// SetFleetSize tells how many poolers there may be: the settings' number, or those alive where they are more. Safe shares shrink at
// once, and grow at once: at any time all are parts of the same reserve as far as poolers agree on the number.
func (t *Client) SetFleetSize(fleet int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if fleet == t.fleetSize || fleet < 1 {
		return
	}
	t.fleetSize = fleet
	now := time.Now()
	for _, b := range t.buckets {
		b.refill(now)
		b.setFleetSize(fleet)
		b.level = min(b.level, b.depth(b.rate(now)))
	}
}

// Take takes a token of a limit at a key. If there is none it tells after how long there will be, by what is in force now.
// weigh, above 0 and at most 1, makes one want count for 1/weigh tokens: a cold server bears a part of what it will.
func (t *Client) Take(l config.Limit, key string, weigh float64) (after time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	b := t.bucket(l, key, now)
	if b == nil {
		return t.term / 3, false
	}
	after, ok = b.take(now, 1/min(max(weigh, 0.05), 1))
	if !ok {
		t.requestDue = t.requestDue || b.excessDemand(now.Sub(t.demandSince), false) > significantChange*b.reportedDemand
		t.refused[l.Name]++
	}
	return after, ok
}

// Refund gives back a token that was taken just now and not used.
func (t *Client) Refund(l config.Limit, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.buckets[l.Name+"/"+key]; b != nil {
		b.refund(time.Now())
	}
}

// bucket finds a key's, or begins it. Where there are too many, those at rest go: one made anew is the same. nil: none is.
func (t *Client) bucket(l config.Limit, key string, now time.Time) *bucket {
	key = l.Name + "/" + key
	b := t.buckets[key]
	if b != nil {
		return b
	}
	if len(t.buckets) >= maxBuckets {
		maps.DeleteFunc(t.buckets, func(_ string, b *bucket) bool { return b.idle(now) })
		if len(t.buckets) >= maxBuckets {
			return nil
		}
	}
	b = newBucket(l, t.fleetSize, now)
	t.buckets[key] = b
	return b
}

// ObserveLeader takes in that a holder acts by a token. An older one than was heard of is no holder any more.
func (t *Client) ObserveLeader(holder string, token uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if token < t.token {
		return false
	}
	t.requestDue = t.requestDue || token > t.token // a new holder learns until it is told
	t.token, t.leader = token, holder
	return true
}

// Leader is the newest heard of; "": none.
func (t *Client) Leader() (string, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leader, t.token
}

// RequestDue tells that since the last ask a new holder was heard of, something was refused that is wanted more than the holder knows,
// or a slice became smaller by as much: an ask now is worth more than one in its turn. The holder can deal what a pooler gave up only once it is told so.
func (t *Client) RequestDue() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requestDue
}

// NextRequest writes down the next ask; it is counted from now. ok: there is something to say.
func (t *Client) NextRequest() (a Request, to string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	next := now.Sub(t.demandSince) >= t.term/3
	a = Request{Instance: t.instance, Wants: map[string]float64{}}
	for key, b := range t.buckets {
		b.reportedDemand = b.excessDemand(now.Sub(t.demandSince), next)
		if b.reportedDemand > 0 {
			a.Wants[key] = b.reportedDemand
		}
	}
	if next {
		t.demandSince = now
	}
	trimWants(a.Wants)
	inForce := now.Before(t.appliedUntil)
	if inForce && t.appliedToken == t.token {
		a.AppliedNumber = t.appliedNumber
	} else if inForce {
		a.Held = map[string]float64{}
		for key, b := range t.buckets {
			if now.Before(b.quotaUntil) && b.quotaRate > 0 {
				a.Held[key] = b.quotaRate
			}
		}
	}
	t.lastNumber++
	a.Number, t.requestDue = t.lastNumber, false
	t.requestedAt[t.lastNumber] = now
	delete(t.requestedAt, t.lastNumber-maxPendingRequests)
	return a, t.leader, t.leader != ""
}

// trimWants leaves the greatest wants, where there are too many.
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

// ApplyGrant puts an answer in force, all of it, until its ask and the term. It refuses one by an older token than was heard of,
// one to an ask before the one whose answer is in force, and one that is over.
func (t *Client) ApplyGrant(holder string, g Grant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	asked, known := t.requestedAt[g.Number]
	until := asked.Add(g.Term)
	if g.Token < t.token || !known || g.Number <= t.appliedNumber || !now.Before(until) {
		return false
	}
	t.token, t.leader = g.Token, holder
	t.appliedToken, t.appliedNumber, t.appliedUntil = g.Token, g.Number, until
	for key, b := range t.buckets {
		was, slice := 0.0, g.Quotas[key]
		if now.Before(b.quotaUntil) {
			was = b.quotaRate
		}
		t.requestDue = t.requestDue || slice*significantChange < was
		b.applyQuota(now, slice, until)
	}
	return true
}

// Metrics tell, by limit, what this pooler may take a second now, and how often it found no token.
type Metrics struct {
	Rate    map[string]float64
	Refused map[string]uint64
}

// Metrics are summed over keys.
func (t *Client) Metrics() Metrics {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	f := Metrics{Rate: map[string]float64{}, Refused: maps.Clone(t.refused)}
	for _, b := range t.buckets {
		f.Rate[b.limit.Name] += b.rate(now)
	}
	return f
}
