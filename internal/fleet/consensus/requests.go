package consensus

import (
	"encoding/json"
	"errors"

	"github.com/hashicorp/raft"

	"threadsail/internal/fleet/lease"
)

// handle handles a client's request and returns the response. Reads and lease requests that are certain to be denied are
// answered without a log entry; all others wait until an entry is committed and applied.
func (v *Voter) handle(r request) response {
	if r.Since != nil && !r.Linearizable {
		return v.fetchDocuments(*r.Since)
	}
	clock, err := v.leaderClock()
	switch {
	case err != nil:
		return notLeaderResponse(err)
	case r.Since != nil:
		if _, _, err := v.confirmLeadership(); err != nil {
			return response{Error: err.Error()}
		}
		return v.fetchDocuments(*r.Since)
	case r.Read != "":
		return v.readDocument(r.Read)
	}
	now := clock.At(v.monotonicNow())
	if r.Put == nil && !r.Release {
		// A denial needs no log entry. Hundreds of poolers request the same lease repeatedly and all but one are denied.
		if current, denied := v.state.wouldDeny(r.Lease, r.Holder, now); denied {
			return response{Lease: current}
		}
	}
	return v.propose(command{
		Command: lease.Command{
			Release:  r.Release,
			Name:     r.Lease,
			Holder:   r.Holder,
			Duration: r.Duration,
			Now:      now,
			RaftTerm: clock.RaftTerm,
		},
		Put: r.Put,
	})
}

// propose appends a command to the log, waits until it is committed and applied, and returns the state machine's response.
// ElectionTimeout bounds the wait for a place in the engine's queue.
func (v *Voter) propose(c command) response {
	encoded, err := json.Marshal(c)
	if err != nil {
		return response{Error: err.Error()}
	}
	future := v.raft.Apply(encoded, v.options.ElectionTimeout)
	if err := future.Error(); err != nil {
		return response{Error: err.Error(), MaybeApplied: !neverApplied(err)}
	}
	return future.Response().(response)
}

// neverApplied reports whether an error of raft.Apply guarantees that the command was not appended to the log.
func neverApplied(err error) bool {
	return errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrEnqueueTimeout) ||
		errors.Is(err, raft.ErrLeadershipTransferInProgress)
}

// readDocument returns a document by a linearizable read. The read sees every write that completed before the request: entries
// of earlier raft terms were applied before this voter started its clock (followLeadership), entries of this term are applied
// before their clients get a response, and confirmLeadership rules out that another leader has committed entries meanwhile.
func (v *Voter) readDocument(key string) response {
	if _, _, err := v.confirmLeadership(); err != nil {
		return response{Error: err.Error()}
	}
	document := v.state.document(key)
	return response{OK: true, Doc: &document}
}

// fetchDocuments returns all documents if this voter has a version newer than since. The documents may lag behind the leader's.
func (v *Voter) fetchDocuments(since uint64) response {
	snapshot, newer := v.state.documentsSince(since)
	if !newer {
		return response{OK: true}
	}
	return response{OK: true, State: &snapshot}
}
