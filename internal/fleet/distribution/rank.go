package distribution

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the distributors in a pooler's order of preference: those of its own region first, and within a region by rendezvous
// hashing. Poolers thus spread evenly, all processes that know the same distributors compute the same order, and the poolers of a lost
// distributor spread over all others. The distributors bound their loads themselves (streamLimit).
func Rank(pooler, region string, distributors []Endpoint) []Endpoint {
	distance := func(e Endpoint) int {
		if e.Region == region {
			return 0
		}
		return 1
	}
	weight := func(e Endpoint) uint64 { return xxhash.Sum64String(pooler + "\x00" + e.Name) }
	ranked := slices.Clone(distributors)
	slices.SortStableFunc(ranked, func(a, b Endpoint) int {
		return cmp.Or(cmp.Compare(distance(a), distance(b)), cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Name, b.Name))
	})
	return ranked
}

// deprioritize returns the distributors with the avoided ones moved to the end. The order is stable otherwise.
func deprioritize(ranked []Endpoint, avoided func(Endpoint) bool) []Endpoint {
	order := make([]Endpoint, 0, len(ranked))
	var deprioritized []Endpoint
	for _, endpoint := range ranked {
		if avoided(endpoint) {
			deprioritized = append(deprioritized, endpoint)
		} else {
			order = append(order, endpoint)
		}
	}
	return append(order, deprioritized...)
}
