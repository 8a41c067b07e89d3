package steward

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"threadsail/internal/fleet/lease"
)

// Client asks stewards for leases, for one pooler. It is not safe for use by several goroutines.
type Client struct {
	Holder   string // this pooler's name
	Stewards []Peer
	Timeout  time.Duration // of one ask, over all stewards tried
	at       int           // the steward asked last
	c        net.Conn
	in       *bufio.Reader
}

// ErrNoLeader tells that no steward answered with a decision in time: the group has lost its quorum, is electing, or
// can't be reached from here.
var ErrNoLeader = errors.New("steward: no leader answered")

// Acquire asks for a duty's lease, or renews it. ok tells whether this pooler has it from the ask on; if not, the grant
// says who does.
func (c *Client) Acquire(d lease.Duty, term time.Duration) (g lease.Grant, ok bool, err error) {
	a, err := c.ask(ask{Duty: d, Holder: c.Holder, Term: term})
	return a.Grant, a.OK, err
}

// Release gives a lease up. The caller has stopped acting on it.
func (c *Client) Release(d lease.Duty) error {
	_, err := c.ask(ask{Release: true, Duty: d, Holder: c.Holder})
	return err
}

// Close ends the connection that is kept between asks.
func (c *Client) Close() {
	if c.c != nil {
		_ = c.c.Close()
		c.c = nil
	}
}

// ask tries the steward asked last, then the leader it names or the next one, until one decides or the time is over.
// While they elect, each round over all of them is followed by a pause.
func (c *Client) ask(a ask) (answer, error) {
	until := time.Now().Add(c.Timeout)
	text, err := json.Marshal(a)
	if err != nil {
		return answer{}, err
	}
	why := ErrNoLeader
	each := c.Timeout / time.Duration(len(c.Stewards)) // so that a silent one does not use up the time of all
	for tries := 1; time.Now().Before(until); tries++ {
		if tries%(len(c.Stewards)+1) == 0 {
			time.Sleep(min(each/4, time.Until(until)))
		}
		out, err := c.exchange(text, min(each, time.Until(until)))
		switch {
		case err != nil:
			why = fmt.Errorf("%w: %s: %w", ErrNoLeader, c.Stewards[c.at].Name, err)
		case out.Error == "":
			return out, nil
		default:
			why = fmt.Errorf("%w: %s: %s", ErrNoLeader, c.Stewards[c.at].Name, out.Error)
			if i := slices.IndexFunc(c.Stewards, func(p Peer) bool { return p.Name == out.Leader }); i >= 0 {
				c.turn(i)
				continue
			}
		}
		c.turn((c.at + 1) % len(c.Stewards))
	}
	return answer{}, why
}

func (c *Client) turn(to int) {
	if to != c.at {
		c.Close()
		c.at = to
	}
}

// exchange sends one line to the steward at hand and reads its answer. A connection that fails is not used again: a late
// answer would be taken for the next one's.
func (c *Client) exchange(line []byte, d time.Duration) (out answer, err error) {
	defer func() {
		if err != nil {
			c.Close()
		}
	}()
	until := time.Now().Add(d)
	if c.c == nil {
		if c.c, err = net.DialTimeout("tcp", c.Stewards[c.at].Addr, d); err != nil {
			c.c = nil
			return out, err
		}
		c.in = bufio.NewReaderSize(c.c, maxLine)
		line = append([]byte{callLease}, line...)
	}
	_ = c.c.SetDeadline(until)
	if _, err = c.c.Write(append(slices.Clip(line), '\n')); err != nil {
		return out, err
	}
	text, err := c.in.ReadSlice('\n')
	if err != nil {
		return out, err
	}
	return out, json.Unmarshal(text, &out)
}
