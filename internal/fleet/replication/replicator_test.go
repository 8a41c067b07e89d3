package replication_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/fleet/bus/bustest"
	"threadsail/internal/fleet/replication"
)

// source is the stewards, as bringing needs them.
type source struct {
	mu    sync.Mutex
	state replication.Snapshot
	out   bool
	asked int
}

func (s *source) Fetch(_ context.Context, since uint64, _ bool) (replication.Snapshot, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	if s.out {
		return replication.Snapshot{}, false, errors.New("out")
	}
	return s.state, s.state.Version > since, nil
}

// Twelve poolers, one of them the leading steward's, in a network that loses and doubles datagrams: a change reaches all from
// each other; one that is cut off from the others asks a steward; one cut off from all grows old and says so, and is brought up
// after it.
func TestBring(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const beat = time.Second
		n := bustest.New(7)
		n.SetDelay(time.Millisecond, 5*time.Millisecond)
		n.SetLoss(0.2, 0.2)
		stewards, cut := &source{}, &source{out: true}
		ctx, end := context.WithCancel(t.Context())
		var copies []*replication.Replica
		for i := range 12 {
			c := replication.NewReplica(replication.Snapshot{})
			copies = append(copies, c)
			o := replication.ReplicatorOptions{Bus: n.Join(fmt.Sprint("n", i)), Replica: c, Voters: stewards, HeartbeatInterval: beat, JitterFraction: float64(i) / 12, Log: func(string) {}}
			if i == 0 {
				o.Confirm = func() (uint64, time.Time, bool) { return c.Version(), time.Now(), true }
			}
			if i == 11 {
				o.Voters = cut
			}
			replication.StartReplicator(ctx, o)
		}
		change := func(version uint64) {
			s := replication.Snapshot{Version: version, Documents: map[string]replication.Document{"p/a": {Key: "p/a", Version: version, Value: []byte("x")}}}
			stewards.mu.Lock()
			stewards.state = s
			stewards.mu.Unlock()
			copies[0].Install(s)
		}
		are := func(what string, version uint64, whom ...*replication.Replica) {
			t.Helper()
			for i, c := range whom {
				if d, _ := c.Get("p/a"); c.Version() != version || d.Version != version || time.Since(c.ConfirmedAt()) > 5*beat {
					t.Errorf("%s: copy %d is at %d, confirmed %v ago", what, i, c.Version(), time.Since(c.ConfirmedAt()))
				}
			}
		}
		change(5)
		time.Sleep(5 * beat)
		are("a change", 5, copies...)
		if stewards.asked > 0 {
			t.Errorf("the stewards were asked %d times", stewards.asked)
		}
		n.SetIsolated("n10", true)
		n.SetIsolated("n11", true)
		since := time.Now()
		time.Sleep(beat)
		change(9)
		time.Sleep(8 * beat)
		are("in a cut", 9, copies[:11]...)
		if c := copies[11]; c.Version() != 5 || c.ConfirmedAt().After(since) {
			t.Errorf("cut off from all: version %d, confirmed %v after the cut", c.Version(), c.ConfirmedAt().Sub(since))
		}
		n.SetIsolated("n10", false)
		n.SetIsolated("n11", false)
		time.Sleep(5 * beat)
		are("healed", 9, copies...)
		end()
		time.Sleep(time.Minute)
	})
}
