package purge

import (
	"context"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

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

// The test cluster applies a write at once or never: a lead would hide what the rest of the reach is for.
var bounds = Bounds{Guard: 400 * time.Millisecond, MaxReplicaAge: 5 * time.Second, Settle: 200 * time.Millisecond}

// receivedAnswer is an answer as a client received it. Its times are true, in Unix ns.
type receivedAnswer struct {
	at      int64
	dataAt  int64 // as of when its server's data were
	cached  bool  // the edge answered
	edge    *testEdge
	cluster int
}

// testEdge is one pooler, over all its restarts.
type testEdge struct {
	name, site string
	world      *world
	skew       atomic.Int64 // of its clock, ns
	startedAt  int64        // by its own clock
	journal    string
	view       *replicationtest.View
	client     *replicationtest.Client
	isolated   bool
	component  *Component
	guard      *CacheGuard
	cancel     context.CancelFunc
	stopped    chan struct{}
}

// world is some edges on one network, with servers whose data are as of the time at which they are read, less a database replica's lag.
type world struct {
	t       *testing.T
	network *bustest.Network
	cluster *replicationtest.Cluster
	dir     string
	edges   []*testEdge
	view    *replicationtest.View

	mu      sync.Mutex
	plans   map[uint64]Plan // by revision: each that was in the documents
	answers []receivedAnswer
}

func newWorld(t *testing.T, sites ...string) *world {
	w := &world{t: t, network: bustest.New(1), cluster: replicationtest.New(drift), dir: t.TempDir(), plans: map[uint64]Plan{}}
	w.network.SetDelay(0, 20*time.Millisecond)
	w.view = w.cluster.View()
	go func() {
		for t.Context().Err() == nil {
			changed := w.view.Changed()
			if p, _, err := parseDocuments(w.view.List(keyPrefix)); err == nil && p != nil {
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
		w.edges = append(w.edges, &testEdge{name: name, site: site, world: w, journal: filepath.Join(w.dir, name), view: w.cluster.View(), client: w.cluster.Client(name)})
	}
	return w
}

// start runs the edge until stop.
func (e *testEdge) start(p Proposal) {
	file, _, err := audit.Open(e.journal, 1<<20, 1)
	if err != nil {
		e.world.t.Fatal(err)
	}
	e.component = New(e.site, p)
	e.component.Term, e.component.JournalPath, e.component.RotatedJournals = term, e.journal, 1
	e.component.wall = func() int64 { return time.Now().UnixNano() + e.skew.Load() }
	if e.startedAt == 0 {
		e.startedAt = e.component.wall()
	}
	e.guard = e.component.NewCacheGuard(1<<20, []string{"any"}, func(c int) policy.Class { return classes[c] }, func(a any) (any, int, bool) { return a, 8, true })
	ctx, cancel := context.WithCancel(e.world.t.Context())
	runtime := fleet.Runtime{Bus: e.world.network.Join(e.name), View: e.view, Store: e.client, Log: zerolog.Nop(),
		Campaign: func(ctx context.Context, d lease.Name) replication.Leadership {
			return e.client.Campaign(ctx, d, replication.CandidateOptions{LeaseTerm: term, MaxClockDrift: drift})
		},
		Audit: func(r audit.Record) {
			if ctx.Err() != nil { // of a request that was in flight
				return
			}
			r.At, r.Instance = e.component.wall(), e.name+"/1"
			if err := file.Write(r); err != nil {
				e.world.t.Error(err)
			}
		}}
	runtime.Audit(audit.Record{Act: audit.Started})
	e.cancel, e.stopped = cancel, make(chan struct{})
	go func() {
		_ = e.component.Run(ctx, runtime)
		_ = file.Close()
		close(e.stopped)
	}()
}

func (e *testEdge) stop() {
	if e.cancel != nil {
		e.cancel()
		<-e.stopped
		e.cancel = nil
	}
}

// setIsolated cuts the edge off from all others and the voters, or heals that.
func (e *testEdge) setIsolated(isolated bool) {
	e.isolated = isolated
	e.world.network.SetIsolated(e.name, isolated)
	e.client.SetPartitioned(isolated)
	e.view.SetPartitioned(isolated)
}

var classes = []policy.Class{{Name: "any"}, {Name: "bounded", Access: policy.ReadBounded}, {Name: "other"}, {Name: "any", Idempotency: policy.NotIdempotent}}

// request sends one request, which the cache answers, or a server that takes some time and whose data lag.
func (e *testEdge) request(cluster int, there, back, lag time.Duration) {
	if e.cancel == nil {
		return
	}
	r := &dispatch.Request{Class: 0, Group: cluster, CacheVariant: "f", Statement: "SELECT 1"}
	guard := e.guard
	now := time.Now()
	if a := guard.Admit(0, r); a.Answer != nil {
		e.world.receive(receivedAnswer{now.UnixNano(), a.Answer.(int64), true, e, cluster})
		return
	}
	go func() {
		time.Sleep(there)
		data := time.Now().Add(-lag).UnixNano()
		time.Sleep(back)
		guard.RequestEnded(0, r, dispatch.FinalAnswer{Served: true, Answer: data, ArrivedAt: time.Duration(now.UnixNano()), EndedAt: time.Duration(time.Now().UnixNano())})
		e.world.receive(receivedAnswer{time.Now().UnixNano(), data, false, e, cluster})
	}()
}

func (w *world) receive(a receivedAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers = append(w.answers, a)
}

// purges returns all purges of a site in true time, by the plans that were in force one after another.
func (w *world) purges(site string) (out []Event) {
	_, orders, _ := parseDocuments(w.view.List(keyPrefix))
	end := time.Now().UnixNano()
	revisions := slices.Sorted(maps.Keys(w.plans))
	for i, revision := range revisions {
		p, to := w.plans[revision], end
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

// violations returns what went wrong: cached answers from before a purge that was over, and purges that an edge recorded twice or not
// at all.
func (w *world) violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []string
	for _, e := range w.edges {
		found = append(found, w.staleAnswers(e)...)
		history, err := ReadHistory(e.journal, 1)
		if err != nil {
			found = append(found, err.Error())
		}
		found = append(found, w.recordingFaults(e, history)...)
	}
	return found
}

// staleAnswers returns the cached answers of an edge from before a purge that was over. The caller holds the mutex.
func (w *world) staleAnswers(e *testEdge) []string {
	var found []string
	for _, p := range w.purges(e.site) {
		for _, a := range w.answers {
			concerned := a.edge == e && a.cached && (p.Cluster == AllClusters || p.Cluster == a.cluster)
			if concerned && p.At <= a.at && a.dataAt < p.At {
				found = append(found, fmt.Sprintf("%s: an answer as of %v at %v, behind %s", e.name, time.Unix(0, a.dataAt).UTC(), time.Unix(0, a.at).UTC(), p.ID))
			}
		}
	}
	return found
}

// recordingFaults returns the purges that an edge recorded twice, or not at all though it runs. The caller holds the mutex.
func (w *world) recordingFaults(e *testEdge, h History) []string {
	var found []string
	recorded := map[string]int{}
	for _, id := range h.Fired {
		recorded[id]++
		if recorded[id] > 1 {
			found = append(found, fmt.Sprintf("%s: %s was recorded twice", e.name, id))
		}
	}
	plan, orders, _ := parseDocuments(w.view.List(keyPrefix))
	if plan == nil || e.cancel == nil {
		return found
	}
	timetable, err := newTimetable(e.site, plan, orders)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, p := range timetable.Between(e.startedAt-1, time.Now().Add(-2*time.Second).UnixNano()) {
		if recorded[p.ID] == 0 {
			found = append(found, fmt.Sprintf("%s: %s was never recorded", e.name, p.ID))
		}
	}
	return found
}

// hitRate returns the share of answers that came from the cache.
func (w *world) hitRate() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, g := range w.answers {
		if g.cached {
			n++
		}
	}
	return float64(n) / float64(max(len(w.answers), 1))
}

// dailyCloseProposal returns a proposal by which all sites close some minutes after midnight, when a test's time begins.
func dailyCloseProposal(revision uint64, minutes int, orders ...RequestedOrder) Proposal {
	at := fmt.Sprintf("%02d:%02d", minutes/60, minutes%60)
	every := map[string]string{}
	for _, d := range []string{"sunday", "monday", "tuesday", "wednesday", "thursday", "friday", "saturday"} {
		every[d] = at
	}
	return Proposal{Revision: revision, Bounds: bounds, Orders: orders,
		Book: calendar.Book{Calendars: map[string]calendar.Calendar{"c": {Close: every}},
			Sites: map[string]calendar.Site{"a": {Zone: "UTC", Calendar: "c"}, "b": {Zone: "UTC", Calendar: "c"}}}}
}

// propose replaces the operators' file of an edge that runs.
func (e *testEdge) propose(p Proposal) {
	if e.cancel != nil {
		e.component.Propose(p)
	}
}
