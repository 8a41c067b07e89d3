package keyrange

import (
	"strings"
	"testing"
)

func TestCheck(t *testing.T) {
	isKnown := func(cluster int) bool { return cluster < 2 }
	for _, test := range []struct {
		ranges    []Range
		wantIndex int
		wantError string // part of the error; "": no error
	}{
		{[]Range{{"", "", 0}}, 0, ""},
		{[]Range{{"", "m", 0}, {"m", "", 1}}, 0, ""},
		{nil, 0, "gap"},
		{[]Range{{"a", "", 0}}, 0, "gap"},
		{[]Range{{"", "m", 0}, {"n", "", 1}}, 1, "gap"},
		{[]Range{{"", "m", 0}}, 0, "gap"},
		{[]Range{{"", "m", 0}, {"l", "", 1}}, 1, "overlap"},
		{[]Range{{"", "", 0}, {"l", "", 1}}, 1, "overlap"},
		{[]Range{{"", "m", 0}, {"m", "m", 1}, {"m", "", 1}}, 1, "range is empty"},
		{[]Range{{"", "m", 0}, {"m", "", 2}}, 1, "cluster 2"},
	} {
		index, err := Check(test.ranges, isKnown)
		if index != test.wantIndex || (err == nil) != (test.wantError == "") || err != nil && !strings.Contains(err.Error(), test.wantError) {
			t.Errorf("Check(%v) = %d, %v, want index %d and an error that contains %q", test.ranges, index, err, test.wantIndex, test.wantError)
		}
	}
}
