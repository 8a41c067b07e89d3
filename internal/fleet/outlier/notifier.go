package outlier

import (
	"maps"
	"slices"
	"time"
)

// repeatInterval is after how long the host is told again what stands: it may not have been able to carry it out.
const repeatInterval = time.Second

// notifier decides what the host is to be told, and when. It is not safe for use by several goroutines.
type notifier struct {
	ejectedAt     map[string]time.Time // when the host was told last that a server is ejected
	primaryDownAt map[int]time.Time    // and that a group's primary is down
}

func newNotifier() notifier {
	return notifier{ejectedAt: map[string]time.Time{}, primaryDownAt: map[int]time.Time{}}
}

// dueEjections returns what the host is to be told of servers: each ejection when it begins and ends, and again while it stands, but for
// one that this pooler's own evidence outranks.
func (n *notifier) dueEjections(now time.Time, ejected map[string]bool, outranked func(server string) bool) map[string]bool {
	due := map[string]bool{}
	for server := range ejected {
		notifiedAt, notified := n.ejectedAt[server]
		if (!notified || now.Sub(notifiedAt) >= repeatInterval) && !outranked(server) {
			due[server] = true
			n.ejectedAt[server] = now
		}
	}
	for server := range n.ejectedAt {
		if !ejected[server] {
			due[server] = false
			delete(n.ejectedAt, server)
		}
	}
	return due
}

// duePrimaryDowns returns the groups of which the host is to be told that the primary is down, each once in a repeatInterval while that
// stands.
func (n *notifier) duePrimaryDowns(now time.Time, groups map[int][]string, isDown func(server string) bool) (due []int) {
	for group, members := range groups {
		if slices.ContainsFunc(members, isDown) && now.Sub(n.primaryDownAt[group]) >= repeatInterval {
			n.primaryDownAt[group] = now
			due = append(due, group)
		}
	}
	maps.DeleteFunc(n.primaryDownAt, func(_ int, at time.Time) bool { return now.Sub(at) > ejectionMemory })
	return due
}
