package quota

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"threadsail/internal/config"
)

// Dealer is the holder's side, for one token: a holder that comes to office again begins anew. It is safe for use by several
// goroutines; its mutex guards all that is below it.
//
// What holds: for each key the sum over poolers of the largest slice that may be in force there, by any answer that was sent
// or told of and is not known to be superseded or over, is at most the limit's rate less its reserve.
type Dealer struct {
	token uint64
	term  time.Duration
	drift time.Duration

	mu       sync.Mutex
	fleet    int
	set      config.Limits
	learning time.Time                     // until then slices of earlier holders may be in force that nobody told of
	told     map[string]bool               // poolers that have told what they hold, while learning
	accounts map[string]*account           // by pooler
	wants    map[string]map[string]float64 // by key, then by pooler
	holders  map[string]map[string]bool    // by key, the poolers that may hold some
}

// account is what one pooler may hold.
type account struct {
	instance string
	last     uint64 // the newest ask answered
	heard    time.Time
	deals    []deal
	wants    map[string]float64
}

// deal is an answer, or what a pooler told of an earlier holder's (number 0), until when it may be in force.
type deal struct {
	number uint64
	until  time.Time
	slices map[string]float64
}

// NewDealer begins a term of office. Slices of holders before it were asked for before now, and so are over a term and a
// drift from now.
func NewDealer(token uint64, term, drift time.Duration, fleet int, set config.Limits) *Dealer {
	return &Dealer{token: token, term: term, drift: drift, fleet: fleet, set: set, learning: time.Now().Add(term + drift),
		told: map[string]bool{}, accounts: map[string]*account{}, wants: map[string]map[string]float64{}, holders: map[string]map[string]bool{}}
}

// Set takes over a newer set of limits: slices by the old one shrink as their poolers ask again.
func (d *Dealer) Set(set config.Limits) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set = set
}

// Learning tells that it only deals what poolers hold already.
func (d *Dealer) Learning() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.learns(time.Now())
}

// learns is over when every earlier slice is, or when as many poolers as there are have told of theirs.
func (d *Dealer) learns(now time.Time) bool { return now.Before(d.learning) && len(d.told) < d.fleet }

// Deal answers a pooler's ask. ok is false for one that was overtaken by a later one.
func (d *Dealer) Deal(from string, a Ask) (g Grant, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	p := d.accounts[from]
	if p == nil {
		p = &account{instance: a.Instance}
		d.accounts[from] = p
	}
	if p.instance != a.Instance { // what the process before it held may be in force for as long as it is not known to be gone
		p.instance, p.last = a.Instance, 0
		for i := range p.deals {
			p.deals[i].number = never
		}
	}
	if a.Number <= p.last {
		return Grant{}, false
	}
	p.last, p.heard = a.Number, now
	if a.Have > 0 { // answers before that one are out of force for good, as is all that was told
		p.deals = slices.DeleteFunc(p.deals, func(o deal) bool { return o.number < a.Have })
	} else if len(a.Held) > 0 {
		d.enter(from, p, deal{until: now.Add(d.term + d.drift), slices: a.Held})
	}
	learns := d.learns(now)
	if learns {
		d.told[from] = true
	}
	d.wish(from, p, a.Wants)
	g = Grant{Token: d.token, Number: a.Number, Term: d.term, Slices: map[string]float64{}}
	for key, want := range a.Wants {
		slice := min(d.fair(key, from, now), d.free(key, from, now))
		if learns {
			slice = min(slice, a.Held[key], want)
			if a.Have > 0 { // it goes by an answer of this holder's already, which was within what it held
				slice = min(want, p.inForce(a.Have, key))
			}
		}
		if slice > 0 {
			g.Slices[key] = slice
		}
	}
	d.enter(from, p, deal{a.Number, now.Add(d.term + d.drift), g.Slices})
	return g, true
}

// enter puts a deal on an account.
func (d *Dealer) enter(from string, p *account, o deal) {
	p.deals = append(p.deals, o)
	for key := range o.slices {
		if d.holders[key] == nil {
			d.holders[key] = map[string]bool{}
		}
		d.holders[key][from] = true
	}
}

// never is no ask's number: what a process before this one held goes by its end alone.
const never = ^uint64(0)

// inForce is the slice by the answer that a pooler goes by.
func (p *account) inForce(number uint64, key string) float64 {
	for _, o := range p.deals {
		if o.number == number {
			return o.slices[key]
		}
	}
	return 0
}

// most is the largest slice of a key that may be in force at a pooler.
func (p *account) most(key string, now time.Time) (most float64) {
	p.deals = slices.DeleteFunc(p.deals, func(o deal) bool { return !now.Before(o.until) })
	for _, o := range p.deals {
		most = max(most, o.slices[key])
	}
	return most
}

// wish notes what a pooler wants now, in place of what it wanted before.
func (d *Dealer) wish(from string, p *account, wants map[string]float64) {
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

// cap is what may be dealt of a key: the limit without its reserve.
func (d *Dealer) cap(key string) float64 {
	name, _, _ := strings.Cut(key, "/")
	for _, l := range d.set.List {
		if l.Name == name {
			return l.Rate * (1 - l.Reserve)
		}
	}
	return 0
}

// free is what no other pooler may hold of a key.
func (d *Dealer) free(key, from string, now time.Time) float64 {
	left := d.cap(key)
	for name := range d.holders[key] {
		most := d.accounts[name].most(key, now)
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

// fair is a pooler's max-min fair part of a key: nobody can have more but from one who has no more. Where all have what they
// want, half of what is left goes to them in equal parts, as wants come unevenly; the other half is for who wants next, whom
// the others' slices would keep waiting. Who has not asked for a term wants nothing.
func (d *Dealer) fair(key, from string, now time.Time) float64 {
	var wants []float64
	for name, want := range d.wants[key] {
		if now.Sub(d.accounts[name].heard) < d.term {
			wants = append(wants, want)
		}
	}
	total, want := d.cap(key), d.wants[key][from]
	if l := level(total, wants); want > l || !math.IsInf(l, 1) {
		return min(want, l)
	}
	for _, w := range wants {
		total -= w
	}
	return want + total/2/float64(len(wants))
}

// level is the water level of max-min fairness: each gets its want or this, whichever is less.
func level(total float64, wants []float64) float64 {
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
