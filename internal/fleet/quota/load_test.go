package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/fleet/bus/bustest"
	"threadsail/internal/fleet/replication/replicationtest"
)

// tenantLimit has a burst of one second of its rate. Demand fluctuates, and with a smaller burst the share of one of thirty poolers would be
// too small to absorb that.
var tenantLimit = config.Limit{Name: "tenant", Target: config.LimitRequests, Tenants: true, Rate: 200, Burst: 200, Reserve: 0.25}

// runLoad runs a fleet for length and makes its poolers take tokens in each step. demand returns the number of tokens, in thousandths, that a
// pooler tries to take for a tenant in a step. runLoad returns the numbers of tokens tried and taken after the warm-up time, by tenant.
func runLoad(size, tenants int, warm, length time.Duration, demand func(pooler, tenant int) int) (tried, taken []float64, f *testFleet) {
	const step = 10 * time.Millisecond
	tried, taken = make([]float64, tenants), make([]float64, tenants)
	f = &testFleet{network: bustest.New(1), cluster: replicationtest.New(drift), rng: rand.New(rand.NewPCG(1, 7))}
	f.network.SetDelay(time.Millisecond, time.Millisecond)
	for i := range size {
		f.nodes = append(f.nodes, &node{name: fmt.Sprint("n", i)})
	}
	for _, n := range f.nodes {
		f.start(n)
	}
	l := tenantLimit
	for now := time.Duration(0); now < length; now += step {
		for p, n := range f.nodes {
			for tenant := range tenants {
				milliTries := demand(p, tenant)
				tries := milliTries / 1000
				if f.rng.IntN(1000) < milliTries%1000 {
					tries++
				}
				for range tries {
					_, ok := n.component.Take(l, fmt.Sprint(tenant), 1)
					if now >= warm {
						tried[tenant]++
						if ok {
							taken[tenant]++
						}
					}
				}
			}
		}
		time.Sleep(step)
		synctest.Wait()
	}
	for _, n := range f.nodes {
		f.kill(n)
	}
	f.running.Wait()
	return tried, taken, f
}

// A tenant with a demand of fifteen times its limit at a third of the poolers gets its limit and no more. Four tenants that stay within their
// limits, with demand at all poolers, are served except for bursts at single poolers.
func TestHotTenant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, warm, length = 30, 3 * time.Second, 8 * time.Second
		tried, taken, _ := runLoad(size, 5, warm, length, func(pooler, tenant int) int {
			switch {
			case tenant > 0:
				return 1000 / size // 100 a second at all poolers together
			case pooler%3 == 0:
				return 3000 // 3000 a second
			}
			return 0
		})
		l := tenantLimit
		span := (length - warm).Seconds()
		t.Logf("hot tenant: %.0f tokens tried and %.0f taken a second; other tenants:", tried[0]/span, taken[0]/span)
		if maxTaken := l.Rate*span + l.Burst + size; taken[0] > maxTaken || taken[0] < 0.8*l.Rate*span {
			t.Errorf("the hot tenant took %.0f tokens in %v s, want at most %.0f and at least 80%% of its limit", taken[0], span, maxTaken)
		}
		for i := 1; i < len(tried); i++ {
			t.Logf("  %.0f tokens tried a second, %.3f of them taken", tried[i]/span, taken[i]/tried[i])
			if taken[i] < 0.8*tried[i] {
				t.Errorf("tenant %d, within its limit, took only %.0f of %.0f tokens", i, taken[i], tried[i])
			}
		}
	})
}

// The rate of messages that a pooler sends does not grow with the size of the fleet.
func TestMessageRateByFleetSize(t *testing.T) {
	sizes := map[int]float64{30: 0, 100: 0}
	if !testing.Short() {
		sizes[300] = 0
	}
	for size := range sizes {
		synctest.Test(t, func(t *testing.T) {
			const length = 4 * time.Second
			_, _, f := runLoad(size, 3, 0, length, func(int, int) int { return 9000 / size }) // 900 a second of a limit of 200
			sends, broadcasts := f.network.MessageCounts()
			sizes[size] = float64(sends) / length.Seconds() / float64(size)
			t.Logf("%d poolers: %.1f messages a second each, %.0f bytes; %.1f broadcasts of the leader a second for each pooler",
				size, sizes[size], float64(f.sentBytes.Load())/length.Seconds()/float64(size), float64(broadcasts)/length.Seconds()/float64(size))
		})
	}
	for size, n := range sizes {
		if n > 2*(1/minEarlyRequestInterval.Seconds()) || size > 30 && n > 1.5*sizes[30] {
			t.Errorf("%d poolers send %.1f messages a second each", size, n)
		}
	}
}
