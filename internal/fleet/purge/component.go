package purge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"threadsail/internal/fleet"
	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
)

// writerLease is held by whoever writes plans and orders, while it does.
const writerLease lease.Name = "purges"

const topicTime = "purge/time"

const (
	initialComparisonInterval = 100 * time.Millisecond // between readings of other clocks until there are enough
	maxComparisonInterval     = 5 * time.Second        // and at most later, however old copies may be
	maxConcurrentAnswers      = 8                      // readings for others under way at once; further ones are asked for again
	reportInterval            = time.Minute            // of what the caches did
)

// Component is the purges at one pooler: fleet.Part. What its fields say is fixed before Run.
type Component struct {
	Site         string
	Journal      string        // the file of the pooler's acts; empty: purges of earlier processes are not known of
	KeptJournals int           // files put aside beside it
	Term         time.Duration // of leases

	edge             atomic.Pointer[Edge] // nil before Run
	proposalChanged  chan struct{}
	documentsChanged chan struct{} // the documents have changed

	mu       sync.Mutex
	proposal Proposal
	guards   []*CacheGuard

	runtime         fleet.Runtime
	wall            func() int64 // nil: the machine's
	pendingReadings sync.Map     // of readings under way, by their numbers
	lastReading     atomic.Uint64
	answerSlots     chan struct{} // of readings for others
}

var _ fleet.Component = (*Component)(nil)

// New is a part that proposes what its operators' file says.
func New(site string, p Proposal) *Component {
	return &Component{Site: site, proposal: p, proposalChanged: make(chan struct{}, 1), documentsChanged: make(chan struct{}, 1), answerSlots: make(chan struct{}, maxConcurrentAnswers)}
}

// Propose takes in another proposal, as of a file that was read again.
func (p *Component) Propose(next Proposal) {
	p.mu.Lock()
	p.proposal = next
	p.mu.Unlock()
	notify(p.proposalChanged)
}

func (p *Component) currentProposal() Proposal {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.proposal
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run is documented with fleet.Part.
func (p *Component) Run(ctx context.Context, g fleet.Runtime) error {
	p.runtime = g
	history, err := ReadHistory(p.Journal, p.KeptJournals)
	if err != nil { // it may note purges again, and answers as ever
		g.Log.Error().Err(err).Msg("purge: the journal can't be read")
	}
	edge := NewEdge(p.Site, g.View, history, p.handlePurge)
	if p.wall != nil {
		edge.wall = p.wall
	}
	g.Bus.Handle(topicTime, func(from string, body []byte) { p.handleReading(ctx, edge, from, body) })
	p.edge.Store(edge)
	var running sync.WaitGroup
	for _, run := range []func(context.Context, *Edge){p.followDocuments, p.compareClocks, p.firePurges, p.propose, p.report} {
		running.Go(func() { run(ctx, edge) })
	}
	running.Wait()
	p.edge.Store(nil) // requests are still answered, as if there were no part
	return nil
}

// handlePurge notes a purge and empties the caches. What they hold would not be given any more in any case.
func (p *Component) handlePurge(e Event, now int64) {
	p.runtime.Audit(audit.Record{Act: audit.Purged, Purge: e.ID, Due: e.At})
	p.runtime.Log.Info().Str("purge", e.ID).Int64("due_ns", e.At).Int64("at_ns", now).Msg("purged")
	p.mu.Lock()
	fronts := slices.Clone(p.guards)
	p.mu.Unlock()
	for _, c := range fronts {
		c.cache.Drop(e.Cluster, e.Cluster == AllClusters)
	}
}

// followDocuments takes each newer version of the documents in.
func (p *Component) followDocuments(ctx context.Context, e *Edge) {
	said := ""
	for ctx.Err() == nil {
		changed := p.runtime.View.Changed()
		e.Refresh()
		notify(p.documentsChanged)
		if err := e.Err(); err != nil && err.Error() != said {
			said = err.Error()
			p.runtime.Log.Warn().Err(err).Msg("purge: nothing is answered from the cache")
		} else if err == nil {
			said = ""
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// firePurges notes purges as they come.
func (p *Component) firePurges(ctx context.Context, e *Edge) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-p.documentsChanged:
		case <-time.After(e.FireDue()):
		}
	}
}

// report tells now and then, and at the end, what the caches did.
func (p *Component) report(ctx context.Context, _ *Edge) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(reportInterval):
		}
		p.mu.Lock()
		for _, c := range p.guards {
			p.runtime.Log.Info().Stringer("answers", c).Msg("purge: cache")
		}
		p.mu.Unlock()
	}
}

// clockReading is what two poolers say to compare their clocks.
type clockReading struct {
	Number     uint64 `json:"number"`
	IsRequest  bool   `json:"asks,omitempty"`
	ReceivedAt int64  `json:"got,omitempty"`  // Unix ns, by the one that was asked
	SentAt     int64  `json:"sent,omitempty"` // likewise
}

// pendingReading is a reading under way.
type pendingReading struct {
	peer      string
	sentAt    int64
	startedAt time.Time
}

// compareClocks asks another pooler for its clock again and again: often until enough are known, then four times in the age that a
// copy of the documents may have.
func (p *Component) compareClocks(ctx context.Context, e *Edge) {
	for ctx.Err() == nil {
		others := slices.DeleteFunc(p.runtime.Bus.Members(), func(m string) bool { return m == p.runtime.Bus.Self() })
		e.SetOtherPoolers(len(others))
		if len(others) > 0 {
			peer := others[rand.IntN(len(others))]
			number := p.lastReading.Add(1)
			text, err := json.Marshal(clockReading{Number: number, IsRequest: true})
			if err != nil {
				panic(err) // two plain fields
			}
			p.pendingReadings.Store(number, pendingReading{peer, e.wall(), time.Now()})
			p.send(ctx, peer, text)
		}
		pause := initialComparisonInterval
		if e.ClockCompared() {
			pause = min(max(p.bounds().MaxReplicaAge/4, initialComparisonInterval), maxComparisonInterval)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		p.pendingReadings.Range(func(n, a any) bool { // the answers are lost
			if time.Since(a.(pendingReading).startedAt) > maxComparisonInterval {
				p.pendingReadings.Delete(n)
			}
			return true
		})
	}
}

// bounds are the fleet's, or this pooler's own while it knows of none.
func (p *Component) bounds() Bounds {
	if plan, _, err := parseDocuments(p.runtime.View.List(keyPrefix)); err == nil && plan != nil {
		return plan.Bounds
	}
	return p.currentProposal().Bounds
}

func (p *Component) send(ctx context.Context, to string, text []byte) {
	call, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := p.runtime.Bus.Send(call, to, topicTime, text); err != nil && ctx.Err() == nil {
		p.runtime.Log.Debug().Err(err).Str("to", to).Msg("purge: clocks can't be compared")
	}
}

// handleReading takes in what another pooler says of clocks.
func (p *Component) handleReading(ctx context.Context, e *Edge, from string, body []byte) {
	now := e.wall()
	var r clockReading
	if json.Unmarshal(body, &r) != nil {
		return
	}
	if !r.IsRequest {
		if a, ok := p.pendingReadings.LoadAndDelete(r.Number); ok && a.(pendingReading).peer == from {
			e.AddClockReading(from, a.(pendingReading).sentAt, r.ReceivedAt, r.SentAt, now, time.Since(a.(pendingReading).startedAt))
		}
		return
	}
	select {
	case p.answerSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-p.answerSlots }()
		text, err := json.Marshal(clockReading{Number: r.Number, ReceivedAt: now, SentAt: e.wall()})
		if err != nil {
			panic(err) // three plain fields
		}
		p.send(ctx, from, text)
	}()
}

// propose writes what the documents lack of the file.
func (p *Component) propose(ctx context.Context, e *Edge) {
	said := ""
	for ctx.Err() == nil {
		changed := p.runtime.View.Changed()
		w, again, err := p.missingWrite(e)
		if err != nil && err.Error() != said {
			said = err.Error()
			p.runtime.Log.Error().Err(err).Msg("purge: the file's plan is not taken")
		}
		if w != nil {
			p.writeMissing(ctx, e)
			again = p.Term
		}
		var timer <-chan time.Time
		if again > 0 {
			timer = time.After(again)
		}
		select {
		case <-ctx.Done():
		case <-timer:
		case <-changed:
		case <-p.proposalChanged:
			said = ""
		}
	}
}

// missingWrite is what this pooler's copy lacks of the file. Until the copy is confirmed and the clock compared there is nothing to
// go by.
func (p *Component) missingWrite(e *Edge) (w *documentWrite, again time.Duration, err error) {
	wish := p.currentProposal()
	if wish.Revision == 0 && len(wish.Orders) == 0 {
		return nil, 0, nil
	}
	now, ok := e.ClockAgrees(p.bounds().Guard)
	if !ok || p.runtime.View.ConfirmedAt().IsZero() {
		return nil, initialComparisonInterval, nil
	}
	return wish.nextWrite(p.runtime.View.List(keyPrefix), now)
}

// writeMissing stands for the duty and writes all that is lacking. A write that may yet be applied is given up together with the lease
// that it names, so that it is applied within Bounds.Lead or not at all.
func (p *Component) writeMissing(ctx context.Context, e *Edge) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	select { // of many that start with one file the first writes, and the others find it written
	case <-ctx.Done():
		return
	case <-time.After(rand.N(p.Term)):
	}
	if w, _, err := p.missingWrite(e); w == nil || err != nil {
		return
	}
	tenure := p.runtime.Campaign(ctx, writerLease)
	for {
		won, changed := tenure.Changed(), p.runtime.View.Changed()
		if _, _, ok := tenure.Token(); ok {
			break
		}
		select {
		case <-ctx.Done():
			return
		case <-won:
		case <-changed:
			if w, _, err := p.missingWrite(e); w == nil || err != nil {
				return
			}
		}
	}
	for {
		docs, err := p.proposalDocuments(ctx)
		token, _, ok := tenure.Token()
		now, agrees := e.ClockAgrees(p.bounds().Guard) // last: an instant is counted from here on
		if !ok || !agrees {
			return
		}
		var w *documentWrite
		if err == nil {
			w, _, err = p.currentProposal().nextWrite(docs, now)
		}
		if err != nil || w == nil {
			p.logWriteFailure(err)
			return
		}
		call, done := context.WithTimeout(ctx, p.Term)
		_, err = p.runtime.Store.Put(call, w.key, w.expectedVersion, w.value, replication.Fence{Lease: writerLease, Token: token})
		done()
		if err != nil {
			p.logWriteFailure(err)
			return
		}
		p.runtime.Log.Info().Str("document", w.key).Msg("purge: written")
	}
}

func (p *Component) logWriteFailure(err error) {
	if err != nil {
		p.runtime.Log.Warn().Err(err).Msg("purge: not written")
	}
}

// proposalDocuments are the documents that a proposal may change, as the stewards have them.
func (p *Component) proposalDocuments(ctx context.Context) (docs []replication.Document, err error) {
	keys := map[string]bool{planKey: true}
	for _, o := range p.currentProposal().Orders {
		keys[orderPrefix+o.Name] = true
	}
	for _, d := range p.runtime.View.List(orderPrefix) {
		keys[d.Key] = true
	}
	call, cancel := context.WithTimeout(ctx, p.Term)
	defer cancel()
	for key := range keys {
		d, err := p.runtime.Store.Read(call, key)
		if err != nil {
			return nil, err
		}
		if d.Version > 0 {
			docs = append(docs, d)
		}
	}
	return docs, nil
}
