package distribution

import (
	"flag"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/fleet/replication"
)

// TestMain plays fewer random cases than rapid would, of one seed unless another is given: each is minutes of a whole fleet.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": "40", "rapid.seed": "1"} {
		if !set[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// frameTally counts what the streams of one end carry. It is safe for use by several goroutines.
type frameTally struct {
	mu sync.Mutex
	by amounts
}

// amounts are frames and bytes, by direction and kind: "in word".
type amounts map[string][2]float64

func (c *frameTally) In(kind string, bytes int)  { c.add("in "+kind, bytes) }
func (c *frameTally) Out(kind string, bytes int) { c.add("out "+kind, bytes) }

func (c *frameTally) add(what string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.by[what]
	c.by[what] = [2]float64{a[0] + 1, a[1] + float64(bytes)}
}

// plus adds what others have counted, so many times.
func (a amounts) plus(b amounts, times float64) amounts {
	out := maps.Clone(a)
	for what, n := range b {
		out[what] = [2]float64{out[what][0] + times*n[0], out[what][1] + times*n[1]}
	}
	return out
}

// sum is the frames and bytes of the kinds that begin with a text.
func (a amounts) sum(prefix string) (frames, bytes float64) {
	for what, n := range a {
		if strings.HasPrefix(what, prefix) {
			frames, bytes = frames+n[0], bytes+n[1]
		}
	}
	return frames, bytes
}

func (a amounts) String() (out string) {
	for _, what := range slices.Sorted(maps.Keys(a)) {
		if n := a[what]; math.Abs(n[1]) > 0.005 {
			out += fmt.Sprintf(" %s %.2f frames %.1f bytes;", what, n[0], n[1])
		}
	}
	return out
}

// count is the tally of a name, which goes on where it starts again.
func (f *fleet) count(name string) *frameTally {
	if f.counts[name] == nil {
		f.counts[name] = &frameTally{by: amounts{}}
	}
	return f.counts[name]
}

// counted is what some have counted together.
func (f *fleet) counted(names ...string) amounts {
	out := amounts{}
	for _, name := range names {
		c := f.count(name)
		c.mu.Lock()
		out = out.plus(c.by, 1)
		c.mu.Unlock()
	}
	return out
}

// settled starts a fleet in three regions and ten zones, and waits until it is at rest, between two beats.
func settled(t *testing.T, distributors, regions, poolers int) *fleet {
	f := newFleet(t, distributors, regions)
	for i := range 40 {
		f.docs[fmt.Sprint("p/", i)] = replication.Document{Key: fmt.Sprint("p/", i), Version: 1, Value: make([]byte, 500)}
	}
	f.put("p/first", "1")
	time.Sleep(3 * testHeartbeat)
	for i := range poolers {
		f.join(i, poolers, fmt.Sprint("r", i%10%regions))
	}
	time.Sleep(testHeartbeat / 2)
	f.rest(5)
	f.within(0, "the join")
	return f
}

// rest lets beats pass in which the log confirms that nothing is new.
func (f *fleet) rest(beats int) {
	for range beats {
		f.confirm()
		time.Sleep(testHeartbeat)
	}
	synctest.Wait()
}

// names are all of the fleet that are in a zone (of ten, each within a region of three), and all others.
func (f *fleet) zone(zone int) (in, out []string) {
	for _, name := range append(f.poolerNames(), f.distributorNames()...) {
		var i int
		_, _ = fmt.Sscan(name[1:], &i)
		if z := i % 10; z == zone {
			in = append(in, name)
		} else {
			out = append(out, name)
		}
	}
	return in, out
}

func (f *fleet) poolerNames() []string      { return slices.Sorted(maps.Keys(f.has)) }
func (f *fleet) distributorNames() []string { return slices.Sorted(maps.Keys(f.copies)) }

// restart starts a pooler again, with the copy that it had or with none.
func (f *fleet) restart(name string, kept bool) {
	s := f.poolers[name]
	s.Close()
	state := replication.Snapshot{}
	if kept {
		state = f.has[name].Snapshot()
	}
	f.has[name] = replication.NewReplica(state)
	f.subscribe(name, s.options.Region, s.options.JitterFraction)
}

// What a pooler's stream carries, at rest, for a change and for a restart, does not grow with the fleet; what a distributor carries is that of its
// streams and of its links. All bounds are of these figures: a word of one feed is up to 128 bytes, a live without news 2, with news up
// to 128, a call up to 256; a document takes 4/3 of its value and up to 128 bytes.
func TestCost(t *testing.T) {
	t.Parallel()
	const restBeats, changed, docs = 60, 1000, 40*(500*4/3+128) + 1000*4/3 + 3*128
	type figures struct{ rest, change, kept, empty float64 }
	var all []figures
	for _, size := range []struct{ poolers, distributors int }{{50, 3}, {200, 6}, {800, 18}} {
		synctest.Test(t, func(t *testing.T) {
			f := settled(t, size.distributors, 3, size.poolers)
			defer f.end()
			n, links := float64(size.poolers), float64(size.distributors*(size.distributors-1))
			poolers, distributors := f.poolerNames(), f.distributorNames()
			log := func(what string, a amounts) {
				t.Logf("%d poolers, %d distributors, %s:%v", size.poolers, size.distributors, what, a)
			}
			// during is what a pooler, a link, and each distributor carry while something is done.
			during := func(do func()) (pooler, link amounts, each map[string]amounts) {
				p, d, each := f.counted(poolers...), f.counted(distributors...), map[string]amounts{}
				for _, name := range distributors {
					each[name] = f.counted(name)
				}
				do()
				synctest.Wait()
				p, d = f.counted(poolers...).plus(p, -1), f.counted(distributors...).plus(d, -1)
				for name, was := range each {
					each[name] = f.counted(name).plus(was, -1)
				}
				for what, a := range p { // what a pooler takes in, a distributor has sent
					turned := map[bool]string{true: "out" + strings.TrimPrefix(what, "in"), false: "in" + strings.TrimPrefix(what, "out")}[strings.HasPrefix(what, "in")]
					d = d.plus(amounts{turned: a}, -1)
				}
				return amounts{}.plus(p, 1/n), amounts{}.plus(d, 1/links), each
			}
			rest, link, each := during(func() { f.rest(restBeats) })
			beatOf, linkBeat := amounts{}.plus(rest, 1./restBeats), amounts{}.plus(link, 1./restBeats)
			log("a pooler's beat at rest", beatOf)
			log("a link's beat at rest", linkBeat)
			frames, bytes := beatOf.sum("")
			if math.Abs(frames-2) > 0.001 || bytes > 128+2 {
				t.Errorf("a pooler's beat is of %v frames, %v bytes", frames, bytes)
			}
			for name, carried := range each {
				streams := float64(f.distributors[name].StreamCount())
				for direction, other := range map[string]string{"out": "in", "in": "out"} {
					_, got := carried.sum(direction)
					_, down := rest.sum(other)
					_, out := link.sum("out")
					if want := streams*down + float64(size.distributors-1)*out; math.Abs(got-want) > want/10 {
						t.Errorf("%s, %s: %.0f bytes with %v streams and %d links, want %.0f", name, direction, got, streams, size.distributors-1, want)
					}
				}
			}
			change, link, _ := during(func() { f.put("p/big", strings.Repeat("x", changed)); f.rest(2) })
			change = change.plus(beatOf, -2)
			log("a change of 1,000 bytes, a pooler, beyond rest", change)
			log("a change, a link, beyond rest", link.plus(linkBeat, -2))
			_, sum := change.sum("")
			if d, w := change["in delta"], change["in word"]; math.Abs(d[0]-1) > 0.001 || math.Abs(w[0]-1) > 0.001 || sum > changed*4/3+3*128 {
				t.Errorf("a change: %v", change)
			}
			var own [2]float64
			for i, kept := range []bool{true, false} {
				others := poolers[1:]
				was, wasOthers := f.counted(poolers[0]), f.counted(others...)
				_, link, _ := during(func() {
					f.restart(poolers[0], kept)
					time.Sleep(testHeartbeat / 4)
					f.rest(3)
					f.confirm()
					time.Sleep(3 * testHeartbeat / 4)
				})
				got := f.counted(poolers[0]).plus(was, -1).plus(beatOf, -4)
				rest := f.counted(others...).plus(wasOthers, -1).plus(beatOf, -4*(n-1))
				log(fmt.Sprintf("a restart, with its copy %v, itself, beyond rest", kept), got)
				log("a restart, all other poolers together, beyond rest", rest)
				log("a restart, a link, beyond rest", link.plus(linkBeat, -4))
				bound := 256 + 3*128.
				if !kept {
					bound += docs
				}
				_, own[i] = got.sum("")
				whole := map[bool]float64{false: 1}[kept]
				framesElse, bytesElse := rest.sum("")
				if own[i] > bound || got["in whole"][0] != whole || math.Abs(framesElse) > 0.001 || math.Abs(bytesElse) > n || link["out holds"][0]*links > 2.5*float64(size.distributors-1) {
					t.Errorf("a restart with its copy %v costs itself %v, all others %v, a link %v", kept, got, rest, link)
				}
				f.within(0, "a restart")
			}
			all = append(all, figures{bytes, sum, own[0], own[1]})
		})
	}
	for _, small := range all[:len(all)-1] {
		large := all[len(all)-1]
		for what, pair := range map[string][2]float64{"rest": {small.rest, large.rest}, "change": {small.change, large.change},
			"restart with its copy": {small.kept, large.kept}, "restart with none": {small.empty, large.empty}} {
			if pair[1] > 1.1*pair[0] {
				t.Errorf("%s: %.1f bytes a pooler in a small fleet, %.1f in the large one", what, pair[0], pair[1])
			}
		}
	}
}

// Whatever is lost, the last pooler that can be reached has a change within 6 s, and all have it within 6 s of the heal, by deltas where
// their distributor remembers what they have.
func TestInForce(t *testing.T) {
	t.Parallel()
	cutZone := func(zone int) func(f *fleet) float64 {
		return func(f *fleet) float64 {
			in, out := f.zone(zone)
			cut := func(cut bool) {
				f.n.part(in, out, cut)
				for _, name := range in {
					f.apart[name] = cut
				}
			}
			cut(true)
			time.Sleep(200 * time.Millisecond)
			f.put("p/a", "cut")
			f.within(6*time.Second, "outside the zone", in...)
			f.rest(30)
			for name, c := range f.has {
				inside, age := slices.Contains(in, name), time.Since(c.ConfirmedAt())
				if inside != (c.Version() < f.version) || inside != (age > 30*testHeartbeat) || !inside && age > 3*testHeartbeat {
					f.t.Errorf("%s, inside %v: version %d, confirmed %v ago", name, inside, c.Version(), age)
				}
			}
			cut(false)
			f.confirm()
			f.within(6*time.Second, "the heal")
			return 0
		}
	}
	allLost := func(f *fleet) float64 {
		for _, name := range f.distributorNames() {
			f.kill(name)
		}
		f.rest(10)
		f.put("p/a", "alone")
		for name, c := range f.has {
			if age := time.Since(c.ConfirmedAt()); age < 10*testHeartbeat || c.Version() == 0 {
				f.t.Errorf("%s: version %d, confirmed %v ago", name, c.Version(), age)
			}
		}
		f.distribute(f.places[0])
		f.within(6*time.Second, "one is back")
		return float64(len(f.has)) // it remembers none of theirs
	}
	killed := func(f *fleet) float64 {
		f.n.mu.Lock()
		f.n.delay = 20 * time.Millisecond
		f.n.mu.Unlock()
		f.put("p/a", "killed")
		time.Sleep(10 * time.Millisecond)
		f.kill("d0")
		f.within(6*time.Second, "in the middle of a change")
		return 0
	}
	regions := func(minutes int, distributor bool, wholes float64) func(f *fleet) float64 {
		return func(f *fleet) float64 {
			in, out := []string{"n0", "n2"}, []string{"n1", "n3", "d1"}
			if distributor {
				in = append(in, "d0")
			} else {
				out = append(out, "d0")
			}
			f.n.part(in, out, true)
			f.apart["d0"] = distributor
			for i := range minutes / 10 {
				f.put("p/a", fmt.Sprint("apart ", i))
				f.put(fmt.Sprint("p/", i), "")
				f.rest(600)
			}
			f.within(0, "the other region", in...)
			f.n.part(in, out, false)
			f.apart["d0"] = false
			f.confirm()
			f.within(6*time.Second, "the heal")
			return wholes
		}
	}
	for _, c := range []struct {
		what                           string
		distributors, regions, poolers int
		play                           func(f *fleet) (wholes float64)
	}{
		{"a distributor is killed in the middle of a change, of 200", 6, 3, 200, killed},
		{"a distributor is killed in the middle of a change, of 800", 18, 3, 800, killed},
		{"a zone with a distributor is cut off", 6, 3, 200, cutZone(0)},
		{"a zone without a distributor is cut off", 6, 3, 200, cutZone(9)},
		{"30% are restarted", 6, 3, 200, func(f *fleet) (empty float64) {
			f.put("p/a", "restarts")
			for i, name := range f.poolerNames() {
				if i%10 < 3 {
					f.restart(name, i%2 == 0)
					empty += float64(i % 2)
				}
			}
			f.within(6*time.Second, "restarts")
			return empty
		}},
		{"all distributors are lost, then one is back, of 200", 6, 3, 200, allLost},
		{"all distributors are lost, then one is back, of 800", 18, 3, 800, allLost},
		{"regions are apart for an hour", 2, 2, 4, regions(60, true, 0)},
		{"poolers of a region are alone for an hour", 2, 2, 4, regions(60, false, 0)},
		{"poolers of a region are alone for longer than is kept", 2, 2, 4, regions(150, false, 2)},
	} {
		t.Run(c.what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := settled(t, c.distributors, c.regions, c.poolers)
				defer f.end()
				was := f.counted(f.poolerNames()...)
				want := c.play(f)
				if got, _ := f.counted(f.poolerNames()...).plus(was, -1).sum("in whole"); got != want {
					t.Errorf("%v whole copies, want %v", got, want)
				}
			})
		})
	}
}
