package distribution

import (
	"bytes"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"threadsail/internal/fleet/replication"
)

// watchReplica checks every snapshot that a pooler's replica holds against the log, until end is closed: the snapshot must be a complete
// version of the log, not older than the previous one, and confirmed as of a time at which no newer version existed.
func (c *cluster) watchReplica(name string, end <-chan struct{}) {
	replica := c.replicas[name]
	go func() { // ends with end
		last := uint64(0)
		for {
			changed := replica.Changed()
			confirmedAt := replica.ConfirmedAt()
			snapshot := replica.Snapshot()
			c.checkSnapshot(name, snapshot, last, confirmedAt)
			last = snapshot.Version
			select {
			case <-changed:
			case <-time.After(testHeartbeat / 3):
			case <-end:
				return
			}
		}
	}()
}

// checkSnapshot checks one snapshot of a pooler's replica against the log. last is the version of the previous snapshot.
func (c *cluster) checkSnapshot(name string, got replication.Snapshot, last uint64, confirmedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for version, written := range c.written {
		if version > got.Version && written.at.Before(confirmedAt) {
			c.t.Errorf("%s has version %d, confirmed as of %v, when %d was %v old", name, got.Version, confirmedAt, version, confirmedAt.Sub(written.at))
		}
	}
	want := c.written[got.Version].documents
	same := maps.EqualFunc(got.Documents, want, func(a, b replication.Document) bool {
		return a.Key == b.Key && a.Version == b.Version && bytes.Equal(a.Value, b.Value)
	})
	if got.Version < last || !same {
		c.t.Errorf("%s has version %d after %d, with %v, written was %v", name, got.Version, last, got.Documents, want)
	}
}

// fault is one step of a random scenario: an action, its two targets, whether it begins or ends, and the pause after it.
type fault struct {
	Action       faultAction
	First        int // index of a distributor
	Second       int // index of a distributor or pooler, distributors first
	Begin        bool
	Milliseconds int // pause after the action
}

// faultAction is the action of a fault.
type faultAction int

const (
	actionWrite faultAction = iota
	actionWriteAgain
	actionDelete
	actionToggleDistributor
	actionRestartPooler
	actionCut
	actionCutBack
	actionPartition
	actionDelay
	actionIsolate
	actionCount
)

// drawFaults draws the steps of a scenario.
func drawFaults(rt *rapid.T, distributors, poolers int) []fault {
	upTo := func(most int) *rapid.Generator[int] { return rapid.IntRange(0, most) }
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
		return fault{faultAction(upTo(int(actionCount)-1).Draw(rt, "action")), upTo(distributors-1).Draw(rt, "first"), upTo(distributors+poolers-1).Draw(rt, "second"),
			rapid.Bool().Draw(rt, "begin"), rapid.SampledFrom([]int{0, 10, 300, 1000, 3000, 8000}).Draw(rt, "wait ms")}
	}), 20, 60).Draw(rt, "steps")
}

// applyFault executes step i of a scenario. names are the distributors followed by the poolers.
func (c *cluster) applyFault(i int, f fault, names []string, end <-chan struct{}) {
	first, second := names[f.First], names[f.Second]
	switch f.Action {
	case actionWrite, actionWriteAgain:
		c.write(fmt.Sprint("p/", f.Second), fmt.Sprint(i))
	case actionDelete:
		c.write(fmt.Sprint("p/", f.Second), "")
	case actionToggleDistributor:
		if c.distributors[first] != nil {
			c.stopDistributor(first)
		} else {
			c.startDistributor(c.endpoint(first))
		}
	case actionRestartPooler:
		if f.Second >= len(c.endpoints) {
			c.restartPooler(second, f.Begin)
			c.watchReplica(second, end)
		}
	case actionCut:
		c.network.cut(first, second, f.Begin)
	case actionCutBack:
		c.network.cut(second, first, f.Begin)
	case actionPartition:
		c.network.cutAround(first, names, f.Begin)
	case actionDelay:
		c.network.setDelay(time.Duration(f.Second) * 30 * time.Millisecond)
	case actionIsolate:
		c.isolated[first] = f.Begin
	}
	if f.Milliseconds > 0 {
		c.passHeartbeats(f.Milliseconds / 1000)
		time.Sleep(time.Duration(f.Milliseconds%1000) * time.Millisecond)
	}
}

// Under any faults of links, distributors and poolers, each pooler's replica moves only forward, from one complete version of the log to
// another, and is never confirmed as of a time at which a newer version existed. Once all faults are healed, every pooler has the newest
// version within the recovery limit.
func TestVersionsNeverGoBack(t *testing.T) {
	t.Parallel()
	const distributors, poolers = 4, 10
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawFaults(rt, distributors, poolers)
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, distributors, 2)
			defer c.close()
			end := make(chan struct{})
			defer close(end)
			names := c.distributorNames()
			for i := range poolers {
				name := c.startPooler(i, poolers, fmt.Sprint("r", i%3))
				names = append(names, name)
				c.watchReplica(name, end)
			}
			for i, f := range faults {
				c.applyFault(i, f, names, end)
			}
			c.network.heal()
			c.network.setDelay(0)
			clear(c.isolated)
			c.startMissingDistributors()
			c.write("p/last", "1")
			c.requireNewest(recoveryLimit, "after the heal")
			c.write("p/last", "2")
			c.requireNewest(deliveryLimit, "without faults")
		})
	})
}
