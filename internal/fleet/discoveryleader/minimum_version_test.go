package discoveryleader

import "testing"

func TestMinimumVersion(t *testing.T) {
	for _, test := range []struct {
		minimum        MinimumVersion
		build          string
		configRevision uint64
		want           bool
	}{
		{MinimumVersion{}, "(devel)", 0, false},
		{MinimumVersion{Build: "v1.4.0"}, "v1.4.0", 0, false},
		{MinimumVersion{Build: "v1.4.0"}, "v1.10.0", 0, false},
		{MinimumVersion{Build: "v1.4.0"}, "v1.4.0-rc.1", 9, true},
		{MinimumVersion{Build: "v1.4.0"}, "(devel)", 9, true},
		{MinimumVersion{ConfigRevision: 7}, "v1.4.0", 6, true},
		{MinimumVersion{ConfigRevision: 7}, "v1.4.0", 7, false},
		{MinimumVersion{Build: "v1.4.0", ConfigRevision: 7}, "v1.3.0", 8, true},
	} {
		if got := test.minimum.Excludes(test.build, test.configRevision); got != test.want {
			t.Errorf("%+v.Excludes(%s, %d): got %v, want %v", test.minimum, test.build, test.configRevision, got, test.want)
		}
	}
}
