package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"time"

	"threadsail/internal/jsonfile"
	"threadsail/internal/protocol/discovery"
)

// FleetFile is where the file of the poolers' own fleet lies unless PROXY_FLEET names another.
const FleetFile = "deploy/fleet.json"

// Fleet is how this pooler takes part in the fleet of poolers.
type Fleet struct {
	Name string // among the fleet's poolers; PROXY_CONFIG's name unless the file gives one
	GossipConfig
	Voters []Peer // all voters of the consensus, the same set at every pooler
	Voter  VoterConfig
	LeaseConfig
	// SharedAddresses tells that servers have the same host and port at all poolers: the new servers of a list that the fleet hands
	// on can be used without a call of this pooler's own.
	SharedAddresses  bool
	Journal          JournalConfig
	StragglerTimeout time.Duration // as duty.Lists.Bound
	Outliers         OutlierConfig
	Purges           PurgeConfig
	Shards           ShardConfig
	Limits           Limits
	RevisionConfig
	Replica      ReplicaConfig
	Distribution DistributionConfig
}

// GossipConfig is how this pooler and others reach each other.
type GossipConfig struct {
	Listen    string // for other poolers, TCP and UDP; an IP address and a port
	Advertise string // where others reach it; empty: as Listen
	Peers     []Peer // some others, for a start
}

// LeaseConfig is the times of leases.
type LeaseConfig struct {
	Term            time.Duration // of a lease
	MaxClockDrift   time.Duration // the most by which two monotonic clocks differ over a term
	ElectionTimeout time.Duration // timeout after which a voter stands for election
}

// RevisionConfig is what this pooler runs, and what it tells the fleet to require.
type RevisionConfig struct {
	ConfigRevision    uint64 // of this pooler's files, as the operators count it; 0: they don't
	MinConfigRevision uint64 // the least revision that may take writes
	MinBuild          string // the least version that may take writes, such as v1.4.0; empty: any
}

// JournalConfig is the pooler's journal of acts; File empty: it keeps none.
type JournalConfig struct {
	File       string
	MaxBytes   int64 // of one file, before it is rotated
	MaxRotated int   // rotated files
}

// ReplicaConfig is the pooler's copy of the fleet's documents; Dir empty: it is kept in memory alone.
type ReplicaConfig struct {
	Dir string `json:"dir"`
}

// Peer is a pooler and the address at which it is reached from here.
type Peer struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// VoterConfig is what a voter of the consensus needs; Listen empty: this pooler is none.
type VoterConfig struct {
	Listen string `json:"listen"`
	Dir    string `json:"dir"`
	Join   bool   `json:"join"` // it joins voters that there are already
}

// FleetEnabled tells whether the file of the fleet asks for its parts, and reads nothing else of it: a pooler without those
// parts must start whatever keys a newer build has there.
func FleetEnabled(getenv func(string) string) (bool, error) {
	path, text, err := readFleetFile(getenv)
	if text == nil {
		return false, err
	}
	var file struct {
		Enabled bool `json:"enabled"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return false, fmt.Errorf("%s: %w", path, jsonfile.Describe(err))
	}
	return file.Enabled, nil
}

// readFleetFile reads the file of the fleet; nil without an error: there is none.
func readFleetFile(getenv func(string) string) (path string, text []byte, err error) {
	path = firstSet(getenv("PROXY_FLEET"), FleetFile)
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
	path, text, err := readFleetFile(getenv)
	if text == nil {
		return nil, err
	}
	f, err := parseFleet(text, cfg.Name, knownClusters(cfg))
	if err == nil && f != nil {
		err = place(text, f.Purges.checkMemory(cfg.MemoryBytes))
	}
	if err != nil {
		return nil, jsonfile.LocateFrom(path, text, err)
	}
	return f, nil
}

// knownClusters tells the clusters of the list that the pooler starts with; nil: it starts with none.
func knownClusters(cfg *Config) func(cluster int) bool {
	if !cfg.KnownServers.Complete || len(cfg.KnownServers.Members) == 0 {
		return nil
	}
	return func(cluster int) bool {
		return slices.ContainsFunc(cfg.KnownServers.Members, func(m discovery.Member) bool { return m.Group == cluster })
	}
}
