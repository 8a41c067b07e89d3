package pooler_test

import (
	"testing"
	"time"

	"threadsail/internal/lab/standin"
)

// BenchmarkRequest is a request's whole way, client, pooler and server in one process: what all of it allocates.
// cmd/threadsail's BenchmarkServe measures the pooler's own processor time.
func BenchmarkRequest(b *testing.B) {
	for _, wire := range []string{"postgres", "mysql"} {
		b.Run(wire, func(b *testing.B) {
			f := standin.NewFleet(b, wire == "mysql", nil, "p", "r")
			c := dial(b, poolerProcess(b, f))
			expectServed(b, c.Do(standin.Read("any", 2*time.Second)))
			b.ReportAllocs()
			for b.Loop() {
				expectServed(b, c.Do(standin.Read("any", 2*time.Second)))
			}
		})
	}
}
