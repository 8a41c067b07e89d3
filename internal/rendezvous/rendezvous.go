// Package balance deals the servers of a group out to the poolers of a fleet, each of which sees little of the whole. It does
// no I/O, holds no state and reads no clock: what it returns follows from its arguments alone, so that poolers that have
// never spoken to each other agree.
//
// The deal is rendezvous hashing (each pooler ranks the servers by a hash of both) with bounded loads (Mirrokni, Thorup and
// Zadimoghaddam, 2018): a server that has its bound of poolers is passed over. Hashing alone gives 75 poolers a server a
// spread of 23% (two standard deviations); a ring by the pooler's number gives none, but moves nearly all poolers when one
// server comes or goes. With bounds, at most the poolers of the server that left, and those that its leaving pushes on, move.
package rendezvous

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BalanceSlack is how far a server's poolers may be off the mean of its group: of the bound it allows 1+Slack/(n-1) for n servers,
// so that n-1 full ones still leave the last one 1-Slack of the mean.
const BalanceSlack = 0.15

// assignedPlaces are dealt: a home, and a second choice, which are as many poolers' in a jam.
const assignedPlaces = 2

// maxAssignedFleet poolers are dealt one by one; the deal of a larger fleet costs more than it evens out, as hashing's own spread falls
// with the root of the poolers a server.
const maxAssignedFleet = 4096

// Order is how pooler me, of a fleet of that many (numbered from 0), prefers the servers of a group, as indices into servers:
// its home and the one that takes what its home has no time for first, which it has by the deal, then the others by its own
// ranking. Servers are named by ids that all poolers
// have alike, in any order; me outside of the fleet is dealt as a number within it.
func Order(me, fleet int, servers []uint32) []int {
	n := len(servers)
	fleet = max(fleet, 1)
	me = ((me % fleet) + fleet) % fleet
	rank := rankServers(me, servers)
	if n < 2 || fleet > maxAssignedFleet {
		return rank
	}
	bound := Bound(fleet, n)
	loads := make([]int, assignedPlaces*n)
	dealt := [assignedPlaces]int{}
	for i := 0; i <= me; i++ {
		for place := range min(assignedPlaces, n) {
			dealt[place] = assign(i, servers, dealt[:place], loads[place*n:(place+1)*n], bound)
		}
	}
	for place := min(assignedPlaces, n) - 1; place >= 0; place-- {
		at := slices.Index(rank, dealt[place])
		rank = slices.Insert(slices.Delete(rank, at, at+1), 0, dealt[place])
	}
	return rank
}

// assign gives a pooler the server that it ranks first among those with room that it does not have yet, or among all of these
// if none has room, and counts it.
func assign(pooler int, servers []uint32, has, loads []int, bound int) int {
	best, full := -1, true
	var top uint64
	for j, s := range servers {
		if slices.Contains(has, j) {
			continue
		}
		w, over := weight(pooler, s), loads[j] >= bound
		if better := w > top || w == top && best >= 0 && s < servers[best]; best < 0 || full && !over || full == over && better {
			best, top, full = j, w, over
		}
	}
	loads[best]++
	return best
}

// Bound is the most poolers of a fleet that have one of n servers as their home.
func Bound(fleet, n int) int {
	if n < 2 {
		return fleet
	}
	mean := float64(fleet) / float64(n)
	least := (fleet + n - 1) / n // all must find a place
	return max(least, int(mean*(1+BalanceSlack/float64(n-1))))
}

func rankServers(me int, servers []uint32) []int {
	out := make([]int, len(servers))
	for i := range out {
		out[i] = i
	}
	slices.SortFunc(out, func(a, b int) int {
		return cmp.Or(cmp.Compare(weight(me, servers[b]), weight(me, servers[a])), cmp.Compare(servers[a], servers[b]))
	})
	return out
}

// weight is the hash by which a pooler ranks a server.
func weight(pooler int, server uint32) uint64 {
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(pooler))
	binary.LittleEndian.PutUint32(b[8:], server)
	return xxhash.Sum64(b[:])
}

// NextTurn finds when the first turn at a server begins, after from and up to to, that a pooler takes, or 0. Turns begin every so
// often by the clock, at the same moments for all poolers; share is the part of them that this one takes.
func NextTurn(me, fleet int, server uint32, every, from, to time.Duration, share float64) time.Duration {
	for n := from/every + 1; n <= to/every; n++ {
		if turnPlace(me, fleet, server, int64(n)) < share*float64(fleet) {
			return n * every
		}
	}
	return 0
}

// turnPlace is how a pooler stands among its fleet for a turn at a server: one pooler, in the order of their numbers another one each
// turn, has a place in [0, 1), and each other one a place in [1, fleet). So those that take a turn by places below p are p of the
// fleet, evenly spread over turns as over poolers: the multiples of the golden section and of the root of two fill a circle more
// evenly than chance does. A pooler that has a turn by some share has it by all larger ones.
func turnPlace(me, fleet int, server uint32, turn int64) float64 {
	const golden, root = 0x9e3779b97f4a7c15, 0x6a09e667f3bcc909 // their fractions, of 2^64
	circle := func(x uint64) float64 { return float64(x>>11) / (1 << 53) }
	n, x := int64(fleet), turn+int64(server)*(golden>>40)-int64(me)
	if x%n == 0 {
		return circle(uint64(x/n)*golden + uint64(me)*root)
	}
	return 1 + float64(n-1)*circle(uint64(x)*golden)
}
