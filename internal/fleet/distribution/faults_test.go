package distribution

import (
	"bufio"
	"bytes"
	"cmp"
	"container/heap"
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"threadsail/internal/fleet/replication"
)

// A reader that takes nothing is cut off at each of its bounds, holds nobody up, and has what it missed from another distributor by
// deltas.
func TestSlowReader(t *testing.T) {
	for what, cast := range map[string]func(d *Distributor, i int){
		"bytes":  func(d *Distributor, i int) { d.Broadcast(fmt.Sprint("t", i%100), make([]byte, 64<<10)) },
		"casts":  func(d *Distributor, i int) { d.Broadcast(fmt.Sprint("t", i), []byte("x")) },
		"frames": func(d *Distributor, i int) { _ = d.Send(t.Context(), "n5", "t", []byte("x")) },
	} {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := settled(t, 3, 1, 30)
				defer f.end()
				slow := f.poolers["n5"].Distributor()
				var heard atomic.Int64
				f.poolers["n7"].Handle("t1", func(string, []byte) { heard.Add(1) })
				was := f.counted(f.poolerNames()...)
				f.n.cut(slow, "n5", true)
				begun := time.Now()
				for i := 0; i < 1200 && f.logged("n5 is cut off") == 0; i++ {
					cast(f.distributors[slow], i)
					synctest.Wait()
				}
				f.put("p/a", what)
				f.within(0, "the others", "n5")
				if time.Since(begun) > 0 || f.logged("n5 is cut off") != 1 || f.logged("is cut off") != 1 || what != "frames" && heard.Load() == 0 {
					t.Errorf("after %v: %q, heard %d", time.Since(begun), f.log, heard.Load())
				}
				f.within(6*time.Second, "the slow one")
				if wholes, _ := f.counted(f.poolerNames()...).plus(was, -1).sum("in whole"); wholes > 0 {
					t.Errorf("%v whole copies", wholes)
				}
			})
		})
	}
}

// calls are callers by when they call next.
type calls []time.Duration

func (c calls) Len() int           { return len(c) }
func (c calls) Less(i, j int) bool { return c[i] < c[j] }
func (c calls) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *calls) Push(x any)        { *c = append(*c, x.(time.Duration)) }
func (c *calls) Pop() any {
	x := (*c)[len(*c)-1]
	*c = (*c)[:len(*c)-1]
	return x
}

// However callers come, in no stretch of time more are taken than the burst and the pace allow, and who is told to come later is taken in the
// end: the last by as long after the last call as all take at the pace.
func TestAdmission(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		late := rapid.IntRange(0, 5000).Draw(rt, "late µs")
		var due calls
		for range rapid.IntRange(1, 6).Draw(rt, "crowds") {
			at, over := rapid.IntRange(0, 3000).Draw(rt, "at ms"), rapid.IntRange(1, 500_000).Draw(rt, "over µs")
			for i := range rapid.IntRange(1, 1000).Draw(rt, "callers") {
				due = append(due, time.Duration(at)*time.Millisecond+time.Duration(i*7919%over)*time.Microsecond)
			}
		}
		last, n := slices.Max(due), len(due)
		heap.Init(&due)
		var took []time.Duration
		asked, why := 0, (*refusal)(nil)
		synctest.Test(t, func(*testing.T) {
			begun := time.Now()
			d := &Distributor{registry: newRegistry()}
			for ; len(due) > 0 && why == nil; asked++ {
				at := heap.Pop(&due).(time.Duration)
				time.Sleep(time.Until(begun.Add(at)))
				no := d.admit(&serverStream{hello: hello{Protocol: protocolVersion, Name: fmt.Sprint("n", asked)}})
				switch {
				case no == nil:
					took = append(took, at)
				case no.RetryAfterMillis > 0 && asked < 4*n:
					heap.Push(&due, at+time.Duration(no.RetryAfterMillis)*time.Millisecond+time.Duration(asked*7919%(late+1))*time.Microsecond)
				default:
					why = no
				}
			}
		})
		if why != nil {
			rt.Fatalf("call %d of %d callers: %+v", asked, n, *why)
		}
		for i := range took {
			for j := i + admissionBurst; j < len(took); j += 17 {
				if most := admissionBurst + 1 + int((took[j]-took[i])/admissionInterval); j-i+1 > most {
					rt.Fatalf("%d were taken within %v, %d may be", j-i+1, took[j]-took[i], most)
				}
			}
		}
		if most := last + time.Duration(n)*(admissionInterval+time.Duration(late)*time.Microsecond/100) + 100*time.Millisecond; took[n-1] > most {
			rt.Fatalf("the last of %d was taken after %v, want %v; the last had called after %v", n, took[n-1], most, last)
		}
	})
}

// A thousand poolers that call one distributor at once all have a stream, and a whole copy, by its pace.
func TestThousandAtOnce(t *testing.T) {
	const n = 1000
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 1)
		defer f.end()
		f.put("p/a", "1")
		for i := range n {
			f.join(i, n, "r0")
		}
		for at := time.Duration(0); at <= n*admissionInterval+100*time.Millisecond; at += 50 * time.Millisecond {
			synctest.Wait()
			if got, most := f.distributors["d0"].StreamCount(), admissionBurst+int(at/admissionInterval); got > most {
				t.Errorf("%d streams after %v, %d may be", got, at, most)
			}
			time.Sleep(50 * time.Millisecond)
		}
		f.within(0, "a thousand")
	})
}

// Whatever distributors are lost and come back and whatever poolers come and go, of whom most would have the same distributor, each has one stream
// within 6 s, and no distributor holds more than a quarter over the mean, where up to four poolers on their way are counted at both ends.
func TestBoundedLoads(t *testing.T) {
	t.Parallel()
	const distributors = 3
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			f, rng := newFleet(t, distributors, 1), rand.New(rand.NewPCG(seed, 0))
			defer f.end()
			time.Sleep(2 * testHeartbeat)
			tried := 0
			join := func(n int) {
				for ; n > 0; tried++ {
					if first := Rank(fmt.Sprint("n", tried), "r0", f.places)[0].Name; first == "d0" || tried%4 == 0 {
						f.join(tried, 1000, "r0")
						n--
					}
				}
			}
			join(170)
			fewest, most := distributors, 0 // distributors and poolers since all were there
			check := func(after string) {
				synctest.Wait()
				sum, held := 0, []int{}
				for _, d := range f.distributors {
					held = append(held, d.StreamCount())
					sum += d.StreamCount()
				}
				if bound := (5*(most+4) + 4*fewest - 1) / (4 * fewest); sum != len(f.poolers) || slices.Max(held) > bound {
					t.Errorf("after %s: %v streams of %d poolers, a quarter over the mean is %d", after, held, len(f.poolers), bound)
				}
			}
			for range 6 {
				p := f.places[rng.IntN(distributors)]
				d, there := f.distributors[p.Name]
				var what string
				switch {
				case !there:
					what = p.Name + " returned"
					f.distribute(p)
				case rng.IntN(3) == 0:
					what = "some came and went"
					for _, gone := range f.poolerNames()[:20] {
						f.poolers[gone].Close()
						delete(f.poolers, gone)
						delete(f.has, gone)
					}
					join(30)
				case len(f.distributors) > 1 && rng.IntN(2) == 0:
					what = p.Name + " was lost"
					f.kill(p.Name)
				default:
					what = fmt.Sprintf("%s stalled with %d", p.Name, d.StreamCount())
					all := append(f.poolerNames(), f.distributorNames()...)
					f.n.part([]string{p.Name}, all, true)
					time.Sleep(5 * testHeartbeat)
					f.n.part([]string{p.Name}, all, false)
					fewest = min(fewest, max(len(f.distributors)-1, 1))
				}
				time.Sleep(6 * time.Second)
				fewest, most = min(fewest, len(f.distributors)), max(most, len(f.poolers))
				check(what)
			}
			for _, p := range f.places {
				if f.distributors[p.Name] == nil {
					f.distribute(p)
				}
			}
			time.Sleep(2 * preferredRetryHeartbeats * testHeartbeat)
			check("all are back")
		})
	}
}

// watch holds every state that a copy is in against the log, until end is closed: whole, of a version that was written, in order, and confirmed
// as of a time at which nothing newer was.
func (f *fleet) watch(name string, end <-chan struct{}) {
	c := f.has[name]
	go func() {
		for last := uint64(0); ; {
			changed := c.Changed()
			confirmed := c.ConfirmedAt()
			s := c.Snapshot()
			f.mu.Lock()
			was := f.written[s.Version]
			for version, w := range f.written {
				if version > s.Version && w.at.Before(confirmed) {
					f.t.Errorf("%s has version %d, confirmed as of %v, when %d was %v old", name, s.Version, confirmed, version, confirmed.Sub(w.at))
				}
			}
			f.mu.Unlock()
			if s.Version < last || !maps.EqualFunc(s.Documents, was.docs, func(a, b replication.Document) bool {
				return a.Key == b.Key && a.Version == b.Version && bytes.Equal(a.Value, b.Value)
			}) {
				f.t.Errorf("%s has version %d after %d, with %v, written was %v", name, s.Version, last, s.Documents, was.docs)
			}
			last = s.Version
			select {
			case <-changed:
			case <-time.After(testHeartbeat / 3):
			case <-end:
				return
			}
		}
	}()
}

// Whatever happens to links, distributors and poolers, each pooler's copy goes forward from version to version as they were written, whole, and
// is confirmed as of no time at which a newer one was; and once all is healed everyone has the newest within 6 s.
func TestVersionsNeverGoBack(t *testing.T) {
	t.Parallel()
	const distributors, poolers = 4, 10
	type step struct {
		Do, A, B int
		Yes      bool
		Wait     int // ms
	}
	rapid.Check(t, func(rt *rapid.T) {
		number := func(most int) *rapid.Generator[int] { return rapid.IntRange(0, most) }
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{number(9).Draw(rt, "do"), number(distributors-1).Draw(rt, "a"), number(distributors+poolers-1).Draw(rt, "b"), rapid.Bool().Draw(rt, "yes"),
				rapid.SampledFrom([]int{0, 10, 300, 1000, 3000, 8000}).Draw(rt, "wait ms")}
		}), 20, 60).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, distributors, 2)
			defer f.end()
			end := make(chan struct{})
			defer close(end)
			names := f.distributorNames()
			for i := range poolers {
				names = append(names, f.join(i, poolers, fmt.Sprint("r", i%3)))
				f.watch(names[distributors+i], end)
			}
			delay := func(d time.Duration) {
				f.n.mu.Lock()
				f.n.delay = d
				f.n.mu.Unlock()
			}
			for i, s := range steps {
				a, b := names[s.A], names[s.B]
				switch s.Do {
				case 0, 1:
					f.put(fmt.Sprint("p/", s.B), fmt.Sprint(i))
				case 2:
					f.put(fmt.Sprint("p/", s.B), "")
				case 3:
					if f.distributors[a] != nil {
						f.kill(a)
					} else {
						f.distribute(f.places[s.A])
					}
				case 4:
					if s.B >= distributors {
						f.restart(b, s.Yes)
						f.watch(b, end)
					}
				case 5:
					f.n.cut(a, b, s.Yes)
				case 6:
					f.n.cut(b, a, s.Yes)
				case 7:
					f.n.part([]string{a}, names, s.Yes)
				case 8:
					delay(time.Duration(s.B) * 30 * time.Millisecond)
				case 9:
					f.apart[a] = s.Yes
				}
				if s.Wait > 0 {
					f.rest(s.Wait / 1000)
					time.Sleep(time.Duration(s.Wait%1000) * time.Millisecond)
				}
			}
			f.n.heal()
			delay(0)
			clear(f.apart)
			for _, p := range f.places {
				if f.distributors[p.Name] == nil {
					f.distribute(p)
				}
			}
			f.put("p/last", "1")
			f.within(6*time.Second, "all is healed")
			f.put("p/last", "2")
			f.within(20*time.Millisecond, "at rest")
		})
	})
}

// A distributor that says what can't be is left, with its reason logged once however often the pooler comes back; the copy stands, and the
// pooler has each change from another.
func TestBadDistributor(t *testing.T) {
	welcome := encodeFrame(kindWelcome)
	text := func(k frameKind, feed, json string) []byte { return encodeFrame(k, prependNames([]byte(json), feed)) }
	ended, refused := "the stream to x has ended", "x refuses this pooler: protocol 2"
	for what, c := range map[string]struct {
		says  [][]byte
		words uint64 // of which version it sends a word each beat; 0: none
		why   string
	}{
		"a delta that does not follow": {[][]byte{welcome, text(kindDelta, "shared", `{"since":1000000,"version":1000001}`)}, 0, ended},
		"a delta with half a document": {[][]byte{welcome, text(kindDelta, "shared", `{"since":0,"version":1000001,"docs":[{"key":"p/x","version":1000000}]}`)}, 0, ended},
		"a delta that can't be read":   {[][]byte{welcome, text(kindDelta, "shared", `{"since":0,"ver`)}, 0, ended},
		"a whole that can't be read":   {[][]byte{welcome, text(kindSnapshot, "shared", `[]`)}, 0, ended},
		"a frame over its bound":       {[][]byte{welcome, binary.AppendUvarint(nil, maxDistributorFrame+1)}, 0, ended},
		"an unknown feed":              {[][]byte{welcome, text(kindDelta, "other", `{"since":0,"version":1000001}`)}, 0, ended},
		"an unknown kind":              {[][]byte{welcome, encodeFrame(99)}, 0, ended},
		"a word that can't be read":    {[][]byte{welcome, encodeFrame(kindAnnouncement, []byte("{"))}, 0, ended},
		"another protocol":             {[][]byte{encodeJSONFrame(kindRefusal, refusal{Reason: "protocol 2, here it is 1"})}, 0, refused},
		"no such answer":               {[][]byte{[]byte("HTTP/1.1 400 Bad Request\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n400 Bad Request")}, 0, "x"},
		"another log":                  {[][]byte{welcome}, 1, ended},
	} {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2, 1)
				defer f.end()
				f.put("p/a", "1")
				f.places = append(f.places, Endpoint{"x", "x", "r9"})
				time.Sleep(2 * testHeartbeat)
				f.join(0, 1, "r9") // for which x is the first choice
				f.watch("n0", t.Context().Done())
				f.within(6*time.Second, "the join")
				ln := f.n.listen("x")
				defer ln.Close()
				came := 0
				var running sync.WaitGroup
				running.Go(func() {
					for {
						conn, err := ln.Accept()
						if err != nil {
							return
						}
						came++
						running.Go(func() {
							defer conn.Close()
							in := bufio.NewReader(conn)
							if _, err := readFrame(in, maxPoolerFrame); err != nil {
								return
							}
							for _, frame := range c.says {
								_, _ = conn.Write(frame)
							}
							running.Go(func() { _, _ = in.WriteTo(new(bytes.Buffer)) })
							for err := error(nil); err == nil && c.words > 0; time.Sleep(testHeartbeat) {
								_, err = conn.Write(encodeJSONFrame(kindAnnouncement, announcement{1, []resourceAnnouncement{{"shared", c.words, time.Now().UnixNano(), 0}}}))
							}
							time.Sleep(testHeartbeat)
						})
					}
				})
				for i := range 10 {
					f.put("p/a", fmt.Sprint("change ", i))
					f.within(6*time.Second, what)
					f.rest(preferredRetryHeartbeats)
				}
				if n := f.logged(c.why); n != 1 || came < 4 {
					t.Errorf("%d lines after %d calls: %q", n, came, f.log)
				}
				if c.words > 0 && f.logged("is newer (version") != 1 {
					t.Errorf("another log: %q", f.log)
				}
				f.poolers["n0"].Close()
				_ = ln.Close()
				running.Wait()
			})
		})
	}
}

// A pooler that says what can't be is refused or cut off, with its reason logged once however often it comes, and nobody hears it. What can't be
// sent is refused to the part that would send it, and the stream stands.
func TestBadPooler(t *testing.T) {
	call := hello{Protocol: protocolVersion, Name: "bad"}
	long := strings.Repeat("n", maxNameLength+1)
	for what, c := range map[string]struct {
		hello hello
		says  []byte
		why   string
	}{
		"another protocol":       {hello{Protocol: 2, Name: "bad"}, nil, "protocol 2, here it is 1"},
		"no name":                {hello{Protocol: protocolVersion}, nil, "empty or too long"},
		"a long name":            {hello{Protocol: protocolVersion, Name: long}, nil, "empty or too long"},
		"speaks for another":     {call, encodeFrame(kindMessage, prependNames([]byte("x"), "n0", "n1", "t")), "it speaks for n1"},
		"casts for another":      {call, encodeFrame(kindBroadcast, prependNames([]byte("x"), "n1", "t")), "it speaks for n1"},
		"a frame over its bound": {call, encodeFrame(kindMessage, make([]byte, maxPoolerFrame)), "frame too long"},
		"an unknown kind":        {call, encodeFrame(99), "kind 99"},
		"not its to tell":        {call, encodeJSONFrame(kindHoldings, holdings{Complete: true}), "holds"},
		"can't be read":          {call, encodeFrame(kindHeartbeat, []byte("{")), "malformed frame"},
		"a link's can't be read": {hello{Protocol: protocolVersion, Name: "d0", Distributor: true}, encodeFrame(kindHoldings, []byte("{")), "malformed frame"},
		"a link of a stranger":   {hello{Protocol: protocolVersion, Name: "bad", Distributor: true}, nil, "not among those named here"},
	} {
		t.Run(what, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := settled(t, 1, 1, 2)
				defer f.end()
				f.poolers["n0"].Handle("t", func(from string, _ []byte) { t.Errorf("n0 heard %s", from) })
				for range 3 {
					conn, err := f.n.dialer("bad")(t.Context(), "d0")
					if err != nil {
						t.Fatal(err)
					}
					running := sync.WaitGroup{}
					running.Go(func() {
						if _, err := conn.Write(encodeJSONFrame(kindHello, c.hello)); err == nil && c.says != nil {
							_, _ = conn.Write(c.says)
						}
					})
					time.Sleep(testHeartbeat / 10)
					answer, _ := bufio.NewReader(conn).Peek(2)
					if refused := kindOfFrame(append(answer, 0)) == kindRefusal; refused != (c.says == nil) {
						t.Errorf("answered by %q", answer)
					}
					_ = conn.SetReadDeadline(time.Now().Add(testHeartbeat / 10)) // fails once it has ended
					_, err = bufio.NewReader(conn).WriteTo(new(bytes.Buffer))
					if e, ok := err.(net.Error); ok && e.Timeout() {
						t.Error("the connection stands")
					}
					_ = conn.Close()
					running.Wait()
				}
				if f.logged(c.why) != 1 || len(f.log) != 1 {
					t.Errorf("logged %q", f.log)
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		f := settled(t, 1, 1, 2)
		defer f.end()
		for _, send := range []struct {
			to, topic string
			bytes     int
		}{{"n1", "t", maxPoolerFrame}, {"n1", "t", maxPoolerFrame - 10}, {"n1", "", 1}, {"", "t", 1}, {long, "t", 1}, {"n1", long, 1}} {
			if err := f.poolers["n0"].Send(t.Context(), send.to, send.topic, make([]byte, send.bytes)); err == nil {
				t.Errorf("%.9q, %.9q, %d bytes: taken", send.to, send.topic, send.bytes)
			}
			f.poolers["n0"].Broadcast(cmp.Or(send.topic, long), make([]byte, max(send.bytes, maxPoolerFrame-10)))
		}
		f.rest(3)
		if f.logged("has ended") > 0 {
			t.Errorf("the stream has ended: %q", f.log)
		}
	})
}
