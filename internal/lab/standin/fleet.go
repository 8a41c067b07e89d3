package standin

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"threadsail/internal/protocol/inventory"
)

// Settings are the facts that tests give to a pooler, in the form of its configuration's settings.
func Settings() map[string]any {
	lane := func(name, semantics string, worth, late float64) map[string]any {
		return map[string]any{"name": name, "semantics": semantics, "group": "cell", "aimMs": 500, "hardLimitMs": 2000,
			"worth": worth, "lateWorth": late, "windowMs": 2000}
	}
	return map[string]any{
		"balancers": 1, "zone": 0, "zones": []string{"a", "b"}, "discovery": "ask", "tickMs": 5,
		"caps": map[string]any{"connIdleMs": 15000, "connectTimeoutMs": 250, "maxAttempts": 6, "maxOpen": 1000,
			"maxRetryAfterMs": 500, "mayCancel": true, "probing": true, "retryAfter": true},
		"contract": map[string]any{"coldFrom": 0.2, "coldMs": 30000, "overloadFactor": 2.5, "overloadForMs": 1000,
			"drainGraceMs": 500, "mustAskInMs": 10000},
		"familyInfo": map[string]any{"behind": "none", "classRead": []string{"lag_bound", "eventual", "mutate"},
			"lagAllowedMs": []float64{800, 0, 0}, "progressTold": true},
		"lanes":  []any{lane("view", "free", 1, 0), lane("any", "free", 1, 0), lane("write", "guarded", 4, 0.7)},
		"report": map[string]any{"fields": []string{"x0", "x1", "waiting"}, "how": "probe"},
	}
}

// AllowLateHost changes settings so that a pooler or a server that a busy machine does not run for seconds costs no request its
// answer, and makes no server count as silent or out of reach.
func AllowLateHost(settings map[string]any) {
	const late = 20000 // ms
	settings["caps"].(map[string]any)["connectTimeoutMs"] = late / 4
	for _, class := range settings["lanes"].([]any) {
		class := class.(map[string]any)
		class["aimMs"], class["hardLimitMs"] = late, late
	}
}

// Host is what a fleet needs of the test, or the tool, that it serves. testing.TB is one.
type Host interface {
	Helper()
	Fatal(args ...any)
	Cleanup(func())
	TempDir() string
}

// Fleet is a group of servers, the list service, and the files that tell a pooler of them.
type Fleet struct {
	t         Host
	mysql     bool             // the front's wire
	speak     func(i int) bool // whether the i-th server speaks MySQL
	made      int
	Ledger    *Ledger
	Servers   []*Server
	Discovery *Discovery
	Env       map[string]string // what the pooler's environment holds
	config    map[string]any    // the file that PROXY_CONFIG names
	inventory string
	Roles     bool // the list tells who is primary, as it is when the list is told
	phase     map[string]string
	members   int
	Hup       chan struct{} // tells a pooler of this process to read its configuration again
}

// NewFleet starts servers of the given names on one of the wires; the first is the primary. change may alter the
// settings.
func NewFleet(t Host, speaksMySQL bool, change func(settings map[string]any), names ...string) *Fleet {
	return NewMixedFleet(t, speaksMySQL, func(int) bool { return speaksMySQL }, change, names...)
}

// NewMixedFleet is NewFleet for a front of one wire before servers of either; servers tells which of them speak MySQL.
func NewMixedFleet(t Host, front bool, servers func(i int) bool, change func(settings map[string]any), names ...string) *Fleet {
	t.Helper()
	f := &Fleet{t: t, mysql: front, speak: servers, Ledger: NewLedger(), phase: map[string]string{}, Hup: make(chan struct{}, 1)}
	for i, n := range names {
		f.Servers = append(f.Servers, f.Server(n, i == 0))
	}
	f.Discovery = NewDiscovery(f.entries())
	t.Cleanup(f.Discovery.CloseClientConnections)
	settings := Settings()
	if change != nil {
		change(settings)
	}
	dir := t.TempDir()
	f.inventory = filepath.Join(dir, "inventory.csv")
	addr := strings.TrimPrefix(f.Discovery.URL, "http://")
	f.Env = map[string]string{"PROXY_CONFIG": filepath.Join(dir, "config.json"),
		"PROXY_MYSQL": filepath.Join(dir, "mysql.json"), "PROXY_MEMBERSHIP": filepath.Join(dir, "membership.json")}
	f.config = map[string]any{"name": "n1", "listen": "127.0.0.1:0", "admin": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"revision": 0, "complete": true, "members": f.entries()},
		"settings": settings}
	f.Configure("discovery", addr)
	my := map[string]any{"enabled": front, "listen": "127.0.0.1:0",
		"inventory": f.inventory, "user": BackendUser, "password": BackendPassword,
		"client": map[string]any{"user": ClientUser, "password": ClientPassword}, "heartbeat": Heartbeat, "reload_ms": 20,
		"probe_timeout_ms": settings["caps"].(map[string]any)["connectTimeoutMs"],
		"defaults":         map[string]any{"read": map[string]any{"class": "any"}, "write": map[string]any{"class": "write"}}}
	if slices.ContainsFunc(f.Servers, func(s *Server) bool { return s.mysql != front }) { // builds before translation know no such key
		my["postgres"] = map[string]any{"heartbeat": Heartbeat}
		my["translate"] = map[string]any{"ids": map[string]string{"lesson": "id"}, "keys": map[string][]string{"lesson": {"pupil"}}}
	}
	f.file(f.Env["PROXY_MYSQL"], my)
	f.Lists(map[string]any{"enabled": false})
	if f.List(); !front && slices.ContainsFunc(f.Servers, func(s *Server) bool { return s.mysql }) {
		f.FromFile(nil) // the list service knows no wires
	}
	return f
}

// Server starts one more server of the fleet's wire, which no list names yet.
func (f *Fleet) Server(name string, primary bool) *Server {
	s, err := NewServer(name, f.speak(f.made), primary, f.Ledger)
	f.made++
	f.check(err)
	f.t.Cleanup(s.Down)
	return s
}

// Lists writes the operators' file of the server lists.
func (f *Fleet) Lists(file map[string]any) { f.file(f.Env["PROXY_MEMBERSHIP"], file) }

// Wire is the wire that its servers speak: "postgres" or "mysql".
func (f *Fleet) Wire() string {
	if f.mysql {
		return "mysql"
	}
	return "postgres"
}

// FromFile has the front of the fleet's wire take its servers from the inventory, with further keys of the operators' file.
func (f *Fleet) FromFile(keys map[string]any) {
	file := map[string]any{"enabled": true, f.Wire(): map[string]any{"file": f.inventory}, "poll_ms": 1000,
		"mysql_servers": map[string]any{"user": BackendUser, "password": BackendPassword, "heartbeat": Heartbeat,
			"echo": map[string]any{"state": []string{"val"}}}}
	for k, v := range keys {
		file[k] = v
	}
	f.Lists(file)
}

// Getenv reads the pooler's environment.
func (f *Fleet) Getenv(name string) string { return f.Env[name] }

// Inventory is the path of the MySQL front's list.
func (f *Fleet) Inventory() string { return f.inventory }

func (f *Fleet) check(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *Fleet) file(path string, v any) {
	text, err := json.Marshal(v)
	f.check(err)
	f.check(os.WriteFile(path, text, 0o600))
}

// Configure changes one key of the pooler's configuration file.
func (f *Fleet) Configure(key string, v any) {
	f.config[key] = v
	f.file(f.Env["PROXY_CONFIG"], f.config)
}

// Reload changes one key and has it read again.
func (f *Fleet) Reload(key string, v any) {
	f.Configure(key, v)
	f.Hup <- struct{}{}
}

// MoveDiscovery starts another list service and names it in the configuration. The old one stays as it is.
func (f *Fleet) MoveDiscovery() {
	f.Discovery = NewDiscovery(f.entries())
	f.t.Cleanup(f.Discovery.CloseClientConnections)
	f.Configure("discovery", strings.TrimPrefix(f.Discovery.URL, "http://"))
}

// entries is the list of servers that speak PostgreSQL.
func (f *Fleet) entries() []Entry {
	out := []Entry{}
	for _, s := range f.Servers {
		if phase := f.phase[s.Name]; !f.mysql && phase != "Gone" {
			if phase == "" {
				phase = "Ready"
			}
			e := Entry{ID: s.Name, HostPort: s.Addr, Locality: "a", Cell: s.Cell, Phase: phase}
			if !s.Started.IsZero() {
				e.UpSince = float64(s.Started.UnixMilli())
			}
			if f.Roles {
				e.Recovery = map[bool]string{true: "off", false: "on"}[s.Primary()]
			}
			out = append(out, e)
		}
	}
	return out
}

// Drain lists a server as draining.
func (f *Fleet) Drain(s *Server) {
	f.Phase(s, "Terminating")
	f.List()
}

// Phase sets what the next list says of a server.
func (f *Fleet) Phase(s *Server, phase string) { f.phase[s.Name] = phase }

// List tells the pooler of the servers as they now are, by the list service or the inventory.
func (f *Fleet) List() {
	f.Discovery.Change(f.entries())
	var b strings.Builder
	b.WriteString("name,host,port,zone,cluster,state")
	mixed := slices.ContainsFunc(f.Servers, func(s *Server) bool { return s.mysql != f.mysql })
	if mixed { // builds before translation know no such column
		b.WriteString(",wire")
	}
	b.WriteString("\n")
	for _, s := range f.Servers {
		host, port, _ := net.SplitHostPort(s.Addr)
		state := "ready"
		if f.phase[s.Name] != "" {
			state = "draining"
		}
		fmt.Fprintf(&b, "%s,%s,%s,a,0,%s", s.Name, host, port, state)
		if mixed {
			b.WriteString("," + map[bool]string{true: "mysql", false: "postgres"}[s.mysql])
		}
		b.WriteString("\n")
	}
	next := f.inventory + ".next"
	f.check(os.WriteFile(next, inventory.AppendSeal([]byte(b.String()), len(f.Servers), ""), 0o600))
	f.check(os.Rename(next, f.inventory))
}

// Member is one more pooler of the fleet with files of its own and a list service of its own, which names each server at
// the address that its via gives, a relay say.
type Member struct {
	Env       map[string]string // the pooler's environment
	Discovery *Discovery
	f         *Fleet
	config    map[string]any
	via       func(*Server) string
}

// Member writes the files of one more pooler, with a name and a seed of its own.
func (f *Fleet) Member(name, seed string, via func(*Server) string) *Member {
	f.t.Helper()
	m := &Member{f: f, config: maps.Clone(f.config), via: via, Env: maps.Clone(f.Env)}
	m.config["name"], m.config["seed"] = name, seed
	settings := maps.Clone(f.config["settings"].(map[string]any))
	settings["me"] = f.members
	f.members++
	m.config["settings"] = settings
	m.config["known"] = map[string]any{"revision": 0, "complete": true, "members": m.entries()}
	m.Env["PROXY_CONFIG"] = filepath.Join(f.t.TempDir(), "config.json")
	m.Move()
	return m
}

// Zone puts the member into a zone of so many; it takes that over at its next start.
func (m *Member) Zone(zone, of int) {
	names := []string{}
	for i := range of {
		names = append(names, string(rune('a'+i)))
	}
	settings := m.config["settings"].(map[string]any)
	settings["zone"], settings["zones"] = zone, names
	m.f.file(m.Env["PROXY_CONFIG"], m.config)
}

// File writes a further file of the member and names it in its environment.
func (m *Member) File(variable string, v any) {
	m.f.t.Helper()
	m.Env[variable] = filepath.Join(m.Dir(), strings.ToLower(variable)+".json")
	m.f.file(m.Env[variable], v)
}

// Dir is the folder of the member's own files.
func (m *Member) Dir() string { return filepath.Dir(m.Env["PROXY_CONFIG"]) }

// Retune writes another configuration for the member, the same whoever gets it, which a SIGHUP then has it read.
func (m *Member) Retune() {
	settings := maps.Clone(m.config["settings"].(map[string]any))
	caps := maps.Clone(settings["caps"].(map[string]any))
	caps["maxRetryAfterMs"] = 400
	settings["caps"] = caps
	m.config["settings"] = settings
	m.f.file(m.Env["PROXY_CONFIG"], m.config)
}

// Move starts another list service for the member and names it in its configuration, which a SIGHUP then has it read.
// The old one stays as it is.
func (m *Member) Move() {
	m.Discovery = NewDiscovery(m.entries())
	m.f.t.Cleanup(m.Discovery.CloseClientConnections)
	m.config["discovery"] = strings.TrimPrefix(m.Discovery.URL, "http://")
	m.f.file(m.Env["PROXY_CONFIG"], m.config)
}

// List tells the member's list service of the fleet's servers as they now are.
func (m *Member) List() { m.Discovery.Change(m.entries()) }

func (m *Member) entries() []Entry {
	var out []Entry
	for _, e := range m.f.entries() {
		for _, s := range m.f.Servers {
			if s.Name == e.ID {
				e.HostPort = m.via(s)
			}
		}
		out = append(out, e)
	}
	return out
}
