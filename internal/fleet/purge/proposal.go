package purge

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"threadsail/internal/calendar"
	"threadsail/internal/fleet/replication"
)

// Proposal is what one pooler's operators have in their file. Nothing follows from it until the documents say so.
type Proposal struct {
	Revision uint64 // a plan is written if the fleet's has a lower one; 0: no plan is proposed
	Bounds   Bounds
	Book     calendar.Book
	Orders   []RequestedOrder
}

// RequestedOrder is a purge that the operators order.
type RequestedOrder struct {
	Name    string
	Issued  time.Time
	Site    string // empty: all sites
	Cluster *int   // nil: all clusters
}

// orderFreshness is for how long after it was issued an order in a file counts. It is shorter than orders are remembered, so that an order
// whose document was deleted is not written again.
const orderFreshness = 24 * time.Hour

// documentWrite is a document to be written or, with a nil value, deleted.
type documentWrite struct {
	key             string
	expectedVersion uint64
	value           []byte
}

// errConflictingPlan tells that the file's plan will never be the fleet's.
var errConflictingPlan = errors.New("purge: this file's plan differs from the fleet's of the same revision")

// nextWrite decides the next write that the documents need to hold the proposal, as of now on the writer's clock. A nil write means that
// there is none now; again is after how long there may be one, 0: not before something changes. The error says what the operators must
// mend in the file; a write may be due all the same.
func (p Proposal) nextWrite(documents []replication.Document, now int64) (w *documentWrite, again time.Duration, err error) {
	plan, version, err := findPlan(documents)
	if err != nil {
		return nil, 0, err
	}
	step := p.planAction(plan, now)
	switch step {
	case planNeedsWrite:
		value, err := p.encodePlan(plan, now)
		return &documentWrite{key: planKey, expectedVersion: version, value: value}, 0, err
	case planMustWait:
		return nil, time.Duration(plan.EffectiveAt+int64(plan.Bounds.Guard)-now) + time.Millisecond, nil
	case planConflicts:
		err = errConflictingPlan
	}
	if plan != nil { // without a plan nothing is cached, so nothing is purged
		var orderErr error
		w, again, orderErr = p.nextOrder(plan, documents, now)
		if w != nil {
			return w, 0, orderErr
		}
	}
	if expired := expiredOrderDeletion(documents, now); expired != nil {
		return expired, 0, err
	}
	return nil, again, err
}

// findPlan returns the plan among the documents and its version; nil if there is none.
func findPlan(documents []replication.Document) (plan *Plan, version uint64, err error) {
	for _, d := range documents {
		if d.Key != planKey {
			continue
		}
		plan = &Plan{}
		version = d.Version
		if err := json.Unmarshal(d.Value, plan); err != nil {
			return nil, 0, fmt.Errorf("purge: decode %s: %w", planKey, err)
		}
	}
	return plan, version, nil
}

// planAction is what is to be done about the plan.
type planAction int

const (
	planUnchanged  planAction = iota // the fleet has the proposal's plan, or a later one, or none is proposed
	planNeedsWrite                   // the proposal's plan is to be written
	planMustWait                     // the fleet's plan is not in force yet; what it replaced must be known to all before it is dropped
	planConflicts                    // the fleet has another plan of the same revision
)

// planAction decides what is to be done about the plan; plan is the fleet's, nil if there is none.
func (p Proposal) planAction(plan *Plan, now int64) planAction {
	switch {
	case p.Revision == 0:
		return planUnchanged
	case plan == nil:
		return planNeedsWrite
	case p.Revision < plan.Revision:
		return planUnchanged
	case p.Revision > plan.Revision && now <= plan.EffectiveAt+int64(plan.Bounds.Guard):
		return planMustWait
	case p.Revision > plan.Revision:
		return planNeedsWrite
	case sameBook(p.Book, plan.Book) && p.Bounds == plan.Bounds:
		return planUnchanged
	}
	return planConflicts
}

// nextOrder returns the write of the first requested order that the documents lack; again is after how long the next one will have been
// issued, 0: there is none.
func (p Proposal) nextOrder(plan *Plan, documents []replication.Document, now int64) (w *documentWrite, again time.Duration, err error) {
	for _, requested := range p.Orders {
		key := orderPrefix + requested.Name
		age := time.Duration(now - requested.Issued.UnixNano())
		known := slices.ContainsFunc(documents, func(d replication.Document) bool { return d.Key == key })
		switch {
		case known || age > orderFreshness:
		case age < 0:
			if again == 0 || -age < again {
				again = -age
			}
		default:
			order := Order{Name: requested.Name, EffectiveAt: now + int64(plan.activationDelay()), Site: requested.Site, Cluster: requested.Cluster}
			value, err := json.Marshal(order)
			return &documentWrite{key: key, value: value}, 0, err
		}
	}
	return nil, again, nil
}

// expiredOrderDeletion returns the deletion of an order that is remembered no longer; nil if there is none.
func expiredOrderDeletion(documents []replication.Document, now int64) *documentWrite {
	retainedSince := now - int64(eventRetention+orderFreshness)
	for _, d := range documents {
		var order Order
		if !strings.HasPrefix(d.Key, orderPrefix) || json.Unmarshal(d.Value, &order) != nil {
			continue
		}
		if order.EffectiveAt < retainedSince {
			return &documentWrite{key: d.Key, expectedVersion: d.Version}
		}
	}
	return nil
}

// encodePlan returns the document of the proposal's plan, which replaces old; nil if it is the first.
func (p Proposal) encodePlan(old *Plan, now int64) ([]byte, error) {
	plan := Plan{Revision: p.Revision, Bounds: p.Bounds, Book: p.Book}
	reach := p.Bounds.activationDelay()
	if old != nil {
		reach = max(reach, old.activationDelay())
		previous := *old
		previous.Previous = nil
		plan.Previous = &previous
	}
	plan.EffectiveAt = now + int64(reach)
	var err error
	if plan.ZoneDigests, err = zoneDigests(p.Book, plan.EffectiveAt); err != nil {
		return nil, err
	}
	return json.Marshal(plan)
}

// sameBook reports whether two books are encoded alike.
func sameBook(a, b calendar.Book) bool {
	encodedA, errA := json.Marshal(a)
	encodedB, errB := json.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}
