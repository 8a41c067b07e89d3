package consensus

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"threadsail/internal/fleet/traffic"
)

// streamLayer is the raft engine's network: it dials voters by name, at the addresses known here, and hands over the
// connections that acceptConnections has found to be the engine's. It implements raft.StreamLayer and is safe for use by
// several goroutines.
type streamLayer struct {
	listener net.Listener
	incoming chan net.Conn
	shutdown <-chan struct{}
	traffic  *traffic.Counter

	mu        sync.Mutex // guards the fields below
	addresses map[raft.ServerAddress]string
}

var _ raft.StreamLayer = (*streamLayer)(nil)

func newStreamLayer(listener net.Listener, shutdown <-chan struct{}, t *traffic.Counter) *streamLayer {
	return &streamLayer{
		listener:  listener,
		incoming:  make(chan net.Conn),
		shutdown:  shutdown,
		traffic:   t,
		addresses: map[raft.ServerAddress]string{},
	}
}

// Accept returns the next connection of another voter.
func (l *streamLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.incoming:
		return conn, nil
	case <-l.shutdown:
		return nil, net.ErrClosed
	}
}

// Close does nothing: the listener is the Voter's.
func (l *streamLayer) Close() error { return nil }

// Addr is the address of the listener.
func (l *streamLayer) Addr() net.Addr { return l.listener.Addr() }

// Dial connects to the voter of a name.
func (l *streamLayer) Dial(name raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	address, known := l.address(name)
	if !known {
		return nil, fmt.Errorf("consensus: dial: no voter is named %q", name)
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

// address is where the voter of a name is reached.
func (l *streamLayer) address(name raft.ServerAddress) (address string, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	address, known = l.addresses[name]
	return address, known
}

// setAddress has the voter be reached at its address from now on.
func (l *streamLayer) setAddress(p Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses[raft.ServerAddress(p.Name)] = p.Addr
}
