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

// scenario is five edges of two sites and what their operators want, driven by drawn numbers.
type scenario struct {
	*world
	revision uint64
	orders   []RequestedOrder
	proposal Proposal // of all operators' files
}

// newScenario starts the edges. The majority's clocks are within a sixth of a guard; the last edge's is anywhere.
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

// newProposal returns a proposal of the present revision and orders.
func (s *scenario) newProposal(n int) Proposal {
	return dailyCloseProposal(s.revision, 1+n%4, s.orders...)
}

// request sends requests to all edges for a time.
func (s *scenario) request(d time.Duration, n int) {
	for end := time.Now().Add(d); time.Now().Before(end); n++ {
		for _, e := range s.edges {
			e.request(n%2, time.Duration(n*37%200)*time.Millisecond, time.Duration(n*61%1500)*time.Millisecond, time.Duration(n*83%200)*time.Millisecond)
		}
		time.Sleep(time.Duration(100+n*29%200) * time.Millisecond)
	}
}

// inject does the ith of the drawn acts, to an edge by its number.
func (s *scenario) inject(i, act, n int) {
	e := s.edges[n%len(s.edges)]
	switch {
	case act < 20:
		e.setIsolated(!e.isolated)
	case act < 30:
		e.stop()
		if e.isolated {
			e.view = e.view.Restart()
		}
		e.start(s.proposal)
	case act < 36:
		e.stop()
	case act < 44:
		if e.cancel == nil {
			e.start(s.proposal)
		}
	case act < 48:
		s.revision++
		s.proposal = s.newProposal(n / 8)
		e.propose(s.proposal)
	case act < 56:
		s.orders = append(s.orders, drawnOrder(fmt.Sprint("o", i), n))
		s.proposal.Orders = s.orders
		e.propose(s.proposal)
	case act < 64:
		s.edges[4].skew.Add(int64(time.Duration(n%2001-1000) * time.Millisecond * time.Duration(1<<(n/2048%10)) / 16))
	}
}

// drawnOrder returns an order for a site or all, and a cluster or all, by a drawn number.
func drawnOrder(name string, n int) RequestedOrder {
	o := RequestedOrder{Name: name, Issued: time.Now().Add(-time.Second), Site: []string{"", "a", "b"}[n/8%3]}
	if n/32%2 == 0 {
		cluster := n / 64 % 2
		o.Cluster = &cluster
	}
	return o
}

// heal heals all faults.
func (s *scenario) heal() {
	for _, e := range s.edges {
		e.setIsolated(false)
		if e.cancel == nil {
			e.start(s.proposal)
		}
	}
	s.edges[4].skew.Store(0)
}

// stop stops all edges, and waits for what is still in flight.
func (s *scenario) stop() {
	for _, e := range s.edges {
		e.stop()
	}
	time.Sleep(10 * time.Second)
}

// Five edges of two sites, one of them with a clock that is anywhere and steps; cuts, restarts while cut off, plans changed around their
// closes, orders, and requests in flight across all of that. No cached answer is from before a purge that was over, and each edge records
// each purge once.
func TestNoStaleAnswers(t *testing.T) {
	runs, shares := 0, 0.0
	rapid.Check(t, func(rt *rapid.T) {
		acts := rapid.SliceOfN(rapid.IntRange(0, 99), 5, 30).Draw(rt, "acts")
		numbers := rapid.SliceOfN(rapid.IntRange(0, 1<<16), len(acts)+8, len(acts)+8).Draw(rt, "how")
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			s := newScenario(t, numbers)
			s.request(8*time.Second, 0)
			for i, act := range acts {
				n := numbers[i+8]
				s.inject(i, act, n)
				s.request(time.Duration(n%4000)*time.Millisecond, n)
			}
			s.heal()
			s.request(15*time.Second, 1)
			synctest.Wait()
			violations = s.violations()
			runs++
			shares += s.hitRate()
			s.stop()
		})
		if len(violations) > 0 {
			rt.Fatal(strings.Join(violations[:min(len(violations), 5)], "\n"))
		}
	})
	if mean := shares / float64(max(runs, 1)); mean < 0.1 {
		t.Errorf("%.2f of the answers came from caches: the property is idle", mean)
	} else {
		t.Logf("%d runs, %.2f of the answers came from caches", runs, mean)
	}
}
