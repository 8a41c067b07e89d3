package purge

import (
	"context"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
	_ "time/tzdata"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"threadsail/internal/calendar"
	"threadsail/internal/dispatch"
	"threadsail/internal/fleet"
	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/bus/bustest"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
	"threadsail/internal/fleet/replication/replicationtest"
	"threadsail/internal/policy"
)

const (
	term  = time.Second
	drift = 50 * time.Millisecond
)

// The register applies a write at once or never: a lead would hide what the rest of the reach is for.
var bounds = Bounds{Guard: 400 * time.Millisecond, MaxReplicaAge: 5 * time.Second, Settle: 200 * time.Millisecond}

// given is an answer as a client got it, in true time.
type given struct {
	at, data int64 // when, and as of when its server's data were; cached: it came from the edge
	cached   bool
	edge     *testEdge
	cluster  int
}

// testEdge is one pooler of a test, over all its restarts.
type testEdge struct {
	name, site string
	w          *world
	skew       atomic.Int64 // ns
	first      int64
	journal    string
	view       *replicationtest.View
	way        *replicationtest.Client
	cut        bool
	part       *Component
	cache      *CacheGuard
	end        context.CancelFunc
	ended      chan struct{}
}

// world is some edges on one network, with servers whose data are as of the time they are read, less the lag of a replica.
type world struct {
	t     *testing.T
	net   *bustest.Network
	reg   *replicationtest.Cluster
	dir   string
	edges []*testEdge
	seen  *replicationtest.View

	mu    sync.Mutex
	plans map[uint64]Plan // each that was in the documents
	given []given
}

func newWorld(t *testing.T, sites ...string) *world {
	w := &world{t: t, net: bustest.New(1), reg: replicationtest.New(drift), dir: t.TempDir(), plans: map[uint64]Plan{}}
	w.net.SetDelay(0, 20*time.Millisecond)
	w.seen = w.reg.View()
	go func() {
		for t.Context().Err() == nil {
			changed := w.seen.Changed()
			if p, _, err := parseDocuments(w.seen.List(keyPrefix)); err == nil && p != nil {
				w.mu.Lock()
				w.plans[p.Revision] = *p
				w.mu.Unlock()
			}
			select {
			case <-t.Context().Done():
			case <-changed:
			}
		}
	}()
	for i, site := range sites {
		name := fmt.Sprint("n", i)
		w.edges = append(w.edges, &testEdge{name: name, site: site, w: w, journal: filepath.Join(w.dir, name), view: w.reg.View(), way: w.reg.Client(name)})
	}
	return w
}

// start runs the edge until stop.
func (e *testEdge) start(p Proposal) {
	file, _, err := audit.Open(e.journal, 1<<20, 1)
	if err != nil {
		e.w.t.Fatal(err)
	}
	e.part = New(e.site, p)
	e.part.Term, e.part.Journal, e.part.KeptJournals = term, e.journal, 1
	e.part.wall = func() int64 { return time.Now().UnixNano() + e.skew.Load() }
	if e.first == 0 {
		e.first = e.part.wall()
	}
	e.cache = e.part.NewCacheGuard(1<<20, []string{"any"}, func(c int) policy.Class { return classes[c] }, func(a any) (any, int, bool) { return a, 8, true })
	ctx, cancel := context.WithCancel(e.w.t.Context())
	g := fleet.Runtime{Bus: e.w.net.Join(e.name), View: e.view, Store: e.way, Log: zerolog.Nop(),
		Campaign: func(ctx context.Context, d lease.Name) replication.Leadership {
			return e.way.Campaign(ctx, d, replication.CandidateOptions{LeaseTerm: term, MaxClockDrift: drift})
		},
		Audit: func(r audit.Record) {
			if ctx.Err() != nil { // a request that was under way
				return
			}
			r.At, r.Instance = e.part.wall(), e.name+"/1"
			if err := file.Write(r); err != nil {
				e.w.t.Error(err)
			}
		}}
	g.Audit(audit.Record{Act: audit.Started})
	e.end, e.ended = cancel, make(chan struct{})
	go func() {
		_ = e.part.Run(ctx, g)
		_ = file.Close()
		close(e.ended)
	}()
}

func (e *testEdge) stop() {
	if e.end != nil {
		e.end()
		<-e.ended
		e.end = nil
	}
}

// isolate cuts the edge off from all others and the stewards, or heals that.
func (e *testEdge) isolate(cut bool) {
	e.cut = cut
	e.w.net.SetIsolated(e.name, cut)
	e.way.SetPartitioned(cut)
	e.view.SetPartitioned(cut)
}

var classes = []policy.Class{{Name: "any"}, {Name: "bounded", Access: policy.ReadBounded}, {Name: "other"}, {Name: "any", Idempotency: policy.NotIdempotent}}

// ask is one request: from the cache, or from a server that takes a while, whose data lag by up to Settle.
func (e *testEdge) ask(cluster int, there, back, lag time.Duration) {
	if e.end == nil {
		return
	}
	r := &dispatch.Request{Class: 0, Group: cluster, CacheVariant: "f", Statement: "SELECT 1"}
	cache, now := e.cache, time.Now()
	if a := cache.Admit(0, r); a.Answer != nil {
		e.w.got(given{now.UnixNano(), a.Answer.(int64), true, e, cluster})
		return
	}
	go func() {
		time.Sleep(there)
		data := time.Now().Add(-lag).UnixNano()
		time.Sleep(back)
		cache.RequestEnded(0, r, dispatch.FinalAnswer{Served: true, Answer: data, ArrivedAt: time.Duration(now.UnixNano()), EndedAt: time.Duration(time.Now().UnixNano())})
		e.w.got(given{time.Now().UnixNano(), data, false, e, cluster})
	}()
}

func (w *world) got(g given) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.given = append(w.given, g)
}

// purges are all of a site's in true time, by the plans that were in force one after another.
func (w *world) purges(site string) (out []Event) {
	_, orders, _ := parseDocuments(w.seen.List(keyPrefix))
	end := time.Now().UnixNano()
	revisions := slices.Sorted(maps.Keys(w.plans))
	for i, rev := range revisions {
		p, to := w.plans[rev], end
		if i+1 < len(revisions) {
			to = min(to, w.plans[revisions[i+1]].EffectiveAt-1)
		}
		p.Previous = nil
		t, err := newTimetable(site, &p, nil)
		if err != nil {
			w.t.Fatal(err)
		}
		out = append(out, t.Between(p.EffectiveAt-1, to)...)
	}
	for _, o := range orders {
		if o.Site == "" || o.Site == site {
			e := Event{ID: "order " + o.Name, At: o.EffectiveAt, Cluster: AllClusters}
			if o.Cluster != nil {
				e.Cluster = *o.Cluster
			}
			out = append(out, e)
		}
	}
	return out
}

// judge tells what went wrong: a cached answer from before a purge that was over, a purge that an edge noted not at all or twice.
func (w *world) judge() (faults []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.edges {
		purges := w.purges(e.site)
		for _, g := range w.given {
			for _, p := range purges {
				if g.edge == e && g.cached && p.At <= g.at && g.data < p.At && (p.Cluster == AllClusters || p.Cluster == g.cluster) {
					faults = append(faults, fmt.Sprintf("%s: an answer as of %v at %v, behind %s", e.name, time.Unix(0, g.data).UTC(), time.Unix(0, g.at).UTC(), p.ID))
				}
			}
		}
		h, err := ReadHistory(e.journal, 1)
		if err != nil {
			faults = append(faults, err.Error())
		}
		count := map[string]int{}
		for _, id := range h.Fired {
			if count[id]++; count[id] > 1 {
				faults = append(faults, fmt.Sprintf("%s: %s was noted twice", e.name, id))
			}
		}
		plan, orders, _ := parseDocuments(w.seen.List(keyPrefix))
		if plan == nil || e.end == nil {
			continue
		}
		t, err := newTimetable(e.site, plan, orders)
		if err != nil {
			w.t.Fatal(err)
		}
		for _, p := range t.Between(e.first-1, time.Now().Add(-2*time.Second).UnixNano()) {
			if count[p.ID] == 0 {
				faults = append(faults, fmt.Sprintf("%s: %s was never noted", e.name, p.ID))
			}
		}
	}
	return faults
}

// hits are the shares of answers that came from the cache.
func (w *world) hits() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, g := range w.given {
		if g.cached {
			n++
		}
	}
	return float64(n) / float64(max(len(w.given), 1))
}

// closing is a proposal by which all sites close at so many minutes past midnight, when the test's time begins.
func closing(revision uint64, minutes int, orders ...RequestedOrder) Proposal {
	at := fmt.Sprintf("%02d:%02d", minutes/60, minutes%60)
	every := map[string]string{}
	for _, d := range []string{"sunday", "monday", "tuesday", "wednesday", "thursday", "friday", "saturday"} {
		every[d] = at
	}
	return Proposal{Revision: revision, Bounds: bounds, Orders: orders,
		Book: calendar.Book{Calendars: map[string]calendar.Calendar{"c": {Close: every}},
			Sites: map[string]calendar.Site{"a": {Zone: "UTC", Calendar: "c"}, "b": {Zone: "UTC", Calendar: "c"}}}}
}

// Five edges of two sites, one of them with a clock that is anywhere and steps; cuts, restarts while cut off, plans changed around
// their closes, orders by hand, requests under way across all of it. No cached answer is from before a purge that was over, and
// each edge notes each purge once.
func TestNothingStale(t *testing.T) {
	runs, shares := 0, 0.0
	rapid.Check(t, func(rt *rapid.T) {
		acts := rapid.SliceOfN(rapid.IntRange(0, 99), 5, 30).Draw(rt, "acts")
		how := rapid.SliceOfN(rapid.IntRange(0, 1<<16), len(acts)+8, len(acts)+8).Draw(rt, "how")
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			w := newWorld(t, "a", "a", "a", "b", "b")
			minute := func(n int) int { return 1 + n%4 }
			revision, orders := uint64(1), []RequestedOrder(nil)
			proposal := func(n int) Proposal { return closing(revision, minute(n), orders...) }
			now := proposal(how[0])
			for i, e := range w.edges {
				skew := time.Duration(how[i+1]%201-100) * bounds.Guard / 600 // the majority within a sixth of a guard
				if i == 4 {
					skew *= time.Duration(1 << (how[7] % 12))
				}
				e.skew.Store(int64(skew))
				e.start(now)
			}
			asking := func(d time.Duration, n int) {
				for end := time.Now().Add(d); time.Now().Before(end); n++ {
					for _, e := range w.edges {
						e.ask(n%2, time.Duration(n*37%200)*time.Millisecond, time.Duration(n*61%1500)*time.Millisecond, time.Duration(n*83%200)*time.Millisecond)
					}
					time.Sleep(time.Duration(100+n*29%200) * time.Millisecond)
				}
			}
			asking(8*time.Second, 0)
			for i, act := range acts {
				n := how[i+8]
				e := w.edges[n%len(w.edges)]
				switch {
				case act < 20:
					e.isolate(!e.cut)
				case act < 30:
					e.stop()
					if e.cut {
						e.view = e.view.Restart()
					}
					e.start(now)
				case act < 36:
					e.stop()
				case act < 44:
					if e.end == nil {
						e.start(now)
					}
				case act < 48:
					revision++
					now = proposal(n / 8)
					if e.end != nil {
						e.part.Propose(now)
					}
				case act < 56:
					o := RequestedOrder{Name: fmt.Sprint("o", i), Issued: time.Now().Add(-time.Second), Site: []string{"", "a", "b"}[n/8%3]}
					if n/32%2 == 0 {
						c := n / 64 % 2
						o.Cluster = &c
					}
					orders = append(orders, o)
					now.Orders = orders
					if e.end != nil {
						e.part.Propose(now)
					}
				case act < 64:
					w.edges[4].skew.Add(int64(time.Duration(n%2001-1000) * time.Millisecond * time.Duration(1<<(n/2048%10)) / 16))
				}
				asking(time.Duration(n%4000)*time.Millisecond, n)
			}
			for _, e := range w.edges {
				e.isolate(false)
				if e.end == nil {
					e.start(now)
				}
			}
			w.edges[4].skew.Store(0)
			asking(15*time.Second, 1)
			synctest.Wait()
			faults = w.judge()
			runs++
			shares += w.hits()
			for _, e := range w.edges {
				e.stop()
			}
			time.Sleep(10 * time.Second) // what is still under way ends
		})
		if len(faults) > 0 {
			rt.Fatal(strings.Join(faults[:min(len(faults), 5)], "\n"))
		}
	})
	if mean := shares / float64(max(runs, 1)); mean < 0.1 {
		t.Errorf("%.2f of the answers came from caches: the property is idle", mean)
	} else {
		t.Logf("%d runs, %.2f of the answers came from caches", runs, mean)
	}
}
