package consensus

import (
	"encoding/json"
	"errors"

	"github.com/hashicorp/raft"

	"threadsail/internal/fleet/lease"
)

// handle answers a request, by itself or by an entry of the log.
func (v *Voter) handle(r request) response {
	if r.Since != nil && !r.Linearizable {
		return v.fetchDocuments(*r.Since)
	}
	clock, err := v.leaderClock()
	switch {
	case err != nil:
		return notDecided(err)
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
		// Without an entry of the log: of hundreds of candidates all but one are denied, again and again.
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

// propose has a command committed and applied, and returns its result.
func (v *Voter) propose(c command) response {
	text, err := json.Marshal(c)
	if err != nil {
		return response{Error: err.Error()}
	}
	future := v.raft.Apply(text, v.options.ElectionTimeout)
	if err := future.Error(); err != nil {
		return response{Error: err.Error(), MaybeApplied: !neverApplied(err)}
	}
	return future.Response().(response)
}

// neverApplied reports whether an error of raft.Apply says that the command was not taken into the log.
func neverApplied(err error) bool {
	return errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrEnqueueTimeout) ||
		errors.Is(err, raft.ErrLeadershipTransferInProgress)
}

// readDocument answers with a document as no older than the request: all entries of earlier raft terms have been applied
// (followLeadership), what this leader has decided since is applied before the client hears of it, and no other leader has
// decided anything meanwhile if a majority still follows this one.
func (v *Voter) readDocument(key string) response {
	if _, _, err := v.confirmLeadership(); err != nil {
		return response{Error: err.Error()}
	}
	document := v.state.document(key)
	return response{OK: true, Doc: &document}
}

// fetchDocuments answers with all documents, as old as they may be at this voter, if they are newer than a version.
func (v *Voter) fetchDocuments(since uint64) response {
	snapshot, newer := v.state.documentsSince(since)
	if !newer {
		return response{OK: true}
	}
	return response{OK: true, State: &snapshot}
}
