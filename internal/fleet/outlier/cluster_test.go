package outlier

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"threadsail/internal/dispatch"
	"threadsail/internal/fleet"
	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/bus/bustest"
)

// testPooler is a pooler as the part sees one: it sends reads to the servers of one group, leaves a server after two failures or
// by the fleet's word, and then tries it each three seconds.
type testPooler struct {
	*Component
	name         string
	idle         atomic.Bool
	primaryDowns atomic.Int32
	interval     time.Duration // between two reads
	bad          func(server string) bool
	stop         context.CancelFunc
	mu           sync.Mutex
	ejected      map[string]bool // the fleet's word
	records      []audit.Record
	lastSentAt   map[string]time.Time
	failures     map[string]int
	badSends     map[string][]time.Time // to servers that were bad for it
}

func (p *testPooler) SetEjected(server string, bad bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ejected[server] = bad
}
func (p *testPooler) ReportPrimaryDown(int)     { p.primaryDowns.Add(1) }
func (p *testPooler) Members() map[int][]string { return map[int][]string{0: {"a", "b", "c", "d"}} }

// ejects tells whether the pooler leaves a server by the fleet's word.
func (p *testPooler) ejects(server string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ejected[server]
}

// work sends reads, a server each in turn by chance.
func (p *testPooler) work(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(p.interval/2 + time.Duration(rng.Int64N(int64(p.interval)))):
		}
		now, server := time.Now(), p.Members()[0][rng.IntN(4)]
		if p.idle.Load() {
			continue
		}
		if (p.failures[server] >= 2 || p.ejects(server)) && now.Sub(p.lastSentAt[server]) < 3*time.Second {
			continue
		}
		p.lastSentAt[server] = now
		if p.MaySend(0, &dispatch.Request{}, server) != dispatch.Send {
			continue
		}
		if p.bad(server) {
			p.failures[server]++
			p.mu.Lock()
			p.badSends[server] = append(p.badSends[server], now)
			p.mu.Unlock()
			p.Observe(server, 0, Failure, time.Second)
		} else {
			p.failures[server] = 0
			p.Observe(server, 0, Success, time.Millisecond)
		}
	}
}

// cluster is a fleet in a bubble.
type cluster struct {
	network *bustest.Network
	poolers []*testPooler
	seed    uint64
	ctx     context.Context
	running sync.WaitGroup
}

// startCluster has n poolers work before four servers, in zones by turns; bad tells when a server is bad for one of them.
func startCluster(t *testing.T, n int, seed uint64, rest time.Duration, bad func(i int, server string) bool) *cluster {
	ctx, cancel := context.WithCancel(context.Background())
	r := &cluster{network: bustest.New(seed), seed: seed, ctx: ctx}
	for i := range n {
		r.poolers = append(r.poolers, nil)
		r.startPooler(i, rest, func(s string) bool { return bad(i, s) })
	}
	t.Cleanup(func() {
		cancel()
		r.running.Wait()
	})
	return r
}

func (r *cluster) startPooler(i int, rest time.Duration, bad func(server string) bool) {
	p := &testPooler{name: fmt.Sprint("n", i), interval: rest, bad: bad, ejected: map[string]bool{}, lastSentAt: map[string]time.Time{}, failures: map[string]int{}, badSends: map[string][]time.Time{}}
	p.Component = New(testSettings, fmt.Sprint("z", i%3), p)
	r.poolers[i] = p
	ctx, cancel := context.WithCancel(r.ctx)
	p.stop = cancel
	b := r.network.Join(p.name)
	r.running.Go(func() {
		_ = p.Run(ctx, fleet.Runtime{Bus: b, Log: zerolog.Nop(), Audit: func(a audit.Record) {
			p.mu.Lock()
			defer p.mu.Unlock()
			a.At = time.Now().UnixNano()
			p.records = append(p.records, a)
		}})
	})
	r.running.Go(func() { p.work(ctx, rand.New(rand.NewPCG(r.seed, uint64(i)))) })
}

// countEjecting counts the poolers that leave a server, and convicted the verdicts that were ever begun on it.
func (r *cluster) countEjecting(server string) (n int) {
	for _, p := range r.poolers {
		if p.ejects(server) {
			n++
		}
	}
	return n
}

func (r *cluster) countEjections(server string) (n int) {
	for _, p := range r.poolers {
		p.mu.Lock()
		for _, a := range p.records {
			if a.Act == audit.EjectionBegun && a.Server == server {
				n++
			}
		}
		p.mu.Unlock()
	}
	return n
}

func (r *cluster) countSent(server string, from, to time.Time) (n int) {
	for _, p := range r.poolers {
		p.mu.Lock()
		for _, at := range p.badSends[server] {
			if at.After(from) && !at.After(to) {
				n++
			}
		}
		p.mu.Unlock()
	}
	return n
}

// requireWithin waits until something holds, for so long at most, and returns how long it took.
func requireWithin(t *testing.T, d time.Duration, what string, holds func() bool) time.Duration {
	t.Helper()
	began := time.Now()
	for !holds() {
		if time.Since(began) > d {
			t.Fatalf("not within %v: %s", d, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

// A server fails for all. All poolers leave it, those among them that never asked it in this time; a few go on trying; when it
// is good again all use it. No other server is convicted, and the fleet is silent before and after.
func TestBadServerIsLeftByAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 24
		var mu sync.Mutex
		ill := false
		r := startCluster(t, n, 1, 400*time.Millisecond, func(i int, s string) bool {
			mu.Lock()
			defer mu.Unlock()
			return ill && s == "b"
		})
		r.startPooler(n-1, time.Hour, func(string) bool { return false }) // sees nothing at all
		set := func(v bool) { mu.Lock(); ill = v; mu.Unlock() }
		time.Sleep(5 * time.Second)
		if _, casts := r.network.MessageCounts(); casts > 0 {
			t.Errorf("%d datagrams in a calm", casts)
		}
		set(true)
		fell := time.Now()
		took := requireWithin(t, 10*time.Second, "all leave b", func() bool { return r.countEjecting("b") == n })
		for range 40 { // the few that try it renew the verdict, again and again
			time.Sleep(500 * time.Millisecond)
			if k := r.countEjecting("b"); k < n/2 {
				t.Fatalf("%d leave b while it is bad", k)
			}
		}
		after := r.countSent("b", fell.Add(took), time.Now())
		if rate := float64(after) / 20; rate > 3 { // six poolers each trialEvery, and turns that overlap; all would make 5
			t.Errorf("%v requests a second go to b while it is left", rate)
		}
		set(false)
		back := requireWithin(t, testSettings.MaxStaleEjection(n), "all use b", func() bool { return r.countEjecting("b") == 0 })
		for _, s := range []string{"a", "c", "d"} {
			if k := r.countEjections(s); k > 0 {
				t.Errorf("%s was convicted %d times", s, k)
			}
		}
		time.Sleep(30 * time.Second)
		_, before := r.network.MessageCounts()
		time.Sleep(5 * time.Second)
		if _, casts := r.network.MessageCounts(); casts > before {
			t.Errorf("%d datagrams after it", casts-before)
		}
		t.Logf("left by all in %v, %d requests to it in the 20 s after, used by all again in %v, %d datagrams in all", took, after, back, before)
	})
}

// Bad links, liars, lost, doubled and overtaking reports, cuts and restarts: while a server is bad for fewer poolers than
// Observers, or for those of one zone alone, nobody convicts it.
func TestNetworks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(6, 10).Draw(rt, "poolers")
		seed := rapid.Uint64().Draw(rt, "seed")
		drop, twice := rapid.Float64Range(0, 0.4).Draw(rt, "drop"), rapid.Float64Range(0, 0.4).Draw(rt, "twice")
		jitter := time.Duration(rapid.IntRange(1, 800).Draw(rt, "jitter ms")) * time.Millisecond
		oneZone := rapid.Bool().Draw(rt, "one zone")
		rest := time.Duration(rapid.IntRange(100, 2000).Draw(rt, "rest ms")) * time.Millisecond
		liar := rapid.IntRange(0, n-1).Draw(rt, "liar")
		restarts := rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 4).Draw(rt, "restarts")
		cut := rapid.IntRange(0, n-1).Draw(rt, "cut")
		hurt := func(i int, s string) bool { // a link of its own, or the zone's
			if oneZone {
				return i%3 == 0 && s == "a"
			}
			return i < testSettings.MinObservers-2 && s == "a" // the liar is one more
		}
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			healed := false
			r := startCluster(t, n, seed, rest, func(i int, s string) bool {
				mu.Lock()
				defer mu.Unlock()
				return !healed && hurt(i, s)
			})
			r.network.SetDelay(0, jitter)
			r.network.SetLoss(drop, twice)
			tale := r.network.Join("liar")
			if oneZone {
				tale.Stop() // two zones would complain
			}
			var side []string
			for i := range cut {
				side = append(side, r.poolers[i].name)
			}
			var rest2 []string
			for i := cut; i < n; i++ {
				rest2 = append(rest2, r.poolers[i].name)
			}
			for k := range 18 {
				if k < len(restarts) {
					i := restarts[k]
					r.poolers[i].stop()
					r.startPooler(i, rest, func(s string) bool { mu.Lock(); defer mu.Unlock(); return !healed && hurt(i, s) })
				}
				r.network.SetCut(side, rest2, k >= 6 && k < 15)
				if !oneZone {
					tale.Broadcast(topicReport, Report{StartedAt: 1, Sequence: uint64(k + 1), SentAt: time.Now().UnixNano(), Zone: fmt.Sprint("z", liar), ServersSeen: 100,
						Servers: []Observation{{Server: "a", Failed: 1 << 20}, {Server: "b", Failed: 6}, {Server: "c", Slow: 6}, {Server: "d", LostPrimary: true}}}.encode())
				}
				time.Sleep(500 * time.Millisecond)
			}
			for _, s := range []string{"a", "b", "c", "d"} {
				if k := r.countEjections(s); k > 0 {
					t.Errorf("%s is convicted %d times: oneZone %v", s, k, oneZone)
				}
			}
			mu.Lock()
			healed = true
			mu.Unlock()
		})
		if t.Failed() {
			rt.Fatal("above")
		}
	})
}

// A server that was bad for all is good again, in whatever network: lossy, slow, cut for good just then, with or without clients
// who could find out. It is left by no pooler after MostStale.
func TestMostStale(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(4, 7).Draw(rt, "poolers")
		cut, idle := rapid.IntRange(0, n).Draw(rt, "cut"), rapid.IntRange(0, n).Draw(rt, "idle")
		ill := time.Duration(rapid.IntRange(2, 12).Draw(rt, "ill s")) * time.Second
		drop, jitter := rapid.Float64Range(0, 0.5).Draw(rt, "drop"), time.Duration(rapid.IntRange(1, 1000).Draw(rt, "jitter ms"))*time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			was := testSettings
			defer func() { testSettings = was }()
			testSettings.BaseEjectionTime = time.Second
			good := time.Now().Add(ill)
			r := startCluster(t, n, uint64(n), 100*time.Millisecond, func(_ int, s string) bool { return s == "c" && time.Now().Before(good) })
			r.network.SetDelay(0, jitter)
			r.network.SetLoss(drop, drop)
			time.Sleep(ill)
			var here, there []string
			for i, p := range r.poolers {
				if p.idle.Store(i < idle); i < cut {
					here = append(here, p.name)
				} else {
					there = append(there, p.name)
				}
			}
			r.network.SetCut(here, there, true)
			time.Sleep(testSettings.MaxStaleEjection(n) + evaluationInterval)
			if k := r.countEjecting("c"); k > 0 {
				t.Errorf("%d of %d still leave c", k, n)
			}
		})
		if t.Failed() {
			rt.Fatal("above")
		}
	})
}

// In a cut the poolers of one side can't reach a server, and convict it; those of the other use it. After the heal there is
// one verdict: none, as most observers have good answers.
func TestOppositeVerdictsHeal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n, far = 13, 5
		var mu sync.Mutex
		cut := false
		r := startCluster(t, n, 3, 300*time.Millisecond, func(i int, s string) bool {
			mu.Lock()
			defer mu.Unlock()
			return cut && i < far && s == "b"
		})
		var here, there []string
		for i, p := range r.poolers {
			if i < far {
				here = append(here, p.name)
			} else {
				there = append(there, p.name)
			}
		}
		time.Sleep(5 * time.Second)
		set := func(v bool) {
			mu.Lock()
			cut = v
			mu.Unlock()
			r.network.SetCut(here, there, v)
		}
		set(true)
		requireWithin(t, 10*time.Second, "the one side leaves b", func() bool { return r.countEjecting("b") == far })
		time.Sleep(10 * time.Second)
		if k := r.countEjecting("b"); k > far {
			t.Errorf("%d leave b, with %d on that side", k, far)
		}
		set(false)
		took := requireWithin(t, testSettings.MaxStaleEjection(n), "all use b", func() bool { return r.countEjecting("b") == 0 })
		t.Logf("one verdict %v after the heal", took)
		mu.Lock() // and where the server stays bad for the few
		cut = true
		mu.Unlock()
		r.network.SetCut(here, there, false)
		time.Sleep(20 * time.Second)
		if k := r.countEjecting("b"); k > 0 {
			t.Errorf("%d of %d leave b, which is good for most", k, n)
		}
	})
}

// All servers but one fail for all: no more than the share of the group is left, and one that answers is always used.
func TestLastServerIsKept(t *testing.T) {
	for _, bad := range [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}, {"a", "b", "c", "d"}} {
		synctest.Test(t, func(t *testing.T) {
			r := startCluster(t, 9, 4, 300*time.Millisecond, func(i int, s string) bool { return slices.Contains(bad, s) })
			for range 100 {
				time.Sleep(200 * time.Millisecond)
				for _, p := range r.poolers {
					p.mu.Lock()
					k := 0
					for _, left := range maps.All(p.ejected) {
						if left {
							k++
						}
					}
					p.mu.Unlock()
					if k > 2 {
						t.Fatalf("%d of four servers are left", k)
					}
				}
			}
			if len(bad) <= 2 && r.countEjecting(bad[0]) < 8 {
				t.Errorf("%d leave %s", r.countEjecting(bad[0]), bad[0])
			}
		})
	}
}

// A pooler that has good answers of its own goes on with a server that all others leave.
func TestOwnEvidenceOutranks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startCluster(t, 8, 5, 80*time.Millisecond, func(i int, s string) bool { return i > 0 && s == "c" })
		requireWithin(t, 10*time.Second, "the others leave c", func() bool { return r.countEjecting("c") == 7 })
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			p := r.poolers[0]
			p.mu.Lock()
			told := p.ejected["c"]
			p.mu.Unlock()
			if told {
				t.Fatal("the pooler with good answers is told to leave c")
			}
			if p.MaySend(0, &dispatch.Request{}, "c") != dispatch.Send {
				t.Fatal("its reads are kept off")
			}
		}
	})
}

// Where enough poolers have lost a primary all hear of it, those too that never asked it; two of them are not enough.
func TestPrimaryLost(t *testing.T) {
	for lost := range 4 {
		synctest.Test(t, func(t *testing.T) {
			r := startCluster(t, 5, 7, time.Hour, func(int, string) bool { return false })
			for _, p := range r.poolers[:lost] {
				p.LostPrimary("a")
			}
			time.Sleep(evidenceSpan + reportLifetime(5) + time.Second)
			var heard []int32
			for _, p := range r.poolers {
				heard = append(heard, p.primaryDowns.Load())
			}
			if told := slices.Min(heard) > 0; told != (lost >= testSettings.MinObservers) || slices.Max(heard) > 6 { // once a second
				t.Errorf("%d of 5 have lost it: told %v times", lost, heard)
			}
		})
	}
}

// A verdict that nobody can appeal, as no client asks anything any more, still ends, at all poolers within their spread.
func TestEndsByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startCluster(t, 6, 6, 300*time.Millisecond, func(_ int, s string) bool { return s == "d" })
		requireWithin(t, 10*time.Second, "all leave d", func() bool { return r.countEjecting("d") == 6 })
		for _, p := range r.poolers {
			p.idle.Store(true)
		}
		requireWithin(t, testSettings.BaseEjectionTime*5/4+evidenceSpan+time.Second, "all use d", func() bool { return r.countEjecting("d") == 0 })
	})
}
