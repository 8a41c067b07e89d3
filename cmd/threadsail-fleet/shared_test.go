package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"threadsail/internal/fleet"
	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/replication"
	"threadsail/internal/lab"
)

// scribe is a part that only tests have: every pooler reads and writes one document, the holder of a duty another one, and all
// tell their logs what they did and what their copies show. Where the environment says "copies" it only tells of the copy.
type scribe struct{}

const scribeKey, heldKey = "scribe/all", "scribe/held"

func (scribe) Run(ctx context.Context, g fleet.Runtime) error {
	var all sync.WaitGroup
	defer all.Wait()
	all.Go(func() {
		for {
			changed := g.View.Changed()
			d, _ := g.View.Get(scribeKey)
			g.Log.Log().Uint64("version", d.Version).Str("value", string(d.Value)).Int64("began_ns", time.Now().UnixNano()).Msg("scribe: copy")
			select {
			case <-ctx.Done():
				return
			case <-changed:
			}
		}
	})
	if os.Getenv("THREADSAIL_TEST_SCRIBE") == "copies" {
		return nil
	}
	tenure := g.Campaign(ctx, "scribe")
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(40+rand.IntN(80)) * time.Millisecond):
		}
		call, cancel := context.WithTimeout(ctx, time.Second)
		began := time.Now().UnixNano()
		d, err := g.Store.Read(call, scribeKey)
		if err == nil {
			g.Log.Log().Str("from", string(d.Value)).Int64("began_ns", began).Int64("ended_ns", time.Now().UnixNano()).Msg("scribe: read")
			value := fmt.Sprint(g.Bus.Self(), "-", began)
			began = time.Now().UnixNano()
			g.Log.Log().Str("from", string(d.Value)).Str("value", value).Int64("began_ns", began).Msg("scribe: puts")
			version, err := g.Store.Put(call, scribeKey, d.Version, []byte(value), replication.Fence{})
			g.Log.Log().Str("from", string(d.Value)).Str("value", value).Uint64("version", version).Str("result", result(err)).
				Int64("began_ns", began).Int64("ended_ns", time.Now().UnixNano()).Msg("scribe: put")
		}
		if token, _, ok := tenure.Token(); ok {
			d, err := g.Store.Read(call, heldKey)
			if err == nil {
				var version uint64
				version, err = g.Store.Put(call, heldKey, d.Version, []byte(g.Bus.Self()), replication.Fence{Lease: "scribe", Token: token})
				g.Log.Log().Uint64("token", token).Uint64("version", version).Str("result", result(err)).Msg("scribe: held")
			}
		}
		cancel()
	}
	return nil
}

func result(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, replication.ErrConflict):
		return "conflict"
	case errors.Is(err, replication.ErrFenced):
		return "fenced"
	}
	return "unknown"
}

type scribeLine struct {
	Pooler         int
	Message        string
	From, Value    string
	Result         string
	Version, Token uint64
	Began          int64 `json:"began_ns"`
	Ended          int64 `json:"ended_ns"`
}

// lags is a quantile of how long after a write's answer each pooler's copy held it, or something newer, in the first 2.4 s.
func lags(lines []scribeLine, quantile float64, rep lab.FleetReport) time.Duration {
	var all []int64
	for _, w := range lines {
		if w.Message != "scribe: put" || w.Result != "ok" || w.Ended > rep.Began.Add(2400*time.Millisecond).UnixNano() {
			continue
		}
		first := map[int]int64{}
		for _, c := range lines {
			if _, seen := first[c.Pooler]; c.Message == "scribe: copy" && c.Version >= w.Version && !seen {
				first[c.Pooler] = max(c.Began-w.Ended, 0)
			}
		}
		for _, lag := range first {
			all = append(all, lag)
		}
	}
	if len(all) == 0 {
		return -1
	}
	slices.Sort(all)
	return time.Duration(all[int(quantile*float64(len(all)-1))]).Round(time.Millisecond)
}

// judgeRegister checks that the reads and writes are linearizable, and that the holder's writes come in the order of their tokens. It
// returns the values written and the holder's tokens, each by its version.
func judgeRegister(t *testing.T, lines []scribeLine) (written map[uint64]string, held map[uint64]uint64) {
	t.Helper()
	answered := map[string]bool{}
	for _, l := range lines {
		answered[l.Value] = answered[l.Value] || l.Message == "scribe: put"
	}
	var ops []porcupine.Operation
	written, held = map[uint64]string{}, map[uint64]uint64{}
	counts := map[string]int{}
	for _, l := range lines {
		if l.Message == "scribe: puts" && !answered[l.Value] { // its pooler was killed
			l.Message, l.Result = "scribe: put", "unknown"
		}
		switch l.Message {
		case "scribe: read", "scribe: put":
			ended := l.Ended
			if l.Result == "unknown" {
				ended = math.MaxInt64
			}
			ops = append(ops, porcupine.Operation{ClientId: l.Pooler, Input: l, Output: l, Call: l.Began, Return: ended})
			if counts[l.Message+" "+l.Result]++; l.Result == "ok" {
				written[l.Version] = l.Value
			}
		case "scribe: held":
			if counts[l.Message+" "+l.Result]++; l.Result == "ok" {
				held[l.Version] = l.Token
			}
		}
	}
	t.Log(counts)
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{""} },
		Step: func(state, input, _ any) []any {
			l, at := input.(scribeLine), state.(string)
			switch {
			case l.Message == "scribe: read" && at == l.From, l.Result == "conflict" && at != l.From:
				return []any{at}
			case l.Result == "ok" && at == l.From:
				return []any{l.Value}
			case l.Result == "unknown" && at == l.From:
				return []any{l.Value, at}
			case l.Result == "unknown":
				return []any{at}
			}
			return nil
		},
	}
	if got := porcupine.CheckOperationsTimeout(model.ToModel(), ops, 30*time.Second); got != porcupine.Ok {
		t.Errorf("%d reads and writes are %s as a register", len(ops), got)
	}
	versions := make([]uint64, 0, len(held))
	for v := range held {
		versions = append(versions, v)
	}
	slices.Sort(versions)
	if !slices.IsSortedFunc(versions, func(a, b uint64) int { return int(held[a]) - int(held[b]) }) {
		t.Errorf("a holder's write came after one of a newer token: %v", held)
	}
	return written, held
}

// Six poolers on three machines, three of them stewards, write one document at once while each steward's disk fills up in turn and
// has room again, another pooler's disk is full for longer, and a machine with a steward drops. No request is lost; reads and
// writes are linearizable; each copy only ever shows what was written, and ends on the newest; the holder's writes come in the
// order of their tokens; whoever could not write says so, and that it can again.
func TestSharedUnderFaults(t *testing.T) {
	if testing.Short() {
		t.Skip("starts six processes")
	}
	env := []string{"THREADSAIL_TEST_SCRIBE=1"}
	rep, logs, _ := playLogs(t, `{"poolers": 6, "servers": 2, "length_ms": 13000, "seed": 7, "clients": 1, "rest_ms": 40, "writes": 0.3, "machines": 3,
	  "patience_ms": 1500, "fleet": {"stewards": 3, "term_ms": 900, "relays": true}, "steps": [
		{"at_ms": 2500, "act": "full", "poolers": "4", "for_ms": 5500},
		{"at_ms": 2500, "act": "full", "poolers": "0", "for_ms": 1200},
		{"at_ms": 4500, "act": "full", "poolers": "1", "for_ms": 1200},
		{"at_ms": 6500, "act": "full", "poolers": "2", "for_ms": 1200},
		{"at_ms": 8500, "act": "machine", "poolers": "0", "for_ms": 1500}]}`, env, env, env, env, env, env)
	lines := parse[scribeLine](logs)
	written, held := judgeRegister(t, lines)
	if len(written) == 0 || len(held) == 0 || rep.Served == 0 { // how many is the disk's affair
		t.Errorf("%d writes, %d of the holder's, %d requests served: the history is idle", len(written), len(held), rep.Served)
	}
	last := slices.Max(append(slices.Collect(maps.Keys(written)), 0))
	t.Logf("a write is in a copy: %v at the median, %v at the 99th percentile, before the first fault", lags(lines, 0.5, rep), lags(lines, 0.99, rep))
	newest := map[int]uint64{}
	for _, l := range lines {
		if l.Message != "scribe: copy" || l.Version == 0 {
			continue
		}
		if want, ok := written[l.Version]; ok && want != l.Value {
			t.Errorf("pooler %d shows %q as version %d, which is %q", l.Pooler, l.Value, l.Version, want)
		}
		newest[l.Pooler] = max(newest[l.Pooler], l.Version)
	}
	for i := range rep.Poolers {
		old := 0
		for v := range written {
			if v > newest[i] {
				old++
			}
		}
		if old > max(len(written)/4, 4) {
			t.Errorf("pooler %d ends on version %d of %d, %d writes behind", i, newest[i], last, old)
		}
	}
	said := func(pooler int, text string) bool {
		return slices.ContainsFunc(lines, func(l scribeLine) bool { return l.Pooler == pooler && strings.Contains(l.Message, text) })
	}
	full := 0
	for i := range 3 { // one that has nothing to write meanwhile, on a machine that is very busy, notices nothing
		can, again := said(i, "voter: log can't be written"), said(i, "voter: log can be written again")
		if can != again {
			t.Errorf("steward %d says that it can't write: %v; that it can again: %v", i, can, again)
		}
		if can {
			full++
		}
	}
	if full == 0 {
		t.Error("no steward's log was full")
	}
	for _, text := range []string{"replica can't be written", "replica is written again", "acts can't be written", "acts are written again"} {
		if !said(4, text) {
			t.Errorf("pooler 4 never says: %s", text)
		}
	}
	gap := false
	for _, r := range journals(t, rep) {
		gap = gap || r.Act == audit.RecordsDropped && strings.HasPrefix(r.Instance, "n5/")
	}
	if !gap {
		t.Error("n5's journal does not tell of its gap")
	}
}
