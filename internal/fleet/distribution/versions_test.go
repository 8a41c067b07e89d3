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

// watch checks every snapshot that a pooler's replica holds against the log, until end is closed: complete, of a version that was
// written, in order, and confirmed as of a time at which nothing newer was.
func (c *cluster) watch(name string, end <-chan struct{}) {
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

// checkSnapshot checks one snapshot of a pooler's replica.
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

// fault is one step of a random play: what is done, to which two, whether it begins or ends, and how long nothing follows.
type fault struct {
	Action       faultAction
	First        int // a distributor
	Second       int // any, distributors first
	Begin        bool
	Milliseconds int
}

// faultAction is what a fault does.
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

// drawFaults draws the steps of a play.
func drawFaults(rt *rapid.T, distributors, poolers int) []fault {
	upTo := func(most int) *rapid.Generator[int] { return rapid.IntRange(0, most) }
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
		return fault{faultAction(upTo(int(actionCount)-1).Draw(rt, "action")), upTo(distributors-1).Draw(rt, "first"), upTo(distributors+poolers-1).Draw(rt, "second"),
			rapid.Bool().Draw(rt, "begin"), rapid.SampledFrom([]int{0, 10, 300, 1000, 3000, 8000}).Draw(rt, "wait ms")}
	}), 20, 60).Draw(rt, "steps")
}

// play carries out one step, the i-th. names are the distributors and then the poolers.
func (c *cluster) play(i int, f fault, names []string, end <-chan struct{}) {
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
			c.watch(second, end)
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

// Whatever happens to links, distributors and poolers, each pooler's replica goes forward from version to version as they were written,
// complete, and is confirmed as of no time at which a newer one was; and once all is healed everyone has the newest within the recovery
// limit.
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
				c.watch(name, end)
			}
			for i, f := range faults {
				c.play(i, f, names, end)
			}
			c.network.heal()
			c.network.setDelay(0)
			clear(c.isolated)
			c.startMissingDistributors()
			c.write("p/last", "1")
			c.requireNewest(recoveryLimit, "all is healed")
			c.write("p/last", "2")
			c.requireNewest(promptly, "at rest")
		})
	})
}
