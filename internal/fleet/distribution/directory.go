package distribution

import "time"

// directory is where each pooler's stream ends, as the other distributors tell. It is not safe for use by several goroutines.
type directory struct {
	distributorOf map[string]string            // by pooler: the distributor that told last that the pooler arrived
	distributors  map[string]*distributorState // by name; each that distributorOf names is among them
}

// distributorState is what is known of one other distributor.
type distributorState struct {
	region       string
	summary      Summary   // of its poolers, as reported last
	poolerCount  int       // of the poolers for which distributorOf names it
	openLinks    int       // links that it has open to this distributor
	lastClosedAt time.Time // when the last link ended
}

func newDirectory() directory {
	return directory{distributorOf: map[string]string{}, distributors: map[string]*distributorState{}}
}

// linkOpened records that a distributor has opened a link.
func (d *directory) linkOpened(name, region string) {
	state := d.distributors[name]
	if state == nil {
		state = &distributorState{}
		d.distributors[name] = state
	}
	state.region = region
	state.openLinks++
}

// linkClosed records that a distributor's link has ended. Its poolers are kept for a while: they are on their way to others, and quota
// shares that depend on the fleet's size must not grow for a link that was reset.
func (d *directory) linkClosed(name string, now time.Time) {
	if state := d.distributors[name]; state != nil {
		state.openLinks--
		state.lastClosedAt = now
	}
}

// update records the holdings that a distributor reports.
func (d *directory) update(name string, h holdings) {
	state := d.distributors[name]
	if state == nil {
		return
	}
	if h.Complete {
		d.forget(name)
	}
	for _, pooler := range h.Arrived {
		if previous, known := d.distributorOf[pooler]; known {
			d.distributors[previous].poolerCount--
		}
		d.distributorOf[pooler] = name
		state.poolerCount++
	}
	for _, pooler := range h.Departed {
		if d.distributorOf[pooler] == name { // else it has arrived elsewhere already
			delete(d.distributorOf, pooler)
			state.poolerCount--
		}
	}
}

// forget removes a distributor's poolers.
func (d *directory) forget(name string) {
	for pooler, distributor := range d.distributorOf {
		if distributor == name {
			delete(d.distributorOf, pooler)
		}
	}
	d.distributors[name].poolerCount = 0
}

// expire removes the distributors that have had no link for a while, and their poolers.
func (d *directory) expire(now time.Time, after time.Duration) {
	for name, state := range d.distributors {
		if state.openLinks == 0 && now.Sub(state.lastClosedAt) >= after {
			d.forget(name)
			delete(d.distributors, name)
		}
	}
}

// alive returns the distributors that have a link open here.
func (d *directory) alive() (names []string) {
	for name, state := range d.distributors {
		if state.openLinks > 0 {
			names = append(names, name)
		}
	}
	return names
}

// load returns how many streams the other live distributors of a region hold, and how many of those distributors there are.
func (d *directory) load(region string) (streams, distributors int) {
	for _, state := range d.distributors {
		if state.region == region && state.openLinks > 0 {
			streams += state.poolerCount
			distributors++
		}
	}
	return streams, distributors
}
