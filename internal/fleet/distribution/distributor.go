package distribution

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"threadsail/internal/fleet/bus"
)

// DistributorOptions configure a Distributor.
type DistributorOptions struct {
	Name              string // name of this distributor as a pooler, which it is itself
	Region            string
	Distributors      []Endpoint // all distributors that may open links; may include this one
	Resources         []Resource // the first is the documents, to which summaries refer
	HeartbeatInterval time.Duration
	Dial              Dialer       // default: TCP
	Counter           Counter      // default: no counting
	Log               func(string) // default: no logging
}

// Distributor serves the resources to the poolers that subscribe to it, and keeps links to all other distributors. It implements bus.Bus
// for its own process. It is safe for concurrent use.
type Distributor struct {
	handlers
	options           DistributorOptions
	timing            timing
	dialer            streamDialer
	logger            onceLogger
	listener          net.Listener
	resources         []*publishedResource
	snapshotSlots     chan struct{} // semaphore: one element for each snapshot that is being written
	pendingHandshakes chan struct{} // semaphore: one element for each connection that has not sent a hello yet
	cancel            context.CancelFunc
	running           sync.WaitGroup
	registry          registry
}

var _ bus.Bus = (*Distributor)(nil)

// NewDistributor returns a Distributor that accepts streams from listener and opens links to the other distributors until Close, which
// also closes the listener.
func NewDistributor(listener net.Listener, options DistributorOptions) *Distributor {
	setDefaults(&options.Dial, &options.Counter, &options.Log)
	limits := timing{options.HeartbeatInterval}
	d := &Distributor{
		options:           options,
		timing:            limits,
		dialer:            streamDialer{dial: options.Dial, timing: limits, counter: options.Counter},
		logger:            onceLogger{log: options.Log},
		listener:          listener,
		snapshotSlots:     make(chan struct{}, maxSnapshotWrites),
		pendingHandshakes: make(chan struct{}, maxPendingHandshakes),
		registry:          newRegistry(),
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for _, resource := range options.Resources {
		published := newPublishedResource(resource)
		d.resources = append(d.resources, published)
		d.running.Go(func() { published.follow(ctx, d.registry.wakeStreams) }) // ends with ctx; Close waits for it
	}
	for _, endpoint := range options.Distributors {
		if endpoint.Name != options.Name {
			d.running.Go(func() { d.maintainLink(ctx, endpoint) }) // ends with ctx; Close waits for it
		}
	}
	d.running.Go(func() { d.accept(ctx) }) // ends with the listener; Close waits for it
	return d
}

// Close closes the listener and ends all streams and links. It blocks until their goroutines have ended.
func (d *Distributor) Close() {
	d.cancel()
	_ = d.listener.Close()
	d.running.Wait()
}

// accept serves each connection on its own goroutine, until the listener is closed.
func (d *Distributor) accept(ctx context.Context) {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			d.options.Log("distributor: accept failed: " + err.Error())
			sleep(ctx, d.timing.heartbeat) // if no descriptors were left, some may be free by then
			continue
		}
		select {
		case d.pendingHandshakes <- struct{}{}:
			d.running.Go(func() { d.serve(ctx, conn) }) // ends with ctx or the connection; Close waits for it
		default: // too many connections have not sent a hello
			_ = conn.Close()
		}
	}
}
