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
	campaignTerm  = 3 * time.Second
	campaignDrift = 100 * time.Millisecond
	// leaderlessBound is for how long there may be no leader while all poolers can ask: the lost leader's term and drift, the wait of the
	// next with its jitter, and two requests that fail.
	leaderlessBound = 2*campaignTerm + 2*campaignDrift + campaignTerm/2
)

// campaigner is a pooler that campaigns for the lease.
type campaigner struct {
	*replicationtest.Client
	replication.Leadership
	end         context.CancelFunc
	partitioned bool
}

// campaign is some poolers that campaign for one lease, and what was seen of it.
type campaign struct {
	t                  *testing.T
	cluster            *replicationtest.Cluster
	poolers            []*campaigner
	starts             int
	lastToken          uint64
	withoutLeaderSince time.Time
}

// start starts a pooler's process.
func (c *campaign) start(i int) *campaigner {
	c.starts++
	client := c.cluster.Client(fmt.Sprint("n", i, "/", c.starts)) // a restarted pooler does not own what its predecessor held
	ctx, end := context.WithCancel(c.t.Context())
	options := replication.CandidateOptions{LeaseTerm: campaignTerm, MaxClockDrift: campaignDrift, JitterFraction: float64(i) / 3}
	return &campaigner{Client: client, end: end, Leadership: client.Campaign(ctx, "d", options)}
}

// inject injects a fault: below 3 a cut or its heal, below 6 two lost answers, below 9 a restart; of the pooler by the remainder.
func (c *campaign) inject(fault int) {
	i := fault % 3
	if fault < 9 {
		c.withoutLeaderSince = time.Now() // the bound counts from the last fault: further faults may put a new leader off
	}
	switch fault / 3 {
	case 0:
		c.poolers[i].partitioned = !c.poolers[i].partitioned
		c.poolers[i].SetPartitioned(c.poolers[i].partitioned)
	case 1:
		c.poolers[i].DropResponses(2)
	case 2:
		c.poolers[i].end()
		c.poolers[i] = c.start(i)
	}
}

// check checks that no two poolers lead, that tokens grow, and that there is a leader within the bound.
func (c *campaign) check() {
	leading := 0
	for _, p := range c.poolers {
		token, until, ok := p.Token()
		if !ok {
			continue
		}
		leading++
		if token < c.lastToken || !until.After(time.Now()) {
			c.t.Errorf("token %d after token %d, until %v", token, c.lastToken, until)
		}
		c.lastToken = token
	}
	if leading > 1 {
		c.t.Errorf("%d poolers lead at once", leading)
	}
	if leading == 1 || slices.ContainsFunc(c.poolers, func(p *campaigner) bool { return p.partitioned }) {
		c.withoutLeaderSince = time.Now()
	}
	if time.Since(c.withoutLeaderSince) > leaderlessBound {
		c.t.Errorf("nobody has led for %v", time.Since(c.withoutLeaderSince))
	}
}

// finish ends all poolers, and checks that none leads afterwards.
func (c *campaign) finish() {
	for _, p := range c.poolers {
		p.SetPartitioned(false)
		p.end()
	}
	time.Sleep(2 * campaignTerm)
	for _, p := range c.poolers {
		if _, _, ok := p.Token(); ok {
			c.t.Error("a pooler that has ended leads")
		}
	}
}

// Poolers campaign for one lease while their links to the voters are cut, answers are lost and poolers end: no two lead at once,
// tokens grow, and while all can ask, some pooler leads again within the bound of docs/shared.md.
func TestCampaign(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 14), 30, 30).Draw(rt, "faults") // from 9 on: no fault
		faults = append(faults, 9, 9, 9, 9, 9, 9)                                  // long enough for the bound after the last fault
		synctest.Test(t, func(t *testing.T) {
			c := &campaign{t: t, cluster: replicationtest.New(campaignDrift), withoutLeaderSince: time.Now()}
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

// A leader learns at once that its lease has ended, even while its request for a renewal hangs.
func TestLeadershipExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := replicationtest.New(100 * time.Millisecond)
		c := cluster.Client("a")
		ctx, end := context.WithCancel(t.Context())
		leadership := replication.Campaign(ctx, c, "d", replication.CandidateOptions{LeaseTerm: 3 * time.Second, MaxClockDrift: 100 * time.Millisecond})
		<-leadership.Changed()
		token, until, ok := leadership.Token()
		if _, err := c.Put(ctx, "p/a", 0, []byte("1"), replication.Fence{Lease: "d", Token: token}); err != nil || !ok {
			t.Error(ok, err)
		}
		c.SetPartitioned(true)
		lost := leadership.Changed()
		<-lost
		if _, _, ok := leadership.Token(); ok || time.Now().Before(until) {
			t.Errorf("leads: %v, %v before the end of the lease", ok, time.Until(until))
		}
		c.SetPartitioned(false)
		if _, err := c.Put(ctx, "p/a", 1, []byte("1"), replication.Fence{Lease: "d", Token: token + 9}); !errors.Is(err, replication.ErrFenced) {
			t.Error(err)
		}
		<-leadership.Changed()
		end()
		<-leadership.Done()
		if _, ok, err := cluster.Client("b").Acquire(t.Context(), "d", time.Second); !ok || err != nil {
			t.Errorf("after its release the lease is not free at once: %v", err)
		}
	})
}

// unansweredLeases is a client whose requests reach the voters, and that gets no answer from some time on.
type unansweredLeases struct {
	replication.LeaseClient
	since time.Time
}

var errNoAnswer = errors.New("no answer")

func (u unansweredLeases) Acquire(ctx context.Context, name lease.Name, term time.Duration) (lease.Lease, bool, error) {
	granted, ok, err := u.LeaseClient.Acquire(ctx, name, term)
	if time.Now().After(u.since) {
		return lease.Lease{}, false, errNoAnswer
	}
	return granted, ok, err
}

// A leader whose requests reach the voters, but that gets no answers, does not keep the lease from others.
func TestUnansweredLeaderLosesLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const term, drift = 3 * time.Second, 100 * time.Millisecond
		cluster := replicationtest.New(drift)
		ctx, end := context.WithCancel(t.Context())
		options := replication.CandidateOptions{LeaseTerm: term, MaxClockDrift: drift}
		first := replication.Campaign(ctx, unansweredLeases{cluster.Client("a"), time.Now().Add(2 * term)}, "d", options)
		<-first.Changed()
		second := replication.Campaign(ctx, cluster.Client("b"), "d", options)
		lost := first.Changed()
		<-lost
		select {
		case <-second.Changed():
		case <-time.After(2 * term):
			t.Error("nobody else has the lease two terms after the unanswered leader has lost it")
		}
		end()
		<-first.Done()
		<-second.Done()
	})
}
