package pooler

import (
	"net"
	"time"

	"threadsail/internal/policy"
	"threadsail/internal/protocol/discovery"
)

// Lists that are pushed come from an agent on the pooler's own machine, which answers at once and at no cost, and what the agent
// has counts as notified to the pooler whether or not a watch is open. So the watch does not wait until the policy asks, is
// opened again at once, and a process asks before it accepts its first client.

const (
	// An agent that refuses or breaks off is called again after minRedialDelay, doubled each time up to maxRedialDelay: a drain's
	// grace period may be a quarter of a second, and a call on the own machine costs some 0.1 ms.
	minRedialDelay = 5 * time.Millisecond
	maxRedialDelay = 80 * time.Millisecond
	// catchUpTime after its first message a watch has reported everything that the agent had when it was opened: that comes at once,
	// and not at all where there is nothing new.
	catchUpTime = time.Second
	// firstListTimeout bounds how long a start waits for the agent, which is silent while discovery is down.
	firstListTimeout = 500 * time.Millisecond

	fetchBufferBytes = 16 << 10
)

// agentRedial is when an agent that fails is called again.
type agentRedial struct {
	delay             time.Duration // until the next call, after another that fails
	firstMessageLimit time.Duration // for the first message of a call
}

// notifiedAt returns since when what has come at a time may count as notified. On a watch that has caught up that is when it came;
// what an agent tells first it may have had since the last message before, and what was missed of a list service counts after
// notificationDelay.
func (w *watcher) notifiedAt(at time.Duration) time.Duration {
	switch {
	case w.call.caughtUp:
		return at
	case w.pushed:
		return w.knownUntil
	}
	return min(at, w.knownUntil+notificationDelay)
}

// firstMessageTimeout returns how long a call may stay silent. An agent answers at once, and may not write to a call that it has
// kept silent to: it is called again soon, ever later while it stays silent.
func (w *watcher) firstMessageTimeout() time.Duration {
	if !w.pushed {
		return watchSilenceTimeout
	}
	w.redial.firstMessageLimit = min(max(2*w.redial.firstMessageLimit, firstListTimeout), watchSilenceTimeout)
	return w.redial.firstMessageLimit
}

// markDisconnected notes that a watch that has reported everything until now has ended.
func (w *watcher) markDisconnected() {
	if w.call.caughtUp {
		w.knownUntil = w.loop.Now()
	}
}

// scheduleRedial opens the watch on an agent again after a while.
func (w *watcher) scheduleRedial() {
	w.redial.delay = min(max(2*w.redial.delay, minRedialDelay), maxRedialDelay)
	w.redialTimer = w.loop.After(w.redial.delay, w.open)
}

// setPushed has the watcher keep to an agent from now on, or leave the calls to the policy.
func (w *watcher) setPushed(pushed bool) {
	w.pushed = pushed
	if pushed {
		w.open()
	}
}

// fetchFirst asks an agent for the list before the pooler serves, for at most timeout. Servers that the list says are draining have
// been so for longer than this process can know.
func (w *watcher) fetchFirst(timeout time.Duration) bool {
	list, err := fetchList(w.addr, min(timeout, firstListTimeout))
	if err != nil {
		w.log("discovery: serving before the first list: " + err.Error())
		return false
	}
	w.revision = list.Revision
	w.onList(policy.ListFull, listedMembers(list, w.zoneIndexes), 0)
	return true
}

// fetchList asks a list service for the whole list and waits for it, for at most timeout.
func fetchList(addr string, timeout time.Duration) (discovery.List, error) {
	deadline := time.Now().Add(timeout)
	conn, err := (&net.Dialer{Deadline: deadline}).Dial("tcp", addr)
	if err != nil {
		return discovery.List{}, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(deadline)
	if _, err := conn.Write(discovery.WatchRequest(addr, 0)); err != nil {
		return discovery.List{}, err
	}
	return readFirstList(conn)
}

// readFirstList returns the first list that comes on a watch.
func readFirstList(conn net.Conn) (discovery.List, error) {
	var stream discovery.Stream
	buffer := make([]byte, fetchBufferBytes)
	for {
		n, err := conn.Read(buffer)
		lists, malformed := stream.Feed(buffer[:n])
		switch {
		case len(lists) > 0:
			return lists[0], nil
		case malformed != nil:
			return discovery.List{}, malformed
		case err != nil:
			return discovery.List{}, err
		}
	}
}
