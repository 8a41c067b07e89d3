package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The recorded primary leaves the list. It is sent nothing after the grace period; its attempts in flight end as they would;
// writes wait for a member that says it is primary, and are tried at no other one, however long that lasts.
func TestPrimaryLeavesTheList(t *testing.T) {
	for name, readded := range map[string]uint32{"for good": 0, "and is added again in time": 1, "and comes under another name": 9} {
		t.Run(name, func(t *testing.T) {
			host := newHostWithPrimary(t, nil)
			host.sendRequest(2, classByKey)
			host.wantAction("attempt 2 1")
			host.updateList(newMember(1, Removed, 0))
			host.advance(200 * ms)
			host.probeAnswered(1, true, host.now)
			if readded > 0 {
				host.updateList(newMember(readded, Ready, 0))
			}
			lastWrite := host.writeWithoutPrimary(readded == 1)
			host.endAttempt(2, 0, OK, RoleUnknown)
			host.wantNoAction("reject 2")
			host.wantNoAction("fail 2")
			if readded != 1 { // the next primary shows itself
				next := max(readded, 2)
				host.probeAnswered(next, true, host.now)
				host.wantAction(fmt.Sprintf("attempt %d %d", lastWrite, next))
			}
		})
	}
}

// Eighty poolers that start at once, and whose polls of the list all fail after 2 s: what the list service gets in any
// second is near what it can bear, and each pooler polls again in time. A small fleet polls at once.
func TestListPollsAreSpread(t *testing.T) {
	for _, c := range []struct{ poolers, inASecond int }{
		{1, 1},
		{80, 36}, // twice the even rate for first polls, half as many more by chance
	} {
		t.Run(fmt.Sprint(c.poolers, " poolers"), func(t *testing.T) {
			seeds := rand.New(rand.NewPCG(1, 2))
			var polls []time.Duration
			for pooler := range c.poolers {
				polls = append(polls, listPolls(t, pooler, c.poolers, seeds.Uint64())...)
			}
			slices.Sort(polls)
			most := 0
			for i, at := range polls {
				end, _ := slices.BinarySearch(polls, at+time.Second)
				most = max(most, end-i)
			}
			if most > c.inASecond {
				t.Errorf("%d polls in a second, want %d at most", most, c.inASecond)
			}
		})
	}
}

// A send that takes longer than the margin must be chosen so much earlier in a drain's grace period.
func TestSendDuration(t *testing.T) {
	for _, c := range []struct{ takes, before time.Duration }{
		{0, sendMargin},
		{20 * ms, sendMargin},
		{180 * ms, 180 * ms},
	} {
		t.Run(c.takes.String(), func(t *testing.T) {
			host := newHostWithPrimary(t, nil)
			host.router.SetSendDuration(c.takes)
			host.updateList(newMember(1, Draining, 0))
			lastSendAt := startTime + 500*ms - c.before - 5*ms
			host.advanceTo(lastSendAt - ms)
			host.sendRequest(10, classNotIdempotent)
			host.wantAction("attempt 10 1")
			host.advanceTo(lastSendAt)
			host.sendRequest(11, classNotIdempotent)
			host.wantNoAction("attempt 11 1")
			if host.router.MayStillSend(host.now, 10, 0) {
				t.Errorf("a request may still be sent %v before the grace period ends", c.before)
			}
		})
	}
}

func TestDrainGracePeriod(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	host.updateList(newMember(1, Draining, 0), newMember(2, Draining, 0))
	for id := uint32(2); id < 6; id++ {
		host.sendRequest(id, classAny)
		if sent := host.attempts[id]; len(sent) > 0 && sent[0] != 3 {
			t.Fatalf("a read went to draining server %d", sent[0])
		}
	}
	lastSendAt := startTime + 500*ms - sendMargin - 5*ms
	host.advanceTo(lastSendAt - ms)
	host.probeAnswered(1, true, host.now)
	host.sendRequest(10, classNotIdempotent)
	host.wantAction("attempt 10 1")
	host.advanceTo(lastSendAt + ms)
	host.probeAnswered(1, true, host.now)
	host.sendRequest(11, classNotIdempotent)
	host.advanceTo(startTime + 1500*ms)
	host.wantNoAction("attempt 11 1")
}

func TestFailedListIsPolledAgain(t *testing.T) {
	host := newHost(t, func(s *Settings) {
		s.PollList = true
		s.MaxPollInterval = 6 * time.Second
	})
	host.advanceTo(startTime + ms)
	host.wantAction("watch")
	lastPollAt := host.now
	for range 6 {
		host.actions = nil
		host.router.HandleList(host.now, ListFailed, nil)
		for !host.hasAction("watch") && host.now < lastPollAt+10*time.Second {
			host.advance(10 * ms)
		}
		if host.now-lastPollAt > 3*time.Second+20*ms {
			t.Fatalf("polled again only after %v", host.now-lastPollAt)
		}
		lastPollAt = host.now
	}
	if len(host.router.groups[testGroup].members) != 3 {
		t.Fatal("the old list was not kept")
	}
}

// A server that has left the list must be forgotten, or a pooler that runs for long holds every server there ever was. One
// that comes back in time keeps its state.
func TestRemovedServerIsForgotten(t *testing.T) {
	host := newHost(t, nil)
	host.updateList(newMember(2, Removed, 0), newMember(3, Removed, 0))
	host.advance(removedServerRetention / 2)
	host.updateList(newMember(3, Ready, 0))
	host.advance(removedServerRetention)
	servers := &host.router.servers
	if len(servers.byID) != 2 || len(servers.ordered) != 2 || host.server(2) != nil {
		t.Errorf("%d servers are known, want 1 and 3", len(servers.byID))
	}
}

// writeWithoutPrimary sends a write each 50 ms until 5 s after the start of the test, while server 1 says that it is primary
// and the others that they are replicas. It checks that writes go to server 1 only, at once if that stays listed, and not
// after the grace period of 500 ms otherwise. It returns the last write.
func (host *fakeHost) writeWithoutPrimary(staysListed bool) uint32 {
	host.t.Helper()
	id := uint32(10)
	for ; host.now < startTime+5*time.Second; id++ {
		host.advance(50 * ms)
		for server := uint32(1); server <= 3; server++ {
			host.probeAnswered(server, server == 1, host.now)
		}
		host.sendRequest(id, classByKey)
		graceOver := host.now >= startTime+500*ms
		for _, server := range host.attempts[id] {
			if server != 1 || graceOver && !staysListed {
				host.t.Fatalf("%v after the removal a write goes to server %d", host.now-startTime, server)
			}
		}
		if staysListed && len(host.attempts[id]) == 0 {
			host.t.Fatalf("%v after the removal a write waits", host.now-startTime)
		}
		for attempt := range host.attempts[id] {
			host.endAttempt(id, attempt, OK, RoleUnknown)
		}
	}
	return id - 1
}

// listPolls returns when a pooler polls the list within 20 s of its start, where each poll fails after 2 s.
func listPolls(t *testing.T, pooler, poolers int, seed uint64) []time.Duration {
	t.Helper()
	settings := testSettings()
	settings.Poolers = poolers
	settings.PoolerIndex = pooler
	settings.PollList = true
	settings.MaxPollInterval = 10 * time.Second
	host := newHostWith(t, settings, seed)
	host.router.HandleList(host.now, ListCached, memberList(3, 1))
	var polls []time.Duration
	lastPollAt := startTime - 10*time.Second
	for host.now < startTime+20*time.Second {
		host.actions = nil
		host.advance(10 * ms)
		if !host.hasAction("watch") {
			continue
		}
		if host.now > lastPollAt+20*time.Second {
			t.Fatalf("pooler %d: no poll for %v", pooler, host.now-lastPollAt)
		}
		lastPollAt = host.now
		polls = append(polls, host.now)
		host.advance(2 * time.Second)
		host.router.HandleList(host.now, ListFailed, nil)
	}
	return polls
}
