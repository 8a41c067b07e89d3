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

// TestUnusablePlan checks that an edge rejects a plan without its site, or written with other zone data than its own.
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
		t.Errorf("plan without the site: got error %v", err)
	}
	plan.ZoneDigests["UTC"]++
	if _, err := newTimetable("a", &plan, nil); err == nil || !strings.Contains(err.Error(), "rules of UTC") {
		t.Errorf("plan with other zone rules: got error %v", err)
	}
}

// stored returns the documents after a write to an empty store.
func stored(write *documentWrite) []replication.Document {
	return []replication.Document{{Key: write.key, Version: 1, Value: write.value}}
}

// mustWrite returns the next write of a proposal. It fails the test if there is none.
func mustWrite(t *testing.T, p Proposal, documents []replication.Document, now int64) *documentWrite {
	t.Helper()
	write, _, err := p.nextWrite(documents, now)
	if err != nil || write == nil {
		t.Fatalf("got write %+v, error %v; want a write", write, err)
	}
	return write
}

// planTestStart is the time at which the tests write their first plan, a Unix time in ns.
var planTestStart = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC).UnixNano()

// TestPlanIsWrittenOnce checks that a stored plan is not written again, that a different plan of the same revision is rejected, and that a
// plan of a higher revision waits until the stored one is in force.
func TestPlanIsWrittenOnce(t *testing.T) {
	now := planTestStart
	first := mustWrite(t, dailyCloseProposal(1, 10), nil, now)
	if first.expectedVersion != 0 {
		t.Fatalf("got first write %+v, want expected version 0", first)
	}
	if write, _, err := dailyCloseProposal(1, 10).nextWrite(stored(first), now); write != nil || err != nil {
		t.Errorf("stored plan: got write %+v, error %v; want none", write, err)
	}
	if _, _, err := dailyCloseProposal(1, 11).nextWrite(stored(first), now); !errors.Is(err, errConflictingPlan) {
		t.Errorf("different plan of the same revision: got error %v, want errConflictingPlan", err)
	}
	if write, retryAfter, _ := dailyCloseProposal(2, 11).nextWrite(stored(first), now); write != nil || retryAfter <= 0 {
		t.Error("a plan replaces one that is not in force yet")
	}
}

// TestPlanReplacesPrevious checks that a plan takes effect activationDelay after it is written, and that its timetable includes the purges
// of the previous plan until then.
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
		t.Errorf("got plan %+v, want it in force after the activation delay, with the previous plan", plan)
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
		t.Errorf("got %q, want %q", ids, want)
	}
}

// TestOrderIsWrittenWhileFresh checks that an order is written within orderFreshness of its issue, and deleted when its retention has
// ended.
func TestOrderIsWrittenWhileFresh(t *testing.T) {
	later := planTestStart + int64(time.Hour)
	first := mustWrite(t, dailyCloseProposal(1, 10), nil, planTestStart)
	plan := mustWrite(t, dailyCloseProposal(2, 70), stored(first), later)
	requested := RequestedOrder{Name: "w", Issued: time.Unix(0, later)}
	if write, _, _ := dailyCloseProposal(1, 10, requested).nextWrite(stored(plan), later); write == nil || write.key != orderPrefix+"w" {
		t.Errorf("fresh order: got write %+v, want the order", write)
	}
	if write, _, _ := dailyCloseProposal(1, 10, requested).nextWrite(stored(plan), later+int64(orderFreshness)+1); write != nil {
		t.Errorf("order past its freshness: got write %+v, want none", write)
	}
	old := replication.Document{Key: orderPrefix + "w", Version: 7, Value: []byte(`{"name":"w","at":1}`)}
	if write, _, _ := dailyCloseProposal(1, 10, requested).nextWrite(append(stored(plan), old), later); write == nil || write.value != nil || write.expectedVersion != 7 {
		t.Errorf("order past its retention: got write %+v, want its deletion", write)
	}
}

// FuzzPlan checks that documents with arbitrary content are either rejected or yield a timetable whose events are sorted and within the
// requested span.
func FuzzPlan(f *testing.F) {
	now := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC).UnixNano()
	value, err := dailyCloseProposal(1, 70).encodePlan(nil, now)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value, []byte(`{"name":"x","at":1,"cluster":2}`))
	f.Fuzz(func(t *testing.T, plan, order []byte) {
		parsed, orders, err := parseDocuments([]replication.Document{{Key: planKey, Value: plan}, {Key: orderPrefix + "x", Value: order}})
		if err != nil {
			return
		}
		timetable, err := newTimetable("a", parsed, orders)
		if err != nil {
			return
		}
		last := now
		for _, event := range timetable.Between(now, now+int64(48*time.Hour)) {
			if event.At < last || event.At > now+int64(48*time.Hour) {
				t.Fatalf("event out of order or out of the span: %+v", event)
			}
			last = event.At
		}
	})
}
