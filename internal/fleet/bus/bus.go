// Package bus is the interface by which the components of poolers send each other messages: one message to one pooler, or a datagram to
// every pooler that is alive. Packages gossip and distribution implement it over the network, package bustest within one process.
//
// The package decides nothing. It promises no order across topics, and does not know what a message means or whether an old message
// still counts; that is for the component that owns the topic.
package bus

import (
	"context"
	"errors"
)

// ErrUnknownMember is the error of a message to a pooler that is not taken to be alive.
var ErrUnknownMember = errors.New("bus: no such pooler is alive")

// Handler handles the messages of a topic. body belongs to the handler. A handler must not block, and is called concurrently.
type Handler = func(from string, body []byte)

// Bus is one pooler's connection to the other poolers. It is safe for concurrent use.
type Bus interface {
	// Self returns this pooler's name.
	Self() string
	// Members returns the names, sorted, of the poolers that are taken to be alive, this one among them. A pooler that is cut off may
	// be listed for some seconds, and one that is alive may be missing. Where distributors carry the messages, the members are the
	// distributors and this pooler: no pooler knows all others there.
	Members() []string
	// Size returns how many poolers are taken to be alive, this one among them. Members may be only some of them.
	Size() int
	// Send sends one pooler a message, whether it is among Members or not. A nil error means that the message was written to a
	// connection, or is queued for one that is open; whether it was read is not known. After an error it may have arrived all the
	// same. Send blocks on the network, but no longer than ctx allows.
	Send(ctx context.Context, to, topic string, body []byte) error
	// Broadcast sends all other poolers a datagram each, by gossip to those that are not known here. A datagram may be lost, be
	// delivered twice, or overtake another. While a datagram is still being passed on by gossip, a newer one of the same topic
	// replaces it.
	Broadcast(topic string, body []byte)
	// Handle sets the handler of a topic. The handler is called with each message of the topic that another pooler sends, on
	// goroutines of the bus. Messages that arrive before Handle is called are dropped.
	Handle(topic string, handler Handler)
}
