package replication

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"threadsail/internal/fleet/bus"
)

// The topics by which copies are brought, each behind the copy's name and a slash.
const (
	topicAnnouncement = "/word"  // to all: the newest version, by the leading steward's process
	topicFetch        = "/want"  // to one: its documents, if they are newer
	topicSnapshot     = "/state" // back: them; or nothing, if they are not
)

const (
	fetchSpreadPerMember    = 5 * time.Millisecond   // spreads the fetches of a fleet after a change, so much for each pooler
	memberFetchTimeout      = 500 * time.Millisecond // for an answer, before another is asked
	maxTransfers            = 4                      // states on their way to others at once; more askers ask another
	minAnnouncementInterval = 50 * time.Millisecond  // between two words at the least: each is a datagram to everybody
	maxSilentHeartbeats     = 5                      // beats without a word: a steward is asked
	voterFetchTimeout       = 2 * time.Second
)

// announcement tells that nothing newer than a version was known to a majority of the stewards at a time.
type announcement struct {
	Version             uint64        `json:"version"`
	ConfirmedAtUnixNano int64         `json:"as_of_ns"`        // Unix time, of the speaker's clock
	Age                 time.Duration `json:"age_ns"`          // since then, on the speaker's monotonic clock as it spoke
	Delta               *Delta        `json:"delta,omitempty"` // what has changed lately, if it is small
}

// ConfirmationTime is the time that a word is about, on this process's clock: the older of what the two clocks say (all machines read one,
// so that a word that was long on its way, or spoken by one that had stalled, is as old as it is) and what the speaker counted
// (so that a clock here that was set back makes nothing young). A clock here that runs behind by D can make a delayed word too
// young by D at the most. asOf is Unix time in ns of the speaker's clock, age what the speaker's monotonic clock counted since.
func ConfirmationTime(now time.Time, asOf int64, age time.Duration) time.Time {
	return now.Add(-max(now.Sub(time.Unix(0, asOf)), age, 0))
}

// SnapshotFetcher are asked for documents where nobody else has them.
type SnapshotFetcher interface {
	// Fetch asks for all documents, if they are newer than a version; newer tells whether they are. With sure it asks the
	// leader, which tells what nothing was newer than, without it any.
	Fetch(ctx context.Context, since uint64, sure bool) (s Snapshot, newer bool, err error)
}

// ReplicatorOptions is what a copy is brought by.
type ReplicatorOptions struct {
	Name    string // of the copy, among those on the bus; empty: "shared"
	Bus     bus.Bus
	Replica *Replica
	Voters  SnapshotFetcher // nil: there are none to ask
	// Confirm is the steward of this process, if it is one: as steward.Steward.Confirm; of another copy, whoever writes it. nil: it is none.
	Confirm           func() (version uint64, at time.Time, ok bool)
	HeartbeatInterval time.Duration // between words: a third of a lease's term
	JitterFraction    float64       // from 0 up to 1, by the pooler's own seed
	Log               func(string)
}

// Replicator is a Bringing under way.
type Replicator struct {
	ReplicatorOptions
	transferSlots  chan struct{}
	newerAnnounced chan struct{} // a word came

	mu                 sync.Mutex
	newest             announcement // by version, then age
	newestConfirmedAt  time.Time
	newestFrom         string
	lastAnnouncementAt time.Time // of any word
	foreignLogged      bool      // that the copy is foreign
	snapshotReceived   chan struct{}
}

// StartReplicator keeps a copy as new as what can be reached, until ctx ends: by words of the leading steward's process, fetched from any
// pooler that has it, and from the stewards themselves as the last resort. It returns at once.
func StartReplicator(ctx context.Context, o ReplicatorOptions) {
	if o.Name == "" {
		o.Name = "shared"
	}
	b := &Replicator{ReplicatorOptions: o, transferSlots: make(chan struct{}, maxTransfers), newerAnnounced: make(chan struct{}, 1), lastAnnouncementAt: time.Now(), snapshotReceived: make(chan struct{}, 1)}
	o.Bus.Handle(o.Name+topicAnnouncement, b.handleAnnouncement)
	o.Bus.Handle(o.Name+topicFetch, b.handleFetch)
	o.Bus.Handle(o.Name+topicSnapshot, b.handleSnapshot)
	if o.Confirm != nil {
		go b.announce(ctx)
	}
	go b.catchUp(ctx)
}

// announce tells all what is newest, each beat and at each change, while this process's steward leads. What has changed since the beat
// before goes with the words, so that a datagram that is lost is made up for by the next one.
func (b *Replicator) announce(ctx context.Context) {
	var spoken []Snapshot // one a beat, the newest last
	beat := time.Time{}
	for {
		changed := b.Replica.Changed()
		if version, at, ok := b.Confirm(); ok {
			b.observe(announcement{Version: version}, at, "")
			state := b.Replica.Snapshot() // of the log, though it may be newer than what is confirmed
			w := announcement{Version: version, ConfirmedAtUnixNano: at.UnixNano()}
			if len(spoken) > 0 {
				if d, ok := diffSnapshots(spoken[0], state); ok {
					w.Delta = &d
				}
			}
			if time.Since(beat) >= b.HeartbeatInterval {
				beat, spoken = time.Now(), append(spoken[max(len(spoken)-1, 0):], state)
			}
			w.Age = time.Since(at)
			if text, err := json.Marshal(w); err == nil {
				b.Bus.Broadcast(b.Name+topicAnnouncement, text)
			}
		}
		sleep(ctx, minAnnouncementInterval)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(b.HeartbeatInterval - minAnnouncementInterval):
		}
	}
}

func (b *Replicator) handleAnnouncement(from string, body []byte) {
	var w announcement
	if err := json.Unmarshal(body, &w); err != nil {
		b.Log("shared: a word that can't be read: " + err.Error())
		return
	}
	at := ConfirmationTime(time.Now(), w.ConfirmedAtUnixNano, w.Age)
	if w.Delta != nil {
		if next, ok := w.Delta.ApplyTo(b.Replica.Snapshot()); ok {
			b.Replica.Install(next)
		}
	}
	b.observe(w, at, from)
}

// observe notes a word, and confirms the copy by the newest there is.
func (b *Replicator) observe(w announcement, at time.Time, from string) {
	b.mu.Lock()
	b.lastAnnouncementAt = time.Now()
	if w.Version > b.newest.Version || w.Version == b.newest.Version && at.After(b.newestConfirmedAt) {
		b.newest, b.newestConfirmedAt, b.newestFrom = w, at, from
	}
	w, at = b.newest, b.newestConfirmedAt
	b.mu.Unlock()
	if !b.Replica.Confirm(w.Version, at) {
		b.logForeignReplica(w)
	}
	if w.Version > b.Replica.Version() {
		select {
		case b.newerAnnounced <- struct{}{}:
		default:
		}
	}
}

// logForeignReplica says, once, that this copy is of a log that the stewards don't have any more. Clocks that differ by more than a word takes
// can say so of a word that was overtaken; it is the word's that then counts for nothing.
func (b *Replicator) logForeignReplica(w announcement) {
	b.mu.Lock()
	said := b.foreignLogged
	b.foreignLogged = true
	b.mu.Unlock()
	if !said {
		b.Log(fmt.Sprintf("shared: the stewards tell of version %d, this copy is at %d already: if their log has begun anew, stop this pooler, empty shared.dir and start it", w.Version, b.Replica.Version()))
	}
}

// handleFetch gives another pooler the documents, if they are newer than its own.
func (b *Replicator) handleFetch(from string, body []byte) {
	var since uint64
	if err := json.Unmarshal(body, &since); err != nil {
		return
	}
	select {
	case b.transferSlots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-b.transferSlots }()
		var text []byte
		if s := b.Replica.Snapshot(); s.Version > since {
			var err error
			if text, err = json.Marshal(s); err != nil {
				b.Log("shared: " + err.Error())
				return
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), voterFetchTimeout)
		defer cancel()
		_ = b.Bus.Send(ctx, from, b.Name+topicSnapshot, text) // it asks another
	}()
}

// handleSnapshot takes documents in: whole, and only if they are newer.
func (b *Replicator) handleSnapshot(_ string, body []byte) {
	if len(body) > 0 {
		var s Snapshot
		if err := json.Unmarshal(body, &s); err != nil {
			b.Log("shared: documents that can't be read: " + err.Error())
			return
		}
		b.install(s)
	}
	select {
	case b.snapshotReceived <- struct{}{}:
	default:
	}
}

func (b *Replicator) install(s Snapshot) {
	b.Replica.Install(s)
	b.mu.Lock()
	w, at := b.newest, b.newestConfirmedAt
	b.mu.Unlock()
	b.Replica.Confirm(w.Version, at)
}

// catchUp brings the copy up to the newest word's version: from any pooler, then from the one that spoke, then from a steward. In a
// silence of five beats it asks the stewards by itself.
func (b *Replicator) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-b.newerAnnounced:
		case <-time.After(maxSilentHeartbeats*b.HeartbeatInterval + time.Duration(b.JitterFraction*float64(b.HeartbeatInterval))):
			b.mu.Lock()
			silent := time.Since(b.lastAnnouncementAt) >= maxSilentHeartbeats*b.HeartbeatInterval
			b.mu.Unlock()
			if silent && b.Voters != nil {
				b.fetchFromVoters(ctx)
			}
			continue
		}
		sleep(ctx, time.Duration(b.JitterFraction*float64(fetchSpreadPerMember)*float64(b.Bus.Size())))
		for try := 0; ctx.Err() == nil; try++ {
			b.mu.Lock()
			want, from := b.newest.Version, b.newestFrom
			b.mu.Unlock()
			if b.Replica.Version() >= want {
				break
			}
			switch {
			case try%3 == 0:
				b.fetchFromMember(ctx, b.randomMember())
			case try%3 == 1:
				b.fetchFromMember(ctx, from)
			case b.Voters != nil:
				b.fetchFromVoters(ctx)
				sleep(ctx, b.HeartbeatInterval)
			default:
				sleep(ctx, b.HeartbeatInterval)
			}
		}
	}
}

// randomMember is another member, drawn at random; "" if there is none.
func (b *Replicator) randomMember() (name string) {
	n := 0
	for _, m := range b.Bus.Members() {
		if m != b.Bus.Self() {
			if n++; rand.IntN(n) == 0 {
				name = m
			}
		}
	}
	return name
}

func (b *Replicator) fetchFromMember(ctx context.Context, name string) {
	if name == "" {
		return
	}
	select {
	case <-b.snapshotReceived: // a late answer to another
	default:
	}
	text, err := json.Marshal(b.Replica.Version())
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, memberFetchTimeout)
	defer cancel()
	if b.Bus.Send(ctx, name, b.Name+topicFetch, text) != nil {
		return
	}
	select {
	case <-b.snapshotReceived:
	case <-ctx.Done():
	}
}

// fetchFromVoters asks the leader, whose answer confirms, or any if there is none.
func (b *Replicator) fetchFromVoters(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, voterFetchTimeout)
	defer cancel()
	asked := time.Now()
	s, newer, err := b.Voters.Fetch(ctx, b.Replica.Version(), true)
	sure := err == nil
	if !sure {
		s, newer, err = b.Voters.Fetch(ctx, b.Replica.Version(), false)
	}
	if err != nil {
		b.Log("shared: the documents can't be had: " + err.Error())
		return
	}
	version := b.Replica.Version()
	if newer {
		b.install(s)
		version = s.Version
	}
	if sure {
		b.observe(announcement{Version: version}, asked, "")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
