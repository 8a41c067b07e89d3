package pooler

import (
	"net"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/policy"
	"threadsail/internal/protocol/discovery"
)

// Lists that are pushed come from an agent on the pooler's own machine, which answers at once and at no cost, and what it
// has counts as told to the pooler whether or not a watch is open. So the watch does not wait until the module asks, is
// opened again at once, and a process asks before it takes its first client.

const (
	// An agent that refuses or breaks off is called again after callFirst, ever later up to callMost: a drain's grace may
	// be a quarter of a second, and a call on the own machine costs some 0.1 ms.
	minRedialDelay = 5 * time.Millisecond
	maxRedialDelay = 80 * time.Millisecond
	// catchUpTime after its first word a watch has told all that the agent had when it was opened: that comes at once, and not at
	// all where there is nothing new.
	catchUpTime = time.Second
	// firstListTimeout bounds how long a start waits for the agent, which is silent while discovery is down.
	firstListTimeout = 500 * time.Millisecond
)

// notifiedAt is since when what has come at a time may count as told. On a watch that has caught up that is when it came; what an
// agent tells first it may have had since the last word before, and what was missed of a list service counts after a time.
func (w *watcher) notifiedAt(at time.Duration) time.Duration {
	switch {
	case w.caughtUp:
		return at
	case w.pushed:
		return w.knownUntil
	}
	return min(at, w.knownUntil+notificationDelay)
}

// firstMessageTimeout is how long a call may stay silent. An agent answers at once, and may not write to a call that it has kept silent
// to: it is called again soon, ever later while it stays silent.
func (w *watcher) firstMessageTimeout() time.Duration {
	if !w.pushed {
		return watchSilenceTimeout
	}
	w.firstMessageLimit = min(max(2*w.firstMessageLimit, firstListTimeout), watchSilenceTimeout)
	return w.firstMessageLimit
}

// markDisconnected notes that a watch that has told all there was until now is over.
func (w *watcher) markDisconnected() {
	if w.caughtUp {
		w.knownUntil = w.loop.Now()
	}
}

// scheduleRedial opens the watch on an agent again.
func (w *watcher) scheduleRedial() {
	w.redialDelay = min(max(2*w.redialDelay, minRedialDelay), maxRedialDelay)
	w.redialTimer = w.loop.After(w.redialDelay, w.open)
}

// setPushed has the watcher keep to an agent from now on, or leave the calls to the module.
func (w *watcher) setPushed(on bool) {
	if w.pushed = on; on {
		w.open()
	}
}

// fetchFirst asks an agent for the list before the pooler serves, within a bound. What drains already has done so for longer
// than anybody here knows.
func (w *watcher) fetchFirst(within time.Duration, list func(policy.ListKind, []dispatch.Member, time.Duration)) bool {
	l, err := fetchList(w.addr, min(within, firstListTimeout))
	if err != nil {
		w.log("discovery: serving before the first list: " + err.Error())
		return false
	}
	w.revision = l.Revision
	list(policy.ListFull, listedMembers(l, w.zoneIndexes), 0)
	return true
}

// fetchList asks a list service for the whole list and waits for it.
func fetchList(addr string, within time.Duration) (discovery.List, error) {
	until := time.Now().Add(within)
	c, err := (&net.Dialer{Deadline: until}).Dial("tcp", addr)
	if err != nil {
		return discovery.List{}, err
	}
	defer c.Close()
	_ = c.SetDeadline(until)
	if _, err := c.Write(discovery.WatchRequest(addr, 0)); err != nil {
		return discovery.List{}, err
	}
	var stream discovery.Stream
	for b := make([]byte, 16<<10); ; {
		n, err := c.Read(b)
		lists, bad := stream.Feed(b[:n])
		switch {
		case len(lists) > 0:
			return lists[0], nil
		case bad != nil:
			return discovery.List{}, bad
		case err != nil:
			return discovery.List{}, err
		}
	}
}
