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

// homes is whom each pooler of a fleet has as its home.
func homes(fleet int, servers []uint32) []uint32 {
	out := make([]uint32, fleet)
	for me := range out {
		out[me] = servers[Order(me, fleet, servers)[0]]
	}
	return out
}

func ids(t *rapid.T, most int) []uint32 {
	return rapid.SliceOfNDistinct(rapid.Uint32(), 2, most, rapid.ID[uint32]).Draw(t, "servers")
}

// Every pooler has an order of all servers, the same wherever it is worked out; no server has more than its bound of
// homes, and none of a fleet with many poolers a server fewer than 1-BalanceSlack of the mean, to a whole pooler.
func TestAssignment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet, servers := rapid.IntRange(1, 300).Draw(t, "fleet"), ids(t, 8)
		loads, seconds := map[uint32]int{}, map[uint32]int{}
		for me, home := range homes(fleet, servers) {
			loads[home]++
			order := Order(me, fleet, servers)
			seconds[servers[order[1]]]++
			sorted := slices.Sorted(slices.Values(order))
			for i := range sorted {
				if sorted[i] != i || len(sorted) != len(servers) {
					t.Fatalf("order %v of %d servers", order, len(servers))
				}
			}
		}
		mean := float64(fleet) / float64(len(servers))
		for _, s := range servers {
			if n := loads[s]; n > MaxHomes(fleet, len(servers)) || float64(n) < mean*(1-BalanceSlack)-float64(len(servers)) {
				t.Fatalf("server %d is the home of %d, mean %.1f, bound %d", s, n, mean, MaxHomes(fleet, len(servers)))
			}
			// The last poolers may find room at their own home alone.
			if n := seconds[s]; n > MaxHomes(fleet, len(servers))+fleet/10+2 {
				t.Fatalf("server %d is the second of %d, mean %.1f", s, n, mean)
			}
		}
		turned := slices.Clone(servers)
		slices.Reverse(turned)
		if d := cmp.Diff(homes(fleet, servers), homes(fleet, turned)); d != "" {
			t.Fatal("the assignment follows the order of the list: ", d)
		}
	})
}

// When a server leaves, its own poolers move, and few others: those that had been passed on for want of room. One that
// comes is the same backwards.
func TestFewPoolersMove(t *testing.T) {
	var table string
	for _, n := range []int{3, 4, 5, 8} {
		const fleet = 300
		worst := 0.0
		for trial := range 40 {
			var servers []uint32
			for i := range n {
				servers = append(servers, uint32(trial*100+i*7919))
			}
			before := homes(fleet, servers)
			gone := servers[trial%n]
			after := homes(fleet, slices.DeleteFunc(slices.Clone(servers), func(s uint32) bool { return s == gone }))
			moved, own := 0, 0
			for i := range before {
				if before[i] != after[i] {
					moved++
					if before[i] == gone {
						own++
					}
				}
			}
			worst = max(worst, float64(moved-own)/fleet)
		}
		table += fmt.Sprintf("%d servers: at most %.0f%% of others move; ", n, 100*worst)
		if worst > 0.5/float64(n) { // a ring by number moves most of them
			t.Errorf("%d servers: %.2f of the poolers move without need", n, worst)
		}
	}
	t.Log(table)
}

func TestOrderBounds(t *testing.T) {
	for _, c := range []struct {
		me, fleet int
		servers   []uint32
		want      int
	}{{0, 1, nil, 0}, {5, 3, []uint32{9}, 1}, {-1, 0, []uint32{9, 8}, 2}, {70000, 100000, []uint32{1, 2, 3}, 3}} {
		if got := Order(c.me, c.fleet, c.servers); len(got) != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

func BenchmarkOrder(b *testing.B) {
	servers := []uint32{1, 2, 3, 4, 5}
	for b.Loop() {
		Order(299, 300, servers)
	}
}

// In any stretch all poolers together have as many turns at a server as their shares come to, give or take less than chance
// would: by even shares, however small, in fleets of any size, and also where one has a large share.
func TestNextSlotSpreadsEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet, server := rapid.IntRange(1, 300).Draw(t, "fleet"), rapid.Uint32().Draw(t, "server")
		all := rapid.Float64Range(0.05, 1).Draw(t, "all") // turns taken of each one, by the sum of the shares
		hot := rapid.Float64Range(0, 1).Draw(t, "hot")    // of these, by one pooler
		const every, turns = time.Millisecond, 400
		taken := make([]int, turns)
		begin := time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "begin")) * every
		for me := range fleet {
			share := all * (1 - hot) / float64(fleet)
			if me == 0 {
				share += all * hot
			}
			for at := begin; ; {
				if at = NextSlot(me, fleet, server, every, at, begin+turns*every, share); at == 0 {
					break
				}
				taken[(at-begin)/every-1]++
			}
		}
		for length := 50; length <= turns; length += 50 {
			for from := 0; from+length <= turns; from += 25 {
				sum := 0
				for _, n := range taken[from : from+length] {
					sum += n
				}
				if want := all * float64(length); math.Abs(float64(sum)-want) > math.Sqrt(want)+2 {
					t.Fatalf("%d of %d turns taken from %d on, want %.1f", sum, length, from, want)
				}
			}
		}
	})
}
