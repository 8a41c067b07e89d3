package serverlist

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"threadsail/internal/policy"
	"threadsail/internal/routes"
)

// Field is one of the things that a row tells of a server.
type Field uint8

// The fields.
const (
	Name Field = iota
	Host       // empty: the name
	Port       // empty: Limits.Port
	Room
	Cluster // empty: 0
	State   // empty: ready
	Weight  // empty: 1
	Wire    // empty: the front's own
	Version // empty: unknown
	Fields  // how many there are
)

var fieldNames = [Fields]string{"name", "host", "port", "zone", "cluster", "state", "weight", "wire", "version"}

func (f Field) String() string { return fieldNames[f] }

// Row is one server as its file words it.
type Row struct {
	Line  int // where it begins, counted from 1
	Value [Fields]string
	At    [Fields]int // the line of a value that stands apart from the row; 0: the row's
}

// Problem is one thing wrong with a file.
type Problem struct {
	Line  int // 0: the file as a whole
	Field string
	Text  string // what stands there, and what was expected
}

func (p Problem) String() string {
	if p.Line == 0 {
		return p.Text
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Field, p.Text)
}

// MaxProblems of a file are told; More counts the others.
const MaxProblems = 20

// ListError is the error that lists what is wrong with a file, in the order of its lines.
type ListError struct {
	List []Problem
	More int
}

// Add notes one down.
func (p *ListError) Add(line int, field, format string, args ...any) {
	if len(p.List) >= MaxProblems {
		p.More++
		return
	}
	p.List = append(p.List, Problem{line, field, fmt.Sprintf(format, args...)})
}

// Err is nil where nothing is wrong.
func (p *ListError) Err() error {
	if len(p.List) == 0 {
		return nil
	}
	slices.SortStableFunc(p.List, func(a, b Problem) int { return a.Line - b.Line })
	return p
}

func (p *ListError) Error() string {
	var b strings.Builder
	for i, x := range p.List {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(x.String())
	}
	if p.More > 0 {
		fmt.Fprintf(&b, "; and %d more", p.More)
	}
	return b.String()
}

// Limits is what a list must fit.
type Limits struct {
	Port  int      // of a server that names none
	Rooms []string // the server rooms there are; nil: any
}

// Bounds of what a list may hold.
const (
	MaxServers = 1 << 14 // what a pooler of 16 MB holds beside its work
	MaxCluster = 1 << 16
	MaxWeight  = 1000
	maxName    = 253
)

// Check turns rows into a list in the order of the names, or tells all that is wrong with them. A list with no server in it
// is fine here: whether it may be used is the gate's to say.
func Check(rows []Row, lim Limits) ([]Server, error) {
	c := &checker{lim: lim, names: make(map[string]int, len(rows)), addrs: make(map[string]int, len(rows)), rooms: map[string]bool{}}
	for _, r := range lim.Rooms {
		c.rooms[r] = true
	}
	out := make([]Server, 0, len(rows))
	for i := range rows {
		out = append(out, c.row(&rows[i]))
	}
	if len(rows) > MaxServers {
		c.problems.Add(rows[MaxServers].Line, "name", "more than %d servers are listed", MaxServers)
	}
	if err := c.problems.Err(); err != nil {
		return nil, err
	}
	slices.SortFunc(out, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

var wirePorts = map[string]int{"mysql": 3306, "postgres": 5432}

type checker struct {
	lim      Limits
	names    map[string]int // the line where each stands first
	addrs    map[string]int
	rooms    map[string]bool
	problems ListError
}

func (c *checker) fail(r *Row, f Field, format string, args ...any) {
	line := r.Line
	if r.At[f] > 0 {
		line = r.At[f]
	}
	c.problems.Add(line, f.String(), format, args...)
}

// number reads a field that counts something; empty: otherwise.
func (c *checker) number(r *Row, f Field, least, most, otherwise int) int {
	v := r.Value[f]
	if v == "" {
		return otherwise
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < least || n > most {
		c.fail(r, f, "%.40q, expected a whole number from %d to %d", v, least, most)
	}
	return n
}

func (c *checker) row(r *Row) Server {
	s := Server{Name: r.Value[Name], Room: r.Value[Room], State: policy.Ready}
	host, hostField := r.Value[Host], Host
	if host == "" {
		host, hostField = s.Name, Name
	}
	switch first, twice := c.names[fold(s.Name)]; {
	case s.Name == "":
		c.fail(r, Name, "missing, expected the server's name")
	case len(s.Name) > maxName || strings.ContainsFunc(s.Name, func(x rune) bool { return x <= ' ' || x == 0x7f }):
		c.fail(r, Name, "%.40q, expected at most %d characters and no space among them", s.Name, maxName)
	case twice:
		c.fail(r, Name, "%.80q is listed twice, first on line %d", s.Name, first)
	default:
		c.names[fold(s.Name)] = r.Line
	}
	host, ok := cleanHost(host)
	if !ok && s.Name != "" {
		c.fail(r, hostField, "%.80q, expected a host name or an IP address", host)
	}
	s.Wire, s.Version = r.Value[Wire], r.Value[Version]
	if _, err := routes.ParseWire(s.Wire, routes.MySQL); err != nil {
		c.fail(r, Wire, "%v", err)
	}
	if _, err := routes.ParseVersion(s.Version); err != nil {
		c.fail(r, Version, "%v", err)
	}
	otherwise := c.lim.Port
	if p := wirePorts[s.Wire]; p > 0 {
		otherwise = p
	}
	port := c.number(r, Port, 1, 65535, otherwise)
	s.Addr = net.JoinHostPort(host, strconv.Itoa(port))
	if first, twice := c.addrs[s.Addr]; twice && ok {
		c.fail(r, hostField, "%s is the address of the server on line %d too", s.Addr, first)
	} else {
		c.addrs[s.Addr] = r.Line
	}
	if s.Room != "" && c.lim.Rooms != nil && !c.rooms[s.Room] {
		c.fail(r, Room, "unknown server room %.40q, expected one of %s", s.Room, strings.Join(c.lim.Rooms, ", "))
	}
	s.Cluster = c.number(r, Cluster, 0, MaxCluster, 0)
	s.Weight = c.number(r, Weight, 0, MaxWeight, 1)
	switch v := r.Value[State]; v {
	case "", "ready":
	case "draining":
		s.State = policy.Draining
	default:
		c.fail(r, State, "%.40q, expected ready or draining", v)
	}
	return s
}

// fold is a name without regard to case or the root's dot.
func fold(name string) string { return strings.TrimSuffix(strings.ToLower(name), ".") }

// cleanHost brings a host to the one spelling that it is compared and dialled by.
func cleanHost(host string) (string, bool) {
	host = fold(host)
	if bare, ok := strings.CutPrefix(host, "["); ok {
		host = strings.TrimSuffix(bare, "]")
	}
	if ip, err := netip.ParseAddr(host); err == nil {
		return ip.Unmap().String(), ip.Zone() == ""
	}
	if host == "" || len(host) > maxName || strings.Trim(host, "0123456789.") == "" { // 10.0.0.256 is no name either
		return host, false
	}
	for label := range strings.SplitSeq(host, ".") {
		if label == "" || len(label) > 63 || label[0] == '-' || label[len(label)-1] == '-' {
			return host, false
		}
		for _, x := range []byte(label) {
			if (x < 'a' || x > 'z') && (x < '0' || x > '9') && x != '-' && x != '_' {
				return host, false
			}
		}
	}
	return host, true
}
