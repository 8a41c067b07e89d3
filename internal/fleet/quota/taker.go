package quota

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"threadsail/internal/config"
)

// Taker is one pooler's side: its tokens, what it asks for, and which answers it goes by. It is safe for use by several
// goroutines; its mutex guards all that is below it.
type Taker struct {
	instance string
	term     time.Duration

	mu      sync.Mutex
	fleet   int
	set     config.Limits
	buckets map[string]*bucket // by "LIMIT/KEY"
	token   uint64             // the newest heard of
	holder  string             // who has it
	from    uint64             // the token of the answer in force
	have    uint64             // the ask that it answers
	until   time.Time          // its end
	number  uint64
	asked   map[uint64]time.Time
	rolled  time.Time // since when wants are counted
	short   bool      // Short
	refused map[string]uint64
}

// NewTaker returns the side of one process of a pooler. fleet is how many poolers there may be.
func NewTaker(instance string, term time.Duration, fleet int, set config.Limits) *Taker {
	return &Taker{instance: instance, term: term, fleet: max(fleet, 1), set: set, buckets: map[string]*bucket{}, asked: map[uint64]time.Time{},
		rolled: time.Now(), refused: map[string]uint64{}}
}

// news is by how much a want must have grown, or a slice shrunk, for an ask out of turn.
const news = 1.25

// Set puts a newer set of limits in force; an older one changes nothing. Tokens put by of a limit that has changed are gone:
// they were another limit's.
func (t *Taker) Set(set config.Limits) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if set.Revision <= t.set.Revision {
		return false
	}
	for key, b := range t.buckets {
		if !slices.Contains(set.List, b.limit) {
			delete(t.buckets, key)
		}
	}
	t.set = set
	return true
}

// Limits are those in force.
func (t *Taker) Limits() config.Limits {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.set
}

// Resize tells how many poolers there may be: the settings' number, or those alive where they are more. Safe shares shrink at
// once, and grow at once: at any time all are parts of the same reserve as far as poolers agree on the number.
func (t *Taker) Resize(fleet int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if fleet == t.fleet || fleet < 1 {
		return
	}
	t.fleet = fleet
	now := time.Now()
	for _, b := range t.buckets {
		b.fill(now)
		b.size(fleet)
		b.level = min(b.level, b.depth(b.rate(now)))
	}
}

// Take takes a token of a limit at a key. If there is none it tells after how long there will be, by what is in force now.
// weigh, above 0 and at most 1, makes one want count for 1/weigh tokens: a cold server bears a part of what it will.
func (t *Taker) Take(l config.Limit, key string, weigh float64) (after time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	b := t.bucket(l, key, now)
	if b == nil {
		return t.term / 3, false
	}
	after, ok = b.take(now, 1/min(max(weigh, 0.05), 1))
	if !ok {
		t.short = t.short || b.want(now.Sub(t.rolled), false) > news*b.told
		t.refused[l.Name]++
	}
	return after, ok
}

// Spare gives back a token that was taken just now and not used.
func (t *Taker) Spare(l config.Limit, key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if b := t.buckets[l.Name+"/"+key]; b != nil {
		b.spare(time.Now())
	}
}

// bucket finds a key's, or begins it. Where there are too many, those at rest go: one made anew is the same. nil: none is.
func (t *Taker) bucket(l config.Limit, key string, now time.Time) *bucket {
	key = l.Name + "/" + key
	b := t.buckets[key]
	if b != nil {
		return b
	}
	if len(t.buckets) >= mostBuckets {
		maps.DeleteFunc(t.buckets, func(_ string, b *bucket) bool { return b.idle(now) })
		if len(t.buckets) >= mostBuckets {
			return nil
		}
	}
	b = newBucket(l, t.fleet, now)
	t.buckets[key] = b
	return b
}

// Hear takes in that a holder acts by a token. An older one than was heard of is no holder any more.
func (t *Taker) Hear(holder string, token uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if token < t.token {
		return false
	}
	t.short = t.short || token > t.token // a new holder learns until it is told
	t.token, t.holder = token, holder
	return true
}

// Holder is the newest heard of; "": none.
func (t *Taker) Holder() (string, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holder, t.token
}

// Short tells that since the last ask a new holder was heard of, something was refused that is wanted more than the holder knows,
// or a slice became smaller by as much: an ask now is worth more than one in its turn. The holder can deal what a pooler gave up only once it is told so.
func (t *Taker) Short() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.short
}

// Ask writes down the next ask; it is counted from now. ok: there is something to say.
func (t *Taker) Ask() (a Ask, to string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	next := now.Sub(t.rolled) >= t.term/3
	a = Ask{Instance: t.instance, Wants: map[string]float64{}}
	for key, b := range t.buckets {
		b.told = b.want(now.Sub(t.rolled), next)
		if b.told > 0 {
			a.Wants[key] = b.told
		}
	}
	if next {
		t.rolled = now
	}
	trim(a.Wants)
	inForce := now.Before(t.until)
	if inForce && t.from == t.token {
		a.Have = t.have
	} else if inForce {
		a.Held = map[string]float64{}
		for key, b := range t.buckets {
			if now.Before(b.until) && b.slice > 0 {
				a.Held[key] = b.slice
			}
		}
	}
	t.number++
	a.Number, t.short = t.number, false
	t.asked[t.number] = now
	delete(t.asked, t.number-askedKept)
	return a, t.holder, t.holder != ""
}

// trim leaves the greatest wants, where there are too many.
func trim(wants map[string]float64) {
	if len(wants) <= mostAsked {
		return
	}
	keys := slices.SortedFunc(maps.Keys(wants), func(a, b string) int {
		return cmp.Or(cmp.Compare(wants[b], wants[a]), cmp.Compare(a, b))
	})
	for _, key := range keys[mostAsked:] {
		delete(wants, key)
	}
}

// Granted puts an answer in force, all of it, until its ask and the term. It refuses one by an older token than was heard of,
// one to an ask before the one whose answer is in force, and one that is over.
func (t *Taker) Granted(holder string, g Grant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	asked, known := t.asked[g.Number]
	until := asked.Add(g.Term)
	if g.Token < t.token || !known || g.Number <= t.have || !now.Before(until) {
		return false
	}
	t.token, t.holder = g.Token, holder
	t.from, t.have, t.until = g.Token, g.Number, until
	for key, b := range t.buckets {
		was, slice := 0.0, g.Slices[key]
		if now.Before(b.until) {
			was = b.slice
		}
		t.short = t.short || slice*news < was
		b.give(now, slice, until)
	}
	return true
}

// Figures tell, by limit, what this pooler may take a second now, and how often it found no token.
type Figures struct {
	Rate    map[string]float64
	Refused map[string]uint64
}

// Figures are summed over keys.
func (t *Taker) Figures() Figures {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	f := Figures{Rate: map[string]float64{}, Refused: maps.Clone(t.refused)}
	for _, b := range t.buckets {
		f.Rate[b.limit.Name] += b.rate(now)
	}
	return f
}
