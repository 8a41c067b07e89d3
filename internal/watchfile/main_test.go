package watchfile

import (
	"testing"
	"time"

	"go.uber.org/goleak"
)

// longestClose bounds how long the kernel takes to close the tests' inotify descriptors, for which Watcher.Close does not wait: it
// took half a minute on a machine at a load average of 60.
const longestClose = 3 * time.Minute

// TestMain fails the package where a goroutine outlives the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(testsAndLastCloses{m}) }

// testsAndLastCloses runs the tests and then waits, within longestClose, for goroutines to end.
type testsAndLastCloses struct{ tests *testing.M }

// Run returns the exit code of the tests.
func (t testsAndLastCloses) Run() int {
	code := t.tests.Run()
	deadline := time.Now().Add(longestClose)
	for goleak.Find() != nil && time.Now().Before(deadline) {
		continue // Find itself waits between its looks
	}
	return code
}
