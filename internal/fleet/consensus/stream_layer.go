package consensus

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"threadsail/internal/fleet/traffic"
)

// streamLayer is the raft engine's network transport. It dials voters by name, at their configured addresses, and passes on the
// raft connections that Voter.routeConnection has accepted. It implements raft.StreamLayer and is safe for concurrent use.
type streamLayer struct {
	listener net.Listener
	incoming chan net.Conn // raft connections accepted by the voter
	shutdown <-chan struct{}
	traffic  *traffic.Counter

	mu        sync.Mutex                    // guards the fields below
	addresses map[raft.ServerAddress]string // by voter name
}

var _ raft.StreamLayer = (*streamLayer)(nil)

func newStreamLayer(listener net.Listener, shutdown <-chan struct{}, counter *traffic.Counter) *streamLayer {
	return &streamLayer{
		listener:  listener,
		incoming:  make(chan net.Conn),
		shutdown:  shutdown,
		traffic:   counter,
		addresses: map[raft.ServerAddress]string{},
	}
}

// Accept waits for the next raft connection from another voter. After shutdown it returns net.ErrClosed.
func (l *streamLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.shutdown:
		return nil, net.ErrClosed
	}
}

// Close does nothing, since the Voter owns the listener.
func (l *streamLayer) Close() error { return nil }

// Addr returns the listener's address.
func (l *streamLayer) Addr() net.Addr { return l.listener.Addr() }

// Dial connects to the voter with the given name.
func (l *streamLayer) Dial(name raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	address, known := l.address(name)
	if !known {
		return nil, fmt.Errorf("consensus: dial: unknown voter %q", name)
	}
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write([]byte{connectionRaft}); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return l.traffic.Conn(conn, trafficKindRaft), nil
}

// address returns the address at which this process reaches the voter with the given name.
func (l *streamLayer) address(name raft.ServerAddress) (address string, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	address, known = l.addresses[name]
	return address, known
}

// setAddress sets the address at which later calls of Dial reach a voter.
func (l *streamLayer) setAddress(peer Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses[raft.ServerAddress(peer.Name)] = peer.Addr
}
