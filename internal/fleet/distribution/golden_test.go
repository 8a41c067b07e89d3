package distribution

import (
	"bytes"
	"fmt"
	"testing"

	"threadsail/internal/goldentest"
)

func TestMessageForms(t *testing.T) {
	goldentest.CheckJSONOf(t, "hello.json", goldentest.Filled[hello](t))
	goldentest.CheckJSONOf(t, "refusal.json", goldentest.Filled[refusal](t))
	goldentest.CheckJSONOf(t, "live.json", goldentest.Filled[heartbeat](t))
	goldentest.CheckJSONOf(t, "word.json", goldentest.Filled[announcement](t))
	goldentest.CheckJSONOf(t, "holds.json", goldentest.Filled[holdings](t))
	goldentest.CheckJSONOf(t, "summary.json", goldentest.Filled[Summary](t))
}

// The names of frame kinds are part of the metrics and must not change.
func TestFrameKinds(t *testing.T) {
	for number, want := range []string{"kind 0", "hello", "welcome", "refusal", "live", "word", "delta", "whole", "message", "cast", "holds", "kind 11"} {
		if got := frameKind(number).String(); got != want {
			t.Errorf("%d: got %q, want %q", number, got, want)
		}
	}
}

// The order of preference must not change between builds: all processes that know the same distributors compute the same order.
func TestRankOrder(t *testing.T) {
	all := []Endpoint{{"d1", "", "north"}, {"d2", "", "north"}, {"d3", "", "north"}, {"d4", "", "south"}, {"d5", "", "south"}}
	var out bytes.Buffer
	for _, pooler := range []string{"pooler-1", "pooler-2", "pooler-3", "pooler-4"} {
		fmt.Fprint(&out, pooler)
		for _, endpoint := range Rank(pooler, "north", all) {
			fmt.Fprint(&out, " ", endpoint.Name)
		}
		fmt.Fprintln(&out)
	}
	goldentest.Check(t, "rank.txt", out.Bytes())
}
