package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"threadsail/internal/jsonfile"
	"threadsail/internal/protocol/discovery"
)

// FleetFile is the path of the fleet's file unless PROXY_FLEET names another.
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
	StragglerTimeout time.Duration // after which a pooler that follows the fleet polls the list of servers by itself
	Outliers         OutlierConfig
	Purges           PurgeConfig
	Shards           ShardConfig
	Limits           Limits
	RevisionConfig
	Replica      ReplicaConfig
	Distribution DistributionConfig
}

// GossipConfig is how this pooler and the fleet's other poolers reach each other.
type GossipConfig struct {
	Listen    string // IP address and port for other poolers, TCP and UDP
	Advertise string // address at which others reach this pooler; empty: Listen
	Peers     []Peer // some other poolers, to join the fleet by
}

// LeaseConfig has the times of the fleet's leases.
type LeaseConfig struct {
	Term            time.Duration // of a lease
	MaxClockDrift   time.Duration // by which two monotonic clocks may differ over a term
	ElectionTimeout time.Duration // after which a voter that hears no leader stands for election
}

// RevisionConfig is the revision of this pooler's files, and what this pooler proposes that the fleet requires.
type RevisionConfig struct {
	ConfigRevision    uint64 // of this pooler's files, as its operators count them; 0: they do not
	MinConfigRevision uint64 // with which a pooler may take writes
	MinBuild          string // version, such as v1.4.0, with which a pooler may take writes; empty: any
}

// JournalConfig is the pooler's journal for audits; without a File it keeps none.
type JournalConfig struct {
	File       string
	MaxBytes   int64 // of one file, before it is rotated
	MaxRotated int   // rotated files that are kept
}

// ReplicaConfig is the pooler's replica of the fleet's documents; without a Dir it is kept in memory alone.
type ReplicaConfig struct {
	Dir string `json:"dir"`
}

// Peer is a pooler and the address at which it is reached from here.
type Peer struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// VoterConfig is what a voter of the consensus needs; without Listen this pooler is none.
type VoterConfig struct {
	Listen string `json:"listen"` // IP address and port for the fleet's poolers
	Dir    string `json:"dir"`    // of its log
	Join   bool   `json:"join"`   // it joins voters that are running already
}

// FleetEnabled tells whether the fleet's file turns the fleet on, and reads nothing else of it: a program without a fleet must start
// whatever keys a newer build has there.
func FleetEnabled(getenv func(string) string) (bool, error) {
	path, text, err := readOptional(getenv, "PROXY_FLEET", FleetFile)
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

// LoadFleet reads the fleet's file. Without the file, or with "enabled" false, it returns nil: the pooler is on its own. An error names
// the file, the line and the key.
func LoadFleet(getenv func(string) string, cfg *Config) (*Fleet, error) {
	path, text, err := readOptional(getenv, "PROXY_FLEET", FleetFile)
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

// knownClusters returns a function that tells whether a cluster is in the list that the pooler starts with; nil: it starts with none.
func knownClusters(cfg *Config) func(cluster int) bool {
	if !cfg.KnownServers.Complete || len(cfg.KnownServers.Members) == 0 {
		return nil
	}
	return func(cluster int) bool {
		return slices.ContainsFunc(cfg.KnownServers.Members, func(m discovery.Member) bool { return m.Group == cluster })
	}
}
