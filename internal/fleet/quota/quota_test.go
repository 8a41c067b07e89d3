package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"threadsail/internal/config"
	"threadsail/internal/fleet/bus/bustest"
	"threadsail/internal/fleet/replication/replicationtest"
)

const (
	term  = time.Second
	drift = 50 * time.Millisecond
)

// TestMain reduces the default number of rapid checks, as each check of a bound simulates up to twelve poolers for twelve seconds. It fails
// if a goroutine is still running after the tests.
func TestMain(m *testing.M) {
	flag.Parse()
	set := false
	flag.Visit(func(f *flag.Flag) { set = set || f.Name == "rapid.checks" })
	if !set {
		_ = flag.Set("rapid.checks", "8")
	}
	goleak.VerifyTestMain(m)
}

var limits = config.Limits{Revision: 1, List: []config.Limit{
	{Name: "hot", Target: config.LimitRequests, Tenants: true, Rate: 200, Burst: 40, Reserve: 0.25},
	{Name: "new", Target: config.LimitConnections, Rate: 100, Burst: 5, Reserve: 0.4},
	tenantLimit,
}}

// Limits with a higher revision in the leader's file reach all other poolers through the shared documents, and the sum of the rates is within
// the lower limit two terms later. Limits with a lower revision are ignored.
func TestLimitsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{network: bustest.New(1), cluster: replicationtest.New(drift), rng: rand.New(rand.NewPCG(1, 7))}
		for i := range 5 {
			f.nodes = append(f.nodes, &node{name: fmt.Sprint("n", i)})
		}
		for _, n := range f.nodes {
			f.start(n)
		}
		run := func(d time.Duration) (rate float64) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				rate = 0
				for _, n := range f.nodes {
					n.component.Take(n.component.Limits().List[0], "k", 1)
					rate += n.component.Metrics().Rate["hot"]
				}
			}
			return rate
		}
		if rate := run(5 * time.Second); rate < 150 || rate > 200 {
			t.Errorf("got a rate of %v a second for a limit of 200", rate)
		}
		lower := config.Limits{Revision: 7, List: slices.Clone(limits.List)}
		lower.List[0].Rate = 40
		f.leader().component.Propose(lower)
		if rate := run(2*term + drift); rate > 40*(1+1e-9) {
			t.Errorf("got a rate of %v a second for a limit lowered to 40", rate)
		}
		f.nodes[1].component.Propose(limits)
		run(term)
		for _, n := range f.nodes {
			if got := n.component.Limits().Revision; got != 7 {
				t.Errorf("%s applies revision %d, want 7", n.name, got)
			}
			f.kill(n)
		}
		f.running.Wait()
	})
}
