package scale

import (
	"testing"

	"threadsail/internal/goldentest"
)

// The report that is written as JSON keeps its keys.
func TestStoredReport(t *testing.T) { goldentest.CheckJSON[Report](t, "report.json") }
