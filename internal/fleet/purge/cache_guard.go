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

// CacheGuard answers requests of one frontend from that frontend's cache while the edge allows it. It implements dispatch.Guard, whose
// methods must be called on the frontend's event loop; its counters may be read on any goroutine.
type CacheGuard struct {
	component *Component
	cache     *answercache.Cache
	classes   map[string]bool // names of the classes whose answers are cached
	classOf   func(class int) policy.Class
	shareable func(answer any) (shared any, size int, ok bool)

	hits, misses, stored atomic.Uint64
	bypassed             [ReasonCount]atomic.Uint64 // requests for which the edge did not allow cached answers, by reason
}

var _ dispatch.Guard = (*CacheGuard)(nil)

// NewCacheGuard returns a guard for one frontend, with a cache of at most maxBytes for requests of the named classes. classOf returns a
// class by its number. shareable returns the form of an answer that may be served to other clients, and its size in bytes; ok is false if
// the answer must not be shared.
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

// cacheable reports whether the answer to a request may be served to other clients, and returns its cache key. The request must be of a
// class that the operators named, idempotent, and allowed on any server without a staleness bound. It must depend on no commit of its
// session and carry no idempotency key, and its frontend must have set CacheVariant.
func (g *CacheGuard) cacheable(r *dispatch.Request) (answercache.Key, bool) {
	class := g.classOf(r.Class)
	plainRead := class.Access == policy.ReadAny && class.Idempotency == policy.Idempotent
	ok := g.classes[class.Name] && plainRead && !r.HasIdempotencyKey && r.SessionCommitAt == 0 && r.CacheVariant != ""
	return answercache.Key{Cluster: r.Group, Class: r.Class, Statement: r.CacheVariant + "\x00" + r.Statement}, ok
}

// Admit implements dispatch.Guard. It answers a request from the cache if the cache holds an answer that the edge allows to be served.
func (g *CacheGuard) Admit(_ time.Duration, r *dispatch.Request) dispatch.Admission {
	key, ok := g.cacheable(r)
	edge := g.component.edge.Load()
	if !ok || edge == nil {
		return dispatch.Admission{}
	}
	since, reason := edge.ServableSince(r.Group)
	if reason != Allowed {
		g.bypassed[reason].Add(1)
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

// MaySend implements dispatch.Guard. It allows every attempt.
func (g *CacheGuard) MaySend(time.Duration, *dispatch.Request, string) dispatch.SendDecision {
	return dispatch.Send
}

// RequestEnded implements dispatch.Guard. It stores the answer if it is shareable and the edge allows it to be stored. The duration of the
// request is measured on the event loop's clock, which never steps.
func (g *CacheGuard) RequestEnded(_ time.Duration, r *dispatch.Request, final dispatch.FinalAnswer) {
	key, ok := g.cacheable(r)
	edge := g.component.edge.Load()
	if !ok || edge == nil || !final.Served || final.Answer == nil {
		return
	}
	answer, size, ok := g.shareable(final.Answer)
	if !ok {
		return
	}
	if requestedAt, ok := edge.MayStore(r.Group, final.EndedAt-final.ArrivedAt); ok {
		g.stored.Add(1)
		g.cache.Put(key, answer, size, requestedAt)
	}
}

// String returns the counters and the size of the cache, for the log.
func (g *CacheGuard) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "hits %d, misses %d, stored %d, bytes %d", g.hits.Load(), g.misses.Load(), g.stored.Load(), g.cache.Bytes())
	for reason := NoPlan; reason < ReasonCount; reason++ {
		if count := g.bypassed[reason].Load(); count > 0 {
			fmt.Fprintf(&b, ", bypassed (%s) %d", reason, count)
		}
	}
	return b.String()
}
