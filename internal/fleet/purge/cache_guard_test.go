package purge

import (
	"testing"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
)

// TestCacheable checks that only idempotent requests of the named classes, allowed on any server without a staleness bound and independent
// of their session, are cached.
func TestCacheable(t *testing.T) {
	guard := New("a", Proposal{}).NewCacheGuard(1<<20, []string{"any", "bounded"}, func(class int) policy.Class { return classes[class] }, nil)
	for _, test := range []struct {
		request dispatch.Request
		want    bool
	}{
		{dispatch.Request{Class: 0, CacheVariant: "f", Statement: "SELECT 1"}, true},
		{dispatch.Request{Class: 1, CacheVariant: "f", Statement: "SELECT 1"}, false}, // staleness bound
		{dispatch.Request{Class: 2, CacheVariant: "f", Statement: "SELECT 1"}, false}, // class not named
		{dispatch.Request{Class: 3, CacheVariant: "f", Statement: "SELECT 1"}, false}, // not idempotent
		{dispatch.Request{Class: 0, CacheVariant: "f", Statement: "SELECT 1", HasIdempotencyKey: true}, false},
		{dispatch.Request{Class: 0, CacheVariant: "f", Statement: "SELECT 1", SessionCommitAt: 1}, false},
		{dispatch.Request{Class: 0, Statement: "SELECT 1"}, false}, // its frontend doesn't allow sharing the answer
	} {
		if _, ok := guard.cacheable(&test.request); ok != test.want {
			t.Errorf("%+v: got cacheable %v, want %v", test.request, ok, test.want)
		}
	}
}
