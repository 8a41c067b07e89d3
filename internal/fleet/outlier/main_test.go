package outlier

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain runs the tests and fails if a goroutine is still running after them.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
