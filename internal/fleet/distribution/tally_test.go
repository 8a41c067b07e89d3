package distribution

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
)

// frameTally counts the frames of one end's streams. It is safe for use by several goroutines.
type frameTally struct {
	mu     sync.Mutex // guards counts
	counts traffic
}

// traffic is frames and bytes by direction and kind: "in word".
type traffic map[string]frameCount

// frameCount is a count of frames, which may be a mean.
type frameCount struct{ frames, bytes float64 }

// plus adds another count so many times.
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

// plus adds other traffic so many times.
func (t traffic) plus(other traffic, times float64) traffic {
	sum := maps.Clone(t)
	for kind, count := range other {
		sum[kind] = sum[kind].plus(count, times)
	}
	return sum
}

// times is the traffic so many times.
func (t traffic) times(times float64) traffic { return traffic{}.plus(t, times) }

// sum adds up the kinds that begin with a prefix.
func (t traffic) sum(prefix string) (total frameCount) {
	for kind, count := range t {
		if strings.HasPrefix(kind, prefix) {
			total = total.plus(count, 1)
		}
	}
	return total
}

// reversed is the traffic as the other end counts it.
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

// tally is the tally of a name, which goes on where the name is restarted.
func (c *cluster) tally(name string) *frameTally {
	if c.tallies[name] == nil {
		c.tallies[name] = &frameTally{counts: traffic{}}
	}
	return c.tallies[name]
}

// trafficOf adds up the traffic of some names.
func (c *cluster) trafficOf(names ...string) traffic {
	total := traffic{}
	for _, name := range names {
		total = total.plus(c.tally(name).snapshot(), 1)
	}
	return total
}

// trafficSince is the traffic of some names beyond what it was.
func (c *cluster) trafficSince(before traffic, names ...string) traffic {
	return c.trafficOf(names...).plus(before, -1)
}
