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
	FieldName Field = iota
	FieldHost       // empty: the name
	FieldPort       // empty: Limits.Port
	FieldZone
	FieldCluster // empty: 0
	FieldState   // empty: ready
	FieldWeight  // empty: 1
	FieldWire    // empty: the front's own
	FieldVersion // empty: unknown
	FieldCount   // how many there are
)

var fieldNames = [FieldCount]string{"name", "host", "port", "zone", "cluster", "state", "weight", "wire", "version"}

func (f Field) String() string { return fieldNames[f] }

// Row is one server as its file words it.
type Row struct {
	Line   int // where it begins, counted from 1
	Values [FieldCount]string
	Lines  [FieldCount]int // the line of a value that stands apart from the row; 0: the row's
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

// MaxReported of a file are told; More counts the others.
const MaxReported = 20

// ListError is the error that lists what is wrong with a file, in the order of its lines.
type ListError struct {
	Problems   []Problem
	Unreported int
}

// Add notes one down.
func (p *ListError) Add(line int, field, format string, args ...any) {
	if len(p.Problems) >= MaxReported {
		p.Unreported++
		return
	}
	p.Problems = append(p.Problems, Problem{line, field, fmt.Sprintf(format, args...)})
}

// Err is nil where nothing is wrong.
func (p *ListError) Err() error {
	if len(p.Problems) == 0 {
		return nil
	}
	slices.SortStableFunc(p.Problems, func(a, b Problem) int { return a.Line - b.Line })
	return p
}

func (p *ListError) Error() string {
	var b strings.Builder
	for i, x := range p.Problems {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(x.String())
	}
	if p.Unreported > 0 {
		fmt.Fprintf(&b, "; and %d more", p.Unreported)
	}
	return b.String()
}

// Constraints is what a list must fit.
type Constraints struct {
	DefaultPort int      // of a server that names none
	Zones       []string // the server rooms there are; nil: any
}

// Bounds of what a list may hold.
const (
	MaxServers    = 1 << 14 // what a pooler of 16 MB holds beside its work
	MaxCluster    = 1 << 16
	MaxWeight     = 1000
	maxNameLength = 253
)

// Check turns rows into a list in the order of the names, or tells all that is wrong with them. A list with no server in it
// is fine here: whether it may be used is the gate's to say.
func Check(rows []Row, lim Constraints) ([]Server, error) {
	c := &checker{constraints: lim, nameLines: make(map[string]int, len(rows)), addrLines: make(map[string]int, len(rows)), zones: map[string]bool{}}
	for _, r := range lim.Zones {
		c.zones[r] = true
	}
	out := make([]Server, 0, len(rows))
	for i := range rows {
		out = append(out, c.server(&rows[i]))
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
	constraints Constraints
	nameLines   map[string]int // the line where each stands first
	addrLines   map[string]int
	zones       map[string]bool
	problems    ListError
}

func (c *checker) fail(r *Row, f Field, format string, args ...any) {
	line := r.Line
	if r.Lines[f] > 0 {
		line = r.Lines[f]
	}
	c.problems.Add(line, f.String(), format, args...)
}

// number reads a field that counts something; empty: otherwise.
func (c *checker) number(r *Row, f Field, least, most, otherwise int) int {
	v := r.Values[f]
	if v == "" {
		return otherwise
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < least || n > most {
		c.fail(r, f, "%.40q, expected a whole number from %d to %d", v, least, most)
	}
	return n
}

func (c *checker) server(r *Row) Server {
	s := Server{Name: r.Values[FieldName], Zone: r.Values[FieldZone], State: policy.Ready}
	host, hostField := r.Values[FieldHost], FieldHost
	if host == "" {
		host, hostField = s.Name, FieldName
	}
	switch first, twice := c.nameLines[canonicalName(s.Name)]; {
	case s.Name == "":
		c.fail(r, FieldName, "missing, expected the server's name")
	case len(s.Name) > maxNameLength || strings.ContainsFunc(s.Name, func(x rune) bool { return x <= ' ' || x == 0x7f }):
		c.fail(r, FieldName, "%.40q, expected at most %d characters and no space among them", s.Name, maxNameLength)
	case twice:
		c.fail(r, FieldName, "%.80q is listed twice, first on line %d", s.Name, first)
	default:
		c.nameLines[canonicalName(s.Name)] = r.Line
	}
	host, ok := canonicalHost(host)
	if !ok && s.Name != "" {
		c.fail(r, hostField, "%.80q, expected a host name or an IP address", host)
	}
	s.Wire, s.Version = r.Values[FieldWire], r.Values[FieldVersion]
	if _, err := routes.ParseWire(s.Wire, routes.MySQL); err != nil {
		c.fail(r, FieldWire, "%v", err)
	}
	if _, err := routes.ParseVersion(s.Version); err != nil {
		c.fail(r, FieldVersion, "%v", err)
	}
	otherwise := c.constraints.DefaultPort
	if p := wirePorts[s.Wire]; p > 0 {
		otherwise = p
	}
	port := c.number(r, FieldPort, 1, 65535, otherwise)
	s.Addr = net.JoinHostPort(host, strconv.Itoa(port))
	if first, twice := c.addrLines[s.Addr]; twice && ok {
		c.fail(r, hostField, "%s is the address of the server on line %d too", s.Addr, first)
	} else {
		c.addrLines[s.Addr] = r.Line
	}
	if s.Zone != "" && c.constraints.Zones != nil && !c.zones[s.Zone] {
		c.fail(r, FieldZone, "unknown server room %.40q, expected one of %s", s.Zone, strings.Join(c.constraints.Zones, ", "))
	}
	s.Cluster = c.number(r, FieldCluster, 0, MaxCluster, 0)
	s.Weight = c.number(r, FieldWeight, 0, MaxWeight, 1)
	switch v := r.Values[FieldState]; v {
	case "", "ready":
	case "draining":
		s.State = policy.Draining
	default:
		c.fail(r, FieldState, "%.40q, expected ready or draining", v)
	}
	return s
}

// canonicalName is a name without regard to case or the root's dot.
func canonicalName(name string) string { return strings.TrimSuffix(strings.ToLower(name), ".") }

// canonicalHost brings a host to the one spelling that it is compared and dialled by.
func canonicalHost(host string) (string, bool) {
	host = canonicalName(host)
	if bare, ok := strings.CutPrefix(host, "["); ok {
		host = strings.TrimSuffix(bare, "]")
	}
	if ip, err := netip.ParseAddr(host); err == nil {
		return ip.Unmap().String(), ip.Zone() == ""
	}
	if host == "" || len(host) > maxNameLength || strings.Trim(host, "0123456789.") == "" { // 10.0.0.256 is no name either
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
