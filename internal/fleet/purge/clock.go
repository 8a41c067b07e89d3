package purge

import (
	"slices"
	"time"
)

const (
	// maxDriftRate is the highest rate at which two clocks drift apart between comparisons: two crystals of 100 ppm each.
	maxDriftRate = 200e-6
	// minPeers is the number of other poolers' clocks needed for a majority that outvotes one wrong clock.
	minPeers = 3
	// maxPeers is the number of other poolers whose measurements are kept.
	maxPeers = 7
)

// clockSample is one comparison with a peer's clock: a request and its answer. Wall clock times are Unix times in ns.
type clockSample struct {
	peer           string
	sentAt         int64         // local wall clock when the request was sent
	peerReceivedAt int64         // peer's wall clock when it received the request
	peerSentAt     int64         // peer's wall clock when it sent the answer
	receivedAt     int64         // local wall clock when the answer was received
	roundTrip      time.Duration // time from request to answer on the local monotonic clock
}

// clockComparison holds measurements of the offset between this process's wall clock and other poolers' clocks. Each measurement includes
// the difference between the local wall clock and the monotonic clock, so a later step or slew of the wall clock is reflected in full the
// next time that the offset is evaluated. It is not safe for concurrent use.
type clockComparison struct {
	measurements []measurement // at most one per peer, the newest last
}

// measurement is the offset from a peer's clock as derived from a clockSample.
type measurement struct {
	peer               string
	offset             time.Duration // local wall clock minus the peer's
	uncertainty        time.Duration // largest error of the offset: half of the network time
	measuredAt         time.Duration // time on the monotonic clock
	wallMinusMonotonic time.Duration // local wall clock minus monotonic clock at measuredAt
}

// add records a sample whose answer was received at the given time on the monotonic clock. A better earlier measurement of the same peer
// is kept instead.
func (c *clockComparison) add(sample clockSample, monotonic time.Duration) {
	networkTime := max(sample.roundTrip-time.Duration(sample.peerSentAt-sample.peerReceivedAt), 0)
	added := measurement{
		peer:               sample.peer,
		offset:             time.Duration((sample.sentAt - sample.peerReceivedAt + sample.receivedAt - sample.peerSentAt) / 2),
		uncertainty:        networkTime / 2,
		measuredAt:         monotonic,
		wallMinusMonotonic: time.Duration(sample.receivedAt) - monotonic,
	}
	i := slices.IndexFunc(c.measurements, func(m measurement) bool { return m.peer == sample.peer })
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

// isBetterThan reports whether m is more certain than a later measurement of the same peer, even after drift since m, and is consistent
// with it. The two are inconsistent if the peer's clock was changed in between.
func (m measurement) isBetterThan(later measurement) bool {
	uncertainty := m.uncertainty + time.Duration(maxDriftRate*float64(later.measuredAt-m.measuredAt))
	change := m.offset + later.wallMinusMonotonic - m.wallMinusMonotonic - later.offset
	inconsistent := max(change, -change) > uncertainty+later.uncertainty
	return uncertainty <= later.uncertainty && !inconsistent
}

// offsetBound returns the smallest bound on the offset of the local wall clock that holds for a majority of the measured clocks. With
// withDrift, the bound includes the drift that may have accumulated since each measurement. ok is false until enough of the other poolers'
// clocks have been measured.
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
