package distribution

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// callTimes is a heap of the times at which callers call next.
type callTimes []time.Duration

func (c callTimes) Len() int           { return len(c) }
func (c callTimes) Less(i, j int) bool { return c[i] < c[j] }
func (c callTimes) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *callTimes) Push(x any)        { *c = append(*c, x.(time.Duration)) }
func (c *callTimes) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// drawCallTimes draws crowds of callers.
func drawCallTimes(rt *rapid.T) (times callTimes) {
	for range rapid.IntRange(1, 6).Draw(rt, "crowds") {
		at, over := rapid.IntRange(0, 3000).Draw(rt, "at ms"), rapid.IntRange(1, 500_000).Draw(rt, "over µs")
		for i := range rapid.IntRange(1, 1000).Draw(rt, "callers") {
			times = append(times, time.Duration(at)*time.Millisecond+time.Duration(i*7919%over)*time.Microsecond)
		}
	}
	return times
}

// playCalls has callers call a distributor, and again when it says, up to some microseconds late. It returns when each was admitted; or
// the refusal that ended the play: one for good, or the last of too many.
func playCalls(t *testing.T, times callTimes, lateMicros int) (admitted []time.Duration, calls int, ended *refusal) {
	callers := len(times)
	heap.Init(&times)
	synctest.Test(t, func(*testing.T) {
		start := time.Now()
		d := &Distributor{registry: newRegistry()}
		for ; len(times) > 0 && ended == nil; calls++ {
			at := heap.Pop(&times).(time.Duration)
			time.Sleep(time.Until(start.Add(at)))
			refused := d.admit(&serverStream{hello: hello{Protocol: protocolVersion, Name: fmt.Sprint("n", calls)}})
			switch {
			case refused == nil:
				admitted = append(admitted, at)
			case refused.RetryAfterMillis > 0 && calls < 4*callers:
				late := time.Duration(calls*7919%(lateMicros+1)) * time.Microsecond
				heap.Push(&times, at+time.Duration(refused.RetryAfterMillis)*time.Millisecond+late)
			default:
				ended = refused
			}
		}
	})
	return admitted, calls, ended
}

// However callers come, no more are admitted in any span of time than the burst and the pace allow, and each that is to call again is
// admitted in the end: the last by as long after the last call as all take at the pace.
func TestAdmission(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lateMicros := rapid.IntRange(0, 5000).Draw(rt, "late µs")
		times := drawCallTimes(rt)
		lastCall, callers := slices.Max(times), len(times)
		admitted, calls, ended := playCalls(t, times, lateMicros)
		if ended != nil {
			rt.Fatalf("call %d of %d callers: %+v", calls, callers, *ended)
		}
		for i := range admitted {
			for j := i + admissionBurst; j < len(admitted); j += 17 {
				span := admitted[j] - admitted[i]
				if most := admissionBurst + 1 + int(span/admissionInterval); j-i+1 > most {
					rt.Fatalf("got %d admitted within %v, want at most %d", j-i+1, span, most)
				}
			}
		}
		pace := admissionInterval + time.Duration(lateMicros)*time.Microsecond/100
		if most := lastCall + time.Duration(callers)*pace + 100*time.Millisecond; admitted[callers-1] > most {
			rt.Fatalf("the last of %d was admitted after %v, want %v; the last had called after %v", callers, admitted[callers-1], most, lastCall)
		}
	})
}

// A thousand poolers that call one distributor at once all have a stream, and a snapshot, at its pace.
func TestThousandAtOnce(t *testing.T) {
	const poolers, step = 1000, 50 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1)
		defer c.close()
		c.write("p/a", "1")
		for i := range poolers {
			c.startPooler(i, poolers, "r0")
		}
		for at := time.Duration(0); at <= poolers*admissionInterval+100*time.Millisecond; at += step {
			synctest.Wait()
			if got, most := c.distributors["d0"].StreamCount(), admissionBurst+int(at/admissionInterval); got > most {
				t.Errorf("got %d streams after %v, want at most %d", got, at, most)
			}
			time.Sleep(step)
		}
		c.requireNewest(0, "a thousand")
	})
}

// loadedCluster is a cluster of which most poolers prefer d0, whose distributors and poolers come and go.
type loadedCluster struct {
	*cluster
	random             *rand.Rand
	tried              int // numbers of poolers
	fewestDistributors int // that were there since all were
	mostPoolers        int
}

// addPoolers starts poolers, three of four of which prefer d0.
func (l *loadedCluster) addPoolers(n int) {
	for ; n > 0; l.tried++ {
		preferred := Rank(fmt.Sprint("n", l.tried), "r0", l.endpoints)[0].Name
		if preferred == "d0" || l.tried%4 == 0 {
			l.startPooler(l.tried, 1000, "r0")
			n--
		}
	}
}

// disturb does something at random, and tells what.
func (l *loadedCluster) disturb() string {
	endpoint := l.endpoints[l.random.IntN(len(l.endpoints))]
	distributor, running := l.distributors[endpoint.Name]
	switch {
	case !running:
		l.startDistributor(endpoint)
		return endpoint.Name + " returned"
	case l.random.IntN(3) == 0:
		for _, name := range l.poolerNames()[:20] {
			l.removePooler(name)
		}
		l.addPoolers(30)
		return "poolers came and went"
	case len(l.distributors) > 1 && l.random.IntN(2) == 0:
		l.stopDistributor(endpoint.Name)
		return endpoint.Name + " was lost"
	}
	what := fmt.Sprintf("%s stalled with %d", endpoint.Name, distributor.StreamCount())
	others := append(l.poolerNames(), l.distributorNames()...)
	l.network.cutAround(endpoint.Name, others, true)
	time.Sleep(5 * testHeartbeat)
	l.network.cutAround(endpoint.Name, others, false)
	l.fewestDistributors = min(l.fewestDistributors, max(len(l.distributors)-1, 1))
	return what
}

// check fails unless each pooler has one stream, and no distributor holds more than a quarter over the mean, where up to four poolers
// on their way are counted at both ends.
func (l *loadedCluster) check(after string) {
	l.t.Helper()
	synctest.Wait()
	sum, held := 0, []int{}
	for _, distributor := range l.distributors {
		held = append(held, distributor.StreamCount())
		sum += distributor.StreamCount()
	}
	limit := (5*(l.mostPoolers+4) + 4*l.fewestDistributors - 1) / (4 * l.fewestDistributors)
	if sum != len(l.poolers) || slices.Max(held) > limit {
		l.t.Errorf("after %s: got %v streams of %d poolers, a quarter over the mean is %d", after, held, len(l.poolers), limit)
	}
}

// Whatever distributors are lost and return, and whatever poolers come and go, of whom most prefer one distributor, each has one stream
// within the recovery limit, and no distributor holds more than its share.
func TestBoundedLoads(t *testing.T) {
	t.Parallel()
	const distributors = 3
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			l := &loadedCluster{cluster: newCluster(t, distributors, 1), random: rand.New(rand.NewPCG(seed, 0)), fewestDistributors: distributors}
			defer l.close()
			time.Sleep(2 * testHeartbeat)
			l.addPoolers(170)
			for range 6 {
				what := l.disturb()
				time.Sleep(recoveryLimit)
				l.fewestDistributors = min(l.fewestDistributors, len(l.distributors))
				l.mostPoolers = max(l.mostPoolers, len(l.poolers))
				l.check(what)
			}
			l.startMissingDistributors()
			time.Sleep(2 * preferredRetryHeartbeats * testHeartbeat)
			l.check("all are back")
		})
	}
}
