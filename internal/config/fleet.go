package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"golang.org/x/mod/semver"

	"threadsail/internal/protocol/discovery"

	"threadsail/internal/fleet/calendar"
)

// FleetFile is where the file of the poolers' own fleet lies unless PROXY_FLEET names another.
const FleetFile = "deploy/fleet.json"

// Defaults of the fleet's file, and the bounds that hold between them.
const (
	defaultTerm  = 3 * time.Second
	defaultDrift = 100 * time.Millisecond // 3% of the term: far more than two monotonic clocks differ by
	leastTerm    = 300 * time.Millisecond
	mostStewards = 7

	stragglerTerms   = 10
	defaultJournalMB = 8 // some 40,000 acts
	defaultKeep      = 4
)

// Fleet is how this pooler takes part in the fleet of poolers.
type Fleet struct {
	Name      string // among the peers; PROXY_CONFIG's name unless the file gives one
	Listen    string // for peers, TCP and UDP; an IP address and a port
	Advertise string // where others reach it; empty: as Listen
	Peers     []Peer // some others, for a start
	Stewards  []Peer // all stewards, the same set at every pooler
	Steward   StewardPart
	Term      time.Duration // of leases
	Drift     time.Duration // the most by which two monotonic clocks differ over a term
	Election  time.Duration // as steward.Options.Election
	// SharedAddresses tells that servers have the same host and port at all poolers: a handed list's new servers can be
	// used without an own call.
	SharedAddresses bool
	Journal         JournalPart
	Bound           time.Duration // as duty.Lists.Bound
	Verdicts        VerdictsPart
	Purges          PurgesPart
	Shards          ShardsPart
	Limits          Limits
	ConfigRevision  uint64 // of this pooler's files, as the operators count it; 0: they don't
	LeastConfig     uint64 // the least revision that may take writes, which this pooler tells the fleet
	LeastBuild      string // a version such as v1.4.0, which this pooler tells the fleet; empty: any will do
	Shared          SharedPart
	Distribution    DistributionPart
}

// JournalPart is the pooler's journal of acts; File empty: it keeps none.
type JournalPart struct {
	File  string
	Bytes int64 // of one file, before it is put aside
	Keep  int   // files put aside
}

// SharedPart is the pooler's copy of the fleet's documents; Dir empty: it is kept in memory alone.
type SharedPart struct {
	Dir string `json:"dir"`
}

// Peer is a pooler and the address at which it is reached from here.
type Peer struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// StewardPart is what a steward needs besides; Listen empty: this pooler is none.
type StewardPart struct {
	Listen string `json:"listen"`
	Dir    string `json:"dir"`
	Join   bool   `json:"join"` // it joins stewards that there are already
}

// FleetEnabled tells whether the file of the fleet asks for its parts, and reads nothing else of it: a pooler without those
// parts must start whatever keys a newer build has there.
func FleetEnabled(getenv func(string) string) (bool, error) {
	path, text, err := fleetFile(getenv)
	if text == nil {
		return false, err
	}
	var file struct{ Enabled bool }
	if err := json.Unmarshal(text, &file); err != nil {
		return false, fmt.Errorf("%s: %w", path, jsonError(err))
	}
	return file.Enabled, nil
}

// fleetFile reads the file of the fleet; nil without an error: there is none.
func fleetFile(getenv func(string) string) (path string, text []byte, err error) {
	path = or(getenv("PROXY_FLEET"), FleetFile)
	text, err = os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && getenv("PROXY_FLEET") == "" {
		return path, nil, nil
	}
	if err != nil {
		return path, nil, fmt.Errorf("PROXY_FLEET: %w", err)
	}
	return path, text, nil
}

// LoadFleet reads the file of the fleet. Without the file, or with "enabled" false, the pooler is on its own: nil. An error
// names the file, the line and the key.
func LoadFleet(getenv func(string) string, cfg *Config) (*Fleet, error) {
	path, text, err := fleetFile(getenv)
	if text == nil {
		return nil, err
	}
	f, offset, err := parseFleet(text, cfg.Name, knownClusters(cfg))
	if err == nil && f != nil && f.Purges.Site != "" && f.Purges.Answers > cfg.MemoryBytes/answersShare {
		offset, err = placeOf(text, []string{"purges", "answers_mb"}), fmt.Errorf("purges.answers_mb: more than an eighth of limits.memory_mb")
	}
	if err != nil {
		return nil, fmt.Errorf("%s:%d: %w", path, 1+bytes.Count(text[:min(max(offset, 0), int64(len(text)))], []byte("\n")), err)
	}
	return f, nil
}

// knownClusters tells the clusters of the list that the pooler starts with; nil: it starts with none.
func knownClusters(cfg *Config) func(cluster int) bool {
	if !cfg.Known.Complete || len(cfg.Known.Members) == 0 {
		return nil
	}
	return func(cluster int) bool {
		return slices.ContainsFunc(cfg.Known.Members, func(m discovery.Member) bool { return m.Group == cluster })
	}
}

// parseFleet returns the fleet's part, nil if it is off, or an error with the offset in text of what it is about.
func parseFleet(text []byte, name string, clusters func(cluster int) bool) (*Fleet, int64, error) {
	var file struct {
		Enabled           bool
		Name              string
		Listen, Advertise string
		Peers, Stewards   []Peer
		Steward           StewardPart
		TermMs            float64 `json:"term_ms"`
		DriftMs           float64 `json:"drift_ms"`
		ElectionMs        float64 `json:"election_ms"`
		SharedAddresses   bool    `json:"shared_addresses"`
		StragglerMs       float64 `json:"straggler_ms"`
		LeastBuild        string  `json:"least_build"`
		ConfigRevision    uint64  `json:"config_revision"`
		LeastConfig       uint64  `json:"least_config"`
		Verdicts          verdictsFile
		Purges            purgesFile
		Shards            shardsFile
		Limits            json.RawMessage
		Calendars         map[string]calendar.Calendar
		Sites             map[string]calendar.Site
		Shared            SharedPart
		Distribution      DistributionPart
		Journal           struct {
			File  string
			MaxMB float64 `json:"max_mb"`
			Keep  *int
		}
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields() // this file is ours: a misspelt key must not go unnoticed
	if err := dec.Decode(&file); err != nil {
		return nil, jsonOffset(err, unknownKey(text, err, dec.InputOffset())), jsonError(err)
	}
	if dec.More() {
		return nil, dec.InputOffset(), errors.New("text follows the object")
	}
	if !file.Enabled {
		return nil, 0, nil
	}
	f := &Fleet{Name: or(file.Name, name), Listen: file.Listen, Advertise: file.Advertise, Peers: file.Peers, Stewards: file.Stewards,
		Steward: file.Steward, Term: or(Milliseconds(file.TermMs), defaultTerm), Drift: or(Milliseconds(file.DriftMs), defaultDrift),
		SharedAddresses: file.SharedAddresses, Bound: Milliseconds(file.StragglerMs), LeastBuild: file.LeastBuild,
		ConfigRevision: file.ConfigRevision, LeastConfig: file.LeastConfig, Shared: file.Shared, Distribution: file.Distribution}
	f.Bound = or(f.Bound, stragglerTerms*f.Term)
	f.Journal = JournalPart{File: file.Journal.File, Bytes: int64(or(file.Journal.MaxMB, defaultJournalMB) * (1 << 20)), Keep: defaultKeep}
	if file.Journal.Keep != nil {
		f.Journal.Keep = *file.Journal.Keep
	}
	f.Election = or(Milliseconds(file.ElectionMs), f.Term/3)
	var key string
	var err error
	if f.Verdicts, key, err = file.Verdicts.part(); err != nil {
		return nil, within(text, "verdicts", key), err
	}
	var at int64
	if f.Limits, at, err = parseLimits(file.Limits); err != nil {
		return nil, int64(bytes.Index(text, file.Limits)) + at, err
	}
	var path []string
	if f.Purges, path, err = file.Purges.part(calendar.Book{Calendars: file.Calendars, Sites: file.Sites}, f.Journal.File, f.Term); err != nil {
		return nil, placeOf(text, path), err
	}
	for _, check := range []struct {
		key string
		err error
	}{
		{"name", missing(f.Name)},
		{"listen", listens(f)},
		{"advertise", optional(f.Advertise, ipAddress("advertise", f.Advertise))},
		{"peers", named("peers", f.Peers)},
		{"stewards", named("stewards", f.Stewards)},
		{"stewards", stewards(f)},
		{"journal", journal(f.Journal)},
		{"least_build", version(f.LeastBuild)},
		{"least_config", leastConfig(f)},
		{"straggler_ms", bounds("straggler_ms", f.Bound, 4*f.Term, time.Hour)}, // three terms may pass until it calls by itself
		{"term_ms", bounds("term_ms", f.Term, leastTerm, time.Minute)},
		{"drift_ms", bounds("drift_ms", f.Drift, time.Millisecond, f.Term/4)}, // a holder acts for two thirds of its term at the least
		{"election_ms", bounds("election_ms", f.Election, 50*time.Millisecond, f.Term)},
	} {
		if check.err != nil {
			return nil, int64(bytes.Index(text, []byte(`"`+check.key+`"`))), check.err
		}
	}
	if key, err := distribution(f); err != nil {
		return nil, within(text, "distribution", key), err
	}
	if f.Shards, path, err = file.Shards.part(f.Term, f.Drift, clusters); err != nil {
		return nil, placeOf(text, path), err
	}
	return f, 0, nil
}

// within is where a key stands inside an object of the file: the object's own place if it is left out there.
func within(text []byte, object, key string) int64 {
	at := bytes.Index(text, []byte(`"`+object+`"`))
	if at < 0 {
		return 0
	}
	if in := bytes.Index(text[at:], []byte(`"`+key+`"`)); in > 0 {
		at += in
	}
	return int64(at)
}

// unknownKey is where a key that a decoder refused as unknown first stands, for it tells none; else fallback.
func unknownKey(text []byte, err error, fallback int64) int64 {
	if _, key, ok := strings.Cut(err.Error(), "unknown field "); ok {
		if at := regexp.MustCompile(regexp.QuoteMeta(key) + `\s*:`).FindIndex(text); at != nil {
			return int64(at[0])
		}
	}
	return fallback
}

// jsonOffset is where a decoder's error lies, if it says; else fallback.
func jsonOffset(err error, fallback int64) int64 {
	var syntax *json.SyntaxError
	var typed *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return syntax.Offset
	case errors.As(err, &typed):
		return typed.Offset
	case errors.Is(err, io.ErrUnexpectedEOF):
		return math.MaxInt64 // the end of the text
	}
	return fallback
}

// listens checks the address for peers, which only those that gossip need.
func listens(f *Fleet) error {
	if !f.Gossips() {
		return nil
	}
	return ipAddress("listen", f.Listen)
}

func missing(name string) error {
	if name == "" {
		return errors.New("name: missing, here and in PROXY_CONFIG")
	}
	return nil
}

func optional(v string, err error) error {
	if v == "" {
		return nil
	}
	return err
}

func named(key string, peers []Peer) error {
	seen := map[string]bool{}
	for i, p := range peers {
		if p.Name == "" || seen[p.Name] {
			return fmt.Errorf("%s[%d].name: %q is empty or names another too", key, i, p.Name)
		}
		seen[p.Name] = true
		if err := ipAddress(fmt.Sprintf("%s[%d].addr", key, i), p.Addr); err != nil {
			return err
		}
	}
	return nil
}

func stewards(f *Fleet) error {
	n := len(f.Stewards)
	switch {
	case n == 0 || n%2 == 0 || n > mostStewards:
		return fmt.Errorf("stewards: %d are named, not an odd number up to %d: an even one bears no more losses", n, mostStewards)
	case f.Steward.Listen == "":
		return nil
	case f.Steward.Dir == "":
		return errors.New("steward.dir: missing")
	case !slices.ContainsFunc(f.Stewards, func(p Peer) bool { return p.Name == f.Name }):
		return fmt.Errorf("stewards: this pooler, %q, is a steward and not among them", f.Name)
	}
	return ipAddress("steward.listen", f.Steward.Listen)
}

func leastConfig(f *Fleet) error {
	if f.LeastConfig > f.ConfigRevision {
		return fmt.Errorf("least_config: %d is above this file's own config_revision, %d", f.LeastConfig, f.ConfigRevision)
	}
	return nil
}

func version(v string) error {
	if v != "" && !semver.IsValid(v) {
		return fmt.Errorf("least_build: %q is no version such as v1.4.0", v)
	}
	return nil
}

func journal(j JournalPart) error {
	switch {
	case j.Bytes < 64<<10 || j.Bytes > 1<<30:
		return fmt.Errorf("journal.max_mb: %d bytes are not from 64 KiB to 1 GiB", j.Bytes)
	case j.Keep < 0 || j.Keep > 100:
		return fmt.Errorf("journal.keep: %d is not from 0 to 100", j.Keep)
	}
	return nil
}

func bounds(key string, d, least, most time.Duration) error {
	if d < least || d > most {
		return fmt.Errorf("%s: %v is not from %v to %v", key, d, least, most)
	}
	return nil
}
