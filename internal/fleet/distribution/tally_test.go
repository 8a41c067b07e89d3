package distribution

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
)

// frameTally is a Counter that counts the frames of one distributor or pooler. It is safe for concurrent use.
type frameTally struct {
	mu     sync.Mutex // guards counts
	counts traffic
}

// traffic is the number of frames and bytes by direction and kind, for example "in word".
type traffic map[string]frameCount

// frameCount is a number of frames and their bytes. It may be a mean and thus fractional.
type frameCount struct{ frames, bytes float64 }

// plus returns c plus other multiplied by times.
func (c frameCount) plus(other frameCount, times float64) frameCount {
	return frameCount{c.frames + times*other.frames, c.bytes + times*other.bytes}
}

func (t *frameTally) In(kind string, bytes int)  { t.add("in "+kind, bytes) }
func (t *frameTally) Out(kind string, bytes int) { t.add("out "+kind, bytes) }

func (t *frameTally) add(kind string, bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[kind] = t.counts[kind].plus(frameCount{1, float64(bytes)}, 1)
}

func (t *frameTally) snapshot() traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.counts)
}

// plus returns t plus other multiplied by times.
func (t traffic) plus(other traffic, times float64) traffic {
	sum := maps.Clone(t)
	for kind, count := range other {
		sum[kind] = sum[kind].plus(count, times)
	}
	return sum
}

// times returns t multiplied by times.
func (t traffic) times(times float64) traffic { return traffic{}.plus(t, times) }

// sum returns the total of the keys that begin with prefix.
func (t traffic) sum(prefix string) (total frameCount) {
	for kind, count := range t {
		if strings.HasPrefix(kind, prefix) {
			total = total.plus(count, 1)
		}
	}
	return total
}

// reversed returns the traffic as the peer counts it, with the directions swapped.
func (t traffic) reversed() traffic {
	out := traffic{}
	for kind, count := range t {
		if received, ok := strings.CutPrefix(kind, "in "); ok {
			out["out "+received] = count
		} else {
			out["in "+strings.TrimPrefix(kind, "out ")] = count
		}
	}
	return out
}

func (t traffic) String() (out string) {
	for _, kind := range slices.Sorted(maps.Keys(t)) {
		if count := t[kind]; math.Abs(count.bytes) > 0.005 {
			out += fmt.Sprintf(" %s %.2f frames %.1f bytes;", kind, count.frames, count.bytes)
		}
	}
	return out
}

// tally returns the tally of a distributor or pooler. It continues when that is restarted.
func (c *cluster) tally(name string) *frameTally {
	if c.tallies[name] == nil {
		c.tallies[name] = &frameTally{counts: traffic{}}
	}
	return c.tallies[name]
}

// trafficOf returns the total traffic of the given distributors or poolers.
func (c *cluster) trafficOf(names ...string) traffic {
	total := traffic{}
	for _, name := range names {
		total = total.plus(c.tally(name).snapshot(), 1)
	}
	return total
}

// trafficSince returns the total traffic of the given distributors or poolers minus before.
func (c *cluster) trafficSince(before traffic, names ...string) traffic {
	return c.trafficOf(names...).plus(before, -1)
}
