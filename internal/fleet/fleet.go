// Package fleet is a pooler's way to the other poolers and to the stewards: it puts the steward, the client of the leases
// and the membership together behind program.Fleet. It decides nothing; package duty does.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/fleet/consensus"
	"threadsail/internal/fleet/coordination"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/distribution"
	"threadsail/internal/fleet/gossip"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
	"threadsail/internal/fleet/traffic"
)

const (
	maxListTransfers       = 8  // lists on their way to others at once: more askers are left to ask others
	maxQueuedAnnouncements = 64 // words of a holder that wait to be sent: a round each of many groups
	maxQueuedLeaseRequests = 16 // asks and releases that wait for the stewards
)

// message is what poolers say to each other, one JSON object.
type message struct {
	Kind         string                       `json:"kind"` // "word", "want", "list" or "found"
	From         string                       `json:"from,omitempty"`
	Announcement discoveryleader.Announcement `json:"word"`
	// Of "word": the least build that the holder's operators allow; empty: any.
	MinimumBuild string `json:"least,omitempty"`
	// Of "word": the least revision of the configuration that they allow.
	MinimumConfigRevision uint64          `json:"least_config,omitempty"`
	List                  json.RawMessage `json:"list,omitempty"`
	// Of "found": the server that the holder found to be the group's primary, and as of when; none: its round found none.
	Group  int           `json:"group,omitempty"`
	Server string        `json:"server,omitempty"`
	AsOf   time.Duration `json:"as_of_ns,omitempty"` // Unix time: all machines read one clock (PROTOCOL)
}

// Coordinator implements program.Fleet.
type Coordinator struct {
	config         *config.Fleet
	instance       string // this process among the holders: a restarted pooler does not own what the one before it held
	network        network
	events         coordination.Events
	voter          *consensus.Voter // nil: this pooler is none
	leaseRequests  chan func()
	announcements  chan func()
	shutdown       chan struct{}
	leaseClient    *consensus.Client // on the goroutine of asks
	listTransfers  chan struct{}
	log            zerolog.Logger
	goroutines     sync.WaitGroup
	components     *componentHost
	traffic        traffic.Counter
	minimumVersion atomic.Pointer[discoveryleader.MinimumVersion]
}

// The feeds that streams bring.
const (
	documentsFeed  = "shared"
	serverListFeed = "lists"
)

// Options of a pooler's part in its fleet.
type Options struct {
	Config         *config.Fleet
	JitterFraction float64 // from 0 up to 1, by the pooler's own seed
	Components     []Component
	Log            zerolog.Logger
}

// Start starts the pooler's part and returns at once; errors are of its addresses and folders.
func Start(o Options, events coordination.Events) (*Coordinator, error) {
	c, log := o.Config, o.Log
	f := &Coordinator{config: c, instance: fmt.Sprintf("%s/%d-%d", c.Name, os.Getpid(), time.Now().UnixNano()), events: events, leaseRequests: make(chan func(), maxQueuedLeaseRequests), announcements: make(chan func(), maxQueuedAnnouncements), shutdown: make(chan struct{}),
		listTransfers: make(chan struct{}, maxListTransfers), log: log.With().Str("part", "fleet").Logger()}
	f.Reload(c)
	say := func(line string) { f.log.Warn().Msg(line) }
	stewards := voterPeers(c)
	var err error
	if f.components, err = newComponentHost(o, f.instance, stewards, events); err != nil {
		return nil, err
	}
	f.components.leaseClient.CountTraffic(&f.traffic)
	f.components.documentClient.CountTraffic(&f.traffic)
	if c.Steward.Listen != "" {
		if err := os.MkdirAll(c.Steward.Dir, 0o700); err != nil {
			return nil, err
		}
		f.voter, err = consensus.Start(consensus.Options{Name: c.Name, ListenAddr: c.Steward.Listen, Dir: c.Steward.Dir, Voters: stewards, Join: c.Steward.Join, VotersRevision: c.ConfigRevision,
			MaxClockDrift: c.Drift, ElectionTimeout: c.Election, Log: say, Traffic: &f.traffic, OnDocumentsChanged: func(s replication.Snapshot) { f.components.replica.Install(s) }})
		if err != nil {
			return nil, err
		}
	}
	if err = f.openNetwork(o.JitterFraction, say); err != nil {
		if f.voter != nil {
			f.voter.Close()
		}
		return nil, err
	}
	f.goroutines.Go(func() {
		for f.runNext(f.announcements) {
		}
	})
	f.goroutines.Go(func() {
		f.leaseClient = &consensus.Client{Holder: f.instance, Voters: stewards, Timeout: c.Term / 4, Traffic: &f.traffic} // so that a renewal, a third of the term in, can be tried twice
		defer f.leaseClient.Close()
		for f.runNext(f.leaseRequests) {
		}
	})
	bringing := f.network.Bus()
	if n, ok := f.network.(*streamNetwork); ok {
		bringing = nil
		if n.distributorGossip != nil {
			bringing = n.distributorGossip.Bus()
		}
	}
	f.components.start(f.network.Bus(), bringing, c.Gossips(), f.voter)
	return f, nil
}

// openNetwork opens the way to the other poolers.
func (f *Coordinator) openNetwork(spread float64, say func(string)) error {
	var others []gossip.Peer
	for _, p := range f.config.Peers {
		others = append(others, gossip.Peer(p))
	}
	heard := func(text []byte) { f.dispatch(text, f.events) }
	var known *gossip.Node
	if f.config.Gossips() {
		var err error
		if known, err = gossip.Start(gossip.Options{Name: f.config.Name, Listen: f.config.Listen, Advertise: f.config.Advertise, Peers: others, OnMessage: heard, Log: say, Traffic: &f.traffic}, gossip.Meta{}); err != nil {
			return err
		}
	}
	if !f.config.Distributes() {
		f.network = gossipNetwork{known}
		return nil
	}
	n, err := newStreamNetwork(f.config, spread, []distribution.Resource{{Name: documentsFeed, Replica: f.components.replica}, {Name: serverListFeed, Replica: f.components.serverList.replica, FullReplacement: true}},
		known, heard, say, &f.traffic)
	if err != nil {
		if known != nil {
			known.Close()
		}
		return err
	}
	f.network = n
	return nil
}

// dispatch sorts what other poolers say. What can't be read is logged and has no effect.
func (f *Coordinator) dispatch(text []byte, events coordination.Events) {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		f.log.Warn().Err(err).Msg("a message of another pooler can't be read")
		return
	}
	switch m.Kind {
	case "word":
		events.Announced(m.Announcement, discoveryleader.MinimumVersion{Build: m.MinimumBuild, ConfigRevision: m.MinimumConfigRevision})
	case "want":
		events.ListRequested(m.From)
	case "list":
		events.ListReceived(m.Announcement, m.List)
	case "lost":
		events.PrimaryReportedDown(m.Group)
	case "found":
		events.PrimaryAnnounced(m.Announcement.Token, m.Group, m.Server, m.AsOf)
	}
}

// runNext does a piece of work from a queue, and tells whether there may be more: at the end what is queued is done first.
func (f *Coordinator) runNext(queue chan func()) bool {
	select {
	case work := <-queue:
		work()
		return true
	default:
	}
	select {
	case work := <-queue:
		work()
		return true
	case <-f.shutdown:
		return false
	}
}

func encodeMessage(m message) []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // a list is JSON that this process wrote
	}
	return text
}

// enqueueLeaseRequest hands work to the one goroutine that talks with the stewards; at the end there is nobody to talk to.
func (f *Coordinator) enqueueLeaseRequest(work func(*consensus.Client)) {
	select {
	case f.leaseRequests <- func() { work(f.leaseClient) }:
	default:
		f.log.Warn().Msg("lease: too many asks wait for the stewards")
		go work(&consensus.Client{Holder: f.instance, Voters: []consensus.Peer{{}}, Timeout: time.Nanosecond}) // answers with an error
	}
}

// AcquireLease asks for the list duty's lease.
func (f *Coordinator) AcquireLease(done func(g lease.Lease, ok bool, err error)) {
	f.enqueueLeaseRequest(func(c *consensus.Client) {
		done(c.Acquire(context.Background(), discoveryleader.LeaseName, f.config.Term))
	})
}

// ReleaseLease gives it up. If that fails the lease runs out by itself.
func (f *Coordinator) ReleaseLease() {
	f.enqueueLeaseRequest(func(c *consensus.Client) { _ = c.Release(context.Background(), discoveryleader.LeaseName) })
}

// Announce passes a word on to all, and TellFound which server the holder found to be a group's primary; empty: none yet.
func (f *Coordinator) Announce(w discoveryleader.Announcement, left time.Duration, done func(all bool)) {
	least := f.minimumVersion.Load()
	if l := f.components.serverList; l != nil && l.observeAnnouncement(w, time.Now().Add(left)) {
		f.events.ListRequested(f.config.Name) // the loop gives it to the feed
	}
	f.enqueueAnnouncement("lists", message{Kind: "word", Announcement: w, MinimumBuild: least.Build, MinimumConfigRevision: least.ConfigRevision}, left, done)
}

// AnnouncePrimary is documented with Tell.
func (f *Coordinator) AnnouncePrimary(token uint64, group int, server string, asOf, left time.Duration, done func(all bool)) {
	f.enqueueAnnouncement(fmt.Sprint("found/", group), message{Kind: "found", Announcement: discoveryleader.Announcement{Token: token}, Group: group, Server: server, AsOf: asOf}, left, done)
}

// enqueueAnnouncement hands a holder's act to the goroutine that sends: hundreds of datagrams must not hold a pooler's loop. The act ends
// with the lease that it is done by, wherever it is then.
func (f *Coordinator) enqueueAnnouncement(topic string, m message, left time.Duration, done func(all bool)) {
	until := time.Now().Add(left)
	select {
	case f.announcements <- func() { done(f.network.Broadcast(topic, encodeMessage(m), until)) }:
	default: // the sender is behind; the holder repeats its words
		done(false)
	}
}

// ReportPrimaryDown tells a holder that this pooler has lost a group's primary: a hint, by a datagram.
func (f *Coordinator) ReportPrimaryDown(holder string, group int) {
	f.network.SendBestEffort(holder, encodeMessage(message{Kind: "lost", From: f.config.Name, Group: group}))
}

// FetchList asks a pooler that has it for the list of a word.
func (f *Coordinator) FetchList(w discoveryleader.Announcement) {
	from, ask := f.network.ListSource(w)
	text := encodeMessage(message{Kind: "want", From: f.config.Name})
	go func() {
		if !ask {
			f.components.serverList.redeliver(w, f.events.ListReceived)
			return
		}
		if err := f.network.Send(from, text); err != nil {
			f.log.Warn().Err(err).Str("from", from).Msg("list: can't be fetched")
		}
	}()
}

// SendList sends a list to a pooler that asked for it, or hands its own on to all by the feed.
func (f *Coordinator) SendList(to string, w discoveryleader.Announcement, list []byte) {
	if l := f.components.serverList; l != nil && to == f.config.Name {
		go func() {
			if err := l.publish(w, list); err != nil {
				f.log.Error().Err(err).Msg("list: can't be handed on")
			}
		}()
		return
	}
	select {
	case f.listTransfers <- struct{}{}:
	default:
		return
	}
	text := encodeMessage(message{Kind: "list", Announcement: w, List: list})
	go func() {
		defer func() { <-f.listTransfers }()
		if err := f.network.Send(to, text); err != nil {
			f.log.Warn().Err(err).Str("to", to).Msg("list: can't be given")
		}
	}()
}

// SetStatus changes what the others see of this pooler.
func (f *Coordinator) SetStatus(w discoveryleader.Announcement, build, config string) {
	f.network.SetStatus(w, build, config)
}

// Reload is documented with program.Fleet.
func (f *Coordinator) Reload(c *config.Fleet) {
	f.minimumVersion.Store(&discoveryleader.MinimumVersion{Build: c.LeastBuild, ConfigRevision: c.LeastConfig})
	if f.voter != nil {
		f.voter.SetVoters(c.ConfigRevision, voterPeers(c))
	}
}

func voterPeers(c *config.Fleet) (out []consensus.Peer) {
	for _, p := range c.Stewards {
		out = append(out, consensus.Peer(p))
	}
	return out
}

// Status are documented with program.Fleet.
func (f *Coordinator) Status() coordination.Status {
	out := f.components.status()
	out.Traffic = f.traffic.Snapshot()
	f.network.fillStatus(&out)
	out.VoterWriteFailing = f.voter != nil && f.voter.LogWriteFailed()
	return out
}

// Close leaves the fleet. What waits for the stewards, a release above all, is said first.
func (f *Coordinator) Close() {
	f.components.stop()
	close(f.shutdown) // and not the queues: the loop may still be running where the start has failed
	f.goroutines.Wait()
	f.network.Close()
	if f.voter != nil {
		f.voter.Close()
	}
}
