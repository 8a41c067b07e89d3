package dispatch

import (
	"time"

	"threadsail/internal/policy"
)

// Member is one server of a list.
type Member struct {
	Name, Address string
	Zone, Group   int
	State         policy.MemberState
	Primary       bool
	StartedAt     time.Duration // Unix time of its last start; 0: long ago
	Weight        int           // as policy.Member.ReadWeight
}

// ApplyList hands the policy a list that counts as announced now.
func (d *Dispatcher) ApplyList(kind policy.ListKind, members []Member) {
	d.ApplyListNotifiedAt(kind, members, d.loop.Now())
}

// ApplyListNotifiedAt hands the policy a list that may count as announced to this pooler since the Unix time notifiedAt: as
// much of a drain's grace period has passed.
func (d *Dispatcher) ApplyListNotifiedAt(kind policy.ListKind, members []Member, notifiedAt time.Duration) {
	d.drainReserve.observeListDelay(d.loop.Now(), notifiedAt, d.settings.DrainGracePeriod)
	d.router.SetSendDuration(d.drainReserve.required(d.loop.Now()))
	entries := make([]policy.Member, 0, len(members))
	named := map[uint32]bool{}
	for _, member := range members {
		id, ok := d.servers.assignID(member.Name, member.State)
		if !ok {
			continue
		}
		named[id] = true
		d.registerMember(id, member)
		entries = append(entries, policy.Member{ID: id, Zone: member.Zone, Group: member.Group, State: member.State,
			Primary: member.Primary, StartedAt: member.StartedAt, ReadWeight: member.Weight})
	}
	if kind == policy.ListFull || kind == policy.ListCached {
		d.removeOmitted(named)
	}
	d.router.HandleList(d.loop.Now(), kind, entries)
}

func (d *Dispatcher) registerMember(id uint32, member Member) {
	if member.State == policy.Removed {
		d.removeServer(member.Name, id)
		return
	}
	d.servers.list(id, member)
	if d.connectionGate != nil {
		d.connectionGate.ServerListed(member.Name, member.StartedAt)
	}
}

// removeOmitted removes the servers that a whole list does not name.
func (d *Dispatcher) removeOmitted(named map[uint32]bool) {
	for name, id := range d.servers.ids {
		if !named[id] {
			d.removeServer(name, id)
		}
	}
}

// removeServer enters that a server is removed. Its name is forgotten later, unless it comes back or an attempt is still in
// flight there. Where the policy ignores removal, it may still send to the server, whose name is kept.
func (d *Dispatcher) removeServer(name string, id uint32) {
	d.servers.unlist(id)
	_, removed := d.servers.removedAt[id]
	if removed || d.settings.IgnoreRemoval {
		return
	}
	removedAt := d.loop.Now()
	d.servers.removedAt[id] = removedAt
	d.loop.After(forgetServerAfter, func() { d.forgetServer(name, id, removedAt) })
}

// forgetServer drops the name of a server that has stayed removed since removedAt.
func (d *Dispatcher) forgetServer(name string, id uint32, removedAt time.Duration) {
	if at, ok := d.servers.removedAt[id]; !ok || at != removedAt {
		return
	}
	delete(d.servers.removedAt, id)
	if d.requests.hasAttemptAt(id) {
		d.removeServer(name, id) // tried again later
		return
	}
	d.servers.forget(name, id)
}

// HasGroup reports whether some list has named a group. Before the first list any group may come to be.
func (d *Dispatcher) HasGroup(group int) bool {
	return len(d.servers.knownGroups) == 0 || d.servers.knownGroups[group]
}

// ReadyMembers returns the names of the servers that the list holds to be ready, by group.
func (d *Dispatcher) ReadyMembers() map[int][]string {
	members := map[int][]string{}
	for id, group := range d.servers.readyGroups {
		if name := d.servers.name(id); name != "" {
			members[group] = append(members[group], name)
		}
	}
	return members
}
