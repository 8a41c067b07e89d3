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
	for i, command := range []Command{
		{Name: "lists", Holder: "a", Duration: duration, Now: at(0)},       // granted to a with token 1
		{Name: "lists", Holder: "b", Duration: duration, Now: at(1000)},    // denied: a holds it
		{Name: "lists", Holder: "a", Duration: duration, Now: at(2000)},    // a renews: token 1, until 5 s
		{Name: "lists", Holder: "b", Duration: duration, Now: at(5500)},    // denied: a holds it until the clock drift has passed
		{Name: "lists", Holder: "b", Duration: duration, Now: at(6000)},    // granted to b with token 5
		{Name: "lists", Holder: "a", Duration: duration, Now: at(4000)},    // denied: an earlier time stamp, the lessor's time stays at 6 s
		{Release: true, Name: "lists", Holder: "a", Now: at(6100)},         // ignored: b holds it
		{Release: true, Name: "lists", Holder: "b", Now: at(6200)},         // b releases it
		{Name: "lists", Holder: "a", Duration: duration, Now: at(6300)},    // granted immediately with token 9
		{Name: "round/g1", Holder: "b", Duration: duration, Now: at(6300)}, // granted: another lease
	} {
		current, granted := lessor.Apply(command, uint64(i+1), 0)
		if !command.Release {
			results = append(results, result{current.Holder, current.Token, granted})
		}
	}
	want := []result{{"a", 1, true}, {"a", 1, false}, {"a", 1, true}, {"a", 1, false}, {"b", 5, true}, {"b", 5, false},
		{"a", 9, true}, {"b", 10, true}}
	if diff := cmp.Diff(want, results); diff != "" {
		t.Error(diff)
	}
	if _, granted := lessor.Apply(Command{Name: "lists", Holder: "b", Duration: duration, Now: at(60000)}, 11, 1); granted {
		t.Error("a command stamped in an earlier raft term is granted")
	}
	encoded, err := json.Marshal(&lessor)
	lessor = Lessor{MaxClockDrift: lessor.MaxClockDrift}
	if err != nil || json.Unmarshal(encoded, &lessor) != nil || json.Unmarshal([]byte("{"), &lessor) == nil {
		t.Errorf("restoring the lessor from a snapshot failed, or invalid JSON was accepted: %v", err)
	}
	if holder, token := lessor.Holder("lists"); holder != "a" || token != 9 {
		t.Errorf("holder %q with token %d, want a with 9", holder, token)
	}
}

// The holder must stop acting when the duration less the clock drift has passed since its request, and when a request is denied.
func TestLocalLease(t *testing.T) {
	second := time.Second
	localLease := LocalLease{MaxClockDrift: second}
	if _, ok := localLease.ValidToken(0); ok {
		t.Fatal("the zero LocalLease is valid")
	}
	// The duration counts from the request at 10 s, although the response comes later.
	localLease.HandleResponse(10*second, Lease{Name: "lists", Holder: "a", Token: 7, Duration: 3 * second}, true)
	if token, ok := localLease.ValidToken(11 * second); !ok || token != 7 {
		t.Errorf("at 11 s: got %d %v, want 7 true", token, ok)
	}
	if _, ok := localLease.ValidToken(12 * second); ok {
		t.Error("valid at 12 s, a clock drift before the end of the duration")
	}
	if localLease.RenewAt() != 11*second || localLease.RenewDeadline() != 12*second {
		t.Errorf("RenewAt %v, RenewDeadline %v, want 11 s and 12 s", localLease.RenewAt(), localLease.RenewDeadline())
	}
	localLease.HandleResponse(9*second, Lease{}, false) // a stale response
	localLease.HandleResponse(11*second, Lease{Token: 5, Duration: 9 * second}, true)
	if token, ok := localLease.ValidToken(11 * second); !ok || token != 7 {
		t.Errorf("after stale responses: got %d %v, want 7 true", token, ok)
	}
	localLease.HandleResponse(11*second, Lease{}, false)
	if _, ok := localLease.ValidToken(11 * second); ok || localLease.RenewDeadline() != 0 {
		t.Error("valid after a denial")
	}
}

func TestFence(t *testing.T) {
	var fence Fence
	for _, test := range []struct {
		name  Name
		token uint64
		want  bool
	}{{"lists", 5, true}, {"lists", 5, true}, {"lists", 3, false}, {"round/g1", 3, true}, {"lists", 9, true}, {"lists", 5, false}} {
		if got := fence.Admit(test.name, test.token); got != test.want {
			t.Errorf("Admit(%s, %d): got %v, want %v", test.name, test.token, got, test.want)
		}
	}
}

func TestShouldActAlone(t *testing.T) {
	second := time.Second
	if ShouldActAlone(4*second, 0, 3*second, 0.5) || !ShouldActAlone(5*second, 0, 3*second, 0.5) {
		t.Error("ShouldActAlone must be false until a duration and the jitter have passed, and true afterwards")
	}
}

// With any sequence of requests, delays and leader changes, at most one pooler may consider its lease valid at any real time, and
// the tokens of new holders must not decrease.
func TestNoTwoHolders(t *testing.T) {
	ms := func(t *rapid.T, minimum, maximum int, label string) time.Duration {
		return time.Duration(rapid.IntRange(minimum, maximum).Draw(t, label)) * time.Millisecond
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
		newestToken := uint64(0)
		for i := range rapid.IntRange(1, 60).Draw(t, "commands") {
			now += ms(t, 0, 2000, "step")
			requestedAt := now
			now += ms(t, 0, 300, "network delay")
			earlierClock := rapid.SampledFrom(clocks).Draw(t, "earlier clock")
			if rapid.IntRange(0, 4).Draw(t, "new leader") == 0 {
				raftTerm++
				now += ms(t, 0, 3000, "time without a leader")
				clock = lessor.StartClock(raftTerm, now)
				clocks = append(clocks, clock)
			}
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "holder")
			command := Command{Name: "lists", Holder: name, Duration: ms(t, 100, 3000, "duration"), Now: clock.At(now), RaftTerm: raftTerm,
				Release: rapid.IntRange(0, 9).Draw(t, "release") == 0}
			if rapid.IntRange(0, 4).Draw(t, "stale time stamp") == 0 {
				command.Now, command.RaftTerm = earlierClock.At(now), earlierClock.RaftTerm
			}
			if command.Release {
				leases[name].Drop()
			}
			current, granted := lessor.Apply(command, uint64(i+1), raftTerm)
			if rapid.IntRange(0, 3).Draw(t, "response lost") == 0 || command.Release {
				continue
			}
			leases[name].HandleResponse(requestedAt, current, granted)
			if _, valid := leases[name].ValidToken(now); !valid || !granted {
				continue
			}
			for other, otherLease := range leases {
				if token, valid := otherLease.ValidToken(now); valid && other != name {
					t.Fatalf("at %v both %s with token %d and %s with token %d have a valid lease", now, name, current.Token, other, token)
				}
			}
			if current.Token < newestToken {
				t.Fatalf("granted token %d after token %d", current.Token, newestToken)
			}
			newestToken = current.Token
		}
	})
}
