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

// bounds has no WriteLead, since the test cluster applies a write immediately or never. A lead would only hide faults in the rest of
// activationDelay.
var bounds = Bounds{Guard: 400 * time.Millisecond, MaxReplicaAge: 5 * time.Second, Settle: 200 * time.Millisecond}

// receivedAnswer is an answer that a client received. Its times are true times, in Unix ns.
type receivedAnswer struct {
	at      int64
	dataAt  int64 // time of the data that the server answered from
	cached  bool  // served from the edge's cache
	edge    *testEdge
	cluster int
}

// testEdge is one pooler across its restarts.
type testEdge struct {
	name, site string
	world      *world
	skew       atomic.Int64 // offset of its clock from true time, ns
	startedAt  int64        // first start, by its own clock
	journal    string
	view       *replicationtest.View
	client     *replicationtest.Client
	isolated   bool
	component  *Component
	guard      *CacheGuard
	cancel     context.CancelFunc
	stopped    chan struct{}
}

// world is a set of edges on one network. It simulates database servers whose data are those of the time of the read, less a replica lag.
type world struct {
	t       *testing.T
	network *bustest.Network
	cluster *replicationtest.Cluster
	dir     string
	edges   []*testEdge
	view    *replicationtest.View

	mu      sync.Mutex
	plans   map[uint64]Plan // each plan that was stored, by revision
	answers []receivedAnswer
}

// newWorld returns a world with one edge for each given site. It records the stored plans until the test ends.
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

// start starts the edge, which runs until stop is called.
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
	e.guard = e.component.NewCacheGuard(1<<20, []string{"any"}, func(class int) policy.Class { return classes[class] }, func(answer any) (any, int, bool) { return answer, 8, true })
	ctx, cancel := context.WithCancel(e.world.t.Context())
	runtime := fleet.Runtime{Bus: e.world.network.Join(e.name), View: e.view, Store: e.client, Log: zerolog.Nop(),
		Campaign: func(ctx context.Context, d lease.Name) replication.Leadership {
			return e.client.Campaign(ctx, d, replication.CandidateOptions{LeaseTerm: term, MaxClockDrift: drift})
		},
		Audit: func(r audit.Record) {
			if ctx.Err() != nil { // the record comes from a request that was in flight during stop
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

// stop stops the edge if it is running, and waits until it has stopped.
func (e *testEdge) stop() {
	if e.cancel != nil {
		e.cancel()
		<-e.stopped
		e.cancel = nil
	}
}

// setIsolated partitions the edge from all other edges and the voters, or heals the partition.
func (e *testEdge) setIsolated(isolated bool) {
	e.isolated = isolated
	e.world.network.SetIsolated(e.name, isolated)
	e.client.SetPartitioned(isolated)
	e.view.SetPartitioned(isolated)
}

// classes are the classes of requests, by number.
var classes = []policy.Class{{Name: "any"}, {Name: "bounded", Access: policy.ReadBounded}, {Name: "other"}, {Name: "any", Idempotency: policy.NotIdempotent}}

// request sends one request. It is answered from the cache, or by a server: toServer later the server reads data that is lag old, and its
// answer arrives after a further toClient.
func (e *testEdge) request(cluster int, toServer, toClient, lag time.Duration) {
	if e.cancel == nil {
		return
	}
	r := &dispatch.Request{Class: 0, Group: cluster, CacheVariant: "f", Statement: "SELECT 1"}
	guard := e.guard
	now := time.Now()
	if admission := guard.Admit(0, r); admission.Answer != nil {
		e.world.receive(receivedAnswer{now.UnixNano(), admission.Answer.(int64), true, e, cluster})
		return
	}
	go func() {
		time.Sleep(toServer)
		dataAt := time.Now().Add(-lag).UnixNano()
		time.Sleep(toClient)
		guard.RequestEnded(0, r, dispatch.FinalAnswer{Served: true, Answer: dataAt, ArrivedAt: time.Duration(now.UnixNano()), EndedAt: time.Duration(time.Now().UnixNano())})
		e.world.receive(receivedAnswer{time.Now().UnixNano(), dataAt, false, e, cluster})
	}()
}

// receive records an answer that a client received.
func (w *world) receive(a receivedAnswer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answers = append(w.answers, a)
}

// purges returns all purges of a site until now, according to all plans that were in force and the orders.
func (w *world) purges(site string) (events []Event) {
	_, orders, _ := parseDocuments(w.view.List(keyPrefix))
	end := time.Now().UnixNano()
	revisions := slices.Sorted(maps.Keys(w.plans))
	for i, revision := range revisions {
		p, to := w.plans[revision], end
		if i+1 < len(revisions) {
			to = min(to, w.plans[revisions[i+1]].EffectiveAt-1)
		}
		p.Previous = nil
		timetable, err := newTimetable(site, &p, nil)
		if err != nil {
			w.t.Fatal(err)
		}
		events = append(events, timetable.Between(p.EffectiveAt-1, to)...)
	}
	for _, o := range orders {
		if o.Site == "" || o.Site == site {
			event := Event{ID: "order " + o.Name, At: o.EffectiveAt, Cluster: AllClusters}
			if o.Cluster != nil {
				event.Cluster = *o.Cluster
			}
			events = append(events, event)
		}
	}
	return events
}

// violations describes all violations of the invariants: cached answers with data from before a past purge, and purges that an edge
// recorded twice or not at all.
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

// staleAnswers describes the cached answers of an edge with data from before a past purge. The caller holds the mutex.
func (w *world) staleAnswers(e *testEdge) []string {
	var found []string
	for _, p := range w.purges(e.site) {
		for _, a := range w.answers {
			affected := a.edge == e && a.cached && (p.Cluster == AllClusters || p.Cluster == a.cluster)
			if affected && p.At <= a.at && a.dataAt < p.At {
				found = append(found, fmt.Sprintf("%s: cached answer with data of %v received at %v, after %s", e.name, time.Unix(0, a.dataAt).UTC(), time.Unix(0, a.at).UTC(), p.ID))
			}
		}
	}
	return found
}

// recordingFaults describes the purges that an edge recorded twice or, if the edge is running, not at all. The caller holds the mutex.
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

// hitRate returns the fraction of answers that were served from a cache.
func (w *world) hitRate() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	hits := 0
	for _, answer := range w.answers {
		if answer.cached {
			hits++
		}
	}
	return float64(hits) / float64(max(len(w.answers), 1))
}

// dailyCloseProposal returns a proposal in which sites "a" and "b" close every day the given minutes after midnight UTC, which is when the
// simulated time of a test starts.
func dailyCloseProposal(revision uint64, minutes int, orders ...RequestedOrder) Proposal {
	closeTime := fmt.Sprintf("%02d:%02d", minutes/60, minutes%60)
	closeByWeekday := map[string]string{}
	for _, day := range []string{"sunday", "monday", "tuesday", "wednesday", "thursday", "friday", "saturday"} {
		closeByWeekday[day] = closeTime
	}
	return Proposal{Revision: revision, Bounds: bounds, Orders: orders,
		Book: calendar.Book{Calendars: map[string]calendar.Calendar{"c": {Close: closeByWeekday}},
			Sites: map[string]calendar.Site{"a": {Zone: "UTC", Calendar: "c"}, "b": {Zone: "UTC", Calendar: "c"}}}}
}

// propose replaces the proposal of the edge if it is running.
func (e *testEdge) propose(p Proposal) {
	if e.cancel != nil {
		e.component.Propose(p)
	}
}
