package purge

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"threadsail/internal/calendar"
	"threadsail/internal/fleet/replication"
)

// Plan is the document with the calendars of all sites of the fleet. It includes the plan that it replaced, so that an edge that receives
// it late can still compute the purges before the change.
type Plan struct {
	Revision    uint64        `json:"revision"` // set by the operators; only increases
	EffectiveAt int64         `json:"at"`       // Unix ns; the change itself purges all sites
	Bounds      Bounds        `json:"bounds"`
	Book        calendar.Book `json:"book"`
	// ZoneDigests holds, by zone name, the digest of the zone's rules in the writer's zone data, from a month before EffectiveAt until
	// the plan expires.
	ZoneDigests map[string]uint64 `json:"zones"`
	Previous    *Plan             `json:"was,omitempty"` // the replaced plan, without its own Previous; nil for the first plan
}

// Order is the document of a purge that the operators ordered.
type Order struct {
	Name        string `json:"name"`
	EffectiveAt int64  `json:"at"`                // Unix ns
	Site        string `json:"site,omitempty"`    // empty: all sites
	Cluster     *int   `json:"cluster,omitempty"` // nil: all clusters
}

// validUntil returns when the plan expires, as a Unix time in ns.
func (p *Plan) validUntil() int64 { return p.EffectiveAt + int64(planValidity) }

// activationDelay returns the longer Bounds.activationDelay of the plan and of the previous plan, since an edge may still use the bounds of
// either.
func (p *Plan) activationDelay() time.Duration {
	if p.Previous != nil {
		return max(p.Bounds.activationDelay(), p.Previous.Bounds.activationDelay())
	}
	return p.Bounds.activationDelay()
}

// changeEvent returns the purge of all clusters that happens when the plan takes effect.
func (p *Plan) changeEvent() Event {
	return Event{ID: fmt.Sprintf("plan %d", p.Revision), At: p.EffectiveAt, Cluster: AllClusters}
}

// schedule returns the site's schedule, or nil if the plan does not contain the site. It returns an error if the rules of the site's zone
// differ from those of the plan's writer: with different zone data, edges of one site would purge at different instants.
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
		return nil, fmt.Errorf("purge: local rules of %s differ from those that plan %d was written with", plan.Zone, p.Revision)
	}
	return schedule, nil
}

// zoneDigest returns the digest of a zone's rules for a plan that takes effect at effectiveAt, a Unix time in ns.
func zoneDigest(zone *time.Location, effectiveAt int64) uint64 {
	from := time.Unix(0, effectiveAt)
	return calendar.Digest(zone, from.AddDate(0, -1, 0), from.Add(planValidity))
}

// zoneDigests returns, by zone name, the digests of the zones of all sites according to this process's zone data.
func zoneDigests(b calendar.Book, effectiveAt int64) (map[string]uint64, error) {
	digests := map[string]uint64{}
	for _, site := range b.Sites {
		zone, err := time.LoadLocation(site.Zone)
		if err != nil {
			return nil, fmt.Errorf("purge: load time zone of a site: %w", err)
		}
		digests[site.Zone] = zoneDigest(zone, effectiveAt)
	}
	return digests, nil
}

// parseDocuments decodes the plan and the orders among the documents. plan is nil if there is none.
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
