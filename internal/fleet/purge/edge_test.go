package purge

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/fleet/replication"
	"threadsail/internal/fleet/replication/replicationtest"
)

// soloEdge is an edge without a Component, whose clock has been compared with three others; skew moves its clock.
type soloEdge struct {
	*Edge
	view     *replicationtest.View
	cluster  *replicationtest.Cluster
	skew     time.Duration
	recorded []string
}

// newSoloEdge returns an edge whose plan is in force.
func newSoloEdge(t *testing.T, p Proposal, h History) *soloEdge {
	l := &soloEdge{cluster: replicationtest.New(drift)}
	value, err := p.encodePlan(nil, time.Now().Add(-bounds.activationDelay()).UnixNano()) // in force now
	if err != nil {
		t.Fatal(err)
	}
	l.put(t, planKey, 0, value)
	l.view = l.cluster.View()
	l.Edge = NewEdge("a", l.view, h, func(e Event, _ int64) { l.recorded = append(l.recorded, e.ID) })
	l.wall = func() int64 { return time.Now().Add(l.skew).UnixNano() }
	l.compare()
	return l
}

func (l *soloEdge) compare() {
	for i := range minPeers {
		at := time.Now().UnixNano()
		l.addClockSample(clockSample{peer: fmt.Sprint("m", i), sentAt: l.wall(), peerReceivedAt: at, peerSentAt: at, receivedAt: l.wall()})
	}
}

func (l *soloEdge) put(t *testing.T, key string, expect uint64, value []byte) uint64 {
	t.Helper()
	version, err := l.cluster.Client("w").Put(t.Context(), key, expect, value, replication.Fence{})
	if err != nil {
		t.Fatal(err)
	}
	return version
}

func (l *soloEdge) order(t *testing.T, o Order) uint64 {
	value, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	version := l.put(t, orderPrefix+o.Name, 0, value)
	l.Refresh()
	return version
}

func (l *soloEdge) checkServable(t *testing.T, what string, cluster int, want Reason) (since int64) {
	t.Helper()
	since, why := l.ServableSince(cluster)
	if why != want {
		t.Errorf("%s: %s, want %s", what, why, want)
	}
	return since
}

// An edge that did nothing through a close records the close before its first cached answer, and gives no answer from before it.
func TestPurgesRecordedBeforeFirstCachedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newSoloEdge(t, dailyCloseProposal(1, 10), History{})
		time.Sleep(time.Minute)
		l.checkServable(t, "before", 0, Allowed)
		asked, ok := l.MayStore(0, 0)
		if !ok {
			t.Error("nothing may be kept")
		}
		time.Sleep(20 * time.Minute) // no timer runs
		l.compare()
		if since := l.checkServable(t, "after", 0, Allowed); asked >= since {
			t.Error("an answer from before the close may be given")
		}
		if want := []string{"plan 1", "close a 2000-01-01 00:10"}; !slices.Equal(l.recorded, want) {
			t.Errorf("recorded %q, want %q", l.recorded, want)
		}
	})
}

// Around the instant of a purge nothing is given or stored, nor is anything that was in flight across it.
func TestCacheDisabledAroundPurge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newSoloEdge(t, dailyCloseProposal(1, 10), History{})
		at := time.Date(2000, 1, 1, 0, 10, 0, 0, time.UTC)
		sleepTo := func(d time.Duration) { time.Sleep(time.Until(at.Add(d))); l.compare() }
		given := func() bool { since, why := l.ServableSince(0); return why == Allowed && l.wall() > since }
		sleepTo(-bounds.Guard - time.Millisecond)
		if !given() {
			t.Error("nothing is given a guard before")
		}
		for _, d := range []time.Duration{-bounds.Guard, 0, bounds.Guard, bounds.Guard + bounds.Settle - time.Millisecond} {
			if sleepTo(d); given() {
				t.Errorf("given %v behind the instant", d)
			}
		}
		if _, ok := l.MayStore(0, 0); ok {
			t.Error("kept while replicas may answer from before")
		}
		sleepTo(time.Second)
		if _, ok := l.MayStore(0, time.Second); ok {
			t.Error("kept though it was asked for before the purge")
		}
		if _, ok := l.MayStore(0, time.Second-bounds.Guard-bounds.Settle); !ok {
			t.Error("not kept though it was asked for behind the purge")
		}
	})
}

// A clock that is set back has nothing recorded twice and no answer revived; one that is off keeps the edge from its cache, and from
// recording purges that have not come.
func TestClockSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newSoloEdge(t, dailyCloseProposal(1, 10), History{})
		time.Sleep(11 * time.Minute)
		l.compare()
		l.checkServable(t, "right", 0, Allowed)
		l.skew = -5 * time.Minute
		l.checkServable(t, "set back", 0, ClockUntrusted)
		l.FireDue()
		l.skew = 24 * time.Hour
		l.checkServable(t, "a day ahead", 0, ClockUntrusted)
		l.FireDue()
		l.compare() // the others say so too
		l.checkServable(t, "a day ahead, compared", 0, ClockUntrusted)
		l.FireDue()
		l.skew = 0
		l.checkServable(t, "mended", 0, Allowed)
		if want := []string{"plan 1", "close a 2000-01-01 00:10"}; !slices.Equal(l.recorded, want) {
			t.Errorf("recorded %q, want %q", l.recorded, want)
		}
		l.skew = -bounds.Guard / 4 // within what is trusted
		l.checkServable(t, "a little back", 0, Allowed)
		time.Sleep(time.Hour)
		l.checkServable(t, "not compared for an hour", 0, ClockUntrusted)
	})
}

// A replica that is old, or newer than the documents that are loaded, keeps the edge from its cache.
func TestStaleReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newSoloEdge(t, dailyCloseProposal(1, 10), History{})
		time.Sleep(time.Minute)
		l.compare()
		l.view.SetPartitioned(true)
		time.Sleep(bounds.MaxReplicaAge)
		l.checkServable(t, "as old as it may be", 0, Allowed)
		time.Sleep(time.Millisecond)
		l.checkServable(t, "older", 0, ReplicaStale)
		l.put(t, "other/doc", 0, []byte("1"))
		l.view.SetPartitioned(false)
		l.checkServable(t, "newer than the loaded documents", 0, ReplicaStale)
		l.Refresh()
		l.checkServable(t, "loaded", 0, Allowed)
	})
}

// Orders purge their cluster or all clusters, at their sites; a deleted order does not bring older answers back.
func TestOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newSoloEdge(t, dailyCloseProposal(1, 59), History{})
		time.Sleep(time.Minute)
		l.compare()
		two, at := 2, time.Now().Add(time.Minute).UnixNano()
		version := l.order(t, Order{Name: "x", EffectiveAt: at, Cluster: &two})
		l.order(t, Order{Name: "y", EffectiveAt: at, Site: "b"})
		time.Sleep(2 * time.Minute)
		l.compare()
		margin := int64(bounds.Guard + bounds.Settle)
		if since := l.checkServable(t, "its cluster", 2, Allowed); since != at+margin {
			t.Errorf("since %d, want %d", since, at+margin)
		}
		if since := l.checkServable(t, "another cluster", 1, Allowed); since >= at {
			t.Error("another cluster is purged")
		}
		if want := []string{"plan 1", "order x"}; !slices.Equal(l.recorded, want) {
			t.Errorf("recorded %q, want %q", l.recorded, want)
		}
		l.put(t, orderPrefix+"x", version, nil)
		l.Refresh()
		if since := l.checkServable(t, "forgotten", 2, Allowed); since != at+margin {
			t.Errorf("the generation fell to %d", since)
		}
	})
}

// An edge that was cut off just before an order was applied, as late as that may be, has stopped answering from its cache when the
// order takes effect, though its writer's clock is behind.
func TestOrderTakesEffectAfterReplicaIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := dailyCloseProposal(1, 59, RequestedOrder{Name: "x", Issued: time.Unix(0, 0).AddDate(29, 11, 31)})
		p.Bounds.WriteLead = 2 * time.Second
		l := newSoloEdge(t, p, History{})
		time.Sleep(time.Minute)
		w, _, err := p.nextWrite(l.view.List("purge/"), time.Now().Add(-bounds.Guard).UnixNano())
		var o Order
		if err == nil {
			err = json.Unmarshal(w.value, &o)
		}
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(p.Bounds.WriteLead)
		l.compare()
		l.view.SetPartitioned(true)
		l.put(t, w.key, 0, w.value)
		time.Sleep(time.Until(time.Unix(0, o.EffectiveAt)))
		l.checkServable(t, "as the copy's age just allows", 0, Allowed)
		time.Sleep(time.Nanosecond)
		l.checkServable(t, "when the order takes effect", 0, ReplicaStale)
	})
}

// What stands in the journal is not noted again, what a crash kept from it is.
func TestRecordedPurgesAreNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		since := time.Now().Add(-time.Hour).UnixNano()
		l := newSoloEdge(t, dailyCloseProposal(1, 10), History{Since: since, Fired: []string{"plan 1"}})
		time.Sleep(20 * time.Minute)
		l.FireDue()
		if want := []string{"close a 2000-01-01 00:10"}; !slices.Equal(l.recorded, want) {
			t.Errorf("recorded %q, want %q", l.recorded, want)
		}
	})
}
