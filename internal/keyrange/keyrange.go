// Package keyrange maps keys to clusters by ranges. It checks that a map is complete, finds a key's cluster, and assigns a range to
// another cluster. It does no I/O, and knows nothing of when a map holds.
package keyrange

import (
	"fmt"
	"slices"
	"strings"
)

// Range is the keys from From to To, From included and To not, compared byte by byte. An empty To is the end of all keys.
type Range struct {
	From    string `json:"from"`
	To      string `json:"to"`
	Cluster int    `json:"cluster"`
}

// Contains tells whether a key is in the range.
func (r Range) Contains(key string) bool { return key >= r.From && (r.To == "" || key < r.To) }

// Overlaps tells whether two ranges have a key in common.
func (r Range) Overlaps(o Range) bool {
	return (o.To == "" || r.From < o.To) && (r.To == "" || o.From < r.To)
}

func (r Range) String() string { return fmt.Sprintf("%q to %q", r.From, r.To) }

// Check returns what is wrong with a map, and the index of the range at which it is wrong. The ranges must be in order, hold every key
// once, and belong to clusters that are known.
func Check(ranges []Range, known func(cluster int) bool) (index int, err error) {
	next := ""
	for i, r := range ranges {
		switch {
		case i > 0 && next == "":
			return i, fmt.Errorf("overlap: the range before %v has no end", r)
		case r.From > next:
			return i, fmt.Errorf("gap: no range holds the keys from %q to %q", next, r.From)
		case r.From < next:
			return i, fmt.Errorf("overlap: the keys from %q are in the range before too", r.From)
		case r.To != "" && r.To <= r.From:
			return i, fmt.Errorf("%v: it holds no key", r)
		case !known(r.Cluster):
			return i, fmt.Errorf("%v: cluster %d is not known", r, r.Cluster)
		}
		next = r.To
	}
	if len(ranges) == 0 || next != "" {
		return max(len(ranges)-1, 0), fmt.Errorf("gap: no range holds the keys from %q on", next)
	}
	return 0, nil
}

// ClusterOf returns the cluster of a key. ok is false if the map is empty; else the map must be complete.
func ClusterOf(ranges []Range, key string) (cluster int, ok bool) {
	if len(ranges) == 0 {
		return 0, false
	}
	after, _ := slices.BinarySearchFunc(ranges, key, func(r Range, key string) int { // the first range that begins after the key
		if r.From <= key {
			return -1
		}
		return 1
	})
	return ranges[after-1].Cluster, true
}

// Assign returns a map with all keys of a range at the range's cluster, and all others as they were.
func Assign(ranges []Range, r Range) []Range {
	var result []Range
	for _, old := range ranges {
		if !old.Overlaps(r) {
			result = append(result, old)
			continue
		}
		if old.From < r.From {
			result = append(result, Range{old.From, r.From, old.Cluster})
		}
		if r.To != "" && (old.To == "" || r.To < old.To) {
			result = append(result, Range{r.To, old.To, old.Cluster})
		}
	}
	result = append(result, r)
	slices.SortFunc(result, func(a, b Range) int { return strings.Compare(a.From, b.From) })
	return result
}
