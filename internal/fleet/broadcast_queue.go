package fleet

import "time"

// maxQueuedAnnouncements is how many of the leader's messages may wait to be sent: a round each of many groups.
const maxQueuedAnnouncements = 64

// queuedBroadcast is a leader's message that waits to be sent.
type queuedBroadcast struct {
	topic    string
	message  message
	deadline time.Time           // of the leader's lease: nothing is sent from then on
	done     func(complete bool) // called once
}

// broadcaster sends a message to all poolers, and nothing from the deadline on; complete says that the deadline was not
// reached.
type broadcaster interface {
	Broadcast(topic string, text []byte, deadline time.Time) (complete bool)
}

// broadcastQueue sends the leader's messages on a goroutine of its own, because hundreds of datagrams must not delay the
// pooler's event loop.
type broadcastQueue struct {
	network broadcaster
	queue   chan queuedBroadcast
}

func newBroadcastQueue(network broadcaster) *broadcastQueue {
	return &broadcastQueue{network: network, queue: make(chan queuedBroadcast, maxQueuedAnnouncements)}
}

// enqueue never blocks: where the sender is behind the message is dropped, and the leader repeats it.
func (q *broadcastQueue) enqueue(b queuedBroadcast) {
	select {
	case q.queue <- b:
	default:
		b.done(false)
	}
}

// run sends what is queued, until shutdown is closed and the queue is empty.
func (q *broadcastQueue) run(shutdown <-chan struct{}) {
	for b, ok := receive(q.queue, shutdown); ok; b, ok = receive(q.queue, shutdown) {
		b.done(q.network.Broadcast(b.topic, encodeMessage(b.message), b.deadline))
	}
}

// receive waits for the next item of a queue; ok false: shutdown is closed and nothing is queued.
func receive[T any](queue <-chan T, shutdown <-chan struct{}) (item T, ok bool) {
	select {
	case item = <-queue:
		return item, true
	default:
	}
	select {
	case item = <-queue:
		return item, true
	case <-shutdown:
		return item, false
	}
}
