package audit

// Disagreement is a time in which two poolers had different primaries of a group.
type Disagreement struct {
	Group     int    `json:"Group"`
	InstanceA string `json:"A"`
	InstanceB string `json:"B"`
	PrimaryA  string `json:"Of"`   // of InstanceA
	PrimaryB  string `json:"As"`   // of InstanceB
	From      int64  `json:"From"` // Unix ns
	To        int64  `json:"To"`   // Unix ns; 0: until the end of the journals
}

// findDisagreements finds the times in which two poolers had different primaries of a group.
func findDisagreements(records []Record) []Disagreement {
	t := disagreementTracker{primaries: map[int]map[string]string{}, open: map[pair]int{}}
	for _, r := range records {
		switch r.Act {
		case PrimaryAdopted:
			t.adopt(r)
		case PrimaryDropped:
			t.drop(r.At, r.Group, r.Instance)
		case Ended:
			t.dropAll(r.At, func(instance string) bool { return instance == r.Instance })
		case Started:
			t.dropAll(r.At, func(instance string) bool { return isSamePooler(instance, r.Instance) })
		}
	}
	return t.found
}

// pair is two instances that have a primary of one group, in the order of their names.
type pair struct {
	group int
	a, b  string
}

// disagreementTracker follows the primaries of all instances.
type disagreementTracker struct {
	primaries map[int]map[string]string // by group, then by instance
	open      map[pair]int              // disagreements that have not ended: index in found
	found     []Disagreement
}

// adopt records that an instance has adopted a primary.
func (t *disagreementTracker) adopt(r Record) {
	if t.primaries[r.Group] == nil {
		t.primaries[r.Group] = map[string]string{}
	}
	t.primaries[r.Group][r.Instance] = r.Server
	t.update(r.At, r.Group, r.Instance)
}

// drop records that an instance has no primary of a group.
func (t *disagreementTracker) drop(at int64, group int, instance string) {
	delete(t.primaries[group], instance)
	t.update(at, group, instance)
}

// dropAll records that the instances that match have no primaries.
func (t *disagreementTracker) dropAll(at int64, matches func(instance string) bool) {
	for group, primaries := range t.primaries {
		for instance := range primaries {
			if matches(instance) {
				t.drop(at, group, instance)
			}
		}
	}
}

// update begins and ends disagreements after an instance's primary of a group has changed.
func (t *disagreementTracker) update(at int64, group int, instance string) {
	for other := range t.primaries[group] {
		if other != instance {
			t.updatePair(at, pair{group: group, a: min(instance, other), b: max(instance, other)})
		}
	}
}

// updatePair ends the disagreement of a pair if it is over or has become another one, and begins one if the pair disagrees.
func (t *disagreementTracker) updatePair(at int64, p pair) {
	primaryA, hasA := t.primaries[p.group][p.a]
	primaryB, hasB := t.primaries[p.group][p.b]
	disagree := hasA && hasB && primaryA != primaryB
	if i, isOpen := t.open[p]; isOpen {
		known := &t.found[i]
		if disagree && known.PrimaryA == primaryA && known.PrimaryB == primaryB {
			return
		}
		known.To = at
		delete(t.open, p)
	}
	if disagree {
		t.open[p] = len(t.found)
		t.found = append(t.found, Disagreement{Group: p.group, InstanceA: p.a, InstanceB: p.b, PrimaryA: primaryA, PrimaryB: primaryB, From: at})
	}
}
