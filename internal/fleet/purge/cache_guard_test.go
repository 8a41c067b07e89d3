package purge

import (
	"testing"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
)

// Only reads that the operators named, that any member may answer and that have no effect are cached.
func TestCacheable(t *testing.T) {
	c := New("a", Proposal{}).NewCacheGuard(1<<20, []string{"any", "bounded"}, func(c int) policy.Class { return classes[c] }, nil)
	for _, k := range []struct {
		r    dispatch.Request
		want bool
	}{
		{dispatch.Request{Class: 0, CacheVariant: "f", Statement: "SELECT 1"}, true},
		{dispatch.Request{Class: 1, CacheVariant: "f", Statement: "SELECT 1"}, false}, // bounded in age
		{dispatch.Request{Class: 2, CacheVariant: "f", Statement: "SELECT 1"}, false}, // not named
		{dispatch.Request{Class: 3, CacheVariant: "f", Statement: "SELECT 1"}, false}, // may leave something behind
		{dispatch.Request{Class: 0, CacheVariant: "f", Statement: "SELECT 1", HasIdempotencyKey: true}, false},
		{dispatch.Request{Class: 0, CacheVariant: "f", Statement: "SELECT 1", SessionCommitAt: 1}, false},
		{dispatch.Request{Class: 0, Statement: "SELECT 1"}, false}, // its frontend says that it may not be another's
	} {
		if _, ok := c.cacheable(&k.r); ok != k.want {
			t.Errorf("%+v: %v", k.r, ok)
		}
	}
}
