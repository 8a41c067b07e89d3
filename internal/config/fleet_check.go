package config

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/mod/semver"
)

// Bounds of the fleet's times, and of the number of its voters.
const (
	MinTerm             = 300 * time.Millisecond
	maxTerm             = time.Minute
	minClockDrift       = time.Millisecond
	minElectionTimeout  = 50 * time.Millisecond
	MaxVoters           = 7
	maxStragglerTimeout = time.Hour
)

// Bounds of the journal.
const (
	minJournalBytes = 64 << 10
	maxJournalBytes = 1 << 30
	maxRotated      = 100
)

// checks returns a check for each key that needs no other package, in the order in which mistakes are reported.
func (f *Fleet) checks() []keyCheck {
	return []keyCheck{
		{"name", f.checkName()},
		{"listen", f.checkListen()},
		{"advertise", f.checkAdvertise()},
		{"peers", checkPeers("peers", f.Peers)},
		{"stewards", checkPeers("stewards", f.Voters)},
		{"stewards", f.checkVoters()},
		{"journal", f.Journal.check()},
		{"least_build", f.checkMinBuild()},
		{"least_config", f.checkMinConfigRevision()},
		{"straggler_ms", within("straggler_ms", f.StragglerTimeout, 4*f.Term, maxStragglerTimeout)}, // three terms may pass until a pooler polls by itself
		{"term_ms", within("term_ms", f.Term, MinTerm, maxTerm)},
		{"drift_ms", within("drift_ms", f.MaxClockDrift, minClockDrift, f.Term/4)}, // a lease is used for two thirds of its term at least
		{"election_ms", within("election_ms", f.ElectionTimeout, minElectionTimeout, f.Term)},
	}
}

func (f *Fleet) checkName() error {
	if f.Name == "" {
		return errors.New("name: missing, here and in PROXY_CONFIG")
	}
	return nil
}

// checkListen checks the address for other poolers, which only poolers that gossip need.
func (f *Fleet) checkListen() error {
	if !f.UsesGossip() {
		return nil
	}
	return ipAddress("listen", f.Listen)
}

func (f *Fleet) checkAdvertise() error {
	if f.Advertise == "" {
		return nil
	}
	return ipAddress("advertise", f.Advertise)
}

// checkPeers checks that each of the list at a key has a name of its own and an address.
func checkPeers(key string, peers []Peer) error {
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

// checkVoters checks the number of the consensus's voters, and what this pooler needs if it is one.
func (f *Fleet) checkVoters() error {
	n := len(f.Voters)
	switch {
	case n == 0 || n%2 == 0 || n > MaxVoters:
		return fmt.Errorf("stewards: %d are named, not an odd number up to %d: an even one bears no more losses", n, MaxVoters)
	case f.Voter.Listen == "":
		return nil
	case f.Voter.Dir == "":
		return errors.New("steward.dir: missing")
	case !slices.ContainsFunc(f.Voters, func(p Peer) bool { return p.Name == f.Name }):
		return fmt.Errorf("stewards: this pooler, %q, is a steward and not among them", f.Name)
	}
	return ipAddress("steward.listen", f.Voter.Listen)
}

func (f *Fleet) checkMinConfigRevision() error {
	if f.MinConfigRevision > f.ConfigRevision {
		return fmt.Errorf("least_config: %d is above this file's own config_revision, %d", f.MinConfigRevision, f.ConfigRevision)
	}
	return nil
}

func (f *Fleet) checkMinBuild() error {
	if f.MinBuild != "" && !semver.IsValid(f.MinBuild) {
		return fmt.Errorf("least_build: %q is no version such as v1.4.0", f.MinBuild)
	}
	return nil
}

func (j JournalConfig) check() error {
	switch {
	case j.MaxBytes < minJournalBytes || j.MaxBytes > maxJournalBytes:
		return fmt.Errorf("journal.max_mb: %d bytes are not from 64 KiB to 1 GiB", j.MaxBytes)
	case j.MaxRotated < 0 || j.MaxRotated > maxRotated:
		return fmt.Errorf("journal.keep: %d is not from 0 to %d", j.MaxRotated, maxRotated)
	}
	return nil
}
