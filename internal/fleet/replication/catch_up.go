package replication

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"
)

const (
	// fetchSpreadPerMember is the interval over which fetches are spread after a change, per member of the fleet.
	fetchSpreadPerMember = 5 * time.Millisecond
	// memberFetchTimeout is the maximum wait for a member's response before another member is queried.
	memberFetchTimeout = 500 * time.Millisecond
	// voterFetchTimeout is the timeout of a fetch from the voters.
	voterFetchTimeout = 2 * time.Second
	// maxMissedHeartbeats is the number of heartbeat intervals without an announcement after which the voters are queried.
	maxMissedHeartbeats = 5
)

// SnapshotFetcher fetches snapshots from the voters.
type SnapshotFetcher interface {
	// Fetch returns a snapshot if the queried voter has one that is newer than the version since; newer reports whether it has. If
	// linearizable is set, Fetch queries the leader, whose snapshot is the newest in the log at the time of the request. Otherwise it
	// queries any voter.
	Fetch(ctx context.Context, since uint64, linearizable bool) (snapshot Snapshot, newer bool, err error)
}

// catchUp fetches newer versions whenever one is announced, until ctx ends. If there are no announcements for maxMissedHeartbeats, it
// queries the voters.
func (r *Replicator) catchUp(ctx context.Context) {
	maxGap := maxMissedHeartbeats * r.HeartbeatInterval
	jitter := time.Duration(r.JitterFraction * float64(r.HeartbeatInterval))
	for ctx.Err() == nil {
		timer := time.NewTimer(maxGap + jitter)
		select {
		case <-ctx.Done():
		case <-r.newerAnnounced:
			r.fetchNewest(ctx)
		case <-timer.C:
			if r.announcements.timeSinceLast() >= maxGap && r.Voters != nil {
				r.fetchFromVoters(ctx)
			}
		}
		timer.Stop()
	}
}

// fetchNewest fetches snapshots until the replica has the newest announced version or ctx ends. Its attempts cycle through a random
// member, the member that announced the version, and the voters. Before the first attempt it waits, for a time that depends on
// JitterFraction, so that the members don't all fetch at once.
func (r *Replicator) fetchNewest(ctx context.Context) {
	sleep(ctx, time.Duration(r.JitterFraction*float64(fetchSpreadPerMember)*float64(r.Bus.Size())))
	for attempt := 0; ctx.Err() == nil; attempt++ {
		newest := r.announcements.newestVersion()
		if r.Replica.Version() >= newest.version {
			return
		}
		switch attempt % 3 {
		case 0:
			r.fetchFromMember(ctx, r.randomMember())
		case 1:
			r.fetchFromMember(ctx, newest.announcedBy)
		default:
			if r.Voters != nil {
				r.fetchFromVoters(ctx)
			}
			sleep(ctx, r.HeartbeatInterval)
		}
	}
}

// randomMember returns another member, chosen at random, or "" if there is none.
func (r *Replicator) randomMember() string {
	chosen := ""
	others := 0
	for _, member := range r.Bus.Members() {
		if member == r.Bus.Self() {
			continue
		}
		others++
		if rand.IntN(others) == 0 { // reservoir sampling: each of the others is equally likely
			chosen = member
		}
	}
	return chosen
}

// fetchFromMember requests a snapshot from a member and waits for the response, which handleSnapshot installs. It returns after
// memberFetchTimeout at the latest.
func (r *Replicator) fetchFromMember(ctx context.Context, member string) {
	if member == "" {
		return
	}
	select {
	case <-r.responseReceived: // discard a response to an earlier request that timed out
	default:
	}
	body, err := json.Marshal(fetchRequest(r.Replica.Version()))
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, memberFetchTimeout)
	defer cancel()
	if r.Bus.Send(ctx, member, r.busTopic(topicFetch), body) != nil {
		return
	}
	select {
	case <-r.responseReceived:
	case <-ctx.Done():
	}
}

// fetchFromVoters fetches a snapshot from the leader, whose response also confirms the replica. If the leader can't be reached, it
// fetches from any voter.
func (r *Replicator) fetchFromVoters(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, voterFetchTimeout)
	defer cancel()
	requestedAt := time.Now()
	snapshot, newer, err := r.Voters.Fetch(ctx, r.Replica.Version(), true)
	confirmed := err == nil
	if !confirmed {
		snapshot, newer, err = r.Voters.Fetch(ctx, r.Replica.Version(), false)
	}
	if err != nil {
		r.Log.Warn().Err(err).Msg("replication: fetching documents from the voters failed")
		return
	}
	version := r.Replica.Version()
	if newer {
		r.install(snapshot)
		version = snapshot.Version
	}
	if confirmed {
		r.observe(confirmedVersion{version: version, asOf: requestedAt})
	}
}
