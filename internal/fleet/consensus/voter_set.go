package consensus

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"threadsail/internal/fleet/replication"
)

// voterSetKey is the key of the document with the desired voter set.
const voterSetKey = "stewards/set"

// voterSet is the desired set of voters, as configured in the operators' newest file.
type voterSet struct {
	Revision uint64   `json:"revision"` // config_revision of the file with the set
	Names    []string `json:"names"`    // sorted
}

// membershipChangeTimeout bounds the wait until the raft engine begins a membership change.
const membershipChangeTimeout = 10 * time.Second

// SetVoters sets the voter set of the operators' current file and the file's revision. The leader applies it by changing one
// voter at a time, additions first. Leaders apply the newest revision that any leader has seen, so a leader with an older file
// reverts nothing. A set of revision 0 is never applied.
func (v *Voter) SetVoters(revision uint64, voters []Peer) {
	desired := voterSet{Revision: revision}
	for _, peer := range voters { // a voter keeps its address after its removal, as it must be reachable until the removal is committed
		v.streams.setAddress(peer)
		desired.Names = append(desired.Names, peer.Name)
	}
	slices.Sort(desired.Names)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.desiredVoters = desired
}

// reconcileVoters changes the voter set to the desired one while this voter is the leader, with at most one change per
// ElectionTimeout. It returns at Close.
func (v *Voter) reconcileVoters() {
	for waitUnlessClosed(v.shutdown, v.options.ElectionTimeout) {
		if _, err := v.leaderClock(); err != nil {
			continue
		}
		if err := v.reconcileOnce(); err != nil {
			v.log.Warn().Err(err).Msg("voter: changing the voter set failed")
		}
	}
}

// reconcileOnce takes one step towards the desired voter set. If the operators' file is newer than the set in the log, it commits
// the file's set to the log; otherwise it makes the first membership change that the set in the log requires.
func (v *Voter) reconcileOnce() error {
	v.mu.Lock()
	desired := v.desiredVoters
	v.mu.Unlock()
	document := v.state.document(voterSetKey)
	var committed voterSet
	if document.Version > 0 {
		if err := json.Unmarshal(document.Value, &committed); err != nil {
			return err
		}
	}
	switch {
	case desired.Revision > committed.Revision && len(desired.Names) > 0:
		return v.commitVoterSet(desired, document.Version)
	case committed.Revision == 0:
		return nil
	}
	return v.changeMembership(committed.Names)
}

// commitVoterSet writes a voter set into the log, as the document voterSetKey.
func (v *Voter) commitVoterSet(desired voterSet, expectedVersion uint64) error {
	encoded, err := json.Marshal(desired)
	if err != nil {
		return err
	}
	write := replication.Write{Key: voterSetKey, ExpectedVersion: expectedVersion, Value: encoded}
	resp := v.handle(request{Holder: v.options.Name, Put: &write})
	if resp.Error != "" {
		return fmt.Errorf("write document of the voter set: %s", resp.Error)
	}
	return nil // a refusal means that another leader was faster; the next reconciliation reads the set it wrote
}

// changeMembership makes the next change of the raft configuration towards the desired names, if one is needed.
func (v *Voter) changeMembership(desired []string) error {
	future := v.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return err
	}
	id, add, found := nextChange(future.Configuration(), desired)
	switch {
	case !found:
		return nil
	case !add:
		v.log.Warn().Str("voter", string(id)).Msg("voter: removing a voter from the voter set")
		return v.raft.RemoveServer(id, 0, membershipChangeTimeout).Error()
	}
	if _, known := v.streams.address(raft.ServerAddress(id)); !known {
		return fmt.Errorf("no address is configured for voter %s", id)
	}
	v.log.Warn().Str("voter", string(id)).Msg("voter: adding a voter to the voter set")
	return v.raft.AddVoter(id, raft.ServerAddress(id), 0, membershipChangeTimeout).Error()
}

// nextChange returns the next membership change from the current to the desired voters. found is false if none is needed.
// Additions come first, so that the set never tolerates fewer failures than before.
func nextChange(current raft.Configuration, desired []string) (id raft.ServerID, add, found bool) {
	isVoter := func(name string) bool {
		return slices.ContainsFunc(current.Servers, func(s raft.Server) bool { return string(s.ID) == name })
	}
	for _, name := range desired {
		if !isVoter(name) {
			return raft.ServerID(name), true, true
		}
	}
	for _, s := range current.Servers {
		if !slices.Contains(desired, string(s.ID)) {
			return s.ID, false, true
		}
	}
	return "", false, false
}
