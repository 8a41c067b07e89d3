package replication

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/fleet/bus"
)

// topic is the kind of a message between replicators. On the bus it is prefixed with the replica's name.
type topic string

// Topics, as sent on the wire.
const (
	topicAnnouncement topic = "/word"  // broadcast by the process whose voter is the leader; the body is an announcement
	topicFetch        topic = "/want"  // request to a member; the body is a fetchRequest
	topicSnapshot     topic = "/state" // response; the body is the sender's Snapshot, or empty if that is not newer
)

// fetchRequest is a request for a snapshot. Its value is the version of the requester's replica.
type fetchRequest uint64

// defaultReplicaName is the bus name of the replica of the fleet's shared documents.
const defaultReplicaName = "shared"

const (
	// maxTransfers is the maximum number of snapshots sent to other members at the same time. Further requests are dropped, and the
	// requesters query another member.
	maxTransfers = 4
	// minAnnouncementInterval is the minimum time between two announcements, each of which is a datagram to every member.
	minAnnouncementInterval = 50 * time.Millisecond
	// snapshotSendTimeout is the timeout of sending a snapshot to another member.
	snapshotSendTimeout = 2 * time.Second
)

// ReplicatorOptions configure a Replicator.
type ReplicatorOptions struct {
	Name    string // bus name of the replica; defaults to defaultReplicaName
	Bus     bus.Bus
	Replica *Replica
	Voters  SnapshotFetcher // nil if no voter can be queried
	// Confirm returns the newest version in the log and an instant as of which it was the newest. ok is false if this process is not
	// the leader. For the shared documents it is consensus.Voter.ConfirmVersion; for other replicas it is provided by the process that
	// writes them. nil means that this process is never the leader.
	Confirm           func() (version uint64, asOf time.Time, ok bool)
	HeartbeatInterval time.Duration // between announcements; a third of a lease's term
	JitterFraction    float64       // in [0, 1); delays this pooler's fetches relative to those of the other members
	Log               zerolog.Logger
}

// Replicator keeps a replica up to date. It applies announcements of the process whose voter is the leader, fetches snapshots from
// members that have the announced version, and queries the voters as a last resort.
type Replicator struct {
	ReplicatorOptions
	announcements       announcementTracker
	transferSlots       chan struct{} // semaphore of maxTransfers; holds an element for each snapshot being sent
	newerAnnounced      chan struct{} // wakes catchUp when a version newer than the replica's is announced
	responseReceived    chan struct{} // wakes fetchFromMember when a member responds to a fetchRequest
	logReplicaAheadOnce sync.Once
}

// StartReplicator starts a Replicator, which runs until ctx ends, and returns without waiting for it. The handlers that it registers
// on the bus are not removed.
func StartReplicator(ctx context.Context, opts ReplicatorOptions) {
	if opts.Name == "" {
		opts.Name = defaultReplicaName
	}
	r := &Replicator{
		ReplicatorOptions: opts,
		transferSlots:     make(chan struct{}, maxTransfers),
		newerAnnounced:    make(chan struct{}, 1),
		responseReceived:  make(chan struct{}, 1),
	}
	r.announcements.lastObservedAt = time.Now()
	opts.Bus.Handle(r.busTopic(topicAnnouncement), r.handleAnnouncement)
	opts.Bus.Handle(r.busTopic(topicFetch), r.handleFetch)
	opts.Bus.Handle(r.busTopic(topicSnapshot), r.handleSnapshot)
	if opts.Confirm != nil {
		go r.announce(ctx) // ends with ctx
	}
	go r.catchUp(ctx) // ends with ctx
}

// busTopic returns the name of a topic on the bus.
func (r *Replicator) busTopic(t topic) string { return r.Name + string(t) }

// announce broadcasts the newest version at each heartbeat and after each change while this process is the leader, until ctx ends.
func (r *Replicator) announce(ctx context.Context) {
	announcements := announcer{interval: r.HeartbeatInterval}
	for ctx.Err() == nil {
		changed := r.Replica.Changed()
		if version, confirmedAt, ok := r.Confirm(); ok {
			r.observe(confirmedVersion{version: version, asOf: confirmedAt})
			next := announcements.next(version, confirmedAt, r.Replica.Snapshot())
			if body, err := json.Marshal(next); err == nil {
				r.Bus.Broadcast(r.busTopic(topicAnnouncement), body)
			}
		}
		sleep(ctx, minAnnouncementInterval)
		timer := time.NewTimer(r.HeartbeatInterval - minAnnouncementInterval)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// handleAnnouncement applies an announcement's delta if it applies to the replica's version, and confirms the replica.
func (r *Replicator) handleAnnouncement(from string, body []byte) {
	var a announcement
	if err := json.Unmarshal(body, &a); err != nil {
		r.Log.Warn().Err(err).Str("from", from).Msg("replication: announcement can't be decoded")
		return
	}
	confirmedAt := ConfirmationTime(time.Now(), a.ConfirmedAtUnixNano, a.Age)
	if a.Delta != nil {
		if next, ok := a.Delta.ApplyTo(r.Replica.Snapshot()); ok {
			r.Replica.Install(next)
		}
	}
	r.observe(confirmedVersion{version: a.Version, asOf: confirmedAt, announcedBy: from})
}

// observe records an announced version, confirms the replica with the newest one recorded, and wakes catchUp if the replica lags
// behind.
func (r *Replicator) observe(v confirmedVersion) {
	newest := r.announcements.observe(v)
	if !r.Replica.Confirm(newest.version, newest.asOf) {
		r.logReplicaAhead(newest.version)
	}
	if newest.version > r.Replica.Version() {
		select {
		case r.newerAnnounced <- struct{}{}:
		default:
		}
	}
}

// logReplicaAhead logs, once, that the replica is newer than an announced version, which means that it stems from a log that the
// voters have lost. If clocks differ by more than an announcement's delay, the line can also be caused by an announcement that arrived
// after the replica had moved on; such an announcement confirms nothing.
func (r *Replicator) logReplicaAhead(announcedVersion uint64) {
	r.logReplicaAheadOnce.Do(func() {
		r.Log.Warn().Uint64("announced_version", announcedVersion).Uint64("replica_version", r.Replica.Version()).
			Msg("replication: replica is newer than the voters' log; if that log was recreated, stop this pooler, empty shared.dir and start it again")
	})
}

// handleFetch responds to a member's fetchRequest on a new goroutine. Without a free transfer slot it drops the request.
func (r *Replicator) handleFetch(from string, body []byte) {
	var request fetchRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return
	}
	select {
	case r.transferSlots <- struct{}{}:
	default:
		return // the requester queries another member after its timeout
	}
	go func() { // ends once the snapshot is sent, after snapshotSendTimeout at the latest
		defer func() { <-r.transferSlots }()
		r.sendSnapshot(from, uint64(request))
	}()
}

// sendSnapshot sends the replica's snapshot to a member, or an empty body if the snapshot is not newer than the version since.
func (r *Replicator) sendSnapshot(to string, since uint64) {
	var body []byte
	if snapshot := r.Replica.Snapshot(); snapshot.Version > since {
		var err error
		if body, err = json.Marshal(snapshot); err != nil {
			r.Log.Warn().Err(err).Msg("replication: snapshot can't be encoded")
			return
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), snapshotSendTimeout)
	defer cancel()
	_ = r.Bus.Send(ctx, to, r.busTopic(topicSnapshot), body) // after an error the requester queries another member
}

// handleSnapshot installs a member's snapshot if it is newer than the replica, and wakes fetchFromMember.
func (r *Replicator) handleSnapshot(from string, body []byte) {
	if len(body) > 0 {
		var snapshot Snapshot
		if err := json.Unmarshal(body, &snapshot); err != nil {
			r.Log.Warn().Err(err).Str("from", from).Msg("replication: snapshot can't be decoded")
			return
		}
		r.install(snapshot)
	}
	select {
	case r.responseReceived <- struct{}{}:
	default:
	}
}

// install installs a snapshot if it is newer than the replica, and confirms the replica with the newest announcement.
func (r *Replicator) install(s Snapshot) {
	r.Replica.Install(s)
	newest := r.announcements.newestVersion()
	r.Replica.Confirm(newest.version, newest.asOf)
}
