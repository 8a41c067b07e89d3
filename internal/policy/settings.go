package policy

import (
	"fmt"
	"time"
)

// Validate reports the first setting that no front can work with.
func (s *Settings) Validate() error {
	numbers := []struct {
		field string
		value int
	}{{"Balancers", s.Poolers}, {"Me", s.PoolerIndex}, {"Zone", s.Zone}, {"MaxAttempts", s.MaxAttempts}}
	for _, n := range numbers {
		if n.value < 0 {
			return fmt.Errorf("settings: %s is %d, below 0", n.field, n.value)
		}
	}
	spans := []struct {
		field string
		value time.Duration
	}{{"BehindWait", s.StaleReadWait}, {"MaxRetryAfter", s.MaxRetryAfter}, {"MustAsk", s.MaxPollInterval}, {"Tick", s.EventInterval},
		{"DrainGrace", s.DrainGracePeriod}, {"ColdFor", s.SlowStartDuration}, {"ColdSpan", s.OverloadInterval}}
	for _, d := range spans {
		if d.value < 0 {
			return fmt.Errorf("settings: %s is %v, below 0", d.field, d.value)
		}
	}
	if !(s.SlowStartCapacity >= 0 && s.SlowStartCapacity <= 1) {
		return fmt.Errorf("settings: ColdFrom is %v, not within 0 and 1", s.SlowStartCapacity)
	}
	if !(s.OverloadFactor >= 0) {
		return fmt.Errorf("settings: ColdMultiple is %v, below 0", s.OverloadFactor)
	}
	if s.StaleReads > StaleReadWaits {
		return fmt.Errorf("settings: Behind is %d, which is unknown", s.StaleReads)
	}
	for i, c := range s.Classes {
		if c.Access > Write || c.Idempotency > NotIdempotent || c.DedupScope > DedupInGroup {
			return fmt.Errorf("settings: Classes[%d] %q: Need %d, Effect %d or Scope %d is unknown",
				i, c.Name, c.Access, c.Idempotency, c.DedupScope)
		}
		if c.MaxStaleness < 0 || c.DedupWindow < 0 || c.LatencyObjective < 0 || c.TotalTimeout < 0 || !(c.PriorityWeight >= 0) {
			return fmt.Errorf(
				"settings: Classes[%d] %q: Bound %v, Window %v, Aim %v, Deadline %v or Worth %v is below 0", i,
				c.Name, c.MaxStaleness, c.DedupWindow, c.LatencyObjective, c.TotalTimeout, c.PriorityWeight)
		}
	}
	return nil
}
