package config

import (
	"fmt"
	"net/url"
	"strconv"
	"time"

	"threadsail/internal/keyrange"
)

// Defaults of the shard map.
const (
	defaultMaxPrepared = 10 * time.Minute // operators look after a move that hangs; until then it only needs its leases
	fencedTerms        = 3                // a fence lasts one term and the drift with a router lost, and one more with the coordinator lost
	maxMaxPrepared     = 24 * time.Hour
	maxMaxFenced       = time.Hour
	maxRanges          = 500 // of one document with its moves
)

// ShardConfig is the map of keys to clusters that this file proposes to the fleet; without Ranges it proposes none.
type ShardConfig struct {
	Ranges                 []keyrange.Range // the first map, until the voters have one
	Epoch                  uint64           // of that map
	CopierURL              string           // to which instructions to copy are posted; empty: this pooler coordinates no moves
	MaxPrepared, MaxFenced time.Duration    // as shardmap.Coordinator
	Moves                  []ShardMove
	RetiredProcesses       []string // that have stopped for good, named as in the log
}

// ShardMove orders to move a range of keys from one cluster to another.
type ShardMove struct {
	Name   string `json:"name"`
	From   string `json:"from"`
	To     string `json:"to"`
	Source int    `json:"source"`
	Target int    `json:"target"`
	Undo   bool   `json:"undo"`
}

// shardForm is the form of the object "shards".
type shardForm struct {
	Ranges           []keyrange.Range `json:"ranges"`
	Epoch            uint64           `json:"epoch"`
	CopierURL        string           `json:"copier"`
	MaxPreparedMs    float64          `json:"prepared_ms"`
	MaxFencedMs      float64          `json:"fenced_ms"`
	Moves            []ShardMove      `json:"moves"`
	RetiredProcesses []string         `json:"retired"`
}

// shards fills in defaults and checks the part. Errors have the path of their key. known tells the clusters that there are; nil: nobody
// knows yet.
func (f shardForm) shards(term, drift time.Duration, known func(cluster int) bool) (ShardConfig, error) {
	p := ShardConfig{
		Ranges:           f.Ranges,
		Epoch:            f.Epoch,
		CopierURL:        f.CopierURL,
		MaxPrepared:      firstSet(Milliseconds(f.MaxPreparedMs), defaultMaxPrepared),
		MaxFenced:        firstSet(Milliseconds(f.MaxFencedMs), fencedTerms*term),
		Moves:            f.Moves,
		RetiredProcesses: f.RetiredProcesses,
	}
	if known == nil {
		known = func(cluster int) bool { return cluster >= 0 }
	}
	if len(p.Ranges) > 0 {
		if i, err := keyrange.Check(p.Ranges, known); err != nil {
			return p, atPath(fmt.Errorf("shards.ranges[%d]: %w", i, err), "shards", "ranges", strconv.Itoa(i))
		}
	}
	if failed, ok := firstFailed(p.checks(term, drift)); ok {
		return p, atPath(fmt.Errorf("shards.%s: %w", failed.key, failed.err), "shards", failed.key)
	}
	return p, p.checkMoves(known)
}

func (p *ShardConfig) checks(term, drift time.Duration) []keyCheck {
	return []keyCheck{
		{"ranges", unless(len(p.Ranges) <= maxRanges, "%d are more than %d", len(p.Ranges), maxRanges)},
		{"copier", unless(p.CopierURL == "" || httpURL(p.CopierURL), "%q is no http URL", p.CopierURL)},
		{"prepared_ms", within("prepared_ms", p.MaxPrepared, 2*term, maxMaxPrepared)},
		{"fenced_ms", within("fenced_ms", p.MaxFenced, 2*(term+drift), maxMaxFenced)}, // less, and a lost router undoes every move
		{"moves", unless(len(p.Moves) == 0 || len(p.Ranges) > 0, "they need shards.ranges")},
	}
}

// checkMoves checks the moves that the operators order.
func (p *ShardConfig) checkMoves(known func(cluster int) bool) error {
	seen := map[string]bool{}
	for i, m := range p.Moves {
		for _, check := range []struct {
			key string
			bad bool
		}{
			{"name", !validOrderName(m.Name, seen)},
			{"to", m.To != "" && m.To <= m.From},
			{"source", !known(m.Source)},
			{"target", !known(m.Target) || m.Target == m.Source},
		} {
			if check.bad {
				err := fmt.Errorf("shards.moves[%d].%s: it takes a name of its own (a-z, 0-9, -), keys, and two clusters that there are", i, check.key)
				return atPath(err, "shards", "moves", strconv.Itoa(i), check.key)
			}
		}
		seen[m.Name] = true
	}
	return nil
}

func httpURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && u.Scheme == "http" && u.Host != ""
}
