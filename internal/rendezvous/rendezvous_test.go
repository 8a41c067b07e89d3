package rendezvous

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// homes returns the home of each pooler of a fleet.
func homes(fleetSize int, servers []uint32) []uint32 {
	assigned := make([]uint32, fleetSize)
	for pooler := range assigned {
		assigned[pooler] = servers[Order(pooler, fleetSize, servers)[0]]
	}
	return assigned
}

// drawServers draws between 2 and maxServers distinct server IDs.
func drawServers(t *rapid.T, maxServers int) []uint32 {
	return rapid.SliceOfNDistinct(rapid.Uint32(), 2, maxServers, rapid.ID[uint32]).Draw(t, "servers")
}

// The order of each pooler contains all servers and does not depend on the order of the list. No server is the home of more
// than MaxHomes poolers, nor, apart from rounding, of fewer than 1-BalanceSlack times the mean.
func TestAssignment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleetSize, servers := rapid.IntRange(1, 300).Draw(t, "fleet size"), drawServers(t, 8)
		homeCounts, secondChoiceCounts := map[uint32]int{}, map[uint32]int{}
		for pooler, home := range homes(fleetSize, servers) {
			homeCounts[home]++
			order := Order(pooler, fleetSize, servers)
			secondChoiceCounts[servers[order[1]]]++
			sorted := slices.Sorted(slices.Values(order))
			for i := range sorted {
				if sorted[i] != i || len(sorted) != len(servers) {
					t.Fatalf("order %v of %d servers", order, len(servers))
				}
			}
		}
		mean := float64(fleetSize) / float64(len(servers))
		for _, s := range servers {
			if n := homeCounts[s]; n > MaxHomes(fleetSize, len(servers)) || float64(n) < mean*(1-BalanceSlack)-float64(len(servers)) {
				t.Fatalf("server %d is the home of %d poolers, mean %.1f, maximum %d", s, n, mean, MaxHomes(fleetSize, len(servers)))
			}
			// When the last poolers are assigned, only their own home may be below the bound.
			if n := secondChoiceCounts[s]; n > MaxHomes(fleetSize, len(servers))+fleetSize/10+2 {
				t.Fatalf("server %d is the second choice of %d poolers, mean %.1f", s, n, mean)
			}
		}
		reversed := slices.Clone(servers)
		slices.Reverse(reversed)
		if d := cmp.Diff(homes(fleetSize, servers), homes(fleetSize, reversed)); d != "" {
			t.Fatal("the assignment depends on the order of the list: ", d)
		}
	})
}

// When a server is removed, its own poolers move, and few others: those whose assignment the bounds of the other servers
// affect. Adding a server is the reverse of removing one.
func TestFewPoolersMove(t *testing.T) {
	var summary string
	for _, serverCount := range []int{3, 4, 5, 8} {
		const fleetSize = 300
		maxOthersMoved := 0.0
		for trial := range 40 {
			var servers []uint32
			for i := range serverCount {
				servers = append(servers, uint32(trial*100+i*7919))
			}
			before := homes(fleetSize, servers)
			removed := servers[trial%serverCount]
			after := homes(fleetSize, slices.DeleteFunc(slices.Clone(servers), func(s uint32) bool { return s == removed }))
			moved, movedFromRemoved := 0, 0
			for i := range before {
				if before[i] != after[i] {
					moved++
					if before[i] == removed {
						movedFromRemoved++
					}
				}
			}
			maxOthersMoved = max(maxOthersMoved, float64(moved-movedFromRemoved)/fleetSize)
		}
		summary += fmt.Sprintf("%d servers: at most %.0f%% of the fleet moves from other servers; ", serverCount, 100*maxOthersMoved)
		if maxOthersMoved > 0.5/float64(serverCount) { // a ring by pooler number moves most of them
			t.Errorf("%d servers: a fraction of %.2f of the poolers moves from other servers", serverCount, maxOthersMoved)
		}
	}
	t.Log(summary)
}

func TestOrderEdgeCases(t *testing.T) {
	for _, c := range []struct {
		pooler, fleetSize int
		servers           []uint32
		wantLength        int
	}{{0, 1, nil, 0}, {5, 3, []uint32{9}, 1}, {-1, 0, []uint32{9, 8}, 2}, {70000, 100000, []uint32{1, 2, 3}, 3}} {
		if got := Order(c.pooler, c.fleetSize, c.servers); len(got) != c.wantLength {
			t.Errorf("%+v: got order %v", c, got)
		}
	}
}

func BenchmarkOrder(b *testing.B) {
	servers := []uint32{1, 2, 3, 4, 5}
	for b.Loop() {
		Order(299, 300, servers)
	}
}

// In any period, the number of slots that all poolers together use at a server deviates from the sum of their shares by less
// than random use would, for even shares of any size, for fleets of any size, and if one pooler has a large share.
func TestNextSlotSpreadsEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleetSize, server := rapid.IntRange(1, 300).Draw(t, "fleet size"), rapid.Uint32().Draw(t, "server")
		sumOfShares := rapid.Float64Range(0.05, 1).Draw(t, "sum of shares")
		hotFraction := rapid.Float64Range(0, 1).Draw(t, "hot fraction") // the part of sumOfShares that one pooler has
		const interval, slots = time.Millisecond, 400
		used := make([]int, slots)
		begin := time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "begin")) * interval
		for pooler := range fleetSize {
			share := sumOfShares * (1 - hotFraction) / float64(fleetSize)
			if pooler == 0 {
				share += sumOfShares * hotFraction
			}
			for at := begin; ; {
				if at = NextSlot(pooler, fleetSize, server, interval, at, begin+slots*interval, share); at == 0 {
					break
				}
				used[(at-begin)/interval-1]++
			}
		}
		for length := 50; length <= slots; length += 50 {
			for from := 0; from+length <= slots; from += 25 {
				sum := 0
				for _, n := range used[from : from+length] {
					sum += n
				}
				if want := sumOfShares * float64(length); math.Abs(float64(sum)-want) > math.Sqrt(want)+2 {
					t.Fatalf("%d of %d slots used from slot %d on, want about %.1f", sum, length, from, want)
				}
			}
		}
	})
}
