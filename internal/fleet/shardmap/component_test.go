package shardmap

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/fleet/replication"
)

// Without faults a move goes through all states, no router is refused before the fence or after the switch, and the fence lasts for a
// few messages.
func TestMoveWithoutFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.stop()
		if got := f.document().Epoch; got != 40 {
			t.Errorf("the first map's epoch is %d, want the operators'", got)
		}
		f.order(moveToOne)
		var fenced time.Duration
		f.waitFor(10*term, "the move is done", func() bool {
			state := f.state("first")
			f.checkWrites(state)
			if state == Fenced {
				fenced += time.Millisecond
			}
			return state == Done
		})
		if fenced == 0 || fenced > term/2 {
			t.Errorf("fenced for %v", fenced)
		}
		t.Logf("fenced for %v at messages of 5 to 10 ms; acts %v", fenced, f.copier.acts)
	})
}

// A router that is cut off while its range is copied writes for less than a term more, and its clients learn when to retry. The
// others are without writes for no more than a term, the drift, and the time of the messages. Once the cut is healed the router writes
// to the new home.
func TestRouterCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.stop()
		f.copier.stop[ActCopy] = true
		f.order(moveToOne)
		f.waitFor(5*term, "copying", func() bool { return f.state("first") == Copying })
		time.Sleep(term)
		lone := f.poolers[(f.coordinator()+1)%len(f.poolers)]
		other := f.poolers[(f.coordinator()+2)%len(f.poolers)]
		f.network.SetIsolated(lone.component.options.Name, true)
		lone.client.SetPartitioned(true)
		lone.view.SetPartitioned(true)
		f.copier.mu.Lock()
		f.copier.stop[ActCopy] = false
		f.copier.mu.Unlock()
		began, last := time.Now(), time.Now()
		var none time.Duration
		f.waitFor(5*term, "done", func() bool {
			if lone.write("b") >= 0 {
				last = time.Now()
			}
			if other.write("b") < 0 {
				none += time.Millisecond
			}
			return f.state("first") == Done
		})
		if wrote := last.Sub(began); wrote > term-drift {
			t.Errorf("it writes for %v", wrote)
		}
		if bound := term + drift + term/checksPerTerm + 100*time.Millisecond; none < term/2 || none > bound {
			t.Errorf("no writes for %v, want at most %v", none, bound)
		}
		if w, after := lone.component.router.BeginWrite("b", time.Now()); w != nil || after <= 0 {
			t.Errorf("its client may retry after %v", after)
		}
		if home, _, _ := lone.component.router.Home("b"); home != 0 || lone.write("d") != 0 {
			t.Error("reads and other ranges do not go on")
		}
		t.Logf("no writes for %v; the lone router wrote for %v", none, last.Sub(began))
		f.network.SetIsolated(lone.component.options.Name, false)
		lone.client.SetPartitioned(false)
		lone.view.SetPartitioned(false)
		f.waitFor(term, "it writes to the new home", func() bool { return lone.write("b") == 1 })
	})
}

// The coordinator is killed in each state, and another takes the move on from where it stands. A pooler that restarts from an old replica
// writes nothing before its replica is as new as its own enrollment.
func TestCoordinatorKilledInEachState(t *testing.T) {
	for _, state := range []State{Prepared, Copying, Fenced, Switched} {
		t.Run(string(state), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4)
				defer f.stop()
				old := f.poolers[0].view.Restart()
				f.poolers[0].view.SetPartitioned(false)
				stopped := map[State]Act{Copying: ActCopy, Fenced: ActFinish, Switched: ActClose}[state]
				f.copier.stop[stopped] = true
				idle := f.poolers[(f.coordinator()+1)%4]
				if state == Prepared {
					idle.view.SetPartitioned(true) // a router that does not learn of the move
				}
				f.order(moveToOne)
				f.waitFor(8*term, string(state), func() bool { return f.state("first") == state })
				killed := f.coordinator()
				f.kill(f.poolers[killed])
				f.copier.mu.Lock()
				f.copier.stop[stopped] = false
				f.copier.mu.Unlock()
				idle.view.SetPartitioned(false)
				f.poolers[killed] = f.start(killed, old)
				for range 10 {
					if home := f.poolers[killed].write("b"); home >= 0 {
						t.Errorf("it writes to %d by an old replica", home)
					}
					time.Sleep(term / 10)
				}
				old.SetPartitioned(false)
				f.waitFor(12*term, "done", func() bool { return f.state("first") == Done })
				for i, p := range f.poolers {
					f.waitFor(term, "written at the new home", func() bool { return p.write("b") == 1 })
					if got := p.write("d"); got != 0 {
						t.Errorf("router %d writes another range to %d", i, got)
					}
				}
			})
		})
	}
}

// No move waits for a pooler that was stopped in order; a move waits for one that was killed, until the operators retire it.
func TestPoolersThatEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		defer f.stop()
		others := f.poolers[:2]
		if f.coordinator() < 2 {
			others = f.poolers[2:4]
		}
		others[0].end()
		<-others[0].ended
		if others[0].write("b") >= 0 {
			t.Error("a stopped pooler writes though no move waits for it")
		}
		f.kill(others[1])
		f.order(moveToOne)
		time.Sleep(5 * term)
		if got := f.state("first"); got != Prepared {
			t.Errorf("%s, with a killed pooler that is not retired", got)
		}
		options := f.poolers[4].component.options
		options.Orders, options.Retired = []Order{moveToOne}, []string{others[1].component.router.Instance}
		f.poolers[4].component.Reload(options)
		f.waitFor(5*term, "done", func() bool { return f.state("first") == Done })
	})
}

// Changes of other documents, as those of a fleet that restarts, make no pooler send a request: it sends one three times a term, and when
// it has something new to acknowledge.
func TestRequestsAreNoStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.stop()
		f.copier.stop[ActCopy] = true
		f.order(moveToOne)
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
		if n := after - before; n > 3*2*(requestsPerTerm+1) { // three poolers' requests and their grants, for a term
			t.Errorf("%d messages in a term", n)
		}
	})
}

// The loss of the voters stops no write while no move is under way.
func TestLostVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stop()
		for _, p := range f.poolers {
			p.client.SetPartitioned(true)
			p.view.SetPartitioned(true)
		}
		time.Sleep(100 * term)
		for i, p := range f.poolers {
			if home := p.write("b"); home != 0 {
				t.Errorf("router %d: %d", i, home)
			}
		}
	})
}

// A move that can't go on is undone, and so is one that the operators no longer want. Writes go on at the old home.
func TestUndo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.stop()
		f.copier.stop[ActFinish] = true
		f.order(moveToOne)
		f.waitFor(10*term, "fenced", func() bool { return f.state("first") == Fenced })
		f.waitFor(7*term, "undone by its time", func() bool { return f.state("first") == Undone })
		f.copier.stop[ActCopy] = true
		second := Order{Name: "second", Range: Range{From: "a", To: "c", Cluster: 1}}
		f.order(second)
		f.waitFor(10*term, "copying", func() bool { return f.state("second") == Copying })
		second.Undo = true
		f.order(second)
		f.waitFor(2*term, "undone by order", func() bool { return f.state("second") == Undone })
		time.Sleep(term)
		for i, p := range f.poolers {
			if home := p.write("b"); home != 0 {
				t.Errorf("router %d: %d", i, home)
			}
		}
		f.network.SetIsolated("n2", true)
		f.poolers[1].view.SetPartitioned(true)
		f.poolers[1].client.SetPartitioned(true)
		f.order(Order{Name: "third", Range: Range{From: "a", To: "c", Cluster: 1}})
		f.waitFor(30*term, "undone, as one router does not know of it", func() bool { return f.state("third") == Undone })
	})
}
