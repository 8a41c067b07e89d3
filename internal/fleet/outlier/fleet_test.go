package outlier

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"threadsail/internal/dispatch"
)

// A server fails for all poolers. All of them eject it, including one that sends it nothing, and a few keep probing it. After its recovery
// all poolers use it again. No other server is ejected, and no reports are broadcast before the failure and after the recovery.
func TestBadServerIsEjectedByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 24
		var isBad atomic.Bool
		c := startCluster(t, n, 1, 400*time.Millisecond, func(_ int, server string) bool { return isBad.Load() && server == "b" })
		c.startPooler(n-1, time.Hour, func(string) bool { return false }) // has no evidence of its own
		time.Sleep(5 * time.Second)
		if got := c.broadcasts(); got > 0 {
			t.Errorf("got %d broadcasts while no server is bad, want none", got)
		}
		isBad.Store(true)
		badSince := time.Now()
		took := requireWithin(t, 10*time.Second, "all eject b", func() bool { return c.countEjecting("b") == n })
		for range 40 { // the evidence of the few probers renews the ejection again and again
			time.Sleep(500 * time.Millisecond)
			if got := c.countEjecting("b"); got < n/2 {
				t.Fatalf("%d of %d eject b while it is bad", got, n)
			}
		}
		after := c.countBadSends("b", badSince.Add(took), time.Now())
		if rate := float64(after) / 20; rate > 3 { // six probers each probeInterval, with overlapping intervals; if all poolers probed, the rate would be 5
			t.Errorf("got %v requests a second to b while it is ejected, want at most 3", rate)
		}
		isBad.Store(false)
		back := requireWithin(t, testSettings.MaxStaleEjection(n), "all use b", func() bool { return c.countEjecting("b") == 0 })
		c.requireNoEjections(t, "a", "c", "d")
		time.Sleep(30 * time.Second)
		before := c.broadcasts()
		time.Sleep(5 * time.Second)
		if got := c.broadcasts() - before; got > 0 {
			t.Errorf("got %d broadcasts after the recovery, want none", got)
		}
		t.Logf("ejected by all in %v, %d requests to it in the next 20 s, used by all again in %v, %d broadcasts in total", took, after, back, before)
	})
}

// networkScenario is a randomly drawn run of a fleet with an unreliable network, in which a server is bad for a few poolers or one zone.
type networkScenario struct {
	poolers            int
	seed               uint64
	loss, duplication  float64
	delay              time.Duration
	oneZone            bool // whether the server is bad for one zone; otherwise it is for a few poolers, and there is a faulty observer
	readInterval       time.Duration
	faultyObserverZone int
	restarts           []int // indices of the poolers to restart, one every 500 ms
	partitionSize      int   // number of poolers on one side of the partition
}

func drawNetworkScenario(rt *rapid.T) (s networkScenario) {
	s.poolers = rapid.IntRange(6, 10).Draw(rt, "poolers")
	s.seed = rapid.Uint64().Draw(rt, "seed")
	s.loss = rapid.Float64Range(0, 0.4).Draw(rt, "loss")
	s.duplication = rapid.Float64Range(0, 0.4).Draw(rt, "duplication")
	s.delay = time.Duration(rapid.IntRange(1, 800).Draw(rt, "delay ms")) * time.Millisecond
	s.oneZone = rapid.Bool().Draw(rt, "one zone")
	s.readInterval = time.Duration(rapid.IntRange(100, 2000).Draw(rt, "read interval ms")) * time.Millisecond
	s.faultyObserverZone = rapid.IntRange(0, s.poolers-1).Draw(rt, "zone of the faulty observer")
	s.restarts = rapid.SliceOfN(rapid.IntRange(0, s.poolers-1), 0, 4).Draw(rt, "restarts")
	s.partitionSize = rapid.IntRange(0, s.poolers-1).Draw(rt, "partition size")
	return s
}

// isBad reports whether a server is bad for a pooler.
func (s networkScenario) isBad(pooler int, server string) bool {
	if s.oneZone {
		return pooler%3 == 0 && server == "a"
	}
	return pooler < testSettings.MinObservers-2 && server == "a" // the faulty observer is one more
}

// falseReport returns a report with which the faulty observer complains about all servers and claims a lost primary.
func (s networkScenario) falseReport(sequence uint64) Report {
	return Report{StartedAt: 1, Sequence: sequence, SentAt: time.Now().UnixNano(), Zone: fmt.Sprint("z", s.faultyObserverZone), ServersSeen: 100,
		Servers: []Observation{{Server: "a", Failed: 1 << 20}, {Server: "b", Failed: 6}, {Server: "c", Slow: 6}, {Server: "d", LostPrimary: true}}}
}

// run simulates the scenario for nine seconds and requires that no server is ejected.
func (s networkScenario) run(t *testing.T) {
	var healed atomic.Bool
	isBad := func(pooler int, server string) bool { return !healed.Load() && s.isBad(pooler, server) }
	c := startCluster(t, s.poolers, s.seed, s.readInterval, isBad)
	c.network.SetDelay(0, s.delay)
	c.network.SetLoss(s.loss, s.duplication)
	faultyObserver := c.network.Join("faulty")
	if s.oneZone {
		faultyObserver.Stop() // two zones would complain
	}
	here, there := c.names(0, s.partitionSize), c.names(s.partitionSize, s.poolers)
	for turn := range 18 {
		if turn < len(s.restarts) {
			i := s.restarts[turn]
			c.poolers[i].stop()
			c.startPooler(i, s.readInterval, func(server string) bool { return isBad(i, server) })
		}
		c.network.SetCut(here, there, turn >= 6 && turn < 15)
		if !s.oneZone {
			faultyObserver.Broadcast(topicReport, s.falseReport(uint64(turn+1)).encode())
		}
		time.Sleep(500 * time.Millisecond)
	}
	c.requireNoEjections(t, clusterServers...)
	healed.Store(true)
}

// No pooler ejects a server that is bad for fewer than MinObservers poolers, or in only one zone, despite bad links, faulty observers,
// lost, duplicated and reordered reports, partitions and restarts.
func TestNoEjectionBelowMinimums(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		scenario := drawNetworkScenario(rt)
		synctest.Test(t, scenario.run)
		if t.Failed() {
			rt.Fatal("above")
		}
	})
}

// A server that was bad for all poolers recovers, while the network is lossy, slow and permanently partitioned from then on, with or without
// traffic that could reveal the recovery. No pooler ejects the server for longer than MaxStaleEjection after that.
func TestMaxStaleEjection(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(4, 7).Draw(rt, "poolers")
		side, idle := rapid.IntRange(0, n).Draw(rt, "side"), rapid.IntRange(0, n).Draw(rt, "idle")
		badFor := time.Duration(rapid.IntRange(2, 12).Draw(rt, "bad for s")) * time.Second
		loss := rapid.Float64Range(0, 0.5).Draw(rt, "loss")
		delay := time.Duration(rapid.IntRange(1, 1000).Draw(rt, "delay ms")) * time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			settings := testSettings
			defer func() { testSettings = settings }()
			testSettings.BaseEjectionTime = time.Second
			goodFrom := time.Now().Add(badFor)
			c := startCluster(t, n, uint64(n), 100*time.Millisecond, func(_ int, server string) bool { return server == "c" && time.Now().Before(goodFrom) })
			c.network.SetDelay(0, delay)
			c.network.SetLoss(loss, loss)
			time.Sleep(badFor)
			for _, p := range c.poolers[:idle] {
				p.idle.Store(true)
			}
			c.network.SetCut(c.names(0, side), c.names(side, n), true)
			time.Sleep(testSettings.MaxStaleEjection(n) + evaluationInterval)
			if got := c.countEjecting("c"); got > 0 {
				t.Errorf("%d of %d still eject c", got, n)
			}
		})
		if t.Failed() {
			rt.Fatal("above")
		}
	})
}

// During a partition the poolers on one side cannot reach a server and eject it, while those on the other side use it. After the partition
// heals all poolers use the server, as most observers have good answers.
func TestEjectionsConvergeAfterPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n, far = 13, 5
		var isBad atomic.Bool
		c := startCluster(t, n, 3, 300*time.Millisecond, func(pooler int, server string) bool {
			return isBad.Load() && pooler < far && server == "b"
		})
		here, there := c.names(0, far), c.names(far, n)
		time.Sleep(5 * time.Second)
		isBad.Store(true)
		c.network.SetCut(here, there, true)
		requireWithin(t, 10*time.Second, "all poolers on one side eject b", func() bool { return c.countEjecting("b") == far })
		time.Sleep(10 * time.Second)
		if got := c.countEjecting("b"); got > far {
			t.Errorf("%d poolers eject b, want at most the %d on the side without access", got, far)
		}
		isBad.Store(false)
		c.network.SetCut(here, there, false)
		took := requireWithin(t, testSettings.MaxStaleEjection(n), "all use b", func() bool { return c.countEjecting("b") == 0 })
		t.Logf("used by all %v after the partition healed", took)
		isBad.Store(true) // now without a partition, the server is bad for the same minority
		time.Sleep(20 * time.Second)
		if got := c.countEjecting("b"); got > 0 {
			t.Errorf("%d of %d eject b, although it is good for the majority", got, n)
		}
	})
}

// However many of the four servers fail for all poolers, no pooler ejects more than MaxEjectedShare of the group. Where that share allows
// it, the poolers do eject the bad servers.
func TestMaxEjectedShare(t *testing.T) {
	for bad := 1; bad <= len(clusterServers); bad++ {
		synctest.Test(t, func(t *testing.T) {
			c := startCluster(t, 9, 4, 300*time.Millisecond, func(_ int, server string) bool { return slices.Contains(clusterServers[:bad], server) })
			for range 100 {
				time.Sleep(200 * time.Millisecond)
				for _, p := range c.poolers {
					if got := p.countEjected(); got > 2 {
						t.Fatalf("%d bad servers: got %d of four ejected, want at most 2", bad, got)
					}
				}
			}
			if got := c.countEjecting(clusterServers[0]); bad <= 2 && got < 8 {
				t.Errorf("%d bad servers: %d poolers eject %s, want 8 or more", bad, got, clusterServers[0])
			}
		})
	}
}

// A pooler with good answers of its own keeps using a server that all other poolers eject.
func TestLocalEvidenceOverridesFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 8, 5, 80*time.Millisecond, func(pooler int, server string) bool { return pooler > 0 && server == "c" })
		requireWithin(t, 10*time.Second, "the others eject c", func() bool { return c.countEjecting("c") == 7 })
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if c.poolers[0].ejects("c") {
				t.Fatal("SetEjected was called for c at the pooler with good answers")
			}
			if c.poolers[0].MaySend(0, &dispatch.Request{}, "c") != dispatch.Send {
				t.Fatal("MaySend avoids c at the pooler with good answers")
			}
		}
	})
}

// Once MinObservers poolers have lost a primary, all hosts are notified that it is down, including those of poolers without evidence of
// their own. Two poolers are not enough.
func TestPrimaryDownIsReported(t *testing.T) {
	for lost := range 4 {
		synctest.Test(t, func(t *testing.T) {
			c := startCluster(t, 5, 7, time.Hour, func(int, string) bool { return false })
			for _, p := range c.poolers[:lost] {
				p.LostPrimary("a")
			}
			time.Sleep(evidenceWindow + reportLifetime(5) + time.Second)
			var notifications []int32
			for _, p := range c.poolers {
				notifications = append(notifications, p.primaryDowns.Load())
			}
			if all := slices.Min(notifications) > 0; all != (lost >= testSettings.MinObservers) || slices.Max(notifications) > 6 { // once a second
				t.Errorf("%d of 5 poolers lost the primary: the hosts were notified %v times", lost, notifications)
			}
		})
	}
}

// An ejection that no pooler can clear, as there is no traffic any more, still expires at all poolers.
func TestEjectionExpiresWithoutTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 6, 6, 300*time.Millisecond, func(_ int, server string) bool { return server == "d" })
		requireWithin(t, 10*time.Second, "all eject d", func() bool { return c.countEjecting("d") == 6 })
		for _, p := range c.poolers {
			p.idle.Store(true)
		}
		limit := testSettings.BaseEjectionTime*5/4 + evidenceWindow + time.Second
		requireWithin(t, limit, "all use d", func() bool { return c.countEjecting("d") == 0 })
	})
}
