package fleet

import (
	"time"

	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/coordination"
	"threadsail/internal/fleet/discoveryleader"
)

// network carries messages to and from the other poolers, either by gossip among all poolers or by streams through
// distributors. It is safe for concurrent use.
type network interface {
	// Bus returns the bus that the components use.
	Bus() bus.Bus
	// Broadcast sends a message to all poolers. It stops at the deadline; complete reports whether it finished before.
	Broadcast(topic string, encoded []byte, deadline time.Time) (complete bool)
	// Send sends a message to one pooler. It blocks on the network for a few seconds at most.
	Send(name string, encoded []byte) error
	// SendBestEffort sends a message to one pooler without blocking. The message may be lost.
	SendBestEffort(name string, encoded []byte)
	// SetStatus sets the status that this pooler publishes to the others.
	SetStatus(announcement discoveryleader.Announcement, build, configDigest string)
	// ListSource returns the pooler from which to fetch the list of an announcement. needed is false if the network delivers
	// lists without a request.
	ListSource(announcement discoveryleader.Announcement) (name string, needed bool)
	// Close disconnects the pooler from the network.
	Close()

	// replicationBus returns the bus for replication between poolers, or nil if a stream updates the replicas.
	replicationBus() bus.Bus
	// fillStatus sets Poolers and the fields declared after it.
	fillStatus(s *coordination.Status)
}

// Values of coordination.Status.DocumentTransport: how a pooler receives the shared documents.
const (
	transportGossip      = "gossip"
	transportStream      = "stream"
	transportDistributor = "distributor"
	transportNone        = "none"
)
