package purge

import (
	"slices"
	"time"
)

const (
	// maxDriftRate is by how much two clocks drift apart unseen: two crystals of 100 ppm each.
	maxDriftRate = 200e-6
	// minPeers is how many other poolers' clocks are needed for a majority that bears one that is wrong, and kept how many are
	// remembered.
	minPeers = 3
	maxPeers = 7
)

// clockComparison knows how far this process's wall clock is from other poolers' clocks. Its owner locks it. Each measurement remembers
// how the wall clock stood to the monotonic one, so that a step or a slew since then counts in full, at the very next look.
type clockComparison struct {
	measurements []measurement // of different poolers, the newest last
}

type measurement struct {
	peer        string
	offset      time.Duration // this clock, of the peer's
	uncertainty time.Duration // half of the round: by so much ahead may be wrong
	measuredAt  time.Duration // monotonic
	wallShift   time.Duration // wall less monotonic, then
}

// add takes in a round: asked and heard are this clock's readings around it, got and sent the peer's; monotonic is when it
// was heard.
func (c *clockComparison) add(peer string, asked, got, sent, heard int64, took, monotonic time.Duration) {
	round := max(took-time.Duration(sent-got), 0)
	next := measurement{peer: peer, offset: time.Duration((asked - got + heard - sent) / 2), uncertainty: round / 2, measuredAt: monotonic,
		wallShift: time.Duration(heard) - monotonic}
	if i := slices.IndexFunc(c.measurements, func(m measurement) bool { return m.peer == peer }); i >= 0 {
		if c.measurements[i].outweighs(next) {
			return
		}
		c.measurements = slices.Delete(c.measurements, i, i+1)
	}
	c.measurements = append(c.measurements, next)
	if len(c.measurements) > maxPeers {
		c.measurements = c.measurements[1:]
	}
}

// outweighs tells whether a measurement says more than a later one of the same peer, whose round took long, and does not gainsay
// it: the peer's clock may have moved.
func (m measurement) outweighs(next measurement) bool {
	slack := m.uncertainty + time.Duration(maxDriftRate*float64(next.measuredAt-m.measuredAt))
	moved := m.offset + next.wallShift - m.wallShift - next.offset
	return slack <= next.uncertainty && max(moved, -moved) <= slack+next.uncertainty
}

// offsetBound is the least bound that holds for a majority of the clocks measured: this one is no further from each of theirs. drift tells
// whether what may have come since is counted in. It tells nothing before enough are measured, of others known.
func (c *clockComparison) offsetBound(wall int64, monotonic time.Duration, others int, drift bool) (time.Duration, bool) {
	if n := len(c.measurements); n == 0 || n < min(minPeers, others) {
		return 0, false
	}
	var bounds []time.Duration
	for _, m := range c.measurements {
		ahead := m.offset + time.Duration(wall) - monotonic - m.wallShift
		bound := max(ahead, -ahead) + m.uncertainty
		if drift {
			bound += time.Duration(maxDriftRate * float64(monotonic-m.measuredAt))
		}
		bounds = append(bounds, bound)
	}
	slices.Sort(bounds)
	return bounds[len(bounds)/2], true
}
