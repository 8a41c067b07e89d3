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

// serverListReplica is the leader's list of servers as a replica that the streams bring to all: a document for each server,
// and one with the list's announcement. Its version is that of the announcement. It is safe for use by several goroutines.
type serverListReplica struct {
	replica *replication.Replica

	mu               sync.Mutex // guards the fields below, and is held while a list is published
	announcedVersion uint64     // the version that this process announced last as the leader
	leaseDeadline    time.Time  // until when it is the leader
}

const (
	headerKey       = "head"
	serverKeyPrefix = "server/" // and the server's name
	// sequenceBits of a version count the lists under one lease: 4,000 a day for 260 days.
	sequenceBits = 20
)

func newServerListReplica() *serverListReplica {
	return &serverListReplica{replica: replication.NewReplica(replication.Snapshot{})}
}

// announcementVersion is an announcement's version: announcements are ordered by token, then sequence.
func announcementVersion(a discoveryleader.Announcement) uint64 {
	return a.Token<<sequenceBits | min(a.Sequence, 1<<sequenceBits-1)
}

// listHeader is what a list has beside its servers.
type listHeader struct {
	Announcement discoveryleader.Announcement `json:"word"`
	Revision     uint64                       `json:"revision"`
	Complete     bool                         `json:"complete"`
}

// encodedList is a list as discovery.List.Format writes it.
type encodedList struct {
	Revision uint64            `json:"revision"`
	Complete bool              `json:"complete"`
	Members  []json.RawMessage `json:"members"`
}

// observeAnnouncement takes an announcement of this process, which is the leader until the deadline, and reports whether the
// announcement's list is still to be published.
func (l *serverListReplica) observeAnnouncement(a discoveryleader.Announcement, deadline time.Time) (missing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announcedVersion = announcementVersion(a)
	l.leaseDeadline = deadline
	return a.Sequence > 0 && l.replica.Version() < l.announcedVersion
}

// confirmVersion is as consensus.Voter.ConfirmVersion: while this process is the leader nothing is newer than what it has
// announced.
func (l *serverListReplica) confirmVersion() (version uint64, at time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	version = l.replica.Version()
	newest := version > 0 && version == l.announcedVersion
	return version, time.Now(), newest && time.Now().Before(l.leaseDeadline)
}

// publish replaces the list by one that this process announces. Servers that have not changed under one lease keep their
// versions, so that a delta names only the others; under a new lease all are named, because another leader's last list may not
// have come here.
func (l *serverListReplica) publish(a discoveryleader.Announcement, text []byte) error {
	var list encodedList
	if err := json.Unmarshal(text, &list); err != nil {
		return fmt.Errorf("fleet: publish: %w", err)
	}
	header, err := json.Marshal(listHeader{a, list.Revision, list.Complete})
	if err != nil {
		return fmt.Errorf("fleet: publish: %w", err)
	}
	servers, err := serverDocuments(list.Members)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.replica.Snapshot()
	sameLease := old.Version>>sequenceBits == a.Token
	next := replication.Snapshot{Version: announcementVersion(a), Documents: make(map[string]replication.Document, len(servers)+1)}
	for _, d := range append(servers, replication.Document{Key: headerKey, Value: header}) {
		d.Version = next.Version
		if previous, ok := old.Documents[d.Key]; ok && sameLease && bytes.Equal(previous.Value, d.Value) {
			d = previous
		}
		next.Documents[d.Key] = d
	}
	l.replica.Install(next)
	return nil
}

// serverDocuments are the documents of a list's servers, without versions.
func serverDocuments(members []json.RawMessage) ([]replication.Document, error) {
	documents := make([]replication.Document, 0, len(members)+1)
	for i, m := range members {
		var server struct {
			ID string `json:"id"`
		}
		if err := json.Unmarshal(m, &server); err != nil {
			return nil, fmt.Errorf("fleet: publish: members[%d]: %w", i, err)
		}
		if server.ID == "" {
			return nil, fmt.Errorf("fleet: publish: members[%d]: no id", i)
		}
		documents = append(documents, replication.Document{Key: serverKeyPrefix + server.ID, Value: m})
	}
	return documents, nil
}

// decodeList undoes publish; the servers come by name.
func decodeList(s replication.Snapshot) (a discoveryleader.Announcement, text []byte, err error) {
	var header listHeader
	if err := json.Unmarshal(s.Documents[headerKey].Value, &header); err != nil {
		return a, nil, fmt.Errorf("fleet: decode list: header: %w", err)
	}
	a = header.Announcement
	if s.Version != announcementVersion(a) {
		return a, nil, fmt.Errorf("fleet: decode list: version %d under the announcement of %d", s.Version, announcementVersion(a))
	}
	list := encodedList{Revision: header.Revision, Complete: header.Complete, Members: []json.RawMessage{}}
	for _, d := range s.List(serverKeyPrefix) {
		list.Members = append(list.Members, d.Value)
	}
	text, err = json.Marshal(list)
	return a, text, err
}

// follow reports each list that comes, until ctx ends; not those that this process publishes itself.
func (l *serverListReplica) follow(ctx context.Context, self string, onList func(a discoveryleader.Announcement, list []byte), log zerolog.Logger) {
	for {
		changed := l.replica.Changed()
		if s := l.replica.Snapshot(); s.Version > 0 {
			a, text, err := decodeList(s)
			switch {
			case err != nil:
				log.Warn().Err(err).Msg("list: replica can't be decoded")
			case a.Source != self:
				onList(a, text)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// redeliver reports the list in force once more, to a pooler that lacks an announcement's list still.
func (l *serverListReplica) redeliver(a discoveryleader.Announcement, onList func(a discoveryleader.Announcement, list []byte)) {
	s := l.replica.Snapshot()
	if s.Version < announcementVersion(a) {
		return
	}
	if current, text, err := decodeList(s); err == nil {
		onList(current, text)
	}
}
