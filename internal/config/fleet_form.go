package config

import (
	"encoding/json"
	"errors"
	"time"

	"threadsail/internal/calendar"
	"threadsail/internal/jsonfile"
)

// Defaults of the fleet's file.
const (
	DefaultTerm       = 3 * time.Second
	defaultClockDrift = 100 * time.Millisecond // 3% of the term: far more than two monotonic clocks differ by
	defaultJournalMB  = 8                      // some 40,000 records
	defaultMaxRotated = 4
	stragglerTerms    = 10 // the default of straggler_ms, in terms
	electionsOfTerm   = 3  // the default of election_ms is a term's part of so many
)

// fleetForm is the form of the fleet's file. Where key and field differ, the key is an operators' setting that keeps its name.
type fleetForm struct {
	Enabled            bool                         `json:"enabled"`
	Name               string                       `json:"name"`
	Listen             string                       `json:"listen"`
	Advertise          string                       `json:"advertise"`
	Peers              []Peer                       `json:"peers"`
	Voters             []Peer                       `json:"stewards"`
	Voter              VoterConfig                  `json:"steward"`
	TermMs             float64                      `json:"term_ms"`
	MaxClockDriftMs    float64                      `json:"drift_ms"`
	ElectionTimeoutMs  float64                      `json:"election_ms"`
	SharedAddresses    bool                         `json:"shared_addresses"`
	StragglerTimeoutMs float64                      `json:"straggler_ms"`
	MinBuild           string                       `json:"least_build"`
	ConfigRevision     uint64                       `json:"config_revision"`
	MinConfigRevision  uint64                       `json:"least_config"`
	Outliers           outlierForm                  `json:"verdicts"`
	Purges             purgeForm                    `json:"purges"`
	Shards             shardForm                    `json:"shards"`
	Limits             json.RawMessage              `json:"limits"`
	Calendars          map[string]calendar.Calendar `json:"calendars"`
	Sites              map[string]calendar.Site     `json:"sites"`
	Replica            ReplicaConfig                `json:"shared"`
	Distribution       DistributionConfig           `json:"distribution"`
	Journal            journalForm                  `json:"journal"`
}

// journalForm is the form of the object "journal".
type journalForm struct {
	File       string  `json:"file"`
	MaxMB      float64 `json:"max_mb"`
	MaxRotated *int    `json:"keep"`
}

// parseFleet returns the fleet's part; nil without an error: it is off. Errors are *jsonfile.OffsetError. name is the pooler's own, for a
// file that gives none; clusters tells which clusters there are, and nil that nobody knows yet.
func parseFleet(text []byte, name string, clusters func(cluster int) bool) (*Fleet, error) {
	var file fleetForm
	if err := jsonfile.Decode(text, &file); err != nil {
		return nil, jsonfile.FindUnknownKey(text, err)
	}
	if !file.Enabled {
		return nil, nil
	}
	f := file.fleet(name)
	var err error
	if f.Outliers, err = file.Outliers.outliers(); err != nil {
		return nil, placeWithin(text, err)
	}
	if f.Limits, err = ParseLimits(file.Limits); err != nil {
		return nil, placeInside(text, file.Limits, err)
	}
	book := calendar.Book{Calendars: file.Calendars, Sites: file.Sites}
	if f.Purges, err = file.Purges.purges(book, f.Journal.File, f.Term); err != nil {
		return nil, place(text, err)
	}
	if failed, ok := firstFailed(f.checks()); ok {
		return nil, jsonfile.At(jsonfile.FindKey(text, failed.key), failed.err)
	}
	if err := f.checkDistribution(); err != nil {
		return nil, placeWithin(text, err)
	}
	if f.Shards, err = file.Shards.shards(f.Term, f.MaxClockDrift, clusters); err != nil {
		return nil, place(text, err)
	}
	return f, nil
}

// fleet takes over what the file says of the fleet itself, and fills in defaults.
func (file *fleetForm) fleet(name string) *Fleet {
	f := &Fleet{
		Name:            firstSet(file.Name, name),
		GossipConfig:    GossipConfig{Listen: file.Listen, Advertise: file.Advertise, Peers: file.Peers},
		Voters:          file.Voters,
		Voter:           file.Voter,
		SharedAddresses: file.SharedAddresses,
		Journal:         file.Journal.journal(),
		RevisionConfig:  RevisionConfig{ConfigRevision: file.ConfigRevision, MinConfigRevision: file.MinConfigRevision, MinBuild: file.MinBuild},
		Replica:         file.Replica,
		Distribution:    file.Distribution,
	}
	f.Term = firstSet(Milliseconds(file.TermMs), DefaultTerm)
	f.MaxClockDrift = firstSet(Milliseconds(file.MaxClockDriftMs), defaultClockDrift)
	f.ElectionTimeout = firstSet(Milliseconds(file.ElectionTimeoutMs), f.Term/electionsOfTerm)
	f.StragglerTimeout = firstSet(Milliseconds(file.StragglerTimeoutMs), stragglerTerms*f.Term)
	return f
}

func (file *journalForm) journal() JournalConfig {
	p := JournalConfig{File: file.File, MaxBytes: int64(firstSet(file.MaxMB, defaultJournalMB) * (1 << 20)), MaxRotated: defaultMaxRotated}
	if file.MaxRotated != nil {
		p.MaxRotated = *file.MaxRotated
	}
	return p
}

// placeWithin gives an error about a key of an object the offset of that key behind the object's own.
func placeWithin(text []byte, err error) error {
	var at *pathError
	if !errors.As(err, &at) || len(at.path) < 2 {
		return err
	}
	return jsonfile.At(jsonfile.FindKeyWithin(text, at.path[0], at.path[1]), err)
}
