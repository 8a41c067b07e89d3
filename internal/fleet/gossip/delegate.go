package gossip

import (
	"slices"

	"github.com/hashicorp/memberlist"
)

// broadcast is a message that memberlist gossips to the fleet.
type broadcast struct {
	topic   string
	payload []byte
}

var _ memberlist.Broadcast = broadcast{}

// Invalidates implements memberlist.Broadcast. A newer message replaces an older one of the same topic.
func (b broadcast) Invalidates(other memberlist.Broadcast) bool {
	older, ok := other.(broadcast)
	return ok && older.topic == b.topic
}

// Message implements memberlist.Broadcast.
func (b broadcast) Message() []byte { return b.payload }

// Finished implements memberlist.Broadcast.
func (broadcast) Finished() {}

// delegate is a Node with the methods that memberlist calls, on its own goroutines. It implements memberlist.Delegate and
// memberlist.EventDelegate.
type delegate Node

var (
	_ memberlist.Delegate      = (*delegate)(nil)
	_ memberlist.EventDelegate = (*delegate)(nil)
)

// NodeMeta implements memberlist.Delegate.
func (d *delegate) NodeMeta(limit int) []byte { return (*Node)(d).encodeMeta(limit) }

// NotifyMsg implements memberlist.Delegate. It copies the message, because its bytes belong to memberlist.
func (d *delegate) NotifyMsg(message []byte) {
	switch {
	case len(message) == 0:
	case message[0] == busMessageMarker:
		d.bus.deliver(slices.Clone(message))
	default:
		d.options.OnMessage(slices.Clone(message))
	}
}

// GetBroadcasts implements memberlist.Delegate.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState implements memberlist.Delegate. A node has no state to exchange.
func (*delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState implements memberlist.Delegate. A node has no state to exchange.
func (*delegate) MergeRemoteState([]byte, bool) {}

// NotifyJoin implements memberlist.EventDelegate. memberlist holds its lock while it calls NotifyJoin, NotifyUpdate and
// NotifyLeave.
func (d *delegate) NotifyJoin(node *memberlist.Node) {
	copied := *node
	copied.Meta = slices.Clone(node.Meta)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.alive[node.Name] = &copied
}

// NotifyUpdate implements memberlist.EventDelegate.
func (d *delegate) NotifyUpdate(node *memberlist.Node) { d.NotifyJoin(node) }

// NotifyLeave implements memberlist.EventDelegate.
func (d *delegate) NotifyLeave(node *memberlist.Node) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.alive, node.Name)
}
