// Package bus defines the interface by which components exchange messages with their counterparts at other poolers: a message to one
// pooler, or a datagram to every pooler that is alive. Packages gossip and distribution implement it over the network, package bustest
// within one process.
//
// A bus does not interpret messages and guarantees no order across topics. Whether an old message is still valid is for the component
// that owns the topic to decide.
package bus

import (
	"context"
	"errors"
)

// ErrUnknownMember is the error of a message to a pooler that is not considered alive.
var ErrUnknownMember = errors.New("bus: no such pooler is alive")

// Handler handles the messages of a topic. The handler owns body. A handler must not block, and may be called concurrently.
type Handler = func(from string, body []byte)

// Bus connects one pooler to the other poolers. It is safe for concurrent use.
type Bus interface {
	// Self returns this pooler's name.
	Self() string
	// Members returns the sorted names of the poolers that are considered alive, including this one. A pooler that is cut off may be
	// included for some seconds, and one that is alive may be missing. In a fleet with distributors the members are the distributors
	// and this pooler, because no pooler knows all others.
	Members() []string
	// Size returns the number of poolers that are considered alive, including this one. It may be larger than the number of Members.
	Size() int
	// Send sends a message to one pooler, which need not be among Members. A nil error means that the message was written to a
	// connection or queued for an open one, not that it was received. After an error the message may still have arrived. Send blocks
	// on the network until ctx ends at the latest.
	Send(ctx context.Context, to, topic string, body []byte) error
	// Broadcast sends a datagram to each of the other poolers, and by gossip to those that are not known here. A datagram may be
	// lost, delivered twice, or delivered before an earlier one. A newer datagram replaces an older one of the same topic that is
	// still being gossiped.
	Broadcast(topic string, body []byte)
	// Handle sets the handler of a topic. The bus calls it on its own goroutines, with each message that another pooler sends on the
	// topic. Messages that arrive before the call of Handle are dropped.
	Handle(topic string, handler Handler)
}
