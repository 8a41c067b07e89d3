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

// maxListTransfers is how many lists are on their way to others at the same time: further requests are left to other poolers.
const maxListTransfers = 8

// Coordinator is a pooler's way to the other poolers and to the voters. It implements pooler.Fleet. Its exported methods are
// safe for use by several goroutines, and none blocks but Close.
type Coordinator struct {
	config         *config.Fleet
	instance       string // this process as a holder of leases: a restarted pooler does not hold what the process before it held
	events         coordination.Events
	voter          *consensus.Voter // nil: this pooler is none
	network        network
	components     *componentHost
	broadcasts     *broadcastQueue
	leases         *leaseRequester
	listTransfers  chan struct{} // a slot for each list on its way
	traffic        traffic.Counter
	minimumVersion atomic.Pointer[discoveryleader.MinimumVersion]
	log            zerolog.Logger
	shutdown       chan struct{}  // closed by Close
	goroutines     sync.WaitGroup // of broadcasts and leases
}

// AcquireLease requests the leader's lease, or its renewal, and calls done once, on any goroutine.
func (c *Coordinator) AcquireLease(done func(current lease.Lease, granted bool, err error)) {
	c.leases.enqueue(leaseRequest{done: done})
}

// ReleaseLease releases the leader's lease. If that fails the lease expires.
func (c *Coordinator) ReleaseLease() { c.leases.enqueue(leaseRequest{release: true}) }

// Announce broadcasts the leader's newest list to all poolers. It stops when what remains of the leader's lease is over, and
// calls done once, on any goroutine; complete says that it was not cut short.
func (c *Coordinator) Announce(a discoveryleader.Announcement, remaining time.Duration, done func(complete bool)) {
	if list := c.components.serverList; list != nil && list.observeAnnouncement(a, time.Now().Add(remaining)) {
		c.events.ListRequested(c.config.Name) // the pooler answers with SendList to itself, which publishes the list
	}
	minimum := c.minimumVersion.Load()
	c.broadcast(topicAnnouncement, message{
		Kind:                  kindAnnouncement,
		Announcement:          a,
		MinimumBuild:          minimum.Build,
		MinimumConfigRevision: minimum.ConfigRevision,
	}, remaining, done)
}

// AnnouncePrimary broadcasts which server the leader has found to be a group's primary, as of a Unix time; "": none yet.
// remaining and done are as in Announce.
func (c *Coordinator) AnnouncePrimary(token uint64, group int, server string, asOf, remaining time.Duration, done func(complete bool)) {
	c.broadcast(fmt.Sprint(topicPrimaryPrefix, group), message{
		Kind:         kindPrimary,
		Announcement: discoveryleader.Announcement{Token: token},
		Group:        group,
		Server:       server,
		AsOf:         asOf,
	}, remaining, done)
}

// broadcast queues a leader's message, which is not sent once the leader's lease is over, wherever it is then.
func (c *Coordinator) broadcast(topic string, m message, remaining time.Duration, done func(complete bool)) {
	c.broadcasts.enqueue(queuedBroadcast{topic: topic, message: m, deadline: time.Now().Add(remaining), done: done})
}

// ReportPrimaryDown tells the leader that this pooler has lost a group's primary: a hint, which may be lost.
func (c *Coordinator) ReportPrimaryDown(leader string, group int) {
	c.network.SendBestEffort(leader, encodeMessage(message{Kind: kindPrimaryDown, From: c.config.Name, Group: group}))
}

// FetchList asks a pooler that has it for the list of an announcement. It comes as coordination.Events.ListReceived, or not at
// all. The goroutine that sends the request ends some seconds later at the latest.
func (c *Coordinator) FetchList(a discoveryleader.Announcement) {
	source, needed := c.network.ListSource(a)
	if !needed {
		go c.components.serverList.redeliver(a, c.events.ListReceived)
		return
	}
	request := encodeMessage(message{Kind: kindListRequest, From: c.config.Name})
	go func() {
		if err := c.network.Send(source, request); err != nil {
			c.log.Warn().Err(err).Str("from", source).Msg("list: request not sent")
		}
	}()
}

// SendList sends a list to a pooler that asked for it, or publishes this pooler's own list to all where streams carry it. The
// goroutine that does so ends some seconds later at the latest.
func (c *Coordinator) SendList(to string, a discoveryleader.Announcement, list []byte) {
	if c.components.serverList != nil && to == c.config.Name {
		go c.publishList(a, list)
		return
	}
	select {
	case c.listTransfers <- struct{}{}:
	default:
		return
	}
	text := encodeMessage(message{Kind: kindList, Announcement: a, List: list})
	go func() {
		defer func() { <-c.listTransfers }()
		if err := c.network.Send(to, text); err != nil {
			c.log.Warn().Err(err).Str("to", to).Msg("list: not sent")
		}
	}()
}

func (c *Coordinator) publishList(a discoveryleader.Announcement, list []byte) {
	if err := c.components.serverList.publish(a, list); err != nil {
		c.log.Error().Err(err).Msg("list: can't be published")
	}
}

// SetStatus changes what the other poolers see of this one: the list in force, the build and the digest of the configuration.
func (c *Coordinator) SetStatus(a discoveryleader.Announcement, build, configDigest string) {
	c.network.SetStatus(a, build, configDigest)
}

// Reload takes over what can change in the operators' file while the pooler runs: the least version that is allowed, and who
// the voters are.
func (c *Coordinator) Reload(file *config.Fleet) {
	c.minimumVersion.Store(&discoveryleader.MinimumVersion{Build: file.MinBuild, ConfigRevision: file.MinConfigRevision})
	if c.voter != nil {
		c.voter.SetVoters(file.ConfigRevision, voterPeers(file))
	}
}

// Status is how the pooler's part in its fleet stands; what it says of the journal is left to the pooler.
func (c *Coordinator) Status() coordination.Status {
	status := c.components.status()
	status.Traffic = c.traffic.Snapshot()
	c.network.fillStatus(&status)
	status.VoterWriteFailing = c.voter != nil && c.voter.LogWriteFailed()
	return status
}

// logWarning takes a line of the packages that the coordinator starts.
func (c *Coordinator) logWarning(line string) { c.log.Warn().Msg(line) }

// voterPeers are the voters that the operators' file names.
func voterPeers(file *config.Fleet) (voters []consensus.Peer) {
	for _, p := range file.Voters {
		voters = append(voters, consensus.Peer(p))
	}
	return voters
}
