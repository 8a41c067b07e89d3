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

// A server fails for all. All poolers eject it, also those that never asked it in this time; a few go on probing; when it is good again all
// use it. No other server is ejected, and the fleet is silent before and after.
func TestBadServerIsEjectedByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 24
		var isBad atomic.Bool
		c := startCluster(t, n, 1, 400*time.Millisecond, func(_ int, server string) bool { return isBad.Load() && server == "b" })
		c.startPooler(n-1, time.Hour, func(string) bool { return false }) // sees nothing at all
		time.Sleep(5 * time.Second)
		if got := c.broadcasts(); got > 0 {
			t.Errorf("got %d broadcasts in a calm, want none", got)
		}
		isBad.Store(true)
		badSince := time.Now()
		took := requireWithin(t, 10*time.Second, "all eject b", func() bool { return c.countEjecting("b") == n })
		for range 40 { // the few that probe it renew the ejection, again and again
			time.Sleep(500 * time.Millisecond)
			if got := c.countEjecting("b"); got < n/2 {
				t.Fatalf("%d of %d eject b while it is bad", got, n)
			}
		}
		after := c.countBadSends("b", badSince.Add(took), time.Now())
		if rate := float64(after) / 20; rate > 3 { // six poolers each probeInterval, and turns that overlap; all would make 5
			t.Errorf("got %v requests a second to b while it is ejected, want at most 3", rate)
		}
		isBad.Store(false)
		back := requireWithin(t, testSettings.MaxStaleEjection(n), "all use b", func() bool { return c.countEjecting("b") == 0 })
		c.requireNoEjections(t, "a", "c", "d")
		time.Sleep(30 * time.Second)
		before := c.broadcasts()
		time.Sleep(5 * time.Second)
		if got := c.broadcasts() - before; got > 0 {
			t.Errorf("got %d broadcasts after it, want none", got)
		}
		t.Logf("ejected by all in %v, %d requests to it in the 20 s after, used by all again in %v, %d broadcasts in all", took, after, back, before)
	})
}

// badNetwork is a drawn play of a fleet in which a server is bad for a few poolers, or for one zone.
type badNetwork struct {
	poolers           int
	seed              uint64
	loss, duplication float64
	delay             time.Duration
	oneZone           bool // the server is bad for a zone; else for few poolers, beside a liar
	readInterval      time.Duration
	liarZone          int
	restarts          []int // poolers, one each half second
	side              int   // poolers of the one side of the partition
}

func drawBadNetwork(rt *rapid.T) (b badNetwork) {
	b.poolers = rapid.IntRange(6, 10).Draw(rt, "poolers")
	b.seed = rapid.Uint64().Draw(rt, "seed")
	b.loss = rapid.Float64Range(0, 0.4).Draw(rt, "loss")
	b.duplication = rapid.Float64Range(0, 0.4).Draw(rt, "duplication")
	b.delay = time.Duration(rapid.IntRange(1, 800).Draw(rt, "delay ms")) * time.Millisecond
	b.oneZone = rapid.Bool().Draw(rt, "one zone")
	b.readInterval = time.Duration(rapid.IntRange(100, 2000).Draw(rt, "read interval ms")) * time.Millisecond
	b.liarZone = rapid.IntRange(0, b.poolers-1).Draw(rt, "liar's zone")
	b.restarts = rapid.SliceOfN(rapid.IntRange(0, b.poolers-1), 0, 4).Draw(rt, "restarts")
	b.side = rapid.IntRange(0, b.poolers-1).Draw(rt, "side")
	return b
}

// isBad reports whether a server is bad for a pooler.
func (b badNetwork) isBad(pooler int, server string) bool {
	if b.oneZone {
		return pooler%3 == 0 && server == "a"
	}
	return pooler < testSettings.MinObservers-2 && server == "a" // the liar is one more
}

// lie is a liar's report.
func (b badNetwork) lie(sequence uint64) Report {
	return Report{StartedAt: 1, Sequence: sequence, SentAt: time.Now().UnixNano(), Zone: fmt.Sprint("z", b.liarZone), ServersSeen: 100,
		Servers: []Observation{{Server: "a", Failed: 1 << 20}, {Server: "b", Failed: 6}, {Server: "c", Slow: 6}, {Server: "d", LostPrimary: true}}}
}

// play plays the network for nine seconds.
func (b badNetwork) play(t *testing.T) {
	var healed atomic.Bool
	isBad := func(pooler int, server string) bool { return !healed.Load() && b.isBad(pooler, server) }
	c := startCluster(t, b.poolers, b.seed, b.readInterval, isBad)
	c.network.SetDelay(0, b.delay)
	c.network.SetLoss(b.loss, b.duplication)
	liar := c.network.Join("liar")
	if b.oneZone {
		liar.Stop() // two zones would complain
	}
	here, there := c.names(0, b.side), c.names(b.side, b.poolers)
	for turn := range 18 {
		if turn < len(b.restarts) {
			i := b.restarts[turn]
			c.poolers[i].stop()
			c.startPooler(i, b.readInterval, func(server string) bool { return isBad(i, server) })
		}
		c.network.SetCut(here, there, turn >= 6 && turn < 15)
		if !b.oneZone {
			liar.Broadcast(topicReport, b.lie(uint64(turn+1)).encode())
		}
		time.Sleep(500 * time.Millisecond)
	}
	c.requireNoEjections(t, clusterServers...)
	healed.Store(true)
}

// Bad links, liars, lost, duplicate and overtaking reports, partitions and restarts: while a server is bad for fewer poolers than
// MinObservers, or for those of one zone alone, no pooler ejects it.
func TestBadNetworks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		network := drawBadNetwork(rt)
		synctest.Test(t, network.play)
		if t.Failed() {
			rt.Fatal("above")
		}
	})
}

// A server that was bad for all is good again, in whatever network: lossy, slow, partitioned for good just then, with or without clients
// that could find out. No pooler ejects it after MaxStaleEjection.
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

// In a partition the poolers of one side can't reach a server, and eject it; those of the other use it. After the heal all use it, as most
// observers have good answers.
func TestOppositeEjectionsHeal(t *testing.T) {
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
		requireWithin(t, 10*time.Second, "the one side ejects b", func() bool { return c.countEjecting("b") == far })
		time.Sleep(10 * time.Second)
		if got := c.countEjecting("b"); got > far {
			t.Errorf("%d eject b, with %d on that side", got, far)
		}
		isBad.Store(false)
		c.network.SetCut(here, there, false)
		took := requireWithin(t, testSettings.MaxStaleEjection(n), "all use b", func() bool { return c.countEjecting("b") == 0 })
		t.Logf("used by all %v after the heal", took)
		isBad.Store(true) // and where the server stays bad for the few
		time.Sleep(20 * time.Second)
		if got := c.countEjecting("b"); got > 0 {
			t.Errorf("%d of %d eject b, which is good for most", got, n)
		}
	})
}

// Of four servers that fail for all no more than the share of the group is ejected, and one that answers is always used.
func TestLastServerIsKept(t *testing.T) {
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

// A pooler that has good answers of its own goes on with a server that all others eject.
func TestOwnEvidenceOutranks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 8, 5, 80*time.Millisecond, func(pooler int, server string) bool { return pooler > 0 && server == "c" })
		requireWithin(t, 10*time.Second, "the others eject c", func() bool { return c.countEjecting("c") == 7 })
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			if c.poolers[0].ejects("c") {
				t.Fatal("the pooler with good answers is told that c is ejected")
			}
			if c.poolers[0].MaySend(0, &dispatch.Request{}, "c") != dispatch.Send {
				t.Fatal("its reads are kept off")
			}
		}
	})
}

// Where enough poolers have lost a primary all are told, also those that never asked it; two of them are not enough.
func TestPrimaryLost(t *testing.T) {
	for lost := range 4 {
		synctest.Test(t, func(t *testing.T) {
			c := startCluster(t, 5, 7, time.Hour, func(int, string) bool { return false })
			for _, p := range c.poolers[:lost] {
				p.LostPrimary("a")
			}
			time.Sleep(evidenceSpan + reportLifetime(5) + time.Second)
			var told []int32
			for _, p := range c.poolers {
				told = append(told, p.primaryDowns.Load())
			}
			if all := slices.Min(told) > 0; all != (lost >= testSettings.MinObservers) || slices.Max(told) > 6 { // once a second
				t.Errorf("%d of 5 have lost it: the poolers were told %v times", lost, told)
			}
		})
	}
}

// An ejection that nobody can clear, as no client sends anything any more, still ends, at all poolers within their jitter.
func TestEjectionEndsByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startCluster(t, 6, 6, 300*time.Millisecond, func(_ int, server string) bool { return server == "d" })
		requireWithin(t, 10*time.Second, "all eject d", func() bool { return c.countEjecting("d") == 6 })
		for _, p := range c.poolers {
			p.idle.Store(true)
		}
		limit := testSettings.BaseEjectionTime*5/4 + evidenceSpan + time.Second
		requireWithin(t, limit, "all use d", func() bool { return c.countEjecting("d") == 0 })
	})
}
