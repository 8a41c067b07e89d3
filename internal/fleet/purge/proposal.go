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

// Proposal is the plan and the orders in the configuration file of one pooler. It has no effect until a pooler has written it to the shared
// documents.
type Proposal struct {
	Revision uint64 // the plan is written if the fleet's revision is lower; 0: no plan is proposed
	Bounds   Bounds
	Book     calendar.Book
	Orders   []RequestedOrder
}

// RequestedOrder is a purge that the operators request in the configuration file.
type RequestedOrder struct {
	Name    string
	Issued  time.Time
	Site    string // empty: all sites
	Cluster *int   // nil: all clusters
}

// orderFreshness is the time after which an order in the configuration file is ignored, counted from its issue. It is shorter than the
// retention of order documents, so that an order whose document was deleted is not written again.
const orderFreshness = 24 * time.Hour

// documentWrite is a pending write of a document. A nil value deletes the document.
type documentWrite struct {
	key             string
	expectedVersion uint64
	value           []byte
}

// errConflictingPlan is returned for a plan that can't be written, because the fleet has a different plan of the same revision.
var errConflictingPlan = errors.New("purge: plan in the configuration file differs from the fleet's plan of the same revision")

// nextWrite returns the next write that is needed to bring the documents in line with the proposal. now is the time on the writer's clock.
// The write is nil if none is due; retryAfter is then the time until one may be, or 0 if none will be until the documents or the proposal
// change. An error means that a document can't be decoded or encoded, or that the plan conflicts with the fleet's. errConflictingPlan is
// returned only while no order is due; the write may then be the deletion of an expired order. With any other error, no write must be made.
func (p Proposal) nextWrite(documents []replication.Document, now int64) (write *documentWrite, retryAfter time.Duration, err error) {
	plan, version, err := findPlan(documents)
	if err != nil {
		return nil, 0, err
	}
	action := p.planAction(plan, now)
	switch action {
	case planNeedsWrite:
		value, err := p.encodePlan(plan, now)
		return &documentWrite{key: planKey, expectedVersion: version, value: value}, 0, err
	case planMustWait:
		return nil, time.Duration(plan.EffectiveAt+int64(plan.Bounds.Guard)-now) + time.Millisecond, nil
	case planConflicts:
		err = errConflictingPlan
	}
	if plan != nil { // without a plan nothing is cached, so there is nothing to purge
		var orderErr error
		write, retryAfter, orderErr = p.nextOrder(plan, documents, now)
		if write != nil {
			return write, 0, orderErr
		}
	}
	if expired := expiredOrderDeletion(documents, now); expired != nil {
		return expired, 0, err
	}
	return nil, retryAfter, err
}

// findPlan returns the plan among the documents and its document version, or nil if there is none.
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

// planAction is the next step for the plan document.
type planAction int

const (
	planUnchanged  planAction = iota // the fleet has the proposed plan or a later one, or none is proposed
	planNeedsWrite                   // the proposed plan must be written
	planMustWait                     // the fleet's plan is not in force yet; until then its document must keep the plan before it
	planConflicts                    // the fleet has a different plan of the same revision
)

// planAction returns the next step for the plan document. plan is the fleet's plan, or nil if there is none.
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

// nextOrder returns the write of the first requested order that the documents lack. If there is none, retryAfter is the time until the next
// order is issued, or 0.
func (p Proposal) nextOrder(plan *Plan, documents []replication.Document, now int64) (write *documentWrite, retryAfter time.Duration, err error) {
	for _, requested := range p.Orders {
		key := orderPrefix + requested.Name
		age := time.Duration(now - requested.Issued.UnixNano())
		known := slices.ContainsFunc(documents, func(d replication.Document) bool { return d.Key == key })
		switch {
		case known || age > orderFreshness:
		case age < 0:
			if retryAfter == 0 || -age < retryAfter {
				retryAfter = -age
			}
		default:
			order := Order{Name: requested.Name, EffectiveAt: now + int64(plan.activationDelay()), Site: requested.Site, Cluster: requested.Cluster}
			value, err := json.Marshal(order)
			return &documentWrite{key: key, value: value}, 0, err
		}
	}
	return nil, retryAfter, nil
}

// expiredOrderDeletion returns the deletion of the first order whose retention has ended, or nil if there is none.
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

// encodePlan returns the encoded document of the proposed plan. replaced is the fleet's plan, or nil if there is none.
func (p Proposal) encodePlan(replaced *Plan, now int64) ([]byte, error) {
	plan := Plan{Revision: p.Revision, Bounds: p.Bounds, Book: p.Book}
	delay := p.Bounds.activationDelay()
	if replaced != nil {
		delay = max(delay, replaced.activationDelay())
		previous := *replaced
		previous.Previous = nil
		plan.Previous = &previous
	}
	plan.EffectiveAt = now + int64(delay)
	var err error
	if plan.ZoneDigests, err = zoneDigests(p.Book, plan.EffectiveAt); err != nil {
		return nil, err
	}
	return json.Marshal(plan)
}

// sameBook reports whether two books have the same JSON encoding.
func sameBook(a, b calendar.Book) bool {
	encodedA, errA := json.Marshal(a)
	encodedB, errB := json.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}
