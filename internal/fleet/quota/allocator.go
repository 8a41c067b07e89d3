package quota

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"threadsail/internal/config"
)

// Allocator is the holder's side, for one token: a holder that comes to office again begins anew. It is safe for use by several
// goroutines; its mutex guards all that is below it.
//
// What holds: for each key the sum over poolers of the largest slice that may be in force there, by any answer that was sent
// or told of and is not known to be superseded or over, is at most the limit's rate less its reserve.
type Allocator struct {
	token uint64
	term  time.Duration
	drift time.Duration

	mu            sync.Mutex
	fleetSize     int
	limits        config.Limits
	learningUntil time.Time                     // until then slices of earlier holders may be in force that nobody told of
	reported      map[string]bool               // poolers that have told what they hold, while learning
	accounts      map[string]*account           // by pooler
	wants         map[string]map[string]float64 // by key, then by pooler
	holders       map[string]map[string]bool    // by key, the poolers that may hold some
}

// account is what one pooler may hold.
type account struct {
	instance      string
	lastNumber    uint64 // the newest ask answered
	lastRequestAt time.Time
	allocations   []allocation
	wants         map[string]float64
}

// allocation is an answer, or what a pooler told of an earlier holder's (number 0), until when it may be in force.
type allocation struct {
	number uint64
	until  time.Time
	quotas map[string]float64
}

// NewAllocator begins a term of office. Slices of holders before it were asked for before now, and so are over a term and a
// drift from now.
func NewAllocator(token uint64, term, drift time.Duration, fleet int, set config.Limits) *Allocator {
	return &Allocator{token: token, term: term, drift: drift, fleetSize: fleet, limits: set, learningUntil: time.Now().Add(term + drift),
		reported: map[string]bool{}, accounts: map[string]*account{}, wants: map[string]map[string]float64{}, holders: map[string]map[string]bool{}}
}

// SetLimits takes over a newer set of limits: slices by the old one shrink as their poolers ask again.
func (d *Allocator) SetLimits(set config.Limits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limits = set
}

// Learning tells that it only deals what poolers hold already.
func (d *Allocator) Learning() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isLearning(time.Now())
}

// isLearning is over when every earlier slice is, or when as many poolers as there are have told of theirs.
func (d *Allocator) isLearning(now time.Time) bool {
	return now.Before(d.learningUntil) && len(d.reported) < d.fleetSize
}

// Allocate answers a pooler's ask. ok is false for one that was overtaken by a later one.
func (d *Allocator) Allocate(from string, a Request) (g Grant, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	p := d.accounts[from]
	if p == nil {
		p = &account{instance: a.Instance}
		d.accounts[from] = p
	}
	if p.instance != a.Instance { // what the process before it held may be in force for as long as it is not known to be gone
		p.instance, p.lastNumber = a.Instance, 0
		for i := range p.allocations {
			p.allocations[i].number = supersededNever
		}
	}
	if a.Number <= p.lastNumber {
		return Grant{}, false
	}
	p.lastNumber, p.lastRequestAt = a.Number, now
	if a.AppliedNumber > 0 { // answers before that one are out of force for good, as is all that was told
		p.allocations = slices.DeleteFunc(p.allocations, func(o allocation) bool { return o.number < a.AppliedNumber })
	} else if len(a.Held) > 0 {
		d.recordAllocation(from, p, allocation{until: now.Add(d.term + d.drift), quotas: a.Held})
	}
	learns := d.isLearning(now)
	if learns {
		d.reported[from] = true
	}
	d.setWants(from, p, a.Wants)
	g = Grant{Token: d.token, Number: a.Number, Term: d.term, Quotas: map[string]float64{}}
	for key, want := range a.Wants {
		slice := min(d.fairShare(key, from, now), d.unallocated(key, from, now))
		if learns {
			slice = min(slice, a.Held[key], want)
			if a.AppliedNumber > 0 { // it goes by an answer of this holder's already, which was within what it held
				slice = min(want, p.quotaInForce(a.AppliedNumber, key))
			}
		}
		if slice > 0 {
			g.Quotas[key] = slice
		}
	}
	d.recordAllocation(from, p, allocation{a.Number, now.Add(d.term + d.drift), g.Quotas})
	return g, true
}

// recordAllocation puts a deal on an account.
func (d *Allocator) recordAllocation(from string, p *account, o allocation) {
	p.allocations = append(p.allocations, o)
	for key := range o.quotas {
		if d.holders[key] == nil {
			d.holders[key] = map[string]bool{}
		}
		d.holders[key][from] = true
	}
}

// supersededNever is no ask's number: what a process before this one held goes by its end alone.
const supersededNever = ^uint64(0)

// quotaInForce is the slice by the answer that a pooler goes by.
func (p *account) quotaInForce(number uint64, key string) float64 {
	for _, o := range p.allocations {
		if o.number == number {
			return o.quotas[key]
		}
	}
	return 0
}

// maxQuota is the largest slice of a key that may be in force at a pooler.
func (p *account) maxQuota(key string, now time.Time) (most float64) {
	p.allocations = slices.DeleteFunc(p.allocations, func(o allocation) bool { return !now.Before(o.until) })
	for _, o := range p.allocations {
		most = max(most, o.quotas[key])
	}
	return most
}

// setWants notes what a pooler wants now, in place of what it wanted before.
func (d *Allocator) setWants(from string, p *account, wants map[string]float64) {
	for key := range p.wants {
		if delete(d.wants[key], from); len(d.wants[key]) == 0 {
			delete(d.wants, key)
		}
	}
	p.wants = wants
	for key, want := range wants {
		if d.wants[key] == nil {
			d.wants[key] = map[string]float64{}
		}
		d.wants[key][from] = want
	}
}

// allocatable is what may be dealt of a key: the limit without its reserve.
func (d *Allocator) allocatable(key string) float64 {
	name, _, _ := strings.Cut(key, "/")
	for _, l := range d.limits.List {
		if l.Name == name {
			return l.Rate * (1 - l.Reserve)
		}
	}
	return 0
}

// unallocated is what no other pooler may hold of a key.
func (d *Allocator) unallocated(key, from string, now time.Time) float64 {
	left := d.allocatable(key)
	for name := range d.holders[key] {
		most := d.accounts[name].maxQuota(key, now)
		if most == 0 {
			if delete(d.holders[key], name); len(d.holders[key]) == 0 {
				delete(d.holders, key)
			}
		} else if name != from {
			left -= most
		}
	}
	return max(left, 0)
}

// fairShare is a pooler's max-min fair part of a key: nobody can have more but from one who has no more. Where all have what they
// want, half of what is left goes to them in equal parts, as wants come unevenly; the other half is for who wants next, whom
// the others' slices would keep waiting. Who has not asked for a term wants nothing.
func (d *Allocator) fairShare(key, from string, now time.Time) float64 {
	var wants []float64
	for name, want := range d.wants[key] {
		if now.Sub(d.accounts[name].lastRequestAt) < d.term {
			wants = append(wants, want)
		}
	}
	total, want := d.allocatable(key), d.wants[key][from]
	if l := waterLevel(total, wants); want > l || !math.IsInf(l, 1) {
		return min(want, l)
	}
	for _, w := range wants {
		total -= w
	}
	return want + total/2/float64(len(wants))
}

// waterLevel is the water level of max-min fairness: each gets its want or this, whichever is less.
func waterLevel(total float64, wants []float64) float64 {
	slices.Sort(wants)
	for i, want := range wants {
		part := total / float64(len(wants)-i)
		if want >= part {
			return part
		}
		total -= want
	}
	return math.Inf(1) // all have what they want
}
