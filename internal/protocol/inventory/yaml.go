package inventory

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"

	"threadsail/internal/serverlist"
)

const (
	maxDepth   = 16           // of nested groups
	ownDepth   = maxDepth + 1 // of a host's own variables
	maxVisited = 1 << 19      // nodes and hosts, aliases followed: a few lines of nested anchors can stand for billions
)

// parseYAML reads Ansible's layout: groups with hosts, vars and children. A host's own variables take precedence over those of its
// groups, an inner group's over an outer one's, and of two groups at one depth the later one's. Variables of other tools are skipped.
// Host patterns with ranges, such as db[01:12] or rack[a:c], stand for each host in them. truncation is File.Truncation.
func parseYAML(text []byte, portVariable string, problems *serverlist.ListError) (rows []serverlist.Row, truncation string) {
	document := onlyDocument(text, problems)
	if document == nil {
		return nil, ""
	}
	r := &yamlReader{problems: problems, portVariable: portVariable, hostsByName: map[string]*yamlHost{}}
	r.readGroups(document, "inventory", nil, 0)
	if r.visited > maxVisited {
		problems.Add(1, "yaml", "too large once its aliases are followed")
	}
	rows = make([]serverlist.Row, 0, len(r.hosts))
	for _, h := range r.hosts {
		rows = append(rows, h.row)
	}
	return rows, r.truncation()
}

// truncation reports whether the file may end before the cluster of its last host: that host would be taken for one of cluster 0.
// A file that names no cluster at all has a single one.
func (r *yamlReader) truncation() string {
	namesCluster := func(h *yamlHost) bool { return h.row.Values[serverlist.FieldCluster] != "" }
	if r.lastHost == nil || namesCluster(r.lastHost) || !slices.ContainsFunc(r.hosts, namesCluster) {
		return ""
	}
	row := &r.lastHost.row
	return fmt.Sprintf("line %d: %.80s, the last server, has no cluster, and others have one: the file may be half written", row.Line,
		row.Values[serverlist.FieldName])
}

// onlyDocument returns the content of the one document that a text must hold, or reports what is wrong.
func onlyDocument(text []byte, problems *serverlist.ListError) *yaml.Node {
	dec := yaml.NewDecoder(bytes.NewReader(text))
	var first, second yaml.Node
	switch err := dec.Decode(&first); {
	case errors.Is(err, io.EOF):
		problems.Add(1, "yaml", "empty, expected groups of hosts")
		return nil
	case err != nil:
		addSyntaxError(problems, err)
		return nil
	}
	switch err := dec.Decode(&second); {
	case err == nil:
		problems.Add(second.Line, "yaml", "a second document, expected one")
		return nil
	case !errors.Is(err, io.EOF):
		addSyntaxError(problems, err)
		return nil
	}
	return first.Content[0]
}

// addSyntaxError reports an error of the YAML decoder, whose text has the line.
func addSyntaxError(problems *serverlist.ListError, err error) {
	line := 1
	if _, rest, ok := strings.Cut(err.Error(), "line "); ok {
		_, _ = fmt.Sscanf(rest, "%d", &line)
	}
	problems.Add(line, "yaml", "%s", strings.TrimPrefix(err.Error(), "yaml: "))
}

// yamlHost is a host that is listed, maybe in several groups.
type yamlHost struct {
	row   serverlist.Row
	depth [serverlist.FieldCount]int // of the group that each value comes from, or ownDepth
}

// yamlReader reads the groups of one document.
type yamlReader struct {
	problems     *serverlist.ListError
	portVariable string
	hostsByName  map[string]*yamlHost
	hosts        []*yamlHost // in the order of their first mention
	lastHost     *yamlHost   // the one mentioned last
	visited      int         // nodes and hosts
}

// groupVariables are the variables of the groups around a host, the outermost first.
type groupVariables []*yaml.Node

// readGroups reads a mapping of names to groups. field names it in problems.
func (r *yamlReader) readGroups(groups *yaml.Node, field string, outer groupVariables, depth int) {
	if depth > maxDepth {
		r.problems.Add(groups.Line, field, "groups are nested more than %d deep", maxDepth)
		return
	}
	r.eachPair(groups, field, func(_ int, name string, group *yaml.Node) {
		r.readGroup(name, group, r.withVariables(name, group, outer), depth)
	})
}

// withVariables adds a group's own variables, wherever they stand in it, to those of the groups around it.
func (r *yamlReader) withVariables(name string, group *yaml.Node, outer groupVariables) groupVariables {
	variables := outer
	r.eachPair(group, name, func(_ int, key string, value *yaml.Node) {
		if key == "vars" {
			variables = append(slices.Clone(outer), value)
		}
	})
	return variables
}

// readGroup reads the hosts and children of a group.
func (r *yamlReader) readGroup(name string, group *yaml.Node, variables groupVariables, depth int) {
	r.eachPair(group, name, func(line int, key string, value *yaml.Node) {
		switch key {
		case "vars":
		case "children":
			r.readGroups(value, name+".children", variables, depth+1)
		case "hosts":
			r.readHosts(name+".hosts", value, variables)
		default:
			r.problems.Add(line, name+"."+key, "unknown, expected hosts, vars or children")
		}
	})
}

// readHosts reads a mapping of host patterns to the hosts' own variables.
func (r *yamlReader) readHosts(field string, hosts *yaml.Node, outer groupVariables) {
	r.eachPair(hosts, field, func(line int, pattern string, variables *yaml.Node) {
		names, err := expandPattern(pattern)
		if err != nil {
			r.problems.Add(line, field, "%v", err)
		}
		for _, name := range names {
			if r.visited > maxVisited {
				return
			}
			r.readHost(name, line, variables, outer)
		}
	})
}

func (r *yamlReader) readHost(name string, line int, variables *yaml.Node, outer groupVariables) {
	r.visited++
	h := r.hostsByName[name]
	if h == nil {
		h = &yamlHost{row: serverlist.Row{Line: line}}
		h.row.Values[serverlist.FieldName] = name
		r.hostsByName[name] = h
		r.hosts = append(r.hosts, h)
	}
	r.lastHost = h
	for depth, v := range outer {
		r.readVariables(h, name, v, depth)
	}
	r.readVariables(h, name, variables, ownDepth)
}

// readVariables sets the fields of a host for which no variable of a greater depth stands.
func (r *yamlReader) readVariables(h *yamlHost, name string, variables *yaml.Node, depth int) {
	r.eachPair(variables, name, func(line int, key string, value *yaml.Node) {
		field, known := fieldsByName[key]
		if key == r.portVariable {
			field, known = serverlist.FieldPort, true
		}
		if !known || field == serverlist.FieldName || depth < h.depth[field] {
			return
		}
		if value.Kind == yaml.AliasNode {
			value = value.Alias
		}
		switch {
		case value.Kind != yaml.ScalarNode:
			r.problems.Add(line, key, "a list or mapping, expected a plain value")
		case strings.Contains(value.Value, "{{"):
			r.problems.Add(line, key, "%.40q, expected a plain value and no template", value.Value)
		default:
			h.row.Values[field] = strings.TrimSpace(value.Value)
			h.row.Lines[field] = line
			h.depth[field] = depth
		}
	})
}

const mergeTag = "!!merge" // of the key <<

// eachPair calls a function for each pair of a mapping, those that it merges in first. An empty value counts as an empty mapping.
func (r *yamlReader) eachPair(node *yaml.Node, field string, each func(line int, key string, value *yaml.Node)) {
	r.visited++
	if r.visited > maxVisited {
		return
	}
	if node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	if node.Kind == yaml.ScalarNode && node.Tag == "!!null" {
		return
	}
	if node.Kind != yaml.MappingNode {
		r.problems.Add(node.Line, field, "no mapping, expected one of names to values")
		return
	}
	r.eachMerged(node, field, each)
	lines := make(map[string]int, len(node.Content)/2)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		if r.visited > maxVisited {
			return
		}
		if key.Tag == mergeTag {
			continue
		}
		if first, listed := lines[key.Value]; listed {
			r.problems.Add(key.Line, field, "%.80q is listed twice, first on line %d", key.Value, first)
			continue
		}
		lines[key.Value] = key.Line
		each(key.Line, key.Value, value)
	}
}

// eachMerged calls a function for each pair of the mappings that a mapping merges in. Of several the first takes precedence, so that it
// comes last.
func (r *yamlReader) eachMerged(node *yaml.Node, field string, each func(line int, key string, value *yaml.Node)) {
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		if key.Tag != mergeTag {
			continue
		}
		if value.Kind != yaml.SequenceNode {
			r.eachPair(value, field, each)
			continue
		}
		for _, merged := range slices.Backward(value.Content) {
			r.eachPair(merged, field, each)
		}
	}
}
