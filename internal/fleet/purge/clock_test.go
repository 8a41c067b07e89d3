package purge

import (
	"testing"
	"time"
)

// The offset is bounded by a majority of the clocks, a slow round does not replace a better one, and a step counts at once.
func TestOffsetBoundByMajority(t *testing.T) {
	var c clockComparison
	at, mono := int64(1e18), time.Hour
	measure := func(peer string, ahead, round time.Duration) {
		theirs := at - int64(ahead) + int64(round/2)
		c.add(clockSample{peer: peer, sentAt: at, peerReceivedAt: theirs, peerSentAt: theirs, receivedAt: at + int64(round), roundTrip: round}, mono+round)
		at += int64(round)
		mono += round
	}
	if _, ok := c.offsetBound(at, mono, 5, true); ok {
		t.Error("nothing measured")
	}
	measure("a", time.Millisecond, 0)
	measure("b", -2*time.Millisecond, 0)
	if _, ok := c.offsetBound(at, mono, 5, true); ok {
		t.Error("two are no majority of five others")
	}
	if off, ok := c.offsetBound(at, mono, 2, true); !ok || off != 2*time.Millisecond {
		t.Errorf("of two others: %v %v", off, ok)
	}
	measure("liar", time.Hour, 0)
	if off, ok := c.offsetBound(at, mono, 5, true); !ok || off != 2*time.Millisecond {
		t.Errorf("with a liar: %v %v", off, ok)
	}
	measure("a", 0, time.Second) // a slow round says less than the one before
	if off, _ := c.offsetBound(at, mono, 5, false); off != 2*time.Millisecond {
		t.Errorf("behind a slow round: %v", off)
	}
	measure("a", time.Minute, time.Second) // but one that gainsays it counts
	if off, _ := c.offsetBound(at, mono, 5, false); off < 59*time.Second {
		t.Errorf("the peer's clock moved: %v", off)
	}
	if off, _ := c.offsetBound(at+int64(time.Second), mono, 2, false); off < time.Second-2*time.Millisecond {
		t.Errorf("this clock stepped by a second: %v", off)
	}
}
