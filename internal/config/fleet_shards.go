package config

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"threadsail/internal/fleet/shardmap/ranges"
)

// Defaults of the shard map.
const (
	defaultPreparedMost = 10 * time.Minute // operators look after a move that hangs; until then it only needs its leases
	fencedTerms         = 3                // a fence lasts one term and the drift with a router lost, and one more with the holder lost
	mostRanges          = 500              // of one document with its moves
)

// ShardsPart is the map of keys to clusters that this file proposes to the fleet; Ranges empty: there is none of it.
type ShardsPart struct {
	Ranges                   []ranges.Range // the first map, until the stewards have one
	Epoch                    uint64         // of that map
	Copier                   string         // URL that acts of copying are posted to; empty: this pooler takes no moves on
	PreparedMost, FencedMost time.Duration  // as shardmap.Holder
	Moves                    []ShardMove
	Retired                  []string // processes that have stopped for good, as the log names them
}

// ShardMove is a move that the operators order.
type ShardMove struct {
	Name   string `json:"name"`
	From   string `json:"from"`
	To     string `json:"to"`
	Source int    `json:"source"`
	Target int    `json:"target"`
	Undo   bool   `json:"undo"`
}

// shardsFile is its object in the file of the fleet.
type shardsFile struct {
	Ranges     []ranges.Range
	Epoch      uint64
	Copier     string
	PreparedMs float64 `json:"prepared_ms"`
	FencedMs   float64 `json:"fenced_ms"`
	Moves      []ShardMove
	Retired    []string
}

// part fills defaults in. An error comes with the path of the key that it is about. known tells the clusters that there are; nil:
// nobody knows yet.
func (f shardsFile) part(term, drift time.Duration, known func(cluster int) bool) (p ShardsPart, path []string, err error) {
	p = ShardsPart{Ranges: f.Ranges, Epoch: f.Epoch, Copier: f.Copier, PreparedMost: or(Milliseconds(f.PreparedMs), defaultPreparedMost),
		FencedMost: or(Milliseconds(f.FencedMs), fencedTerms*term), Moves: f.Moves, Retired: f.Retired}
	if known == nil {
		known = func(cluster int) bool { return cluster >= 0 }
	}
	if len(p.Ranges) > 0 {
		if at, err := ranges.Check(p.Ranges, known); err != nil {
			return p, []string{"shards", "ranges", strconv.Itoa(at)}, fmt.Errorf("shards.ranges[%d]: %w", at, err)
		}
	}
	for _, check := range []struct {
		key string
		err error
	}{
		{"ranges", unless(len(p.Ranges) <= mostRanges, "%d are more than %d", len(p.Ranges), mostRanges)},
		{"copier", unless(p.Copier == "" || httpURL(p.Copier), "%q is no http URL", p.Copier)},
		{"prepared_ms", bounds("prepared_ms", p.PreparedMost, 2*term, 24*time.Hour)},
		{"fenced_ms", bounds("fenced_ms", p.FencedMost, 2*(term+drift), time.Hour)}, // less, and a lost router undoes every move
		{"moves", unless(len(p.Moves) == 0 || len(p.Ranges) > 0, "they need shards.ranges")},
	} {
		if check.err != nil {
			return p, []string{"shards", check.key}, fmt.Errorf("shards.%s: %w", check.key, check.err)
		}
	}
	seen := map[string]bool{}
	for i, m := range p.Moves {
		for _, check := range []struct {
			key string
			bad bool
		}{
			{"name", len(m.Name) < 1 || len(m.Name) > 100 || strings.Trim(m.Name, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" || seen[m.Name]},
			{"to", m.To != "" && m.To <= m.From},
			{"source", !known(m.Source)},
			{"target", !known(m.Target) || m.Target == m.Source},
		} {
			if check.bad {
				return p, []string{"shards", "moves", strconv.Itoa(i), check.key},
					fmt.Errorf("shards.moves[%d].%s: it takes a name of its own (a-z, 0-9, -), keys, and two clusters that there are", i, check.key)
			}
		}
		seen[m.Name] = true
	}
	return p, nil, nil
}

func httpURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && u.Scheme == "http" && u.Host != ""
}
