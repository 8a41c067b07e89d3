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

// tenantLimit has a second's burst: wants come unevenly, and of a small burst nothing is left at one of thirty poolers.
var tenantLimit = config.Limit{Name: "tenant", Target: config.LimitRequests, Tenants: true, Rate: 200, Burst: 200, Reserve: 0.25}

// load makes a fleet take tokens for a time, step by step: wants returns how often each pooler tries each tenant in a step, in
// thousandths. It returns what was tried and taken after the warm-up, by tenant.
func load(size, tenants int, warm, length time.Duration, wants func(pooler, tenant int) int) (tried, taken []float64, w *world) {
	const step = 10 * time.Millisecond
	tried, taken = make([]float64, tenants), make([]float64, tenants)
	w = &world{network: bustest.New(1), cluster: replicationtest.New(drift), rng: rand.New(rand.NewPCG(1, 7))}
	w.network.SetDelay(time.Millisecond, time.Millisecond)
	for i := range size {
		w.nodes = append(w.nodes, &node{name: fmt.Sprint("n", i)})
	}
	for _, n := range w.nodes {
		w.start(n)
	}
	l := tenantLimit
	for now := time.Duration(0); now < length; now += step {
		for p, n := range w.nodes {
			for tenant := range tenants {
				each := wants(p, tenant)
				tries := each / 1000
				if w.rng.IntN(1000) < each%1000 {
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
	for _, n := range w.nodes {
		w.kill(n)
	}
	w.running.Wait()
	return tried, taken, w
}

// A tenant that tries fifteen times its limit through a third of the poolers gets its limit and no more, and four others that
// stay within theirs, spread over all poolers, are served but for what comes in bursts at one pooler.
func TestHotTenant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, warm, length = 30, 3 * time.Second, 8 * time.Second
		tried, taken, _ := load(size, 5, warm, length, func(pooler, tenant int) int {
			switch {
			case tenant > 0:
				return 1000 / size // 100 a second over all
			case pooler%3 == 0:
				return 3000 // 3000 a second
			}
			return 0
		})
		l := tenantLimit
		span := (length - warm).Seconds()
		t.Logf("hot: %.0f tried and %.0f taken a second; others:", tried[0]/span, taken[0]/span)
		if most := l.Rate*span + l.Burst + size; taken[0] > most || taken[0] < 0.8*l.Rate*span {
			t.Errorf("the hot tenant took %.0f in %v s, of a limit of %.0f", taken[0], span, most)
		}
		for i := 1; i < len(tried); i++ {
			t.Logf("  %.0f tried, %.3f of them taken", tried[i]/span, taken[i]/tried[i])
			if taken[i] < 0.8*tried[i] {
				t.Errorf("tenant %d took %.0f of %.0f within its limit", i, taken[i], tried[i])
			}
		}
	})
}

// The messages that a pooler sends a second do not grow with the fleet.
func TestMessagesBySize(t *testing.T) {
	sizes := map[int]float64{30: 0, 100: 0}
	if !testing.Short() {
		sizes[300] = 0
	}
	for size := range sizes {
		synctest.Test(t, func(t *testing.T) {
			const length = 4 * time.Second
			_, _, w := load(size, 3, 0, length, func(int, int) int { return 9000 / size }) // 900 a second of a limit of 200
			sends, broadcasts := w.network.MessageCounts()
			sizes[size] = float64(sends) / length.Seconds() / float64(size)
			t.Logf("%d poolers: %.1f messages a second each, %.0f bytes; %.1f datagrams of the leader's a second for each",
				size, sizes[size], float64(w.sentBytes.Load())/length.Seconds()/float64(size), float64(broadcasts)/length.Seconds()/float64(size))
		})
	}
	for size, n := range sizes {
		if n > 2*(1/minRequestGap.Seconds()) || size > 30 && n > 1.5*sizes[30] {
			t.Errorf("%d poolers send %.1f messages a second each", size, n)
		}
	}
}
