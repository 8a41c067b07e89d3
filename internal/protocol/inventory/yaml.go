package inventory

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"

	"threadsail/internal/serverlist"
)

const (
	maxDepth = 16      // of groups
	maxVisit = 1 << 19 // nodes and hosts, aliases followed: a few lines of nested anchors can stand for billions
	own      = maxDepth + 1
)

// parseYAML walks Ansible's layout: groups with hosts, vars and children. A host's own variables go before those of its
// groups, an inner group's before an outer one's, and of two groups as deep the later one's. Variables of other tools are
// skipped. Host patterns with ranges, as db[01:12] or rack[a:c], stand for each host in them.
func parseYAML(text []byte, portVariable string, p *serverlist.ListError) []serverlist.Row {
	dec := yaml.NewDecoder(bytes.NewReader(text))
	var doc yaml.Node
	if err := dec.Decode(&doc); errors.Is(err, io.EOF) {
		p.Add(1, "yaml", "empty, expected groups of hosts")
		return nil
	} else if err != nil {
		p.Add(yamlLine(err), "yaml", "%s", strings.TrimPrefix(err.Error(), "yaml: "))
		return nil
	}
	var second yaml.Node
	if err := dec.Decode(&second); err == nil {
		p.Add(second.Line, "yaml", "a second document, expected one")
		return nil
	} else if !errors.Is(err, io.EOF) {
		p.Add(yamlLine(err), "yaml", "%s", strings.TrimPrefix(err.Error(), "yaml: "))
		return nil
	}
	w := &walk{p: p, portVariable: portVariable, byName: map[string]*host{}}
	w.groups(doc.Content[0], "inventory", nil, 0)
	if w.visits > maxVisit {
		p.Add(1, "yaml", "too large once its aliases are followed")
	}
	rows := make([]serverlist.Row, 0, len(w.order))
	for _, h := range w.order {
		rows = append(rows, h.row)
	}
	return rows
}

func yamlLine(err error) int {
	line := 1
	if _, rest, ok := strings.Cut(err.Error(), "line "); ok {
		_, _ = fmt.Sscanf(rest, "%d", &line)
	}
	return line
}

// host is one that has been listed, maybe in several groups.
type host struct {
	row   serverlist.Row
	depth [serverlist.FieldCount]int // of the group that each value came from, or own
}

type walk struct {
	p            *serverlist.ListError
	portVariable string
	byName       map[string]*host
	order        []*host
	visits       int
}

// scope is the variables of the groups around a host, the outermost first.
type scope []*yaml.Node

func (w *walk) groups(n *yaml.Node, field string, vars scope, depth int) {
	if depth > maxDepth {
		w.p.Add(n.Line, field, "groups are nested more than %d deep", maxDepth)
		return
	}
	w.pairs(n, field, func(_ int, name string, group *yaml.Node) {
		inner := vars
		w.pairs(group, name, func(_ int, key string, v *yaml.Node) {
			if key == "vars" {
				inner = append(slices.Clone(vars), v)
			}
		})
		w.pairs(group, name, func(line int, key string, v *yaml.Node) {
			switch key {
			case "vars":
			case "children":
				w.groups(v, name+".children", inner, depth+1)
			case "hosts":
				w.pairs(v, name+".hosts", func(line int, pattern string, own *yaml.Node) {
					names, err := expand(pattern)
					if err != nil {
						w.p.Add(line, name+".hosts", "%v", err)
					}
					for _, h := range names {
						if w.visits > maxVisit {
							return
						}
						w.host(h, line, own, inner)
					}
				})
			default:
				w.p.Add(line, name+"."+key, "unknown, expected hosts, vars or children")
			}
		})
	})
}

func (w *walk) host(name string, line int, vars *yaml.Node, outer scope) {
	w.visits++
	h := w.byName[name]
	if h == nil {
		h = &host{row: serverlist.Row{Line: line}}
		h.row.Values[serverlist.FieldName] = name
		w.byName[name] = h
		w.order = append(w.order, h)
	}
	for depth, v := range outer {
		w.variables(h, name, v, depth)
	}
	w.variables(h, name, vars, own)
}

func (w *walk) variables(h *host, name string, vars *yaml.Node, depth int) {
	w.pairs(vars, name, func(line int, key string, v *yaml.Node) {
		f, known := fields[key]
		if key == w.portVariable {
			f, known = serverlist.FieldPort, true
		}
		if !known || f == serverlist.FieldName || depth < h.depth[f] {
			return
		}
		if v.Kind == yaml.AliasNode {
			v = v.Alias
		}
		switch {
		case v.Kind != yaml.ScalarNode:
			w.p.Add(line, key, "a list or mapping, expected a plain value")
		case strings.Contains(v.Value, "{{"):
			w.p.Add(line, key, "%.40q, expected a plain value and no template", v.Value)
		default:
			h.row.Values[f], h.row.Lines[f], h.depth[f] = strings.TrimSpace(v.Value), line, depth
		}
	})
}

// pairs goes through a mapping, what it merges in (<<) first; an empty value counts as an empty mapping.
func (w *walk) pairs(n *yaml.Node, field string, each func(line int, key string, v *yaml.Node)) {
	if w.visits++; w.visits > maxVisit {
		return
	}
	if n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return
	}
	if n.Kind != yaml.MappingNode {
		w.p.Add(n.Line, field, "no mapping, expected one of names to values")
		return
	}
	lines := make(map[string]int, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		if k, v := n.Content[i], n.Content[i+1]; k.Tag == "!!merge" {
			if v.Kind == yaml.SequenceNode {
				for j := len(v.Content) - 1; j >= 0; j-- { // the first one wins
					w.pairs(v.Content[j], field, each)
				}
			} else {
				w.pairs(v, field, each)
			}
		}
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		if w.visits > maxVisit {
			return
		}
		if k.Tag == "!!merge" {
			continue
		}
		if first, twice := lines[k.Value]; twice {
			w.p.Add(k.Line, field, "%.80q is listed twice, first on line %d", k.Value, first)
			continue
		}
		lines[k.Value] = k.Line
		each(k.Line, k.Value, v)
	}
}

// expand lists the hosts that a pattern with ranges stands for: [01:12], [1:9:2], [a:f].
func expand(pattern string) ([]string, error) {
	open := strings.IndexByte(pattern, '[')
	if open < 0 || strings.Contains(pattern, "::") { // an address of IP version 6
		return []string{pattern}, nil
	}
	head, rest := pattern[:open], pattern[open+1:]
	inside, tail, closed := strings.Cut(rest, "]")
	parts := strings.Split(inside, ":")
	if !closed || len(parts) < 2 || len(parts) > 3 {
		return nil, fmt.Errorf("%.80q, expected a range like [01:12] or [a:f]", pattern)
	}
	step := 1
	if len(parts) == 3 {
		var err error
		if step, err = strconv.Atoi(parts[2]); err != nil || step < 1 {
			return nil, fmt.Errorf("%.80q, expected a step of 1 or more", pattern)
		}
	}
	items, err := between(parts[0], parts[1], step)
	if err != nil {
		return nil, fmt.Errorf("%.80q, %w", pattern, err)
	}
	tails, err := expand(tail)
	if err != nil {
		return nil, err
	}
	if len(items)*len(tails) > serverlist.MaxServers {
		return nil, fmt.Errorf("%.80q stands for more than %d hosts", pattern, serverlist.MaxServers)
	}
	out := make([]string, 0, len(items)*len(tails))
	for _, i := range items {
		for _, t := range tails {
			out = append(out, head+i+t)
		}
	}
	return out, nil
}

func between(from, to string, step int) (out []string, err error) {
	letter := func(s string) bool { return len(s) == 1 && (s[0]|0x20 >= 'a' && s[0]|0x20 <= 'z') }
	if letter(from) && letter(to) && from <= to {
		for c := int(from[0]); c <= int(to[0]); c += step {
			out = append(out, string(rune(c)))
		}
		return out, nil
	}
	a, err1 := strconv.ParseUint(from, 10, 31)
	b, err2 := strconv.ParseUint(to, 10, 31)
	width := 0
	if strings.HasPrefix(from, "0") {
		width = len(from)
	}
	switch {
	case err1 != nil || err2 != nil || a > b:
		return nil, errors.New("expected a range that goes up")
	case width > 1 && len(to) != width:
		return nil, errors.New("expected both ends of the range to be as long")
	case b-a >= serverlist.MaxServers:
		return nil, fmt.Errorf("stands for more than %d hosts", serverlist.MaxServers)
	}
	for n := a; n <= b; n += uint64(step) {
		out = append(out, fmt.Sprintf("%0*d", width, n))
	}
	return out, nil
}
