// Package routes knows which wire and version each server of a cluster speaks, and what a request of a front needs to be
// taken there. It does no I/O and decides no server: that is the module's. It tells what must be settled before the module
// is asked, so that no request depends on which server it happens to land at.
package routes

import (
	"fmt"
	"strconv"
	"strings"
)

// Wire is a protocol.
type Wire uint8

// The wires.
const (
	MySQL Wire = iota
	Postgres
)

func (w Wire) String() string { return [...]string{"mysql", "postgres"}[w] }

// ParseWire reads a wire's name; empty: otherwise.
func ParseWire(s string, otherwise Wire) (Wire, error) {
	switch s {
	case "":
		return otherwise, nil
	case "mysql":
		return MySQL, nil
	case "postgres":
		return Postgres, nil
	}
	return otherwise, fmt.Errorf("%.20q, expected mysql or postgres", s)
}

// Version is a server's, as far as it changes what it is told.
type Version struct{ Major, Minor int }

// ParseVersion reads a version like 8.4 or 16; empty: unknown, the newest.
func ParseVersion(s string) (v Version, err error) {
	if s == "" {
		return v, nil
	}
	major, rest, dotted := strings.Cut(s, ".")
	minor, _, _ := strings.Cut(rest, ".")
	if v.Major, err = strconv.Atoi(major); err == nil && dotted {
		v.Minor, err = strconv.Atoi(minor)
	}
	if err != nil || v.Major < 1 || v.Minor < 0 {
		return Version{}, fmt.Errorf("%.20q, expected a version like 8.4 or 16", s)
	}
	return v, nil
}

// AtLeast tells whether a version is that one or later; an unknown one is.
func (v Version) AtLeast(major, minor int) bool {
	return v.Major == 0 || v.Major > major || v.Major == major && v.Minor >= minor
}

// Target is what a server speaks.
type Target struct {
	Wire    Wire
	Version Version
}

// Need is what a request of a front needs at a cluster.
type Need struct {
	Translation bool // some server of the cluster speaks the other wire: the request must be fit for both
	Same        bool // some server speaks the front's own
}

// Table is what the servers in the list speak. Servers are known by their keys, so that one that changes its wire at the same
// address, or stands in two lists for a moment, is never taken for what it was.
type Table struct {
	front    Wire
	targets  map[string]entry       // by key
	byAddr   map[string]string      // the key listed last at an address
	clusters map[int]map[Target]int // how many servers of a cluster speak what
}

type entry struct {
	Target
	addr    string
	cluster int
}

// NewTable is an empty one, of a front.
func NewTable(front Wire) *Table {
	return &Table{front: front, targets: map[string]entry{}, byAddr: map[string]string{}, clusters: map[int]map[Target]int{}}
}

// Front is the wire of the front that it belongs to.
func (t *Table) Front() Wire { return t.front }

// Add lists a server.
func (t *Table) Add(key, addr string, cluster int, target Target) {
	t.Drop(key)
	t.targets[key] = entry{target, addr, cluster}
	t.byAddr[addr] = key
	if t.clusters[cluster] == nil {
		t.clusters[cluster] = map[Target]int{}
	}
	t.clusters[cluster][target]++
}

// Drop takes a server off. Attempts may go to it for its grace: its address keeps what it spoke until another comes there.
func (t *Table) Drop(key string) {
	e, ok := t.targets[key]
	if !ok {
		return
	}
	delete(t.targets, key)
	c := t.clusters[e.cluster]
	if c[e.Target]--; c[e.Target] == 0 {
		delete(c, e.Target)
	}
	if len(c) == 0 {
		delete(t.clusters, e.cluster)
	}
	if t.byAddr[e.addr] == key {
		t.byAddr[e.addr] = "\x00" + e.Wire.String()
	}
}

// At is what the server at an address speaks; one that no list names speaks the front's own.
func (t *Table) At(addr string) Target {
	key := t.byAddr[addr]
	if e, ok := t.targets[key]; ok {
		return e.Target
	}
	if w, err := ParseWire(strings.TrimPrefix(key, "\x00"), t.front); err == nil {
		return Target{Wire: w}
	}
	return Target{Wire: t.front}
}

// Needs tells what a request needs at a cluster. It is the same for all its servers: where one of them speaks the other wire,
// a request that can't be translated is turned down, though another server could take it, for else the same statement would
// now be served and now be not.
func (t *Table) Needs(cluster int) Need {
	var n Need
	for target := range t.clusters[cluster] {
		n.Translation = n.Translation || target.Wire != t.front
		n.Same = n.Same || target.Wire == t.front
	}
	return n
}

// Mixed lists the clusters whose servers speak both wires, as in a migration.
func (t *Table) Mixed() (out []int) {
	for c := range t.clusters {
		if n := t.Needs(c); n.Translation && n.Same {
			out = append(out, c)
		}
	}
	return out
}

// Oldest is the least version of a cluster's servers of a wire; unknown ones are the newest.
func (t *Table) Oldest(cluster int, w Wire) (v Version) {
	for target := range t.clusters[cluster] {
		if x := target.Version; target.Wire == w && x.Major > 0 && (v.Major == 0 || !x.AtLeast(v.Major, v.Minor)) {
			v = x
		}
	}
	return v
}
