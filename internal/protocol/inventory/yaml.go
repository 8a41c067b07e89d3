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
	maxDepth   = 16      // of groups
	maxVisited = 1 << 19 // nodes and hosts, aliases followed: a few lines of nested anchors can stand for billions
	ownDepth   = maxDepth + 1
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
	w := &yamlReader{problems: p, portVariable: portVariable, hostsByName: map[string]*yamlHost{}}
	w.readGroups(doc.Content[0], "inventory", nil, 0)
	if w.visited > maxVisited {
		p.Add(1, "yaml", "too large once its aliases are followed")
	}
	rows := make([]serverlist.Row, 0, len(w.hosts))
	for _, h := range w.hosts {
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

// yamlHost is one that has been listed, maybe in several groups.
type yamlHost struct {
	row   serverlist.Row
	depth [serverlist.FieldCount]int // of the group that each value came from, or own
}

type yamlReader struct {
	problems     *serverlist.ListError
	portVariable string
	hostsByName  map[string]*yamlHost
	hosts        []*yamlHost
	visited      int
}

// groupVariables is the variables of the groups around a host, the outermost first.
type groupVariables []*yaml.Node

func (w *yamlReader) readGroups(n *yaml.Node, field string, vars groupVariables, depth int) {
	if depth > maxDepth {
		w.problems.Add(n.Line, field, "groups are nested more than %d deep", maxDepth)
		return
	}
	w.eachPair(n, field, func(_ int, name string, group *yaml.Node) {
		inner := vars
		w.eachPair(group, name, func(_ int, key string, v *yaml.Node) {
			if key == "vars" {
				inner = append(slices.Clone(vars), v)
			}
		})
		w.eachPair(group, name, func(line int, key string, v *yaml.Node) {
			switch key {
			case "vars":
			case "children":
				w.readGroups(v, name+".children", inner, depth+1)
			case "hosts":
				w.eachPair(v, name+".hosts", func(line int, pattern string, own *yaml.Node) {
					names, err := expandPattern(pattern)
					if err != nil {
						w.problems.Add(line, name+".hosts", "%v", err)
					}
					for _, h := range names {
						if w.visited > maxVisited {
							return
						}
						w.readHost(h, line, own, inner)
					}
				})
			default:
				w.problems.Add(line, name+"."+key, "unknown, expected hosts, vars or children")
			}
		})
	})
}

func (w *yamlReader) readHost(name string, line int, vars *yaml.Node, outer groupVariables) {
	w.visited++
	h := w.hostsByName[name]
	if h == nil {
		h = &yamlHost{row: serverlist.Row{Line: line}}
		h.row.Values[serverlist.FieldName] = name
		w.hostsByName[name] = h
		w.hosts = append(w.hosts, h)
	}
	for depth, v := range outer {
		w.readVariables(h, name, v, depth)
	}
	w.readVariables(h, name, vars, ownDepth)
}

func (w *yamlReader) readVariables(h *yamlHost, name string, vars *yaml.Node, depth int) {
	w.eachPair(vars, name, func(line int, key string, v *yaml.Node) {
		f, known := fieldsByName[key]
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
			w.problems.Add(line, key, "a list or mapping, expected a plain value")
		case strings.Contains(v.Value, "{{"):
			w.problems.Add(line, key, "%.40q, expected a plain value and no template", v.Value)
		default:
			h.row.Values[f], h.row.Lines[f], h.depth[f] = strings.TrimSpace(v.Value), line, depth
		}
	})
}

// eachPair goes through a mapping, what it merges in (<<) first; an empty value counts as an empty mapping.
func (w *yamlReader) eachPair(n *yaml.Node, field string, each func(line int, key string, v *yaml.Node)) {
	if w.visited++; w.visited > maxVisited {
		return
	}
	if n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return
	}
	if n.Kind != yaml.MappingNode {
		w.problems.Add(n.Line, field, "no mapping, expected one of names to values")
		return
	}
	lines := make(map[string]int, len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		if k, v := n.Content[i], n.Content[i+1]; k.Tag == "!!merge" {
			if v.Kind == yaml.SequenceNode {
				for j := len(v.Content) - 1; j >= 0; j-- { // the first one wins
					w.eachPair(v.Content[j], field, each)
				}
			} else {
				w.eachPair(v, field, each)
			}
		}
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		if w.visited > maxVisited {
			return
		}
		if k.Tag == "!!merge" {
			continue
		}
		if first, twice := lines[k.Value]; twice {
			w.problems.Add(k.Line, field, "%.80q is listed twice, first on line %d", k.Value, first)
			continue
		}
		lines[k.Value] = k.Line
		each(k.Line, k.Value, v)
	}
}

// expandPattern lists the hosts that a pattern with ranges stands for: [01:12], [1:9:2], [a:f].
func expandPattern(pattern string) ([]string, error) {
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
	items, err := expandRange(parts[0], parts[1], step)
	if err != nil {
		return nil, fmt.Errorf("%.80q, %w", pattern, err)
	}
	tails, err := expandPattern(tail)
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

func expandRange(from, to string, step int) (out []string, err error) {
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
