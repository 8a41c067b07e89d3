package dispatch

import (
	"time"

	"threadsail/internal/policy"
)

// Member is one server in a list.
type Member struct {
	Name, Address string
	Zone, Group   int
	State         policy.MemberState
	Primary       bool          // the list names the server as its group's primary
	StartedAt     time.Duration // Unix time of the server's last start; 0: long ago
	Weight        int           // weight for reads, as policy.Member.ReadWeight

	AnswersStaleReads bool // as policy.Member.AnswersStaleReads
}

// ApplyList updates the servers and the policy from a list that was announced now.
func (d *Dispatcher) ApplyList(kind policy.ListKind, members []Member) {
	d.ApplyListNotifiedAt(kind, members, d.loop.Now())
}

// ApplyListNotifiedAt updates the servers and the policy from a list that may have been announced to this pooler as early as
// the Unix time notifiedAt. The grace periods of the drains in the list count from then.
func (d *Dispatcher) ApplyListNotifiedAt(kind policy.ListKind, members []Member, notifiedAt time.Duration) {
	d.router.SetSendDuration(d.sendDurations.longest(d.loop.Now()))
	entries := make([]policy.Member, 0, len(members))
	namedIDs := map[uint32]bool{}
	for _, member := range members {
		id, ok := d.servers.assignID(member.Name, member.State)
		if !ok {
			continue
		}
		namedIDs[id] = true
		d.registerMember(id, member)
		entries = append(entries, policy.Member{ID: id, Zone: member.Zone, Group: member.Group, State: member.State,
			Primary: member.Primary, StartedAt: member.StartedAt, ReadWeight: member.Weight,
			AnswersStaleReads: member.AnswersStaleReads})
	}
	if kind == policy.ListFull || kind == policy.ListCached {
		d.removeOmitted(namedIDs)
	}
	d.router.HandleListNotifiedAt(d.loop.Now(), notifiedAt, kind, entries)
}

func (d *Dispatcher) registerMember(id uint32, member Member) {
	if member.State == policy.Removed {
		d.removeServer(member.Name, id)
		return
	}
	d.servers.markListed(id, member)
	if d.connectionGate != nil {
		d.connectionGate.ServerListed(member.Name, member.StartedAt)
	}
}

// removeOmitted removes the servers that a complete list does not contain.
func (d *Dispatcher) removeOmitted(namedIDs map[uint32]bool) {
	for name, id := range d.servers.ids {
		if !namedIDs[id] {
			d.removeServer(name, id)
		}
	}
}

// removeServer marks a server as removed and schedules the deletion of its name, which is cancelled if the server is listed
// again and postponed while an attempt is in flight there. If the policy ignores removal, the name is kept, as the policy may
// still send to the server.
func (d *Dispatcher) removeServer(name string, id uint32) {
	d.servers.markUnlisted(id)
	_, removed := d.servers.removedAt[id]
	if removed || d.settings.IgnoreRemoval {
		return
	}
	removedAt := d.loop.Now()
	d.servers.removedAt[id] = removedAt
	d.loop.After(removedServerRetention, func() { d.forgetServer(name, id, removedAt) })
}

// forgetServer deletes the name of a server that has been removed without interruption since removedAt.
func (d *Dispatcher) forgetServer(name string, id uint32, removedAt time.Duration) {
	if since, ok := d.servers.removedAt[id]; !ok || since != removedAt {
		return
	}
	delete(d.servers.removedAt, id)
	if d.requests.hasAttemptAt(id) {
		d.removeServer(name, id) // schedules the next try
		return
	}
	d.servers.forget(name, id)
}

// HasGroup reports whether any list has named a group. Before the first list it returns true for every group, as any may still
// be listed.
func (d *Dispatcher) HasGroup(group int) bool {
	return len(d.servers.knownGroups) == 0 || d.servers.knownGroups[group]
}

// ReadyMembers returns the names of the servers that the list contains as ready, by group.
func (d *Dispatcher) ReadyMembers() map[int][]string {
	members := map[int][]string{}
	for id, group := range d.servers.readyGroups {
		if name := d.servers.name(id); name != "" {
			members[group] = append(members[group], name)
		}
	}
	return members
}
