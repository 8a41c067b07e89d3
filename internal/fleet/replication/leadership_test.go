package replication_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"threadsail/internal/fleet/lease"
	"threadsail/internal/fleet/replication"
	"threadsail/internal/fleet/replication/replicationtest"
)

const (
	leaseTerm  = 3 * time.Second
	clockDrift = 100 * time.Millisecond
	// maxLeaderlessTime is the maximum time without a leader while all poolers can reach the voters: the lost leader's term and drift, the
	// next leader's wait and jitter, and two failed requests.
	maxLeaderlessTime = 2*leaseTerm + 2*clockDrift + leaseTerm/2
)

// campaigner is a pooler that campaigns for the lease.
type campaigner struct {
	*replicationtest.Client
	replication.Leadership
	cancel      context.CancelFunc
	partitioned bool
}

// campaign is a set of poolers that campaign for one lease, and the observations that check needs.
type campaign struct {
	t               *testing.T
	cluster         *replicationtest.Cluster
	poolers         []*campaigner
	starts          int // number of pooler processes started
	lastToken       uint64
	leaderlessSince time.Time
}

// start starts the process of pooler i.
func (c *campaign) start(i int) *campaigner {
	c.starts++
	client := c.cluster.Client(fmt.Sprint("n", i, "/", c.starts)) // the name is new, so a restarted pooler does not own its predecessor's lease
	ctx, cancel := context.WithCancel(c.t.Context())
	options := replication.CandidateOptions{LeaseTerm: leaseTerm, MaxClockDrift: clockDrift, JitterFraction: float64(i) / 3}
	return &campaigner{Client: client, cancel: cancel, Leadership: client.Campaign(ctx, "d", options)}
}

// inject injects a fault into the pooler fault%3. Faults 0 to 2 partition the pooler or heal its partition, 3 to 5 drop two responses,
// and 6 to 8 restart it. Higher values inject nothing.
func (c *campaign) inject(fault int) {
	pooler := fault % 3
	if fault < 9 {
		c.leaderlessSince = time.Now() // the bound counts from the last fault, since each fault may delay the next leader
	}
	switch fault / 3 {
	case 0:
		c.poolers[pooler].partitioned = !c.poolers[pooler].partitioned
		c.poolers[pooler].SetPartitioned(c.poolers[pooler].partitioned)
	case 1:
		c.poolers[pooler].DropResponses(2)
	case 2:
		c.poolers[pooler].cancel()
		c.poolers[pooler] = c.start(pooler)
	}
}

// check checks that at most one pooler is the leader, that tokens never decrease, and that there is a leader within maxLeaderlessTime.
func (c *campaign) check() {
	leading := 0
	for _, pooler := range c.poolers {
		token, until, ok := pooler.Token()
		if !ok {
			continue
		}
		leading++
		if token < c.lastToken || !until.After(time.Now()) {
			c.t.Errorf("got token %d after token %d, until %v", token, c.lastToken, until)
		}
		c.lastToken = token
	}
	if leading > 1 {
		c.t.Errorf("%d poolers are leaders at the same time", leading)
	}
	if leading == 1 || slices.ContainsFunc(c.poolers, func(pooler *campaigner) bool { return pooler.partitioned }) {
		c.leaderlessSince = time.Now()
	}
	if time.Since(c.leaderlessSince) > maxLeaderlessTime {
		c.t.Errorf("no leader for %v", time.Since(c.leaderlessSince))
	}
}

// finish stops all poolers, and checks that none is the leader afterwards.
func (c *campaign) finish() {
	for _, pooler := range c.poolers {
		pooler.SetPartitioned(false)
		pooler.cancel()
	}
	time.Sleep(2 * leaseTerm)
	for _, pooler := range c.poolers {
		if _, _, ok := pooler.Token(); ok {
			c.t.Error("a stopped pooler is the leader")
		}
	}
}

// Poolers campaign for one lease while they are partitioned from the voters, lose responses and restart. There is at most one leader at
// a time, tokens never decrease, and while all poolers can reach the voters, there is a new leader within the bound of docs/shared.md.
func TestCampaign(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 14), 30, 30).Draw(rt, "faults") // 9 and above inject no fault
		faults = append(faults, 9, 9, 9, 9, 9, 9)                                  // longer than the bound, after the last fault
		synctest.Test(t, func(t *testing.T) {
			c := &campaign{t: t, cluster: replicationtest.New(clockDrift), leaderlessSince: time.Now()}
			for i := range 3 {
				c.poolers = append(c.poolers, c.start(i))
			}
			for _, fault := range faults {
				c.inject(fault)
				for range 20 {
					time.Sleep(73 * time.Millisecond)
					synctest.Wait()
					c.check()
				}
			}
			c.finish()
		})
	})
}

// The leadership ends with the lease, even while the request for a renewal is blocked. The lease can be acquired again afterwards, and is
// released when the campaign ends.
func TestLeadershipExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := replicationtest.New(100 * time.Millisecond)
		client := cluster.Client("a")
		ctx, cancel := context.WithCancel(t.Context())
		leadership := replication.Campaign(ctx, client, "d", replication.CandidateOptions{LeaseTerm: 3 * time.Second, MaxClockDrift: 100 * time.Millisecond})
		<-leadership.Changed()
		token, until, leading := leadership.Token()
		if _, err := client.Put(ctx, "p/a", 0, []byte("1"), replication.Fence{Lease: "d", Token: token}); err != nil || !leading {
			t.Error(leading, err)
		}
		client.SetPartitioned(true)
		lost := leadership.Changed()
		<-lost
		if _, _, leading := leadership.Token(); leading || time.Now().Before(until) {
			t.Errorf("leader: %v, %v before the end of the lease", leading, time.Until(until))
		}
		client.SetPartitioned(false)
		if _, err := client.Put(ctx, "p/a", 1, []byte("1"), replication.Fence{Lease: "d", Token: token + 9}); !errors.Is(err, replication.ErrFenced) {
			t.Error(err)
		}
		<-leadership.Changed()
		cancel()
		<-leadership.Done()
		if _, granted, err := cluster.Client("b").Acquire(t.Context(), "d", time.Second); !granted || err != nil {
			t.Errorf("the lease was not free immediately after its release: %v", err)
		}
	})
}

// responseLosingLeases is a LeaseClient whose requests reach the voters. Responses after the time since are lost.
type responseLosingLeases struct {
	replication.LeaseClient
	since time.Time
}

var errNoResponse = errors.New("no response")

func (l responseLosingLeases) Acquire(ctx context.Context, name lease.Name, term time.Duration) (lease.Lease, bool, error) {
	granted, ok, err := l.LeaseClient.Acquire(ctx, name, term)
	if time.Now().After(l.since) {
		return lease.Lease{}, false, errNoResponse
	}
	return granted, ok, err
}

// A leader that can send requests to the voters but loses all responses does not keep the lease: another pooler can acquire it.
func TestUnansweredLeaderLosesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const term, drift = 3 * time.Second, 100 * time.Millisecond
		cluster := replicationtest.New(drift)
		ctx, cancel := context.WithCancel(t.Context())
		options := replication.CandidateOptions{LeaseTerm: term, MaxClockDrift: drift}
		first := replication.Campaign(ctx, responseLosingLeases{cluster.Client("a"), time.Now().Add(2 * term)}, "d", options)
		<-first.Changed()
		second := replication.Campaign(ctx, cluster.Client("b"), "d", options)
		lost := first.Changed()
		<-lost
		select {
		case <-second.Changed():
		case <-time.After(2 * term):
			t.Error("no other pooler acquired the lease within two terms after the first leader lost it")
		}
		cancel()
		<-first.Done()
		<-second.Done()
	})
}
