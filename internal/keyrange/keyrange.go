// Package keyrange assigns keys to clusters by ranges. A map is a slice of ranges that is sorted by key. The package checks that a map
// is complete, finds the cluster of a key, and assigns a range to another cluster. It does no I/O.
package keyrange

import (
	"fmt"
	"slices"
	"strings"
)

// Range is a half-open range of keys with the cluster that it is assigned to. Keys are compared byte by byte.
type Range struct {
	From    string `json:"from"` // first key
	To      string `json:"to"`   // first key after the range; empty: the range has no upper bound
	Cluster int    `json:"cluster"`
}

// Contains reports whether a key is in the range.
func (r Range) Contains(key string) bool { return key >= r.From && (r.To == "" || key < r.To) }

// Overlaps reports whether two ranges have a key in common.
func (r Range) Overlaps(other Range) bool {
	return (other.To == "" || r.From < other.To) && (r.To == "" || other.From < r.To)
}

// String returns the bounds of the range, without its cluster.
func (r Range) String() string { return fmt.Sprintf("%q to %q", r.From, r.To) }

// Check returns an error if a map is invalid, and the index of the range that the error concerns. The ranges must be sorted, must contain
// each key exactly once, and must be assigned to known clusters.
func Check(ranges []Range, isKnown func(cluster int) bool) (index int, err error) {
	expectedFrom := ""
	for i, r := range ranges {
		switch {
		case i > 0 && expectedFrom == "":
			return i, fmt.Errorf("overlap: the range before %v has no upper bound", r)
		case r.From > expectedFrom:
			return i, fmt.Errorf("gap: no range contains the keys from %q to %q", expectedFrom, r.From)
		case r.From < expectedFrom:
			return i, fmt.Errorf("overlap: the keys from %q are also in the previous range", r.From)
		case r.To != "" && r.To <= r.From:
			return i, fmt.Errorf("%v: the range is empty, as its end is not after its start", r)
		case !isKnown(r.Cluster):
			return i, fmt.Errorf("%v: cluster %d is not known", r, r.Cluster)
		}
		expectedFrom = r.To
	}
	if len(ranges) == 0 || expectedFrom != "" {
		return max(len(ranges)-1, 0), fmt.Errorf("gap: no range contains the keys from %q to the end", expectedFrom)
	}
	return 0, nil
}

// ClusterOf returns the cluster of a key. ok is false if the map is empty; any other map must be complete, as Check requires.
func ClusterOf(ranges []Range, key string) (cluster int, ok bool) {
	if len(ranges) == 0 {
		return 0, false
	}
	next, _ := slices.BinarySearchFunc(ranges, key, func(r Range, key string) int { // the first range that starts after the key
		if r.From <= key {
			return -1
		}
		return 1
	})
	return ranges[next-1].Cluster, true
}

// Assign returns a map in which the keys of a range belong to the range's cluster. The assignment of all other keys is unchanged.
func Assign(ranges []Range, assigned Range) []Range {
	var result []Range
	for _, existing := range ranges {
		if !existing.Overlaps(assigned) {
			result = append(result, existing)
			continue
		}
		if existing.From < assigned.From {
			result = append(result, Range{existing.From, assigned.From, existing.Cluster})
		}
		if assigned.To != "" && (existing.To == "" || assigned.To < existing.To) {
			result = append(result, Range{assigned.To, existing.To, existing.Cluster})
		}
	}
	result = append(result, assigned)
	slices.SortFunc(result, func(a, b Range) int { return strings.Compare(a.From, b.From) })
	return result
}
