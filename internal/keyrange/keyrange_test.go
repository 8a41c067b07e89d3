package keyrange

import (
	"strings"
	"testing"
)

func TestCheck(t *testing.T) {
	known := func(c int) bool { return c < 2 }
	for _, c := range []struct {
		ranges []Range
		at     int
		want   string
	}{
		{[]Range{{"", "", 0}}, 0, ""},
		{[]Range{{"", "m", 0}, {"m", "", 1}}, 0, ""},
		{nil, 0, "gap"},
		{[]Range{{"a", "", 0}}, 0, "gap"},
		{[]Range{{"", "m", 0}, {"n", "", 1}}, 1, "gap"},
		{[]Range{{"", "m", 0}}, 0, "gap"},
		{[]Range{{"", "m", 0}, {"l", "", 1}}, 1, "overlap"},
		{[]Range{{"", "", 0}, {"l", "", 1}}, 1, "overlap"},
		{[]Range{{"", "m", 0}, {"m", "m", 1}, {"m", "", 1}}, 1, "no key"},
		{[]Range{{"", "m", 0}, {"m", "", 2}}, 1, "cluster 2"},
	} {
		at, err := Check(c.ranges, known)
		if at != c.at || (err == nil) != (c.want == "") || err != nil && !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: %d, %v, want %d, %q", c.ranges, at, err, c.at, c.want)
		}
	}
}
