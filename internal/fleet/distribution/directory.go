package distribution

import "time"

// directory maps each pooler to the distributor that it is connected to, as reported by the other distributors. It is not safe for
// concurrent use.
type directory struct {
	distributorOf map[string]string            // by pooler: the distributor that last reported the arrival of the pooler
	distributors  map[string]*distributorState // by name; contains every distributor that distributorOf refers to
}

// distributorState is the known state of one other distributor.
type distributorState struct {
	region       string
	summary      Summary   // last summary that it reported of its poolers
	poolerCount  int       // number of poolers that distributorOf maps to it
	openLinks    int       // number of links that it has open to this distributor
	lastClosedAt time.Time // time at which the last link ended
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

// linkClosed records that a distributor's link has ended. Its poolers are kept until expire removes them: they are reconnecting to other
// distributors, and quota shares, which depend on the fleet's size, must not grow because a link was reset.
func (d *directory) linkClosed(name string, now time.Time) {
	if state := d.distributors[name]; state != nil {
		state.openLinks--
		state.lastClosedAt = now
	}
}

// update records the holdings reported by a distributor. Holdings of an unknown distributor are ignored.
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
		if d.distributorOf[pooler] == name { // otherwise it has arrived at another distributor already
			delete(d.distributorOf, pooler)
			state.poolerCount--
		}
	}
}

// forget removes the poolers of a distributor.
func (d *directory) forget(name string) {
	for pooler, distributor := range d.distributorOf {
		if distributor == name {
			delete(d.distributorOf, pooler)
		}
	}
	d.distributors[name].poolerCount = 0
}

// expire removes the distributors whose last link ended at least the given time ago, with their poolers.
func (d *directory) expire(now time.Time, after time.Duration) {
	for name, state := range d.distributors {
		if state.openLinks == 0 && now.Sub(state.lastClosedAt) >= after {
			d.forget(name)
			delete(d.distributors, name)
		}
	}
}

// alive returns the names of the distributors that have a link open here.
func (d *directory) alive() (names []string) {
	for name, state := range d.distributors {
		if state.openLinks > 0 {
			names = append(names, name)
		}
	}
	return names
}

// load returns the number of streams that the other live distributors of a region hold in total, and the number of these distributors.
func (d *directory) load(region string) (streams, distributors int) {
	for _, state := range d.distributors {
		if state.region == region && state.openLinks > 0 {
			streams += state.poolerCount
			distributors++
		}
	}
	return streams, distributors
}
