package judge

import (
	"fmt"
	"slices"
	"time"
)

// Noted is a purge as a pooler's journal has it.
type Noted struct {
	Pooler  int
	Purge   string // its name, the same at all poolers
	Due, At time.Time
}

// Purge is what came of one purge.
type Purge struct {
	Name     string        `json:"Name"`
	Due      time.Time     `json:"Due"`
	Poolers  int           `json:"Poolers"` // that noted it
	First    time.Duration `json:"First"`   // when they did, from Due on
	Last     time.Duration `json:"Last"`    // when they did, from Due on
	Repeated int           `json:"Twice"`   // poolers that noted it more than once
	InTime   int           `json:"InTime"`  // poolers that noted it within a second
	Stale    int           `json:"Stale"`   // answers from before it to requests that began behind it
}

// Purges weighs what journals noted and what clients were served. site tells a pooler's site, and sizes how many poolers a site
// has. A purge that most poolers of a site noted binds all of the site: one that was noted by fewer was of a plan that they did not
// know was out of force. What a client was served is from before a purge if its stand-in made it then.
func Purges(noted []Noted, requests []Request, site func(pooler int) int, sizes []int) (out []Purge, broken []string) {
	type of struct {
		site int
		name string
	}
	found := map[of]map[int]int{}
	by := map[string]*Purge{}
	for _, n := range noted {
		k := of{site(n.Pooler), n.Purge}
		if found[k] == nil {
			found[k] = map[int]int{}
		}
		late := n.At.Sub(n.Due)
		p := by[n.Purge]
		if p == nil {
			p = &Purge{Name: n.Purge, Due: n.Due, First: late, Last: late}
			by[n.Purge] = p
		}
		found[k][n.Pooler]++
		p.note(late, found[k][n.Pooler])
	}
	for k, poolers := range found {
		if len(poolers)*2 > sizes[k.site] {
			by[k.name].countStale(requests, func(pooler int) bool { return site(pooler) == k.site })
		}
	}
	for _, p := range by {
		out = append(out, *p)
		if p.Repeated > 0 {
			broken = append(broken, fmt.Sprintf("%d poolers noted %s more than once", p.Repeated, p.Name))
		}
		if p.Stale > 0 {
			broken = append(broken, fmt.Sprintf("%d answers from before %s came behind it", p.Stale, p.Name))
		}
	}
	slices.SortFunc(out, func(a, b Purge) int { return a.Due.Compare(b.Due) })
	slices.Sort(broken)
	return out, broken
}

// note counts that a pooler noted the purge so late, for the times-th time.
func (p *Purge) note(late time.Duration, times int) {
	p.First = min(p.First, late)
	p.Last = max(p.Last, late)
	switch times {
	case 1:
		p.Poolers++
		if late < time.Second {
			p.InTime++
		}
	case 2:
		p.Repeated++
	}
}

// countStale counts the answers from before the purge, of poolers that it binds, to requests that began behind it.
func (p *Purge) countStale(requests []Request, binds func(pooler int) bool) {
	for _, r := range requests {
		if r.MadeAt > 0 && binds(r.Pooler) && !r.BeganAt.Before(p.Due) && r.MadeAt < p.Due.UnixNano() {
			p.Stale++
		}
	}
}
