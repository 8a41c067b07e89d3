package discoveryleader

import "golang.org/x/mod/semver"

// MinimumVersion is what the operators allow the fleet to act on, as the leader announces it. The zero MinimumVersion allows
// everything.
type MinimumVersion struct {
	Build          string // version of the program, such as v1.4.0; empty: any
	ConfigRevision uint64 // revision of the configuration, as the operators count it
}

// Excludes reports whether a pooler of a build, on a revision of its configuration, is older than what is allowed. A build
// that is no semantic version is older than every one.
func (m MinimumVersion) Excludes(build string, configRevision uint64) bool {
	tooOld := m.Build != "" && semver.Compare(build, m.Build) < 0
	return tooOld || configRevision < m.ConfigRevision
}
