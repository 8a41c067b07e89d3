// Package protocol holds what both wires share.
package protocol

import (
	"math"
	"strconv"
	"strings"
	"time"

	"threadsail/internal/policy"
)

// Report reads a load report, name=value,…. Positions in it are Unix times in seconds. Unknown names and
// impossible numbers are passed over.
func Report(text string) (r policy.ServerStatus) {
	for _, field := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			continue
		}
		switch name {
		case "x0":
			if v > 0 && v < 1e10 {
				r.HasPosition, r.Position = true, time.Duration(v*1e6)*time.Microsecond // rounded down
			}
		case "x1":
			r.HasRole, r.IsPrimary = true, v == 1
		case "util":
			r.Utilization = v
		}
	}
	return r
}

// Position reads a Unix time in milliseconds.
func Position(text string) (time.Duration, bool) {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v > 0 && v < 1e13) {
		return 0, false
	}
	return time.Duration(v*1000) * time.Microsecond, true
}
