package config

import (
	"fmt"
	"math"
	"slices"
	"time"

	"threadsail/internal/jsonfile"
	"threadsail/internal/policy"
)

// The values that keys of the settings may have, and what each stands for.
var (
	staleReadValues = map[string]policy.StaleReadHandling{
		"":       policy.StaleReadAnswered,
		"none":   policy.StaleReadAnswered,
		"bounce": policy.StaleReadRejected,
		"await":  policy.StaleReadWaits,
	}
	idempotencyValues = map[string]policy.Idempotency{
		"free":        policy.Idempotent,
		"guarded":     policy.IdempotentByKey,
		"single_shot": policy.NotIdempotent,
	}
	dedupScopeValues = map[string]policy.DedupScope{
		"all":  policy.DedupEverywhere,
		"zone": policy.DedupInZone,
		"":     policy.DedupInGroup,
		"cell": policy.DedupInGroup,
	}
	accessValues = map[string]policy.Access{
		"eventual":  policy.ReadAny,
		"lag_bound": policy.ReadBounded,
		"causal":    policy.ReadSession,
		"strong":    policy.ReadLatest,
		"mutate":    policy.Write,
	}
)

// PolicySettings returns the settings in the policy's own form, for the pooler and for the simulator's adapter. Errors begin with the
// path of the key.
func PolicySettings(f *SettingsFile) (policy.Settings, error) {
	s := policy.Settings{
		Poolers:             f.Poolers,
		PoolerIndex:         f.PoolerIndex,
		Zone:                f.Zone,
		PollList:            f.Discovery == "ask",
		EventInterval:       Milliseconds(f.EventIntervalMs),
		StaleReadWait:       Milliseconds(f.Replication.StaleReadWaitMs),
		PositionEpoch:       Milliseconds(f.Replication.PositionEpochMs),
		TrackSessions:       f.Replication.SessionPositions == "kept",
		ProbesAllowed:       f.Capabilities.Probes,
		CancelAllowed:       f.Capabilities.Cancel,
		HedgingAllowed:      f.Capabilities.Hedging,
		RetryAfterSupported: f.Capabilities.RetryAfter,
		MaxAttempts:         f.Capabilities.MaxAttempts,
		MaxRetryAfter:       Milliseconds(f.Capabilities.MaxRetryAfterMs),
		MaxPollInterval:     Milliseconds(f.Policy.MaxPollIntervalMs),
		IgnoreRemoval:       f.Policy.IgnoreRemoval,
		DrainGracePeriod:    Milliseconds(f.Policy.DrainGraceMs),
		SlowStartCapacity:   f.Policy.SlowStartCapacity,
		SlowStartDuration:   Milliseconds(f.Policy.SlowStartMs),
		OverloadFactor:      f.Policy.OverloadFactor,
		OverloadInterval:    Milliseconds(f.Policy.OverloadIntervalMs),
	}
	staleReads, err := jsonfile.EnumValue("settings.familyInfo.behind", f.Replication.StaleReads, staleReadValues)
	if err != nil {
		return s, err
	}
	s.StaleReads = staleReads
	if err := f.checkValues(); err != nil {
		return s, err
	}
	if f.Health.How != "none" {
		for _, name := range f.Health.Fields {
			s.RolesReported = s.RolesReported || name == roleField
		}
	}
	for i, l := range f.Classes {
		c, err := policyClass(f, i, l)
		if err != nil {
			return s, fmt.Errorf("settings.%w", err)
		}
		s.Classes = append(s.Classes, c)
	}
	return s, nil
}

// checkValues checks the values that stand for a boolean: one that is not known must not pass for false.
func (f *SettingsFile) checkValues() error {
	for _, w := range []struct {
		key, word string
		known     []string
	}{
		{"discovery", f.Discovery, []string{"", "ask", "push"}},
		{"report.how", f.Health.How, []string{"", "none", "probe", "answers"}},
		{"familyInfo.tokens", f.Replication.SessionPositions, []string{"", "brought", "kept"}},
	} {
		if !slices.Contains(w.known, w.word) {
			return fmt.Errorf("settings.%s: unknown word %q", w.key, w.word)
		}
	}
	return nil
}

// policyClass returns the policy's class for the lane of an index.
func policyClass(f *SettingsFile, i int, l ClassSettings) (c policy.Class, err error) {
	c = policy.Class{
		Name:               l.Name,
		LatencyObjective:   Milliseconds(l.LatencyObjectiveMs),
		TotalTimeout:       Milliseconds(l.TotalTimeoutMs),
		PriorityWeight:     l.PriorityWeight,
		LateWeightFraction: l.LateWeightFraction,
		DedupWindow:        Milliseconds(l.DedupWindowMs),
	}
	lane := fmt.Sprintf("lanes[%d]", i)
	if c.Idempotency, err = jsonfile.EnumValue(lane+".semantics", l.Idempotency, idempotencyValues); err != nil {
		return c, err
	}
	if c.DedupScope, err = jsonfile.EnumValue(lane+".group", l.DedupScope, dedupScopeValues); err != nil {
		return c, err
	}
	if i < len(f.Replication.MaxStalenessMs) {
		c.MaxStaleness = Milliseconds(f.Replication.MaxStalenessMs[i])
	}
	if i < len(f.Replication.Access) {
		c.Access, err = jsonfile.EnumValue(fmt.Sprintf("familyInfo.classRead[%d]", i), f.Replication.Access[i], accessValues)
	}
	return c, err
}

// Milliseconds returns a number of milliseconds as a duration, rounded to microseconds.
func Milliseconds(v float64) time.Duration {
	const maxMicroseconds = float64(1 << 52) // which a float64 still holds exactly
	return time.Duration(math.Round(max(min(v*1000, maxMicroseconds), -maxMicroseconds))) * time.Microsecond
}
