package distribution

import "time"

// directory is where each pooler's stream ends, as the other distributors tell. It is not safe for use by several goroutines.
type directory struct {
	at    map[string]string // by pooler: the distributor that told last that it came
	links map[string]*told
}

// told is what one other distributor has told.
type told struct {
	region  string
	sum     Summary   // of its poolers
	poolers int       // of those that at names it for
	live    int       // links of it that are open here
	lost    time.Time // when the last one ended
}

func newDirectory() directory { return directory{at: map[string]string{}, links: map[string]*told{}} }

// opened takes in that a distributor has called.
func (d *directory) opened(name, region string) {
	t := d.links[name]
	if t == nil {
		t = &told{}
		d.links[name] = t
	}
	t.region = region
	t.live++
}

// closed takes in that its link has ended. What it held is known for a while yet: its poolers are on their way elsewhere, and
// shares that are dealt by the fleet's size must not grow for a link that was reset.
func (d *directory) closed(name string, now time.Time) {
	if t := d.links[name]; t != nil {
		t.live--
		t.lost = now
	}
}

// take takes in what a distributor tells.
func (d *directory) take(name string, h holds) {
	t := d.links[name]
	if t == nil {
		return
	}
	if h.All {
		d.forget(name)
	}
	for _, pooler := range h.Came {
		if old, ok := d.at[pooler]; ok {
			d.links[old].poolers--
		}
		d.at[pooler] = name
		t.poolers++
	}
	for _, pooler := range h.Went {
		if d.at[pooler] == name { // else it has come elsewhere already
			delete(d.at, pooler)
			t.poolers--
		}
	}
}

func (d *directory) forget(name string) {
	for pooler, at := range d.at {
		if at == name {
			delete(d.at, pooler)
		}
	}
	d.links[name].poolers = 0
}

// expire forgets what was told by distributors that have been gone for a while.
func (d *directory) expire(now time.Time, after time.Duration) {
	for name, t := range d.links {
		if t.live == 0 && now.Sub(t.lost) >= after {
			d.forget(name)
			delete(d.links, name)
		}
	}
}

// alive are the distributors that are linked to here.
func (d *directory) alive() (names []string) {
	for name, t := range d.links {
		if t.live > 0 {
			names = append(names, name)
		}
	}
	return names
}

// load is how many streams the other distributors of a region hold, and how many of those distributors are alive.
func (d *directory) load(region string) (streams, distributors int) {
	for _, t := range d.links {
		if t.region == region && t.live > 0 {
			streams += t.poolers
			distributors++
		}
	}
	return streams, distributors
}
