package lease

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestTable(t *testing.T) {
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	term := 3 * time.Second
	tab := Lessor{MaxClockDrift: time.Second}
	type got struct {
		Holder string
		Token  uint64
		OK     bool
	}
	var results []got
	for i, c := range []Command{
		{Name: "lists", Holder: "a", Duration: term, Now: at(0)},       // a takes it: token 1
		{Name: "lists", Holder: "b", Duration: term, Now: at(1000)},    // a holds it
		{Name: "lists", Holder: "a", Duration: term, Now: at(2000)},    // a renews: token 1, until 5 s
		{Name: "lists", Holder: "b", Duration: term, Now: at(5500)},    // within the drift: still a's
		{Name: "lists", Holder: "b", Duration: term, Now: at(6000)},    // b takes it: token 5
		{Name: "lists", Holder: "a", Duration: term, Now: at(4000)},    // a late clock: the table's time stays at 6 s
		{Release: true, Name: "lists", Holder: "a", Now: at(6100)},     // not a's to give up
		{Release: true, Name: "lists", Holder: "b", Now: at(6200)},     // b gives it up
		{Name: "lists", Holder: "a", Duration: term, Now: at(6300)},    // free at once: token 9
		{Name: "round/g1", Holder: "b", Duration: term, Now: at(6300)}, // another duty: its own lease
	} {
		g, ok := tab.Apply(c, uint64(i+1), 0)
		if !c.Release {
			results = append(results, got{g.Holder, g.Token, ok})
		}
	}
	want := []got{{"a", 1, true}, {"a", 1, false}, {"a", 1, true}, {"a", 1, false}, {"b", 5, true}, {"b", 5, false},
		{"a", 9, true}, {"b", 10, true}}
	if d := cmp.Diff(want, results); d != "" {
		t.Error(d)
	}
	if _, ok := tab.Apply(Command{Name: "lists", Holder: "b", Duration: term, Now: at(60000)}, 11, 1); ok {
		t.Error("a command of a leader that has lost its office is taken")
	}
	text, err := json.Marshal(&tab)
	tab = Lessor{MaxClockDrift: tab.MaxClockDrift}
	if err != nil || json.Unmarshal(text, &tab) != nil || json.Unmarshal([]byte("{"), &tab) == nil {
		t.Errorf("the table does not survive a snapshot: %v", err)
	}
	if h, token := tab.Holder("lists"); h != "a" || token != 9 {
		t.Errorf("holder %q %d, want a 9", h, token)
	}
}

// The holder stops acting a drift before its term is over, counted from its asking; so does it when it is told no.
func TestHolder(t *testing.T) {
	s := time.Second
	h := LocalLease{MaxClockDrift: s}
	if _, ok := h.ValidToken(0); ok {
		t.Fatal("acts without a lease")
	}
	h.HandleResponse(10*s, Lease{Name: "lists", Holder: "a", Token: 7, Duration: 3 * s}, true) // the answer came late: the term counts from 10 s
	if token, ok := h.ValidToken(11 * s); !ok || token != 7 {
		t.Errorf("at 11 s: %d %v, want 7", token, ok)
	}
	if _, ok := h.ValidToken(12 * s); ok {
		t.Error("acts at 12 s, a drift before the term is over")
	}
	if h.RenewAt() != 11*s || h.RenewDeadline() != 12*s {
		t.Errorf("renews at %v, acts until %v, want 11 s and 12 s", h.RenewAt(), h.RenewDeadline())
	}
	h.HandleResponse(9*s, Lease{}, false) // an answer that was overtaken
	h.HandleResponse(11*s, Lease{Token: 5, Duration: 9 * s}, true)
	if token, ok := h.ValidToken(11 * s); !ok || token != 7 {
		t.Errorf("after old answers: %d %v, want 7", token, ok)
	}
	h.HandleResponse(11*s, Lease{}, false)
	if _, ok := h.ValidToken(11 * s); ok || h.RenewDeadline() != 0 {
		t.Error("acts after a no")
	}
}

func TestFence(t *testing.T) {
	var f Fence
	for _, c := range []struct {
		duty  Name
		token uint64
		want  bool
	}{{"lists", 5, true}, {"lists", 5, true}, {"lists", 3, false}, {"round/g1", 3, true}, {"lists", 9, true}, {"lists", 5, false}} {
		if got := f.Admit(c.duty, c.token); got != c.want {
			t.Errorf("%s %d: %v, want %v", c.duty, c.token, got, c.want)
		}
	}
}

func TestAlone(t *testing.T) {
	s := time.Second
	if ShouldActAlone(4*s, 0, 3*s, 0.5) || !ShouldActAlone(5*s, 0, 3*s, 0.5) {
		t.Error("a pooler acts alone after a term and its spread, not before")
	}
}

// Whatever poolers ask and whenever, however late requests and answers come and leaders change: a new holder's lease begins
// only after the last one may have acted, by real time, and tokens of new holders only grow.
func TestNoTwoHolders(t *testing.T) {
	ms := func(t *rapid.T, least, most int, what string) time.Duration {
		return time.Duration(rapid.IntRange(least, most).Draw(t, what)) * time.Millisecond
	}
	rapid.Check(t, func(t *rapid.T) {
		tab := Lessor{MaxClockDrift: ms(t, 0, 500, "drift")}
		now, epoch := time.Duration(0), uint64(1) // real time
		clock := tab.StartClock(epoch, now)
		clocks := []Clock{clock}
		holders := map[string]*LocalLease{}
		for _, name := range []string{"a", "b", "c"} {
			holders[name] = &LocalLease{MaxClockDrift: tab.MaxClockDrift}
		}
		newest := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			now += ms(t, 0, 2000, "step")
			asked := now
			now += ms(t, 0, 300, "way")
			stale := rapid.SampledFrom(clocks).Draw(t, "a clock of some leader so far")
			if rapid.IntRange(0, 4).Draw(t, "new leader") == 0 {
				epoch++
				now += ms(t, 0, 3000, "without a leader")
				clock = tab.StartClock(epoch, now)
				clocks = append(clocks, clock)
			}
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "holder")
			c := Command{Name: "lists", Holder: name, Duration: ms(t, 100, 3000, "term"), Now: clock.At(now), RaftTerm: epoch,
				Release: rapid.IntRange(0, 9).Draw(t, "release") == 0}
			if rapid.IntRange(0, 4).Draw(t, "an old stamp") == 0 {
				c.Now, c.RaftTerm = stale.At(now), stale.RaftTerm
			}
			if c.Release {
				holders[name].Drop()
			}
			g, ok := tab.Apply(c, uint64(i+1), epoch)
			if rapid.IntRange(0, 3).Draw(t, "the answer is lost") == 0 || c.Release {
				continue
			}
			holders[name].HandleResponse(asked, g, ok)
			if _, acts := holders[name].ValidToken(now); !acts || !ok {
				continue
			}
			for other, h := range holders {
				if token, acts := h.ValidToken(now); acts && other != name {
					t.Fatalf("at %v %s may act by token %d and %s by %d", now, name, g.Token, other, token)
				}
			}
			if g.Token < newest {
				t.Fatalf("token %d after %d", g.Token, newest)
			}
			newest = g.Token
		}
	})
}
