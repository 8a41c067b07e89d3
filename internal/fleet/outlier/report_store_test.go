package outlier

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// drawReports draws reports of several observers, and also returns the newest report of each observer.
func drawReports(t *rapid.T, now time.Time) (sent []observerReport, newest map[string]Report) {
	newest = map[string]Report{}
	for range rapid.IntRange(0, 20).Draw(t, "reports") {
		r := observerReport{rapid.SampledFrom([]string{"n1", "n2", "n3", "n4"}).Draw(t, "observer"), drawReport(t, []string{"a", "b"})}
		isKnown := func(o observerReport) bool {
			return o.observer == r.observer && o.StartedAt == r.StartedAt && o.Sequence == r.Sequence
		}
		if slices.ContainsFunc(sent, isKnown) {
			continue // an observer never sends two different reports with the same sequence number
		}
		r.SentAt = now.UnixNano()
		sent = append(sent, r)
		if newest[r.observer].before(r.Report) {
			newest[r.observer] = r.Report
		}
	}
	return sent, newest
}

// Reports may arrive twice and in any order. The store ends up with the newest report of each observer, and the findings depend only on
// these.
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
				t.Fatalf("got %d current reports after their lifetime, want none", len(expired))
			}
		}
		if d := cmp.Diff(findings[0], findings[1]); d != "" {
			t.Fatal(d)
		}
	})
}

// The store rejects a report older than its lifetime and maxClockSkew together: it was delayed for too long, or the sender's clock is
// wrong.
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
			t.Errorf("report %v old: got stored %v, expiring in %v, want %v and %v", c.age, got, expiresAt.Sub(now), c.want, c.expiresIn)
		}
	}
}

// The sizes of all state stay within their limits, however many observers, servers and classes there are.
func TestStateIsBounded(t *testing.T) {
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
	now = now.Add(sequenceRetention + time.Second) // old entries are removed to make room
	if !store.add(now, "new", Report{StartedAt: 1, Sequence: 1, SentAt: now.UnixNano()}, time.Second) || len(store.reports) != 1 {
		t.Errorf("got %d reports after the retention time, want only the new one", len(store.reports))
	}
	local.observe(now, "new", 0, Success, 0)
	if got, _ := local.observations(now); len(got) != 1 || got[0].Server != "new" {
		t.Errorf("got observations %v, want only that of the new server", got)
	}
}
