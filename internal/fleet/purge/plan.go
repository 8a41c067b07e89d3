package purge

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"threadsail/internal/calendar"
	"threadsail/internal/fleet/replication"
)

// Plan is the calendars of all sites, one document for the fleet. It holds the plan that it replaced, so that an edge that learns late of
// the change knows both.
type Plan struct {
	Revision    uint64        `json:"revision"` // the operators', which only grows
	EffectiveAt int64         `json:"at"`       // Unix ns; the change is a purge of all sites itself
	Bounds      Bounds        `json:"bounds"`
	Book        calendar.Book `json:"book"`
	// ZoneDigests has, by zone, the digest of the zone's rules from a month before EffectiveAt until the plan expires, as the writer's
	// zone data have them.
	ZoneDigests map[string]uint64 `json:"zones"`
	Previous    *Plan             `json:"was,omitempty"` // its own Previous is nil
}

// Order is a purge by the operators' order.
type Order struct {
	Name        string `json:"name"`
	EffectiveAt int64  `json:"at"`                // Unix ns
	Site        string `json:"site,omitempty"`    // empty: all sites
	Cluster     *int   `json:"cluster,omitempty"` // nil: all clusters
}

// validUntil is when the plan expires, as Unix time in ns.
func (p *Plan) validUntil() int64 { return p.EffectiveAt + int64(planValidity) }

// activationDelay is Bounds.activationDelay by whichever bounds an edge may keep to: those of the plan or of the plan before it.
func (p *Plan) activationDelay() time.Duration {
	if p.Previous != nil {
		return max(p.Bounds.activationDelay(), p.Previous.Bounds.activationDelay())
	}
	return p.Bounds.activationDelay()
}

// changeEvent is the purge that the plan's taking effect is.
func (p *Plan) changeEvent() Event {
	return Event{ID: fmt.Sprintf("plan %d", p.Revision), At: p.EffectiveAt, Cluster: AllClusters}
}

// schedule returns the site's schedule, nil if the plan has no such site. The rules of its zone must be those of the plan's writer: by two
// editions of zone data a site would close at two instants.
func (p *Plan) schedule(site string) (*calendar.Schedule, error) {
	plan, ok := p.Book.Plan(site)
	if !ok {
		return nil, nil
	}
	schedule, err := calendar.Compile(plan)
	if err != nil {
		return nil, fmt.Errorf("purge: plan %d: %w", p.Revision, err)
	}
	if zoneDigest(schedule.Zone, p.EffectiveAt) != p.ZoneDigests[plan.Zone] {
		return nil, fmt.Errorf("purge: the rules of %s here are not those that plan %d was written by", plan.Zone, p.Revision)
	}
	return schedule, nil
}

// zoneDigest is the digest of a zone's rules for a plan that takes effect at a time.
func zoneDigest(zone *time.Location, effectiveAt int64) uint64 {
	from := time.Unix(0, effectiveAt)
	return calendar.Digest(zone, from.AddDate(0, -1, 0), from.Add(planValidity))
}

// zoneDigests returns the digests of a book's zones as this process's zone data have them.
func zoneDigests(b calendar.Book, effectiveAt int64) (map[string]uint64, error) {
	digests := map[string]uint64{}
	for _, site := range b.Sites {
		zone, err := time.LoadLocation(site.Zone)
		if err != nil {
			return nil, fmt.Errorf("purge: zone of a site: %w", err)
		}
		digests[site.Zone] = zoneDigest(zone, effectiveAt)
	}
	return digests, nil
}

// parseDocuments decodes the documents of purges. plan is nil if there is none.
func parseDocuments(documents []replication.Document) (plan *Plan, orders []Order, err error) {
	for _, d := range documents {
		switch {
		case d.Key == planKey:
			plan = &Plan{}
			err = json.Unmarshal(d.Value, plan)
		case strings.HasPrefix(d.Key, orderPrefix):
			var order Order
			err = json.Unmarshal(d.Value, &order)
			orders = append(orders, order)
		}
		if err != nil {
			return nil, nil, fmt.Errorf("purge: decode %s: %w", d.Key, err)
		}
	}
	return plan, orders, nil
}
