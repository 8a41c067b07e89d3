package distribution

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// serverStream is the distributor's side of a stream.
type serverStream struct {
	hello
	conn         net.Conn
	outbox       *outbox
	sentVersions []uint64  // newest version that the peer holds or was sent, in the order of Distributor.resources; used by the writer only
	report       heartbeat // the peer's last report; guarded by registry.mu
}

// registry holds a distributor's streams and links and what it knows of the other distributors, and decides which streams are admitted.
// The zero value is not ready for use. It is safe for concurrent use.
type registry struct {
	mu          sync.Mutex               // guards the fields below
	streams     map[string]*serverStream // by name of the peer: poolers, and distributors that have opened a link to this one
	poolerCount int                      // number of streams from poolers
	links       map[string]*outbox       // outboxes of the links that this distributor has opened, by distributor
	directory   directory
	admission   admission
}

func newRegistry() registry {
	return registry{streams: map[string]*serverStream{}, links: map[string]*outbox{}, directory: newDirectory()}
}

// add admits a stream, or returns the refusal. region is the region of this distributor. A previous stream of the same peer is closed.
func (r *registry) add(stream *serverStream, region string) *refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.streams[stream.Name]
	if !stream.Distributor {
		if refused := r.refusePooler(stream, region, previous != nil); refused != nil {
			return refused
		}
	}
	if previous != nil {
		_ = previous.conn.Close() // the peer has reconnected, and its new hello states the versions that it holds
	}
	r.streams[stream.Name] = stream
	switch {
	case stream.Distributor:
		r.directory.linkOpened(stream.Name, stream.Region)
	case previous == nil || previous.Distributor:
		r.poolerCount++
		r.sendHoldings(holdings{Arrived: []string{stream.Name}})
	}
	return nil
}

// refusePooler returns the refusal if a pooler is not admitted now, and nil otherwise. The stream limits do not apply to a pooler that
// reconnects, as it replaces its own stream. The caller must hold r.mu.
func (r *registry) refusePooler(stream *serverStream, region string, reconnects bool) *refusal {
	if !reconnects {
		if r.poolerCount >= maxStreams {
			return &refusal{Reason: "no descriptor is left", Full: true}
		}
		streams, otherDistributors := r.directory.load(region)
		limit := streamLimit(streams+r.poolerCount, otherDistributors+1)
		if r.poolerCount >= limit && !stream.Insists {
			return &refusal{Reason: fmt.Sprintf("it holds %d streams, %d are its share", r.poolerCount, limit), Full: true}
		}
	}
	if retryAfter := r.admission.admit(time.Now()); retryAfter > 0 {
		return &refusal{Reason: "too many call at once", RetryAfterMillis: max(retryAfter.Milliseconds(), 1)}
	}
	return nil
}

// remove records the end of a stream. A newer stream of the same peer may have replaced it already.
func (r *registry) remove(stream *serverStream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if stream.Distributor {
		r.directory.linkClosed(stream.Name, time.Now())
	}
	if r.streams[stream.Name] != stream {
		return
	}
	delete(r.streams, stream.Name)
	if !stream.Distributor {
		r.poolerCount--
		r.sendHoldings(holdings{Departed: []string{stream.Name}})
	}
}

// addLink records a link that this distributor has opened, and queues its complete holdings on it.
func (r *registry) addLink(name string, out *outbox) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := holdings{Complete: true}
	for pooler, s := range r.streams {
		if !s.Distributor {
			all.Arrived = append(all.Arrived, pooler)
		}
	}
	slices.Sort(all.Arrived)
	out.enqueue(encodeJSONFrame(kindHoldings, all))
	r.links[name] = out
}

// removeLink records the end of a link.
func (r *registry) removeLink(name string, out *outbox) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.links[name] == out {
		delete(r.links, name)
	}
}

// sendHoldings queues a change of the holdings on all links. The caller must hold r.mu.
func (r *registry) sendHoldings(h holdings) {
	frame := encodeJSONFrame(kindHoldings, h)
	for _, out := range r.links {
		out.enqueue(frame)
	}
}

// recordHoldings records another distributor's holdings. A pooler that has arrived there has left this distributor, so its stream here, if
// still open, is closed. Complete holdings do not tell when a pooler arrived and close no stream.
func (r *registry) recordHoldings(distributor string, h holdings) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directory.update(distributor, h)
	if h.Complete {
		return
	}
	for _, pooler := range h.Arrived {
		if s := r.streams[pooler]; s != nil && !s.Distributor {
			_ = s.conn.Close()
		}
	}
}

// recordReport records the last report of a pooler.
func (r *registry) recordReport(stream *serverStream, report heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stream.report = report
}

// recordSummary records another distributor's summary of its poolers.
func (r *registry) recordSummary(distributor string, summary Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state := r.directory.distributors[distributor]; state != nil {
		state.summary = summary
	}
}

// expire removes the distributors that have had no link open here for the given time.
func (r *registry) expire(after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directory.expire(time.Now(), after)
}

// wakeStreams makes the writers of all streams check the resources for new versions.
func (r *registry) wakeStreams() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.streams {
		s.outbox.wakeWriter()
	}
}

// forward queues a message for its recipient, or for the distributor of its recipient. ok is false if the recipient is unknown or is being
// disconnected. A message that another distributor has forwarded already (lastHop) is sent only to poolers connected here.
func (r *registry) forward(to string, frame []byte, lastHop bool) (ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.streams[to]; s != nil && !s.Distributor {
		return s.outbox.enqueue(frame)
	}
	if lastHop {
		return false
	}
	out := r.links[to]
	if out == nil {
		out = r.links[r.directory.distributorOf[to]]
	}
	return out != nil && out.enqueue(frame)
}

// forwardBroadcast queues a broadcast for all poolers of this distributor except its sender, and on all links unless another distributor
// has forwarded it already (lastHop).
func (r *registry) forwardBroadcast(b broadcast, lastHop bool) {
	frame, key := b.frame(), b.from+"\x00"+b.topic
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.streams {
		if !s.Distributor && s.Name != b.from {
			s.outbox.enqueueBroadcast(key, frame)
		}
	}
	if lastHop {
		return
	}
	for _, out := range r.links {
		out.enqueueBroadcast(key, frame)
	}
}

// aliveDistributors returns the names of the other distributors that have a link open here.
func (r *registry) aliveDistributors() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directory.alive()
}

// fleetSize returns the number of poolers that are known to be alive, including this distributor and the others.
func (r *registry) fleetSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.directory.distributorOf) + r.poolerCount + len(r.directory.alive()) + 1
}

// streamCount returns the number of streams from poolers.
func (r *registry) streamCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.poolerCount
}
