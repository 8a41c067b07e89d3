// Package distribution brings what all poolers share to each of them, at a cost that does not depend on how many there are. Some
// dozens of distributors know each other; every other pooler holds one stream to one of them (Subscriber), and knows the others
// to turn to. Down the stream go the feeds, as deltas from the version that the pooler has, and words that tell how new they are; up
// goes that the pooler lives and what it has in force. Messages of the parts (bus.Bus) go along the same streams. docs/distribution.md
// has the rules and their bounds.
//
// What holds: a pooler's copy only moves forward, whole version by whole version; nothing is sent that the pooler has; a reader
// that is slow is cut off at a bound and comes again by its version; without a distributor a pooler goes on by its last copy and
// knows its age.
package distribution

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"threadsail/internal/fleet/replication"
)

// Endpoint is a distributor as a pooler knows it: its name among the poolers, the address of its streams, and its region.
type Endpoint struct{ Name, Addr, Region string }

// Resource is a copy that the streams bring up to date: of the fleet's documents, or of the list of servers.
type Resource struct {
	Name            string
	Replica         *replication.Replica
	FullReplacement bool // as shared.History.Rewritten
}

// Status is what a pooler tells of itself.
type Status struct {
	Build    string `json:"build,omitempty"`
	Config   string `json:"config,omitempty"`
	Token    uint64 `json:"token,omitempty"` // of the list in force, as duty.Word
	Sequence uint64 `json:"seq,omitempty"`
}

// Dialer opens a connection; it fails once ctx ends.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// Counter counts what goes over the streams, by kind of frame, in bytes as they stand on the connection; it must not wait.
type Counter interface {
	In(kind string, bytes int)
	Out(kind string, bytes int)
}

type noopCounter struct{}

func (noopCounter) In(string, int)  {}
func (noopCounter) Out(string, int) {}

// setDefaults fills in what options leave out.
func setDefaults(dial *Dialer, count *Counter, log *func(string)) {
	if *dial == nil {
		*dial = dialTCP
	}
	if *count == nil {
		*count = noopCounter{}
	}
	if *log == nil {
		*log = func(string) {}
	}
}

// Every bound of time follows from the beat, a third of a lease's term: 1 s at the default term of 3 s.
const (
	// readTimeoutTenths without a byte end a stream, on either side, in tenths of a beat: two words may come late, or one be lost with
	// its connection's retransmission.
	readTimeoutTenths = 25
	// answerTimeoutTenths is how long a distributor may take to answer a call, in tenths of a beat: twice as long after each turn in which none
	// did, up to mostBeats beats.
	answerTimeoutTenths = 5
	maxAnswerHeartbeats = 4
	// writeTimeoutHeartbeats is how long a frame may take to be written, in beats: a reader that is slower is cut off.
	writeTimeoutHeartbeats = 4
	// maxLagHeartbeats is how long a distributor may show an older version than the pooler has before it is left, in beats: one that
	// has just started catches up within a beat.
	maxLagHeartbeats = 3
	// avoidHeartbeats is how long a distributor that was lost, or did not answer, is tried after all others, in beats.
	avoidHeartbeats = 10
	// preferredRetryHeartbeats is how long a pooler stays at another than its first choice before it looks there again, in beats, from half of it to
	// one and a half by its seed: 5,000 poolers that all have been moved ask one every 6 ms.
	preferredRetryHeartbeats = 30
)

func tenthsOfHeartbeat(beat time.Duration, n int) time.Duration { return beat * time.Duration(n) / 10 }

// handlers are what hears the messages of each topic.
type handlers struct {
	mu      sync.Mutex
	byTopic map[string]func(from string, body []byte)
}

// Handle is documented with bus.Bus. A topic that ends in a slash stands for all that begin with it and have no handler of their own.
func (h *handlers) Handle(topic string, f func(from string, body []byte)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byTopic == nil {
		h.byTopic = map[string]func(string, []byte){}
	}
	h.byTopic[topic] = f
}

// dispatch gives a message to whom it concerns. One that nobody handles has no effect.
func (h *handlers) dispatch(from, topic string, body []byte) {
	h.mu.Lock()
	f := h.byTopic[topic]
	if i := strings.IndexByte(topic, '/'); f == nil && i >= 0 {
		f = h.byTopic[topic[:i+1]]
	}
	h.mu.Unlock()
	if f != nil {
		f(from, body)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// minWriteRate is how fast a peer must take what is longer than its buffers, in bytes a second: a whole copy of 5 MB within nine seconds.
const minWriteRate = 1 << 20

// timeoutConn is a connection that fails where its peer gives no byte for a while, or takes none.
type timeoutConn struct {
	net.Conn
	readTimeout, writeTimeout time.Duration
}

func (l timeoutConn) Read(b []byte) (int, error) {
	if err := l.SetReadDeadline(time.Now().Add(l.readTimeout)); err != nil {
		return 0, err
	}
	return l.Conn.Read(b)
}

func (l timeoutConn) Write(b []byte) (int, error) {
	within := l.writeTimeout + time.Duration(len(b))*(time.Second/minWriteRate)
	if err := l.SetWriteDeadline(time.Now().Add(within)); err != nil {
		return 0, err
	}
	return l.Conn.Write(b)
}
