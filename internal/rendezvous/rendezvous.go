// Package rendezvous assigns the servers of a group to the poolers of a fleet. It does no I/O, holds no state and reads no
// clock: its results depend only on the arguments, so that the poolers agree on the assignment without communicating. Its
// functions are safe for concurrent use.
//
// The assignment uses rendezvous hashing (each pooler ranks the servers by a hash of the pooler and the server) with bounded
// loads (Mirrokni, Thorup and Zadimoghaddam, 2018): a server that has reached its maximum number of poolers is skipped. With
// 75 poolers per server, hashing alone gives a spread of 23% (two standard deviations). Assigning poolers to servers in a ring
// by pooler number gives no spread but moves nearly all poolers when a server is added or removed. With bounded loads, only
// the poolers of a removed server move, and those that they displace from other servers.
package rendezvous

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BalanceSlack is the maximum relative deviation of a server's number of poolers from the mean of its group. With n servers
// the bound is 1+BalanceSlack/(n-1) times the mean, so that if n-1 servers reach it, the last one still has 1-BalanceSlack
// times the mean.
const BalanceSlack = 0.15

const (
	// assignedChoices is the number of servers that are assigned to a pooler with bounded loads: its home, and a second
	// choice for the requests that the home has no capacity for.
	assignedChoices = 2
	// maxAssignedFleet is the size of the largest fleet that uses bounded loads, which require the assignments of all
	// previous poolers. In a larger fleet the gain is not worth that cost, since the spread of plain hashing decreases with
	// the square root of the number of poolers per server.
	maxAssignedFleet = 4096
)

// Order returns the order in which a pooler prefers the servers of a group, as indices into servers: its assigned home and
// second choice first, then the others by the pooler's own ranking. Poolers are numbered from 0; a number outside the range
// is reduced modulo fleetSize. Servers are identified by IDs that must be the same at all poolers; their order is irrelevant.
func Order(pooler, fleetSize int, servers []uint32) []int {
	fleetSize = max(fleetSize, 1)
	pooler = ((pooler % fleetSize) + fleetSize) % fleetSize
	order := rankServers(pooler, servers)
	if len(servers) < 2 || fleetSize > maxAssignedFleet {
		return order
	}
	assigned := assignThrough(pooler, fleetSize, servers)
	for choice := assignedChoices - 1; choice >= 0; choice-- {
		index := slices.Index(order, assigned[choice])
		order = slices.Insert(slices.Delete(order, index, index+1), 0, assigned[choice])
	}
	return order
}

// assignThrough assigns servers to the poolers from 0 to last, one after the other, and returns the assignment of the last
// one as indices into servers. There must be at least two servers.
func assignThrough(last, fleetSize int, servers []uint32) [assignedChoices]int {
	n := len(servers)
	bound := MaxHomes(fleetSize, n)
	loads := make([]int, assignedChoices*n)
	var assigned [assignedChoices]int
	for pooler := 0; pooler <= last; pooler++ {
		for choice := range assignedChoices {
			assigned[choice] = assignServer(pooler, servers, assigned[:choice], loads[choice*n:(choice+1)*n], bound)
		}
	}
	return assigned
}

// assignServer assigns one more server to a pooler, increments its load and returns its index. It is the server that the
// pooler ranks highest among those not assigned to it yet and below the bound, or among all not assigned to it if none is
// below the bound.
func assignServer(pooler int, servers []uint32, assigned, loads []int, bound int) int {
	best, bestIsFull := -1, true
	var bestWeight uint64
	for i, server := range servers {
		if slices.Contains(assigned, i) {
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

// MaxHomes returns the maximum number of poolers that have the same server as their home, in a group with the given number
// of servers.
func MaxHomes(fleetSize, serverCount int) int {
	if serverCount < 2 {
		return fleetSize
	}
	mean := float64(fleetSize) / float64(serverCount)
	evenShare := (fleetSize + serverCount - 1) / serverCount // every pooler must be assigned a home
	return max(evenShare, int(mean*(1+BalanceSlack/float64(serverCount-1))))
}

// rankServers returns the indices of the servers, sorted by descending weight for a pooler.
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

// weight returns the hash of a pooler and a server, by which the pooler ranks the server.
func weight(pooler int, server uint32) uint64 {
	var key [12]byte
	binary.LittleEndian.PutUint64(key[:8], uint64(pooler))
	binary.LittleEndian.PutUint32(key[8:], server)
	return xxhash.Sum64(key[:])
}

// NextSlot returns the start of the first slot at a server that the pooler uses and that starts after from and not after to.
// It returns 0 if there is none. Slots start at multiples of interval, at the same times for all poolers. The pooler uses the
// fraction share of all slots.
func NextSlot(pooler, fleetSize int, server uint32, interval, from, to time.Duration, share float64) time.Duration {
	for slot := from/interval + 1; slot <= to/interval; slot++ {
		if slotRank(pooler, fleetSize, server, int64(slot)) < share*float64(fleetSize) {
			return slot * interval
		}
	}
	return 0
}

// slotRank returns the rank of a pooler for a slot at a server, in [0, fleetSize). In each slot one pooler has a rank in
// [0, 1), the next pooler by number in each next slot; all others have ranks in [1, fleetSize). If each pooler uses the slots
// in which its rank is below p, a slot is used by p poolers on average, and use is spread evenly over slots and poolers:
// multiples of the golden ratio and of the square root of 2, modulo 1, are distributed more evenly than random numbers. A
// pooler that uses a slot with some share also uses it with any larger share.
func slotRank(pooler, fleetSize int, server uint32, slot int64) float64 {
	const goldenFraction, sqrt2Fraction = 0x9e3779b97f4a7c15, 0x6a09e667f3bcc909 // fractional parts, scaled by 2^64
	n := int64(fleetSize)
	x := slot + int64(server)*(goldenFraction>>40) - int64(pooler)
	if x%n == 0 {
		return unitFraction(uint64(x/n)*goldenFraction + uint64(pooler)*sqrt2Fraction)
	}
	return 1 + float64(n-1)*unitFraction(uint64(x)*goldenFraction)
}

// unitFraction maps 64-bit numbers to [0, 1).
func unitFraction(x uint64) float64 { return float64(x>>11) / (1 << 53) }
