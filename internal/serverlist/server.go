// Package membership decides which list of servers a pooler goes by. It takes candidates, lists as some file or person
// names them, checks each as a whole, and lets one replace the list in force only when it may: at once, after it has stood
// unchanged for a while, or once somebody has confirmed it. It does no I/O and reads no clock: the caller tells it the time,
// and carries out what comes back.
//
// A list is never mixed from two candidates. What a candidate takes away is judged against the list in force, and by what
// it takes from each cluster, for that is what requests feel.
package serverlist

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"threadsail/internal/policy"
)

// Server is one server of a list.
type Server struct {
	Name    string             `json:"name"`           // as its operators call it; unique without regard to case
	Addr    string             `json:"addr"`           // host:port, the host in lower case; unique
	Zone    string             `json:"room,omitempty"` // one of the settings' zones; empty: in none of them
	Cluster int                `json:"cluster"`
	State   policy.MemberState `json:"state"`             // rules.Ready or rules.Draining
	Weight  int                `json:"weight"`            // its share of reads by turns, against its cluster's others; 0: none
	Wire    string             `json:"wire,omitempty"`    // mysql or postgres; empty: the front's own
	Version string             `json:"version,omitempty"` // of the server; empty: unknown
}

// Key tells servers apart. What is known of a server (its role, its position, its health) was learnt at an address in a
// cluster, over a wire, so one that moves to another of these counts as a server that has gone and another that has come: the old
// primary's role must not follow its name to a machine that may hold anything.
func (s Server) Key() string {
	key := s.Name + "@" + s.Addr + "#" + strconv.Itoa(s.Cluster)
	if s.Wire != "" {
		key += "/" + s.Wire
	}
	return key
}

// Generation is one list that was, or is, in force.
type Generation struct {
	Number     uint64        `json:"number"` // 1 is the first; it never goes back
	Digest     string        `json:"digest"` // of Servers: the same for the same list, however it is written down
	Source     string        `json:"source"`
	AcceptedAt time.Duration `json:"taken_unix_ns"` // Unix time
	Sealed     bool          `json:"sealed"`
	Servers    []Server      `json:"servers"` // by name
}

// Digest is a short name for a list, 16 hexadecimal digits. It guards against mix-ups, not against forgery.
func Digest(servers []Server) string {
	h := xxhash.New()
	var n [8]byte
	number := func(v int) {
		binary.LittleEndian.PutUint64(n[:], uint64(v))
		_, _ = h.Write(n[:])
	}
	text := func(s string) {
		number(len(s))
		_, _ = h.WriteString(s)
	}
	for _, s := range servers {
		text(s.Name)
		text(s.Addr)
		text(s.Zone)
		number(s.Cluster)
		number(int(s.State))
		number(s.Weight)
		text(s.Wire)
		text(s.Version)
	}
	return fmt.Sprintf("%016x", h.Sum64())
}

// Change is a server before and after.
type Change struct{ Before, After Server }

// Diff is what leads from one list to another.
type Diff struct {
	Added, Removed []Server
	Moved          []Change // the same name under another key: one server gone, one come
	Changed        []Change // room, state, weight or version
}

// Compare finds the differences of two lists that are in the order of their names.
func Compare(before, after []Server) Diff {
	var d Diff
	for len(before) > 0 || len(after) > 0 {
		way := 0
		switch {
		case len(before) == 0:
			way = 1
		case len(after) == 0:
			way = -1
		default:
			way = strings.Compare(before[0].Name, after[0].Name)
		}
		switch {
		case way < 0:
			d.Removed, before = append(d.Removed, before[0]), before[1:]
		case way > 0:
			d.Added, after = append(d.Added, after[0]), after[1:]
		default:
			if b, a := before[0], after[0]; b.Addr != a.Addr || b.Cluster != a.Cluster || b.Wire != a.Wire {
				d.Moved = append(d.Moved, Change{b, a})
			} else if b != a {
				d.Changed = append(d.Changed, Change{b, a})
			}
			before, after = before[1:], after[1:]
		}
	}
	return d
}

// Empty tells that the lists are the same.
func (d Diff) Empty() bool {
	return len(d.Added)+len(d.Removed)+len(d.Moved)+len(d.Changed) == 0
}

// RemovesServers tells whether a server leaves by it.
func (d Diff) RemovesServers() bool { return len(d.Removed)+len(d.Moved) > 0 }

// RemovedServers lists the servers that leave by it.
func (d Diff) RemovedServers() []Server {
	out := slices.Clone(d.Removed)
	for _, c := range d.Moved {
		out = append(out, c.Before)
	}
	return out
}

// NewOrChanged lists the servers that come, or are not as they were.
func (d Diff) NewOrChanged() []Server {
	out := slices.Clone(d.Added)
	for _, c := range d.Moved {
		out = append(out, c.After)
	}
	for _, c := range d.Changed {
		out = append(out, c.After)
	}
	return out
}

func (d Diff) String() string {
	return fmt.Sprintf("%d added, %d removed, %d moved, %d changed", len(d.Added), len(d.Removed), len(d.Moved), len(d.Changed))
}

// Lines words each difference for a person: + for what comes, - for what goes, ~ for what is not as it was.
func (d Diff) Lines() []string {
	type entry struct{ name, text string }
	var all []entry
	add := func(s Server, format string, args ...any) {
		all = append(all, entry{s.Name, fmt.Sprintf(format, args...)})
	}
	for _, s := range d.Added {
		add(s, "+ %s", s)
	}
	for _, s := range d.Removed {
		add(s, "- %s", s)
	}
	for _, c := range d.Moved {
		add(c.Before, "- %s (moves)", c.Before)
		add(c.After, "+ %s (moved)", c.After)
	}
	for _, c := range d.Changed {
		var what []string
		for _, f := range []struct{ name, before, after string }{
			{"room", c.Before.Zone, c.After.Zone},
			{"state", StateName(c.Before.State), StateName(c.After.State)},
			{"weight", strconv.Itoa(c.Before.Weight), strconv.Itoa(c.After.Weight)},
			{"version", c.Before.Version, c.After.Version},
		} {
			if f.before != f.after {
				what = append(what, fmt.Sprintf("%s %s -> %s", f.name, cmp.Or(f.before, "none"), cmp.Or(f.after, "none")))
			}
		}
		add(c.After, "~ %s: %s", c.After.Name, strings.Join(what, ", "))
	}
	slices.SortStableFunc(all, func(a, b entry) int { return strings.Compare(a.name, b.name) })
	out := make([]string, len(all))
	for i, e := range all {
		out[i] = e.text
	}
	return out
}

func (s Server) String() string {
	speaks := strings.TrimRight(fmt.Sprintf(", %s %s", s.Wire, s.Version), " ,")
	return fmt.Sprintf("%s at %s, room %s, cluster %d, %s, weight %d%s", s.Name, s.Addr, cmp.Or(s.Zone, "none"), s.Cluster,
		StateName(s.State), s.Weight, speaks)
}

// StateName is a state in the inventory's words.
func StateName(s policy.MemberState) string {
	if s == policy.Draining {
		return "draining"
	}
	return "ready"
}
