package fleet

import "time"

// maxQueuedAnnouncements is the capacity of the broadcast queue, in messages. It holds a round of messages about many groups.
const maxQueuedAnnouncements = 64

// queuedBroadcast is a message of the leader that is queued for sending.
type queuedBroadcast struct {
	topic    string
	message  message
	deadline time.Time           // end of the leader's lease; nothing is sent after it
	done     func(complete bool) // called once
}

// broadcaster sends a message to all poolers. It stops at the deadline; complete reports whether it finished before.
type broadcaster interface {
	Broadcast(topic string, encoded []byte, deadline time.Time) (complete bool)
}

// broadcastQueue sends the leader's messages on a separate goroutine, because sending hundreds of datagrams must not delay the
// pooler's event loop.
type broadcastQueue struct {
	network broadcaster
	queue   chan queuedBroadcast
}

func newBroadcastQueue(network broadcaster) *broadcastQueue {
	return &broadcastQueue{network: network, queue: make(chan queuedBroadcast, maxQueuedAnnouncements)}
}

// enqueue queues a message without blocking. If the queue is full, the message is dropped and done is called with complete
// false; the leader repeats the message.
func (q *broadcastQueue) enqueue(b queuedBroadcast) {
	select {
	case q.queue <- b:
	default:
		b.done(false)
	}
}

// run sends the queued messages until shutdown is closed and the queue is empty.
func (q *broadcastQueue) run(shutdown <-chan struct{}) {
	for b, ok := receive(q.queue, shutdown); ok; b, ok = receive(q.queue, shutdown) {
		b.done(q.network.Broadcast(b.topic, encodeMessage(b.message), b.deadline))
	}
}

// receive returns the next item of a queue. It blocks until there is one, or until shutdown is closed; ok is false if shutdown
// is closed and the queue is empty.
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
