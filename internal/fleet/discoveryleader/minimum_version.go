package discoveryleader

import "golang.org/x/mod/semver"

// MinimumVersion is the oldest build and configuration with which the operators allow poolers to act, as announced by the leader.
// The zero MinimumVersion allows all.
type MinimumVersion struct {
	Build          string // semantic version of the program, such as v1.4.0; empty: any
	ConfigRevision uint64 // configuration revision, as numbered by the operators
}

// Excludes reports whether a pooler with a build and a configuration revision is older than the minimum. A build that is not a
// semantic version is older than any other.
func (m MinimumVersion) Excludes(build string, configRevision uint64) bool {
	tooOld := m.Build != "" && semver.Compare(build, m.Build) < 0
	return tooOld || configRevision < m.ConfigRevision
}
