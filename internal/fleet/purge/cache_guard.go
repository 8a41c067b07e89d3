package purge

import (
	"fmt"
	"sync/atomic"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/fleet/purge/answercache"
	"threadsail/internal/policy"
)

// CacheGuard answers requests of one front from its cache, as its edge allows. It is a routing.Guard; its counts may be read on any
// goroutine.
type CacheGuard struct {
	component *Component
	cache     *answercache.Cache
	classes   map[string]bool
	classOf   func(class int) policy.Class
	shareable func(answer any) (kept any, size int, ok bool)

	hits, misses, stored atomic.Uint64
	refused              [ReasonCount]atomic.Uint64
}

var _ dispatch.Guard = (*CacheGuard)(nil)

// NewCacheGuard is a guard for one front, with a cache of at most so many bytes for the classes that are named. info tells of a class
// by its number, and keep gives an answer as it may be given to another client, and its bytes; not ok: it can't be.
func (p *Component) NewCacheGuard(most uint64, classes []string, info func(class int) policy.Class, keep func(answer any) (kept any, size int, ok bool)) *CacheGuard {
	c := &CacheGuard{component: p, cache: answercache.New(most), classes: map[string]bool{}, classOf: info, shareable: keep}
	for _, name := range classes {
		c.classes[name] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.guards = append(p.guards, c)
	return c
}

// cacheable tells whether a request's answer may be another's: a class that the operators named, that any member may answer, with
// no bound on age, no session and no effect.
func (c *CacheGuard) cacheable(r *dispatch.Request) (answercache.Key, bool) {
	info := c.classOf(r.Class)
	ok := c.classes[info.Name] && info.Access == policy.ReadAny && info.Idempotency == policy.Idempotent && !r.HasIdempotencyKey && r.SessionCommitAt == 0 && r.CacheVariant != ""
	return answercache.Key{Cluster: r.Group, Class: r.Class, Statement: r.CacheVariant + "\x00" + r.Statement}, ok
}

// Admit is documented with routing.Guard.
func (c *CacheGuard) Admit(_ time.Duration, r *dispatch.Request) (a dispatch.Admission) {
	key, ok := c.cacheable(r)
	edge := c.component.edge.Load()
	if !ok || edge == nil {
		return a
	}
	since, why := edge.Current(r.Group)
	if why != Allowed {
		c.refused[why].Add(1)
		return a
	}
	if answer, ok := c.cache.Get(key, since); ok {
		c.hits.Add(1)
		return dispatch.Admission{Answer: answer}
	}
	c.misses.Add(1)
	return a
}

// MaySend is documented with routing.Guard.
func (c *CacheGuard) MaySend(time.Duration, *dispatch.Request, string) dispatch.SendDecision {
	return dispatch.Send
}

// RequestEnded is documented with routing.Guard. The time that the request took is counted on the loop's clock, which never steps.
func (c *CacheGuard) RequestEnded(_ time.Duration, r *dispatch.Request, e dispatch.FinalAnswer) {
	key, ok := c.cacheable(r)
	edge := c.component.edge.Load()
	if !ok || edge == nil || !e.Served || e.Answer == nil {
		return
	}
	kept, size, ok := c.shareable(e.Answer)
	if !ok {
		return
	}
	if asked, ok := edge.MayStore(r.Group, e.EndedAt-e.ArrivedAt); ok {
		c.stored.Add(1)
		c.cache.Put(key, kept, size, asked)
	}
}

// String tells what it has done, for the log.
func (c *CacheGuard) String() string {
	text := fmt.Sprintf("hits %d, misses %d, kept %d, bytes %d", c.hits.Load(), c.misses.Load(), c.stored.Load(), c.cache.Bytes())
	for why := NoPlan; why < ReasonCount; why++ {
		if n := c.refused[why].Load(); n > 0 {
			text += fmt.Sprintf(", not asked for %s %d", why, n)
		}
	}
	return text
}
