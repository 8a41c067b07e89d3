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
	maxConnections = 2048        // open client connections; covers the largest fleet, including poolers that restart
	idleTimeout    = time.Minute // between requests of a client connection
)

// acceptConnections accepts connections until the listener is closed, and handles each on its own goroutine.
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

// reserveConnection counts a new connection. It returns false if maxConnections are open.
func (v *Voter) reserveConnection() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.connections >= maxConnections {
		return false
	}
	v.connections++
	return true
}

// releaseConnection undoes reserveConnection.
func (v *Voter) releaseConnection() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.connections--
}

// routeConnection reads the first byte of a connection, and then hands the connection to the raft engine or serves a client.
func (v *Voter) routeConnection(conn net.Conn) {
	stop := v.closeAtShutdown(conn)
	var firstByte [1]byte
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	_, err := io.ReadFull(conn, firstByte[:])
	_ = conn.SetDeadline(time.Time{})
	switch {
	case err == nil && firstByte[0] == connectionRaft:
		stop() // the raft engine owns the connection now, and keeps it open until the peer closes it
		v.handToRaft(conn)
		return
	case err == nil && firstByte[0] == connectionClient:
		v.serveClient(conn)
	}
	stop()
	_ = conn.Close()
}

// handToRaft passes a connection from another voter to the raft engine.
func (v *Voter) handToRaft(conn net.Conn) {
	select {
	case v.streams.incoming <- v.options.Traffic.Conn(conn, trafficKindRaft):
	case <-v.shutdown:
		_ = conn.Close()
	}
}

// closeAtShutdown starts a goroutine that closes a connection when the voter shuts down. The returned function ends the
// goroutine without closing the connection; it must be called once.
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

// serveClient handles a client's requests one after the other. It returns when the client disconnects, sends a line that is too
// long, or sends no request for idleTimeout.
func (v *Voter) serveClient(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetDeadline(time.Now().Add(idleTimeout))
		line, err := readLine(reader, maxRequestBytes)
		if err != nil {
			return
		}
		kind, resp := v.handleLine(line)
		encoded, err := json.Marshal(resp)
		if err != nil {
			return
		}
		v.options.Traffic.AddReceived(kind, 1, len(line)+1)
		if _, err := conn.Write(append(encoded, '\n')); err != nil {
			return
		}
		v.options.Traffic.AddSent(kind, 1, len(encoded)+1)
	}
}

// handleLine decodes and handles a request. A malformed or incomplete request gets a response with an error.
func (v *Voter) handleLine(line []byte) (trafficKind string, resp response) {
	var r request
	if err := json.Unmarshal(line, &r); err != nil {
		return r.trafficKind(), response{Error: fmt.Sprintf("unreadable: %v", err)}
	}
	if err := r.validate(); err != nil {
		return r.trafficKind(), response{Error: err.Error()}
	}
	return r.trafficKind(), v.handle(r)
}
