package main

import (
	"fmt"

	"threadsail/internal/wire"
	"threadsail/rules"
)

// settings puts the wire's facts into the module's words.
func settings(f *wire.Facts) (rules.Settings, error) {
	s := rules.Settings{
		Balancers: f.Balancers, Zone: f.Zone, Asks: f.Discovery == "ask", Tick: fromMs(f.TickMs),
		BehindWait: fromMs(f.FamilyInfo.WaitMs), BaseTime: fromMs(f.FamilyInfo.BaseTimeMs),
		Remembered: f.FamilyInfo.Tokens == "kept",
		MayProbe:   f.Caps.Probing, MayCancel: f.Caps.MayCancel, SecondCopies: f.Caps.SecondCopies,
		RetryAfter: f.Caps.RetryAfter, MaxAttempts: f.Caps.MaxAttempts,
		MaxRetryAfter: fromMs(f.Caps.MaxRetryAfterMs),
		MustAsk:       fromMs(f.Contract.MustAskInMs), DrainOnly: f.Contract.OnlyDrainingBinds,
		DrainGrace: fromMs(f.Contract.DrainGraceMs), ColdFrom: f.Contract.ColdFrom,
		ColdFor:      fromMs(f.Contract.ColdMs),
		ColdMultiple: f.Contract.OverloadFactor, ColdSpan: fromMs(f.Contract.OverloadForMs),
	}
	switch f.FamilyInfo.Behind {
	case "", "none":
	case "bounce":
		s.Behind = rules.BehindRefuses
	case "await":
		s.Behind = rules.BehindWaits
	default:
		return s, fmt.Errorf("settings: familyInfo.behind: unknown word %q", f.FamilyInfo.Behind)
	}
	if f.Report.How != "none" {
		for _, name := range f.Report.Fields {
			s.RoleReported = s.RoleReported || name == "x1"
		}
	}
	for i, l := range f.Lanes {
		c, err := class(f, i, l)
		if err != nil {
			return s, fmt.Errorf("settings: lanes[%d]: %w", i, err)
		}
		s.Classes = append(s.Classes, c)
	}
	return s, nil
}

func class(f *wire.Facts, i int, l wire.Lane) (rules.Class, error) {
	c := rules.Class{Name: l.Name, Aim: fromMs(l.AimMs), Deadline: fromMs(l.HardLimitMs), Worth: l.Worth,
		LateWorth: l.LateWorth, Window: fromMs(l.WindowMs)}
	switch l.Semantics {
	case "free":
		c.Effect = rules.Safe
	case "guarded":
		c.Effect = rules.Keyed
	case "single_shot":
		c.Effect = rules.Unsafe
	default:
		return c, fmt.Errorf("semantics: unknown word %q", l.Semantics)
	}
	switch l.Group {
	case "all":
		c.Scope = rules.ScopeAll
	case "zone":
		c.Scope = rules.ScopeZone
	case "", "cell":
		c.Scope = rules.ScopeGroup
	default:
		return c, fmt.Errorf("group: unknown word %q", l.Group)
	}
	if i < len(f.FamilyInfo.LagAllowedMs) {
		c.Bound = fromMs(f.FamilyInfo.LagAllowedMs[i])
	}
	if i < len(f.FamilyInfo.ClassRead) {
		switch w := f.FamilyInfo.ClassRead[i]; w {
		case "eventual":
			c.Need = rules.NeedAny
		case "lag_bound":
			c.Need = rules.NeedBounded
		case "causal":
			c.Need = rules.NeedSession
		case "strong":
			c.Need = rules.NeedFresh
		case "mutate":
			c.Need = rules.NeedWrite
		default:
			return c, fmt.Errorf("familyInfo.classRead: unknown word %q", w)
		}
	}
	return c, nil
}
