package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/replication"
)

// serverListReplica is a replica of the leader's list of servers, which the streams distribute to all poolers. It has a
// document for each server and one header document with the list's announcement. Its version is derived from the announcement.
// It is safe for concurrent use.
type serverListReplica struct {
	replica *replication.Replica

	mu               sync.Mutex // guards the fields below; also held while a list is published
	announcedVersion uint64     // version that this process last announced as the leader
	leaseDeadline    time.Time  // end of the time for which it is the leader
}

const (
	headerKey       = "head"
	serverKeyPrefix = "server/" // followed by the server's name
	// sequenceBits is the number of low bits of a version that hold the sequence number of a list under one lease: enough for
	// 4,000 lists a day for 260 days.
	sequenceBits = 20
)

func newServerListReplica() *serverListReplica {
	return &serverListReplica{replica: replication.NewReplica(replication.Snapshot{})}
}

// announcementVersion returns the version of an announcement. Versions order announcements by token, then by sequence.
func announcementVersion(announcement discoveryleader.Announcement) uint64 {
	return announcement.Token<<sequenceBits | min(announcement.Sequence, 1<<sequenceBits-1)
}

// listHeader is the header document of a list: everything but its servers.
type listHeader struct {
	Announcement discoveryleader.Announcement `json:"word"`
	Revision     uint64                       `json:"revision"`
	Complete     bool                         `json:"complete"`
}

// encodedList is a list in the JSON form that discovery.List.Format writes.
type encodedList struct {
	Revision uint64            `json:"revision"`
	Complete bool              `json:"complete"`
	Members  []json.RawMessage `json:"members"`
}

// observeAnnouncement records an announcement of this process, which is the leader until the deadline. It reports whether the
// announcement's list has not been published yet.
func (l *serverListReplica) observeAnnouncement(announcement discoveryleader.Announcement, deadline time.Time) (missing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announcedVersion = announcementVersion(announcement)
	l.leaseDeadline = deadline
	return announcement.Sequence > 0 && l.replica.Version() < l.announcedVersion
}

// confirmVersion returns the version of the replica and the current time, like consensus.Voter.ConfirmVersion. ok is true if
// that version is the newest: this process is the leader, and the version is the one that it announced last.
func (l *serverListReplica) confirmVersion() (version uint64, at time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	version = l.replica.Version()
	newest := version > 0 && version == l.announcedVersion
	return version, time.Now(), newest && time.Now().Before(l.leaseDeadline)
}

// publish replaces the list with one that this process announces. Servers that have not changed since the last list under the
// same lease keep their versions, so that a delta contains only the changed ones. Under a new lease all servers get the new
// version, because the last list of the previous leader may not have been received here.
func (l *serverListReplica) publish(announcement discoveryleader.Announcement, encoded []byte) error {
	var list encodedList
	if err := json.Unmarshal(encoded, &list); err != nil {
		return fmt.Errorf("fleet: publish list: decode: %w", err)
	}
	header, err := json.Marshal(listHeader{announcement, list.Revision, list.Complete})
	if err != nil {
		return fmt.Errorf("fleet: publish list: encode header: %w", err)
	}
	servers, err := serverDocuments(list.Members)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.replica.Snapshot()
	sameLease := old.Version>>sequenceBits == announcement.Token
	next := replication.Snapshot{Version: announcementVersion(announcement), Documents: make(map[string]replication.Document, len(servers)+1)}
	for _, document := range append(servers, replication.Document{Key: headerKey, Value: header}) {
		document.Version = next.Version
		if previous, ok := old.Documents[document.Key]; ok && sameLease && bytes.Equal(previous.Value, document.Value) {
			document = previous
		}
		next.Documents[document.Key] = document
	}
	l.replica.Install(next)
	return nil
}

// serverDocuments returns the documents of a list's servers, without versions. It returns an error if a member can't be decoded
// or has no id.
func serverDocuments(members []json.RawMessage) ([]replication.Document, error) {
	documents := make([]replication.Document, 0, len(members)+1)
	for i, member := range members {
		var server struct {
			ID string `json:"id"`
		}
		if err := json.Unmarshal(member, &server); err != nil {
			return nil, fmt.Errorf("fleet: publish list: members[%d]: %w", i, err)
		}
		if server.ID == "" {
			return nil, fmt.Errorf("fleet: publish list: members[%d]: id is missing", i)
		}
		documents = append(documents, replication.Document{Key: serverKeyPrefix + server.ID, Value: member})
	}
	return documents, nil
}

// decodeList returns the announcement and the encoded list that a published snapshot holds, with the servers sorted by name. It
// returns an error if the header is missing or malformed, or does not match the version of the snapshot.
func decodeList(snapshot replication.Snapshot) (announcement discoveryleader.Announcement, encoded []byte, err error) {
	var header listHeader
	if err := json.Unmarshal(snapshot.Documents[headerKey].Value, &header); err != nil {
		return announcement, nil, fmt.Errorf("fleet: decode list: header: %w", err)
	}
	announcement = header.Announcement
	if snapshot.Version != announcementVersion(announcement) {
		return announcement, nil, fmt.Errorf("fleet: decode list: snapshot has version %d, its announcement %d", snapshot.Version, announcementVersion(announcement))
	}
	list := encodedList{Revision: header.Revision, Complete: header.Complete, Members: []json.RawMessage{}}
	for _, document := range snapshot.List(serverKeyPrefix) {
		list.Members = append(list.Members, document.Value)
	}
	encoded, err = json.Marshal(list)
	return announcement, encoded, err
}

// follow calls onList with each list that the replica receives, until ctx ends. It skips the lists that this process has
// published.
func (l *serverListReplica) follow(ctx context.Context, self string, onList func(announcement discoveryleader.Announcement, list []byte), log zerolog.Logger) {
	for {
		changed := l.replica.Changed()
		if snapshot := l.replica.Snapshot(); snapshot.Version > 0 {
			announcement, encoded, err := decodeList(snapshot)
			switch {
			case err != nil:
				log.Warn().Err(err).Msg("list: replica can't be decoded")
			case announcement.Source != self:
				onList(announcement, encoded)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// redeliver calls onList again with the current list if that is at least as new as the announcement. It serves a pooler that
// has not received the announcement's list yet.
func (l *serverListReplica) redeliver(announcement discoveryleader.Announcement, onList func(announcement discoveryleader.Announcement, list []byte)) {
	snapshot := l.replica.Snapshot()
	if snapshot.Version < announcementVersion(announcement) {
		return
	}
	if current, encoded, err := decodeList(snapshot); err == nil {
		onList(current, encoded)
	}
}
