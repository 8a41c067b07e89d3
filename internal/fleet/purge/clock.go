package purge

import (
	"slices"
	"time"
)

const (
	// maxDriftRate is how fast two clocks drift apart unseen: two crystals of 100 ppm each.
	maxDriftRate = 200e-6
	// minPeers is how many other poolers' clocks are needed for a majority that outweighs a wrong one.
	minPeers = 3
	// maxPeers is how many other poolers' clocks are remembered.
	maxPeers = 7
)

// clockSample is one comparison with a peer's clock: a request and its answer. Wall clocks are Unix times in ns.
type clockSample struct {
	peer           string
	sentAt         int64         // the request, by the clock here
	peerReceivedAt int64         // the request, by the peer's clock
	peerSentAt     int64         // the answer, by the peer's clock
	receivedAt     int64         // the answer, by the clock here
	roundTrip      time.Duration // of the round, on the monotonic clock here
}

// clockComparison knows how far this process's wall clock is from other poolers' clocks. Each measurement remembers how the wall clock
// stood to the monotonic clock, so a step or a slew of the wall clock since then counts in full at the next look. It is not safe for
// concurrent use.
type clockComparison struct {
	measurements []measurement // of different peers, the newest last
}

// measurement is what a round says about a peer's clock.
type measurement struct {
	peer               string
	offset             time.Duration // of the clock here from the peer's
	uncertainty        time.Duration // of the offset: half of the round
	measuredAt         time.Duration // monotonic
	wallMinusMonotonic time.Duration // of the wall clock from the monotonic one, then
}

// add records a round that ended at a time of the monotonic clock.
func (c *clockComparison) add(r clockSample, monotonic time.Duration) {
	networkTime := max(r.roundTrip-time.Duration(r.peerSentAt-r.peerReceivedAt), 0)
	added := measurement{
		peer:               r.peer,
		offset:             time.Duration((r.sentAt - r.peerReceivedAt + r.receivedAt - r.peerSentAt) / 2),
		uncertainty:        networkTime / 2,
		measuredAt:         monotonic,
		wallMinusMonotonic: time.Duration(r.receivedAt) - monotonic,
	}
	i := slices.IndexFunc(c.measurements, func(m measurement) bool { return m.peer == r.peer })
	if i >= 0 {
		if c.measurements[i].isBetterThan(added) {
			return
		}
		c.measurements = slices.Delete(c.measurements, i, i+1)
	}
	c.measurements = append(c.measurements, added)
	if len(c.measurements) > maxPeers {
		c.measurements = c.measurements[1:]
	}
}

// isBetterThan reports whether a measurement says more than a later one of the same peer, whose round took long, and is not contradicted by
// it: the peer's clock may have moved.
func (m measurement) isBetterThan(later measurement) bool {
	uncertainty := m.uncertainty + time.Duration(maxDriftRate*float64(later.measuredAt-m.measuredAt))
	moved := m.offset + later.wallMinusMonotonic - m.wallMinusMonotonic - later.offset
	contradicted := max(moved, -moved) > uncertainty+later.uncertainty
	return uncertainty <= later.uncertainty && !contradicted
}

// offsetBound returns the least bound that holds for a majority of the clocks that were measured: the clock here is no further from each
// of theirs. withDrift includes what may have come since the measurements. ok is false until enough of the other poolers' clocks are
// measured.
func (c *clockComparison) offsetBound(wall int64, monotonic time.Duration, otherPoolers int, withDrift bool) (bound time.Duration, ok bool) {
	measured := len(c.measurements)
	if measured == 0 || measured < min(minPeers, otherPoolers) {
		return 0, false
	}
	bounds := make([]time.Duration, 0, measured)
	for _, m := range c.measurements {
		offset := m.offset + time.Duration(wall) - monotonic - m.wallMinusMonotonic
		bound := max(offset, -offset) + m.uncertainty
		if withDrift {
			bound += time.Duration(maxDriftRate * float64(monotonic-m.measuredAt))
		}
		bounds = append(bounds, bound)
	}
	slices.Sort(bounds)
	return bounds[measured/2], true
}
