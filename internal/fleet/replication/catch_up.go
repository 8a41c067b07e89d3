package replication

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"
)

const (
	// fetchSpreadPerMember spreads the fetches of a fleet after a change, by so much for each member.
	fetchSpreadPerMember = 5 * time.Millisecond
	// memberFetchTimeout bounds the wait for a member's answer before another member is queried.
	memberFetchTimeout = 500 * time.Millisecond
	// voterFetchTimeout bounds a fetch from the voters.
	voterFetchTimeout = 2 * time.Second
	// maxSilentHeartbeats is for how many heartbeats nothing may be announced before the voters are queried.
	maxSilentHeartbeats = 5
)

// SnapshotFetcher fetches snapshots from the voters.
type SnapshotFetcher interface {
	// Fetch returns the documents if they are newer than a version; newer reports whether they are. With sure it asks the leading
	// voter, whose answer says that nothing newer was in the log, otherwise any voter.
	Fetch(ctx context.Context, since uint64, sure bool) (s Snapshot, newer bool, err error)
}

// catchUp brings the replica up to the newest version that was announced. When nothing is announced for maxSilentHeartbeats it asks
// the voters.
func (r *Replicator) catchUp(ctx context.Context) {
	maxSilence := maxSilentHeartbeats * r.HeartbeatInterval
	jitter := time.Duration(r.JitterFraction * float64(r.HeartbeatInterval))
	for ctx.Err() == nil {
		timer := time.NewTimer(maxSilence + jitter)
		select {
		case <-ctx.Done():
		case <-r.newerAnnounced:
			r.fetchNewest(ctx)
		case <-timer.C:
			if r.announcements.silence() >= maxSilence && r.Voters != nil {
				r.fetchFromVoters(ctx)
			}
		}
		timer.Stop()
	}
}

// fetchNewest fetches until the replica has the newest version that was announced: from any member, then from the member that
// announced it, then from the voters, and again.
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

// randomMember returns another member, drawn at random; "" if there is none.
func (r *Replicator) randomMember() string {
	drawn := ""
	others := 0
	for _, member := range r.Bus.Members() {
		if member == r.Bus.Self() {
			continue
		}
		others++
		if rand.IntN(others) == 0 { // so each of the others is drawn with the same probability
			drawn = member
		}
	}
	return drawn
}

// fetchFromMember asks a member for its snapshot, and waits for the answer, which handleSnapshot installs.
func (r *Replicator) fetchFromMember(ctx context.Context, member string) {
	if member == "" {
		return
	}
	select {
	case <-r.answerReceived: // of an earlier request, after its timeout
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
	case <-r.answerReceived:
	case <-ctx.Done():
	}
}

// fetchFromVoters asks the leading voter, whose answer confirms the replica, or any voter where the leading one does not answer.
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
		r.Log.Warn().Err(err).Msg("replication: documents can't be fetched from the voters")
		return
	}
	version := r.Replica.Version()
	if newer {
		r.install(snapshot)
		version = snapshot.Version
	}
	if confirmed {
		r.observe(confirmedVersion{version: version, at: requestedAt})
	}
}
