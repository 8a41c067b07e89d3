package purge

import (
	"slices"
	"time"
)

const (
	// skew is by how much two clocks drift apart unseen: two crystals of 100 ppm each.
	skew = 200e-6
	// enough is how many other poolers' clocks are needed for a majority that bears one that is wrong, and kept how many are
	// remembered.
	enough = 3
	kept   = 7
)

// clock knows how far this process's wall clock is from other poolers' clocks. Its owner locks it. Each measurement remembers
// how the wall clock stood to the monotonic one, so that a step or a slew since then counts in full, at the very next look.
type clock struct {
	measures []measure // of different poolers, the newest last
}

type measure struct {
	peer  string
	ahead time.Duration // this clock, of the peer's
	slack time.Duration // half of the round: by so much ahead may be wrong
	at    time.Duration // monotonic
	shift time.Duration // wall less monotonic, then
}

// measured takes in a round: asked and heard are this clock's readings around it, got and sent the peer's; monotonic is when it
// was heard.
func (c *clock) measured(peer string, asked, got, sent, heard int64, took, monotonic time.Duration) {
	round := max(took-time.Duration(sent-got), 0)
	next := measure{peer: peer, ahead: time.Duration((asked - got + heard - sent) / 2), slack: round / 2, at: monotonic,
		shift: time.Duration(heard) - monotonic}
	if i := slices.IndexFunc(c.measures, func(m measure) bool { return m.peer == peer }); i >= 0 {
		if c.measures[i].better(next) {
			return
		}
		c.measures = slices.Delete(c.measures, i, i+1)
	}
	c.measures = append(c.measures, next)
	if len(c.measures) > kept {
		c.measures = c.measures[1:]
	}
}

// better tells whether a measurement says more than a later one of the same peer, whose round took long, and does not gainsay
// it: the peer's clock may have moved.
func (m measure) better(next measure) bool {
	slack := m.slack + time.Duration(skew*float64(next.at-m.at))
	moved := m.ahead + next.shift - m.shift - next.ahead
	return slack <= next.slack && max(moved, -moved) <= slack+next.slack
}

// off is the least bound that holds for a majority of the clocks measured: this one is no further from each of theirs. drift tells
// whether what may have come since is counted in. It tells nothing before enough are measured, of others known.
func (c *clock) off(wall int64, monotonic time.Duration, others int, drift bool) (time.Duration, bool) {
	if n := len(c.measures); n == 0 || n < min(enough, others) {
		return 0, false
	}
	var bounds []time.Duration
	for _, m := range c.measures {
		ahead := m.ahead + time.Duration(wall) - monotonic - m.shift
		bound := max(ahead, -ahead) + m.slack
		if drift {
			bound += time.Duration(skew * float64(monotonic-m.at))
		}
		bounds = append(bounds, bound)
	}
	slices.Sort(bounds)
	return bounds[len(bounds)/2], true
}
