package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// When the recorded primary is removed from the list, nothing is sent to it after the grace period, and its
// attempts in flight are not interrupted. Writes wait until another member reports that it is primary and are
// not sent to a guessed one.
func TestPrimaryRemovedFromList(t *testing.T) {
	for name, readded := range map[string]uint32{"permanently": 0, "added again in time": 1, "added with another ID": 9} {
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
			lastWrite := host.sendWritesAfterRemoval(readded == 1)
			host.endAttempt(2, 0, OK, RoleUnknown)
			host.wantNoAction("reject 2")
			host.wantNoAction("fail 2")
			if readded != 1 { // another member reports that it is primary
				next := max(readded, 2)
				host.probeAnswered(next, true, host.now)
				host.wantAction(fmt.Sprintf("attempt %d %d", lastWrite, next))
			}
		})
	}
}

// If all poolers of a large fleet start at the same time and all their polls of the list fail after 2 s, the
// number of polls in any second stays near what the list service can handle, and each pooler polls again in
// time. A small fleet polls at once.
func TestListPollsAreSpread(t *testing.T) {
	for _, c := range []struct{ poolers, maxPerSecond int }{
		{1, 1},
		{80, 36}, // twice the even rate of first polls, plus a random excess of half as many
	} {
		t.Run(fmt.Sprint(c.poolers, " poolers"), func(t *testing.T) {
			seeds := rand.New(rand.NewPCG(1, 2))
			var polls []time.Duration
			for pooler := range c.poolers {
				polls = append(polls, listPolls(t, pooler, c.poolers, seeds.Uint64())...)
			}
			slices.Sort(polls)
			maxPolls := 0
			for i, at := range polls {
				end, _ := slices.BinarySearch(polls, at+time.Second)
				maxPolls = max(maxPolls, end-i)
			}
			if maxPolls > c.maxPerSecond {
				t.Errorf("%d polls in a second, want at most %d", maxPolls, c.maxPerSecond)
			}
		})
	}
}

// If sends take longer than sendMargin, the last send in a drain grace period must begin correspondingly
// earlier, and also if the list has come late: the grace period counts from its notification.
func TestSendDuration(t *testing.T) {
	for _, c := range []struct{ sendDuration, listDelay, reserved time.Duration }{
		{0, 0, sendMargin},
		{20 * ms, 0, sendMargin},
		{180 * ms, 0, 180 * ms},
		{20 * ms, 40 * ms, sendMargin},
		{180 * ms, 40 * ms, 180 * ms},
	} {
		t.Run(fmt.Sprint(c.sendDuration, " to send, list late by ", c.listDelay), func(t *testing.T) {
			host := newHostWithPrimary(t, nil)
			host.router.SetSendDuration(c.sendDuration)
			draining := []Member{newMember(1, Draining, 0)}
			host.router.HandleListNotifiedAt(host.now, host.now-c.listDelay, ListDelta, draining)
			sendsEndAt := startTime - c.listDelay + 500*ms - c.reserved - 5*ms
			host.advanceTo(sendsEndAt - ms)
			host.sendRequest(10, classNotIdempotent)
			host.wantAction("attempt 10 1")
			host.advanceTo(sendsEndAt)
			host.sendRequest(11, classNotIdempotent)
			host.wantNoAction("attempt 11 1")
			if host.router.MayStillSend(host.now, 10, 0) {
				t.Errorf("a request may still be sent %v before the grace period ends", c.reserved)
			}
		})
	}
}

// A pooler that is held up for 150 ms between the check of a limit and the write sent writes to a draining primary after the grace
// period, and repeats after the window in which their server drops them.
func TestSendsFitBeforeTheirLimit(t *testing.T) {
	const holdUp, grace = 150 * ms, 250 * ms
	lastSend := func(host *fakeHost, limit time.Duration, sent func() bool) (last time.Duration) {
		begin := host.now
		for ; host.now < begin+limit; host.advance(ms) {
			if sent() {
				last = host.now - begin
			}
		}
		return last
	}
	t.Run("drain", func(t *testing.T) {
		host := newHostWithPrimary(t, func(s *Settings) { s.DrainGracePeriod = grace })
		host.updateList(newMember(1, Draining, 0))
		id := uint32(10)
		last := lastSend(host, 2*grace, func() bool {
			id++
			host.sendRequest(id, classNotIdempotent)
			host.endAttempt(id, 0, OK, RolePrimary)
			return host.hasAction(fmt.Sprintf("attempt %d 1", id))
		})
		if last == 0 || last+holdUp > grace {
			t.Errorf("the last write is sent after %v, want %v at most before the %v are over", last, holdUp, grace)
		}
	})
	t.Run("repeat", func(t *testing.T) {
		host := newHostWithPrimary(t, nil)
		window := host.router.settings.Classes[classByKey].DedupWindow
		host.sendRequestWithin(2, classByKey, time.Minute)
		host.endAttempt(2, 0, ConnectionReset, RoleUnknown)
		req := host.router.requests[2]
		last := lastSend(host, 2*window, func() bool {
			host.router.advanceClock(host.now)
			return host.router.attemptAllowed(req, host.server(1))
		})
		if last == 0 || last+holdUp > window {
			t.Errorf("the last repeat is allowed after %v, want %v at most before the %v are over", last, holdUp, window)
		}
	})
}

func TestDrainGracePeriod(t *testing.T) {
	host := newHostWithPrimary(t, nil)
	host.updateList(newMember(1, Draining, 0), newMember(2, Draining, 0))
	for id := uint32(2); id < 6; id++ {
		host.sendRequest(id, classAny)
		if sent := host.attempts[id]; len(sent) > 0 && sent[0] != 3 {
			t.Fatalf("a read was sent to draining server %d", sent[0])
		}
	}
	sendsEndAt := startTime + 500*ms - sendMargin - 5*ms
	host.advanceTo(sendsEndAt - ms)
	host.probeAnswered(1, true, host.now)
	host.sendRequest(10, classNotIdempotent)
	host.wantAction("attempt 10 1")
	host.advanceTo(sendsEndAt + ms)
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

// The state of a removed server must be deleted, or a long-running pooler accumulates every server that was
// ever listed. A server that is listed again in time keeps its state.
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

// sendWritesAfterRemoval sends a write every 50 ms until 5 s after the start of the test, while server 1
// reports that it is primary and the others that they are replicas. It checks that writes are sent only to
// server 1: immediately if it stays listed, otherwise not after the grace period of 500 ms. It returns the ID
// of the last write.
func (host *fakeHost) sendWritesAfterRemoval(staysListed bool) uint32 {
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
				host.t.Fatalf("%v after the removal a write was sent to server %d", host.now-startTime, server)
			}
		}
		if staysListed && len(host.attempts[id]) == 0 {
			host.t.Fatalf("%v after the removal a write was not sent immediately", host.now-startTime)
		}
		for attempt := range host.attempts[id] {
			host.endAttempt(id, attempt, OK, RoleUnknown)
		}
	}
	return id - 1
}

// listPolls returns the times at which a pooler polls the list in the first 20 s, if each poll fails
// after 2 s.
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
