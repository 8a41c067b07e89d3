package outlier

import (
	"maps"
	"slices"
	"time"
)

// repeatInterval is the time after which a notification is repeated while its condition lasts, in case the host could not act on it before.
const repeatInterval = time.Second

// notifier decides which notifications the host is due. It is not safe for concurrent use.
type notifier struct {
	ejectedAt     map[string]time.Time // by server: when the host was last notified that it is ejected
	primaryDownAt map[int]time.Time    // by group: when the host was last notified that its primary is down
}

func newNotifier() notifier {
	return notifier{ejectedAt: map[string]time.Time{}, primaryDownAt: map[int]time.Time{}}
}

// dueEjections returns the arguments for Host.SetEjected that are due now: true for an ejection that has begun, and again every
// repeatInterval while it lasts, unless this pooler's own evidence overrides it; false for one that has ended.
func (n *notifier) dueEjections(now time.Time, ejected map[string]bool, overridden func(server string) bool) map[string]bool {
	due := map[string]bool{}
	for server := range ejected {
		notifiedAt, notified := n.ejectedAt[server]
		if (!notified || now.Sub(notifiedAt) >= repeatInterval) && !overridden(server) {
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

// duePrimaryDowns returns the groups for which Host.ReportPrimaryDown is due: those with a member that isDown reports, each at most once
// in a repeatInterval.
func (n *notifier) duePrimaryDowns(now time.Time, groups map[int][]string, isDown func(server string) bool) (due []int) {
	for group, members := range groups {
		if slices.ContainsFunc(members, isDown) && now.Sub(n.primaryDownAt[group]) >= repeatInterval {
			n.primaryDownAt[group] = now
			due = append(due, group)
		}
	}
	maps.DeleteFunc(n.primaryDownAt, func(_ int, at time.Time) bool { return now.Sub(at) > ejectionRetention })
	return due
}
