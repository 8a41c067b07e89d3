package distribution

import (
	"bufio"
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"threadsail/internal/fleet/replication"
)

const testHeartbeat = time.Second

// fleet is distributors and poolers on one network. All distributors hold the same copy, as the stewards' log would have them.
type fleet struct {
	t            *testing.T
	n            *network
	places       []Endpoint
	distributors map[string]*Distributor
	copies       map[string]*replication.Replica // of distributors
	poolers      map[string]*Subscriber
	has          map[string]*replication.Replica // of poolers
	docs         map[string]replication.Document
	version      uint64
	apart        map[string]bool // distributors that have no news of the log
	mu           sync.Mutex
	written      map[uint64]written // every version
	log          []string
	counts       map[string]*frameTally // of distributors and poolers
}

// written is a version of the log.
type written struct {
	at   time.Time
	docs map[string]replication.Document
}

// newFleet starts distributors d0, d1, ..., dealt over ten zones, and these over regions r0, r1, ....
func newFleet(t *testing.T, distributors, regions int) *fleet {
	f := &fleet{t: t, n: newNetwork(), distributors: map[string]*Distributor{}, copies: map[string]*replication.Replica{}, poolers: map[string]*Subscriber{},
		has: map[string]*replication.Replica{}, docs: map[string]replication.Document{}, apart: map[string]bool{}, counts: map[string]*frameTally{}, written: map[uint64]written{}}
	for i := range distributors {
		f.places = append(f.places, Endpoint{fmt.Sprint("d", i), fmt.Sprint("d", i), fmt.Sprint("r", i%10%regions)})
	}
	for _, p := range f.places {
		f.distribute(p)
	}
	return f
}

func (f *fleet) say(line string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.log = append(f.log, line)
}

// logged counts the lines that contain a text.
func (f *fleet) logged(text string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, line := range f.log {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// distribute starts a distributor with an empty copy, which catches up at once, as from the stewards.
func (f *fleet) distribute(p Endpoint) {
	if f.copies[p.Name] = replication.NewReplica(replication.Snapshot{}); f.version > 0 {
		f.copies[p.Name].Install(replication.Snapshot{Version: f.version, Documents: maps.Clone(f.docs)})
	}
	f.distributors[p.Name] = NewDistributor(f.n.listen(p.Name), DistributorOptions{Name: p.Name, Region: p.Region, Distributors: f.places,
		Resources: []Resource{{Name: "shared", Replica: f.copies[p.Name]}}, HeartbeatInterval: testHeartbeat, Dial: f.n.dialer(p.Name), Counter: f.count(p.Name), Log: f.say})
}

// kill ends a distributor.
func (f *fleet) kill(name string) {
	f.distributors[name].Close()
	delete(f.distributors, name)
	delete(f.copies, name)
}

// join starts a pooler; of several, the spread follows from the number.
func (f *fleet) join(i, of int, region string) string {
	name := fmt.Sprint("n", i)
	f.has[name] = replication.NewReplica(replication.Snapshot{})
	f.subscribe(name, region, float64(i)/float64(of))
	return name
}

func (f *fleet) subscribe(name, region string, spread float64) {
	f.poolers[name] = Subscribe(SubscriberOptions{Name: name, Region: region, Distributors: f.places, Resources: []Resource{{Name: "shared", Replica: f.has[name]}}, HeartbeatInterval: testHeartbeat,
		JitterFraction: spread, Dial: f.n.dialer(name), Counter: f.count(name), Log: f.say})
}

// put writes a document, which all distributors have at once and confirm.
func (f *fleet) put(key, value string) {
	f.version += 3
	if f.docs = maps.Clone(f.docs); value == "" {
		delete(f.docs, key)
	} else {
		f.docs[key] = replication.Document{Key: key, Version: f.version, Value: []byte(value)}
	}
	f.mu.Lock()
	f.written[f.version] = written{time.Now(), f.docs}
	f.mu.Unlock()
	f.confirm()
}

// confirm has all distributors that hear of the log hold the newest version, and confirm it.
func (f *fleet) confirm() {
	for name, c := range f.copies {
		if !f.apart[name] {
			c.Install(replication.Snapshot{Version: f.version, Documents: f.docs})
			c.Confirm(f.version, time.Now())
		}
	}
}

// within fails unless all poolers, but some, have the newest version some time from now.
func (f *fleet) within(d time.Duration, what string, but ...string) {
	f.t.Helper()
	time.Sleep(d)
	synctest.Wait()
	late := 0
	for name, c := range f.has {
		if c.Version() != f.version && !slices.Contains(but, name) {
			if late++; late < 4 {
				f.t.Errorf("%s: %s at %q has version %d after %v, want %d", what, name, f.poolers[name].Distributor(), c.Version(), d, f.version)
			}
		}
	}
	if late > 0 {
		f.t.Errorf("%s: %d poolers are behind", what, late)
	}
}

func (f *fleet) end() {
	f.n.heal()
	for _, p := range f.poolers {
		p.Close()
	}
	for _, d := range f.distributors {
		d.Close()
	}
	time.Sleep(time.Minute) // what is under way on the network
}

// A change reaches all poolers by deltas; messages and casts go between poolers of different distributors and to distributors; the
// poolers' number and what they have in force come up.
func TestStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.end()
		time.Sleep(3 * testHeartbeat)
		for i := range 12 {
			f.join(i, 12, "r0")
		}
		f.put("p/a", "1")
		f.within(3*testHeartbeat, "the join")
		f.put("p/b", "2")
		f.within(10*time.Millisecond, "a change")
		for name, p := range f.poolers {
			if p.Size() != 15 || len(p.Members()) != 4 {
				t.Errorf("%s knows of %d poolers, members %v", name, p.Size(), p.Members())
			}
		}
		f.confirm()
		time.Sleep(2 * testHeartbeat)
		for name, c := range f.has {
			if age := time.Since(c.ConfirmedAt()); age > 3*testHeartbeat {
				t.Errorf("%s was confirmed %v ago", name, age)
			}
		}
		f.poolers["n3"].SetStatus(Status{Build: "v2"})
		time.Sleep(3 * testHeartbeat)
		for name, d := range f.distributors {
			own, all := d.Summary()
			if own.Poolers != d.StreamCount() || all.Poolers != 12 || all.Lagging != 0 || all.OldestVersion != f.version || all.Builds["v2"] != 1 || all.Builds[""] != 11 {
				t.Errorf("%s: %+v, of all %+v", name, own, all)
			}
		}
		heard := map[string]string{}
		var mu sync.Mutex
		note := func(name string) func(string, []byte) {
			return func(from string, body []byte) {
				mu.Lock()
				defer mu.Unlock()
				heard[name] += from + ":" + string(body) + " "
			}
		}
		for name, p := range f.poolers {
			p.Handle("t", note(name))
		}
		for name, d := range f.distributors {
			d.Handle("t", note(name))
		}
		f.poolers["n0"].Broadcast("t", []byte("all"))
		time.Sleep(testHeartbeat)
		for i := range 12 {
			if err := f.poolers["n0"].Send(t.Context(), fmt.Sprint("n", i), "t", []byte("one")); err != nil {
				t.Error(err)
			}
		}
		if err := f.poolers["n0"].Send(t.Context(), "d1", "t", []byte("one")); err != nil {
			t.Error(err)
		}
		time.Sleep(testHeartbeat) // two speakers have no order between them
		if err := f.distributors["d1"].Send(t.Context(), "n7", "t", []byte("back")); err != nil {
			t.Error(err)
		}
		if err := f.distributors["d1"].Send(t.Context(), "n99", "t", nil); err == nil {
			t.Error("a pooler that there is not")
		}
		time.Sleep(testHeartbeat)
		mu.Lock()
		defer mu.Unlock()
		for i := range 12 {
			want := "n0:all n0:one "
			switch i {
			case 0:
				want = "n0:one "
			case 7:
				want += "d1:back "
			}
			if got := heard[fmt.Sprint("n", i)]; got != want {
				t.Errorf("n%d heard %q, want %q", i, got, want)
			}
		}
		if heard["d0"] != "n0:all " || heard["d1"] != "n0:all n0:one " {
			t.Errorf("distributors heard %q and %q", heard["d0"], heard["d1"])
		}
	})
}

// Whatever one distributor does (ends, stalls, is cut off one way or the other, starts again with nothing), its poolers have each
// change within 6 s, and go back to their first choice once it is there again.
func TestOneDistributorIsLost(t *testing.T) {
	for what, lose := range map[string]struct{ lose, heal func(f *fleet, all []string) }{
		"killed":    {func(f *fleet, _ []string) { f.kill("d1") }, func(f *fleet, _ []string) { f.distribute(f.places[1]) }},
		"stalled":   {func(f *fleet, all []string) { f.n.part([]string{"d1"}, all, true) }, func(f *fleet, all []string) { f.n.part([]string{"d1"}, all, false) }},
		"not heard": {func(f *fleet, all []string) { oneWay(f, "d1", all, true, true) }, func(f *fleet, all []string) { oneWay(f, "d1", all, true, false) }},
		"deaf":      {func(f *fleet, all []string) { oneWay(f, "d1", all, false, true) }, func(f *fleet, all []string) { oneWay(f, "d1", all, false, false) }},
	} {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4, 1)
				defer f.end()
				var all []string
				for i := range 60 {
					all = append(all, f.join(i, 60, "r0"))
				}
				all = append(all, "d0", "d2", "d3")
				f.put("p/a", "1")
				f.within(3*testHeartbeat, "the join")
				before := f.distributors["d1"].StreamCount()
				lose.lose(f, all)
				time.Sleep(200 * time.Millisecond)
				f.put("p/b", "2")
				f.within(6*time.Second, what)
				f.put("p/b", "")
				f.within(20*time.Millisecond, "by the others")
				lose.heal(f, all)
				time.Sleep(2 * preferredRetryHeartbeats * testHeartbeat)
				if after := f.distributors["d1"].StreamCount(); before < 5 || after != before {
					t.Errorf("%d streams after its return, %d before", after, before)
				}
				f.put("p/c", "3")
				f.within(20*time.Millisecond, "after the return")
			})
		})
	}
}

// A pooler that goes back to its first choice has a stream all the time, also where the one that it leaves hears of it, and ends its stream, before
// the pooler does.
func TestHomeward(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := settled(t, 2, 1, 1)
		defer f.end()
		first := f.poolers["n0"].Distributor()
		f.kill(first)
		f.rest(5)
		f.n.mu.Lock()
		f.n.slow = map[[2]string]time.Duration{{first, "n0"}: 300 * time.Millisecond}
		f.n.mu.Unlock()
		f.distribute(f.places[slices.IndexFunc(f.places, func(p Endpoint) bool { return p.Name == first })])
		f.rest(2 * preferredRetryHeartbeats)
		if at, n := f.poolers["n0"].Distributor(), f.logged("has ended"); at != first || n != 1 {
			t.Errorf("it is at %q; logged %q", at, f.log)
		}
	})
}

// oneWay cuts what goes out of a name to all, or what comes in from all.
func oneWay(f *fleet, name string, all []string, out, cut bool) {
	for _, other := range all {
		if out {
			f.n.cut(name, other, cut)
		} else {
			f.n.cut(other, name, cut)
		}
	}
}

// A frame that can't be read, of any bytes, ends in an error, and takes no more memory than came.
func FuzzFrame(f *testing.F) {
	f.Add(encodeJSONFrame(kindHello, hello{Protocol: 1, Name: "n"}))
	f.Add(encodeFrame(kindMessage, prependNames([]byte("x"), "to", "from", "topic")))
	f.Add([]byte{0xff, 0xff, 0xff, 0x7f, 1})
	f.Fuzz(func(t *testing.T, text []byte) {
		in := bufio.NewReader(bytes.NewReader(text))
		for {
			frame, err := readFrame(in, maxPoolerFrame)
			if err != nil {
				return
			}
			if frame.size > len(text) || len(frame.body) >= frame.size {
				t.Errorf("%d bytes of %d", frame.size, len(text))
			}
			var to, from, topic string
			if rest, err := cutNames(frame.body, &to, &from, &topic); err == nil && !bytes.Equal(prependNames(rest, to, from, topic), frame.body) {
				t.Skip("a length in more bytes than it needs")
			}
			_, _, _ = nextSnapshot(frame.kind, frame.body, replication.Snapshot{Version: 3})
		}
	})
}

// Distributors that all take seconds to answer are waited for longer at each turn, and take their poolers in the end.
func TestSlowAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1)
		defer f.end()
		time.Sleep(3 * testHeartbeat)
		f.n.mu.Lock()
		f.n.delay = testHeartbeat // each way
		f.n.mu.Unlock()
		f.join(0, 1, "r0")
		f.put("p/a", "1")
		f.within(30*testHeartbeat, "slow answers")
	})
}
