package distribution

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank is how a pooler prefers distributors: those of its own region first, within a region by rendezvous hashing, so that poolers
// spread evenly, that all which know the same distributors agree, and that those of a distributor which is lost spread over all
// the others. Loads are bounded where the poolers arrive: see room.
func Rank(pooler, region string, all []Endpoint) []Endpoint {
	out := slices.Clone(all)
	weight := func(p Endpoint) uint64 { return xxhash.Sum64String(pooler + "\x00" + p.Name) }
	far := func(p Endpoint) int {
		if p.Region == region {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(out, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// deprioritize moves those that were lost lately behind all others, in their order.
func deprioritize(ranked []Endpoint, lately func(Endpoint) bool) []Endpoint {
	out := slices.Clone(ranked)
	slices.SortStableFunc(out, func(a, b Endpoint) int {
		x, y := lately(a), lately(b)
		switch {
		case x == y:
			return 0
		case y:
			return -1
		}
		return 1
	})
	return out
}
