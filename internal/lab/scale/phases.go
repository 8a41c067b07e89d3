package scale

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"threadsail/internal/fleet/replication"
	"threadsail/internal/fleet/traffic"
	"threadsail/internal/lab/standin"
)

// shot is what all poolers and their processes have taken up to now.
type shot struct {
	poolers map[string]point
	reals   map[string]process
	hollows []process // by child
	at      []time.Time
}

// point is what one pooler's sockets have seen up to a time.
type point struct {
	at      time.Time
	traffic []traffic.Count
	kind    string
}

// shoot asks all processes.
func (p *play) shoot() (s shot, err error) {
	s = shot{poolers: map[string]point{}, reals: map[string]process{}}
	for _, c := range p.children {
		a, err := c.sample()
		if err != nil {
			return s, err
		}
		s.hollows, s.at = append(s.hollows, a.Process), append(s.at, a.At)
		for name, t := range a.Traffic {
			s.poolers[name] = point{a.At, t, kindHollow}
		}
	}
	for _, r := range p.reals {
		t, err := r.traffic()
		if err != nil {
			return s, err
		}
		s.poolers[r.name] = point{time.Now(), t, kindReal}
		s.reals[r.name] = r.process()
	}
	return s, nil
}

// phases plays the phases in their order.
func (p *play) phases() error {
	if err := p.join(); err != nil {
		return err
	}
	p.say("settling")
	settle := p.Settle
	if p.Mechanism == Gossip {
		settle += time.Duration(p.size) * settleEach
	}
	if !pause(p.stop, settle) {
		return errStopped
	}
	for _, phase := range []struct {
		name   string
		during func() error
	}{
		{Rest, func() error { return p.wait(time.Now().Add(p.Window)) }},
		{Change, func() error { return p.change(Change, changeEvery) }},
		{Changes60, func() error { return p.change(Changes60, time.Second) }},
		{Restart, p.restart},
		{Loss5, p.lose},
	} {
		if !p.plays(phase.name) {
			continue
		}
		before, err := p.shoot()
		if err != nil {
			return err
		}
		if err := phase.during(); err != nil {
			return err
		}
		after, err := p.shoot()
		if err != nil {
			return err
		}
		p.account(phase.name, before, after)
		if err := p.known(phase.name); err != nil {
			return err
		}
		p.say("%s: an ordinary hollow pooler sends %.0f B/s and %.1f messages/s, of %.4f cores", phase.name, p.values[cell{phase.name, "pooler", kindHollow, "bytes_out", "B/s"}],
			p.values[cell{phase.name, "pooler", kindHollow, "messages_out", "1/s"}], p.values[cell{phase.name, "pooler", kindHollow, "cpu", "core"}])
		switch phase.name {
		case Change, Changes60:
			if err := p.forced(phase.name); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *play) wait(until time.Time) error {
	if !pause(p.stop, time.Until(until)) {
		return errStopped
	}
	return nil
}

// each does something to all children at once.
func (p *play) each(do func(c *child) error) error {
	errs := make([]error, len(p.children))
	var all sync.WaitGroup
	for i, c := range p.children {
		all.Go(func() { errs[i] = do(c) })
	}
	all.Wait()
	return cmp.Or(errs...)
}

// join starts all poolers at once and waits until all know all.
func (p *play) join() error {
	began := time.Now()
	first := began
	before := shot{poolers: map[string]point{}, reals: map[string]process{}}
	for _, c := range p.children {
		before.hollows, before.at = append(before.hollows, c.base), append(before.at, began)
	}
	reals, errs := make([]*realPooler, p.Real), make([]error, p.Real)
	var all sync.WaitGroup
	for i := range p.Real {
		m := p.files.Member(name(i), fmt.Sprintf("%016x", rand.Uint64()), func(s *standin.Server) string { return s.Addr })
		m.File("PROXY_FLEET", p.fleetFile(i))
		all.Go(func() { reals[i], errs[i] = startReal(p.Pooler(), name(i), m.Env) })
	}
	err := p.each(func(c *child) error {
		_, err := c.ask(ask{Do: doStart, Config: p.files.Env["PROXY_CONFIG"], Poolers: c.poolers, Over: p.JoinOver})
		return err
	})
	all.Wait()
	for _, r := range reals {
		if r != nil {
			p.reals = append(p.reals, r)
		}
	}
	if err = cmp.Or(err, cmp.Or(errs...)); err != nil {
		return err
	}
	began = began.Add(p.JoinOver) // what they take to know each other counts from the last start
	p.say("%d poolers are up, %d of them hollow in %d processes", p.size, p.size-p.Real, len(p.children))
	knew := map[string]time.Duration{}
	for short := p.size - p.Real; len(knew) < short && time.Since(began) < p.JoinMost; {
		if !pause(p.stop, knowEvery) {
			return errStopped
		}
		for _, c := range p.children {
			a, err := c.ask(ask{Do: doKnow, Members: p.size})
			if err != nil {
				return err
			}
			for _, name := range a.Knowing {
				if _, ok := knew[name]; !ok {
					knew[name] = time.Since(began)
				}
			}
		}
	}
	after, err := p.shoot()
	if err != nil {
		return err
	}
	for name, at := range after.poolers {
		before.poolers[name] = point{at: first, kind: at.kind}
	}
	for name := range after.reals {
		before.reals[name] = process{}
	}
	p.account(Join, before, after)
	hollows := p.size - p.Real
	p.set(Join, "pooler", kindHollow, "knowing", "1", float64(len(knew)))
	times := make([]float64, 0, len(knew))
	for _, d := range knew {
		times = append(times, d.Seconds())
	}
	if slices.Sort(times); len(times) == hollows {
		p.set(Join, "pooler", kindHollow, "known_all", "s", times[hollows-1])
		p.set(Join, "pooler", kindHollow, "known_median", "s", times[hollows/2])
		p.say("all %d know all after %.1f s", p.size, times[hollows-1])
		return nil
	}
	p.note("%d poolers: after %.0f s %d of %d hollow poolers knew all; what follows is measured in a fleet that does not know itself whole", p.size, time.Since(began).Seconds(), len(knew), hollows)
	return nil
}

func (p *play) note(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	p.notes = append(p.notes, line)
	p.say("%s", line)
}

// known measures how many members a hollow pooler knows at the end of a phase.
func (p *play) known(phase string) error {
	sum, n := 0, 0
	for _, c := range p.children {
		a, err := c.ask(ask{Do: doKnow, Members: p.size})
		if err != nil {
			return err
		}
		sum, n = sum+a.Known, n+len(c.poolers)
	}
	p.set(phase, "pooler", kindHollow, "known", "1", float64(sum)/float64(n))
	return nil
}

// change writes the document again and again over a window.
func (p *play) change(phase string, every time.Duration) error {
	if err := p.sights(map[int]map[string]int64{}); err != nil { // those before
		return err
	}
	p.written = map[int]time.Time{}
	until := time.Now().Add(p.Window)
	for next := time.Now(); next.Before(until); next = next.Add(every) {
		if err := p.wait(next); err != nil {
			return err
		}
		p.changes++
		began := time.Now()
		if err := p.put(); err != nil {
			p.note("%d poolers, %s: change %d: %v", p.size, phase, p.changes, err)
			continue
		}
		p.written[p.changes] = began
	}
	return p.wait(until)
}

// put writes the document through the stewards.
func (p *play) put() error {
	value, err := json.Marshal(change{p.changes, strings.Repeat("x", p.Fill)})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), putFor)
	defer cancel()
	for range 2 {
		var version uint64
		if version, err = p.store.Put(ctx, changeKey, p.version, value, replication.Fence{}); err == nil {
			p.version = version
			return nil
		}
		d, failed := p.store.Read(ctx, changeKey)
		if failed != nil {
			return failed
		}
		if p.version = d.Version; string(d.Value) == string(value) { // the answer alone was lost
			return nil
		}
	}
	return err
}

// sights takes in which changes have come into force where and when: by change, the first time of each pooler.
func (p *play) sights(at map[int]map[string]int64) error {
	for _, c := range p.children {
		seen, err := c.sights()
		if err != nil {
			return err
		}
		for _, s := range seen {
			if at[s.Change] == nil {
				at[s.Change] = map[string]int64{}
			}
			if _, ok := at[s.Change][s.Pooler]; !ok {
				at[s.Change][s.Pooler] = s.At
			}
		}
	}
	return nil
}

// forced measures how long after its writing began each change of a phase was in force at the hollow poolers: there, or a newer one.
func (p *play) forced(phase string) error {
	at := map[int]map[string]int64{}
	poolers := p.size - p.Real
	for until := time.Now().Add(forceGrace); ; {
		if err := p.sights(at); err != nil {
			return err
		}
		if len(at[p.changes]) == poolers || time.Now().After(until) {
			break
		}
		if !pause(p.stop, 200*time.Millisecond) {
			return errStopped
		}
	}
	var medians, nines, lasts []float64
	missed := 0
	inForce := map[string]int64{} // from the newest change back: when it or a newer one was
	for n := p.changes; n > p.changes-len(p.written)*2 && n > 0; n-- {
		for name, t := range at[n] {
			if old, ok := inForce[name]; !ok || t < old {
				inForce[name] = t
			}
		}
		began, ok := p.written[n]
		if !ok {
			continue
		}
		missed += poolers - len(inForce)
		var took []float64
		for _, t := range inForce {
			took = append(took, time.Unix(0, t).Sub(began).Seconds())
		}
		if slices.Sort(took); len(took) > 0 {
			medians, nines, lasts = append(medians, took[len(took)/2]), append(nines, took[min(len(took)*99/100, len(took)-1)]), append(lasts, took[len(took)-1])
		}
	}
	if len(lasts) == 0 {
		p.note("%d poolers, %s: no change came into force", p.size, phase)
		return nil
	}
	p.set(phase, "pooler", kindHollow, "in_force_median", "s", median(medians))
	p.set(phase, "pooler", kindHollow, "in_force_99", "s", median(nines))
	p.set(phase, "pooler", kindHollow, "in_force_last", "s", slices.Max(lasts))
	p.set(phase, "pooler", kindHollow, "in_force_missed", "1", float64(missed))
	p.say("%s: %d changes, in force at the median pooler after %.3f s, at 99%% after %.3f s, at the last after %.3f s (the worst change); missed %d times", phase, len(lasts),
		median(medians), median(nines), slices.Max(lasts), missed)
	return nil
}

// restart ends a hollow pooler and starts it again, each time another one drawn at random.
func (p *play) restart() error {
	until := time.Now().Add(p.Window)
	for next := time.Now(); next.Before(until); next = next.Add(restartEvery) {
		if err := p.wait(next); err != nil {
			return err
		}
		c := p.children[rand.IntN(len(p.children))]
		if err := c.restart(c.poolers[rand.IntN(len(c.poolers))]); err != nil {
			return err
		}
	}
	return p.wait(until)
}

// lose kills the last process of hollow poolers.
func (p *play) lose() error {
	last := len(p.children) - 1
	if last == 0 {
		return errors.New("too few poolers for a loss")
	}
	p.children[last].end()
	p.children = p.children[:last]
	return p.wait(time.Now().Add(p.Window))
}
