package purge

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"threadsail/internal/calendar"
)

// Event is one purge at one site, caused by a closing time, a change of the plan or an order.
type Event struct {
	ID      string // identifies the purge at every edge and across restarts
	At      int64  // Unix ns
	Cluster int    // or AllClusters
}

// Timetable holds the purges of one site according to one version of the documents. It is immutable and safe for concurrent use. Its times
// are Unix times in ns.
type Timetable struct {
	site        string
	bounds      Bounds
	knownFrom   int64              // purges before this time are unknown
	effectiveAt int64              // when the plan takes effect
	validUntil  int64              // when the plan expires
	previous    *calendar.Schedule // schedule before effectiveAt; nil if there is no previous plan or it lacks the site
	current     *calendar.Schedule // schedule from effectiveAt
	fixedEvents []Event            // plan changes and orders
}

// newTimetable returns the timetable of a site. It returns an error if the plan does not contain the site, or if the rules of the site's
// zone differ from those of the plan's writer.
func newTimetable(site string, p *Plan, orders []Order) (*Timetable, error) {
	t := &Timetable{site: site, bounds: p.Bounds, knownFrom: p.EffectiveAt, effectiveAt: p.EffectiveAt, validUntil: p.validUntil()}
	var err error
	if t.current, err = p.schedule(site); err != nil {
		return nil, err
	}
	if t.current == nil {
		return nil, fmt.Errorf("purge: plan %d has no site %q", p.Revision, site)
	}
	t.fixedEvents = append(t.fixedEvents, p.changeEvent())
	if p.Previous != nil {
		if err := t.addPrevious(p.Previous); err != nil {
			return nil, err
		}
	}
	for _, o := range orders {
		if o.Site == "" || o.Site == site {
			t.fixedEvents = append(t.fixedEvents, o.event())
		}
	}
	return t, nil
}

// addPrevious adds the schedule of the replaced plan, and applies the stricter of both plans' bounds.
func (t *Timetable) addPrevious(p *Plan) error {
	t.knownFrom = p.EffectiveAt
	t.bounds.MaxReplicaAge = min(t.bounds.MaxReplicaAge, p.Bounds.MaxReplicaAge)
	t.bounds.Guard = max(t.bounds.Guard, p.Bounds.Guard)
	t.fixedEvents = append(t.fixedEvents, p.changeEvent())
	schedule, err := p.schedule(t.site)
	t.previous = schedule
	return err
}

// event returns the purge that the order causes.
func (o Order) event() Event {
	e := Event{ID: "order " + o.Name, At: o.EffectiveAt, Cluster: AllClusters}
	if o.Cluster != nil {
		e.Cluster = *o.Cluster
	}
	return e
}

// Between returns the events after from and up to to, sorted by time and then by ID.
func (t *Timetable) Between(from, to int64) []Event {
	from = max(from, t.knownFrom-1)
	events := t.closeEvents(t.previous, from, min(to, t.effectiveAt-1))
	events = append(events, t.closeEvents(t.current, max(from, t.effectiveAt-1), to)...)
	for _, e := range t.fixedEvents {
		if e.At > from && e.At <= to {
			events = append(events, e)
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.At, b.At), strings.Compare(a.ID, b.ID))
	})
	return events
}

// closeEvents returns an event for each closing time of a schedule after from and up to to. A nil schedule has none.
func (t *Timetable) closeEvents(schedule *calendar.Schedule, from, to int64) []Event {
	if schedule == nil || from >= to {
		return nil
	}
	var events []Event
	for _, occurrence := range schedule.Between(time.Unix(0, from), time.Unix(0, to)) {
		events = append(events, Event{ID: fmt.Sprintf("close %s %s %s", t.site, occurrence.Date, occurrence.Close), At: occurrence.At.UnixNano(), Cluster: AllClusters})
	}
	return events
}
