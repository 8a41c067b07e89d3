package lease

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestLessorApply(t *testing.T) {
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	duration := 3 * time.Second
	lessor := Lessor{MaxClockDrift: time.Second}
	type result struct {
		Holder  string
		Token   uint64
		Granted bool
	}
	var results []result
	for i, c := range []Command{
		{Name: "lists", Holder: "a", Duration: duration, Now: at(0)},       // granted to a: token 1
		{Name: "lists", Holder: "b", Duration: duration, Now: at(1000)},    // denied: a holds it
		{Name: "lists", Holder: "a", Duration: duration, Now: at(2000)},    // a renews: token 1, until 5 s
		{Name: "lists", Holder: "b", Duration: duration, Now: at(5500)},    // denied: within the clock drift it is still a's
		{Name: "lists", Holder: "b", Duration: duration, Now: at(6000)},    // granted to b: token 5
		{Name: "lists", Holder: "a", Duration: duration, Now: at(4000)},    // denied: a late clock, the lessor's time stays at 6 s
		{Release: true, Name: "lists", Holder: "a", Now: at(6100)},         // not a's to release
		{Release: true, Name: "lists", Holder: "b", Now: at(6200)},         // b releases it
		{Name: "lists", Holder: "a", Duration: duration, Now: at(6300)},    // granted at once: token 9
		{Name: "round/g1", Holder: "b", Duration: duration, Now: at(6300)}, // another name: its own lease
	} {
		current, granted := lessor.Apply(c, uint64(i+1), 0)
		if !c.Release {
			results = append(results, result{current.Holder, current.Token, granted})
		}
	}
	want := []result{{"a", 1, true}, {"a", 1, false}, {"a", 1, true}, {"a", 1, false}, {"b", 5, true}, {"b", 5, false},
		{"a", 9, true}, {"b", 10, true}}
	if d := cmp.Diff(want, results); d != "" {
		t.Error(d)
	}
	if _, granted := lessor.Apply(Command{Name: "lists", Holder: "b", Duration: duration, Now: at(60000)}, 11, 1); granted {
		t.Error("a command stamped in an earlier raft term is granted")
	}
	text, err := json.Marshal(&lessor)
	lessor = Lessor{MaxClockDrift: lessor.MaxClockDrift}
	if err != nil || json.Unmarshal(text, &lessor) != nil || json.Unmarshal([]byte("{"), &lessor) == nil {
		t.Errorf("the lessor does not survive a snapshot: %v", err)
	}
	if holder, token := lessor.Holder("lists"); holder != "a" || token != 9 {
		t.Errorf("holder %q with token %d, want a with 9", holder, token)
	}
}

// The holder stops acting a clock drift before the duration is over, counted from its request, and when its request is denied.
func TestLocalLease(t *testing.T) {
	s := time.Second
	h := LocalLease{MaxClockDrift: s}
	if _, ok := h.ValidToken(0); ok {
		t.Fatal("acts without a lease")
	}
	h.HandleResponse(10*s, Lease{Name: "lists", Holder: "a", Token: 7, Duration: 3 * s}, true) // the response came late: the duration counts from 10 s
	if token, ok := h.ValidToken(11 * s); !ok || token != 7 {
		t.Errorf("at 11 s: %d %v, want 7", token, ok)
	}
	if _, ok := h.ValidToken(12 * s); ok {
		t.Error("acts at 12 s, a clock drift before the duration is over")
	}
	if h.RenewAt() != 11*s || h.RenewDeadline() != 12*s {
		t.Errorf("renews at %v, acts until %v, want 11 s and 12 s", h.RenewAt(), h.RenewDeadline())
	}
	h.HandleResponse(9*s, Lease{}, false) // a response that was overtaken
	h.HandleResponse(11*s, Lease{Token: 5, Duration: 9 * s}, true)
	if token, ok := h.ValidToken(11 * s); !ok || token != 7 {
		t.Errorf("after overtaken responses: %d %v, want 7", token, ok)
	}
	h.HandleResponse(11*s, Lease{}, false)
	if _, ok := h.ValidToken(11 * s); ok || h.RenewDeadline() != 0 {
		t.Error("acts after a denial")
	}
}

func TestFence(t *testing.T) {
	var f Fence
	for _, c := range []struct {
		name  Name
		token uint64
		want  bool
	}{{"lists", 5, true}, {"lists", 5, true}, {"lists", 3, false}, {"round/g1", 3, true}, {"lists", 9, true}, {"lists", 5, false}} {
		if got := f.Admit(c.name, c.token); got != c.want {
			t.Errorf("%s %d: %v, want %v", c.name, c.token, got, c.want)
		}
	}
}

func TestShouldActAlone(t *testing.T) {
	s := time.Second
	if ShouldActAlone(4*s, 0, 3*s, 0.5) || !ShouldActAlone(5*s, 0, 3*s, 0.5) {
		t.Error("a pooler acts alone after a duration and its jitter, not before")
	}
}

// Whatever poolers request and whenever, however late requests and responses come and leaders change: a new holder's lease begins
// only after the last one may have acted, by real time, and tokens of new holders only grow.
func TestNoTwoHolders(t *testing.T) {
	ms := func(t *rapid.T, least, most int, what string) time.Duration {
		return time.Duration(rapid.IntRange(least, most).Draw(t, what)) * time.Millisecond
	}
	rapid.Check(t, func(t *rapid.T) {
		lessor := Lessor{MaxClockDrift: ms(t, 0, 500, "clock drift")}
		now := time.Duration(0) // real time
		raftTerm := uint64(1)
		clock := lessor.StartClock(raftTerm, now)
		clocks := []Clock{clock}
		leases := map[string]*LocalLease{}
		for _, name := range []string{"a", "b", "c"} {
			leases[name] = &LocalLease{MaxClockDrift: lessor.MaxClockDrift}
		}
		newest := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			now += ms(t, 0, 2000, "step")
			requestedAt := now
			now += ms(t, 0, 300, "network delay")
			stale := rapid.SampledFrom(clocks).Draw(t, "a clock of some leader so far")
			if rapid.IntRange(0, 4).Draw(t, "new leader") == 0 {
				raftTerm++
				now += ms(t, 0, 3000, "without a leader")
				clock = lessor.StartClock(raftTerm, now)
				clocks = append(clocks, clock)
			}
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "holder")
			c := Command{Name: "lists", Holder: name, Duration: ms(t, 100, 3000, "duration"), Now: clock.At(now), RaftTerm: raftTerm,
				Release: rapid.IntRange(0, 9).Draw(t, "release") == 0}
			if rapid.IntRange(0, 4).Draw(t, "an old stamp") == 0 {
				c.Now, c.RaftTerm = stale.At(now), stale.RaftTerm
			}
			if c.Release {
				leases[name].Drop()
			}
			current, granted := lessor.Apply(c, uint64(i+1), raftTerm)
			if rapid.IntRange(0, 3).Draw(t, "the response is lost") == 0 || c.Release {
				continue
			}
			leases[name].HandleResponse(requestedAt, current, granted)
			if _, acts := leases[name].ValidToken(now); !acts || !granted {
				continue
			}
			for other, h := range leases {
				if token, acts := h.ValidToken(now); acts && other != name {
					t.Fatalf("at %v %s may act by token %d and %s by %d", now, name, current.Token, other, token)
				}
			}
			if current.Token < newest {
				t.Fatalf("token %d after %d", current.Token, newest)
			}
			newest = current.Token
		}
	})
}
