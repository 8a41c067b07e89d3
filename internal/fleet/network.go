package fleet

import (
	"time"

	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/coordination"
	"threadsail/internal/fleet/discoveryleader"
)

// network is the way to the other poolers: gossip among all, or streams by way of distributors. It is safe for use by several
// goroutines.
type network interface {
	// Bus is the components'.
	Bus() bus.Bus
	// Broadcast sends a message to all poolers. Nothing is sent from the deadline on; complete says that it was not reached.
	Broadcast(topic string, text []byte, deadline time.Time) (complete bool)
	// Send sends a message to one pooler. It waits for the network, some seconds at most.
	Send(name string, text []byte) error
	// SendBestEffort sends a message to one pooler, which may be lost. It does not wait.
	SendBestEffort(name string, text []byte)
	// SetStatus changes what the others see of this pooler.
	SetStatus(a discoveryleader.Announcement, build, configDigest string)
	// ListSource is the pooler to ask for the list of an announcement; needed false: the list comes by itself.
	ListSource(a discoveryleader.Announcement) (name string, needed bool)
	// Close leaves the network.
	Close()

	// replicationBus brings replicas from pooler to pooler; nil: a stream brings them.
	replicationBus() bus.Bus
	// fillStatus fills in Poolers and all after it.
	fillStatus(s *coordination.Status)
}

// The ways by which shared documents come to a pooler, as coordination.Status has them.
const (
	wayGossip      = "gossip"
	wayStream      = "stream"
	wayDistributor = "distributor"
	wayNone        = "none"
)
