package gossip

import (
	"testing"
	"time"

	"go.uber.org/goleak"
)

// maxProbeDuration is the maximum duration of a probe: memberlist multiplies the interval by up to eight while it considers its
// own node unhealthy (AwarenessMaxMultiplier).
const maxProbeDuration = 9 * probeInterval

// TestMain fails if a goroutine is still running after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(testsWithProbeWait{m}) }

// testsWithProbeWait runs the tests and then waits for goroutines to end, for at most maxProbeDuration: memberlist's Shutdown
// does not cancel a running probe, which ends at its timeout.
type testsWithProbeWait struct{ tests *testing.M }

// Run returns the exit code of the tests.
func (t testsWithProbeWait) Run() int {
	code := t.tests.Run()
	deadline := time.Now().Add(maxProbeDuration)
	for goleak.Find() != nil && time.Now().Before(deadline) {
		continue // Find waits between its retries
	}
	return code
}
