package purge

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/fleet/purge/answercache"
	"threadsail/internal/policy"
)

// CacheGuard answers requests of one frontend from the frontend's cache, as the edge allows. It implements dispatch.Guard, on the frontend's event
// loop; its counts may be read on any goroutine.
type CacheGuard struct {
	component *Component
	cache     *answercache.Cache
	classes   map[string]bool // by name: those whose answers are cached
	classOf   func(class int) policy.Class
	shareable func(answer any) (shared any, size int, ok bool)

	hits, misses, stored atomic.Uint64
	refused              [ReasonCount]atomic.Uint64 // requests that the edge did not let be answered from the cache, by reason
}

var _ dispatch.Guard = (*CacheGuard)(nil)

// NewCacheGuard returns a guard for one frontend, with a cache of maxBytes at most for the classes that are named. classOf returns a class by
// its number. shareable returns an answer as it may be given to another client, and its size in bytes; ok is false if it may not.
func (c *Component) NewCacheGuard(maxBytes uint64, classes []string, classOf func(class int) policy.Class, shareable func(answer any) (shared any, size int, ok bool)) *CacheGuard {
	g := &CacheGuard{component: c, cache: answercache.New(maxBytes), classes: map[string]bool{}, classOf: classOf, shareable: shareable}
	for _, name := range classes {
		g.classes[name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.guards = append(c.guards, g)
	return g
}

// cacheable reports whether the answer to a request may be given to another client, and under which key: the class is one that the
// operators named, any member may answer it, and it has no bound on age, no session and no effect.
func (g *CacheGuard) cacheable(r *dispatch.Request) (answercache.Key, bool) {
	class := g.classOf(r.Class)
	plainRead := class.Access == policy.ReadAny && class.Idempotency == policy.Idempotent
	ok := g.classes[class.Name] && plainRead && !r.HasIdempotencyKey && r.SessionCommitAt == 0 && r.CacheVariant != ""
	return answercache.Key{Cluster: r.Group, Class: r.Class, Statement: r.CacheVariant + "\x00" + r.Statement}, ok
}

// Admit implements dispatch.Guard: a request is answered from the cache if the cache has a current answer.
func (g *CacheGuard) Admit(_ time.Duration, r *dispatch.Request) dispatch.Admission {
	key, ok := g.cacheable(r)
	edge := g.component.edge.Load()
	if !ok || edge == nil {
		return dispatch.Admission{}
	}
	since, why := edge.ServableSince(r.Group)
	if why != Allowed {
		g.refused[why].Add(1)
		return dispatch.Admission{}
	}
	answer, found := g.cache.Get(key, since)
	if !found {
		g.misses.Add(1)
		return dispatch.Admission{}
	}
	g.hits.Add(1)
	return dispatch.Admission{Answer: answer}
}

// MaySend implements dispatch.Guard.
func (g *CacheGuard) MaySend(time.Duration, *dispatch.Request, string) dispatch.SendDecision {
	return dispatch.Send
}

// RequestEnded implements dispatch.Guard: the answer is stored if it is shareable and current. The time that the request took is measured
// on the event loop's clock, which never steps.
func (g *CacheGuard) RequestEnded(_ time.Duration, r *dispatch.Request, f dispatch.FinalAnswer) {
	key, ok := g.cacheable(r)
	edge := g.component.edge.Load()
	if !ok || edge == nil || !f.Served || f.Answer == nil {
		return
	}
	answer, size, ok := g.shareable(f.Answer)
	if !ok {
		return
	}
	if requestedAt, ok := edge.MayStore(r.Group, f.EndedAt-f.ArrivedAt); ok {
		g.stored.Add(1)
		g.cache.Put(key, answer, size, requestedAt)
	}
}

// String returns what the cache has done, for the log.
func (g *CacheGuard) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "hits %d, misses %d, kept %d, bytes %d", g.hits.Load(), g.misses.Load(), g.stored.Load(), g.cache.Bytes())
	for why := NoPlan; why < ReasonCount; why++ {
		if n := g.refused[why].Load(); n > 0 {
			fmt.Fprintf(&b, ", not asked for %s %d", why, n)
		}
	}
	return b.String()
}
