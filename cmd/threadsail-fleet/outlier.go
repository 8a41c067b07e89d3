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

// frontendStride is the distance between the numbers that two frontends' groups and classes have for the detector.
const frontendStride = 1 << 20

// memberRefreshInterval is how often the members of the frontends' groups are read.
const memberRefreshInterval = time.Second

// outlierHost carries the fleet's ejections out on the frontends, each on its own event loop. It implements outlier.Host and is safe for
// use by several goroutines.
type outlierHost struct {
	detector *outlier.Component

	mu        sync.Mutex // guards the fields below
	frontends []pooler.Frontend
	members   []map[int][]string // by frontend, then group, as of the last refreshMembers
}

// newOutlierComponent returns the component by which the fleet detects outliers among the servers and ejects them at the frontends.
func newOutlierComponent(settings *config.Config, c config.OutlierConfig) component {
	zone := ""
	if z := settings.Settings.Zone; z >= 0 && z < len(settings.Zones) {
		zone = settings.Zones[z]
	}
	h := &outlierHost{}
	h.detector = outlier.New(outlier.Settings{
		MinObservers:     c.MinObservers,
		MinZones:         c.MinZones,
		MaxEjectedShare:  c.MaxEjectedShare,
		BaseEjectionTime: c.EjectionTime,
	}, zone, h)
	return component{Component: h.detector, attach: h.attach}
}

// attach joins the detector to a frontend, before its loop runs.
func (h *outlierHost) attach(f pooler.Frontend) {
	i := h.addFrontend(f)
	f.Dispatcher.AddGuard(outlierGuard{h.detector, f.Dispatcher})
	f.Dispatcher.OnOutcome(func(server string, class int, result policy.Result, took time.Duration) {
		if kind, ok := outlier.FromResult(result); ok {
			h.detector.Observe(server, i*frontendStride+class, kind, took)
		}
	})
	f.Dispatcher.OnPrimary(func(kind policy.PrimaryEventKind, _ int, server string, _ time.Duration) {
		if kind == policy.PrimaryDown && server != "" {
			h.detector.LostPrimary(server)
		}
	})
	f.Loop.Post(func() { h.refreshMembers(i, f) })
}

// addFrontend returns the index of a new frontend.
func (h *outlierHost) addFrontend(f pooler.Frontend) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.frontends = append(h.frontends, f)
	h.members = append(h.members, nil)
	return len(h.frontends) - 1
}

// refreshMembers takes over the members of a frontend's groups, again after each memberRefreshInterval, on the frontend's event loop. An
// ejection of a server that has just been removed has no effect.
func (h *outlierHost) refreshMembers(i int, f pooler.Frontend) {
	ready := f.Dispatcher.ReadyMembers()
	h.mu.Lock()
	h.members[i] = ready
	h.mu.Unlock()
	f.Loop.After(memberRefreshInterval, func() { h.refreshMembers(i, f) })
}

// allFrontends is the frontends in the order of their indices.
func (h *outlierHost) allFrontends() []pooler.Frontend {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.frontends
}

// SetEjected implements outlier.Host.
func (h *outlierHost) SetEjected(server string, ejected bool) {
	for _, f := range h.allFrontends() {
		f.Loop.Post(func() { f.Dispatcher.SetEjectedByFleet(server, ejected) })
	}
}

// ReportPrimaryDown implements outlier.Host.
func (h *outlierHost) ReportPrimaryDown(group int) {
	frontends := h.allFrontends()
	if group/frontendStride < len(frontends) {
		f := frontends[group/frontendStride]
		f.Loop.Post(func() { f.Dispatcher.ReportPrimaryDown(group % frontendStride) })
	}
}

// Members implements outlier.Host.
func (h *outlierHost) Members() map[int][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := map[int][]string{}
	for i, groups := range h.members {
		for g, members := range groups {
			all[i*frontendStride+g] = members
		}
	}
	return all
}

// outlierGuard asks the detector about those reads alone that several members can serve.
type outlierGuard struct {
	*outlier.Component
	dispatcher *dispatch.Dispatcher
}

// MaySend implements dispatch.Guard.
func (g outlierGuard) MaySend(now time.Duration, r *dispatch.Request, server string) dispatch.SendDecision {
	access := g.dispatcher.ClassInfo(r.Class).Access
	if access == policy.Write || access == policy.ReadLatest {
		return dispatch.Send
	}
	return g.Component.MaySend(now, r, server)
}
