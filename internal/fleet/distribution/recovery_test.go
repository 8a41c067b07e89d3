package distribution

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// cutZone cuts a zone off, and heals it: those outside have a change meanwhile, those inside keep what they have and know its age.
func (c *cluster) cutZone(zone int) {
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

// loseAll stops all distributors, and starts one again that remembers nothing: the poolers keep what they have meanwhile, and know its
// age.
func (c *cluster) loseAll() {
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
	c.requireNewest(recoveryLimit, "one is back")
}

// stopDuringChange stops a distributor while a change is on its way.
func (c *cluster) stopDuringChange() {
	c.network.setDelay(20 * time.Millisecond)
	c.write("p/a", "stopped")
	time.Sleep(10 * time.Millisecond)
	c.stopDistributor("d0")
	c.requireNewest(recoveryLimit, "during a change")
}

// partRegions cuts the poolers of one region off for some minutes of changes, with or without the region's distributor.
func (c *cluster) partRegions(minutes int, withDistributor bool) {
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

// restartThird restarts three of ten poolers, every second of them with an empty replica, and returns how many those were.
func (c *cluster) restartThird() (empty int) {
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

// Whatever is lost, the last pooler that can be reached has a change within the recovery limit, and all have it within that after the
// heal, by deltas where their distributor remembers what they have. The plays return how many snapshots are to be sent.
func TestRecovery(t *testing.T) {
	t.Parallel()
	for _, play := range []struct {
		what                           string
		distributors, regions, poolers int
		run                            func(c *cluster) (snapshots int)
	}{
		{"a distributor is stopped during a change, of 200", 6, 3, 200, func(c *cluster) int { c.stopDuringChange(); return 0 }},
		{"a distributor is stopped during a change, of 800", 18, 3, 800, func(c *cluster) int { c.stopDuringChange(); return 0 }},
		{"a zone with a distributor is cut off", 6, 3, 200, func(c *cluster) int { c.cutZone(0); return 0 }},
		{"a zone without a distributor is cut off", 6, 3, 200, func(c *cluster) int { c.cutZone(9); return 0 }},
		{"30% are restarted", 6, 3, 200, (*cluster).restartThird},
		{"all distributors are lost, then one is back, of 200", 6, 3, 200, func(c *cluster) int { c.loseAll(); return 200 }},
		{"all distributors are lost, then one is back, of 800", 18, 3, 800, func(c *cluster) int { c.loseAll(); return 800 }},
		{"regions are apart for an hour", 2, 2, 4, func(c *cluster) int { c.partRegions(60, true); return 0 }},
		{"poolers of a region are alone for an hour", 2, 2, 4, func(c *cluster) int { c.partRegions(60, false); return 0 }},
		{"poolers of a region are alone for longer than history is kept", 2, 2, 4, func(c *cluster) int { c.partRegions(150, false); return 2 }},
	} {
		t.Run(play.what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSettledCluster(t, play.distributors, play.regions, play.poolers)
				defer c.close()
				before := c.trafficOf(c.poolerNames()...)
				want := play.run(c)
				if got := c.trafficSince(before, c.poolerNames()...).sum("in whole").frames; got != float64(want) {
					t.Errorf("got %v snapshots, want %d", got, want)
				}
			})
		})
	}
}
