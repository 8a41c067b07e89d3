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

// Client sends requests for leases and documents to the voters, one at a time, over a connection that it keeps. Its exported
// fields are set before the first request. It is not safe for use by several goroutines; ClientPool is.
type Client struct {
	Holder  string // this pooler's name as a holder of leases
	Voters  []Peer
	Timeout time.Duration    // of one request, over all voters tried
	Traffic *traffic.Counter // counts what is sent and received; nil: nothing does

	current    int           // index of the voter asked last
	reader     *bufio.Reader // of connection
	lastUsedAt time.Time     // connection

	mu         sync.Mutex // guards connection, which the end of a context interrupts
	connection net.Conn   // to the current voter; nil: none is open
}

// ErrNoLeader says that no voter answered with a decision in time: the voters have lost their quorum, are electing a leader,
// or can't be reached from here.
var ErrNoLeader = errors.New("consensus: no leader answered")

// Acquire requests a lease, or its renewal. granted says whether this pooler has the lease, counted from the request; if not,
// the lease returned is its present holder's.
func (c *Client) Acquire(ctx context.Context, name lease.Name, duration time.Duration) (current lease.Lease, granted bool, err error) {
	out, err := c.do(ctx, request{Lease: name, Holder: c.Holder, Duration: duration})
	return out.Lease, out.OK, err
}

// Release releases a lease. The caller has stopped acting on it.
func (c *Client) Release(ctx context.Context, name lease.Name) error {
	_, err := c.do(ctx, request{Release: true, Lease: name, Holder: c.Holder})
	return err
}

// Put is documented with replication.Store.
func (c *Client) Put(ctx context.Context, w replication.Write) (version uint64, err error) {
	out, err := c.do(ctx, request{Holder: c.Holder, Put: &w})
	switch {
	case err != nil:
		return 0, err
	case out.Refused == "":
		return out.Version, nil
	case out.MaybeApplied: // the refusal may be that of a second attempt, after the first was applied
		return 0, fmt.Errorf("consensus: put: an earlier attempt may have been applied: %s", out.Reason)
	}
	known, ok := refusalErrors[out.Refused]
	if !ok {
		return 0, fmt.Errorf("consensus: put: refused: %s: %s", out.Refused, out.Reason)
	}
	return 0, fmt.Errorf("%w (%s)", known, out.Reason)
}

// Read is documented with replication.Store.
func (c *Client) Read(ctx context.Context, key string) (replication.Document, error) {
	out, err := c.do(ctx, request{Holder: c.Holder, Read: key})
	if err != nil {
		return replication.Document{}, err
	}
	if out.Doc == nil {
		return replication.Document{}, fmt.Errorf("consensus: read: the response of %s has no document %s", c.Voters[c.current].Name, key)
	}
	return *out.Doc, nil
}

// Fetch is documented with replication.SnapshotFetcher.
func (c *Client) Fetch(ctx context.Context, since uint64, linearizable bool) (s replication.Snapshot, newer bool, err error) {
	out, err := c.do(ctx, request{Holder: c.Holder, Since: &since, Linearizable: linearizable})
	if err != nil || out.State == nil {
		return replication.Snapshot{}, false, err
	}
	return *out.State, true, nil
}

// Close closes the connection that is kept between requests.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connection != nil {
		_ = c.connection.Close()
		c.connection = nil
	}
}

// do tries the voter asked last, then the leader that it names or the next voter, until one decides or the time is over. A
// pause follows each round over all of them, for they may be electing a leader. MaybeApplied of the response says whether an
// attempt before it may have been applied.
func (c *Client) do(ctx context.Context, r request) (response, error) {
	line, err := json.Marshal(r)
	if err != nil {
		return response{}, err
	}
	deadline := time.Now().Add(c.Timeout)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		deadline = end
	}
	stop := context.AfterFunc(ctx, c.interrupt)
	defer stop()
	attemptTimeout := c.Timeout / time.Duration(len(c.Voters)) // so that a silent voter does not use up the time of all
	maybeApplied := false
	lastErr := ErrNoLeader
	for attempt := 1; time.Now().Before(deadline) && ctx.Err() == nil; attempt++ {
		if attempt%(len(c.Voters)+1) == 0 {
			pause(ctx, min(attemptTimeout/4, time.Until(deadline)))
		}
		out, sent, err := c.roundTrip(r.trafficKind(), line, min(attemptTimeout, time.Until(deadline)))
		maybeApplied = maybeApplied || out.MaybeApplied || sent && err != nil
		if err == nil && out.Error == "" {
			out.MaybeApplied = maybeApplied
			return out, nil
		}
		lastErr = c.attemptError(out, err)
		c.switchTo(c.nextVoter(out, err))
	}
	return response{}, lastErr
}

// pause waits for a duration, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// attemptError says why the current voter decided nothing: by its response, or by the error of the exchange with it.
func (c *Client) attemptError(out response, err error) error {
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrNoLeader, c.Voters[c.current].Name, err)
	}
	return fmt.Errorf("%w: %s: %s", ErrNoLeader, c.Voters[c.current].Name, out.Error)
}

// nextVoter is the index of the voter to ask next: the leader that the response names, else the next of the list.
func (c *Client) nextVoter(out response, err error) int {
	if err == nil {
		if leader := slices.IndexFunc(c.Voters, func(p Peer) bool { return p.Name == out.Leader }); leader >= 0 {
			return leader
		}
	}
	return (c.current + 1) % len(c.Voters)
}

// switchTo closes the connection if another voter is asked next.
func (c *Client) switchTo(voter int) {
	if voter != c.current {
		c.Close()
		c.current = voter
	}
}

// roundTrip sends one line to the current voter and reads its response; sent says whether the line may have reached the voter.
// A connection that fails is not used again: a late response would be taken for the next one's.
func (c *Client) roundTrip(kind string, line []byte, timeout time.Duration) (out response, sent bool, err error) {
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
	c.Traffic.Out(kind, 1, len(line)+1)
	text, err := readLine(c.reader, maxResponseBytes)
	if err != nil {
		return response{}, true, err
	}
	c.Traffic.In(kind, 1, len(text)+1)
	return out, true, json.Unmarshal(text, &out)
}

// connect returns the connection to the current voter; opened says that it is a new one. A connection that the voter may be
// about to close for being idle is replaced: whether a write that meets the close was read can't be known.
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

// openConnection is the connection that is kept; nil: there is none.
func (c *Client) openConnection() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connection
}

// interrupt ends a round trip in progress, from any goroutine.
func (c *Client) interrupt() {
	if conn := c.openConnection(); conn != nil {
		_ = conn.SetDeadline(time.Now())
	}
}
