package distribution

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders distributors by a pooler's preference: those of its own region first, and within a region by rendezvous hashing, so that
// poolers spread evenly, all that know the same distributors agree, and the poolers of a lost distributor spread over all others.
// Loads are bounded where the poolers call: see streamLimit.
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

// deprioritize moves the distributors that are to be avoided behind all others, and keeps the order otherwise.
func deprioritize(ranked []Endpoint, avoided func(Endpoint) bool) []Endpoint {
	order := make([]Endpoint, 0, len(ranked))
	var last []Endpoint
	for _, endpoint := range ranked {
		if avoided(endpoint) {
			last = append(last, endpoint)
		} else {
			order = append(order, endpoint)
		}
	}
	return append(order, last...)
}
