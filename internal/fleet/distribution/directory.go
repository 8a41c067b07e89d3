package distribution

import "time"

// directory is where each pooler's stream ends, as the other distributors tell. It is not safe for use by several goroutines.
type directory struct {
	distributorOf map[string]string // by pooler: the distributor that told last that it came
	links         map[string]*distributorState
}

// distributorState is what one other distributor has told.
type distributorState struct {
	region       string
	summary      Summary   // of its poolers
	poolerCount  int       // of those that at names it for
	openLinks    int       // links of it that are open here
	lastClosedAt time.Time // when the last one ended
}

func newDirectory() directory {
	return directory{distributorOf: map[string]string{}, links: map[string]*distributorState{}}
}

// linkOpened takes in that a distributor has called.
func (d *directory) linkOpened(name, region string) {
	t := d.links[name]
	if t == nil {
		t = &distributorState{}
		d.links[name] = t
	}
	t.region = region
	t.openLinks++
}

// linkClosed takes in that its link has ended. What it held is known for a while yet: its poolers are on their way elsewhere, and
// shares that are dealt by the fleet's size must not grow for a link that was reset.
func (d *directory) linkClosed(name string, now time.Time) {
	if t := d.links[name]; t != nil {
		t.openLinks--
		t.lastClosedAt = now
	}
}

// update takes in what a distributor tells.
func (d *directory) update(name string, h holdings) {
	t := d.links[name]
	if t == nil {
		return
	}
	if h.Complete {
		d.forget(name)
	}
	for _, pooler := range h.Arrived {
		if old, ok := d.distributorOf[pooler]; ok {
			d.links[old].poolerCount--
		}
		d.distributorOf[pooler] = name
		t.poolerCount++
	}
	for _, pooler := range h.Departed {
		if d.distributorOf[pooler] == name { // else it has come elsewhere already
			delete(d.distributorOf, pooler)
			t.poolerCount--
		}
	}
}

func (d *directory) forget(name string) {
	for pooler, at := range d.distributorOf {
		if at == name {
			delete(d.distributorOf, pooler)
		}
	}
	d.links[name].poolerCount = 0
}

// expire forgets what was told by distributors that have been gone for a while.
func (d *directory) expire(now time.Time, after time.Duration) {
	for name, t := range d.links {
		if t.openLinks == 0 && now.Sub(t.lastClosedAt) >= after {
			d.forget(name)
			delete(d.links, name)
		}
	}
}

// alive are the distributors that are linked to here.
func (d *directory) alive() (names []string) {
	for name, t := range d.links {
		if t.openLinks > 0 {
			names = append(names, name)
		}
	}
	return names
}

// load is how many streams the other distributors of a region hold, and how many of those distributors are alive.
func (d *directory) load(region string) (streams, distributors int) {
	for _, t := range d.links {
		if t.region == region && t.openLinks > 0 {
			streams += t.poolerCount
			distributors++
		}
	}
	return streams, distributors
}
