package outlier

import "slices"

// shouldEject reports whether the evidence is enough to eject a server, or to renew its ejection: enough observers in enough zones complain,
// the median observer, by weight, among them, and the server is by far worse than the others. Fewer liars or bad links than MinObservers
// are never enough; more of them are not while observers with good answers outweigh them.
func (s Settings) shouldEject(f Finding, renew bool) bool {
	enoughObservers := f.Complainers >= s.MinObservers && f.Zones >= s.MinZones
	return enoughObservers && f.complaintWeight > f.satisfiedWeight && s.failureRateExceeded(f, renew)
}

// failureRateExceeded reports whether a server's attempts, of all observers that count, are enough, and bad enough beside those elsewhere.
// Where half of what is elsewhere is bad no server is ejected, as that would help nobody.
func (s Settings) failureRateExceeded(f Finding, renew bool) bool {
	bad := float64(f.Failed) + float64(f.Slow)
	needed := minFailuresPerObserver * s.MinObservers
	if renew {
		needed = s.MinObservers
	}
	if f.Elsewhere >= failureThreshold || bad < float64(needed) {
		return false
	}
	failureRate := bad / (bad + float64(f.Good))
	return failureRate-f.Elsewhere >= failureThreshold*(1-f.Elsewhere)
}

// shouldClear reports whether the evidence ends an ejection: good answers of several observers outweigh the complaints.
func (s Settings) shouldClear(f Finding) bool {
	return f.Satisfied >= minClearingObservers && f.satisfiedWeight > f.complaintWeight
}

// sufficientlyReported reports whether a side of a server's case needs no more reports: enough observers are on it, and outweigh the other
// side twice. So a fleet of hundreds is content with a dozen reports where it agrees; where it does not, all of the smaller side and
// twice its weight of the other report, and the decision does not change. An observer that falls silent counts for its report's
// lifetime, and another takes its turn then.
func (s Settings) sufficientlyReported(f Finding, complaint bool) bool {
	enough := sufficientReports * s.MinObservers
	if complaint {
		return f.Complainers >= enough && f.complaintWeight >= 2*f.satisfiedWeight
	}
	return f.Satisfied >= enough && f.satisfiedWeight >= 2*f.complaintWeight
}

// shouldReportPrimaryDown reports whether enough observers in enough zones have lost a server as their group's primary.
func (s Settings) shouldReportPrimaryDown(f Finding) bool {
	return f.LostPrimary >= s.MinObservers && f.LostPrimaryZones >= s.MinZones
}

// maxEjected returns how many of a group's members may be ejected at once: never the last one.
func (s Settings) maxEjected(members int) int {
	return max(min(int(s.MaxEjectedShare*float64(members)), members-1), 0)
}

// selectEjected returns which of a group's members are ejected: of those for which there is an ejection the first by name, as many as are
// allowed, so that all poolers with the same findings select the same ones.
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
