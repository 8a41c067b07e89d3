package main

import (
	"sync"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/dispatch"
	"threadsail/internal/fleet/outlier"
	"threadsail/internal/policy"
	"threadsail/internal/pooler"
)

// frontStride is how far apart two fronts' groups and classes are numbered for the verdicts.
const frontStride = 1 << 20

// outlierHost carries the fleet's verdicts out on the fronts' cores, each used on its own loop only.
type outlierHost struct {
	detector *outlier.Component

	mu      sync.Mutex
	fronts  []pooler.Frontend
	members []map[int][]string // by front, as of its last look
}

// newOutlierComponent is the part by which the fleet finds bad servers out, and the way of its verdicts to the fronts.
func newOutlierComponent(cfg *config.Config, c config.VerdictsPart) component {
	zone := ""
	if z := cfg.Settings.Zone; z >= 0 && z < len(cfg.Zones) {
		zone = cfg.Zones[z]
	}
	h := &outlierHost{}
	h.detector = outlier.New(outlier.Settings{MinObservers: c.Observers, MinZones: c.Rooms, MaxEjectedShare: c.Share, BaseEjectionTime: c.Term}, zone, h)
	return component{Component: h.detector, attach: h.attach}
}

// attach joins the part to a front, before its loop runs.
func (h *outlierHost) attach(f pooler.Frontend) {
	h.mu.Lock()
	i := len(h.fronts)
	h.fronts, h.members = append(h.fronts, f), append(h.members, nil)
	h.mu.Unlock()
	f.Dispatcher.AddGuard(outlierGuard{h.detector, f.Dispatcher})
	f.Dispatcher.OnOutcome(func(server string, class int, result policy.Result, took time.Duration) {
		if kind, ok := outlier.FromResult(result); ok {
			h.detector.Observe(server, i*frontStride+class, kind, took)
		}
	})
	f.Dispatcher.OnPrimary(func(kind policy.PrimaryEventKind, _ int, server string, _ time.Duration) {
		if kind == policy.PrimaryDown && server != "" {
			h.detector.LostPrimary(server)
		}
	})
	f.Loop.Post(func() { h.refreshMembers(i, f) })
}

// refreshMembers takes in the members of a front's groups, again each second: a verdict on one that left just now does nothing.
func (h *outlierHost) refreshMembers(i int, f pooler.Frontend) {
	ready := f.Dispatcher.ReadyMembers()
	h.mu.Lock()
	h.members[i] = ready
	h.mu.Unlock()
	f.Loop.After(time.Second, func() { h.refreshMembers(i, f) })
}

// allFronts is all fronts.
func (h *outlierHost) allFronts() []pooler.Frontend {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fronts
}

// SetEjected implements verdict.Host.
func (h *outlierHost) SetEjected(server string, bad bool) {
	for _, f := range h.allFronts() {
		f.Loop.Post(func() { f.Dispatcher.SetEjectedByFleet(server, bad) })
	}
}

// ReportPrimaryDown implements verdict.Host.
func (h *outlierHost) ReportPrimaryDown(group int) {
	if fronts := h.allFronts(); group/frontStride < len(fronts) {
		f := fronts[group/frontStride]
		f.Loop.Post(func() { f.Dispatcher.ReportPrimaryDown(group % frontStride) })
	}
}

// Members implements verdict.Host.
func (h *outlierHost) Members() map[int][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[int][]string{}
	for i, groups := range h.members {
		for g, members := range groups {
			out[i*frontStride+g] = members
		}
	}
	return out
}

// outlierGuard asks the part of those reads only that several members can serve.
type outlierGuard struct {
	*outlier.Component
	core *dispatch.Dispatcher
}

func (g outlierGuard) MaySend(now time.Duration, r *dispatch.Request, server string) dispatch.SendDecision {
	if need := g.core.ClassInfo(r.Class).Access; need == policy.Write || need == policy.ReadLatest {
		return dispatch.Send
	}
	return g.Component.MaySend(now, r, server)
}
