package shardmap

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"threadsail/internal/fleet/replication"
)

// checksPerTerm is the part of a term after which a holder looks again at moves under way; words and changes have it look at once.
const checksPerTerm = 20

// maxLoggedReasons bounds what is remembered to have been said.
const maxLoggedReasons = 1 << 10

// coordinate does the holder's work whenever the duty is here.
func (p *Component) coordinate(ctx context.Context, g Runtime) {
	if g.Leadership == nil {
		return
	}
	for ctx.Err() == nil {
		changed := g.Leadership.Changed()
		if token, _, ok := g.Leadership.Token(); ok {
			office, cancel := context.WithCancel(ctx)
			p.serveTerm(office, g, token)
			cancel()
			p.coordinator.EndTerm()
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(p.options.Term / requestsPerTerm): // it was left for want of an answer, and may be here still
		}
	}
}

// serveTerm takes moves on by a token, until the token is lost or the stewards do not answer.
func (p *Component) serveTerm(ctx context.Context, g Runtime, token uint64) {
	if !p.beginTerm(ctx, g, token) {
		return
	}
	g.Log.Info().Uint64("token", token).Msg("shards: takes moves on")
	for ctx.Err() == nil {
		changed, lost := g.View.Changed(), g.Leadership.Changed()
		if now, _, ok := g.Leadership.Token(); !ok || now != token {
			return
		}
		stepped, err := p.advanceMoves(ctx, g, token)
		if err != nil {
			g.Log.Warn().Err(err).Uint64("token", token).Msg("shards: a step was not written")
			if errors.Is(err, replication.ErrFenced) || !p.beginTerm(ctx, g, token) {
				return
			}
		}
		if stepped || err != nil {
			continue
		}
		var look <-chan time.Time
		if d, _ := p.coordinator.Document(); d.hasUnfinishedMove() {
			look = time.After(p.options.Term / checksPerTerm)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-lost:
		case <-p.coordinatorWake:
		case <-look:
		}
	}
}

// hasUnfinishedMove tells whether a move is under way, before or behind its switch.
func (d Document) hasUnfinishedMove() bool {
	for _, m := range d.Moves {
		if m.State != Done && m.State != Undone {
			return true
		}
	}
	return false
}

// beginTerm reads the document as the stewards have it, and puts the first map, or this holder's name, into it where that is wanted.
// What a write has come to whose answer was lost is learned the same way.
func (p *Component) beginTerm(ctx context.Context, g Runtime, token uint64) bool {
	call, cancel := context.WithTimeout(ctx, p.options.Term)
	doc, err := g.Store.Read(call, MapKey)
	cancel()
	var d Document
	if err == nil {
		d, err = parseDocument(doc.Value)
	}
	if err != nil {
		g.Log.Warn().Err(err).Msg("shards: the map can't be read from the stewards")
		return false
	}
	p.coordinator.BeginTerm(token, d, doc.Version)
	switch {
	case d.Epoch == 0 && len(p.options.Ranges) > 0:
		err = p.writeDocument(ctx, g, token, Document{Epoch: max(p.options.Epoch, 1), Ranges: p.options.Ranges})
	case d.hasUnfinishedMove() && d.Holder != p.options.Name:
		err = p.writeDocument(ctx, g, token, d)
	}
	return err == nil
}

// writeDocument writes a step: it holds only while this holder's token is in the table and nothing else has been written since it read.
func (p *Component) writeDocument(ctx context.Context, g Runtime, token uint64, d Document) error {
	_, version := p.coordinator.Document()
	d.Holder = p.options.Name
	call, cancel := context.WithTimeout(ctx, p.options.Term)
	defer cancel()
	version, err := g.Store.Put(call, MapKey, version, d.encode(), replication.Fence{Lease: LeaseName, Token: token})
	if err == nil {
		p.coordinator.DocumentWritten(d, version)
	}
	return err
}

// advanceMoves takes each move as far as it goes now. It tells whether a step was written: then there may be more.
func (p *Component) advanceMoves(ctx context.Context, g Runtime, token uint64) (stepped bool, err error) {
	if stepped, err = p.carryOutOrders(ctx, g, token); stepped || err != nil {
		return stepped, err
	}
	enrolled := Enrollment{Version: g.View.Version(), Instances: map[string]string{}}
	for _, doc := range g.View.List(RouterPrefix) {
		enrolled.Instances[strings.TrimPrefix(doc.Key, RouterPrefix)] = string(doc.Value)
	}
	d, _ := p.coordinator.Document()
	for _, m := range d.Moves {
		s, ok := p.coordinator.NextStep(m.Name, enrolled, p.progressOf(m).lastAct)
		switch {
		case !ok && (m.State == Prepared || m.State == Fenced):
			if lacks := p.coordinator.WaitingFor(m.Name, enrolled); len(lacks) > 0 {
				p.logOnce(fmt.Sprint(m.SinceEpoch, lacks), func() {
					g.Log.Info().Str("move", m.Name).Str("state", string(m.State)).Strs("waits for", lacks).Msg("shards: a move waits for poolers")
				})
			}
		case !ok:
		case s.Next == nil:
			p.startAct(ctx, g, s)
		default:
			if err := p.writeDocument(ctx, g, token, *s.Next); err != nil {
				return false, err
			}
			now, _ := s.Next.Move(m.Name)
			line := g.Log.Info().Str("move", m.Name).Str("state", string(now.State)).Uint64("epoch", now.SinceEpoch).Str("why", now.Reason)
			if now.State == Switched {
				line = line.Interface("ranges", s.Next.Ranges) // what the operators' file must say should the stewards' folders be lost
			}
			line.Msg("shards: a move has come further")
			return true, nil
		}
	}
	return false, nil
}

// carryOutOrders begins the moves that the operators have ordered, and undoes those that they want no more. What is turned down is said once.
func (p *Component) carryOutOrders(ctx context.Context, g Runtime, token uint64) (stepped bool, err error) {
	d, _ := p.coordinator.Document()
	for _, doc := range g.View.List(OrderPrefix) {
		var o Order
		if json.Unmarshal(doc.Value, &o) != nil || o.Name == "" {
			continue
		}
		next := d
		why := error(nil)
		if _, known := d.Move(o.Name); known && o.Undo {
			next = d.Undo(o.Name, "ordered")
		} else if !known && !o.Undo {
			next, why = d.Begin(o)
		}
		if why != nil {
			p.logOnce(string(doc.Value)+why.Error(), func() { g.Log.Warn().Err(why).Str("move", o.Name).Msg("shards: an order is not carried out") })
		}
		if next.Epoch != d.Epoch {
			g.Log.Info().Str("move", o.Name).Bool("undo", o.Undo).Uint64("epoch", next.Epoch).Msg("shards: an order is carried out")
			return true, p.writeDocument(ctx, g, token, next)
		}
	}
	return false, nil
}

func (p *Component) logOnce(what string, say func()) {
	p.mu.Lock()
	before := p.logged[what]
	if len(p.logged) >= maxLoggedReasons { // then some are said again
		clear(p.logged)
	}
	p.logged[what] = true
	p.mu.Unlock()
	if !before {
		say()
	}
}

// progressOf is how far the acts of a move's present state are.
func (p *Component) progressOf(m Move) progress {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a := p.actProgress[m.Name]; a.stateEpoch == m.SinceEpoch {
		return a
	}
	return progress{stateEpoch: m.SinceEpoch}
}

// startAct has an act done on a goroutine of its own, as it may take long: one at a time for each move, again after a failure.
func (p *Component) startAct(ctx context.Context, g Runtime, s Step) {
	name := s.Move.Name
	before := p.progressOf(s.Move)
	if before.running || time.Now().Before(before.retryAt) {
		return
	}
	note := func(d progress) {
		p.mu.Lock()
		p.actProgress[name] = d
		p.mu.Unlock()
		notify(p.coordinatorWake)
	}
	before.running = true
	note(before)
	i := p.coordinator.Instruct(s)
	go func() {
		err := p.options.Copier.Do(ctx, i)
		after := progress{stateEpoch: s.Move.SinceEpoch, lastAct: s.Act}
		if err != nil {
			g.Log.Warn().Err(err).Str("move", name).Str("act", string(s.Act)).Msg("shards: an act has failed")
			after.lastAct, after.retryAt = before.lastAct, time.Now().Add(p.options.Term/requestsPerTerm)
		}
		note(after)
	}()
}
