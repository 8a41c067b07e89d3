package consensus

import (
	"errors"
	"time"

	"github.com/hashicorp/raft"

	"threadsail/internal/fleet/lease"
)

// notLeaderError is the error of an operation that only the leader can perform.
type notLeaderError struct {
	leader string // name of the current leader; empty if unknown
}

// Error implements error. The text is sent to clients.
func (notLeaderError) Error() string { return "not the leader" }

// followLeadership tracks this voter's leadership until Close. It starts the leader's clock once all entries of earlier raft
// terms have been applied, and clears it when the leadership changes.
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

// beginLeadership waits until all earlier entries have been applied, and starts the leader's clock for a raft term.
func (v *Voter) beginLeadership(raftTerm uint64) {
	if !v.awaitBarrier(raftTerm) {
		return // the leadership was lost, or the voter is closing
	}
	v.setClock(v.state.startClock(raftTerm, v.monotonicNow()))
	v.log.Warn().Str("voter", v.options.Name).Uint64("raft_term", raftTerm).Msg("voter: became leader")
}

func (v *Voter) setClock(c lease.Clock) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.clock = c
}

// awaitBarrier waits until all entries of earlier raft terms have been applied, and reports whether this voter is still the
// leader of the raft term. It retries without a limit on a slow disk: if it gave up, the voter would stay the leader without a
// clock, so it would serve no requests and no other leader would be elected.
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

// leaderClock returns the leader's clock. It returns a notLeaderError if this voter is not the leader or has not started the
// clock yet.
func (v *Voter) leaderClock() (lease.Clock, error) {
	v.mu.Lock()
	clock := v.clock
	v.mu.Unlock()
	if v.raft.State() == raft.Leader && clock.RaftTerm != 0 && clock.RaftTerm == v.raft.CurrentTerm() {
		return clock, nil
	}
	_, leader := v.raft.LeaderWithID()
	if string(leader) == v.options.Name {
		leader = "" // this voter is gaining or losing the leadership and can't serve requests
	}
	return lease.Clock{}, notLeaderError{leader: string(leader)}
}

// confirmLeadership verifies with a majority of the voters that this voter is still the leader. It returns the version of the
// documents and the time at which the verification began. The error is a notLeaderError or an error of the raft engine.
func (v *Voter) confirmLeadership() (version uint64, requestedAt time.Time, err error) {
	if _, err := v.leaderClock(); err != nil {
		return 0, time.Time{}, err
	}
	requestedAt = time.Now()
	if err := v.raft.VerifyLeader().Error(); err != nil {
		return 0, requestedAt, err
	}
	if _, err := v.leaderClock(); err != nil {
		return 0, requestedAt, err
	}
	return v.state.documentsVersion(), requestedAt, nil
}

// ConfirmVersion returns the version of the documents and an instant at which a majority of the voters had no newer version. ok
// is false if this voter is not the leader. ConfirmVersion blocks until a majority responds or the leadership is lost, for an
// election timeout at most.
func (v *Voter) ConfirmVersion() (version uint64, asOf time.Time, ok bool) {
	version, asOf, err := v.confirmLeadership()
	return version, asOf, err == nil
}

// notLeaderResponse returns the response to a request that only the leader can handle, with the leader's name if err has it.
func notLeaderResponse(err error) response {
	resp := response{Error: err.Error()}
	var notLeader notLeaderError
	if errors.As(err, &notLeader) {
		resp.Leader = notLeader.leader
	}
	return resp
}
