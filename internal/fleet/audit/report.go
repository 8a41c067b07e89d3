package audit

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Limits say what counts as a straggler.
type Limits struct {
	// Grace is how long a pooler may act on an older list or configuration after another has applied a newer one.
	Grace time.Duration
}

// Report is what the journals of a fleet say together. Its times are Unix times in ns.
type Report struct {
	Records       []Record        `json:"Records"` // of all journals, by time
	VersionCounts []VersionCounts `json:"Moments"` // whenever they change
	Stragglers    []Straggler     `json:"Stragglers"`
	OldTokens     []OldToken      `json:"OldTokens"`
	Disagreements []Disagreement  `json:"Disagreements"`
}

// OldToken is an act of a leader after another pooler had acted by a newer token.
type OldToken struct {
	Record Record `json:"Record"`
	Newer  Record `json:"Newer"`
}

// Merge puts the records of many journals on one timeline, by the poolers' clocks, and finds what they say together.
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

// findOldTokens finds the announcements by a token that is older than one that had been acted on.
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

// poolerName returns the name of an instance's pooler.
func poolerName(instance string) string {
	name, _, _ := strings.Cut(instance, "/")
	return name
}

// isSamePooler reports whether two instances are processes of one pooler.
func isSamePooler(a, b string) bool { return poolerName(a) == poolerName(b) }
