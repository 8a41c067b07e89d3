package consensus

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"threadsail/internal/fleet/traffic"
)

// streamLayer is the engine's network: it dials stewards by name, at the addresses known here.
type streamLayer struct {
	listener net.Listener
	incoming chan net.Conn
	shutdown chan struct{}
	traffic  *traffic.Counter

	mu        sync.Mutex
	addresses map[raft.ServerAddress]string
}

func (l *streamLayer) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.shutdown:
		return nil, net.ErrClosed
	}
}

func (l *streamLayer) Close() error   { return nil } // the listener is the steward's
func (l *streamLayer) Addr() net.Addr { return l.listener.Addr() }

func (l *streamLayer) Dial(name raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	l.mu.Lock()
	addr, ok := l.addresses[name]
	l.mu.Unlock()
	if !ok {
		return nil, fmt.Errorf("no steward is named %q", name)
	}
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	if _, err := c.Write([]byte{connectionRaft}); err != nil {
		_ = c.Close()
		return nil, err
	}
	return l.traffic.Conn(c, trafficKindRaft), nil
}
