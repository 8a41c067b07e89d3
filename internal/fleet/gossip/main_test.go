package gossip

import (
	"testing"
	"time"

	"go.uber.org/goleak"
)

// longestProbe bounds one probe of another pooler: memberlist stretches the interval up to eight times while it doubts its own
// health (AwarenessMaxMultiplier).
const longestProbe = 9 * probeInterval

// TestMain fails the package where a goroutine outlives the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(testsAndLastProbes{m}) }

// testsAndLastProbes runs the tests and then waits, within longestProbe, for goroutines to end: memberlist's Shutdown leaves a
// probe that is under way to end by itself, at its timeout.
type testsAndLastProbes struct{ tests *testing.M }

// Run returns the exit code of the tests.
func (t testsAndLastProbes) Run() int {
	code := t.tests.Run()
	deadline := time.Now().Add(longestProbe)
	for goleak.Find() != nil && time.Now().Before(deadline) {
		continue // Find itself waits between its looks
	}
	return code
}
