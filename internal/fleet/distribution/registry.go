package distribution

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// serverStream is an admitted caller's.
type serverStream struct {
	hello
	conn         net.Conn
	outbox       *outbox
	sentVersions []uint64  // by resource, in their order: what the caller holds or was sent; the writer's alone
	report       heartbeat // the caller's last; guarded by registry.mu
}

// registry is a distributor's streams, links and knowledge of the other distributors, and decides which callers are admitted. Its zero
// value is not ready for use. It is safe for use by several goroutines.
type registry struct {
	mu          sync.Mutex               // guards the fields below
	streams     map[string]*serverStream // by caller: poolers, and distributors that have called
	poolerCount int                      // of streams
	links       map[string]*outbox       // of the links that this distributor has opened, by distributor
	directory   directory
	admission   admission
}

func newRegistry() registry {
	return registry{streams: map[string]*serverStream{}, links: map[string]*outbox{}, directory: newDirectory()}
}

// add admits a caller to a distributor of a region, or returns the refusal.
func (r *registry) add(s *serverStream, region string) *refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.streams[s.Name]
	if !s.Distributor {
		if refused := r.refusePooler(s, region, previous != nil); refused != nil {
			return refused
		}
	}
	if previous != nil {
		_ = previous.conn.Close() // the caller has come again, and its new call tells what it holds
	}
	r.streams[s.Name] = s
	switch {
	case s.Distributor:
		r.directory.linkOpened(s.Name, s.Region)
	case previous == nil || previous.Distributor:
		r.poolerCount++
		r.sendHoldings(holdings{Arrived: []string{s.Name}})
	}
	return nil
}

// refusePooler returns why a pooler is not admitted now; nil: it is admitted. A pooler that returns takes the place of its own stream. The caller
// holds the mutex.
func (r *registry) refusePooler(s *serverStream, region string, returns bool) *refusal {
	if !returns {
		if r.poolerCount >= maxStreams {
			return &refusal{Reason: "no descriptor is left", Full: true}
		}
		streams, others := r.directory.load(region)
		limit := streamLimit(streams+r.poolerCount, others+1)
		if r.poolerCount >= limit && !s.Insists {
			return &refusal{Reason: fmt.Sprintf("it holds %d streams, %d are its share", r.poolerCount, limit), Full: true}
		}
	}
	if retryAfter := r.admission.admit(time.Now()); retryAfter > 0 {
		return &refusal{Reason: "too many call at once", RetryAfterMillis: max(retryAfter.Milliseconds(), 1)}
	}
	return nil
}

// remove records the end of a stream, which a newer one of its caller may have replaced.
func (r *registry) remove(s *serverStream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Distributor {
		r.directory.linkClosed(s.Name, time.Now())
	}
	if r.streams[s.Name] != s {
		return
	}
	delete(r.streams, s.Name)
	if !s.Distributor {
		r.poolerCount--
		r.sendHoldings(holdings{Departed: []string{s.Name}})
	}
}

// addLink records a link that this distributor has opened, and queues all its holdings on it.
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

// sendHoldings reports a change of the holdings on all links. The caller holds the mutex.
func (r *registry) sendHoldings(h holdings) {
	frame := encodeJSONFrame(kindHoldings, h)
	for _, out := range r.links {
		out.enqueue(frame)
	}
}

// takeHoldings records another distributor's holdings. A pooler that has arrived there has left here, even if its stream is still open.
func (r *registry) takeHoldings(distributor string, h holdings) {
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

// takeReport records a pooler's report.
func (r *registry) takeReport(s *serverStream, report heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.report = report
}

// takeSummary records another distributor's summary of its poolers.
func (r *registry) takeSummary(distributor string, summary Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state := r.directory.distributors[distributor]; state != nil {
		state.summary = summary
	}
}

// expire forgets distributors that have had no link for a while.
func (r *registry) expire(after time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directory.expire(time.Now(), after)
}

// wakeStreams makes the writers of all streams look at the resources.
func (r *registry) wakeStreams() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.streams {
		s.outbox.wakeWriter()
	}
}

// forward queues a message towards its pooler; ok false: it is not known, or is being disconnected. A message that another distributor
// has forwarded already (lastHop) goes to poolers of this one alone.
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

// forwardBroadcast queues a broadcast for all poolers of this distributor but its sender, and, unless another distributor has forwarded
// it (lastHop), on all links.
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

// aliveDistributors returns the other distributors that have a link open here.
func (r *registry) aliveDistributors() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directory.alive()
}

// fleetSize returns how many poolers are known to be alive, this distributor and the others among them.
func (r *registry) fleetSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.directory.distributorOf) + r.poolerCount + len(r.directory.alive()) + 1
}

// streamCount returns how many poolers' streams end here.
func (r *registry) streamCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.poolerCount
}
