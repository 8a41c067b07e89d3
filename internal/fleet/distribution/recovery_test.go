package distribution

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// isolateZone partitions a zone from the rest and heals the partition. Meanwhile the poolers outside receive a change, and those inside
// keep their replicas and know their age.
func (c *cluster) isolateZone(zone int) {
	inside, outside := c.zone(zone)
	cut := func(cut bool) {
		c.network.partition(inside, outside, cut)
		for _, name := range inside {
			c.isolated[name] = cut
		}
	}
	cut(true)
	time.Sleep(200 * time.Millisecond)
	c.write("p/a", "cut")
	c.requireNewest(recoveryLimit, "outside the zone", inside...)
	c.passHeartbeats(30)
	for name, replica := range c.replicas {
		isInside, age := slices.Contains(inside, name), time.Since(replica.ConfirmedAt())
		isOld, lags := age > 30*testHeartbeat, replica.Version() < c.version
		if isInside != lags || isInside != isOld || !isInside && age > 3*testHeartbeat {
			c.t.Errorf("%s, inside %v: version %d, confirmed %v ago", name, isInside, replica.Version(), age)
		}
	}
	cut(false)
	c.confirm()
	c.requireNewest(recoveryLimit, "the heal")
}

// stopAllDistributors stops all distributors, and then starts one without history. Meanwhile the poolers keep their replicas and know their
// age.
func (c *cluster) stopAllDistributors() {
	for _, name := range c.distributorNames() {
		c.stopDistributor(name)
	}
	c.passHeartbeats(10)
	c.write("p/a", "alone")
	for name, replica := range c.replicas {
		if age := time.Since(replica.ConfirmedAt()); age < 10*testHeartbeat || replica.Version() == 0 {
			c.t.Errorf("%s: version %d, confirmed %v ago", name, replica.Version(), age)
		}
	}
	c.startDistributor(c.endpoints[0])
	c.requireNewest(recoveryLimit, "one distributor restarted")
}

// stopDuringChange stops a distributor while a change is in flight.
func (c *cluster) stopDuringChange() {
	c.network.setDelay(20 * time.Millisecond)
	c.write("p/a", "stopped")
	time.Sleep(10 * time.Millisecond)
	c.stopDistributor("d0")
	c.requireNewest(recoveryLimit, "during a change")
}

// partitionRegions partitions the poolers of one region from the rest for some minutes of changes, with or without the region's
// distributor.
func (c *cluster) partitionRegions(minutes int, withDistributor bool) {
	inside, outside := []string{"n0", "n2"}, []string{"n1", "n3", "d1"}
	if withDistributor {
		inside = append(inside, "d0")
	} else {
		outside = append(outside, "d0")
	}
	c.network.partition(inside, outside, true)
	c.isolated["d0"] = withDistributor
	for i := range minutes / 10 {
		c.write("p/a", fmt.Sprint("apart ", i))
		c.write(fmt.Sprint("p/", i), "")
		c.passHeartbeats(600)
	}
	c.requireNewest(0, "the other region", inside...)
	c.network.partition(inside, outside, false)
	c.isolated["d0"] = false
	c.confirm()
	c.requireNewest(recoveryLimit, "the heal")
}

// restartThreeOfTen restarts three of every ten poolers, every second one with an empty replica, and returns how many had an empty one.
func (c *cluster) restartThreeOfTen() (empty int) {
	c.write("p/a", "restarts")
	for i, name := range c.poolerNames() {
		if i%10 >= 3 {
			continue
		}
		keepsReplica := i%2 == 0
		c.restartPooler(name, keepsReplica)
		if !keepsReplica {
			empty++
		}
	}
	c.requireNewest(recoveryLimit, "restarts")
	return empty
}

// After any fault, every reachable pooler has a change within the recovery limit, and all poolers have it within the recovery limit after
// the fault is healed. They receive deltas if the distributor's history reaches back to their versions. The scenarios return the expected
// number of snapshots.
func TestRecovery(t *testing.T) {
	t.Parallel()
	for _, scenario := range []struct {
		name                           string
		distributors, regions, poolers int
		run                            func(c *cluster) (snapshots int)
	}{
		{"a distributor is stopped during a change, 200 poolers", 6, 3, 200, func(c *cluster) int { c.stopDuringChange(); return 0 }},
		{"a distributor is stopped during a change, 800 poolers", 18, 3, 800, func(c *cluster) int { c.stopDuringChange(); return 0 }},
		{"a zone with a distributor is isolated", 6, 3, 200, func(c *cluster) int { c.isolateZone(0); return 0 }},
		{"a zone without a distributor is isolated", 6, 3, 200, func(c *cluster) int { c.isolateZone(9); return 0 }},
		{"30% of the poolers are restarted", 6, 3, 200, (*cluster).restartThreeOfTen},
		{"all distributors are lost and one restarts, 200 poolers", 6, 3, 200, func(c *cluster) int { c.stopAllDistributors(); return 200 }},
		{"all distributors are lost and one restarts, 800 poolers", 18, 3, 800, func(c *cluster) int { c.stopAllDistributors(); return 800 }},
		{"regions are partitioned for an hour", 2, 2, 4, func(c *cluster) int { c.partitionRegions(60, true); return 0 }},
		{"poolers of a region have no distributor for an hour", 2, 2, 4, func(c *cluster) int { c.partitionRegions(60, false); return 0 }},
		{"poolers of a region have no distributor for longer than history is kept", 2, 2, 4, func(c *cluster) int { c.partitionRegions(150, false); return 2 }},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSettledCluster(t, scenario.distributors, scenario.regions, scenario.poolers)
				defer c.close()
				before := c.trafficOf(c.poolerNames()...)
				want := scenario.run(c)
				if got := c.trafficSince(before, c.poolerNames()...).sum("in whole").frames; got != float64(want) {
					t.Errorf("got %v snapshots, want %d", got, want)
				}
			})
		})
	}
}
