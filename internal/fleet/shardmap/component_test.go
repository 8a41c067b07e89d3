package shardmap

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/fleet/replication"
)

// Without faults, a move goes through all states, no router rejects a write before the fence or after the switch, and the range is fenced
// for the time of a few messages only.
func TestMoveWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.stopAll()
		if got := f.document().Epoch; got != 40 {
			t.Errorf("epoch of the first map is %d, want 40 as set by the operators", got)
		}
		f.submitOrder(firstOrder)
		var fenced time.Duration
		f.waitFor(10*term, "move done", func() bool {
			state := f.state("first")
			f.checkWrites(state)
			if state == Fenced {
				fenced += time.Millisecond
			}
			return state == Done
		})
		if fenced == 0 || fenced > term/2 {
			t.Errorf("fenced for %v, want more than 0 and at most half a term", fenced)
		}
		t.Logf("fenced for %v with message delays of 5 to 10 ms; acts %v", fenced, f.copier.acts)
	})
}

// A router that is partitioned while its range is copied writes for less than a term, and then tells clients when to retry. The other
// routers reject writes for at most a term, the drift, a check interval and the message delays. Once the partition has healed, the router
// writes to the new home.
func TestPartitionedRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.stopAll()
		f.copier.failing[ActCopy] = true
		f.submitOrder(firstOrder)
		f.waitFor(5*term, "copying", func() bool { return f.state("first") == Copying })
		time.Sleep(term)
		partitioned := f.poolers[(f.coordinatorIndex()+1)%len(f.poolers)]
		other := f.poolers[(f.coordinatorIndex()+2)%len(f.poolers)]
		f.network.SetIsolated(partitioned.component.options.Name, true)
		partitioned.client.SetPartitioned(true)
		partitioned.view.SetPartitioned(true)
		f.copier.mu.Lock()
		f.copier.failing[ActCopy] = false
		f.copier.mu.Unlock()
		partitionedAt, lastWrite := time.Now(), time.Now()
		var withoutWrites time.Duration
		f.waitFor(5*term, "done", func() bool {
			if partitioned.writeKey("b") >= 0 {
				lastWrite = time.Now()
			}
			if other.writeKey("b") < 0 {
				withoutWrites += time.Millisecond
			}
			return f.state("first") == Done
		})
		if wroteFor := lastWrite.Sub(partitionedAt); wroteFor > term-drift {
			t.Errorf("partitioned router writes for %v, want at most a term minus the drift", wroteFor)
		}
		if bound := term + drift + term/checksPerTerm + 100*time.Millisecond; withoutWrites < term/2 || withoutWrites > bound {
			t.Errorf("no writes at the other routers for %v, want at least half a term and at most %v", withoutWrites, bound)
		}
		if w, retryAfter := partitioned.component.router.BeginWrite("b", time.Now()); w != nil || retryAfter <= 0 {
			t.Errorf("write at the partitioned router: admitted or without a retry delay (%v)", retryAfter)
		}
		if home, _, _ := partitioned.component.router.Home("b"); home != 0 || partitioned.writeKey("d") != 0 {
			t.Error("partitioned router does not serve reads and writes to other ranges")
		}
		t.Logf("no writes for %v; the partitioned router wrote for %v", withoutWrites, lastWrite.Sub(partitionedAt))
		f.network.SetIsolated(partitioned.component.options.Name, false)
		partitioned.client.SetPartitioned(false)
		partitioned.view.SetPartitioned(false)
		f.waitFor(term, "partitioned router writes to the new home", func() bool { return partitioned.writeKey("b") == 1 })
	})
}

// The coordinator is killed in each state of a move, and another coordinator continues the move from that state. A pooler that restarts
// from an old replica writes nothing until its replica is as new as its own enrollment.
func TestCoordinatorKilledInEachState(t *testing.T) {
	for _, state := range []State{Prepared, Copying, Fenced, Switched} {
		t.Run(string(state), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4)
				defer f.stopAll()
				oldReplica := f.poolers[0].view.Restart()
				f.poolers[0].view.SetPartitioned(false)
				failingAct := map[State]Act{Copying: ActCopy, Fenced: ActFinish, Switched: ActClose}[state]
				f.copier.failing[failingAct] = true
				follower := f.poolers[(f.coordinatorIndex()+1)%4]
				if state == Prepared {
					follower.view.SetPartitioned(true) // keeps a router from learning of the move
				}
				f.submitOrder(firstOrder)
				f.waitFor(8*term, string(state), func() bool { return f.state("first") == state })
				killed := f.coordinatorIndex()
				f.kill(f.poolers[killed])
				f.copier.mu.Lock()
				f.copier.failing[failingAct] = false
				f.copier.mu.Unlock()
				follower.view.SetPartitioned(false)
				f.poolers[killed] = f.start(killed, oldReplica)
				for range 10 {
					if home := f.poolers[killed].writeKey("b"); home >= 0 {
						t.Errorf("restarted router with an old replica writes to %d", home)
					}
					time.Sleep(term / 10)
				}
				oldReplica.SetPartitioned(false)
				f.waitFor(12*term, "done", func() bool { return f.state("first") == Done })
				for i, p := range f.poolers {
					f.waitFor(term, "writes at the new home", func() bool { return p.writeKey("b") == 1 })
					if got := p.writeKey("d"); got != 0 {
						t.Errorf("router %d writes to a range that is not moved at %d, want 0", i, got)
					}
				}
			})
		})
	}
}

// A move does not wait for a pooler that has shut down cleanly. It waits for one that was killed, until the operators retire it.
func TestStoppedAndKilledPoolers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		defer f.stopAll()
		nonCoordinators := f.poolers[:2]
		if f.coordinatorIndex() < 2 {
			nonCoordinators = f.poolers[2:4]
		}
		nonCoordinators[0].end()
		<-nonCoordinators[0].ended
		if nonCoordinators[0].writeKey("b") >= 0 {
			t.Error("stopped pooler writes although moves do not wait for it")
		}
		f.kill(nonCoordinators[1])
		f.submitOrder(firstOrder)
		time.Sleep(5 * term)
		if got := f.state("first"); got != Prepared {
			t.Errorf("move is %s, want prepared while a killed pooler is not retired", got)
		}
		options := f.poolers[4].component.options
		options.Orders, options.Retired = []Order{firstOrder}, []string{nonCoordinators[1].component.router.Instance}
		f.poolers[4].component.Reload(options)
		f.waitFor(5*term, "done", func() bool { return f.state("first") == Done })
	})
}

// Changes of other documents, which are frequent while a fleet restarts, do not make poolers send requests. A pooler sends three requests
// per term, and another one when it has something new to acknowledge.
func TestUnrelatedChangesTriggerNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.stopAll()
		f.copier.failing[ActCopy] = true
		f.submitOrder(firstOrder)
		f.waitFor(5*term, "copying", func() bool { return f.state("first") == Copying })
		time.Sleep(term)
		before, _ := f.network.MessageCounts()
		for n := range 300 {
			if _, err := f.cluster.Client("other").Put(t.Context(), fmt.Sprint("other/", n), 0, []byte("x"), replication.Fence{}); err != nil {
				t.Fatal(err)
			}
			time.Sleep(3 * time.Millisecond)
		}
		after, _ := f.network.MessageCounts()
		if n := after - before; n > 3*2*(requestsPerTerm+1) { // requests of three poolers and their grants, for a term
			t.Errorf("%d messages in a term, want only the regular requests and their grants", n)
		}
	})
}

// While no move is active, the loss of the voters does not stop writes.
func TestLostVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stopAll()
		for _, p := range f.poolers {
			p.client.SetPartitioned(true)
			p.view.SetPartitioned(true)
		}
		time.Sleep(100 * term)
		for i, p := range f.poolers {
			if home := p.writeKey("b"); home != 0 {
				t.Errorf("router %d writes to %d, want 0", i, home)
			}
		}
	})
}

// A move that makes no progress is undone, and so is one that the operators cancel. Writes continue at the old home.
func TestUndo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stopAll()
		f.copier.failing[ActFinish] = true
		f.submitOrder(firstOrder)
		f.waitFor(10*term, "fenced", func() bool { return f.state("first") == Fenced })
		f.waitFor(7*term, "undone after MaxFenced", func() bool { return f.state("first") == Undone })
		f.copier.failing[ActCopy] = true
		second := Order{Name: "second", Range: Range{From: "a", To: "c", Cluster: 1}}
		f.submitOrder(second)
		f.waitFor(10*term, "copying", func() bool { return f.state("second") == Copying })
		second.Undo = true
		f.submitOrder(second)
		f.waitFor(2*term, "undone by order", func() bool { return f.state("second") == Undone })
		time.Sleep(term)
		for i, p := range f.poolers {
			if home := p.writeKey("b"); home != 0 {
				t.Errorf("router %d writes to %d, want 0", i, home)
			}
		}
		f.network.SetIsolated("n2", true)
		f.poolers[1].view.SetPartitioned(true)
		f.poolers[1].client.SetPartitioned(true)
		f.submitOrder(Order{Name: "third", Range: Range{From: "a", To: "c", Cluster: 1}})
		f.waitFor(30*term, "undone because one router does not learn of it", func() bool { return f.state("third") == Undone })
	})
}
