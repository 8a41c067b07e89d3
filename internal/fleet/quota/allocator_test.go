package quota

import (
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

func TestWaterLevel(t *testing.T) {
	for _, c := range []struct {
		total   float64
		demands []float64
		want    float64
	}{
		{10, nil, math.Inf(1)},
		{10, []float64{3, 3}, math.Inf(1)},
		{10, []float64{8, 8}, 5},
		{10, []float64{1, 20, 20, 2}, 3.5},
		{10, []float64{0, 12}, 10},
	} {
		if got := waterLevel(c.total, slices.Clone(c.demands)); got != c.want {
			t.Errorf("%v among %v: got %v, want %v", c.total, c.demands, got, c.want)
		}
	}
}

// A new leader grants a pooler no more than the quota that the pooler reports, and counts this quota against the other poolers until it
// expires. It allocates freely once all poolers have reported or all earlier quotas have expired.
func TestLearning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		allocator := NewAllocator(9, term, drift, 3, limits)
		allocate := func(from string, number uint64, held, demand float64) float64 {
			r := Request{Instance: from, Number: number, Demands: map[string]float64{"hot/k": demand}}
			if held > 0 {
				r.Held = map[string]float64{"hot/k": held}
			}
			g, ok := allocator.Allocate(from, r)
			if !ok {
				t.Errorf("%s: request %d got no grant", from, number)
			}
			return g.Quotas["hot/k"]
		}
		if got := allocate("a", 1, 100, 30); got != 30 {
			t.Errorf("a holds 100 and requests 30: got %v, want 30", got)
		}
		if got := allocate("b", 1, 0, 500); got != 0 {
			t.Errorf("b holds no quota: got %v, want 0", got)
		}
		if _, ok := allocator.Allocate("a", Request{Instance: "a", Number: 1}); ok {
			t.Error("the same request was answered twice")
		}
		if got := allocate("c", 1, 10, 10); got != 10 || allocator.Learning() {
			t.Errorf("c holds 10: got %v, want 10; learning %v after all have reported", got, allocator.Learning())
		}
		if got := allocate("b", 2, 0, 500); got != 40 { // 150 minus the 100 and 10 that may still be in force
			t.Errorf("b, while the quotas of a and c may be in force: got %v, want 40", got)
		}
		time.Sleep(term + drift)
		if got := allocate("b", 3, 0, 500); got != 150 {
			t.Errorf("b, after all quotas have expired: got %v, want 150", got)
		}
		if next := NewAllocator(10, term, drift, 3, limits); !next.Learning() {
			t.Error("a new allocator is not in its learning period")
		} else if time.Sleep(term + drift); next.Learning() {
			t.Error("the allocator is still in its learning period after all earlier quotas have expired")
		}
	})
}
