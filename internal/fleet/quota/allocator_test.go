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
		total float64
		wants []float64
		want  float64
	}{
		{10, nil, math.Inf(1)},
		{10, []float64{3, 3}, math.Inf(1)},
		{10, []float64{8, 8}, 5},
		{10, []float64{1, 20, 20, 2}, 3.5},
		{10, []float64{0, 12}, 10},
	} {
		if got := waterLevel(c.total, slices.Clone(c.wants)); got != c.want {
			t.Errorf("%v among %v: %v, want %v", c.total, c.wants, got, c.want)
		}
	}
}

// A new leader grants a pooler no more than the pooler reports, counts that against others until it has ended, and allocates anew once
// all poolers have reported or all earlier quotas have ended.
func TestLearning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		allocator := NewAllocator(9, term, drift, 3, limits)
		allocate := func(from string, number uint64, held, want float64) float64 {
			r := Request{Instance: from, Number: number, Wants: map[string]float64{"hot/k": want}}
			if held > 0 {
				r.Held = map[string]float64{"hot/k": held}
			}
			g, ok := allocator.Allocate(from, r)
			if !ok {
				t.Errorf("%s: request %d refused", from, number)
			}
			return g.Quotas["hot/k"]
		}
		if got := allocate("a", 1, 100, 30); got != 30 {
			t.Errorf("a holds 100 and wants 30: %v", got)
		}
		if got := allocate("b", 1, 0, 500); got != 0 {
			t.Errorf("b holds none: %v", got)
		}
		if _, ok := allocator.Allocate("a", Request{Instance: "a", Number: 1}); ok {
			t.Error("answered a request twice")
		}
		if got := allocate("c", 1, 10, 10); got != 10 || allocator.Learning() {
			t.Errorf("c holds 10: %v; learning %v after all have reported", got, allocator.Learning())
		}
		if got := allocate("b", 2, 0, 500); got != 40 { // 150 less the 100 and 10 that may still be in force
			t.Errorf("b, while a may apply what it held: %v", got)
		}
		time.Sleep(term + drift)
		if got := allocate("b", 3, 0, 500); got != 150 {
			t.Errorf("b, once all quotas have ended: %v", got)
		}
		if next := NewAllocator(10, term, drift, 3, limits); !next.Learning() {
			t.Error("a new leader does not learn")
		} else if time.Sleep(term + drift); next.Learning() {
			t.Error("learns after all earlier quotas have ended")
		}
	})
}
