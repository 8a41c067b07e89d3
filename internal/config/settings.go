package config

import (
	"fmt"
	"math"
	"slices"
	"time"

	"threadsail/internal/policy"
)

// Settings puts the facts into the module's words, for the pooler and for the simulator's adapter.
func Settings(f *Facts) (policy.Settings, error) {
	s := policy.Settings{
		Poolers: f.Balancers, PoolerIndex: f.Me, Zone: f.Zone, PollList: f.Discovery == "ask", EventInterval: Milliseconds(f.TickMs),
		StaleReadWait: Milliseconds(f.FamilyInfo.WaitMs), PositionEpoch: Milliseconds(f.FamilyInfo.BaseTimeMs),
		TrackSessions: f.FamilyInfo.Tokens == "kept",
		ProbesAllowed: f.Caps.Probing, CancelAllowed: f.Caps.MayCancel, HedgingAllowed: f.Caps.SecondCopies,
		RetryAfterSupported: f.Caps.RetryAfter, MaxAttempts: f.Caps.MaxAttempts,
		MaxRetryAfter:   Milliseconds(f.Caps.MaxRetryAfterMs),
		MaxPollInterval: Milliseconds(f.Contract.MustAskInMs), IgnoreRemoval: f.Contract.OnlyDrainingBinds,
		DrainGracePeriod: Milliseconds(f.Contract.DrainGraceMs), SlowStartCapacity: f.Contract.ColdFrom,
		SlowStartDuration: Milliseconds(f.Contract.ColdMs),
		OverloadFactor:    f.Contract.OverloadFactor, OverloadInterval: Milliseconds(f.Contract.OverloadForMs),
	}
	switch f.FamilyInfo.Behind {
	case "", "none":
	case "bounce":
		s.StaleReads = policy.StaleReadRejected
	case "await":
		s.StaleReads = policy.StaleReadWaits
	default:
		return s, fmt.Errorf("settings.familyInfo.behind: unknown word %q", f.FamilyInfo.Behind)
	}
	for _, w := range []struct {
		key, word string
		known     []string
	}{{"discovery", f.Discovery, []string{"", "ask", "push"}}, {"report.how", f.Report.How, []string{"", "none", "probe", "answers"}},
		{"familyInfo.tokens", f.FamilyInfo.Tokens, []string{"", "brought", "kept"}}} {
		if !slices.Contains(w.known, w.word) { // taken for another it would bring that one's rules
			return s, fmt.Errorf("settings.%s: unknown word %q", w.key, w.word)
		}
	}
	if f.Report.How != "none" {
		for _, name := range f.Report.Fields {
			s.RolesReported = s.RolesReported || name == "x1"
		}
	}
	for i, l := range f.Lanes {
		c, err := class(f, i, l)
		if err != nil {
			return s, fmt.Errorf("settings.%w", err)
		}
		s.Classes = append(s.Classes, c)
	}
	return s, nil
}

func class(f *Facts, i int, l Lane) (policy.Class, error) {
	c := policy.Class{Name: l.Name, LatencyObjective: Milliseconds(l.AimMs), TotalTimeout: Milliseconds(l.HardLimitMs), PriorityWeight: l.Worth,
		LateWeightFraction: l.LateWorth, DedupWindow: Milliseconds(l.WindowMs)}
	switch l.Semantics {
	case "free":
		c.Idempotency = policy.Idempotent
	case "guarded":
		c.Idempotency = policy.IdempotentByKey
	case "single_shot":
		c.Idempotency = policy.NotIdempotent
	default:
		return c, fmt.Errorf("lanes[%d].semantics: unknown word %q", i, l.Semantics)
	}
	switch l.Group {
	case "all":
		c.DedupScope = policy.DedupEverywhere
	case "zone":
		c.DedupScope = policy.DedupInZone
	case "", "cell":
		c.DedupScope = policy.DedupInGroup
	default:
		return c, fmt.Errorf("lanes[%d].group: unknown word %q", i, l.Group)
	}
	if i < len(f.FamilyInfo.LagAllowedMs) {
		c.MaxStaleness = Milliseconds(f.FamilyInfo.LagAllowedMs[i])
	}
	if i < len(f.FamilyInfo.ClassRead) {
		switch w := f.FamilyInfo.ClassRead[i]; w {
		case "eventual":
			c.Access = policy.ReadAny
		case "lag_bound":
			c.Access = policy.ReadBounded
		case "causal":
			c.Access = policy.ReadSession
		case "strong":
			c.Access = policy.ReadLatest
		case "mutate":
			c.Access = policy.Write
		default:
			return c, fmt.Errorf("familyInfo.classRead[%d]: unknown word %q", i, w)
		}
	}
	return c, nil
}

// Milliseconds turns milliseconds, which count microseconds, into a duration.
func Milliseconds(v float64) time.Duration {
	const most = float64(1 << 52)
	return time.Duration(math.Round(max(min(v*1000, most), -most))) * time.Microsecond
}
