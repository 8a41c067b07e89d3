package replication_test

import (
	"bytes"
	"context"
	"encoding/json"
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

// Writes, leases, and restores from snapshots in any order, against a plain model: a write is taken if its fence stands and its
// version is the document's, versions only grow, and a refused write changes nothing.
func TestDocsApply(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var docs replication.DocumentTable
		leases := lease.Lessor{MaxClockDrift: 10}
		model := map[string]replication.Document{}
		var index uint64
		var now, expires time.Duration
		var holder string
		var token uint64
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			index += uint64(rapid.IntRange(1, 3).Draw(t, "gap"))
			now += time.Duration(rapid.IntRange(0, 30).Draw(t, "pause"))
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				who := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "who")
				g, ok := leases.Apply(lease.Command{Name: "d", Holder: who, Duration: 50, Now: now, RaftTerm: 1}, index, 1)
				if ok {
					holder, token, expires = who, g.Token, now+50
				}
				continue
			}
			leases.AdvanceTime(now, 1, 1)
			key := rapid.SampledFrom([]string{"p/a", "p/b", "q"}).Draw(t, "key")
			w := replication.Write{Key: key, Value: []byte(rapid.String().Draw(t, "value")), ExpectedVersion: model[key].Version}
			if rapid.Bool().Draw(t, "other version") {
				w.ExpectedVersion = uint64(rapid.IntRange(0, int(index)).Draw(t, "expect"))
			}
			if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
				w.Value = nil
			}
			if rapid.Bool().Draw(t, "fenced") {
				w.Fence = replication.Fence{Lease: "d", Token: token - min(token, uint64(rapid.IntRange(0, 1).Draw(t, "old")))}
			}
			before := docs.Snapshot()
			version, err := docs.Apply(w, index, &leases)
			stands := w.Fence == replication.Fence{} || holder != "" && w.Fence.Token == token && token != 0 && now < expires+10
			switch {
			case !stands:
				if !errors.Is(err, replication.ErrFenced) {
					t.Fatalf("fence %+v, token %d until %d+10, at %d: %v", w.Fence, token, expires, now, err)
				}
			case w.ExpectedVersion != model[key].Version:
				if !errors.Is(err, replication.ErrConflict) {
					t.Fatalf("expected %d of %d: %v", w.ExpectedVersion, model[key].Version, err)
				}
			case err != nil || version != index || docs.Version() != index:
				t.Fatalf("version %d at index %d, %v", version, index, err)
			case w.Value == nil:
				delete(model, key)
			default:
				model[key] = replication.Document{Key: key, Version: index, Value: w.Value}
			}
			if err != nil && docs.Version() != before.Version {
				t.Fatal("a refused write has changed the version")
			}
			if len(docs.Snapshot().Documents) != len(model) {
				t.Fatalf("%v, want %v", docs.Snapshot(), model)
			}
			for k, want := range model {
				if got := docs.Get(k); got.Version != want.Version || !bytes.Equal(got.Value, want.Value) {
					t.Fatalf("%s: %+v, want %+v", k, got, want)
				}
			}
			if rapid.IntRange(0, 5).Draw(t, "restore") == 0 {
				text, err := json.Marshal(&docs)
				var next replication.DocumentTable
				if err == nil {
					err = json.Unmarshal(text, &next)
				}
				if err != nil {
					t.Fatal(err)
				}
				docs = next
			}
		}
	})
}

func TestBounds(t *testing.T) {
	var docs replication.DocumentTable
	put := func(key string, bytes int) error {
		_, err := docs.Apply(replication.Write{Key: key, Value: make([]byte, bytes)}, docs.Version()+1, &lease.Lessor{})
		return err
	}
	if err := put("big", replication.MaxDocumentSize+1); !errors.Is(err, replication.ErrTooLarge) {
		t.Error(err)
	}
	if err := put("", 1); !errors.Is(err, replication.ErrTooLarge) {
		t.Error(err)
	}
	n := 0
	for ; put(fmt.Sprint(n), replication.MaxDocumentSize) == nil; n++ {
	}
	if n != replication.MaxTotalSize/replication.MaxDocumentSize-1 { // keys take some of the last one's room
		t.Errorf("%d largest documents fit", n)
	}
	docs = replication.DocumentTable{}
	for n = 0; put(fmt.Sprint(n), 1) == nil; n++ {
	}
	if n != replication.MaxDocuments {
		t.Errorf("%d documents fit", n)
	}
}

// What is no state that a log can have made is refused.
func FuzzState(f *testing.F) {
	f.Add([]byte(`{"version":3,"docs":[{"key":"a","version":2,"value":"eA=="}]}`))
	f.Add([]byte(`{"version":1,"docs":[{"key":"a","version":2,"value":"eA=="}]}`))
	f.Add([]byte(`{"version":3,"docs":[{"key":"a","version":2,"value":"eA=="},{"key":"a","version":3,"value":""}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var s, again replication.Snapshot
		if json.Unmarshal(text, &s) != nil {
			return
		}
		for k, d := range s.Documents {
			if k != d.Key || d.Version == 0 || d.Version > s.Version || d.Value == nil {
				t.Errorf("%+v in version %d", d, s.Version)
			}
		}
		out, err := json.Marshal(s)
		if err == nil {
			err = json.Unmarshal(out, &again)
		}
		if err != nil || again.Version != s.Version || len(again.Documents) != len(s.Documents) {
			t.Errorf("%s becomes %s, %v", text, out, err)
		}
	})
}

// Poolers stand for one duty while their ways to the register are cut, answers are lost and poolers end: no two may act at
// once, tokens grow, and while one can ask somebody acts again within the bound of docs/shared.md.
func TestTenure(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.SliceOfN(rapid.IntRange(0, 14), 30, 30).Draw(rt, "acts") // from 9 on nothing happens
		seed = append(seed, 9, 9, 9, 9, 9, 9)                                  // long enough for the bound behind the last fault
		synctest.Test(t, func(t *testing.T) {
			const term, drift = 3 * time.Second, 100 * time.Millisecond
			r := replicationtest.New(drift)
			type pooler struct {
				*replicationtest.Client
				replication.Leadership
				end context.CancelFunc
				cut bool
			}
			var all []*pooler
			starts := 0
			enter := func(i int) *pooler {
				starts++
				c := r.Client(fmt.Sprint("n", i, "/", starts)) // a restarted pooler does not own what the one before it held
				ctx, end := context.WithCancel(t.Context())
				return &pooler{Client: c, end: end, Leadership: c.Campaign(ctx, "d", replication.CandidateOptions{LeaseTerm: term, MaxClockDrift: drift, JitterFraction: float64(i) / 3})}
			}
			for i := range 3 {
				all = append(all, enter(i))
			}
			var last uint64
			idle := time.Now()
			for _, x := range seed {
				i := x % 3
				if x < 9 {
					idle = time.Now() // the bound counts from the last fault: faults that follow each other may put an act off further
				}
				switch x / 3 {
				case 0:
					all[i].cut = !all[i].cut
					all[i].SetPartitioned(all[i].cut)
				case 1:
					all[i].LoseAnswers(2)
				case 2:
					all[i].end()
					all[i] = enter(i)
				}
				for range 20 {
					time.Sleep(73 * time.Millisecond)
					synctest.Wait()
					acting := 0
					for _, p := range all {
						if token, until, ok := p.Token(); ok {
							acting++
							if token < last || !until.After(time.Now()) {
								t.Errorf("token %d after %d, until %v", token, last, until)
							}
							last = token
						}
					}
					if acting > 1 {
						t.Errorf("%d act at once", acting)
					}
					if acting == 1 || slices.ContainsFunc(all, func(p *pooler) bool { return p.cut }) {
						idle = time.Now()
					}
					// A lost one's term and drift, the wait of the next with its spread, and two asks that fail.
					if bound := 2*term + 2*drift + term/2; time.Since(idle) > bound {
						t.Errorf("nobody has acted for %v", time.Since(idle))
					}
				}
			}
			for _, p := range all {
				p.SetPartitioned(false)
				p.end()
			}
			time.Sleep(2 * term)
			for _, p := range all {
				if _, _, ok := p.Token(); ok {
					t.Error("one that has ended acts")
				}
			}
		})
	})
}

// The one who holds a duty hears at once when it is over, though its ask hangs.
func TestTenureLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := replicationtest.New(100 * time.Millisecond)
		c := r.Client("a")
		ctx, end := context.WithCancel(t.Context())
		tenure := replication.Campaign(ctx, c, "d", replication.CandidateOptions{LeaseTerm: 3 * time.Second, MaxClockDrift: 100 * time.Millisecond})
		<-tenure.Changed()
		token, until, ok := tenure.Token()
		if _, err := c.Put(ctx, "p/a", 0, []byte("1"), replication.Fence{Lease: "d", Token: token}); err != nil || !ok {
			t.Error(ok, err)
		}
		c.SetPartitioned(true)
		lost := tenure.Changed()
		<-lost
		if _, _, ok := tenure.Token(); ok || time.Now().Before(until) {
			t.Errorf("acts: %v, %v before its end", ok, time.Until(until))
		}
		c.SetPartitioned(false)
		if _, err := c.Put(ctx, "p/a", 1, []byte("1"), replication.Fence{Lease: "d", Token: token + 9}); !errors.Is(err, replication.ErrFenced) {
			t.Error(err)
		}
		<-tenure.Changed()
		end()
		<-tenure.Done()
		if _, ok, err := r.Client("b").Acquire(t.Context(), "d", time.Second); !ok || err != nil {
			t.Errorf("given up, the duty is not free at once: %v", err)
		}
	})
}

// unansweredLeases asks the stewards, which hear it, and does not hear them from some time on.
type unansweredLeases struct {
	replication.LeaseClient
	since time.Time
}

var errNoAnswer = errors.New("no answer")

func (d unansweredLeases) Acquire(ctx context.Context, duty lease.Name, term time.Duration) (lease.Lease, bool, error) {
	g, ok, err := d.LeaseClient.Acquire(ctx, duty, term)
	if time.Now().After(d.since) {
		return lease.Lease{}, false, errNoAnswer
	}
	return g, ok, err
}

// A holder that the stewards hear and that does not hear them can't keep the duty from others.
func TestDeafHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const term, drift = 3 * time.Second, 100 * time.Millisecond
		r := replicationtest.New(drift)
		ctx, end := context.WithCancel(t.Context())
		terms := replication.CandidateOptions{LeaseTerm: term, MaxClockDrift: drift}
		first := replication.Campaign(ctx, unansweredLeases{r.Client("a"), time.Now().Add(2 * term)}, "d", terms)
		<-first.Changed()
		second := replication.Campaign(ctx, r.Client("b"), "d", terms)
		lost := first.Changed()
		<-lost
		select {
		case <-second.Changed():
		case <-time.After(2 * term):
			t.Error("nobody else has the duty two terms after the deaf one has stopped")
		}
		end()
		<-first.Done()
		<-second.Done()
	})
}

// A copy follows the register, grows old in a cut, and starts again from what it held, unconfirmed.
func TestView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := replicationtest.New(0)
		c, v := r.Client("a"), r.View()
		news := v.Changed()
		if _, err := c.Put(t.Context(), "p/b", 0, []byte("x"), replication.Fence{}); err != nil {
			t.Fatal(err)
		}
		<-news
		v.SetPartitioned(true)
		at := time.Now()
		time.Sleep(time.Minute)
		if _, err := c.Put(t.Context(), "p/a", 0, []byte("y"), replication.Fence{}); err != nil {
			t.Fatal(err)
		}
		if len(v.List("p/")) != 1 || !v.ConfirmedAt().Equal(at) {
			t.Errorf("in a cut: %v, confirmed %v, want %v", v.List("p/"), v.ConfirmedAt(), at)
		}
		w := v.Restart()
		if len(w.List("p/")) != 1 || !w.ConfirmedAt().IsZero() {
			t.Errorf("restarted in a cut: %v, confirmed %v", w.List("p/"), w.ConfirmedAt())
		}
		w.SetPartitioned(false)
		if got := w.List("p/"); len(got) != 2 || got[0].Key != "p/a" || !w.ConfirmedAt().Equal(time.Now()) || w.Version() != 2 {
			t.Errorf("healed: %v, confirmed %v", got, w.ConfirmedAt())
		}
	})
}
