package inventory

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"net"
	"slices"
	"strconv"

	"go.yaml.in/yaml/v3"

	"threadsail/internal/serverlist"
)

// Format writes a list down in a form that Parse reads back as the same list.
func Format(form Form, portVariable string, servers []serverlist.Server) ([]byte, error) {
	if form == YAML {
		return formatYAML(portVariable, servers)
	}
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	head := []string{"name", "host", "port", "zone", "cluster", "state", "weight"}
	wires := slices.ContainsFunc(servers, func(s serverlist.Server) bool { return s.Wire+s.Version != "" })
	if wires {
		head = append(head, "wire", "version")
	}
	_ = w.Write(head)
	for _, s := range servers {
		host, port, err := net.SplitHostPort(s.Addr)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.Name, err)
		}
		row := []string{s.Name, host, port, s.Zone, strconv.Itoa(s.Cluster), serverlist.StateName(s.State), strconv.Itoa(s.Weight)}
		if wires {
			row = append(row, s.Wire, s.Version)
		}
		_ = w.Write(row)
	}
	w.Flush()
	return b.Bytes(), w.Error()
}

// formatYAML groups the servers by their clusters.
func formatYAML(portVariable string, servers []serverlist.Server) ([]byte, error) {
	scalar := func(v any) *yaml.Node {
		n := &yaml.Node{}
		_ = n.Encode(v)
		return n
	}
	mapping := func() *yaml.Node { return &yaml.Node{Kind: yaml.MappingNode, Tag: "!!map"} }
	add := func(m *yaml.Node, key string, v *yaml.Node) { m.Content = append(m.Content, scalar(key), v) }
	root, hosts := mapping(), map[int]*yaml.Node{}
	for _, s := range servers {
		host, port, err := net.SplitHostPort(s.Addr)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.Name, err)
		}
		if hosts[s.Cluster] == nil {
			group, vars := mapping(), mapping()
			add(vars, "cluster", scalar(s.Cluster))
			hosts[s.Cluster] = mapping()
			add(group, "vars", vars)
			add(group, "hosts", hosts[s.Cluster])
			add(root, fmt.Sprintf("cluster_%d", s.Cluster), group)
		}
		n, _ := strconv.Atoi(port)
		one := mapping()
		add(one, "ansible_host", scalar(host))
		add(one, portVariable, scalar(n))
		if s.Zone != "" {
			add(one, "zone", scalar(s.Zone))
		}
		add(one, "state", scalar(serverlist.StateName(s.State)))
		add(one, "weight", scalar(s.Weight))
		if s.Wire != "" {
			add(one, "wire", scalar(s.Wire))
		}
		if s.Version != "" {
			add(one, "version", scalar(s.Version))
		}
		add(hosts[s.Cluster], s.Name, one)
	}
	return yaml.Marshal(root)
}
