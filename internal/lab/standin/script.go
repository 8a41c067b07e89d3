package standin

import (
	"net"
	"sync"
)

// Script is a server that answers by rote: each connection gets the first reply at once, and the next one each time that something comes
// from its peer. Peers must send what they send between two replies by one write.
type Script struct {
	Addr     string
	listener net.Listener

	mu     sync.Mutex
	read   int // times that something came, on all connections
	closed int // connections that the peer has closed
}

// NewScript starts a server at a free port of loopback. An empty reply is not sent.
func NewScript(replies ...[]byte) (*Script, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Script{Addr: listener.Addr().String(), listener: listener}
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
		_, err := conn.Read(buffer)
		s.count(err)
		if err != nil {
			return
		}
	}
}

func (s *Script) count(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.closed++
	} else {
		s.read++
	}
}

// Read returns how often something has come from peers.
func (s *Script) Read() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read
}

// Closed returns the number of connections that peers have closed.
func (s *Script) Closed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Close stops accepting connections.
func (s *Script) Close() { _ = s.listener.Close() }
