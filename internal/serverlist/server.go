// Package serverlist decides which list of servers a pooler goes by. Candidates are lists as some file or person names them. The
// package checks each as a whole (Check), and lets one replace the list in force only when it may (Gate): at once, after it has stood
// unchanged for a while, or once an operator has confirmed it. It does no I/O and reads no clock: the caller passes the time and carries
// out the decisions. A Gate is not safe for use by several goroutines.
//
// A list is never mixed from two candidates. What a candidate removes is judged against the list in force, and by what it removes from
// each cluster, for that is what requests feel.
package serverlist

import (
	"cmp"
	"encoding/binary"
	"fmt"
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
	Zone    string             `json:"room,omitempty"` // one of the settings' zones, a "room" in files; empty: in none of them
	Cluster int                `json:"cluster"`
	State   policy.MemberState `json:"state"`             // policy.Ready or policy.Draining
	Weight  int                `json:"weight"`            // share of the reads that are spread, against the cluster's other servers; 0: none
	Wire    string             `json:"wire,omitempty"`    // protocol, mysql or postgres; empty: that of the clients
	Version string             `json:"version,omitempty"` // of the server's software; empty: unknown
}

// Key returns what tells servers apart: name, address, cluster and protocol. What is known of a server (its role, its replication
// position, its health) was learnt at that address, so a server that moves counts as one that is removed and another that is added: a
// primary's role must not follow its name to a machine that may hold other data.
func (s Server) Key() string {
	key := s.Name + "@" + s.Addr + "#" + strconv.Itoa(s.Cluster)
	if s.Wire != "" {
		key += "/" + s.Wire
	}
	return key
}

// Generation is a list that was, or is, in force.
type Generation struct {
	Number     uint64        `json:"number"`        // 1 for the first list; it only grows
	Digest     string        `json:"digest"`        // of Servers, whatever the form of the file
	Source     string        `json:"source"`        // file or service that the list was read from
	AcceptedAt time.Duration `json:"taken_unix_ns"` // since the Unix epoch
	Sealed     bool          `json:"sealed"`        // the file had a valid seal
	Servers    []Server      `json:"servers"`       // in the order of their names
}

// Digest returns a short name for a list, 16 hexadecimal digits. It guards against mistakes, not against forgery.
func Digest(servers []Server) string {
	hash := xxhash.New()
	var buffer [8]byte
	number := func(v int) {
		binary.LittleEndian.PutUint64(buffer[:], uint64(v))
		_, _ = hash.Write(buffer[:])
	}
	text := func(s string) {
		number(len(s))
		_, _ = hash.WriteString(s)
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
	return fmt.Sprintf("%016x", hash.Sum64())
}

func (s Server) String() string {
	protocol := strings.TrimRight(fmt.Sprintf(", %s %s", s.Wire, s.Version), " ,")
	return fmt.Sprintf("%s at %s, room %s, cluster %d, %s, weight %d%s", s.Name, s.Addr, cmp.Or(s.Zone, "none"), s.Cluster,
		StateName(s.State), s.Weight, protocol)
}

// StateName returns the name that inventories have for a state.
func StateName(state policy.MemberState) string {
	if state == policy.Draining {
		return "draining"
	}
	return "ready"
}
