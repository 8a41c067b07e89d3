package main

import (
	"fmt"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/wire"
	"threadsail/rules"
)

// host keeps the fronts of one process and the numbered lists they refer to.
type host struct {
	fronts map[uint16]*front
	lists  [wire.Slots][]wire.Entry
	listed [wire.Slots]bool
	reply  wire.Reply
}

// front is one instance: a Router, and what is needed to translate for it.
type front struct {
	who    uint16
	router *rules.Router
	reply  *wire.Reply
	base   time.Duration
	fields []string
}

func newHost() *host { return &host{fronts: map[uint16]*front{}} }

func (h *host) batch(b *wire.Batch) ([]byte, error) {
	h.reply.Reset(b.Number)
	now := config.Milliseconds(b.ClockMs)
	for i := range b.Events {
		if err := h.event(now, &b.Events[i]); err != nil {
			return nil, fmt.Errorf("record %d: %w", i, err)
		}
	}
	return h.reply.Bytes(), nil
}

// event translates one event. A panic of the decisions becomes the wire's own.
func (h *host) event(now time.Duration, e *wire.Event) error {
	defer func() {
		if p := recover(); p != nil {
			h.reply.Panic(e.Who, fmt.Sprint(p))
		}
	}()
	switch e.Code {
	case wire.EvList:
		h.lists[e.Slot], h.listed[e.Slot] = e.Entries, true
		return nil
	case wire.EvSpawn:
		return h.spawn(e)
	case wire.EvDown:
		delete(h.fronts, e.Who)
		return nil
	}
	f := h.fronts[e.Who]
	if f == nil {
		return nil
	}
	switch e.Code {
	case wire.EvTargets:
		if e.How == 3 {
			f.router.List(now, rules.ListFailed, nil)
			return nil
		}
		if !h.listed[e.Slot] {
			return fmt.Errorf("instance %d: list number %d was never given", e.Who, e.Slot)
		}
		kind := [...]rules.ListKind{rules.ListDelta, rules.ListFull, rules.ListCached}[e.How]
		f.router.List(now, kind, members(h.lists[e.Slot]))
	case wire.EvCall:
		f.router.Request(now, rules.Request{ID: e.Handle, Class: int(e.Lane), Group: int(e.Cluster),
			Session: e.Session, Patience: config.Milliseconds(e.Ms), WroteAgo: config.Milliseconds(float64(e.WroteMs))})
	case wire.EvOutcome:
		f.router.Outcome(now, f.outcome(e))
	case wire.EvEcho:
		f.router.ProbeResult(now, rules.ProbeResult{Store: e.Store, Result: result(e.RC),
			Report: f.report(e.Report)})
	case wire.EvGone:
		f.router.Gone(now, e.Handle)
	case wire.EvElapsed:
		f.router.Timer(now)
	}
	return nil // streams and messages between fronts carry nothing that the module uses
}

func (h *host) spawn(e *wire.Event) error {
	facts, err := config.ParseFacts(e.Bytes)
	if err != nil {
		return fmt.Errorf("instance %d: %w", e.Who, err)
	}
	set, err := config.Settings(facts)
	if err != nil {
		return fmt.Errorf("instance %d: %w", e.Who, err)
	}
	f := &front{who: e.Who, reply: &h.reply, base: set.BaseTime, fields: facts.Report.Fields}
	router, err := rules.New(set, e.Seed, f)
	if err != nil {
		return fmt.Errorf("instance %d: %w", e.Who, err)
	}
	f.router = router
	h.fronts[e.Who] = f
	return nil
}

func members(entries []wire.Entry) []rules.Member {
	out := make([]rules.Member, len(entries))
	for i, e := range entries {
		state := [...]rules.State{rules.Gone, rules.Ready, rules.Draining}[e.Availability]
		out[i] = rules.Member{Store: e.Store, Zone: int(e.Zone), Group: int(e.Cell), State: state,
			Primary: e.Head == 1, Started: config.Milliseconds(e.BootMs)}
	}
	return out
}

func result(rc uint16) rules.Result {
	switch rc {
	case 100:
		return rules.OK
	case 101:
		return rules.Missed
	case 301:
		return rules.Errored
	case 302:
		return rules.Full
	case 303:
		return rules.TimedOut
	case 304:
		return rules.NoConnect
	case 305:
		return rules.Reset
	case 306:
		return rules.Cancelled
	}
	return rules.Moot
}

func (f *front) outcome(e *wire.Event) rules.Outcome {
	o := rules.Outcome{ID: e.Handle, Attempt: int(e.Round), Store: e.Store, Result: result(e.RC),
		Closed: e.Closed, Report: f.report(e.Report)}
	switch e.Note & 3 {
	case 1:
		o.Role = rules.RolePrimary
	case 2:
		o.Role = rules.RoleReplica
	}
	if e.Note>>2 > 0 {
		o.HasPosition, o.Position = true, f.base+time.Duration(e.Note>>2)*time.Millisecond
	}
	return o
}

func (f *front) report(values []float32) rules.Report {
	var r rules.Report
	for i, v := range values {
		if i >= len(f.fields) {
			break
		}
		switch f.fields[i] {
		case "x0":
			r.HasPosition, r.Position = true, f.base+config.Milliseconds(float64(v)*1000)
		case "x1":
			r.HasRole, r.Primary = true, v == 1
		case "cpu":
			r.Busy = float64(v)
		}
	}
	return r
}

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (f *front) Attempt(id, store uint32, timeout time.Duration) {
	f.reply.Attempt(f.who, id, store, toMs(timeout))
}
func (f *front) Refuse(id uint32, after time.Duration) { f.reply.TurnAway(f.who, id, toMs(after)) }
func (f *front) Fail(id uint32)                        { f.reply.GiveUp(f.who, id) }
func (f *front) Cancel(id uint32, attempt int)         { f.reply.Abandon(f.who, id, uint8(attempt)) }
func (f *front) Probe(store uint32)                    { f.reply.Sample(f.who, store) }
func (f *front) SetTimer(after time.Duration)          { f.reply.WakeMe(f.who, toMs(after), 0) }
func (f *front) CloseIdle(store uint32)                { f.reply.ShutIdle(f.who, store) }
func (f *front) Watch()                                { f.reply.Observe(f.who, true) }
func (f *front) Log(text string)                       { f.reply.Emit(f.who, text) }

func (f *front) Primary(n rules.News) {
	if text := n.Text(); text != "" {
		f.Log(text)
	}
}
