package purge

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"threadsail/internal/fleet/replication"
)

// A plan is refused by an edge whose site it lacks, or whose zone data differ from its writer's.
func TestUnusablePlan(t *testing.T) {
	p := dailyCloseProposal(1, 10)
	value, err := p.encodePlan(nil, time.Now().UnixNano())
	var plan Plan
	if err == nil {
		err = json.Unmarshal(value, &plan)
	}
	if err != nil {
		t.Fatal(err)
	}
	if _, err := newTimetable("a", &plan, nil); err != nil {
		t.Error(err)
	}
	if _, err := newTimetable("c", &plan, nil); err == nil || !strings.Contains(err.Error(), "no site") {
		t.Errorf("a site that is missing: %v", err)
	}
	plan.ZoneDigests["UTC"]++
	if _, err := newTimetable("a", &plan, nil); err == nil || !strings.Contains(err.Error(), "rules of UTC") {
		t.Errorf("other rules: %v", err)
	}
}

// stored returns the documents that a write leaves.
func stored(w *documentWrite) []replication.Document {
	return []replication.Document{{Key: w.key, Version: 1, Value: w.value}}
}

// mustWrite returns the next write of a proposal.
func mustWrite(t *testing.T, p Proposal, documents []replication.Document, now int64) *documentWrite {
	t.Helper()
	w, _, err := p.nextWrite(documents, now)
	if err != nil || w == nil {
		t.Fatalf("%+v %v: want a write", w, err)
	}
	return w
}

// planTestStart is when the plans of these tests are written.
var planTestStart = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC).UnixNano()

// A plan is written once; another plan of its revision is refused, and a newer one waits until it is in force.
func TestPlanIsWrittenOnce(t *testing.T) {
	now := planTestStart
	first := mustWrite(t, dailyCloseProposal(1, 10), nil, now)
	if first.expectedVersion != 0 {
		t.Fatalf("%+v", first)
	}
	if w, _, err := dailyCloseProposal(1, 10).nextWrite(stored(first), now); w != nil || err != nil {
		t.Errorf("written twice: %+v %v", w, err)
	}
	if _, _, err := dailyCloseProposal(1, 11).nextWrite(stored(first), now); !errors.Is(err, errConflictingPlan) {
		t.Errorf("two plans of one revision: %v", err)
	}
	if w, again, _ := dailyCloseProposal(2, 11).nextWrite(stored(first), now); w != nil || again <= 0 {
		t.Error("a plan takes the place of one that is not in force yet")
	}
}

// A plan takes effect a reach later; until then, and for an edge that learns of it late, the plan before it holds.
func TestPlanReplacesPrevious(t *testing.T) {
	now := planTestStart
	later := now + int64(time.Hour)
	first := mustWrite(t, dailyCloseProposal(1, 10), nil, now)
	second := mustWrite(t, dailyCloseProposal(2, 70), stored(first), later)
	var plan Plan
	if err := json.Unmarshal(second.value, &plan); err != nil {
		t.Fatal(err)
	}
	if plan.EffectiveAt != later+int64(bounds.activationDelay()) || plan.Previous == nil || plan.Previous.Previous != nil || second.expectedVersion != 1 {
		t.Errorf("%+v", plan)
	}
	timetable, err := newTimetable("a", &plan, nil)
	if err != nil {
		t.Fatal(err)
	}
	var ids []string
	for _, e := range timetable.Between(now, now+int64(2*time.Hour)) {
		ids = append(ids, e.ID)
	}
	if want := []string{"plan 1", "close a 2026-12-02 00:10", "plan 2", "close a 2026-12-02 01:10"}; !slices.Equal(ids, want) {
		t.Errorf("%q, want %q", ids, want)
	}
}

// An order is written while it is fresh, and deleted when it is remembered no longer.
func TestOrderIsWrittenWhileFresh(t *testing.T) {
	later := planTestStart + int64(time.Hour)
	first := mustWrite(t, dailyCloseProposal(1, 10), nil, planTestStart)
	plan := mustWrite(t, dailyCloseProposal(2, 70), stored(first), later)
	requested := RequestedOrder{Name: "w", Issued: time.Unix(0, later)}
	if w, _, _ := dailyCloseProposal(1, 10, requested).nextWrite(stored(plan), later); w == nil || w.key != orderPrefix+"w" {
		t.Errorf("an order is not written: %+v", w)
	}
	if w, _, _ := dailyCloseProposal(1, 10, requested).nextWrite(stored(plan), later+int64(orderFreshness)+1); w != nil {
		t.Errorf("an old order is written: %+v", w)
	}
	old := replication.Document{Key: orderPrefix + "w", Version: 7, Value: []byte(`{"name":"w","at":1}`)}
	if w, _, _ := dailyCloseProposal(1, 10, requested).nextWrite(append(stored(plan), old), later); w == nil || w.value != nil || w.expectedVersion != 7 {
		t.Errorf("an order of long ago stays: %+v", w)
	}
}

// A document that holds anything is refused, or gives a timetable whose events are in order and within what was asked for.
func FuzzPlan(f *testing.F) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC).UnixNano()
	value, err := dailyCloseProposal(1, 70).encodePlan(nil, now)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value, []byte(`{"name":"x","at":1,"cluster":2}`))
	f.Fuzz(func(t *testing.T, plan, order []byte) {
		p, orders, err := parseDocuments([]replication.Document{{Key: planKey, Value: plan}, {Key: orderPrefix + "x", Value: order}})
		if err != nil {
			return
		}
		table, err := newTimetable("a", p, orders)
		if err != nil {
			return
		}
		last := now
		for _, e := range table.Between(now, now+int64(48*time.Hour)) {
			if e.At < last || e.At > now+int64(48*time.Hour) {
				t.Fatalf("%+v", e)
			}
			last = e.At
		}
	})
}
