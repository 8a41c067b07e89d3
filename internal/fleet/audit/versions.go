package audit

import "maps"

// VersionCounts holds the numbers of live poolers that act on each version, from a given time.
type VersionCounts struct {
	At      int64                     `json:"At"`      // Unix time in ns
	Builds  map[string]int            `json:"Builds"`  // poolers by build
	Configs map[string]int            `json:"Configs"` // poolers by configuration digest
	Lists   map[uint64]map[uint64]int `json:"Handed"`  // poolers by token and sequence of their list; 0 and 0 if it was not announced
	Poolers int                       `json:"Poolers"` // number of live poolers
}

// Version identifies the build, configuration and list that a pooler acts on.
type Version struct {
	Build    string
	Config   string
	Token    uint64 // token of the list, if it was announced
	Sequence uint64 // sequence of the list, if it was announced
	Revision uint64
}

// countVersions returns the version counts after each record that may have changed them.
func countVersions(records []Record) []VersionCounts {
	var counts []VersionCounts
	live := map[string]Version{} // by instance
	for _, r := range records {
		if applyVersion(live, r) {
			counts = append(counts, newVersionCounts(r.At, live))
		}
	}
	return counts
}

// applyVersion applies a record to the versions of the live instances, and reports whether it may have changed them.
func applyVersion(live map[string]Version, r Record) bool {
	if r.Act == Ended {
		delete(live, r.Instance)
		return true
	}
	before, known := live[r.Instance]
	after := Version{Build: r.Build, Config: r.Config, Token: before.Token, Sequence: before.Sequence, Revision: r.Revision}
	switch r.Act {
	case Started: // earlier processes of the pooler have ended, even without a record
		maps.DeleteFunc(live, func(other string, _ Version) bool { return isSamePooler(other, r.Instance) })
	case ListApplied, ListAnnounced:
		after.Token = r.Token
		after.Sequence = r.Sequence
	}
	if known && after == before {
		return false
	}
	live[r.Instance] = after
	return true
}

// newVersionCounts returns the version counts of the live instances.
func newVersionCounts(at int64, live map[string]Version) VersionCounts {
	counts := VersionCounts{At: at, Builds: map[string]int{}, Configs: map[string]int{}, Lists: map[uint64]map[uint64]int{}, Poolers: len(live)}
	for _, version := range live {
		counts.Builds[version.Build]++
		counts.Configs[version.Config]++
		if counts.Lists[version.Token] == nil {
			counts.Lists[version.Token] = map[uint64]int{}
		}
		counts.Lists[version.Token][version.Sequence]++
	}
	return counts
}
