package replication

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/fleet/bus"
)

// topic is what a message between replicators is about. On the bus it stands behind the replica's name.
type topic string

// The topics. Their texts are those of the wire.
const (
	topicAnnouncement topic = "/word"  // to all members: announcement, by the process whose voter leads
	topicFetch        topic = "/want"  // to one member: fetchRequest
	topicSnapshot     topic = "/state" // the answer: the sender's Snapshot, or an empty body if it is not newer
)

// fetchRequest asks for a snapshot that is newer than a version.
type fetchRequest uint64

// defaultReplicaName is the name on the bus of the replica of the fleet's documents.
const defaultReplicaName = "shared"

const (
	// maxTransfers bounds the snapshots on their way to other members at once. A member whose request finds none free asks another.
	maxTransfers = 4
	// minAnnouncementInterval is the least time between two announcements: each is a datagram to every member.
	minAnnouncementInterval = 50 * time.Millisecond
	// snapshotSendTimeout bounds the sending of a snapshot to another member.
	snapshotSendTimeout = 2 * time.Second
)

// ReplicatorOptions say which replica is kept up to date, and from what.
type ReplicatorOptions struct {
	Name    string // of the replica, among those on the bus; empty: defaultReplicaName
	Bus     bus.Bus
	Replica *Replica
	Voters  SnapshotFetcher // nil: no voter can be queried
	// Confirm returns the newest version in the log and an instant as of which it was the newest; ok is false while this process
	// does not lead. It is consensus.Voter.ConfirmVersion, or, for another replica, of the process that writes it. nil: this process never
	// leads.
	Confirm           func() (version uint64, at time.Time, ok bool)
	HeartbeatInterval time.Duration // between announcements: a third of a lease's term
	JitterFraction    float64       // from 0 up to 1: this pooler's place among those that fetch at once
	Log               zerolog.Logger
}

// Replicator keeps a replica as new as what can be reached: by announcements of the process whose voter leads, by snapshots of any
// member that has the announced version, and by the voters as the last resort.
type Replicator struct {
	ReplicatorOptions
	announcements  announcementTracker
	transferSlots  chan struct{} // holds an element for each snapshot on its way to a member
	newerAnnounced chan struct{} // wakes catchUp: a version newer than the replica's was announced
	answerReceived chan struct{} // wakes fetchFromMember: a member has answered a fetchRequest
	logForeignOnce sync.Once
}

// StartReplicator keeps a replica up to date until ctx ends. It returns at once. The handlers that it sets on the bus stay there.
func StartReplicator(ctx context.Context, o ReplicatorOptions) {
	if o.Name == "" {
		o.Name = defaultReplicaName
	}
	r := &Replicator{
		ReplicatorOptions: o,
		transferSlots:     make(chan struct{}, maxTransfers),
		newerAnnounced:    make(chan struct{}, 1),
		answerReceived:    make(chan struct{}, 1),
	}
	r.announcements.lastObservedAt = time.Now()
	o.Bus.Handle(r.busTopic(topicAnnouncement), r.handleAnnouncement)
	o.Bus.Handle(r.busTopic(topicFetch), r.handleFetch)
	o.Bus.Handle(r.busTopic(topicSnapshot), r.handleSnapshot)
	if o.Confirm != nil {
		go r.announce(ctx) // ends with ctx
	}
	go r.catchUp(ctx) // ends with ctx
}

// busTopic returns a topic as it stands on the bus.
func (r *Replicator) busTopic(t topic) string { return r.Name + string(t) }

// announce announces the newest version at each heartbeat and at each change, while this process leads.
func (r *Replicator) announce(ctx context.Context) {
	announcements := announcer{interval: r.HeartbeatInterval}
	for ctx.Err() == nil {
		changed := r.Replica.Changed()
		if version, confirmedAt, ok := r.Confirm(); ok {
			r.observe(confirmedVersion{version: version, at: confirmedAt})
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

// handleAnnouncement applies an announcement's delta if it fits, and confirms the replica.
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
	r.observe(confirmedVersion{version: a.Version, at: confirmedAt, announcedBy: from})
}

// observe records a version that was the newest at an instant, confirms the replica by the newest that is known, and wakes catchUp if
// the replica lags.
func (r *Replicator) observe(v confirmedVersion) {
	newest := r.announcements.observe(v)
	if !r.Replica.Confirm(newest.version, newest.at) {
		r.logForeign(newest.version)
	}
	if newest.version > r.Replica.Version() {
		select {
		case r.newerAnnounced <- struct{}{}:
		default:
		}
	}
}

// logForeign logs, once, that the replica is of a log that the voters no longer have. Where clocks differ by more than an announcement
// takes, the line can be about an announcement that was overtaken by the replica; that announcement then confirms nothing.
func (r *Replicator) logForeign(announced uint64) {
	r.logForeignOnce.Do(func() {
		r.Log.Warn().Uint64("announced_version", announced).Uint64("replica_version", r.Replica.Version()).
			Msg("replication: replica is newer than the voters' log; if that log has begun anew, stop this pooler, empty shared.dir and start it")
	})
}

// handleFetch sends the replica's snapshot to a member, if it is newer than the member's.
func (r *Replicator) handleFetch(from string, body []byte) {
	var request fetchRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return
	}
	select {
	case r.transferSlots <- struct{}{}:
	default:
		return // the member asks another
	}
	go func() { // ends with the sending, which snapshotSendTimeout bounds
		defer func() { <-r.transferSlots }()
		r.sendSnapshot(from, uint64(request))
	}()
}

// sendSnapshot answers a member's request for a snapshot that is newer than a version.
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
	_ = r.Bus.Send(ctx, to, r.busTopic(topicSnapshot), body) // the member asks another
}

// handleSnapshot installs the snapshot that a member has sent, if it is newer.
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
	case r.answerReceived <- struct{}{}:
	default:
	}
}

// install installs a snapshot if it is newer, and confirms the replica by the newest announcement.
func (r *Replicator) install(s Snapshot) {
	r.Replica.Install(s)
	newest := r.announcements.newestVersion()
	r.Replica.Confirm(newest.version, newest.at)
}
