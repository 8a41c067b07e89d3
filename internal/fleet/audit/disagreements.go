package audit

// Disagreement is a period in which two poolers had different primaries of a group.
type Disagreement struct {
	Group     int    `json:"Group"`
	InstanceA string `json:"A"`
	InstanceB string `json:"B"`
	PrimaryA  string `json:"Of"`   // primary of InstanceA
	PrimaryB  string `json:"As"`   // primary of InstanceB
	From      int64  `json:"From"` // Unix time in ns
	To        int64  `json:"To"`   // Unix time in ns; 0 if it lasts until the end of the journals
}

// findDisagreements returns the periods in which two poolers had different primaries of a group.
func findDisagreements(records []Record) []Disagreement {
	tracker := disagreementTracker{primaries: map[int]map[string]string{}, ongoing: map[instancePair]int{}}
	for _, r := range records {
		switch r.Act {
		case PrimaryAdopted:
			tracker.adopt(r)
		case PrimaryDropped:
			tracker.drop(r.At, r.Group, r.Instance)
		case Ended:
			tracker.dropAll(r.At, func(instance string) bool { return instance == r.Instance })
		case Started:
			tracker.dropAll(r.At, func(instance string) bool { return isSamePooler(instance, r.Instance) })
		}
	}
	return tracker.found
}

// instancePair is a pair of instances that have a primary of the same group. a sorts before b.
type instancePair struct {
	group int
	a, b  string
}

// disagreementTracker tracks the primaries of all instances and the disagreements between them.
type disagreementTracker struct {
	primaries map[int]map[string]string // by group, then by instance
	ongoing   map[instancePair]int      // index in found of each disagreement that has not ended
	found     []Disagreement
}

// adopt sets the primary of an instance in a group and updates the disagreements.
func (t *disagreementTracker) adopt(r Record) {
	if t.primaries[r.Group] == nil {
		t.primaries[r.Group] = map[string]string{}
	}
	t.primaries[r.Group][r.Instance] = r.Server
	t.update(r.At, r.Group, r.Instance)
}

// drop removes the primary of an instance in a group and updates the disagreements.
func (t *disagreementTracker) drop(at int64, group int, instance string) {
	delete(t.primaries[group], instance)
	t.update(at, group, instance)
}

// dropAll drops the primaries of the matching instances in all groups.
func (t *disagreementTracker) dropAll(at int64, matches func(instance string) bool) {
	for group, primaries := range t.primaries {
		for instance := range primaries {
			if matches(instance) {
				t.drop(at, group, instance)
			}
		}
	}
}

// update begins and ends disagreements after a change of an instance's primary of a group.
func (t *disagreementTracker) update(at int64, group int, instance string) {
	for other := range t.primaries[group] {
		if other != instance {
			t.updatePair(at, instancePair{group: group, a: min(instance, other), b: max(instance, other)})
		}
	}
}

// updatePair ends the ongoing disagreement of a pair if either primary has changed, and begins a new one if the primaries differ.
func (t *disagreementTracker) updatePair(at int64, pair instancePair) {
	primaryA, hasA := t.primaries[pair.group][pair.a]
	primaryB, hasB := t.primaries[pair.group][pair.b]
	disagree := hasA && hasB && primaryA != primaryB
	if i, isOngoing := t.ongoing[pair]; isOngoing {
		known := &t.found[i]
		if disagree && known.PrimaryA == primaryA && known.PrimaryB == primaryB {
			return
		}
		known.To = at
		delete(t.ongoing, pair)
	}
	if disagree {
		t.ongoing[pair] = len(t.found)
		t.found = append(t.found, Disagreement{Group: pair.group, InstanceA: pair.a, InstanceB: pair.b, PrimaryA: primaryA, PrimaryB: primaryB, From: at})
	}
}
