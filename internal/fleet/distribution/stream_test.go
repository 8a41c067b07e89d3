package distribution

import (
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// A change reaches all poolers, their replicas are confirmed, and the fleet's size and the summaries of the reports are correct.
func TestUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		defer c.close()
		time.Sleep(3 * testHeartbeat)
		for i := range 12 {
			c.startPooler(i, 12, "r0")
		}
		c.write("p/a", "1")
		c.requireNewest(3*testHeartbeat, "the start")
		c.write("p/b", "2")
		c.requireNewest(10*time.Millisecond, "a change")
		for name, pooler := range c.poolers {
			if pooler.Size() != 15 || len(pooler.Members()) != 4 {
				t.Errorf("%s: got %d poolers and the members %v, want 15 and 4 members", name, pooler.Size(), pooler.Members())
			}
		}
		c.confirm()
		time.Sleep(2 * testHeartbeat)
		for name, replica := range c.replicas {
			if age := time.Since(replica.ConfirmedAt()); age > 3*testHeartbeat {
				t.Errorf("%s was confirmed %v ago", name, age)
			}
		}
		c.poolers["n3"].SetStatus(Status{Build: "v2"})
		time.Sleep(3 * testHeartbeat)
		for name, distributor := range c.distributors {
			own, all := distributor.Summary()
			if own.Poolers != distributor.StreamCount() {
				t.Errorf("%s: got a summary of %d poolers with %d streams", name, own.Poolers, distributor.StreamCount())
			}
			want := Summary{Poolers: 12, OldestVersion: c.version, Builds: map[string]int{"v2": 1, "": 11}, Configs: map[string]int{"": 12}}
			if fmt.Sprint(all) != fmt.Sprint(want) {
				t.Errorf("%s: got the summary of all %+v, want %+v", name, all, want)
			}
		}
	})
}

// received records the messages that each member has received, in order.
type received struct {
	mu     sync.Mutex // guards byName
	byName map[string]string
}

// handler returns a handler that records the messages of a member.
func (r *received) handler(name string) func(from string, body []byte) {
	return func(from string, body []byte) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.byName[name] += from + ":" + string(body) + " "
	}
}

// Messages and broadcasts are delivered exactly once, between poolers of different distributors and to and from distributors.
func TestMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t, 3, 1, 12)
		defer c.close()
		messages := received{byName: map[string]string{}}
		for name, pooler := range c.poolers {
			pooler.Handle("t", messages.handler(name))
		}
		for name, distributor := range c.distributors {
			distributor.Handle("t", messages.handler(name))
		}
		c.poolers["n0"].Broadcast("t", []byte("all"))
		time.Sleep(testHeartbeat)
		for i := range 12 {
			if err := c.poolers["n0"].Send(t.Context(), fmt.Sprint("n", i), "t", []byte("one")); err != nil {
				t.Error(err)
			}
		}
		if err := c.poolers["n0"].Send(t.Context(), "d1", "t", []byte("one")); err != nil {
			t.Error(err)
		}
		time.Sleep(testHeartbeat) // messages of different senders are not ordered
		if err := c.distributors["d1"].Send(t.Context(), "n7", "t", []byte("back")); err != nil {
			t.Error(err)
		}
		if err := c.distributors["d1"].Send(t.Context(), "n99", "t", nil); err == nil {
			t.Error("got no error for a message to a pooler that does not exist")
		}
		time.Sleep(testHeartbeat)
		want := map[string]string{"n0": "n0:one ", "n7": "n0:all n0:one d1:back ", "d0": "n0:all ", "d1": "n0:all n0:one ", "d2": "n0:all "}
		for name := range c.poolers {
			if want[name] == "" {
				want[name] = "n0:all n0:one "
			}
		}
		messages.mu.Lock()
		defer messages.mu.Unlock()
		if !maps.Equal(messages.byName, want) {
			t.Errorf("got the messages\n%v, want\n%v", messages.byName, want)
		}
	})
}

// If one distributor stops, stalls, or loses its outgoing or incoming traffic, its poolers receive each change within the recovery limit,
// and they return to it once it is available again.
func TestOneDistributorIsLost(t *testing.T) {
	cut := func(direction func(n *network, name string, others []string, cut bool)) (lose, heal func(c *cluster, others []string)) {
		return func(c *cluster, others []string) { direction(c.network, "d1", others, true) },
			func(c *cluster, others []string) { direction(c.network, "d1", others, false) }
	}
	cutBoth, healBoth := cut((*network).cutAround)
	cutOutgoing, healOutgoing := cut((*network).cutFrom)
	cutIncoming, healIncoming := cut((*network).cutTo)
	for what, scenario := range map[string]struct {
		lose, heal func(c *cluster, others []string)
	}{
		"stopped":                 {func(c *cluster, _ []string) { c.stopDistributor("d1") }, func(c *cluster, _ []string) { c.startDistributor(c.endpoint("d1")) }},
		"stalled":                 {cutBoth, healBoth},
		"outgoing traffic is cut": {cutOutgoing, healOutgoing},
		"incoming traffic is cut": {cutIncoming, healIncoming},
	} {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 4, 1)
				defer c.close()
				others := []string{"d0", "d2", "d3"}
				for i := range 60 {
					others = append(others, c.startPooler(i, 60, "r0"))
				}
				c.write("p/a", "1")
				c.requireNewest(3*testHeartbeat, "the start")
				before := c.distributors["d1"].StreamCount()
				scenario.lose(c, others)
				time.Sleep(200 * time.Millisecond)
				c.write("p/b", "2")
				c.requireNewest(recoveryLimit, what)
				c.write("p/b", "")
				c.requireNewest(deliveryLimit, "from the other distributors")
				scenario.heal(c, others)
				time.Sleep(2 * preferredRetryHeartbeats * testHeartbeat)
				if after := c.distributors["d1"].StreamCount(); before < 5 || after != before {
					t.Errorf("got %d streams after its return, %d before", after, before)
				}
				c.write("p/c", "3")
				c.requireNewest(deliveryLimit, "after the return")
			})
		})
	}
}

// A pooler that returns to its preferred distributor always has a stream, even if the distributor that it leaves learns of the move, and
// closes the old stream, before the pooler receives the welcome.
func TestReturnToPreferredDistributor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newSettledCluster(t, 2, 1, 1)
		defer c.close()
		preferred := c.poolers["n0"].Distributor()
		c.stopDistributor(preferred)
		c.passHeartbeats(5)
		c.network.setLinkDelay(preferred, "n0", 300*time.Millisecond)
		c.startDistributor(c.endpoint(preferred))
		c.passHeartbeats(2 * preferredRetryHeartbeats)
		if got, ended := c.poolers["n0"].Distributor(), c.countLogged("has ended"); got != preferred || ended != 1 {
			t.Errorf("got a stream to %q, want %q; %d streams have ended, want 1: %q", got, preferred, ended, c.logLines)
		}
	})
}

// If all distributors take seconds to answer, the answer timeout grows with each round until a distributor admits the pooler.
func TestSlowAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 2, 1)
		defer c.close()
		time.Sleep(3 * testHeartbeat)
		c.network.setDelay(testHeartbeat)
		c.startPooler(0, 1, "r0")
		c.write("p/a", "1")
		c.requireNewest(30*testHeartbeat, "slow answers")
	})
}
