package consensus

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"threadsail/internal/fleet/replication"
)

// voterSetKey is the key of the document that says who the voters are to be.
const voterSetKey = "stewards/set"

// voterSet is who the voters are to be, by the operators' newest file.
type voterSet struct {
	Revision uint64   `json:"revision"` // config_revision of the file that the set was taken from
	Names    []string `json:"names"`
}

// membershipChangeTimeout is how long one change of the set may wait to be begun.
const membershipChangeTimeout = 10 * time.Second

// SetVoters takes over the voters that the operators' file names now, with its revision. Whoever leads changes the set, one
// voter at a time, additions first. The newest revision that any leader has seen counts, so that a leader with an older file
// reverts nothing. Revision 0 changes nothing.
func (v *Voter) SetVoters(revision uint64, voters []Peer) {
	wanted := voterSet{Revision: revision}
	for _, p := range voters { // those that are removed must be reachable until they are
		v.streams.setAddress(p)
		wanted.Names = append(wanted.Names, p.Name)
	}
	slices.Sort(wanted.Names)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.wantedVoters = wanted
}

// reconcileVoters brings the set to what is wanted while this voter is the leader, a change in each ElectionTimeout, until
// Close.
func (v *Voter) reconcileVoters() {
	for waitUnlessClosed(v.shutdown, v.options.ElectionTimeout) {
		if _, err := v.leaderClock(); err != nil {
			continue
		}
		if err := v.reconcileOnce(); err != nil {
			v.log.Warn().Err(err).Msg("voter: set of voters can't be changed")
		}
	}
}

// reconcileOnce writes the set of a newer file into the log, or makes the first change that the set in the log asks for.
func (v *Voter) reconcileOnce() error {
	v.mu.Lock()
	wanted := v.wantedVoters
	v.mu.Unlock()
	document := v.state.document(voterSetKey)
	var committed voterSet
	if document.Version > 0 {
		if err := json.Unmarshal(document.Value, &committed); err != nil {
			return err
		}
	}
	switch {
	case wanted.Revision > committed.Revision && len(wanted.Names) > 0:
		return v.commitVoterSet(wanted, document.Version)
	case committed.Revision == 0:
		return nil
	}
	return v.changeMembership(committed.Names)
}

// commitVoterSet writes the set of a newer file into the log.
func (v *Voter) commitVoterSet(wanted voterSet, expectedVersion uint64) error {
	text, err := json.Marshal(wanted)
	if err != nil {
		return err
	}
	write := replication.Write{Key: voterSetKey, ExpectedVersion: expectedVersion, Value: text}
	out := v.handle(request{Holder: v.options.Name, Put: &write})
	if out.Error != "" {
		return fmt.Errorf("its document: %s", out.Error)
	}
	return nil // a refusal says that another leader was quicker: the next reconciliation reads its set
}

// changeMembership makes the next change of the raft configuration towards the names wanted, if there is one.
func (v *Voter) changeMembership(wanted []string) error {
	future := v.raft.GetConfiguration()
	if err := future.Error(); err != nil {
		return err
	}
	id, add, found := nextChange(future.Configuration(), wanted)
	switch {
	case !found:
		return nil
	case !add:
		v.log.Warn().Str("voter", string(id)).Msg("voter: removed from the set")
		return v.raft.RemoveServer(id, 0, membershipChangeTimeout).Error()
	}
	if _, known := v.streams.address(raft.ServerAddress(id)); !known {
		return fmt.Errorf("this voter's file has no address of %s", id)
	}
	v.log.Warn().Str("voter", string(id)).Msg("voter: added to the set")
	return v.raft.AddVoter(id, raft.ServerAddress(id), 0, membershipChangeTimeout).Error()
}

// nextChange is the next change from the voters that there are to those wanted; found false: there is none. Additions come
// first, so that the set never tolerates fewer failures than before.
func nextChange(current raft.Configuration, wanted []string) (id raft.ServerID, add, found bool) {
	isVoter := func(name string) bool {
		return slices.ContainsFunc(current.Servers, func(s raft.Server) bool { return string(s.ID) == name })
	}
	for _, name := range wanted {
		if !isVoter(name) {
			return raft.ServerID(name), true, true
		}
	}
	for _, s := range current.Servers {
		if !slices.Contains(wanted, string(s.ID)) {
			return s.ID, false, true
		}
	}
	return "", false, false
}
