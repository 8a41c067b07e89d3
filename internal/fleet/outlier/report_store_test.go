package outlier

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// drawReports draws reports of several observers, and returns each observer's newest too.
func drawReports(t *rapid.T, now time.Time) (sent []observerReport, newest map[string]Report) {
	newest = map[string]Report{}
	for range rapid.IntRange(0, 20).Draw(t, "reports") {
		r := observerReport{rapid.SampledFrom([]string{"n1", "n2", "n3", "n4"}).Draw(t, "observer"), drawReport(t, []string{"a", "b"})}
		isKnown := func(o observerReport) bool {
			return o.observer == r.observer && o.StartedAt == r.StartedAt && o.Sequence == r.Sequence
		}
		if slices.ContainsFunc(sent, isKnown) {
			continue // an observer never reports two things under one number
		}
		r.SentAt = now.UnixNano()
		sent = append(sent, r)
		if newest[r.observer].before(r.Report) {
			newest[r.observer] = r.Report
		}
	}
	return sent, newest
}

// Reports may be lost, come twice, late and in any order: the store ends with each observer's newest that came, and the findings follow
// from these alone.
func TestReportOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		sent, newest := drawReports(t, now)
		var findings []string
		for range 2 {
			store := newReportStore()
			for _, r := range rapid.Permutation(append(slices.Clone(sent), sent...)).Draw(t, "order") {
				store.add(now, r.observer, r.Report, time.Second)
			}
			got := map[string]Report{}
			for observer, stored := range store.reports {
				got[observer] = stored.Report
			}
			if d := cmp.Diff(newest, got); d != "" {
				t.Fatal(d)
			}
			findings = append(findings, fmt.Sprint(aggregateServers(store.current(now))))
			if expired := store.current(now.Add(time.Second)); len(expired) > 0 {
				t.Fatalf("got %d reports that count after their lifetime", len(expired))
			}
		}
		if d := cmp.Diff(findings[0], findings[1]); d != "" {
			t.Fatal(d)
		}
	})
}

// A report that was on its way for longer than it could count, or whose clock is that wrong, is refused.
func TestOldReports(t *testing.T) {
	now, lifetime := time.Unix(1000, 0), time.Second
	for _, c := range []struct {
		age       time.Duration
		want      bool
		expiresIn time.Duration
	}{{0, true, lifetime}, {maxClockSkew, true, lifetime}, {-time.Hour, true, lifetime}, {lifetime + maxClockSkew, true, 0},
		{lifetime + maxClockSkew + 1, false, 0}, {maxClockSkew + lifetime/2, true, lifetime / 2}} {
		store := newReportStore()
		got := store.add(now, "n", Report{StartedAt: 1, Sequence: 1, SentAt: now.Add(-c.age).UnixNano()}, lifetime)
		expiresAt := store.reports["n"].expiresAt
		if got != c.want || got && !expiresAt.Equal(now.Add(c.expiresIn)) {
			t.Errorf("%v old: got %v, counting for %v, want %v and %v", c.age, got, expiresAt.Sub(now), c.want, c.expiresIn)
		}
	}
}

// Whatever comes, the state keeps to its bounds.
func TestBounded(t *testing.T) {
	now, store, local, active := time.Unix(1000, 0), newReportStore(), newLocalEvidence(), ejections{}
	finding := Finding{Complainers: 3, Zones: 2, Failed: 6, complaintWeight: 1}
	for i := range 3 * maxObservers {
		name := fmt.Sprint(i)
		store.add(now, name, Report{StartedAt: 1, Sequence: 1, SentAt: now.UnixNano()}, time.Second)
		local.observe(now, name, i, Failure, 0)
		local.recordLostPrimary(now, name)
		active.update(now, testSettings, map[string]Finding{name: finding}, 0)
	}
	if len(store.reports) > maxObservers || len(local.servers) > maxServers || len(local.lostPrimaries) > maxLostPrimaries || len(active) > maxServers {
		t.Errorf("got %d reports, %d servers, %d lost primaries, %d ejections", len(store.reports), len(local.servers), len(local.lostPrimaries), len(active))
	}
	now = now.Add(reportMemory + time.Second) // what is old makes room
	if !store.add(now, "new", Report{StartedAt: 1, Sequence: 1, SentAt: now.UnixNano()}, time.Second) || len(store.reports) != 1 {
		t.Errorf("got %d reports after all have been forgotten, want the new one", len(store.reports))
	}
	local.observe(now, "new", 0, Success, 0)
	if got, _ := local.observations(now); len(got) != 1 || got[0].Server != "new" {
		t.Errorf("got the observations %v, want the new server's", got)
	}
}
