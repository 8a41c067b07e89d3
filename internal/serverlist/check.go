package serverlist

import (
	"net"
	"slices"
	"strconv"
	"strings"

	"threadsail/internal/policy"
	"threadsail/internal/routes"
)

// Constraints is what a list must fit.
type Constraints struct {
	DefaultPort int      // of a server for which neither its row nor its wire tells one
	Zones       []string // the zones there are; nil: any
}

// Bounds of what a list may hold.
const (
	MaxServers    = 1 << 14 // what a pooler of 16 MB can hold beside its work
	MaxCluster    = 1 << 16
	MaxWeight     = 1000
	maxNameLength = 253 // bytes, as in the domain name system
	maxPort       = 65535
)

// Check turns rows into a list in the order of the names, or returns a *ListError with all that is wrong with them. A list without
// servers passes: whether it may be used is for the gate to decide.
func Check(rows []Row, constraints Constraints) ([]Server, error) {
	c := newChecker(constraints, len(rows))
	servers := make([]Server, 0, len(rows))
	for i := range rows {
		servers = append(servers, c.server(&rows[i]))
	}
	if len(rows) > MaxServers {
		c.problems.Add(rows[MaxServers].Line, "name", "more than %d servers are listed", MaxServers)
	}
	if err := c.problems.Err(); err != nil {
		return nil, err
	}
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
	return servers, nil
}

// wirePorts are the default ports of the protocols.
var wirePorts = map[string]int{"mysql": 3306, "postgres": 5432}

// checker checks the rows of one file, one after the other.
type checker struct {
	constraints Constraints
	nameLines   map[string]int // by canonical name, the line where it stands first
	addrLines   map[string]int // by address, the line where it stands first
	zones       map[string]bool
	problems    ListError
}

func newChecker(constraints Constraints, rows int) *checker {
	c := &checker{
		constraints: constraints,
		nameLines:   make(map[string]int, rows),
		addrLines:   make(map[string]int, rows),
		zones:       map[string]bool{},
	}
	for _, zone := range constraints.Zones {
		c.zones[zone] = true
	}
	return c
}

// fail reports a problem with a field of a row.
func (c *checker) fail(r *Row, f Field, format string, args ...any) {
	c.problems.Add(r.line(f), f.String(), format, args...)
}

// server checks a row. If it has problems, what is returned is not used.
func (c *checker) server(r *Row) Server {
	s := Server{
		Name:    r.Values[FieldName],
		Zone:    r.Values[FieldZone],
		Wire:    r.Values[FieldWire],
		Version: r.Values[FieldVersion],
	}
	c.checkName(r, s.Name)
	host, hostOK := c.host(r)
	c.checkProtocol(r)
	s.Addr = c.address(r, host, hostOK)
	c.checkZone(r, s.Zone)
	s.Cluster = c.number(r, FieldCluster, 0, MaxCluster, 0)
	s.Weight = c.number(r, FieldWeight, 0, MaxWeight, 1)
	s.State = c.state(r)
	return s
}

// checkName checks that a server has a name that no row before has.
func (c *checker) checkName(r *Row, name string) {
	canonical := canonicalName(name)
	first, listed := c.nameLines[canonical]
	switch {
	case name == "":
		c.fail(r, FieldName, "missing, expected the server's name")
	case len(name) > maxNameLength || strings.ContainsFunc(name, isSpaceOrControl):
		c.fail(r, FieldName, "%.40q, expected at most %d characters and no space among them", name, maxNameLength)
	case listed:
		c.fail(r, FieldName, "%.80q is listed twice, first on line %d", name, first)
	default:
		c.nameLines[canonical] = r.Line
	}
}

func isSpaceOrControl(x rune) bool { return x <= ' ' || x == 0x7f }

// hostField is the field that holds a row's host: without one the name is the host.
func hostField(r *Row) Field {
	if r.Values[FieldHost] == "" {
		return FieldName
	}
	return FieldHost
}

// host returns a row's host in its canonical spelling.
func (c *checker) host(r *Row) (host string, ok bool) {
	field := hostField(r)
	host, ok = canonicalHost(r.Values[field])
	if !ok && r.Values[FieldName] != "" {
		c.fail(r, field, "%.80q, expected a host name or an IP address", host)
	}
	return host, ok
}

func (c *checker) checkProtocol(r *Row) {
	if _, err := routes.ParseWire(r.Values[FieldWire], routes.MySQL); err != nil {
		c.fail(r, FieldWire, "%v", err)
	}
	if _, err := routes.ParseVersion(r.Values[FieldVersion]); err != nil {
		c.fail(r, FieldVersion, "%v", err)
	}
}

// address returns a row's host and port, which no row before may have.
func (c *checker) address(r *Row, host string, hostOK bool) string {
	defaultPort := c.constraints.DefaultPort
	if port := wirePorts[r.Values[FieldWire]]; port > 0 {
		defaultPort = port
	}
	port := c.number(r, FieldPort, 1, maxPort, defaultPort)
	addr := net.JoinHostPort(host, strconv.Itoa(port))
	if first, listed := c.addrLines[addr]; listed && hostOK {
		c.fail(r, hostField(r), "%s is the address of the server on line %d too", addr, first)
	} else {
		c.addrLines[addr] = r.Line
	}
	return addr
}

func (c *checker) checkZone(r *Row, zone string) {
	if zone != "" && c.constraints.Zones != nil && !c.zones[zone] {
		c.fail(r, FieldZone, "unknown server room %.40q, expected one of %s", zone, strings.Join(c.constraints.Zones, ", "))
	}
}

// number returns a field's whole number, or a default for an empty field.
func (c *checker) number(r *Row, f Field, smallest, largest, defaultValue int) int {
	text := r.Values[f]
	if text == "" {
		return defaultValue
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < smallest || n > largest {
		c.fail(r, f, "%.40q, expected a whole number from %d to %d", text, smallest, largest)
	}
	return n
}

func (c *checker) state(r *Row) policy.MemberState {
	switch text := r.Values[FieldState]; text {
	case "", "ready":
	case "draining":
		return policy.Draining
	default:
		c.fail(r, FieldState, "%.40q, expected ready or draining", text)
	}
	return policy.Ready
}
