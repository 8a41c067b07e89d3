// Package bus is how the parts of poolers speak to each other: one message to one pooler, or to all that are alive. It decides
// nothing and promises no order across topics; what a message means, and whether an old one still counts, is its part's affair.
package bus

import (
	"context"
	"errors"
)

// ErrUnknownMember tells that a pooler is not held to be alive.
var ErrUnknownMember = errors.New("bus: no such pooler is alive")

// Bus is one pooler's way to the others. It is safe for use by several goroutines.
type Bus interface {
	// Self is this pooler's name.
	Self() string
	// Members are the poolers held to be alive, this one among them, by name. One that is cut off may stay in it for seconds,
	// and one that is alive may be missing. Where distributors carry the bus they are the distributors alone, and this pooler: no
	// pooler knows all others there.
	Members() []string
	// Size is how many poolers are held to be alive, this one among them, of which Members may be some.
	Size() int
	// Send gives one pooler a message, whether it is among Members or not. nil: it was written to a connection, or waits for one that
	// is open; whether it was read is not known. An error: it may have come all the same. It waits for the network, but no longer than ctx.
	Send(ctx context.Context, to, topic string, body []byte) error
	// Broadcast gives all others a datagram each, and gossip for those that are not known here. It may be lost, come twice, or
	// overtake another. A newer one of the same topic takes the place of one that is still being passed on by gossip.
	Broadcast(topic string, body []byte)
	// Handle has f called with each message of a topic that comes from another pooler, on goroutines of the bus, several at once.
	// f must not wait; body is its own. It must be called before the first message is to be heard.
	Handle(topic string, f func(from string, body []byte))
}
