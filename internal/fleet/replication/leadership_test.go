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

// Poolers campaign for one lease while their links to the voters are cut, answers are lost and poolers end: no two lead at once,
// tokens grow, and while all can ask, some pooler leads again within the bound of docs/shared.md.
func TestCampaign(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 14), 30, 30).Draw(rt, "faults") // from 9 on: no fault
		faults = append(faults, 9, 9, 9, 9, 9, 9)                                  // long enough for the bound after the last fault
		synctest.Test(t, func(t *testing.T) {
			const term, drift = 3 * time.Second, 100 * time.Millisecond
			cluster := replicationtest.New(drift)
			type pooler struct {
				*replicationtest.Client
				replication.Leadership
				end         context.CancelFunc
				partitioned bool
			}
			var poolers []*pooler
			starts := 0
			start := func(i int) *pooler {
				starts++
				c := cluster.Client(fmt.Sprint("n", i, "/", starts)) // a restarted pooler does not own what its predecessor held
				ctx, end := context.WithCancel(t.Context())
				return &pooler{Client: c, end: end, Leadership: c.Campaign(ctx, "d", replication.CandidateOptions{LeaseTerm: term, MaxClockDrift: drift, JitterFraction: float64(i) / 3})}
			}
			for i := range 3 {
				poolers = append(poolers, start(i))
			}
			var last uint64
			withoutLeaderSince := time.Now()
			for _, x := range faults {
				i := x % 3
				if x < 9 {
					withoutLeaderSince = time.Now() // the bound counts from the last fault: further faults may put a new leader off
				}
				switch x / 3 {
				case 0:
					poolers[i].partitioned = !poolers[i].partitioned
					poolers[i].SetPartitioned(poolers[i].partitioned)
				case 1:
					poolers[i].LoseAnswers(2)
				case 2:
					poolers[i].end()
					poolers[i] = start(i)
				}
				for range 20 {
					time.Sleep(73 * time.Millisecond)
					synctest.Wait()
					leading := 0
					for _, p := range poolers {
						if token, until, ok := p.Token(); ok {
							leading++
							if token < last || !until.After(time.Now()) {
								t.Errorf("token %d after token %d, until %v", token, last, until)
							}
							last = token
						}
					}
					if leading > 1 {
						t.Errorf("%d poolers lead at once", leading)
					}
					if leading == 1 || slices.ContainsFunc(poolers, func(p *pooler) bool { return p.partitioned }) {
						withoutLeaderSince = time.Now()
					}
					// The lost leader's term and drift, the wait of the next with its jitter, and two requests that fail.
					if bound := 2*term + 2*drift + term/2; time.Since(withoutLeaderSince) > bound {
						t.Errorf("nobody has led for %v", time.Since(withoutLeaderSince))
					}
				}
			}
			for _, p := range poolers {
				p.SetPartitioned(false)
				p.end()
			}
			time.Sleep(2 * term)
			for _, p := range poolers {
				if _, _, ok := p.Token(); ok {
					t.Error("a pooler that has ended leads")
				}
			}
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
