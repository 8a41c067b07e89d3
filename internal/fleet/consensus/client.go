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

// Client asks stewards for leases and documents, for one pooler, one thing at a time. It is not safe for use by several
// goroutines; Clients is.
type Client struct {
	Holder     string // this pooler's name
	Voters     []Peer
	Timeout    time.Duration    // of one ask, over all stewards tried
	Traffic    *traffic.Counter // counts what goes and comes; nil: nothing does
	current    int              // the steward asked last
	reader     *bufio.Reader    // of c
	lastUsedAt time.Time        // c

	mu         sync.Mutex // of c: an ask is ended by its context
	connection net.Conn
}

// ErrNoLeader tells that no steward answered with a decision in time: the group has lost its quorum, is electing, or
// can't be reached from here.
var ErrNoLeader = errors.New("steward: no leader answered")

// Acquire asks for a duty's lease, or renews it. ok tells whether this pooler has it from the ask on; if not, the grant
// says who does.
func (c *Client) Acquire(ctx context.Context, d lease.Name, term time.Duration) (g lease.Lease, ok bool, err error) {
	a, err := c.do(ctx, request{Lease: d, Holder: c.Holder, Duration: term})
	return a.Lease, a.OK, err
}

// Release gives a lease up. The caller has stopped acting on it.
func (c *Client) Release(ctx context.Context, d lease.Name) error {
	_, err := c.do(ctx, request{Release: true, Lease: d, Holder: c.Holder})
	return err
}

// Put is documented with shared.Store.
func (c *Client) Put(ctx context.Context, w replication.Write) (version uint64, err error) {
	a, err := c.do(ctx, request{Holder: c.Holder, Put: &w})
	switch {
	case err != nil:
		return 0, err
	case a.Refused == "":
		return a.Version, nil
	case a.MaybeApplied: // the refusal may be that of a second try, after the first was taken
		return 0, fmt.Errorf("steward: a try before may have been taken: %s", a.Reason)
	}
	known, ok := refusalErrors[a.Refused]
	if !ok {
		return 0, fmt.Errorf("steward: refused: %s: %s", a.Refused, a.Reason)
	}
	return 0, fmt.Errorf("%w (%s)", known, a.Reason)
}

// Read is documented with shared.Store.
func (c *Client) Read(ctx context.Context, key string) (replication.Document, error) {
	a, err := c.do(ctx, request{Holder: c.Holder, Read: key})
	if err == nil && a.Doc == nil {
		err = fmt.Errorf("steward: %s says nothing of %s", c.Voters[c.current].Name, key)
	}
	if err != nil {
		return replication.Document{}, err
	}
	return *a.Doc, nil
}

// Fetch is documented with shared.Stewards.
func (c *Client) Fetch(ctx context.Context, since uint64, sure bool) (s replication.Snapshot, newer bool, err error) {
	a, err := c.do(ctx, request{Holder: c.Holder, Since: &since, Linearizable: sure})
	if err != nil || a.State == nil {
		return s, false, err
	}
	return *a.State, true, nil
}

// Close ends the connection that is kept between asks.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.connection != nil {
		_ = c.connection.Close()
		c.connection = nil
	}
}

// do tries the steward asked last, then the leader it names or the next one, until one decides or the time is over.
// While they elect, each round over all of them is followed by a pause. An answer after a try that may have been taken says so.
func (c *Client) do(ctx context.Context, a request) (response, error) {
	until := time.Now().Add(c.Timeout)
	if end, ok := ctx.Deadline(); ok && end.Before(until) {
		until = end
	}
	defer context.AfterFunc(ctx, c.interrupt)()
	text, err := json.Marshal(a)
	if err != nil {
		return response{}, err
	}
	why := ErrNoLeader
	each := c.Timeout / time.Duration(len(c.Voters)) // so that a silent one does not use up the time of all
	unsure := false
	for tries := 1; time.Now().Before(until) && ctx.Err() == nil; tries++ {
		if tries%(len(c.Voters)+1) == 0 {
			select {
			case <-ctx.Done():
			case <-time.After(min(each/4, time.Until(until))):
			}
		}
		out, said, err := c.roundTrip(a.trafficKind(), text, min(each, time.Until(until)))
		unsure = unsure || out.MaybeApplied || said && err != nil
		switch {
		case err != nil:
			why = fmt.Errorf("%w: %s: %w", ErrNoLeader, c.Voters[c.current].Name, err)
		case out.Error == "":
			out.MaybeApplied = unsure
			return out, nil
		default:
			why = fmt.Errorf("%w: %s: %s", ErrNoLeader, c.Voters[c.current].Name, out.Error)
			if i := slices.IndexFunc(c.Voters, func(p Peer) bool { return p.Name == out.Leader }); i >= 0 {
				c.switchTo(i)
				continue
			}
		}
		c.switchTo((c.current + 1) % len(c.Voters))
	}
	return response{}, why
}

func (c *Client) switchTo(to int) {
	if to != c.current {
		c.Close()
		c.current = to
	}
}

// roundTrip sends one line to the steward at hand and reads its answer; said tells whether the line may have reached it. A
// connection that fails is not used again: a late answer would be taken for the next one's.
func (c *Client) roundTrip(kind string, line []byte, d time.Duration) (out response, said bool, err error) {
	defer func() {
		if err != nil {
			c.Close()
		}
	}()
	until := time.Now().Add(d)
	if time.Since(c.lastUsedAt) > idleTimeout/2 { // the steward may be about to close it, and a write that meets that is in doubt
		c.Close()
	}
	c.lastUsedAt = time.Now()
	conn := c.openConnection()
	if conn == nil {
		if conn, err = net.DialTimeout("tcp", c.Voters[c.current].Addr, d); err != nil {
			return out, false, err
		}
		c.mu.Lock()
		c.connection, c.reader = conn, bufio.NewReader(conn)
		c.mu.Unlock()
		line = append([]byte{connectionClient}, line...)
	}
	_ = conn.SetDeadline(until)
	if _, err = conn.Write(append(slices.Clip(line), '\n')); err != nil {
		return out, true, err
	}
	c.Traffic.Out(kind, 1, len(line)+1)
	text, err := readLine(c.reader, maxResponseBytes)
	if err != nil {
		return out, true, err
	}
	c.Traffic.In(kind, 1, len(text)+1)
	return out, true, json.Unmarshal(text, &out)
}

func (c *Client) openConnection() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connection
}

// interrupt ends an exchange under way, on any goroutine.
func (c *Client) interrupt() {
	if conn := c.openConnection(); conn != nil {
		_ = conn.SetDeadline(time.Now())
	}
}
