// Package discovery reads the watch of a list service: HTTP/1.1 answers, chunked or not, that hold one JSON list after the other, each on
// a line of its own or indented over many. A list counts from its last bracket on, however the answer ends after it: where a body has no
// length, a reset looks like its end. The package has no sockets: bytes come in, lists come out.
package discovery

import (
	"slices"
	"time"

	"threadsail/internal/policy"
)

// Member is one server of a list.
type Member struct {
	Name    string // the same at all poolers
	Addr    string // host:port
	Zone    string
	Group   int
	State   policy.MemberState
	Primary bool
	Started time.Duration // since the Unix epoch; 0: long ago
}

// List is the whole list, or what has changed.
type List struct {
	Revision uint64
	Complete bool
	Members  []Member
}

// With returns the whole list after a later one. A change replaces the members of the same names, and drops those that are removed; a
// complete list replaces all.
func (l List) With(next List) List {
	if next.Complete {
		return next
	}
	out := List{Revision: next.Revision, Complete: true, Members: slices.Clone(l.Members)}
	for _, m := range next.Members {
		out.Members = slices.DeleteFunc(out.Members, func(old Member) bool { return old.Name == m.Name })
		if m.State != policy.Removed {
			out.Members = append(out.Members, m)
		}
	}
	return out
}

// At returns the list with each member at the address that it has in another list, for addresses may vary from pooler to pooler. known
// tells whether the other list has all members.
func (l List) At(other List) (at List, known bool) {
	addrs := map[string]string{}
	for _, m := range other.Members {
		addrs[m.Name] = m.Addr
	}
	at = l
	at.Members = slices.Clone(l.Members)
	for i, m := range at.Members {
		if at.Members[i].Addr, known = addrs[m.Name]; !known {
			return List{}, false
		}
	}
	return at, true
}
