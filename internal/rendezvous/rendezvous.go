// Package rendezvous assigns the servers of a group to the poolers of a fleet, each of which sees little of the whole. It does
// no I/O, holds no state and reads no clock: what it returns follows from its arguments alone, so that poolers that have
// never spoken to each other agree. Its functions may be called from any goroutine.
//
// The assignment is rendezvous hashing (each pooler ranks the servers by a hash of both) with bounded loads (Mirrokni, Thorup
// and Zadimoghaddam, 2018): a server that has its bound of poolers is passed over. Hashing alone gives 75 poolers a server a
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

// BalanceSlack is how far a server's poolers may be off the mean of its group: n servers allow the bound
// 1+BalanceSlack/(n-1), so that n-1 full ones still leave the last one 1-BalanceSlack of the mean.
const BalanceSlack = 0.15

const (
	// assignedPlaces are bounded: the home, and a second choice, which takes what the home has no time for.
	assignedPlaces = 2
	// maxAssignedFleet is the largest fleet whose poolers are assigned one by one. For a larger one that costs more than it
	// evens out, as hashing's own spread falls with the root of the poolers a server.
	maxAssignedFleet = 4096
)

// Order returns in which order pooler me, of a fleet of that many (numbered from 0), prefers the servers of a group, as
// indices into servers: by the assignment its home and its second choice, then the others by its own ranking. Servers are
// named by ids that all poolers have alike, in any order. A number outside of the fleet counts as one within it.
func Order(me, fleet int, servers []uint32) []int {
	fleet = max(fleet, 1)
	me = ((me % fleet) + fleet) % fleet
	order := rankServers(me, servers)
	if len(servers) < 2 || fleet > maxAssignedFleet {
		return order
	}
	assigned := assignUpTo(me, fleet, servers)
	for place := assignedPlaces - 1; place >= 0; place-- {
		at := slices.Index(order, assigned[place])
		order = slices.Insert(slices.Delete(order, at, at+1), 0, assigned[place])
	}
	return order
}

// assignUpTo assigns two servers or more to all poolers up to one, each after those before it, and returns that one's.
func assignUpTo(me, fleet int, servers []uint32) [assignedPlaces]int {
	n := len(servers)
	bound := MaxHomes(fleet, n)
	loads := make([]int, assignedPlaces*n)
	var assigned [assignedPlaces]int
	for pooler := 0; pooler <= me; pooler++ {
		for place := range assignedPlaces {
			assigned[place] = assign(pooler, servers, assigned[:place], loads[place*n:(place+1)*n], bound)
		}
	}
	return assigned
}

// assign gives a pooler the server that it ranks first among those below their bound that it does not have yet, or among all
// of these if all are full, and counts it.
func assign(pooler int, servers []uint32, has, loads []int, bound int) int {
	best, bestIsFull := -1, true
	var bestWeight uint64
	for i, server := range servers {
		if slices.Contains(has, i) {
			continue
		}
		serverWeight, isFull := weight(pooler, server), loads[i] >= bound
		isHigher := serverWeight > bestWeight || serverWeight == bestWeight && best >= 0 && server < servers[best]
		if best < 0 || bestIsFull && !isFull || bestIsFull == isFull && isHigher {
			best, bestWeight, bestIsFull = i, serverWeight, isFull
		}
	}
	loads[best]++
	return best
}

// MaxHomes returns the most poolers of a fleet that have one of n servers as their home.
func MaxHomes(fleet, n int) int {
	if n < 2 {
		return fleet
	}
	mean := float64(fleet) / float64(n)
	least := (fleet + n - 1) / n // all must find a place
	return max(least, int(mean*(1+BalanceSlack/float64(n-1))))
}

// rankServers returns the servers' indices by a pooler's hash, the highest first.
func rankServers(pooler int, servers []uint32) []int {
	ranked := make([]int, len(servers))
	for i := range ranked {
		ranked[i] = i
	}
	slices.SortFunc(ranked, func(a, b int) int {
		return cmp.Or(cmp.Compare(weight(pooler, servers[b]), weight(pooler, servers[a])), cmp.Compare(servers[a], servers[b]))
	})
	return ranked
}

// weight is the hash by which a pooler ranks a server.
func weight(pooler int, server uint32) uint64 {
	var key [12]byte
	binary.LittleEndian.PutUint64(key[:8], uint64(pooler))
	binary.LittleEndian.PutUint32(key[8:], server)
	return xxhash.Sum64(key[:])
}

// NextSlot returns when the first turn at a server begins, after from and up to to, that a pooler takes; 0: none. Turns begin
// every so often by the clock, at the same moments for all poolers; share is the part of them that this one takes.
func NextSlot(me, fleet int, server uint32, every, from, to time.Duration, share float64) time.Duration {
	for turn := from/every + 1; turn <= to/every; turn++ {
		if turnPlace(me, fleet, server, int64(turn)) < share*float64(fleet) {
			return turn * every
		}
	}
	return 0
}

// turnPlace is a pooler's place in its fleet for a turn at a server: one pooler, in the order of their numbers another one
// each turn, has a place in [0, 1), and each other one a place in [1, fleet). So those that take a turn by places below p are
// p of the fleet, evenly spread over turns as over poolers: the multiples of the golden section and of the root of two fill a
// circle more evenly than chance does. A pooler that has a turn by some share has it by all larger ones.
func turnPlace(me, fleet int, server uint32, turn int64) float64 {
	const golden, root = 0x9e3779b97f4a7c15, 0x6a09e667f3bcc909 // their fractions, of 2^64
	n := int64(fleet)
	x := turn + int64(server)*(golden>>40) - int64(me)
	if x%n == 0 {
		return onCircle(uint64(x/n)*golden + uint64(me)*root)
	}
	return 1 + float64(n-1)*onCircle(uint64(x)*golden)
}

// onCircle maps the numbers of 64 bits to [0, 1).
func onCircle(x uint64) float64 { return float64(x>>11) / (1 << 53) }
