package consensus

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
	"threadsail/internal/fleet/traffic"
)

// Client sends requests for leases and documents to the voters, one at a time, over a persistent connection. The exported fields
// must be set before the first request. A Client is not safe for concurrent use; ClientPool is.
type Client struct {
	Holder  string // name under which this pooler holds leases
	Voters  []Peer
	Timeout time.Duration    // of a request, including its attempts at all voters
	Traffic *traffic.Counter // counts messages sent and received; nil disables counting

	current    int           // index in Voters of the voter tried last
	reader     *bufio.Reader // reads from connection
	lastUsedAt time.Time     // when a request last used the connection

	mu         sync.Mutex // guards connection, which interrupt uses from other goroutines
	connection net.Conn   // to the current voter; nil if none is open
}

// ErrNoLeader is the error of a request that no voter decided in time: the voters have lost their quorum or are electing a
// leader, or this pooler can't reach them.
var ErrNoLeader = errors.New("consensus: no leader answered")

// Acquire requests a lease or its renewal. granted reports whether this pooler holds the lease, whose duration counts from the
// request. If it is false, current is the lease of the current holder.
func (c *Client) Acquire(ctx context.Context, name lease.Name, duration time.Duration) (current lease.Lease, granted bool, err error) {
	resp, err := c.do(ctx, request{Lease: name, Holder: c.Holder, Duration: duration})
	return resp.Lease, resp.OK, err
}

// Release releases a lease. The caller must have stopped acting under it.
func (c *Client) Release(ctx context.Context, name lease.Name) error {
	_, err := c.do(ctx, request{Release: true, Lease: name, Holder: c.Holder})
	return err
}

// Put writes a document, as described at replication.Store. After a retry it reports a refusal as an untyped error, since the
// refusal may be caused by an earlier attempt that was applied.
func (c *Client) Put(ctx context.Context, w replication.Write) (version uint64, err error) {
	resp, err := c.do(ctx, request{Holder: c.Holder, Put: &w})
	switch {
	case err != nil:
		return 0, err
	case resp.Refused == "":
		return resp.Version, nil
	case resp.MaybeApplied: // an earlier attempt may have been applied and caused this refusal
		return 0, fmt.Errorf("consensus: put: an earlier attempt may have been applied: %s", resp.Reason)
	}
	refusalErr, ok := refusalErrors[resp.Refused]
	if !ok {
		return 0, fmt.Errorf("consensus: put: refused: %s: %s", resp.Refused, resp.Reason)
	}
	return 0, fmt.Errorf("%w (%s)", refusalErr, resp.Reason)
}

// Read returns a document by a linearizable read, as described at replication.Store.
func (c *Client) Read(ctx context.Context, key string) (replication.Document, error) {
	resp, err := c.do(ctx, request{Holder: c.Holder, Read: key})
	if err != nil {
		return replication.Document{}, err
	}
	if resp.Doc == nil {
		return replication.Document{}, fmt.Errorf("consensus: read: response from voter %s lacks the document %s", c.Voters[c.current].Name, key)
	}
	return *resp.Doc, nil
}

// Fetch returns all documents if they are newer than a version, as described at replication.SnapshotFetcher.
func (c *Client) Fetch(ctx context.Context, since uint64, linearizable bool) (snapshot replication.Snapshot, newer bool, err error) {
	resp, err := c.do(ctx, request{Holder: c.Holder, Since: &since, Linearizable: linearizable})
	if err != nil || resp.State == nil {
		return replication.Snapshot{}, false, err
	}
	return *resp.State, true, nil
}

// Close closes the connection. A later request opens a new one.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connection != nil {
		_ = c.connection.Close()
		c.connection = nil
	}
}

// do sends a request to the voter tried last and retries it until a voter decides, Timeout has passed or ctx ends. Each retry
// goes to the leader that the last response named, or else to the next voter. After an attempt at each voter do waits, since
// the voters may be electing a leader. MaybeApplied of the returned response is true if an earlier attempt may have been
// applied. The error wraps ErrNoLeader, unless the request can't be encoded.
func (c *Client) do(ctx context.Context, r request) (response, error) {
	line, err := json.Marshal(r)
	if err != nil {
		return response{}, err
	}
	deadline := time.Now().Add(c.Timeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	stop := context.AfterFunc(ctx, c.interrupt)
	defer stop()
	attemptTimeout := c.Timeout / time.Duration(len(c.Voters)) // so that an unresponsive voter leaves time for the others
	maybeApplied := false
	lastErr := ErrNoLeader
	for attempt := 1; time.Now().Before(deadline) && ctx.Err() == nil; attempt++ {
		if attempt%(len(c.Voters)+1) == 0 {
			pause(ctx, min(attemptTimeout/4, time.Until(deadline)))
		}
		resp, sent, err := c.roundTrip(r.trafficKind(), line, min(attemptTimeout, time.Until(deadline)))
		maybeApplied = maybeApplied || resp.MaybeApplied || sent && err != nil
		if err == nil && resp.Error == "" {
			resp.MaybeApplied = maybeApplied
			return resp, nil
		}
		lastErr = c.attemptError(resp, err)
		c.switchTo(c.nextVoter(resp, err))
	}
	return response{}, lastErr
}

// pause waits for a duration or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// attemptError returns the error of an attempt at the current voter that led to no decision. err is the error of the round
// trip; if it is nil, the response has the error.
func (c *Client) attemptError(resp response, err error) error {
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrNoLeader, c.Voters[c.current].Name, err)
	}
	return fmt.Errorf("%w: %s: %s", ErrNoLeader, c.Voters[c.current].Name, resp.Error)
}

// nextVoter returns the index of the voter to try next: the leader that the response names, or else the next one in Voters.
func (c *Client) nextVoter(resp response, err error) int {
	if err == nil {
		if leader := slices.IndexFunc(c.Voters, func(p Peer) bool { return p.Name == resp.Leader }); leader >= 0 {
			return leader
		}
	}
	return (c.current + 1) % len(c.Voters)
}

// switchTo makes a voter the current one, and closes the connection if that was another voter.
func (c *Client) switchTo(voter int) {
	if voter != c.current {
		c.Close()
		c.current = voter
	}
}

// roundTrip sends a request line to the current voter and reads the response. sent reports whether the voter may have received
// the line. After an error the connection is closed, since a late response would be mistaken for that of the next request.
func (c *Client) roundTrip(kind string, line []byte, timeout time.Duration) (resp response, sent bool, err error) {
	defer func() {
		if err != nil {
			c.Close()
		}
	}()
	deadline := time.Now().Add(timeout)
	conn, opened, err := c.connect(timeout)
	if err != nil {
		return response{}, false, err
	}
	if opened {
		line = append([]byte{connectionClient}, line...)
	}
	_ = conn.SetDeadline(deadline)
	if _, err = conn.Write(append(slices.Clip(line), '\n')); err != nil {
		return response{}, true, err
	}
	c.Traffic.AddSent(kind, 1, len(line)+1)
	encoded, err := readLine(c.reader, maxResponseBytes)
	if err != nil {
		return response{}, true, err
	}
	c.Traffic.AddReceived(kind, 1, len(encoded)+1)
	return resp, true, json.Unmarshal(encoded, &resp)
}

// connect returns the connection to the current voter; opened reports whether it is new. A connection that has been idle for
// half of idleTimeout is replaced, since the voter may be about to close it: if a write meets the close, the client can't know
// whether the voter read it.
func (c *Client) connect(timeout time.Duration) (conn net.Conn, opened bool, err error) {
	if time.Since(c.lastUsedAt) > idleTimeout/2 {
		c.Close()
	}
	c.lastUsedAt = time.Now()
	if conn = c.openConnection(); conn != nil {
		return conn, false, nil
	}
	conn, err = net.DialTimeout("tcp", c.Voters[c.current].Addr, timeout)
	if err != nil {
		return nil, false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.connection = conn
	c.reader = bufio.NewReader(conn)
	return conn, true, nil
}

// openConnection returns the open connection, or nil if there is none.
func (c *Client) openConnection() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connection
}

// interrupt makes a round trip in progress fail. It is safe to call from any goroutine.
func (c *Client) interrupt() {
	if conn := c.openConnection(); conn != nil {
		_ = conn.SetDeadline(time.Now())
	}
}
