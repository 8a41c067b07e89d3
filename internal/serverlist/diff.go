package serverlist

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Change is a server before and after.
type Change struct{ Before, After Server }

// Diff is what leads from one list to another.
type Diff struct {
	Added, Removed []Server
	Moved          []Change // the same name under another key: one server is removed, one is added
	Changed        []Change // zone, state, weight or version
}

// Compare returns the differences of two lists that are in the order of their names.
func Compare(before, after []Server) Diff {
	var d Diff
	for len(before) > 0 || len(after) > 0 {
		switch order := compareFirst(before, after); {
		case order < 0:
			d.Removed = append(d.Removed, before[0])
			before = before[1:]
		case order > 0:
			d.Added = append(d.Added, after[0])
			after = after[1:]
		default:
			d.addPair(Change{before[0], after[0]})
			before, after = before[1:], after[1:]
		}
	}
	return d
}

// compareFirst compares the names of the first servers of two lists, one of which may be empty.
func compareFirst(before, after []Server) int {
	switch {
	case len(before) == 0:
		return 1
	case len(after) == 0:
		return -1
	}
	return strings.Compare(before[0].Name, after[0].Name)
}

// addPair adds the two entries of a name that both lists have.
func (d *Diff) addPair(c Change) {
	switch {
	case c.Before.Addr != c.After.Addr || c.Before.Cluster != c.After.Cluster || c.Before.Wire != c.After.Wire:
		d.Moved = append(d.Moved, c)
	case c.Before != c.After:
		d.Changed = append(d.Changed, c)
	}
}

// Empty tells whether the lists are the same.
func (d Diff) Empty() bool {
	return len(d.Added)+len(d.Removed)+len(d.Moved)+len(d.Changed) == 0
}

// RemovesServers tells whether the later list lacks a server of the earlier one.
func (d Diff) RemovesServers() bool { return len(d.Removed)+len(d.Moved) > 0 }

// RemovedServers returns the servers that the later list lacks, as they were.
func (d Diff) RemovedServers() []Server {
	servers := slices.Clone(d.Removed)
	for _, c := range d.Moved {
		servers = append(servers, c.Before)
	}
	return servers
}

// NewOrChanged returns the servers that the earlier list lacks or has otherwise, as they are.
func (d Diff) NewOrChanged() []Server {
	servers := slices.Clone(d.Added)
	for _, c := range d.Moved {
		servers = append(servers, c.After)
	}
	for _, c := range d.Changed {
		servers = append(servers, c.After)
	}
	return servers
}

func (d Diff) String() string {
	return fmt.Sprintf("%d added, %d removed, %d moved, %d changed", len(d.Added), len(d.Removed), len(d.Moved), len(d.Changed))
}

// diffLine is a line about the server of a name.
type diffLine struct{ name, text string }

// Lines describes each difference to a person, in the order of the names: + for what is added, - for what is removed, ~ for what is
// changed.
func (d Diff) Lines() []string {
	var lines []diffLine
	add := func(s Server, format string, args ...any) {
		lines = append(lines, diffLine{s.Name, fmt.Sprintf(format, args...)})
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
		add(c.After, "~ %s: %s", c.After.Name, strings.Join(c.fields(), ", "))
	}
	slices.SortStableFunc(lines, func(a, b diffLine) int { return strings.Compare(a.name, b.name) })
	texts := make([]string, len(lines))
	for i, l := range lines {
		texts[i] = l.text
	}
	return texts
}

// fields describes each field that differs.
func (c Change) fields() (texts []string) {
	for _, f := range []struct{ name, before, after string }{
		{"room", c.Before.Zone, c.After.Zone},
		{"state", StateName(c.Before.State), StateName(c.After.State)},
		{"weight", strconv.Itoa(c.Before.Weight), strconv.Itoa(c.After.Weight)},
		{"version", c.Before.Version, c.After.Version},
	} {
		if f.before != f.after {
			texts = append(texts, fmt.Sprintf("%s %s -> %s", f.name, cmp.Or(f.before, "none"), cmp.Or(f.after, "none")))
		}
	}
	return texts
}
