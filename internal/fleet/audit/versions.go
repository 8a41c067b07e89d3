package audit

import "maps"

// VersionCounts is how many live poolers acted on each version from a time on.
type VersionCounts struct {
	At      int64                     `json:"At"`      // Unix ns
	Builds  map[string]int            `json:"Builds"`  // poolers by build
	Configs map[string]int            `json:"Configs"` // poolers by digest of the configuration
	Lists   map[uint64]map[uint64]int `json:"Handed"`  // poolers by the token and number of their list; 0, 0: of an own call
	Poolers int                       `json:"Poolers"`
}

// Version is what a pooler acts on.
type Version struct {
	Build    string
	Config   string
	Token    uint64 // of the list, if it was announced
	Sequence uint64 // of the list, likewise
	Revision uint64
}

// countVersions counts the versions over time, each time that they change.
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
	case Started: // an earlier process of the pooler was killed
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

// newVersionCounts counts the versions of the live instances.
func newVersionCounts(at int64, live map[string]Version) VersionCounts {
	c := VersionCounts{At: at, Builds: map[string]int{}, Configs: map[string]int{}, Lists: map[uint64]map[uint64]int{}, Poolers: len(live)}
	for _, v := range live {
		c.Builds[v.Build]++
		c.Configs[v.Config]++
		if c.Lists[v.Token] == nil {
			c.Lists[v.Token] = map[uint64]int{}
		}
		c.Lists[v.Token][v.Sequence]++
	}
	return c
}
