package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/replication"
)

// serverListReplica is the holder's list of servers as a copy that the streams bring to all: a document for each server, and one for the word that
// it was handed on with. Its version is that word's. It is safe for use by several goroutines.
type serverListReplica struct {
	replica *replication.Replica

	mu               sync.Mutex // of a hand-over
	announcedVersion uint64     // the version that this process told last as the holder
	leaseDeadline    time.Time  // of its lease
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

// announcementVersion is a word's version: words are ordered by token, then number.
func announcementVersion(w discoveryleader.Announcement) uint64 {
	return w.Token<<sequenceBits | min(w.Sequence, 1<<sequenceBits-1)
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

// observeAnnouncement takes in that this process holds the duty until then, and tells whether the list of its word is still to be handed on.
func (l *serverListReplica) observeAnnouncement(w discoveryleader.Announcement, until time.Time) (missing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.announcedVersion, l.leaseDeadline = announcementVersion(w), until
	return w.Sequence > 0 && l.replica.Version() < l.announcedVersion
}

// confirmVersion is as steward.Steward.Confirm: while this process holds the duty nothing is newer than what it told.
func (l *serverListReplica) confirmVersion() (version uint64, at time.Time, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	version = l.replica.Version()
	return version, time.Now(), version == l.announcedVersion && version > 0 && time.Now().Before(l.leaseDeadline)
}

// publish puts a list that this process hands on in the place of the one before. Servers that have not changed under one lease keep their
// versions, so that a delta names only the others; under a new lease all are named, for another holder's last list may not have come here.
func (l *serverListReplica) publish(w discoveryleader.Announcement, text []byte) error {
	var in encodedList
	if err := json.Unmarshal(text, &in); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	version, old := announcementVersion(w), l.replica.Snapshot()
	next := replication.Snapshot{Version: version, Documents: make(map[string]replication.Document, len(in.Members)+1)}
	put := func(key string, value []byte) {
		d := replication.Document{Key: key, Version: version, Value: value}
		if same, ok := old.Documents[key]; ok && old.Version>>sequenceBits == w.Token && bytes.Equal(same.Value, value) {
			d = same
		}
		next.Documents[key] = d
	}
	about, err := json.Marshal(listHeader{w, in.Revision, in.Complete})
	if err != nil {
		return err
	}
	put(headerKey, about)
	for i, m := range in.Members {
		var server struct{ ID string }
		if err := json.Unmarshal(m, &server); err != nil || server.ID == "" {
			return fmt.Errorf("members[%d]: no id: %w", i, err)
		}
		put(serverKeyPrefix+server.ID, m)
	}
	l.replica.Install(next)
	return nil
}

// decodeList undoes hand; the servers come by name.
func decodeList(s replication.Snapshot) (w discoveryleader.Announcement, text []byte, err error) {
	var about listHeader
	if err := json.Unmarshal(s.Documents[headerKey].Value, &about); err != nil {
		return w, nil, fmt.Errorf("a list's head: %w", err)
	}
	if s.Version != announcementVersion(about.Announcement) {
		return w, nil, fmt.Errorf("a list of version %d under the word of %d", s.Version, announcementVersion(about.Announcement))
	}
	out := encodedList{Revision: about.Revision, Complete: about.Complete, Members: []json.RawMessage{}}
	for _, d := range s.List(serverKeyPrefix) {
		out.Members = append(out.Members, d.Value)
	}
	text, err = json.Marshal(out)
	return about.Announcement, text, err
}

// follow tells each list that comes, until ctx ends; not those that this process hands on itself.
func (l *serverListReplica) follow(ctx context.Context, self string, told func(w discoveryleader.Announcement, list []byte), say func(string)) {
	for {
		changed := l.replica.Changed()
		if s := l.replica.Snapshot(); s.Version > 0 {
			if w, text, err := decodeList(s); err != nil {
				say("lists: " + err.Error())
			} else if w.Source != self {
				told(w, text)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// redeliver tells the list in force once more to one that lacks it still.
func (l *serverListReplica) redeliver(w discoveryleader.Announcement, told func(w discoveryleader.Announcement, list []byte)) {
	if s := l.replica.Snapshot(); s.Version >= announcementVersion(w) {
		if w, text, err := decodeList(s); err == nil {
			told(w, text)
		}
	}
}
