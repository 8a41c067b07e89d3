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

// connectTimes is a heap of the times at which poolers connect next.
type connectTimes []time.Duration

func (c connectTimes) Len() int           { return len(c) }
func (c connectTimes) Less(i, j int) bool { return c[i] < c[j] }
func (c connectTimes) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *connectTimes) Push(x any)        { *c = append(*c, x.(time.Duration)) }
func (c *connectTimes) Pop() any {
	last := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return last
}

// drawConnectTimes draws bursts of connecting poolers.
func drawConnectTimes(rt *rapid.T) (times connectTimes) {
	for range rapid.IntRange(1, 6).Draw(rt, "bursts") {
		startMillis, spreadMicros := rapid.IntRange(0, 3000).Draw(rt, "at ms"), rapid.IntRange(1, 500_000).Draw(rt, "over µs")
		for i := range rapid.IntRange(1, 1000).Draw(rt, "poolers") {
			times = append(times, time.Duration(startMillis)*time.Millisecond+time.Duration(i*7919%spreadMicros)*time.Microsecond)
		}
	}
	return times
}

// simulateConnects lets poolers connect to a distributor, and retry after the delay that it returns plus up to lateMicros microseconds. It
// returns the times of admission and the number of attempts. ended is the refusal that ended the simulation early: one without a retry
// delay, or the last one when there were too many attempts.
func simulateConnects(t *testing.T, times connectTimes, lateMicros int) (admitted []time.Duration, attempts int, ended *refusal) {
	poolers := len(times)
	heap.Init(&times)
	synctest.Test(t, func(*testing.T) {
		start := time.Now()
		d := &Distributor{registry: newRegistry()}
		for ; len(times) > 0 && ended == nil; attempts++ {
			at := heap.Pop(&times).(time.Duration)
			time.Sleep(time.Until(start.Add(at)))
			refused := d.admit(&serverStream{hello: hello{Protocol: protocolVersion, Name: fmt.Sprint("n", attempts)}})
			switch {
			case refused == nil:
				admitted = append(admitted, at)
			case refused.RetryAfterMillis > 0 && attempts < 4*poolers:
				late := time.Duration(attempts*7919%(lateMicros+1)) * time.Microsecond
				heap.Push(&times, at+time.Duration(refused.RetryAfterMillis)*time.Millisecond+late)
			default:
				ended = refused
			}
		}
	})
	return admitted, attempts, ended
}

// No matter when poolers connect, no more are admitted in any interval than the burst and the admission rate allow, and every pooler that
// retries is admitted eventually: the last one no later after the last first attempt than admitting all at the admission rate takes.
func TestAdmission(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		lateMicros := rapid.IntRange(0, 5000).Draw(rt, "late µs")
		times := drawConnectTimes(rt)
		lastFirstAttempt, poolers := slices.Max(times), len(times)
		admitted, attempts, ended := simulateConnects(t, times, lateMicros)
		if ended != nil {
			rt.Fatalf("attempt %d of %d poolers: %+v", attempts, poolers, *ended)
		}
		for i := range admitted {
			for j := i + admissionBurst; j < len(admitted); j += 17 {
				span := admitted[j] - admitted[i]
				if limit := admissionBurst + 1 + int(span/admissionInterval); j-i+1 > limit {
					rt.Fatalf("got %d admitted within %v, want at most %d", j-i+1, span, limit)
				}
			}
		}
		interval := admissionInterval + time.Duration(lateMicros)*time.Microsecond/100
		if limit := lastFirstAttempt + time.Duration(poolers)*interval + 100*time.Millisecond; admitted[poolers-1] > limit {
			rt.Fatalf("the last of %d poolers was admitted after %v, want at most %v; the last first attempt was after %v", poolers, admitted[poolers-1], limit, lastFirstAttempt)
		}
	})
}

// A thousand poolers that connect to one distributor at once are admitted at its admission rate, and all receive a snapshot.
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
			if got, limit := c.distributors["d0"].StreamCount(), admissionBurst+int(at/admissionInterval); got > limit {
				t.Errorf("got %d streams after %v, want at most %d", got, at, limit)
			}
			time.Sleep(step)
		}
		c.requireNewest(0, "a thousand poolers")
	})
}

// churnCluster is a cluster whose distributors and poolers are started and stopped at random, and most of whose poolers prefer d0.
type churnCluster struct {
	*cluster
	random             *rand.Rand
	nextPoolerNumber   int // number of the next pooler to consider
	fewestDistributors int // lowest number of available distributors since all were running
	mostPoolers        int // highest number of poolers
}

// addPoolers starts n poolers. Of every four considered it starts the first and those that prefer d0, so that most prefer d0.
func (l *churnCluster) addPoolers(n int) {
	for ; n > 0; l.nextPoolerNumber++ {
		preferred := Rank(fmt.Sprint("n", l.nextPoolerNumber), "r0", l.endpoints)[0].Name
		if preferred == "d0" || l.nextPoolerNumber%4 == 0 {
			l.startPooler(l.nextPoolerNumber, 1000, "r0")
			n--
		}
	}
}

// injectRandomChange starts, stops or stalls a distributor or replaces poolers, at random, and returns a description.
func (l *churnCluster) injectRandomChange() string {
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
		return "poolers were replaced"
	case len(l.distributors) > 1 && l.random.IntN(2) == 0:
		l.stopDistributor(endpoint.Name)
		return endpoint.Name + " was lost"
	}
	description := fmt.Sprintf("%s stalled with %d streams", endpoint.Name, distributor.StreamCount())
	others := append(l.poolerNames(), l.distributorNames()...)
	l.network.cutAround(endpoint.Name, others, true)
	time.Sleep(5 * testHeartbeat)
	l.network.cutAround(endpoint.Name, others, false)
	l.fewestDistributors = min(l.fewestDistributors, max(len(l.distributors)-1, 1))
	return description
}

// checkLoads fails unless each pooler has one stream and no distributor holds more than 1.25 times the mean. Up to four poolers that are
// moving may be counted twice.
func (l *churnCluster) checkLoads(after string) {
	l.t.Helper()
	synctest.Wait()
	sum, streamCounts := 0, []int{}
	for _, distributor := range l.distributors {
		streamCounts = append(streamCounts, distributor.StreamCount())
		sum += distributor.StreamCount()
	}
	limit := (5*(l.mostPoolers+4) + 4*l.fewestDistributors - 1) / (4 * l.fewestDistributors)
	if sum != len(l.poolers) || slices.Max(streamCounts) > limit {
		l.t.Errorf("after %s: got %v streams of %d poolers, want at most %d per distributor", after, streamCounts, len(l.poolers), limit)
	}
}

// When distributors are lost and return and poolers start and stop, each pooler has one stream within the recovery limit, and no
// distributor holds more than its share, although most poolers prefer the same distributor.
func TestBoundedLoads(t *testing.T) {
	t.Parallel()
	const distributors = 3
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			l := &churnCluster{cluster: newCluster(t, distributors, 1), random: rand.New(rand.NewPCG(seed, 0)), fewestDistributors: distributors}
			defer l.close()
			time.Sleep(2 * testHeartbeat)
			l.addPoolers(170)
			for range 6 {
				what := l.injectRandomChange()
				time.Sleep(recoveryLimit)
				l.fewestDistributors = min(l.fewestDistributors, len(l.distributors))
				l.mostPoolers = max(l.mostPoolers, len(l.poolers))
				l.checkLoads(what)
			}
			l.startMissingDistributors()
			time.Sleep(2 * preferredRetryHeartbeats * testHeartbeat)
			l.checkLoads("all distributors restarted")
		})
	}
}
