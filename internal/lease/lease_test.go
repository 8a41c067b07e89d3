package lease

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestTable(t *testing.T) {
	t0 := time.Unix(1000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	term := 3 * time.Second
	tab := Table{Drift: time.Second}
	type got struct {
		Holder string
		Token  uint64
		OK     bool
	}
	var results []got
	for i, c := range []Command{
		{Duty: "lists", Holder: "a", Term: term, Now: at(0)},       // a takes it: token 1
		{Duty: "lists", Holder: "b", Term: term, Now: at(1000)},    // a holds it
		{Duty: "lists", Holder: "a", Term: term, Now: at(2000)},    // a renews: token 1, until 5 s
		{Duty: "lists", Holder: "b", Term: term, Now: at(5500)},    // within the drift: still a's
		{Duty: "lists", Holder: "b", Term: term, Now: at(6000)},    // b takes it: token 5
		{Duty: "lists", Holder: "a", Term: term, Now: at(4000)},    // a late clock: the table's time stays at 6 s
		{Release: true, Duty: "lists", Holder: "a", Now: at(6100)}, // not a's to give up
		{Release: true, Duty: "lists", Holder: "b", Now: at(6200)}, // b gives it up
		{Duty: "lists", Holder: "a", Term: term, Now: at(6300)},    // free at once: token 9
		{Duty: "round/g1", Holder: "b", Term: term, Now: at(6300)}, // another duty: its own lease
	} {
		g, ok := tab.Apply(c, uint64(i+1))
		if !c.Release {
			results = append(results, got{g.Holder, g.Token, ok})
		}
	}
	want := []got{{"a", 1, true}, {"a", 1, false}, {"a", 1, true}, {"a", 1, false}, {"b", 5, true}, {"b", 5, false},
		{"a", 9, true}, {"b", 10, true}}
	if d := cmp.Diff(want, results); d != "" {
		t.Error(d)
	}
	if h, token := tab.Holder("lists"); h != "a" || token != 9 {
		t.Errorf("holder %q %d, want a 9", h, token)
	}
}

// The holder stops acting a drift before its term is over, counted from its asking; so does it when it is told no.
func TestHolder(t *testing.T) {
	s := time.Second
	h := Holder{Drift: s}
	if _, ok := h.MayAct(0); ok {
		t.Fatal("acts without a lease")
	}
	h.Asked(10 * s)
	h.Granted(Grant{Duty: "lists", Holder: "a", Token: 7, Term: 3 * s}, true) // the answer came late: the term still counts from 10 s
	if token, ok := h.MayAct(11 * s); !ok || token != 7 {
		t.Errorf("at 11 s: %d %v, want 7", token, ok)
	}
	if _, ok := h.MayAct(12 * s); ok {
		t.Error("acts at 12 s, a drift before the term is over")
	}
	if h.RenewAt() != 11*s {
		t.Errorf("renews at %v, want 11 s", h.RenewAt())
	}
	h.Asked(11 * s)
	h.Granted(Grant{}, false)
	if _, ok := h.MayAct(11 * s); ok {
		t.Error("acts after a no")
	}
}

func TestFence(t *testing.T) {
	var f Fence
	for _, c := range []struct {
		duty  Duty
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
	if Alone(4*s, 0, 3*s, 0.5) || !Alone(5*s, 0, 3*s, 0.5) {
		t.Error("a pooler acts alone after a term and its spread, not before")
	}
}

// Whatever poolers ask and whenever, within the drift that the table assumes: a new holder's lease begins only after the
// last one's can have been acted on, and tokens of new holders only grow.
func TestNoTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drift := time.Duration(rapid.IntRange(0, 500).Draw(t, "drift ms")) * time.Millisecond
		tab := Table{Drift: drift}
		t0 := time.Unix(1000, 0)
		var last struct {
			holder string
			token  uint64
			until  time.Time // of acting, on the table's clock, as the holder may think: expiry
		}
		now := t0
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "step ms")) * time.Millisecond)
			c := Command{Duty: "lists", Holder: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "holder"),
				Term: time.Duration(rapid.IntRange(100, 3000).Draw(t, "term ms")) * time.Millisecond, Now: now,
				Release: rapid.IntRange(0, 9).Draw(t, "release") == 0}
			g, ok := tab.Apply(c, uint64(i+1))
			if c.Release && c.Holder == last.holder { // it stopped acting before it gave the lease up
				last.holder = ""
			}
			if !ok {
				continue
			}
			if g.Holder != last.holder || g.Token != last.token {
				if last.holder != "" && now.Before(last.until.Add(drift)) && g.Holder != last.holder {
					t.Fatalf("%s holds from %v while %s may act until %v", g.Holder, now, last.holder, last.until)
				}
				if g.Token <= last.token {
					t.Fatalf("token %d after %d", g.Token, last.token)
				}
			}
			last.holder, last.token, last.until = g.Holder, g.Token, now.Add(c.Term)
		}
	})
}
