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
	Name              string // among the poolers: a distributor is one itself
	Region            string
	Distributors      []Endpoint // all that may call, this one among them or not
	Resources         []Resource // the first are the documents, which summaries are of
	HeartbeatInterval time.Duration
	Dial              Dialer       // nil: TCP
	Counter           Counter      // nil: none
	Log               func(string) // nil: none
}

// Distributor serves the resources to its poolers, and keeps links to all other distributors. It implements bus.Bus for its own
// process. It is safe for use by several goroutines.
type Distributor struct {
	handlers
	options       DistributorOptions
	timing        timing
	dialer        streamDialer
	logger        onceLogger
	listener      net.Listener
	resources     []*publishedResource
	snapshotSlots chan struct{} // holds a token for each snapshot that is being written
	pendingCalls  chan struct{} // holds a token for each connection that has not sent a hello yet
	cancel        context.CancelFunc
	running       sync.WaitGroup
	registry      registry
}

var _ bus.Bus = (*Distributor)(nil)

// NewDistributor accepts calls from a listener, which it closes at its end, and calls the other distributors, until Close.
func NewDistributor(listener net.Listener, options DistributorOptions) *Distributor {
	setDefaults(&options.Dial, &options.Counter, &options.Log)
	limits := timing{options.HeartbeatInterval}
	d := &Distributor{
		options:       options,
		timing:        limits,
		dialer:        streamDialer{dial: options.Dial, timing: limits, counter: options.Counter},
		logger:        onceLogger{log: options.Log},
		listener:      listener,
		snapshotSlots: make(chan struct{}, maxSnapshotWrites),
		pendingCalls:  make(chan struct{}, maxPendingCalls),
		registry:      newRegistry(),
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

// Close ends all streams, and waits for their goroutines.
func (d *Distributor) Close() {
	d.cancel()
	_ = d.listener.Close()
	d.running.Wait()
}

// accept serves each caller on a goroutine of its own, until the listener is closed.
func (d *Distributor) accept(ctx context.Context) {
	for {
		conn, err := d.listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			d.options.Log("distributor: accept: " + err.Error())
			sleep(ctx, d.timing.heartbeat) // descriptors, for want of which it failed, may come free
			continue
		}
		select {
		case d.pendingCalls <- struct{}{}:
			d.running.Go(func() { d.serve(ctx, conn) }) // ends with ctx or the connection; Close waits for it
		default: // more than a whole fleet calls, and sends nothing
			_ = conn.Close()
		}
	}
}
