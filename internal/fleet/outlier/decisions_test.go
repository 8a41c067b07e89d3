package outlier

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Where all observers agree, a dozen reports suffice. Where a minority complains, all of it reports, and of the majority up to twice the
// minority's weight.
func TestSufficientReports(t *testing.T) {
	for _, c := range []struct {
		finding              Finding
		complaint, satisfied bool // whether each side is sufficiently reported
	}{
		{Finding{Complainers: 12, complaintWeight: 70}, true, false},
		{Finding{Complainers: 11, complaintWeight: 70}, false, false},
		{Finding{Complainers: 12, complaintWeight: 70, Satisfied: 8, satisfiedWeight: 40}, false, false},
		{Finding{Complainers: 4, complaintWeight: 20, Satisfied: 12, satisfiedWeight: 40}, false, true},
		{Finding{Complainers: 40, complaintWeight: 200, Satisfied: 60, satisfiedWeight: 300}, false, false},
	} {
		complaint, satisfied := testSettings.sufficientlyReported(c.finding, true), testSettings.sufficientlyReported(c.finding, false)
		if complaint != c.complaint || satisfied != c.satisfied {
			t.Errorf("%v: got %v and %v, want %v and %v", c.finding, complaint, satisfied, c.complaint, c.satisfied)
		}
	}
}

// At most the share MaxEjectedShare of a group's members is ejected, never the last member, and the selection does not depend on the order
// of the members.
func TestSelectEjected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := testSettings
		settings.MaxEjectedShare = rapid.Float64Range(0, 1).Draw(t, "share")
		members := rapid.SliceOfN(rapid.StringMatching("[a-f]"), 0, 8).Draw(t, "members")
		bad := map[string]bool{}
		for _, member := range members {
			bad[member] = rapid.Bool().Draw(t, "bad")
		}
		isBad := func(member string) bool { return bad[member] }
		ejected := settings.selectEjected(members, isBad)
		n := len(slices.Compact(slices.Sorted(slices.Values(members))))
		if n > 0 && len(ejected) >= n || float64(len(ejected)) > settings.MaxEjectedShare*float64(n) {
			t.Fatalf("got %d of %d ejected, with a share of %v", len(ejected), n, settings.MaxEjectedShare)
		}
		if other := settings.selectEjected(rapid.Permutation(members).Draw(t, "order"), isBad); !slices.Equal(ejected, other) {
			t.Fatalf("got %v and, in another order, %v", ejected, other)
		}
		for _, member := range ejected {
			if !bad[member] {
				t.Fatalf("%s is ejected without an ejection", member)
			}
		}
	})
}
