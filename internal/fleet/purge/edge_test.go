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

// soloEdge is an edge without a Component, whose clock has been compared with minPeers others.
type soloEdge struct {
	*Edge
	view     *replicationtest.View
	cluster  *replicationtest.Cluster
	skew     time.Duration // offset of the edge's clock from true time
	recorded []string      // IDs of the recorded purges
}

// newSoloEdge returns an edge at site "a" with the plan of a proposal already in force.
func newSoloEdge(t *testing.T, p Proposal, h History) *soloEdge {
	edge := &soloEdge{cluster: replicationtest.New(drift)}
	value, err := p.encodePlan(nil, time.Now().Add(-bounds.activationDelay()).UnixNano()) // in force now
	if err != nil {
		t.Fatal(err)
	}
	edge.put(t, planKey, 0, value)
	edge.view = edge.cluster.View()
	edge.Edge = NewEdge("a", edge.view, h, func(e Event, _ int64) { edge.recorded = append(edge.recorded, e.ID) })
	edge.wall = func() int64 { return time.Now().Add(edge.skew).UnixNano() }
	edge.compare()
	return edge
}

// compare records a sample of the true time from each of minPeers peers.
func (edge *soloEdge) compare() {
	for i := range minPeers {
		at := time.Now().UnixNano()
		edge.addClockSample(clockSample{peer: fmt.Sprint("m", i), sentAt: edge.wall(), peerReceivedAt: at, peerSentAt: at, receivedAt: edge.wall()})
	}
}

// put writes a document and returns its version.
func (edge *soloEdge) put(t *testing.T, key string, expect uint64, value []byte) uint64 {
	t.Helper()
	version, err := edge.cluster.Client("w").Put(t.Context(), key, expect, value, replication.Fence{})
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// order writes an order's document, makes the edge load it, and returns its version.
func (edge *soloEdge) order(t *testing.T, o Order) uint64 {
	value, err := json.Marshal(o)
	if err != nil {
		t.Fatal(err)
	}
	version := edge.put(t, orderPrefix+o.Name, 0, value)
	edge.Refresh()
	return version
}

// checkServable checks the reason that ServableSince returns for a cluster, and returns its time.
func (edge *soloEdge) checkServable(t *testing.T, situation string, cluster int, want Reason) (since int64) {
	t.Helper()
	since, reason := edge.ServableSince(cluster)
	if reason != want {
		t.Errorf("%s: got reason %q, want %q", situation, reason, want)
	}
	return since
}

// TestPurgesRecordedBeforeFirstCachedAnswer checks that an edge that was stalled across a close records the close before it serves a cached
// answer, and serves none that was requested before the close.
func TestPurgesRecordedBeforeFirstCachedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newSoloEdge(t, dailyCloseProposal(1, 10), History{})
		time.Sleep(time.Minute)
		edge.checkServable(t, "before the close", 0, Allowed)
		requestedAt, ok := edge.MayStore(0, 0)
		if !ok {
			t.Error("MayStore rejects an answer before the close")
		}
		time.Sleep(20 * time.Minute) // FireDue is not called meanwhile
		edge.compare()
		if since := edge.checkServable(t, "after the close", 0, Allowed); requestedAt >= since {
			t.Error("an answer requested before the close is servable after it")
		}
		if want := []string{"plan 1", "close a 2000-01-01 00:10"}; !slices.Equal(edge.recorded, want) {
			t.Errorf("recorded %q, want %q", edge.recorded, want)
		}
	})
}

// TestCacheDisabledAroundPurge checks that around a purge no cached answer is served and no answer is stored, and that an answer to a
// request that was in flight during the purge is not stored later.
func TestCacheDisabledAroundPurge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newSoloEdge(t, dailyCloseProposal(1, 10), History{})
		at := time.Date(2000, 1, 1, 0, 10, 0, 0, time.UTC)
		sleepTo := func(d time.Duration) { time.Sleep(time.Until(at.Add(d))); edge.compare() }
		servable := func() bool { since, reason := edge.ServableSince(0); return reason == Allowed && edge.wall() > since }
		sleepTo(-bounds.Guard - time.Millisecond)
		if !servable() {
			t.Error("no answer is servable more than Guard before the purge")
		}
		for _, d := range []time.Duration{-bounds.Guard, 0, bounds.Guard, bounds.Guard + bounds.Settle - time.Millisecond} {
			if sleepTo(d); servable() {
				t.Errorf("an answer is servable %v after the purge", d)
			}
		}
		if _, ok := edge.MayStore(0, 0); ok {
			t.Error("MayStore accepts an answer while replicas may return data from before the purge")
		}
		sleepTo(time.Second)
		if _, ok := edge.MayStore(0, time.Second); ok {
			t.Error("MayStore accepts an answer requested at the instant of the purge")
		}
		if _, ok := edge.MayStore(0, time.Second-bounds.Guard-bounds.Settle); !ok {
			t.Error("MayStore rejects an answer requested Guard plus Settle after the purge")
		}
	})
}

// TestClockSteps checks that an edge whose clock is wrong serves no cached answers and records no purge twice or early: after its clock is
// set back, set ahead, or not compared for a long time.
func TestClockSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newSoloEdge(t, dailyCloseProposal(1, 10), History{})
		time.Sleep(11 * time.Minute)
		edge.compare()
		edge.checkServable(t, "correct clock", 0, Allowed)
		edge.skew = -5 * time.Minute
		edge.checkServable(t, "clock set back", 0, ClockUntrusted)
		edge.FireDue()
		edge.skew = 24 * time.Hour
		edge.checkServable(t, "clock a day ahead", 0, ClockUntrusted)
		edge.FireDue()
		edge.compare() // the samples show the offset too
		edge.checkServable(t, "clock a day ahead, compared again", 0, ClockUntrusted)
		edge.FireDue()
		edge.skew = 0
		edge.checkServable(t, "clock corrected", 0, Allowed)
		if want := []string{"plan 1", "close a 2000-01-01 00:10"}; !slices.Equal(edge.recorded, want) {
			t.Errorf("recorded %q, want %q", edge.recorded, want)
		}
		edge.skew = -bounds.Guard / 4 // within half of Guard
		edge.checkServable(t, "clock slightly slow", 0, Allowed)
		time.Sleep(time.Hour)
		edge.checkServable(t, "clock not compared for an hour", 0, ClockUntrusted)
	})
}

// TestStaleReplica checks that no cached answer is servable while the replica is older than MaxReplicaAge, or newer than the loaded
// documents.
func TestStaleReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newSoloEdge(t, dailyCloseProposal(1, 10), History{})
		time.Sleep(time.Minute)
		edge.compare()
		edge.view.SetPartitioned(true)
		time.Sleep(bounds.MaxReplicaAge)
		edge.checkServable(t, "replica of the largest age", 0, Allowed)
		time.Sleep(time.Millisecond)
		edge.checkServable(t, "replica too old", 0, ReplicaStale)
		edge.put(t, "other/doc", 0, []byte("1"))
		edge.view.SetPartitioned(false)
		edge.checkServable(t, "replica newer than the loaded documents", 0, ReplicaStale)
		edge.Refresh()
		edge.checkServable(t, "documents loaded again", 0, Allowed)
	})
}

// TestOrders checks that an order purges only its cluster and only at its site, and that answers from before the purge stay unservable
// after the order is deleted.
func TestOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		edge := newSoloEdge(t, dailyCloseProposal(1, 59), History{})
		time.Sleep(time.Minute)
		edge.compare()
		cluster, at := 2, time.Now().Add(time.Minute).UnixNano()
		version := edge.order(t, Order{Name: "x", EffectiveAt: at, Cluster: &cluster})
		edge.order(t, Order{Name: "y", EffectiveAt: at, Site: "b"})
		time.Sleep(2 * time.Minute)
		edge.compare()
		margin := int64(bounds.Guard + bounds.Settle)
		if since := edge.checkServable(t, "cluster of the order", 2, Allowed); since != at+margin {
			t.Errorf("servable since %d, want %d", since, at+margin)
		}
		if since := edge.checkServable(t, "another cluster", 1, Allowed); since >= at {
			t.Error("the order purged another cluster")
		}
		if want := []string{"plan 1", "order x"}; !slices.Equal(edge.recorded, want) {
			t.Errorf("recorded %q, want %q", edge.recorded, want)
		}
		edge.put(t, orderPrefix+"x", version, nil)
		edge.Refresh()
		if since := edge.checkServable(t, "order deleted", 2, Allowed); since != at+margin {
			t.Errorf("order deleted: servable since %d, want %d", since, at+margin)
		}
	})
}

// TestOrderTakesEffectAfterReplicaIsStale covers the worst case of activationDelay: the writer's clock is slow by Guard, the order is
// applied WriteLead after it was sent, and the edge is partitioned just before that. The edge must have stopped serving cached answers when
// the order takes effect.
func TestOrderTakesEffectAfterReplicaIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := dailyCloseProposal(1, 59, RequestedOrder{Name: "x", Issued: time.Unix(0, 0).AddDate(29, 11, 31)})
		p.Bounds.WriteLead = 2 * time.Second
		edge := newSoloEdge(t, p, History{})
		time.Sleep(time.Minute)
		write, _, err := p.nextWrite(edge.view.List("purge/"), time.Now().Add(-bounds.Guard).UnixNano())
		var order Order
		if err == nil {
			err = json.Unmarshal(write.value, &order)
		}
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(p.Bounds.WriteLead)
		edge.compare()
		edge.view.SetPartitioned(true)
		edge.put(t, write.key, 0, write.value)
		time.Sleep(time.Until(time.Unix(0, order.EffectiveAt)))
		edge.checkServable(t, "replica of the largest age", 0, Allowed)
		time.Sleep(time.Nanosecond)
		edge.checkServable(t, "order in effect", 0, ReplicaStale)
	})
}

// TestRecordedPurgesAreNotRepeated checks that an edge does not record the purges in its history again, but records those that are missing
// from it, as after a crash.
func TestRecordedPurgesAreNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		since := time.Now().Add(-time.Hour).UnixNano()
		edge := newSoloEdge(t, dailyCloseProposal(1, 10), History{Since: since, Fired: []string{"plan 1"}})
		time.Sleep(20 * time.Minute)
		edge.FireDue()
		if want := []string{"close a 2000-01-01 00:10"}; !slices.Equal(edge.recorded, want) {
			t.Errorf("recorded %q, want %q", edge.recorded, want)
		}
	})
}
