package fleet

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/fleet/consensus"
	"threadsail/internal/fleet/coordination"
	"threadsail/internal/fleet/discoveryleader"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/traffic"
)

// maxListTransfers is the maximum number of lists sent at the same time. Further requests are dropped; the requesting poolers
// get the list from others.
const maxListTransfers = 8

// Coordinator connects a pooler to the other poolers and to the voters. It implements pooler.Fleet. Its exported methods are
// safe for concurrent use, and only Close blocks.
type Coordinator struct {
	config         *config.Fleet
	instance       string // lease holder name, unique to this process: a restarted pooler does not hold its predecessor's leases
	events         coordination.Events
	voter          *consensus.Voter // nil if this process has no voter
	network        network
	components     *componentHost
	broadcasts     *broadcastQueue
	leases         *leaseRequester
	listTransfers  chan struct{} // semaphore: one slot for each list being sent
	traffic        traffic.Counter
	minimumVersion atomic.Pointer[discoveryleader.MinimumVersion]
	log            zerolog.Logger
	shutdown       chan struct{}  // closed by Close
	goroutines     sync.WaitGroup // run broadcasts and leases
}

// AcquireLease requests the leader's lease or its renewal. It calls done once, on any goroutine.
func (c *Coordinator) AcquireLease(done func(current lease.Lease, granted bool, err error)) {
	c.leases.enqueue(leaseRequest{done: done})
}

// ReleaseLease queues the release of the leader's lease. If the release fails, the lease expires at the end of its term.
func (c *Coordinator) ReleaseLease() { c.leases.enqueue(leaseRequest{release: true}) }

// Announce broadcasts the announcement of the leader's newest list to all poolers. remaining is the time until the leader's
// lease expires; nothing is sent after that. Announce calls done once, on any goroutine, with complete set if the broadcast was
// sent to all poolers before the expiry.
func (c *Coordinator) Announce(announcement discoveryleader.Announcement, remaining time.Duration, done func(complete bool)) {
	if list := c.components.serverList; list != nil && list.observeAnnouncement(announcement, time.Now().Add(remaining)) {
		c.events.ListRequested(c.config.Name) // the pooler then calls SendList with its own name, which publishes the list
	}
	minimum := c.minimumVersion.Load()
	c.broadcast(topicAnnouncement, message{
		Kind:                  kindAnnouncement,
		Announcement:          announcement,
		MinimumBuild:          minimum.Build,
		MinimumConfigRevision: minimum.ConfigRevision,
	}, remaining, done)
}

// AnnouncePrimary broadcasts the server that the leader has found to be a group's primary, or "" if none was found. asOf is the
// Unix time of that observation. remaining and done are as in Announce.
func (c *Coordinator) AnnouncePrimary(token uint64, group int, server string, asOf, remaining time.Duration, done func(complete bool)) {
	c.broadcast(fmt.Sprint(topicPrimaryPrefix, group), message{
		Kind:         kindPrimary,
		Announcement: discoveryleader.Announcement{Token: token},
		Group:        group,
		Server:       server,
		AsOf:         asOf,
	}, remaining, done)
}

// broadcast queues a message of the leader. The message is not sent after the leader's lease has expired, even if it is still
// queued or sent to only some poolers by then.
func (c *Coordinator) broadcast(topic string, content message, remaining time.Duration, done func(complete bool)) {
	c.broadcasts.enqueue(queuedBroadcast{topic: topic, message: content, deadline: time.Now().Add(remaining), done: done})
}

// ReportPrimaryDown reports to the leader that this pooler has found a group's primary down. The message may be lost.
func (c *Coordinator) ReportPrimaryDown(leader string, group int) {
	c.network.SendBestEffort(leader, encodeMessage(message{Kind: kindPrimaryDown, From: c.config.Name, Group: group}))
}

// FetchList requests the list of an announcement from a pooler that has it. The list arrives by
// coordination.Events.ListReceived; the request or the answer may be lost. If the network delivers lists without
// requests, FetchList reports the current list again instead. It starts a goroutine for this, which ends within seconds.
func (c *Coordinator) FetchList(announcement discoveryleader.Announcement) {
	source, needed := c.network.ListSource(announcement)
	if !needed {
		go c.components.serverList.redeliver(announcement, c.events.ListReceived)
		return
	}
	request := encodeMessage(message{Kind: kindListRequest, From: c.config.Name})
	go func() {
		if err := c.network.Send(source, request); err != nil {
			c.log.Warn().Err(err).Str("from", source).Msg("list: request for the list could not be sent")
		}
	}()
}

// SendList sends a list to the pooler that requested it. If streams distribute the lists and to is this pooler itself, SendList
// publishes the list to all poolers. It starts a goroutine for this, which ends within seconds.
func (c *Coordinator) SendList(to string, announcement discoveryleader.Announcement, list []byte) {
	if c.components.serverList != nil && to == c.config.Name {
		go c.publishList(announcement, list)
		return
	}
	select {
	case c.listTransfers <- struct{}{}:
	default:
		return
	}
	encoded := encodeMessage(message{Kind: kindList, Announcement: announcement, List: list})
	go func() {
		defer func() { <-c.listTransfers }()
		if err := c.network.Send(to, encoded); err != nil {
			c.log.Warn().Err(err).Str("to", to).Msg("list: requested list could not be sent")
		}
	}()
}

// publishList publishes a list of this pooler on the streams.
func (c *Coordinator) publishList(announcement discoveryleader.Announcement, list []byte) {
	if err := c.components.serverList.publish(announcement, list); err != nil {
		c.log.Error().Err(err).Msg("list: own list can't be published")
	}
}

// SetStatus sets the status that this pooler publishes to the others: the announcement of the list in force, the build and the
// digest of the configuration.
func (c *Coordinator) SetStatus(announcement discoveryleader.Announcement, build, configDigest string) {
	c.network.SetStatus(announcement, build, configDigest)
}

// Reload applies the settings of the fleet's configuration file that can change while the pooler runs: the minimum version and
// the voters.
func (c *Coordinator) Reload(file *config.Fleet) {
	c.minimumVersion.Store(&discoveryleader.MinimumVersion{Build: file.MinBuild, ConfigRevision: file.MinConfigRevision})
	if c.voter != nil {
		c.voter.SetVoters(file.ConfigRevision, voterPeers(file))
	}
}

// Status returns the status of this pooler as a member of its fleet. The pooler fills in the fields about the journal.
func (c *Coordinator) Status() coordination.Status {
	status := c.components.status()
	status.Traffic = c.traffic.Snapshot()
	c.network.fillStatus(&status)
	status.VoterWriteFailing = c.voter != nil && c.voter.LogWriteFailed()
	return status
}

// logWarning logs a line from a package that the coordinator starts.
func (c *Coordinator) logWarning(line string) { c.log.Warn().Msg(line) }

// voterPeers returns the voters that the fleet's configuration file names.
func voterPeers(file *config.Fleet) (voters []consensus.Peer) {
	for _, voter := range file.Voters {
		voters = append(voters, consensus.Peer(voter))
	}
	return voters
}
