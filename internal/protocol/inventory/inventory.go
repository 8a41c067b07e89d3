// Package inventory reads the list of servers as configuration tools keep it: CSV with a header, or YAML in the
// layout of Ansible's inventories.
package inventory

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"threadsail/rules"
)

// Member is one server.
type Member struct {
	Name  string
	Addr  string
	Zone  string
	Group int
	State rules.State
}

// Error tells where a file is wrong.
type Error struct {
	Line  int
	Field string
	Text  string
}

func (e *Error) Error() string { return fmt.Sprintf("line %d: %s: %s", e.Line, e.Field, e.Text) }

const (
	maxBytes    = 4 << 20
	defaultPort = 3306
)

// Parse reads a file; its name's ending tells the form.
func Parse(name string, text []byte) ([]Member, error) {
	if len(text) > maxBytes {
		return nil, fmt.Errorf("the file holds more than %d bytes", maxBytes)
	}
	var out []Member
	var err error
	switch {
	case strings.HasSuffix(name, ".csv"):
		out, err = parseCSV(string(text))
	case strings.HasSuffix(name, ".yaml"), strings.HasSuffix(name, ".yml"):
		out, err = parseYAML(text)
	default:
		return nil, errors.New("the name ends in neither .csv nor .yaml")
	}
	if err != nil {
		return nil, err
	}
	if len(out) == 0 {
		return nil, errors.New("no server is listed")
	}
	return out, nil
}

// fields of a server and where each stands.
type fields struct {
	line  int
	value map[string]string
	at    map[string]int
	own   map[string]bool // set by the host itself: no group it is listed in again overrides that
}

func (f *fields) fail(field, format string, args ...any) error {
	line := f.line
	if n, ok := f.at[field]; ok {
		line = n
	}
	return &Error{Line: line, Field: field, Text: fmt.Sprintf(format, args...)}
}

// member checks a server's fields. The names in a CSV header and Ansible's variables mean the same.
func (f *fields) member(seen map[string]bool) (m Member, err error) {
	m.Name = f.value["name"]
	if m.Name == "" {
		return m, f.fail("name", "missing")
	}
	if seen[m.Name] {
		return m, f.fail("name", "%q is listed twice", m.Name)
	}
	seen[m.Name] = true
	host := f.value["host"]
	if host == "" {
		host = m.Name
	}
	port := defaultPort
	if v := f.value["port"]; v != "" {
		if port, err = strconv.Atoi(v); err != nil || port < 1 || port > 65535 {
			return m, f.fail("port", "%q is no port", v)
		}
	}
	m.Addr = net.JoinHostPort(host, strconv.Itoa(port))
	m.Zone = f.value["zone"]
	if v := f.value["cluster"]; v != "" {
		if m.Group, err = strconv.Atoi(v); err != nil || m.Group < 0 || m.Group > 1<<16 {
			return m, f.fail("cluster", "%q is no number of a cluster", v)
		}
	}
	switch v := f.value["state"]; v {
	case "", "ready":
		m.State = rules.Ready
	case "draining":
		m.State = rules.Draining
	default:
		return m, f.fail("state", "%q is neither ready nor draining", v)
	}
	return m, nil
}

var known = map[string]string{"name": "name", "host": "host", "port": "port", "zone": "zone", "cluster": "cluster",
	"state": "state", "ansible_host": "host", "ansible_port": "port", "mysql_port": "port"}

func parseCSV(text string) ([]Member, error) {
	r := csv.NewReader(strings.NewReader(text))
	r.TrimLeadingSpace = true
	r.Comment = '#'
	head, err := r.Read()
	if err != nil {
		return nil, csvError(err, "header")
	}
	for i, h := range head {
		name := known[strings.ToLower(strings.TrimSpace(h))]
		if name == "" {
			return nil, &Error{Line: 1, Field: h, Text: "unknown column"}
		}
		head[i] = name
	}
	var out []Member
	seen := map[string]bool{}
	for {
		row, err := r.Read()
		if errors.Is(err, io.EOF) {
			return out, nil
		}
		if err != nil {
			return nil, csvError(err, "row")
		}
		line, _ := r.FieldPos(0)
		f := &fields{line: line, value: map[string]string{}}
		for i, v := range row {
			f.value[head[i]] = strings.TrimSpace(v)
		}
		m, err := f.member(seen)
		if err != nil {
			return nil, err
		}
		out = append(out, m)
	}
}

func csvError(err error, field string) error {
	var p *csv.ParseError
	if errors.As(err, &p) {
		return &Error{Line: p.Line, Field: field, Text: p.Err.Error()}
	}
	return &Error{Line: 1, Field: field, Text: err.Error()}
}

// parseYAML walks Ansible's layout: groups with hosts, vars and children; a host's own variables go before those of
// its group, an inner group's before an outer one's.
func parseYAML(text []byte) ([]Member, error) {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil {
		return nil, &Error{Line: yamlLine(err), Field: "yaml", Text: err.Error()}
	}
	if len(doc.Content) == 0 {
		return nil, nil
	}
	w := &walk{byName: map[string]*fields{}}
	if err := w.groups(doc.Content[0], "inventory", nil, 0); err != nil {
		return nil, err
	}
	var out []Member
	seen := map[string]bool{}
	for _, name := range w.order {
		m, err := w.byName[name].member(seen)
		if err != nil {
			return nil, err
		}
		out = append(out, m)
	}
	return out, nil
}

func yamlLine(err error) int {
	line := 1
	if _, rest, ok := strings.Cut(err.Error(), "line "); ok {
		fmt.Sscanf(rest, "%d", &line)
	}
	return line
}

type walk struct {
	byName map[string]*fields
	order  []string
}

const maxDepth = 16

func (w *walk) groups(n *yaml.Node, field string, vars []*yaml.Node, depth int) error {
	if depth > maxDepth {
		return &Error{Line: n.Line, Field: field, Text: "groups are nested too deeply"}
	}
	return pairs(n, field, func(name string, group *yaml.Node) error {
		inner := vars
		if v := child(group, "vars"); v != nil {
			inner = append(append([]*yaml.Node(nil), vars...), v)
		}
		return pairs(group, name, func(key string, v *yaml.Node) error {
			switch key {
			case "vars":
				return nil
			case "children":
				return w.groups(v, name+".children", inner, depth+1)
			case "hosts":
				return pairs(v, name+".hosts", func(host string, own *yaml.Node) error {
					return w.host(host, own, inner)
				})
			}
			return &Error{Line: v.Line, Field: name + "." + key, Text: "is neither hosts, vars nor children"}
		})
	})
}

func (w *walk) host(name string, own *yaml.Node, vars []*yaml.Node) error {
	f := w.byName[name]
	if f == nil {
		f = &fields{line: own.Line, value: map[string]string{"name": name}, at: map[string]int{}, own: map[string]bool{}}
		w.byName[name] = f
		w.order = append(w.order, name)
	}
	for _, v := range append(append([]*yaml.Node(nil), vars...), own) {
		err := pairs(v, name, func(key string, value *yaml.Node) error {
			field := known[key]
			if field == "" || key == "name" || v != own && f.own[field] {
				return nil // other variables are other tools' matter
			}
			f.own[field] = v == own
			if value.Kind != yaml.ScalarNode {
				return &Error{Line: value.Line, Field: key, Text: "is no plain value"}
			}
			f.value[field], f.at[field] = value.Value, value.Line
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func child(n *yaml.Node, key string) *yaml.Node {
	for i := 0; n.Kind == yaml.MappingNode && i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == key {
			return n.Content[i+1]
		}
	}
	return nil
}

// pairs goes through a mapping; an empty value counts as an empty one.
func pairs(n *yaml.Node, field string, each func(key string, v *yaml.Node) error) error {
	if n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return nil
	}
	if n.Kind != yaml.MappingNode {
		return &Error{Line: n.Line, Field: field, Text: "is no mapping"}
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		if err := each(n.Content[i].Value, n.Content[i+1]); err != nil {
			return err
		}
	}
	return nil
}
