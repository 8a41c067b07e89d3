package purge

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"threadsail/internal/calendar"
	"threadsail/internal/fleet/replication"
)

// The documents of purges.
const (
	keyPrefix   = "purge/"
	planKey     = "purge/plan"
	orderPrefix = "purge/order/"
)

const (
	// planValidity is how long a plan holds: two editions of zone data are compared so far ahead. A term's calendar comes sooner.
	planValidity = 400 * 24 * time.Hour
	// eventRetention is how far back an edge that was out catches up, and how long an order stays a document.
	eventRetention = 7 * 24 * time.Hour
)

// Bounds is what the whole fleet holds to. It travels with the plan, so that all edges go by the same.
type Bounds struct {
	Guard         time.Duration `json:"guard_ns"`   // how far a clock that is trusted may be off
	MaxReplicaAge time.Duration `json:"confirm_ns"` // how old a copy of the documents may be that cached answers are served by
	Settle        time.Duration `json:"settle_ns"`  // how long after a purge replicas may still answer from before it
	WriteLead     time.Duration `json:"lead_ns"`    // how long the stewards may take over a write that its writer has sent
}

// reach is how far ahead of its writing an order or a plan takes effect. An edge whose copy lacks it by then must have stopped
// serving from its cache: its copy is as of a time before the write was applied, Lead after it was sent at most, and good for
// Confirm. The writer's clock may be behind by a guard.
func (b Bounds) reach() time.Duration { return b.MaxReplicaAge + b.WriteLead + b.Guard }

// Plan is the calendars of all sites, one document for the fleet. It names what it took the place of, so that whoever comes late
// to a change knows both sides of it.
type Plan struct {
	Revision    uint64        `json:"revision"` // the operators', which only grows
	EffectiveAt int64         `json:"at"`       // in force from then on, Unix ns, which is a purge of its own at all sites
	Bounds      Bounds        `json:"bounds"`
	Book        calendar.Book `json:"book"`
	// ZoneDigests has the digest of each zone's rules, from At less a month to At and planFor, as the writer's zone data has them.
	ZoneDigests map[string]uint64 `json:"zones"`
	Previous    *Plan             `json:"was,omitempty"` // its own Was is nil
}

// Order is a purge by hand.
type Order struct {
	Name        string `json:"name"`
	EffectiveAt int64  `json:"at"`                // Unix ns
	Site        string `json:"site,omitempty"`    // empty: all
	Cluster     *int   `json:"cluster,omitempty"` // nil: all
}

func (p *Plan) validUntil() int64 { return p.EffectiveAt + int64(planValidity) }

// zoneDigests has the zones of a book as this process's zone data has them.
func zoneDigests(b calendar.Book, at int64) (map[string]uint64, error) {
	out := map[string]uint64{}
	for _, s := range b.Sites {
		zone, err := time.LoadLocation(s.Zone)
		if err != nil {
			return nil, err
		}
		from := time.Unix(0, at)
		out[s.Zone] = calendar.Digest(zone, from.AddDate(0, -1, 0), from.Add(planValidity))
	}
	return out, nil
}

// parseDocuments reads the documents of purges. plan is nil while there is none.
func parseDocuments(docs []replication.Document) (plan *Plan, orders []Order, err error) {
	for _, d := range docs {
		var o Order
		switch {
		case d.Key == planKey:
			plan = &Plan{}
			err = json.Unmarshal(d.Value, plan)
		case strings.HasPrefix(d.Key, orderPrefix):
			err = json.Unmarshal(d.Value, &o)
			orders = append(orders, o)
		}
		if err != nil {
			return nil, nil, fmt.Errorf("%s: %w", d.Key, err)
		}
	}
	return plan, orders, nil
}

// Event is one purge of one site: a close, a change of the plan or an order.
type Event struct {
	ID      string // names it for good, the same at every edge
	At      int64  // Unix ns
	Cluster int    // All: not only one
}

// AllClusters stands for all clusters.
const AllClusters = -1

// Timetable is a site's purges, by the documents of one version. It does not change and is safe for use by several goroutines.
type Timetable struct {
	site              string
	bounds            Bounds
	knownFrom         int64 // nothing is known of before
	planAt            int64 // the plan's
	until             int64
	previous, current *calendar.Schedule // nil: the site has none
	fixedEvents       []Event            // changes of the plan and orders
}

// newTimetable fails where the plan can't be told what it says: the site is not in it, or the zone's rules differ from its
// writer's.
func newTimetable(site string, p *Plan, orders []Order) (*Timetable, error) {
	t := &Timetable{site: site, bounds: p.Bounds, knownFrom: p.EffectiveAt, planAt: p.EffectiveAt, until: p.validUntil()}
	var err error
	if t.current, err = compileSchedule(site, p); err != nil {
		return nil, err
	}
	if t.current == nil {
		return nil, fmt.Errorf("purge: plan %d has no site %q", p.Revision, site)
	}
	t.fixedEvents = append(t.fixedEvents, p.changeEvent())
	if p.Previous != nil {
		t.knownFrom = p.Previous.EffectiveAt
		t.bounds.MaxReplicaAge, t.bounds.Guard = min(t.bounds.MaxReplicaAge, p.Previous.Bounds.MaxReplicaAge), max(t.bounds.Guard, p.Previous.Bounds.Guard)
		t.fixedEvents = append(t.fixedEvents, p.Previous.changeEvent())
		if t.previous, err = compileSchedule(site, p.Previous); err != nil {
			return nil, err
		}
	}
	for _, o := range orders {
		if o.Site != "" && o.Site != site {
			continue
		}
		e := Event{ID: "order " + o.Name, At: o.EffectiveAt, Cluster: AllClusters}
		if o.Cluster != nil {
			e.Cluster = *o.Cluster
		}
		t.fixedEvents = append(t.fixedEvents, e)
	}
	return t, nil
}

func (p *Plan) changeEvent() Event {
	return Event{ID: fmt.Sprintf("plan %d", p.Revision), At: p.EffectiveAt, Cluster: AllClusters}
}

// compileSchedule is the site's own, nil if the plan has none. The rules of its zone must be the writer's: two editions of zone data
// would close at two instants.
func compileSchedule(site string, p *Plan) (*calendar.Schedule, error) {
	plan, ok := p.Book.Plan(site)
	if !ok {
		return nil, nil
	}
	s, err := calendar.Compile(plan)
	if err != nil {
		return nil, fmt.Errorf("purge: plan %d: %w", p.Revision, err)
	}
	at := time.Unix(0, p.EffectiveAt)
	if calendar.Digest(s.Zone, at.AddDate(0, -1, 0), at.Add(planValidity)) != p.ZoneDigests[plan.Zone] {
		return nil, fmt.Errorf("purge: the rules of %s here are not those that plan %d was written by", plan.Zone, p.Revision)
	}
	return s, nil
}

// Between are the events after from and up to to, in their order.
func (t *Timetable) Between(from, to int64) []Event {
	from = max(from, t.knownFrom-1)
	var out []Event
	add := func(s *calendar.Schedule, from, to int64) {
		if s == nil || from >= to {
			return
		}
		for _, o := range s.Between(time.Unix(0, from), time.Unix(0, to)) {
			out = append(out, Event{ID: fmt.Sprintf("close %s %s %s", t.site, o.Date, o.Close), At: o.At.UnixNano(), Cluster: AllClusters})
		}
	}
	add(t.previous, from, min(to, t.planAt-1))
	add(t.current, max(from, t.planAt-1), to)
	for _, e := range t.fixedEvents {
		if e.At > from && e.At <= to {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b Event) int {
		if a.At != b.At {
			return int(min(max(a.At-b.At, -1), 1))
		}
		return strings.Compare(a.ID, b.ID)
	})
	return out
}
