package outlier

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails the package where a goroutine outlives the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
