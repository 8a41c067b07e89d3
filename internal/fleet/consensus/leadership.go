package consensus

import (
	"errors"
	"time"

	"github.com/hashicorp/raft"

	"threadsail/internal/fleet/lease"
)

// notLeaderError says that this voter is not the leader.
type notLeaderError struct {
	leader string // "": none is known
}

// Error is sent to clients as it stands.
func (notLeaderError) Error() string { return "not the leader" }

// followLeadership sets the leader's clock once all entries of earlier raft terms have been applied, and unsets it when the
// leadership is lost, until Close.
func (v *Voter) followLeadership() {
	for {
		select {
		case <-v.shutdown:
			return
		case leading := <-v.raft.LeaderCh():
			v.setClock(lease.Clock{})
			if leading {
				v.beginLeadership(v.raft.CurrentTerm())
			}
		}
	}
}

// beginLeadership starts the clock of a raft term in which this voter is the leader.
func (v *Voter) beginLeadership(raftTerm uint64) {
	if !v.awaitBarrier(raftTerm) {
		return // the leadership has been lost again
	}
	v.setClock(v.state.startClock(raftTerm, v.monotonicNow()))
	v.log.Warn().Str("voter", v.options.Name).Uint64("raft_term", raftTerm).Msg("voter: leads")
}

func (v *Voter) setClock(c lease.Clock) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.clock = c
}

// awaitBarrier waits until all entries of earlier raft terms have been applied, however slow the disk is, and reports whether
// this voter still is the leader of the raft term: a leader without a clock would answer nobody, and no other would be elected.
func (v *Voter) awaitBarrier(raftTerm uint64) bool {
	for v.raft.Barrier(v.options.ElectionTimeout).Error() != nil {
		if v.raft.State() != raft.Leader || v.raft.CurrentTerm() != raftTerm {
			return false
		}
		if !waitUnlessClosed(v.shutdown, v.options.ElectionTimeout/10) {
			return false
		}
	}
	return true
}

// leaderClock is this voter's clock as the leader. The error is a notLeaderError.
func (v *Voter) leaderClock() (lease.Clock, error) {
	v.mu.Lock()
	clock := v.clock
	v.mu.Unlock()
	if v.raft.State() == raft.Leader && clock.RaftTerm != 0 && clock.RaftTerm == v.raft.CurrentTerm() {
		return clock, nil
	}
	_, leader := v.raft.LeaderWithID()
	if string(leader) == v.options.Name {
		leader = "" // this voter has just become the leader, or has just stopped being it
	}
	return lease.Clock{}, notLeaderError{leader: string(leader)}
}

// confirmLeadership asks a majority whether this voter still is the leader, and returns the documents' version then and when
// it asked.
func (v *Voter) confirmLeadership() (version uint64, askedAt time.Time, err error) {
	if _, err := v.leaderClock(); err != nil {
		return 0, time.Time{}, err
	}
	askedAt = time.Now()
	if err := v.raft.VerifyLeader().Error(); err != nil {
		return 0, askedAt, err
	}
	if _, err := v.leaderClock(); err != nil {
		return 0, askedAt, err
	}
	return v.state.documentsVersion(), askedAt, nil
}

// ConfirmVersion returns the version of the documents than which nothing was newer at a time, by a majority; ok false: this
// voter is not the leader. It waits for the other voters, as long as an election takes at most.
func (v *Voter) ConfirmVersion() (version uint64, at time.Time, ok bool) {
	version, at, err := v.confirmLeadership()
	return version, at, err == nil
}

// notDecided is the response to a request that a voter which is not the leader got.
func notDecided(err error) response {
	out := response{Error: err.Error()}
	var notLeader notLeaderError
	if errors.As(err, &notLeader) {
		out.Leader = notLeader.leader
	}
	return out
}
