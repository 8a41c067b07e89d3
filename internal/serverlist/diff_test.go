package serverlist_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"threadsail/internal/policy"
	"threadsail/internal/serverlist"
)

// Applying a difference to the list before it must give the list after it, whatever moves, swaps or changes.
func TestCompare(t *testing.T) {
	swapped := serverlist.Compare(list("a@x", "b@y"), list("a@y", "b@x"))
	if len(swapped.Moved) != 2 || len(swapped.RemovedServers()) != 2 || len(swapped.NewOrChanged()) != 2 {
		t.Errorf("two servers that swap their addresses are %v", swapped)
	}
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) []serverlist.Server {
			var words []string
			for _, n := range rapid.SliceOfDistinct(rapid.IntRange(0, 9), rapid.ID).Draw(t, label) {
				words = append(words, fmt.Sprintf("s%d@h%d%s", n, n+rapid.SampledFrom([]int{0, 10, 20}).Draw(t, "host"),
					rapid.SampledFrom([]string{"", "/1", "!"}).Draw(t, "kind")))
			}
			return list(words...)
		}
		before, after := draw("before"), draw("after")
		d := serverlist.Compare(before, after)
		byKey := map[string]serverlist.Server{}
		for _, x := range before {
			byKey[x.Key()] = x
		}
		for _, x := range d.RemovedServers() {
			delete(byKey, x.Key())
		}
		for _, x := range d.NewOrChanged() {
			byKey[x.Key()] = x
		}
		got := slices.SortedFunc(maps.Values(byKey), func(a, b serverlist.Server) int { return strings.Compare(a.Name, b.Name) })
		if len(got)+len(after) > 0 && cmp.Diff(after, got) != "" || d.Empty() != (serverlist.Digest(before) == serverlist.Digest(after)) {
			t.Fatalf("%v and %s give %v, not %v", before, d, got, after)
		}
	})
}

// Each difference is described on a line of its own, in the order of the names.
func TestDiffLines(t *testing.T) {
	after := list("a", "c@x", "d!")
	after[0].Weight, after[0].Zone = 5, "buda"
	got := serverlist.Compare(list("a", "b", "c", "d"), after).Lines()
	want := []string{"~ a: room none -> buda, weight 1 -> 5", "- b at b:1, room none, cluster 0, ready, weight 1",
		"- c at c:1, room none, cluster 0, ready, weight 1 (moves)", "+ c at x:1, room none, cluster 0, ready, weight 1 (moved)",
		"~ d: state ready -> draining"}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	if serverlist.StateName(policy.Draining) != "draining" {
		t.Error("a state's name")
	}
}
