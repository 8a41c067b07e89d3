package outlier

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"threadsail/internal/dispatch"
)

var testSettings = Settings{MinObservers: 3, MinZones: 2, MaxEjectedShare: 0.5, BaseEjectionTime: 5 * time.Second}

// drawReport is a drawn report: what an honest observer could count, or anything that can be read.
func drawReport(t *rapid.T, servers []string) Report {
	r := Report{StartedAt: int64(rapid.IntRange(1, 3).Draw(t, "born")), Sequence: uint64(rapid.IntRange(1, 5).Draw(t, "seq")),
		Zone: rapid.SampledFrom([]string{"z1", "z2", "z3"}).Draw(t, "room"), ServersSeen: len(servers)}
	for _, s := range servers {
		if n := rapid.IntRange(0, 3).Draw(t, "said"); n > 0 {
			r.Servers = append(r.Servers, Observation{Server: s, Good: uint32(rapid.IntRange(0, 9).Draw(t, "good")),
				Failed: uint32(rapid.IntRange(0, 9).Draw(t, "failed")), Slow: uint32(rapid.IntRange(0, 9).Draw(t, "slow")), LostPrimary: n == 3})
		}
	}
	r.Complaints = countComplaints(r.Servers)
	return r
}

// Reports may be lost, come twice, late and in any order: the board ends with each observer's newest that came, and what is
// found follows from these alone.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		type msg struct {
			from string
			Report
		}
		var sent []msg
		newest := map[string]Report{}
		for range rapid.IntRange(0, 20).Draw(t, "messages") {
			m := msg{rapid.SampledFrom([]string{"n1", "n2", "n3", "n4"}).Draw(t, "from"), drawReport(t, []string{"a", "b"})}
			if slices.ContainsFunc(sent, func(o msg) bool { return o.from == m.from && o.StartedAt == m.StartedAt && o.Sequence == m.Sequence }) {
				continue // an observer never says two things under one number
			}
			m.SentAt = now.UnixNano()
			if sent = append(sent, m); newest[m.from].before(m.Report) {
				newest[m.from] = m.Report
			}
		}
		boards := [2]reportStore{}
		for i := range boards {
			boards[i].reports = map[string]storedReport{}
			order := rapid.Permutation(append(slices.Clone(sent), sent...)).Draw(t, "order")
			for _, m := range order {
				boards[i].add(now, m.from, m.Report, time.Second)
			}
			for from, e := range boards[i].reports {
				if d := cmp.Diff(newest[from], e.Report); d != "" {
					t.Fatalf("%s: %s", from, d)
				}
			}
			if len(boards[i].reports) != len(newest) {
				t.Fatalf("%d observers, want %d", len(boards[i].reports), len(newest))
			}
		}
		if d := cmp.Diff(fmt.Sprint(aggregateServers(boards[0].current(now))), fmt.Sprint(aggregateServers(boards[1].current(now)))); d != "" {
			t.Fatal(d)
		}
		for i := range boards { // and all of it is over at its end
			if v := boards[i].current(now.Add(time.Second)); len(v) > 0 {
				t.Fatalf("%d reports count after their life", len(v))
			}
		}
	})
}

// Fewer liars than Observers, or liars in fewer rooms than Rooms, convict nobody, whatever they say and however little the
// others see; nor do any number of them that is outweighed.
func TestLiars(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := []string{"a", "b", "c"}
		few := rapid.Bool().Draw(t, "few")
		var voices []observerReport
		liars := rapid.IntRange(0, 8).Draw(t, "liars")
		if few {
			liars = min(liars, testSettings.MinObservers-1)
		}
		for i := range liars {
			r := drawReport(t, servers)
			if !few {
				r.Zone = "z1"
			}
			r.Complaints, r.ServersSeen = 0, 100 // it hides how much it complains
			voices = append(voices, observerReport{fmt.Sprint("liar", i), r})
		}
		for i := range rapid.IntRange(0, 5).Draw(t, "honest") {
			r := Report{Zone: rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "room"), ServersSeen: 3}
			for _, s := range servers {
				r.Servers = append(r.Servers, Observation{Server: s, Good: uint32(rapid.IntRange(0, 2).Draw(t, "good"))})
			}
			voices = append(voices, observerReport{fmt.Sprint("n", i), r})
		}
		for s, f := range aggregateServers(voices) {
			if testSettings.shouldEject(f, false) || testSettings.shouldReportPrimaryDown(f) {
				t.Fatalf("%s is convicted: %v", s, f)
			}
		}
	})
}

// Many liars in many rooms weigh no more than as many honest observers.
func TestMajority(t *testing.T) {
	var voices []observerReport
	for i := range 10 {
		l := Observation{Server: "a", Failed: 1 << 31, Slow: 1 << 31}
		if i >= 5 {
			l = Observation{Server: "a", Good: maxRecentAttempts}
		}
		voices = append(voices, observerReport{fmt.Sprint("n", i), Report{Zone: fmt.Sprint("z", i), ServersSeen: 10, Servers: []Observation{l}}})
	}
	if f := aggregateServers(voices)["a"]; testSettings.shouldEject(f, false) || f.complaintWeight != f.satisfiedWeight {
		t.Errorf("%v, %v against %v", f, f.complaintWeight, f.satisfiedWeight)
	}
}

// An observer that complains of most of what it sees has a bad link: its complaints count for nothing, its good answers do.
func TestDoubtful(t *testing.T) {
	var voices []observerReport
	for i := range 4 {
		voices = append(voices, observerReport{fmt.Sprint("n", i), Report{Zone: fmt.Sprint("z", i), ServersSeen: 3, Complaints: 2,
			Servers: []Observation{{Server: "a", Failed: 3}, {Server: "b", Failed: 3}, {Server: "c", Good: 3}}}})
	}
	found := aggregateServers(voices)
	if f := found["a"]; f.Complainers > 0 || testSettings.shouldEject(f, false) {
		t.Errorf("a: %v", f)
	}
	if f := found["c"]; f.Satisfied != 4 {
		t.Errorf("c: %v", f)
	}
}

// Where everything fails and is slow no server is convicted; one that is by far the worst is, and a few failures are no case.
func TestEverythingIsBad(t *testing.T) {
	for _, c := range []struct {
		line     Observation
		bad, all int
		want     bool
	}{
		{Observation{Failed: 3, Good: 3}, 3, 20, true},
		{Observation{Failed: 3, Good: 3}, 9, 20, false}, // 6 of 14 elsewhere
		{Observation{Slow: 3, Good: 2}, 10, 20, false},
		{Observation{Failed: 5}, 12, 20, true},
		{Observation{Failed: 1}, 1, 20, false},
		{Observation{Failed: 2}, 2, 2, true},    // nothing else is seen
		{Observation{Failed: 6}, 20, 20, false}, // nothing else is any better
	} {
		var voices []observerReport
		for i := range 3 {
			c.line.Server = "a"
			voices = append(voices, observerReport{fmt.Sprint("n", i), Report{Zone: fmt.Sprint("z", i), ServersSeen: 4, Complaints: 1, FailedAttempts: c.bad, Attempts: c.all, Servers: []Observation{c.line}}})
		}
		voices = append(voices, observerReport{"liar", Report{ServersSeen: 4, FailedAttempts: 1 << 30, Attempts: 1 << 30}})
		if f := aggregateServers(voices)["a"]; testSettings.shouldEject(f, false) != c.want {
			t.Errorf("%+v, %d of %d: convicted %v", c.line, c.bad, c.all, !c.want)
		}
	}
}

// Where all agree a dozen speak; where a few complain all of them do, and twice their weight of the others.
func TestVoices(t *testing.T) {
	for _, c := range []struct {
		f             Finding
		against, good bool // is said
	}{
		{Finding{Complainers: 12, complaintWeight: 70}, true, false},
		{Finding{Complainers: 11, complaintWeight: 70}, false, false},
		{Finding{Complainers: 12, complaintWeight: 70, Satisfied: 8, satisfiedWeight: 40}, false, false},
		{Finding{Complainers: 4, complaintWeight: 20, Satisfied: 12, satisfiedWeight: 40}, false, true},
		{Finding{Complainers: 40, complaintWeight: 200, Satisfied: 60, satisfiedWeight: 300}, false, false},
	} {
		if testSettings.sufficientlyReported(c.f, true) != c.against || testSettings.sufficientlyReported(c.f, false) != c.good {
			t.Errorf("%+v", c)
		}
	}
}

// Of a group's members at most the share is left, never the last one, and all poolers leave the same.
func TestLeave(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := testSettings
		r.MaxEjectedShare = rapid.Float64Range(0, 1).Draw(t, "share")
		members := rapid.SliceOfN(rapid.StringMatching("[a-f]"), 0, 8).Draw(t, "members")
		bad := map[string]bool{}
		for _, m := range members {
			bad[m] = rapid.Bool().Draw(t, "bad")
		}
		left := r.selectEjected(members, func(m string) bool { return bad[m] })
		n := len(slices.Compact(slices.Sorted(slices.Values(members))))
		if n > 0 && len(left) >= n || float64(len(left)) > r.MaxEjectedShare*float64(n) {
			t.Fatalf("%d of %d are left", len(left), n)
		}
		if other := r.selectEjected(rapid.Permutation(members).Draw(t, "order"), func(m string) bool { return bad[m] }); !slices.Equal(left, other) {
			t.Fatalf("%v and %v", left, other)
		}
		for _, m := range left {
			if !bad[m] {
				t.Fatalf("%s is left without a verdict", m)
			}
		}
	})
}

// A verdict needs evidence that stands, lasts for its term, longer each time, ends by an appeal, and is forgotten.
func TestStanding(t *testing.T) {
	vs, now := ejections{}, time.Unix(1000, 0)
	against := Finding{Server: "a", Complainers: 3, Zones: 2, Failed: 9, complaintWeight: 9}
	for _, c := range []struct {
		after time.Duration
		f     Finding
		want  changeKind
	}{
		{0, against, ""},
		{confirmationDelay - 1, against, ""},
		{0, Finding{}, ""}, // it did not stand
		{0, against, ""},
		{confirmationDelay, against, changeBegun},
		{testSettings.BaseEjectionTime - 1, Finding{}, ""}, // nobody knows better
		{1, Finding{}, changeExpired},
		{0, against, ""},
		{confirmationDelay, against, changeBegun},
		{2*testSettings.BaseEjectionTime - 1, against, ""},
		{1, against, changeRenewed},
		{time.Second, Finding{Satisfied: 1, satisfiedWeight: 9}, ""},
		{time.Second, Finding{Satisfied: 2, satisfiedWeight: 9, complaintWeight: 9}, ""},
		{time.Second, Finding{Satisfied: 2, satisfiedWeight: 10, complaintWeight: 9}, changeCleared},
		{0, against, ""},
		{confirmationDelay, against, changeBegun},
		{maxEjectionMultiplier * testSettings.BaseEjectionTime, Finding{}, changeExpired},
		{ejectionMemory, Finding{}, ""},
	} {
		now = now.Add(c.after)
		got := changeKind("")
		for _, ch := range vs.update(now, testSettings, map[string]Finding{"a": c.f}, 0) {
			got = ch.kind
		}
		if got != c.want {
			t.Fatalf("after %v, %v: %q, want %q", c.after, c.f, got, c.want)
		}
	}
	if len(vs) > 0 {
		t.Error("a verdict that is long over is still known")
	}
}

// Whatever comes, the state keeps to its bounds.
func TestBounded(t *testing.T) {
	now, b, o, vs := time.Unix(1000, 0), reportStore{reports: map[string]storedReport{}}, newLocalEvidence(), ejections{}
	for i := range 3 * maxObservers {
		b.add(now, fmt.Sprint(i), Report{StartedAt: 1, Sequence: 1, SentAt: now.UnixNano()}, time.Second)
		o.observe(now, fmt.Sprint(i), i, Failure, 0)
		o.recordLostPrimary(now, fmt.Sprint(i))
		vs.update(now, testSettings, map[string]Finding{fmt.Sprint(i): {Complainers: 3, Zones: 2, Failed: 6, complaintWeight: 1}}, 0)
	}
	if len(b.reports) > maxObservers || len(o.servers) > maxServers || len(o.lostPrimaries) > maxLostPrimaries || len(vs) > maxServers {
		t.Errorf("%d reports, %d servers, %d lost, %d verdicts", len(b.reports), len(o.servers), len(o.lostPrimaries), len(vs))
	}
	now = now.Add(reportMemory + time.Second) // and what is old makes way
	if !b.add(now, "new", Report{StartedAt: 1, Sequence: 1, SentAt: now.UnixNano()}, time.Second) || len(b.reports) != 1 {
		t.Errorf("%d reports are known after all have been forgotten", len(b.reports))
	}
	o.observe(now, "new", 0, Success, 0)
	if l, _ := o.observations(now); len(l) != 1 || l[0].Server != "new" {
		t.Errorf("%v", l)
	}
}

// A report that hung somewhere for longer than it could count, or whose clock is that wrong, is refused.
func TestOldReports(t *testing.T) {
	now, life := time.Unix(1000, 0), time.Second
	for _, c := range []struct {
		age  time.Duration
		ok   bool
		ends time.Duration
	}{{0, true, life}, {maxClockSkew, true, life}, {-time.Hour, true, life}, {life + maxClockSkew, true, 0}, {life + maxClockSkew + 1, false, 0}, {maxClockSkew + life/2, true, life / 2}} {
		b := reportStore{reports: map[string]storedReport{}}
		if ok := b.add(now, "n", Report{StartedAt: 1, Sequence: 1, SentAt: now.Add(-c.age).UnixNano()}, life); ok != c.ok || ok && !b.reports["n"].expiresAt.Equal(now.Add(c.ends)) {
			t.Errorf("%v old: %v, counts until %v", c.age, ok, b.reports["n"].expiresAt.Sub(now))
		}
	}
}

// A slow server is told from slow requests, from one slow answer, and from a slow day at all servers.
func TestSlow(t *testing.T) {
	o, now := newLocalEvidence(), time.Unix(1000, 0)
	see := func(server string, class int, took time.Duration, n int) {
		for range n {
			now = now.Add(100 * time.Millisecond)
			o.observe(now, server, class, Success, took)
		}
	}
	for range 20 {
		see("a", 0, 10*time.Millisecond, 1)
		see("b", 0, 12*time.Millisecond, 1)
		see("a", 1, 400*time.Millisecond, 1) // a heavy class
		see("b", 1, 400*time.Millisecond, 1)
	}
	see("a", 0, 300*time.Millisecond, 1)
	if l := o.observation(now, "a", evidenceSpan); l.complains() || l.Slow != 1 {
		t.Errorf("one slow answer: %+v", l)
	}
	see("b", 0, 10*time.Millisecond, 5)
	see("a", 0, 300*time.Millisecond, 5)
	if l := o.observation(now, "a", evidenceSpan); !l.complains() {
		t.Errorf("a slow server: %+v", l)
	}
	for range 60 { // and it does not become the measure
		see("a", 0, 300*time.Millisecond, 1)
		see("b", 0, 10*time.Millisecond, 1)
	}
	if l := o.observation(now, "a", evidenceSpan); !l.complains() {
		t.Errorf("a server that stays slow: %+v", l)
	}
	for range 80 { // which follows the day
		see("a", 0, 300*time.Millisecond, 1)
		see("b", 0, 300*time.Millisecond, 1)
	}
	if l := o.observation(now, "a", evidenceSpan); l.complains() {
		t.Errorf("all are slow: %+v", l)
	}
	o.observe(now, "b", 0, Timeout, 200*time.Millisecond)
	if l := o.observation(now, "b", evidenceSpan); l.Failed > 0 {
		t.Errorf("a hurried client: %+v", l)
	}
	o.observe(now, "b", 0, Timeout, 2*time.Second)
	if l := o.observation(now, "b", evidenceSpan); l.Failed != consecutiveFailures || l.Good > 0 {
		t.Errorf("silence: %+v", l)
	}
	see("b", 0, 10*time.Millisecond, maxRecentAttempts)
	o.observe(now, "b", 0, Failure, 0)
	if l := o.observation(now, "b", evidenceSpan); l.complains() || l.Good == 0 {
		t.Errorf("one failure: %+v", l)
	}
	o.observe(now, "b", 0, Failure, 0)
	if l := o.observation(now, "b", evidenceSpan); l.Good > 0 || l.Failed != 2 {
		t.Errorf("a second in a row: %+v", l)
	}
	alone := newLocalEvidence()
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		alone.observe(now, "a", 0, Success, 10*time.Millisecond)
	}
	alone.observe(now, "a", 0, Success, time.Second)
	if l := alone.observation(now, "a", evidenceSpan); l.Slow > 0 {
		t.Errorf("a server alone is compared with nothing: %+v", l)
	}
}

// A tenant that makes most requests at most poolers is hot; one that does at a few is not, nor anybody in a calm; and it ends.
func TestHotTenant(t *testing.T) {
	for _, c := range []struct {
		at   int // poolers where it is
		want bool
	}{{2, false}, {4, false}, {7, true}} {
		var each [9]tenantCounts
		hot := ejections{}
		now, voices := time.Unix(1000, 0), []observerReport(nil)
		step := func(busy bool) {
			now = now.Add(evidenceSpan / 4)
			told := complainedAbout(voices, func(v observerReport) []Observation { return v.Tenants })
			voices = voices[:0]
			for i := range each {
				for k := range 10 {
					tenant := fmt.Sprint("other", k)
					if busy && i < c.at && k > 2 {
						tenant = "big"
					}
					each[i].observe(now, tenant)
				}
				voices = append(voices, observerReport{fmt.Sprint("n", i), Report{Zone: fmt.Sprint("z", i%3), Tenants: each[i].observations(now, told)}})
			}
			hot.update(now, testSettings, aggregateTenants(voices), 0)
		}
		for range 12 {
			step(true)
		}
		if hot.isEjected("big") != c.want || len(hot) > 1 {
			t.Errorf("at %d of 9: hot %v, %d verdicts", c.at, hot.isEjected("big"), len(hot))
		}
		for range 30 {
			step(false)
		}
		if hot.isEjected("big") {
			t.Error("a tenant that asks nothing any more is still hot")
		}
	}
}

// What is cast fits into a datagram, complaints first, and comes back as it was.
func TestReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var servers []string
		for i := range rapid.IntRange(0, 20).Draw(t, "servers") {
			servers = append(servers, fmt.Sprint(rapid.StringOfN(rapid.RuneFrom([]rune("ab-")), 0, 90, -1).Draw(t, "name"), i))
		}
		r := drawReport(t, servers)
		r.ServersSeen = max(r.ServersSeen, len(r.Servers))
		text := r.encode()
		got, err := decode(text)
		if err != nil || len(text) > maxReportSize {
			t.Fatalf("%v, %d bytes", err, len(text))
		}
		r.Servers = r.Servers[:len(got.Servers)]
		if len(r.Servers) == 0 {
			r.Servers = nil
		}
		if d := cmp.Diff(r, got); d != "" {
			t.Fatal(d)
		}
	})
}

// A read is kept off a server that the fleet leaves only where another member has just answered here; not where this pooler is to
// try it, or has good answers of it.
func TestMaySend(t *testing.T) {
	for _, c := range []struct {
		left, trying bool
		of           map[string]Outcome
		want         dispatch.SendDecision
	}{
		{true, false, map[string]Outcome{"b": Success}, dispatch.SendElsewhere},
		{false, false, map[string]Outcome{"b": Success}, dispatch.Send},
		{true, true, map[string]Outcome{"b": Success}, dispatch.Send},
		{true, false, nil, dispatch.Send},
		{true, false, map[string]Outcome{"b": Failure}, dispatch.Send},
		{true, false, map[string]Outcome{"b": Success, "a": Failure}, dispatch.SendElsewhere},
		{true, false, map[string]Outcome{"b": Success, "a": Success}, dispatch.Send},
	} {
		p := New(testSettings, "z1", nil)
		p.selection.ejected["a"], p.selection.probing["a"], p.selection.alternatives["a"] = c.left, c.trying, []string{"b"}
		for server, kind := range c.of {
			p.Observe(server, 0, kind, 0)
			p.Observe(server, 0, kind, 0)
		}
		if got := p.MaySend(0, nil, "a"); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// A pooler speaks when it complains or is asked, at its own pace, and once more to take back what it said.
func TestSay(t *testing.T) {
	p, now := New(testSettings, "z1", nil), time.Unix(1000, 0)
	ill := Report{ServersSeen: 2, Complaints: 1, Servers: []Observation{{Server: "a", Failed: 2}, {Server: "b", Good: 1}}}
	well := Report{ServersSeen: 2, Servers: []Observation{{Server: "a", Good: 2}, {Server: "b", Good: 1}}}
	for i, c := range []struct {
		after   time.Duration
		r       Report
		accused map[string]bool
		lines   int // -1: says nothing
	}{{0, well, nil, -1}, {0, ill, nil, 1}, {minReportInterval / 2, ill, nil, -1}, {minReportInterval, well, nil, 0}, {2 * minReportInterval, well, nil, -1},
		{0, well, map[string]bool{"b": true}, 1}, {2 * minReportInterval, well, map[string]bool{"c": true}, -1}, {2 * minReportInterval, well, nil, -1}} {
		now = now.Add(c.after)
		c.r.Servers = slices.Clone(c.r.Servers)
		text, lines := p.reporter.due(now, c.r, reportingContext{testSettings, c.accused, nil, p.ejections.isEjected, 5}), -1
		if text != nil {
			r, err := decode(text)
			if lines = len(r.Servers); err != nil {
				t.Error(err)
			}
		}
		if lines != c.lines {
			t.Errorf("%d: says %s, want %d lines", i, text, c.lines)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add((&Report{StartedAt: 1, Sequence: 2, SentAt: 3, Zone: "z1", ServersSeen: 2, Complaints: 1, Servers: []Observation{{Server: "a", Failed: 3, LostPrimary: true}, {Server: "b", Good: 1}}}).encode())
	f.Add([]byte(`{"e":1,"l":[{"s":"a"},{"s":"a"}]}`))
	f.Add([]byte(`{"e":1,"i":-1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := decode(text)
		if err != nil {
			return
		}
		if len(r.Servers) > maxReportedServers || countComplaints(r.Servers) > r.Complaints || r.Complaints > r.ServersSeen {
			t.Errorf("%+v", r)
		}
		if again, err := decode(r.encode()); err != nil || len(again.Servers) > len(r.Servers) {
			t.Errorf("%+v: %v", again, err)
		}
		for s, f := range aggregateServers([]observerReport{{"n", r}}) {
			if testSettings.shouldEject(f, false) {
				t.Errorf("%s is convicted by one", s)
			}
		}
	})
}
