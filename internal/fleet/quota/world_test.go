package quota

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/fleet"
	"threadsail/internal/fleet/audit"
	"threadsail/internal/fleet/bus"
	"threadsail/internal/fleet/bus/bustest"
	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
	"threadsail/internal/fleet/replication/replicationtest"
)

// stallableBus is the bus of a process that can be stalled: outgoing and incoming messages wait until the process resumes. It simulates a
// clock that is slow by skew over a term, by extending the term of received grants.
type stallableBus struct {
	*bustest.Bus
	skew      time.Duration
	sentBytes *atomic.Int64

	mu      sync.Mutex
	resumed chan struct{} // closed when the process resumes; nil while it is not stalled
}

func (s *stallableBus) stall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed == nil {
		s.resumed = make(chan struct{})
	}
}

func (s *stallableBus) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed != nil {
		close(s.resumed)
		s.resumed = nil
	}
}

func (s *stallableBus) waitUntilRunning() {
	s.mu.Lock()
	resumed := s.resumed
	s.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

func (s *stallableBus) Send(ctx context.Context, to, topic string, body []byte) error {
	s.waitUntilRunning()
	s.sentBytes.Add(int64(len(body)))
	return s.Bus.Send(context.WithoutCancel(ctx), to, topic, body)
}

func (s *stallableBus) Handle(topic string, f func(string, []byte)) {
	s.Bus.Handle(topic, func(from string, body []byte) {
		s.waitUntilRunning()
		var g Grant
		if topic == topicGrant && json.Unmarshal(body, &g) == nil {
			g.Term += s.skew
			body, _ = json.Marshal(g)
		}
		f(from, body)
	})
}

// node is a pooler. component belongs to its running process, and is nil if none is running.
type node struct {
	name      string
	bus       *stallableBus
	component *Component
	voters    *replicationtest.Client
	end       context.CancelFunc
	starts    int
	demand    [2]int // by limit: number of tokens requested in a step
}

// testFleet is a fleet on a simulated network. It must run in a synctest bubble.
type testFleet struct {
	network   *bustest.Network
	cluster   *replicationtest.Cluster
	nodes     []*node
	rng       *rand.Rand
	running   sync.WaitGroup
	restarts  int // number of restarted processes
	sentBytes atomic.Int64
}

func (f *testFleet) start(n *node) {
	n.starts++
	instance := fmt.Sprint(n.name, "/", n.starts)
	n.bus = &stallableBus{Bus: f.network.Join(n.name), skew: time.Duration(f.rng.Int64N(int64(drift))), sentBytes: &f.sentBytes}
	n.voters = f.cluster.Client(instance)
	n.component = New(Options{Instance: instance, Term: term, Drift: drift, FleetSize: len(f.nodes), Limits: limits})
	ctx, cancel := context.WithCancel(context.Background())
	n.end = cancel
	voters, jitter := n.voters, f.rng.Float64()
	runtime := fleet.Runtime{Bus: n.bus, View: f.cluster.View(), Store: voters, Log: zerolog.Nop(), Audit: func(audit.Record) {},
		Campaign: func(ctx context.Context, d lease.Name) replication.Leadership {
			return voters.Campaign(ctx, d, replication.CandidateOptions{LeaseTerm: term, MaxClockDrift: drift, JitterFraction: jitter})
		}}
	component := n.component
	f.running.Go(func() { _ = component.Run(ctx, runtime) })
}

func (f *testFleet) kill(n *node) {
	n.end()
	n.bus.resume()
	n.bus.Stop()
	n.component = nil
}

// leader returns the pooler that allocates quotas, or the first pooler if there is none.
func (f *testFleet) leader() *node {
	for _, n := range f.nodes {
		if n.component != nil {
			n.component.mu.Lock()
			leads := n.component.allocating
			n.component.mu.Unlock()
			if leads {
				return n
			}
		}
	}
	return f.nodes[0]
}

var _ bus.Bus = (*stallableBus)(nil)
