package quota

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/fleet"
	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/replication"
)

// Document is where the set of limits in force stands.
const Document = "limits/set"

const (
	topicLeader  = "quota/holder" // cast by the holder: its token
	topicRequest = "quota/ask"
	topicGrant   = "quota/grant"

	// A pooler that is short asks again after this long for each pooler of the fleet, so that a thousand a second ask at most.
	requestGapPerPooler = time.Millisecond
	minRequestGap       = 20 * time.Millisecond

	refusalLogInterval = 5 * time.Second // what was refused, in the log

	grantSenders      = 8    // answers on their way at once
	maxQueuedRequests = 1024 // asks that wait for them: a whole fleet may ask at one instant, when it hears of a new holder
)

// Options are a Part's.
type Options struct {
	Instance  string        // tells this process apart from the one before it
	Term      time.Duration // of slices
	Drift     time.Duration // the most by which two monotonic clocks differ over a term
	FleetSize int           // poolers, by the settings
	Limits    config.Limits // the operators' file's
}

// Component is the limits' part at one pooler: it asks, and deals while it holds the duty.
type Component struct {
	*Client
	options Options

	mu        sync.Mutex // guards what is below, and o.Limits
	allocator *Allocator // nil: another holds the duty, or none
}

var _ fleet.Component = (*Component)(nil)

// New returns a part that limits by the operators' file and safe shares until it runs.
func New(o Options) *Component {
	return &Component{Client: NewClient(o.Instance, o.Term, o.FleetSize, o.Limits), options: o}
}

// Propose takes over the operators' file as it is read again: where its revision is the highest it holds here at once, and for
// all once the holder has it.
func (p *Component) Propose(set config.Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.options.Limits = set
	p.SetLimits(set)
}

// Run implements fleet.Part. It never returns an error: without holder, bus or documents safe shares stand.
func (p *Component) Run(ctx context.Context, g fleet.Runtime) error {
	tenure := g.Campaign(ctx, LeaseName)
	grants := make(chan func(), maxQueuedRequests)
	wake := make(chan struct{}, 1)
	var sending sync.WaitGroup
	for range grantSenders {
		sending.Go(func() {
			for {
				select {
				case send := <-grants:
					send()
				case <-ctx.Done():
					return
				}
			}
		})
	}
	defer sending.Wait()
	g.Bus.Handle(topicLeader, func(from string, body []byte) {
		var token uint64
		if json.Unmarshal(body, &token) != nil || !p.ObserveLeader(from, token) {
			return
		}
		select {
		case wake <- struct{}{}:
		default:
		}
	})
	g.Bus.Handle(topicGrant, func(from string, body []byte) {
		var grant Grant
		if json.Unmarshal(body, &grant) != nil || !p.ApplyGrant(from, grant) {
			g.Log.Debug().Str("from", from).Msg("limits: a slice was refused")
		}
	})
	g.Bus.Handle(topicRequest, func(from string, body []byte) {
		var a Request
		if json.Unmarshal(body, &a) != nil {
			return
		}
		select {
		case grants <- func() { p.handleRequest(ctx, g, tenure, from, a) }:
		default: // it asks again
		}
	})
	select { // so that poolers that start at one instant do not ask at one
	case <-time.After(time.Duration(rand.Int64N(int64(p.options.Term / 3)))):
	case <-ctx.Done():
	}
	every := time.NewTicker(p.options.Term / 3)
	defer every.Stop()
	quick := time.NewTicker(max(minRequestGap, time.Duration(p.options.FleetSize)*requestGapPerPooler))
	defer quick.Stop()
	tell := time.NewTicker(refusalLogInterval)
	defer tell.Stop()
	var told Metrics
	documents := g.View.Changed()
	p.syncLimits(ctx, g, tenure)
	for ctx.Err() == nil {
		select {
		case <-tenure.Changed():
			p.updateLeadership(g, tenure)
		case <-documents:
			documents = g.View.Changed()
			p.syncLimits(ctx, g, tenure)
		case <-every.C:
			p.updateLeadership(g, tenure)
			p.sendRequest(ctx, g, tenure)
			p.syncLimits(ctx, g, tenure)
		case <-tell.C:
			told = p.logRefusals(g.Log, told)
		case <-quick.C:
			if p.RequestDue() {
				p.sendRequest(ctx, g, tenure)
			}
		case <-wake:
			if p.RequestDue() {
				p.sendRequest(ctx, g, tenure)
			}
		case <-ctx.Done():
		}
	}
	return nil
}

// updateLeadership begins or ends this pooler's dealing, and tells the others of it.
func (p *Component) updateLeadership(g fleet.Runtime, tenure replication.Leadership) {
	token, _, ok := tenure.Token()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok {
		if p.allocator != nil {
			g.Log.Info().Uint64("token", p.allocator.token).Msg("limits: another deals from now on")
		}
		p.allocator = nil
		return
	}
	if p.allocator == nil || p.allocator.token != token {
		p.allocator = NewAllocator(token, p.options.Term, p.options.Drift, p.poolerCount(g.Bus), p.Limits())
		g.Log.Info().Uint64("token", token).Msg("limits: dealt here from now on")
		g.Audit(audit.Record{Act: audit.QuotasAllocated, Token: token})
	}
	p.ObserveLeader(g.Bus.Self(), token)
	body, _ := json.Marshal(token)
	g.Bus.Broadcast(topicLeader, body)
}

// activeAllocator is the dealer while this pooler may act by its token.
func (p *Component) activeAllocator(tenure replication.Leadership) *Allocator {
	token, _, ok := tenure.Token()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok || p.allocator == nil || p.allocator.token != token {
		return nil
	}
	return p.allocator
}

// handleRequest deals. Should this pooler stall behind the look at its lease, what it says late is no harm: the slice counts from the
// ask, and so ends before a holder that came meanwhile has learnt.
func (p *Component) handleRequest(ctx context.Context, g fleet.Runtime, tenure replication.Leadership, from string, a Request) {
	d := p.activeAllocator(tenure)
	if d == nil {
		return
	}
	grant, ok := d.Allocate(from, a)
	if !ok {
		return
	}
	body, _ := json.Marshal(grant)
	within, cancel := context.WithTimeout(ctx, p.options.Term/3)
	defer cancel()
	if err := g.Bus.Send(within, from, topicGrant, body); err != nil {
		g.Log.Debug().Err(err).Str("to", from).Msg("limits: a slice could not be sent")
	}
}

// sendRequest asks the holder, whoever that is.
func (p *Component) sendRequest(ctx context.Context, g fleet.Runtime, tenure replication.Leadership) {
	p.SetFleetSize(p.poolerCount(g.Bus))
	a, to, ok := p.NextRequest()
	switch {
	case !ok:
	case to == g.Bus.Self():
		if d := p.activeAllocator(tenure); d != nil {
			if grant, ok := d.Allocate(to, a); ok {
				p.ApplyGrant(to, grant)
			}
		}
	default:
		body, _ := json.Marshal(a)
		within, cancel := context.WithTimeout(ctx, p.options.Term/3)
		defer cancel()
		if err := g.Bus.Send(within, to, topicRequest, body); err != nil && !errors.Is(err, bus.ErrUnknownMember) {
			g.Log.Debug().Err(err).Str("to", to).Msg("limits: the holder can't be asked")
		}
	}
}

// poolerCount is how many poolers share a reserve: the settings' number, or those alive where they are more.
func (p *Component) poolerCount(b bus.Bus) int { return max(p.options.FleetSize, b.Size()) }

// syncLimits takes over the set of limits that the fleet agrees on, and as the holder writes the operators' file's where that is newer.
func (p *Component) syncLimits(ctx context.Context, g fleet.Runtime, tenure replication.Leadership) {
	doc, found := g.View.Get(Document)
	var set config.Limits
	if found {
		var err error
		if set, err = config.ParseLimits(doc.Value); err != nil { // a newer build's: what is in force stands
			g.Log.Error().Err(err).Uint64("version", doc.Version).Msg("limits: the fleet's can't be read")
			return
		}
	}
	if p.SetLimits(set) {
		logLimits(g.Log, set)
	}
	d := p.activeAllocator(tenure)
	if d == nil {
		return
	}
	d.SetLimits(p.Limits())
	p.mu.Lock()
	file := p.options.Limits
	p.mu.Unlock()
	if file.Revision > set.Revision {
		body, _ := json.Marshal(file)
		within, cancel := context.WithTimeout(ctx, p.options.Term/3)
		defer cancel()
		if _, err := g.Store.Put(within, Document, doc.Version, body, replication.Fence{Lease: LeaseName, Token: d.token}); err != nil && !errors.Is(err, replication.ErrConflict) {
			g.Log.Warn().Err(err).Msg("limits: the file's could not be written to the stewards; it is tried again")
		}
	}
}

// logRefusals logs, for each limit that had no token here since it was told last, how often that was and what may be taken here now.
func (p *Component) logRefusals(log zerolog.Logger, before Metrics) Metrics {
	f := p.Metrics()
	holder, token := p.Leader()
	for name, n := range f.Refused {
		if since := n - before.Refused[name]; since > 0 {
			log.Info().Str("limit", name).Uint64("refused", since).Float64("rate_here", f.Rate[name]).Str("holder", holder).
				Uint64("token", token).Msg("limits: no token")
		}
	}
	return f
}

func logLimits(log zerolog.Logger, set config.Limits) {
	log.Info().Uint64("revision", set.Revision).Int("limits", len(set.List)).Msg("limits: taken")
}
