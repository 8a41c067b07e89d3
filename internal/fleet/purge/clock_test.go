package purge

import (
	"testing"
	"time"
)

// TestOffsetBoundByMajority checks that the bound follows a majority of the clocks, that a sample with a long round trip does not replace a
// better one, and that a step of a clock is reflected at once.
func TestOffsetBoundByMajority(t *testing.T) {
	var comparison clockComparison
	wall, monotonic := int64(1e18), time.Hour
	measure := func(peer string, ahead, roundTrip time.Duration) {
		peerWall := wall - int64(ahead) + int64(roundTrip/2)
		comparison.add(clockSample{peer: peer, sentAt: wall, peerReceivedAt: peerWall, peerSentAt: peerWall, receivedAt: wall + int64(roundTrip), roundTrip: roundTrip}, monotonic+roundTrip)
		wall += int64(roundTrip)
		monotonic += roundTrip
	}
	if _, ok := comparison.offsetBound(wall, monotonic, 5, true); ok {
		t.Error("got a bound without any measurement")
	}
	measure("a", time.Millisecond, 0)
	measure("b", -2*time.Millisecond, 0)
	if _, ok := comparison.offsetBound(wall, monotonic, 5, true); ok {
		t.Error("got a bound from two measurements with five other poolers")
	}
	if bound, ok := comparison.offsetBound(wall, monotonic, 2, true); !ok || bound != 2*time.Millisecond {
		t.Errorf("with two other poolers: got bound %v, %v, want 2ms", bound, ok)
	}
	measure("wrong", time.Hour, 0)
	if bound, ok := comparison.offsetBound(wall, monotonic, 5, true); !ok || bound != 2*time.Millisecond {
		t.Errorf("with one wrong clock: got bound %v, %v, want 2ms", bound, ok)
	}
	measure("a", 0, time.Second) // less certain than the earlier sample
	if bound, _ := comparison.offsetBound(wall, monotonic, 5, false); bound != 2*time.Millisecond {
		t.Errorf("after a long round trip: got bound %v, want 2ms", bound)
	}
	measure("a", time.Minute, time.Second) // inconsistent with the earlier sample, so it replaces it
	if bound, _ := comparison.offsetBound(wall, monotonic, 5, false); bound < 59*time.Second {
		t.Errorf("after a step of a peer's clock: got bound %v, want at least 59s", bound)
	}
	if bound, _ := comparison.offsetBound(wall+int64(time.Second), monotonic, 2, false); bound < time.Second-2*time.Millisecond {
		t.Errorf("after a step of the local clock by 1s: got bound %v, want at least 998ms", bound)
	}
}
