package policy

import (
	"reflect"
	"testing"
	"time"
)

// A hundred fronts that start at once probe nobody where the list names a primary: their first writes go there, and only
// those that learn better ask the others.
func TestStartWithoutRounds(t *testing.T) {
	for _, c := range []struct {
		fronts, probes int
		listed         uint32
	}{{2, 3, 1}, {100, 0, 1}, {100, 3, 0}} {
		f := &fakeHost{t: t, now: startTime, attempts: map[uint32][]uint32{}}
		set := testSettings()
		set.Poolers = c.fronts
		f.router, _ = New(set, 1, f)
		f.router.HandleList(f.now, ListCached, memberList(3, 0))
		f.router.HandleList(f.now, ListFull, memberList(3, c.listed))
		f.sendRequest(2, classByKey)
		if len(f.probedServers) != c.probes {
			t.Errorf("%+v: probed %v", c, f.probedServers)
		}
		if c.probes > 0 {
			continue
		}
		f.wantAction("attempt 2 1")
		f.endAttempt(2, 0, Misdirected, RoleReplica)
		if len(f.probedServers) != 3 {
			t.Fatalf("probed %v after a miss, want a round", f.probedServers)
		}
		f.probeAnswered(3, true, f.now)
		f.wantAction("attempt 2 3")
	}
}

// While another front repeats a group's rounds for all, one that holds work leaves them to it, and goes on by itself once
// nothing is heard of it. What it tells is taken as of its time, and newer evidence stands.
func TestRoundsLeftToLeader(t *testing.T) {
	f := newHostWithPrimary(t, withPoolers(80))
	rounds := func(d time.Duration) int { // probes within d, where every member says that it is a replica
		before := len(f.probedServers)
		for end := f.now + d; f.now < end; {
			f.advanceTo(min(f.now+100*ms, end))
			for _, s := range f.router.servers.ordered {
				if s.health.inRound {
					f.probeAnswered(s.ID, false, f.now)
				}
			}
		}
		return len(f.probedServers) - before
	}
	f.probeAnswered(1, false, f.now)
	f.sendRequest(2, classLatest)
	if n := rounds(time.Second); n == 0 {
		t.Fatal("no round of its own after the loss")
	}
	f.sendRequest(3, classLatest)
	f.router.ObservePrimary(f.now, 7, 0, false, 0)
	if n := rounds(leaderRoundsTrust - 100*ms); n != 0 {
		t.Errorf("%d probes while another front repeats the rounds", n)
	}
	before := len(f.probedServers)
	if f.router.ReportPrimaryDown(f.now, 7); len(f.probedServers) != before {
		t.Error("a front that repeats nothing for others probes at another's loss")
	}
	f.sendRequest(4, classLatest)
	if n := rounds(time.Second); n == 0 {
		t.Error("no round of its own once the other is silent")
	}
	f.router.ObservePrimary(f.now, 7, 2, true, f.now-time.Minute)
	if f.router.groupFor(7).primary != nil {
		t.Error("old news of a primary outweighs a newer no")
	}
	f.router.ObservePrimary(f.now, 7, 2, true, f.now+ms)
	if p := f.router.groupFor(7).primary; p == nil || p.ID != 2 {
		t.Errorf("the primary that was told is not the record: %v", p)
	}
	f.router.ObservePrimary(f.now, 7, 0, false, 0)
	f.probeAnswered(3, true, f.now+2*ms)
	if f.router.groupFor(7).round.leaderUntil != 0 {
		t.Error("with a primary found, the rounds of a next loss are still left to another")
	}
	f.router.ObservePrimary(f.now, 7, 2, true, f.now+3*ms)
	f.router.SetRoundLeader(true)
	f.advanceTo(f.now + roundInterval)
	before = len(f.probedServers)
	f.router.ReportPrimaryDown(f.now, 7)
	f.router.ReportPrimaryDown(f.now, 7)
	if n := len(f.probedServers) - before; n != 3 {
		t.Errorf("%d probes of the front that repeats rounds for all, told twice of a loss, want one round", n)
	}
	f.probeAnswered(2, false, f.now)
	for id := range uint32(10) {
		f.router.HandleDisconnect(f.now, id)
	}
	if n := rounds(2 * time.Second); n < 6 {
		t.Errorf("%d probes of the front that repeats rounds for all, without work of its own", n)
	}
}

func TestFirstRequestStartsRound(t *testing.T) {
	f := newHost(t, nil)
	if len(f.probedServers) != 0 {
		t.Fatalf("probed %v before the group was needed", f.probedServers)
	}
	f.sendRequest(1, classNotIdempotent)
	if !reflect.DeepEqual(f.probedServers, []uint32{1, 2, 3}) {
		t.Fatalf("probed %v, want all members", f.probedServers)
	}
	f.wantNoAction("attempt 1 1")
	f.probeAnswered(2, true, f.now)
	f.wantAction("attempt 1 2")
}

func TestRoundInterval(t *testing.T) {
	for _, c := range []struct {
		name     string
		answered bool
		wait     time.Duration
	}{{"some answered", true, 500 * ms}, {"none answered", false, time.Second}} {
		t.Run(c.name, func(t *testing.T) {
			f := newHost(t, nil)
			f.sendRequest(1, classNotIdempotent)
			for s := uint32(1); s <= 3; s++ {
				if c.answered {
					f.probeAnswered(s, false, f.now-ms)
				} else {
					f.probeUnreachable(s)
				}
			}
			f.probedServers = nil
			f.advanceTo(startTime + c.wait - ms)
			if len(f.probedServers) != 0 {
				t.Fatalf("another round before %v", c.wait)
			}
			f.advanceTo(startTime + c.wait + ms)
			if len(f.probedServers) != 3 {
				t.Fatalf("%d probes after %v, want 3", len(f.probedServers), c.wait)
			}
		})
	}
}
