package discovery

import (
	"encoding/json"
	"slices"
	"time"

	"threadsail/internal/policy"
)

// With is the whole list after a further one: a change puts its entries in place of those of the same name and drops those
// that are gone; a complete one takes the place of all.
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

// At is the list with each server at the address that here knows it by: host_port may vary from pooler to pooler. known
// tells whether here knows all of them.
func (l List) At(here List) (at List, known bool) {
	addrs := map[string]string{}
	for _, m := range here.Members {
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

// Format writes the list in the list service's own words, which ParseList reads.
func (l List) Format() []byte {
	type member struct {
		ID       string  `json:"id"`
		HostPort string  `json:"host_port"`
		Locality string  `json:"locality"`
		Cell     int     `json:"cell"`
		Phase    string  `json:"phase"`
		Recovery string  `json:"recovery,omitempty"`
		UpSince  float64 `json:"up_since_ms"`
	}
	out := struct {
		Revision uint64   `json:"revision"`
		Complete bool     `json:"complete"`
		Members  []member `json:"members"`
	}{l.Revision, l.Complete, make([]member, 0, len(l.Members))}
	for _, m := range l.Members {
		e := member{ID: m.Name, HostPort: m.Addr, Locality: m.Zone, Cell: m.Group, UpSince: float64(m.Started.Round(time.Millisecond) / time.Millisecond),
			Phase: map[policy.MemberState]string{policy.Ready: "Ready", policy.Draining: "Terminating", policy.Removed: "Gone"}[m.State]}
		if m.Primary {
			e.Recovery = "off"
		}
		out.Members = append(out.Members, e)
	}
	text, err := json.Marshal(out)
	if err != nil {
		panic(err) // strings and numbers
	}
	return text
}
