package standin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Script is a server that answers by rote: each connection gets the first reply at once, and the next one each time that something comes
// from its peer. Peers must send what they send between two replies by one write.
type Script struct {
	Addr     string
	listener net.Listener

	closed chan struct{} // closed once a peer has closed a connection
	once   sync.Once     // for closed
	read   atomic.Int32  // times that something came, on all connections
}

// NewScript starts a server at a free port of loopback. An empty reply is not sent.
func NewScript(replies ...[]byte) (*Script, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Script{Addr: listener.Addr().String(), listener: listener, closed: make(chan struct{})}
	go s.accept(replies)
	return s, nil
}

func (s *Script) accept(replies [][]byte) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn, replies)
	}
}

func (s *Script) serve(conn net.Conn, replies [][]byte) {
	defer conn.Close()
	buffer := make([]byte, 64<<10)
	for i := 0; ; i++ {
		if i < len(replies) {
			send(conn, replies[i])
		}
		if _, err := conn.Read(buffer); err != nil {
			s.once.Do(func() { close(s.closed) })
			return
		}
		s.read.Add(1)
	}
}

// Read returns how often something has come from peers.
func (s *Script) Read() int { return int(s.read.Load()) }

// WaitClosed blocks until a peer has closed a connection, and reports false if none does in time.
func (s *Script) WaitClosed() bool {
	const patience = 20 * time.Second
	select {
	case <-s.closed:
		return true
	case <-time.After(patience):
		return false
	}
}

// Close stops accepting connections.
func (s *Script) Close() { _ = s.listener.Close() }
