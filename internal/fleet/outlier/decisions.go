package outlier

import "slices"

// shouldEject reports whether the evidence suffices to eject a server, or to renew its ejection: at least MinObservers observers in
// MinZones zones complain, complaints outweigh satisfied observers, and the server's failure rate far exceeds that of the other servers.
// Fewer than MinObservers observers with false reports or bad links can never eject a server; more of them cannot while observers with
// good answers outweigh them.
func (s Settings) shouldEject(f Finding, renew bool) bool {
	enoughObservers := f.Complainers >= s.MinObservers && f.Zones >= s.MinZones
	return enoughObservers && f.complaintWeight > f.satisfiedWeight && s.failureRateExceeded(f, renew)
}

// failureRateExceeded reports whether enough attempts at a server failed or were slow, and its failure rate exceeds the rate elsewhere by
// failureThreshold of what remains up to 1. It is false while the rate elsewhere reaches failureThreshold, as an ejection would only move
// the requests to servers that fail too.
func (s Settings) failureRateExceeded(f Finding, renew bool) bool {
	failedOrSlow := float64(f.Failed) + float64(f.Slow)
	needed := minFailuresPerObserver * s.MinObservers
	if renew {
		needed = s.MinObservers
	}
	if f.FailureRateElsewhere >= failureThreshold || failedOrSlow < float64(needed) {
		return false
	}
	failureRate := failedOrSlow / (failedOrSlow + float64(f.Good))
	return failureRate-f.FailureRateElsewhere >= failureThreshold*(1-f.FailureRateElsewhere)
}

// shouldClear reports whether the evidence ends an ejection early: at least minClearingObservers observers are satisfied, and they
// outweigh the complaints.
func (s Settings) shouldClear(f Finding) bool {
	return f.Satisfied >= minClearingObservers && f.satisfiedWeight > f.complaintWeight
}

// sufficientlyReported reports whether further complaints about a server, or further observations without a complaint, can be suppressed:
// enough observers have reported on that side, with at least twice the weight of the other side. A fleet of hundreds that agrees thus
// sends about a dozen reports. Where observers disagree, the whole minority reports, and the majority up to twice the minority's weight,
// which leads to the same decision. An observer that stops reporting counts until its report expires, and another observer reports then.
func (s Settings) sufficientlyReported(f Finding, complaint bool) bool {
	enough := sufficientReports * s.MinObservers
	if complaint {
		return f.Complainers >= enough && f.complaintWeight >= 2*f.satisfiedWeight
	}
	return f.Satisfied >= enough && f.satisfiedWeight >= 2*f.complaintWeight
}

// shouldReportPrimaryDown reports whether at least MinObservers observers in MinZones zones have lost a server as the primary of its group.
func (s Settings) shouldReportPrimaryDown(f Finding) bool {
	return f.LostPrimary >= s.MinObservers && f.LostPrimaryZones >= s.MinZones
}

// maxEjected returns the maximum number of a group's members that may be ejected at once. At least one member always remains.
func (s Settings) maxEjected(members int) int {
	return max(min(int(s.MaxEjectedShare*float64(members)), members-1), 0)
}

// selectEjected returns the members of a group that are ejected: of those that isEjected reports, the first maxEjected in order of name.
// Poolers with the same findings therefore select the same members.
func (s Settings) selectEjected(members []string, isEjected func(string) bool) (selected []string) {
	members = slices.Clone(members)
	slices.Sort(members)
	members = slices.Compact(members)
	limit := s.maxEjected(len(members))
	for _, member := range members {
		if isEjected(member) && len(selected) < limit {
			selected = append(selected, member)
		}
	}
	return selected
}
