package purge

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"threadsail/internal/calendar"
	"threadsail/internal/fleet/replication"
)

// Proposal is what one pooler's operators have in their file. It binds nobody: what is in force is what the documents say.
type Proposal struct {
	Revision uint64 // a plan is written if the fleet's has a lower one; 0: none is proposed
	Bounds   Bounds
	Book     calendar.Book
	Orders   []RequestedOrder
}

// RequestedOrder is a purge that the operators order by hand.
type RequestedOrder struct {
	Name    string
	Issued  time.Time
	Site    string // empty: all
	Cluster *int   // nil: all
}

// orderFreshness is how long a wish in a file counts. It is less than orders are remembered for, so that one whose document is gone
// is not written again.
const orderFreshness = 24 * time.Hour

// documentWrite is one document to be written or, with Value nil, deleted.
type documentWrite struct {
	key             string
	expectedVersion uint64
	value           []byte
}

// errConflictingPlan tells of a file whose plan the fleet will never take.
var errConflictingPlan = errors.New("purge: this file's plan differs from the fleet's of the same revision")

// nextWrite is what the documents still lack of a proposal, by one write, as of now on the writer's clock; again: there may be more to
// do after so long, 0: not before something changes. It errs where the file must be mended.
func (p Proposal) nextWrite(docs []replication.Document, now int64) (w *documentWrite, again time.Duration, err error) {
	var plan *Plan
	var version uint64
	for _, d := range docs {
		if d.Key == planKey {
			plan, version = &Plan{}, d.Version
			if err := json.Unmarshal(d.Value, plan); err != nil {
				return nil, 0, fmt.Errorf("%s: %w", planKey, err)
			}
		}
	}
	switch {
	case p.Revision == 0 || plan != nil && p.Revision < plan.Revision:
	case plan != nil && p.Revision == plan.Revision:
		if !sameBook(p.Book, plan.Book) || p.Bounds != plan.Bounds {
			err = errConflictingPlan
		}
	case plan != nil && now <= plan.EffectiveAt+int64(plan.Bounds.Guard): // what Was holds must be known to all before it is let go
		return nil, time.Duration(plan.EffectiveAt+int64(plan.Bounds.Guard)-now) + time.Millisecond, nil
	default:
		value, err := p.encodePlan(plan, now)
		return &documentWrite{planKey, version, value}, 0, err
	}
	for _, wish := range p.Orders {
		if plan == nil { // without a plan nothing is cached
			break
		}
		age := time.Duration(now - wish.Issued.UnixNano())
		known := slices.ContainsFunc(docs, func(d replication.Document) bool { return d.Key == orderPrefix+wish.Name })
		switch {
		case known || age > orderFreshness:
		case age < 0:
			if again == 0 || -age < again {
				again = -age
			}
		default:
			value, err := json.Marshal(Order{Name: wish.Name, EffectiveAt: now + int64(plan.reach()), Site: wish.Site, Cluster: wish.Cluster})
			return &documentWrite{orderPrefix + wish.Name, 0, value}, 0, err
		}
	}
	for _, d := range docs {
		var o Order
		if strings.HasPrefix(d.Key, orderPrefix) && json.Unmarshal(d.Value, &o) == nil && o.EffectiveAt < now-int64(eventRetention+orderFreshness) {
			return &documentWrite{d.Key, d.Version, nil}, 0, err
		}
	}
	return nil, again, err
}

// reach is Bounds.reach by whichever bounds an edge may go by: those of the plan, or of the one before it.
func (p *Plan) reach() time.Duration {
	if p.Previous != nil {
		return max(p.Bounds.reach(), p.Previous.Bounds.reach())
	}
	return p.Bounds.reach()
}

// encodePlan is the document for a plan that takes the place of old, nil: the first.
func (p Proposal) encodePlan(old *Plan, now int64) ([]byte, error) {
	next := Plan{Revision: p.Revision, Bounds: p.Bounds, Book: p.Book}
	reach := p.Bounds.reach()
	if old != nil {
		was := *old
		reach = max(reach, old.reach())
		was.Previous, next.Previous = nil, &was
	}
	next.EffectiveAt = now + int64(reach)
	var err error
	if next.ZoneDigests, err = zoneDigests(p.Book, next.EffectiveAt); err != nil {
		return nil, err
	}
	return json.Marshal(next)
}

func sameBook(a, b calendar.Book) bool {
	x, err1 := json.Marshal(a)
	y, err2 := json.Marshal(b)
	return cmp.Or(err1, err2) == nil && bytes.Equal(x, y)
}
