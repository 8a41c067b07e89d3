// Package keyrange is a map of keys to clusters by ranges: what a whole map is, which cluster a key's is, and how a range gets
// another. It decides nothing about time, and does no I/O.
package keyrange

import (
	"fmt"
	"slices"
	"strings"
)

// Range is the keys from From up to, but not with, To, compared byte by byte; To "" is the end of all keys.
type Range struct {
	From    string `json:"from"`
	To      string `json:"to"`
	Cluster int    `json:"cluster"`
}

// Holds tells whether a key is in the range.
func (r Range) Holds(key string) bool { return key >= r.From && (r.To == "" || key < r.To) }

// Overlaps tells whether two ranges have a key in common.
func (r Range) Overlaps(o Range) bool {
	return (o.To == "" || r.From < o.To) && (r.To == "" || o.From < r.To)
}

func (r Range) String() string { return fmt.Sprintf("%q to %q", r.From, r.To) }

// Check tells what is wrong with the ranges of a whole map, and at which of them: they must be in order, hold every key once, and
// go to known clusters.
func Check(ranges []Range, known func(cluster int) bool) (at int, err error) {
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

// Home is the cluster of a key by a whole map; ok: there is one.
func Home(ranges []Range, key string) (cluster int, ok bool) {
	if len(ranges) == 0 {
		return 0, false
	}
	behind, _ := slices.BinarySearchFunc(ranges, key, func(r Range, key string) int { // the first that begins behind the key
		if r.From <= key {
			return -1
		}
		return 1
	})
	return ranges[behind-1].Cluster, true
}

// Place puts a range with its cluster over what the map says of its keys.
func Place(ranges []Range, r Range) []Range {
	var out []Range
	for _, old := range ranges {
		if !old.Overlaps(r) {
			out = append(out, old)
			continue
		}
		if old.From < r.From {
			out = append(out, Range{old.From, r.From, old.Cluster})
		}
		if r.To != "" && (old.To == "" || r.To < old.To) {
			out = append(out, Range{r.To, old.To, old.Cluster})
		}
	}
	out = append(out, r)
	slices.SortFunc(out, func(a, b Range) int { return strings.Compare(a.From, b.From) })
	return out
}
