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
	staleReadWords = map[string]policy.StaleReadHandling{
		"":       policy.StaleReadAnswered,
		"none":   policy.StaleReadAnswered,
		"bounce": policy.StaleReadRejected,
		"await":  policy.StaleReadWaits,
	}
	idempotencyWords = map[string]policy.Idempotency{
		"free":        policy.Idempotent,
		"guarded":     policy.IdempotentByKey,
		"single_shot": policy.NotIdempotent,
	}
	dedupScopeWords = map[string]policy.DedupScope{
		"all":  policy.DedupEverywhere,
		"zone": policy.DedupInZone,
		"":     policy.DedupInGroup,
		"cell": policy.DedupInGroup,
	}
	accessWords = map[string]policy.Access{
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
		Poolers:             f.Balancers,
		PoolerIndex:         f.Me,
		Zone:                f.Zone,
		PollList:            f.Discovery == "ask",
		EventInterval:       Milliseconds(f.TickMs),
		StaleReadWait:       Milliseconds(f.FamilyInfo.WaitMs),
		PositionEpoch:       Milliseconds(f.FamilyInfo.BaseTimeMs),
		TrackSessions:       f.FamilyInfo.Tokens == "kept",
		ProbesAllowed:       f.Caps.Probing,
		CancelAllowed:       f.Caps.MayCancel,
		HedgingAllowed:      f.Caps.SecondCopies,
		RetryAfterSupported: f.Caps.RetryAfter,
		MaxAttempts:         f.Caps.MaxAttempts,
		MaxRetryAfter:       Milliseconds(f.Caps.MaxRetryAfterMs),
		MaxPollInterval:     Milliseconds(f.Contract.MustAskInMs),
		IgnoreRemoval:       f.Contract.OnlyDrainingBinds,
		DrainGracePeriod:    Milliseconds(f.Contract.DrainGraceMs),
		SlowStartCapacity:   f.Contract.ColdFrom,
		SlowStartDuration:   Milliseconds(f.Contract.ColdMs),
		OverloadFactor:      f.Contract.OverloadFactor,
		OverloadInterval:    Milliseconds(f.Contract.OverloadForMs),
	}
	staleReads, err := jsonfile.EnumValue("settings.familyInfo.behind", f.FamilyInfo.Behind, staleReadWords)
	if err != nil {
		return s, err
	}
	s.StaleReads = staleReads
	if err := f.checkWords(); err != nil {
		return s, err
	}
	if f.Report.How != "none" {
		for _, name := range f.Report.Fields {
			s.RolesReported = s.RolesReported || name == roleField
		}
	}
	for i, l := range f.Lanes {
		c, err := policyClass(f, i, l)
		if err != nil {
			return s, fmt.Errorf("settings.%w", err)
		}
		s.Classes = append(s.Classes, c)
	}
	return s, nil
}

// checkWords checks the values that stand for a boolean: one that is not known must not pass for false.
func (f *SettingsFile) checkWords() error {
	for _, w := range []struct {
		key, word string
		known     []string
	}{
		{"discovery", f.Discovery, []string{"", "ask", "push"}},
		{"report.how", f.Report.How, []string{"", "none", "probe", "answers"}},
		{"familyInfo.tokens", f.FamilyInfo.Tokens, []string{"", "brought", "kept"}},
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
		LatencyObjective:   Milliseconds(l.AimMs),
		TotalTimeout:       Milliseconds(l.HardLimitMs),
		PriorityWeight:     l.Worth,
		LateWeightFraction: l.LateWorth,
		DedupWindow:        Milliseconds(l.WindowMs),
	}
	lane := fmt.Sprintf("lanes[%d]", i)
	if c.Idempotency, err = jsonfile.EnumValue(lane+".semantics", l.Semantics, idempotencyWords); err != nil {
		return c, err
	}
	if c.DedupScope, err = jsonfile.EnumValue(lane+".group", l.Group, dedupScopeWords); err != nil {
		return c, err
	}
	if i < len(f.FamilyInfo.LagAllowedMs) {
		c.MaxStaleness = Milliseconds(f.FamilyInfo.LagAllowedMs[i])
	}
	if i < len(f.FamilyInfo.ClassRead) {
		c.Access, err = jsonfile.EnumValue(fmt.Sprintf("familyInfo.classRead[%d]", i), f.FamilyInfo.ClassRead[i], accessWords)
	}
	return c, err
}

// Milliseconds returns a number of milliseconds as a duration, rounded to microseconds.
func Milliseconds(v float64) time.Duration {
	const maxMicroseconds = float64(1 << 52) // which a float64 still holds exactly
	return time.Duration(math.Round(max(min(v*1000, maxMicroseconds), -maxMicroseconds))) * time.Microsecond
}
