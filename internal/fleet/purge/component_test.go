package purge

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
	_ "time/tzdata"

	"pgregory.net/rapid"
)

// scenario is a world of five edges at two sites, with the proposal of their operators. Its course is determined by drawn numbers.
type scenario struct {
	*world
	revision uint64
	orders   []RequestedOrder
	proposal Proposal // the same at all edges
}

// newScenario starts the edges. The clocks of the first four are within a sixth of Guard of true time; that of the last may be wrong by far
// more.
func newScenario(t *testing.T, numbers []int) *scenario {
	s := &scenario{world: newWorld(t, "a", "a", "a", "b", "b"), revision: 1}
	s.proposal = s.newProposal(numbers[0])
	for i, e := range s.edges {
		skew := time.Duration(numbers[i+1]%201-100) * bounds.Guard / 600
		if i == 4 {
			skew *= time.Duration(1 << (numbers[7] % 12))
		}
		e.skew.Store(int64(skew))
		e.start(s.proposal)
	}
	return s
}

// newProposal returns a proposal with the current revision and orders, and a closing time drawn from n.
func (s *scenario) newProposal(n int) Proposal {
	return dailyCloseProposal(s.revision, 1+n%4, s.orders...)
}

// request sends requests to all edges for a duration. Its numbers are drawn from n.
func (s *scenario) request(d time.Duration, n int) {
	for end := time.Now().Add(d); time.Now().Before(end); n++ {
		for _, e := range s.edges {
			e.request(n%2, time.Duration(n*37%200)*time.Millisecond, time.Duration(n*61%1500)*time.Millisecond, time.Duration(n*83%200)*time.Millisecond)
		}
		time.Sleep(time.Duration(100+n*29%200) * time.Millisecond)
	}
}

// inject applies the ith drawn action: a fault, a restart, a change of the proposal, a step of the last edge's clock, or nothing. n selects
// the edge and the details.
func (s *scenario) inject(i, action, n int) {
	e := s.edges[n%len(s.edges)]
	switch {
	case action < 20:
		e.setIsolated(!e.isolated)
	case action < 30:
		e.stop()
		if e.isolated {
			e.view = e.view.Restart()
		}
		e.start(s.proposal)
	case action < 36:
		e.stop()
	case action < 44:
		if e.cancel == nil {
			e.start(s.proposal)
		}
	case action < 48:
		s.revision++
		s.proposal = s.newProposal(n / 8)
		e.propose(s.proposal)
	case action < 56:
		s.orders = append(s.orders, drawnOrder(fmt.Sprint("o", i), n))
		s.proposal.Orders = s.orders
		e.propose(s.proposal)
	case action < 64:
		s.edges[4].skew.Add(int64(time.Duration(n%2001-1000) * time.Millisecond * time.Duration(1<<(n/2048%10)) / 16))
	}
}

// drawnOrder returns an order for one site or all sites, and for one cluster or all clusters, as determined by n.
func drawnOrder(name string, n int) RequestedOrder {
	order := RequestedOrder{Name: name, Issued: time.Now().Add(-time.Second), Site: []string{"", "a", "b"}[n/8%3]}
	if n/32%2 == 0 {
		cluster := n / 64 % 2
		order.Cluster = &cluster
	}
	return order
}

// heal ends all partitions, starts stopped edges, and corrects the last edge's clock.
func (s *scenario) heal() {
	for _, e := range s.edges {
		e.setIsolated(false)
		if e.cancel == nil {
			e.start(s.proposal)
		}
	}
	s.edges[4].skew.Store(0)
}

// stop stops all edges, and waits until requests in flight have ended.
func (s *scenario) stop() {
	for _, e := range s.edges {
		e.stop()
	}
	time.Sleep(10 * time.Second)
}

// TestNoStaleAnswers checks the invariants of the package on random scenarios: no cached answer has data from before a past purge, and each
// edge records each purge exactly once. The scenarios have five edges at two sites, one with a clock that is wrong and steps; partitions,
// restarts during a partition, plan changes near closing times, orders, and requests in flight during all of these.
func TestNoStaleAnswers(t *testing.T) {
	runs, hitRates := 0, 0.0
	rapid.Check(t, func(rt *rapid.T) {
		actions := rapid.SliceOfN(rapid.IntRange(0, 99), 5, 30).Draw(rt, "acts")
		numbers := rapid.SliceOfN(rapid.IntRange(0, 1<<16), len(actions)+8, len(actions)+8).Draw(rt, "how")
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			s := newScenario(t, numbers)
			s.request(8*time.Second, 0)
			for i, action := range actions {
				n := numbers[i+8]
				s.inject(i, action, n)
				s.request(time.Duration(n%4000)*time.Millisecond, n)
			}
			s.heal()
			s.request(15*time.Second, 1)
			synctest.Wait()
			violations = s.violations()
			runs++
			hitRates += s.hitRate()
			s.stop()
		})
		if len(violations) > 0 {
			rt.Fatal(strings.Join(violations[:min(len(violations), 5)], "\n"))
		}
	})
	if mean := hitRates / float64(max(runs, 1)); mean < 0.1 {
		t.Errorf("%.2f of the answers came from caches, want at least 0.1: the scenarios hardly exercise the caches", mean)
	} else {
		t.Logf("%d runs, %.2f of the answers came from caches", runs, mean)
	}
}
