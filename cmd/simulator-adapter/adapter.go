package main

import (
	"fmt"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/policy"
	"threadsail/internal/simulator"
)

// host keeps the fronts of one process and the numbered lists they refer to.
type host struct {
	fronts map[uint16]*front
	lists  [simulator.Slots][]simulator.Entry
	listed [simulator.Slots]bool
	reply  simulator.Reply
}

// front is one instance: a Router, and what is needed to translate for it.
type front struct {
	who    uint16
	router *policy.Router
	reply  *simulator.Reply
	base   time.Duration
	fields []string
}

func newHost() *host { return &host{fronts: map[uint16]*front{}} }

func (h *host) batch(b *simulator.Batch) ([]byte, error) {
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
func (h *host) event(now time.Duration, e *simulator.Event) error {
	defer func() {
		if p := recover(); p != nil {
			h.reply.Panic(e.Who, fmt.Sprint(p))
		}
	}()
	switch e.Code {
	case simulator.EvList:
		h.lists[e.Slot], h.listed[e.Slot] = e.Entries, true
		return nil
	case simulator.EvSpawn:
		return h.spawn(e)
	case simulator.EvDown:
		delete(h.fronts, e.Who)
		return nil
	}
	f := h.fronts[e.Who]
	if f == nil {
		return nil
	}
	switch e.Code {
	case simulator.EvTargets:
		if e.How == 3 {
			f.router.HandleList(now, policy.ListFailed, nil)
			return nil
		}
		if !h.listed[e.Slot] {
			return fmt.Errorf("instance %d: list number %d was never given", e.Who, e.Slot)
		}
		kind := [...]policy.ListKind{policy.ListDelta, policy.ListFull, policy.ListCached}[e.How]
		f.router.HandleList(now, kind, members(h.lists[e.Slot]))
	case simulator.EvCall:
		f.router.HandleRequest(now, policy.Request{ID: e.Handle, Class: int(e.Lane), Group: int(e.Cluster),
			Session: e.Session, Timeout: config.Milliseconds(e.Ms), SinceLastWrite: config.Milliseconds(float64(e.WroteMs))})
	case simulator.EvOutcome:
		f.router.HandleOutcome(now, f.outcome(e))
	case simulator.EvEcho:
		f.router.HandleProbeResult(now, policy.ProbeResult{Server: e.Store, Result: result(e.RC),
			Status: f.report(e.Report)})
	case simulator.EvGone:
		f.router.HandleDisconnect(now, e.Handle)
	case simulator.EvElapsed:
		f.router.HandleTimer(now)
	}
	return nil // streams and messages between fronts carry nothing that the module uses
}

func (h *host) spawn(e *simulator.Event) error {
	facts, err := config.ParseSettings(e.Bytes)
	if err != nil {
		return fmt.Errorf("instance %d: %w", e.Who, err)
	}
	set, err := config.PolicySettings(facts)
	if err != nil {
		return fmt.Errorf("instance %d: %w", e.Who, err)
	}
	f := &front{who: e.Who, reply: &h.reply, base: set.PositionEpoch, fields: facts.Report.Fields}
	router, err := policy.New(set, e.Seed, f)
	if err != nil {
		return fmt.Errorf("instance %d: %w", e.Who, err)
	}
	f.router = router
	h.fronts[e.Who] = f
	return nil
}

func members(entries []simulator.Entry) []policy.Member {
	out := make([]policy.Member, len(entries))
	for i, e := range entries {
		state := [...]policy.MemberState{policy.Removed, policy.Ready, policy.Draining}[e.Availability]
		out[i] = policy.Member{ID: e.Store, Zone: int(e.Zone), Group: int(e.Cell), State: state,
			Primary: e.Head == 1, StartedAt: config.Milliseconds(e.BootMs)}
	}
	return out
}

func result(rc uint16) policy.Result {
	switch rc {
	case 100:
		return policy.OK
	case 101:
		return policy.Misdirected
	case 301:
		return policy.ServerError
	case 302:
		return policy.Overloaded
	case 303:
		return policy.TimedOut
	case 304:
		return policy.ConnectFailed
	case 305:
		return policy.ConnectionReset
	case 306:
		return policy.Cancelled
	}
	return policy.NotSent
}

func (f *front) outcome(e *simulator.Event) policy.Outcome {
	o := policy.Outcome{RequestID: e.Handle, Attempt: int(e.Round), Server: e.Store, Result: result(e.RC),
		Answered: e.Closed, Status: f.report(e.Report)}
	switch e.Note & 3 {
	case 1:
		o.Role = policy.RolePrimary
	case 2:
		o.Role = policy.RoleReplica
	}
	if e.Note>>2 > 0 {
		o.HasPosition, o.Position = true, f.base+time.Duration(e.Note>>2)*time.Millisecond
	}
	return o
}

func (f *front) report(values []float32) policy.ServerStatus {
	var r policy.ServerStatus
	for i, v := range values {
		if i >= len(f.fields) {
			break
		}
		switch f.fields[i] {
		case "x0":
			r.HasPosition, r.Position = true, f.base+config.Milliseconds(float64(v)*1000)
		case "x1":
			r.HasRole, r.IsPrimary = true, v == 1
		case "cpu":
			r.Utilization = float64(v)
		}
	}
	return r
}

func toMs(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func (f *front) Attempt(id, store uint32, timeout time.Duration) {
	f.reply.Attempt(f.who, id, store, toMs(timeout))
}
func (f *front) Reject(id uint32, after time.Duration) { f.reply.TurnAway(f.who, id, toMs(after)) }
func (f *front) Fail(id uint32)                        { f.reply.GiveUp(f.who, id) }
func (f *front) CancelAttempt(id uint32, attempt int)  { f.reply.Abandon(f.who, id, uint8(attempt)) }
func (f *front) Probe(store uint32)                    { f.reply.Sample(f.who, store) }
func (f *front) SetTimer(after time.Duration)          { f.reply.WakeMe(f.who, toMs(after), 0) }
func (f *front) CloseIdleConnections(store uint32)     { f.reply.ShutIdle(f.who, store) }
func (f *front) WatchList()                            { f.reply.Observe(f.who, true) }
func (f *front) Log(text string)                       { f.reply.Emit(f.who, text) }

func (f *front) PrimaryChanged(n policy.PrimaryEvent) {
	if text := n.LogText(); text != "" {
		f.Log(text)
	}
}
