package audit

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Limits are the thresholds of a report.
type Limits struct {
	// Grace is the time for which a pooler may act on an older list or configuration after another pooler has applied a newer one.
	Grace time.Duration
}

// Report is the result of merging the journals of a fleet. Its times are Unix times in ns.
type Report struct {
	Records       []Record        `json:"Records"` // records of all journals, sorted by time
	VersionCounts []VersionCounts `json:"Moments"` // one entry for each change
	Stragglers    []Straggler     `json:"Stragglers"`
	OldTokens     []OldToken      `json:"OldTokens"`
	Disagreements []Disagreement  `json:"Disagreements"`
}

// OldToken is an act that a leader carried out after another pooler had acted with a newer token.
type OldToken struct {
	Record Record `json:"Record"` // act with the old token
	Newer  Record `json:"Newer"`  // earlier act with a newer token
}

// Merge sorts the records of many journals by time, as given by the poolers' clocks, and returns a report on them. It leaves the slice
// records unchanged.
func Merge(records []Record, limits Limits) Report {
	merged := slices.Clone(records)
	slices.SortStableFunc(merged, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.At, b.At), strings.Compare(a.Instance, b.Instance))
	})
	return Report{
		Records:       merged,
		VersionCounts: countVersions(merged),
		Stragglers:    findStragglers(merged, limits.Grace),
		OldTokens:     findOldTokens(merged),
		Disagreements: findDisagreements(merged),
	}
}

// findOldTokens returns the list announcements whose token is older than one that has already been used.
func findOldTokens(records []Record) []OldToken {
	var found []OldToken
	var newest Record
	for _, r := range records {
		switch {
		case r.Act != ListAnnounced && r.Act != LeaseHeld:
		case r.Act == ListAnnounced && r.Token < newest.Token:
			found = append(found, OldToken{Record: r, Newer: newest})
		case r.Token > newest.Token:
			newest = r
		}
	}
	return found
}

// poolerName returns the pooler's name in the name of an instance.
func poolerName(instance string) string {
	name, _, _ := strings.Cut(instance, "/")
	return name
}

// isSamePooler reports whether two instances are processes of one pooler.
func isSamePooler(a, b string) bool { return poolerName(a) == poolerName(b) }
