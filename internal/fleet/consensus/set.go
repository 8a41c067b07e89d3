package consensus

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/hashicorp/raft"

	"threadsail/internal/fleet/replication"
)

// voterSetKey is the document of who the stewards are to be.
const voterSetKey = "stewards/set"

// voterSet is who the stewards are to be, by the operators' newest file.
type voterSet struct {
	Revision uint64   `json:"revision"` // config_revision of the file that it was taken from
	Names    []string `json:"names"`
}

// SetVoters takes over the stewards that the operators' file names now, with its revision. Whoever leads changes the set, one steward
// at a time, additions first; the newest revision that any leader has met counts, so that one on an older file changes nothing
// back. Revision 0 changes nothing.
func (s *Voter) SetVoters(revision uint64, stewards []Peer) {
	want := voterSet{Revision: revision}
	s.streams.mu.Lock()
	for _, p := range stewards { // those that go are still to be reached until they have gone
		s.streams.addresses[raft.ServerAddress(p.Name)] = p.Addr
		want.Names = append(want.Names, p.Name)
	}
	s.streams.mu.Unlock()
	slices.Sort(want.Names)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wantedVoters = want
}

// reconcileVoters brings the set to what is wanted while this steward leads, a step in each time that an election takes.
func (s *Voter) reconcileVoters() {
	for {
		select {
		case <-s.shutdown:
			return
		case <-time.After(s.options.ElectionTimeout):
		}
		if _, _, ok := s.leaderClock(); ok {
			if err := s.reconcileOnce(); err != nil {
				s.log("steward: the set of stewards can't be changed: " + err.Error())
			}
		}
	}
}

// reconcileOnce writes a newer file's set into the log, or makes the first change that the set in the log asks for.
func (s *Voter) reconcileOnce() error {
	s.mu.Lock()
	want := s.wantedVoters
	s.mu.Unlock()
	s.state.mu.Lock()
	doc := s.state.documents.Get(voterSetKey)
	s.state.mu.Unlock()
	var now voterSet
	if doc.Version > 0 {
		if err := json.Unmarshal(doc.Value, &now); err != nil {
			return err
		}
	}
	if want.Revision > now.Revision && len(want.Names) > 0 {
		text, err := json.Marshal(want)
		if err != nil {
			return err
		}
		a := s.handle(request{Holder: s.options.Name, Put: &replication.Write{Key: voterSetKey, ExpectedVersion: doc.Version, Value: text}})
		if a.Error != "" {
			return fmt.Errorf("its document: %s", a.Error)
		}
		return nil // refused: another was quicker, and the next step looks again
	}
	if now.Revision == 0 {
		return nil
	}
	f := s.raft.GetConfiguration()
	if err := f.Error(); err != nil {
		return err
	}
	id, adds, ok := nextChange(f.Configuration(), now.Names)
	if !ok {
		return nil
	}
	s.streams.mu.Lock()
	_, known := s.streams.addresses[raft.ServerAddress(id)]
	s.streams.mu.Unlock()
	switch {
	case adds && !known:
		return fmt.Errorf("this steward's file has no address of %s", id)
	case adds:
		s.log(fmt.Sprintf("steward: %s is added", id))
		return s.raft.AddVoter(id, raft.ServerAddress(id), 0, membershipChangeTimeout).Error()
	default:
		s.log(fmt.Sprintf("steward: %s is removed", id))
		return s.raft.RemoveServer(id, 0, membershipChangeTimeout).Error()
	}
}

// membershipChangeTimeout is how long one change may wait to be begun.
const membershipChangeTimeout = 10 * time.Second

// nextChange is the next one from the stewards that there are to those that are wanted; ok false: there is none. Additions go first, so
// that the set never bears fewer losses than before.
func nextChange(now raft.Configuration, want []string) (id raft.ServerID, adds, ok bool) {
	has := func(name string) bool {
		return slices.ContainsFunc(now.Servers, func(s raft.Server) bool { return string(s.ID) == name })
	}
	for _, name := range want {
		if !has(name) {
			return raft.ServerID(name), true, true
		}
	}
	for _, s := range now.Servers {
		if !slices.Contains(want, string(s.ID)) {
			return s.ID, false, true
		}
	}
	return "", false, false
}
