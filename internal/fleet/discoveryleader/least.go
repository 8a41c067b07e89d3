package discoveryleader

import "golang.org/x/mod/semver"

// MinimumVersion is what the operators allow the fleet to act on, as a holder tells it. The zero Least allows anything.
type MinimumVersion struct {
	Build          string // version of the program, such as v1.4.0; empty: any
	ConfigRevision uint64 // revision of the configuration, as the operators count it
}

// Excludes tells whether a pooler of a build, on a revision of its configuration, is behind what is allowed. A build that is no
// version is behind every one.
func (l MinimumVersion) Excludes(build string, config uint64) bool {
	return l.Build != "" && semver.Compare(build, l.Build) < 0 || config < l.ConfigRevision
}
