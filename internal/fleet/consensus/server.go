package consensus

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	maxConnections = 2048 // of clients, at the same time: the largest fleet, and restarts
	idleTimeout    = time.Minute
)

// acceptConnections hands each connection to a goroutine of its own, until the listener is closed.
func (v *Voter) acceptConnections() {
	for {
		conn, err := v.streams.listener.Accept()
		if err != nil {
			return
		}
		if !v.reserveConnection() {
			_ = conn.Close()
			continue
		}
		v.goroutines.Go(func() {
			defer v.releaseConnection()
			v.routeConnection(conn)
		})
	}
}

// reserveConnection counts one more connection, unless there are too many.
func (v *Voter) reserveConnection() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.connections >= maxConnections {
		return false
	}
	v.connections++
	return true
}

func (v *Voter) releaseConnection() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.connections--
}

// routeConnection hands a connection to the raft engine or serves a client, by its first byte.
func (v *Voter) routeConnection(conn net.Conn) {
	stop := v.closeAtShutdown(conn)
	var first [1]byte
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	_, err := io.ReadFull(conn, first[:])
	_ = conn.SetDeadline(time.Time{})
	switch {
	case err == nil && first[0] == connectionRaft:
		stop() // from here on the connection is the engine's, which leaves it open until the peer closes it
		v.handToRaft(conn)
		return
	case err == nil && first[0] == connectionClient:
		v.serveClient(conn)
	}
	stop()
	_ = conn.Close()
}

// handToRaft hands another voter's connection to the raft engine.
func (v *Voter) handToRaft(conn net.Conn) {
	select {
	case v.streams.incoming <- v.options.Traffic.Conn(conn, trafficKindRaft):
	case <-v.shutdown:
		_ = conn.Close()
	}
}

// closeAtShutdown has a connection closed when the voter ends, on a goroutine that stop ends before.
func (v *Voter) closeAtShutdown(conn net.Conn) (stop func()) {
	stopped := make(chan struct{})
	v.goroutines.Go(func() {
		select {
		case <-v.shutdown:
			_ = conn.Close()
		case <-stopped:
		}
	})
	return func() { close(stopped) }
}

// serveClient answers a client's requests in turn, until it disconnects, sends something else, or sends nothing for
// idleTimeout.
func (v *Voter) serveClient(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		_ = conn.SetDeadline(time.Now().Add(idleTimeout))
		line, err := readLine(in, maxRequestBytes)
		if err != nil {
			return
		}
		kind, out := v.handleLine(line)
		text, err := json.Marshal(out)
		if err != nil {
			return
		}
		v.options.Traffic.In(kind, 1, len(line)+1)
		if _, err := conn.Write(append(text, '\n')); err != nil {
			return
		}
		v.options.Traffic.Out(kind, 1, len(text)+1)
	}
}

// handleLine decodes a request and answers it. A line that is no request gets an error.
func (v *Voter) handleLine(line []byte) (trafficKind string, out response) {
	var r request
	if err := json.Unmarshal(line, &r); err != nil {
		return r.trafficKind(), response{Error: fmt.Sprintf("unreadable: %v", err)}
	}
	if err := r.validate(); err != nil {
		return r.trafficKind(), response{Error: err.Error()}
	}
	return r.trafficKind(), v.handle(r)
}
