package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	fileRoundTime   = 12 * time.Second       // for which clients send, from the first line of the new file on
	fileRequestTime = 100 * time.Millisecond // between two requests of a client, give or take a half
	writePieceTime  = 10 * time.Millisecond  // between two pieces of the tool's
	fileClients     = 6                      // for each cluster
)

// dbNode is a server in the operators' file.
type dbNode struct {
	name, host string
	cluster    int
}

// nodes are two clusters of three; db1 and db6 are the primaries. db7 is the one that is switched on.
func nodes(with7 bool) []dbNode {
	list := []dbNode{{"db1", "127.0.0.11", 0}, {"db2", "127.0.0.12", 0}, {"db3", "127.0.0.13", 0}}
	if with7 {
		list = append(list, dbNode{"db7", "127.0.0.17", 0})
	}
	return append(list, dbNode{"db4", "127.0.0.14", 1}, dbNode{"db5", "127.0.0.15", 1}, dbNode{"db6", "127.0.0.16", 1})
}

// inventoryText is the operators' file, in the layout of deploy/inventory.yaml.
func inventoryText(port int, list []dbNode) string {
	var b strings.Builder
	fmt.Fprintf(&b, "database:\n  vars:\n    postgresql_port: %d\n  hosts:\n", port)
	for _, n := range list {
		fmt.Fprintf(&b, "    %s:\n      ansible_host: %s\n      cluster: %d\n", n.name, n.host, n.cluster)
	}
	return b.String()
}

// writeFile is the operators' tool, a process of its own: it writes the text of standard input into a file, piece by piece: a key, then
// its value. Before the last piece it says so on standard output.
func writeFile(path string) error {
	var pieces []string
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		pieces = append(pieces, strings.SplitAfter(in.Text()+"\n", ": ")...)
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	for i, piece := range pieces {
		if i == len(pieces)-1 {
			fmt.Println("last")
			time.Sleep(10 * writePieceTime)
		}
		if _, err := f.WriteString(piece); err != nil {
			return err
		}
		time.Sleep(writePieceTime)
	}
	return f.Close()
}

// runTool has the tool write the file. If it is to die, it is killed before the last piece.
func (p *play) runTool(path, text string, dies bool) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	cmd := exec.Command(self, "write-file", path)
	cmd.Stdin = strings.NewReader(text)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	if _, err := bufio.NewReader(out).ReadString('\n'); err != nil {
		return err
	}
	if !dies {
		err := cmd.Wait()
		p.rec.line("tool: the file is written whole")
		return err
	}
	_ = cmd.Process.Kill()
	_ = cmd.Wait()
	written, err := os.ReadFile(path)
	p.rec.line("tool: killed; the file holds %d of %d bytes and ends in %q", len(written), len(text), string(written[max(len(written)-60, 0):]))
	return err
}

// misrouted counts the statements that ran in another cluster than the one they name.
type misrouted struct {
	mu            sync.Mutex
	writes, reads int
}

func (m *misrouted) add(write bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if write {
		m.writes++
	} else {
		m.reads++
	}
}

// startNodes starts the servers of a list on one port.
func (p *play) startNodes(list []dbNode, wrong *misrouted) (port int, err error) {
	listeners, port, err := listenOnOnePort(list)
	if err != nil {
		return 0, err
	}
	for i, n := range list {
		s := &pgServer{id: n.name, addr: listeners[i].Addr().String(), cores: make(chan struct{}, 3), rec: p.rec,
			primary: n.name == "db1" || n.name == "db6"}
		s.work = func(string) time.Duration { return 20 * time.Millisecond }
		s.run = func(text string) string {
			if commentField(text, "cluster") != strconv.Itoa(n.cluster) {
				wrong.add(strings.HasPrefix(text, "INSERT"))
				p.rec.line("%s of cluster %d runs what is for another cluster: %s", n.name, n.cluster, text)
			}
			return fmt.Sprintf("cluster %d", n.cluster)
		}
		go s.acceptFrom(listeners[i])
	}
	return port, nil
}

// listenOnOnePort listens on one port at the addresses of all servers.
func listenOnOnePort(list []dbNode) ([]net.Listener, int, error) {
	var last error
	for range 50 {
		first, err := net.Listen("tcp", list[0].host+":0")
		if err != nil {
			return nil, 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		listeners := []net.Listener{first}
		for _, n := range list[1:] {
			var l net.Listener
			if l, last = net.Listen("tcp", net.JoinHostPort(n.host, strconv.Itoa(port))); last != nil {
				break
			}
			listeners = append(listeners, l)
		}
		if len(listeners) == len(list) {
			return listeners, port, nil
		}
		for _, l := range listeners {
			l.Close()
		}
	}
	return nil, 0, fmt.Errorf("no port is free at all addresses: %w", last)
}

// commentField is a value in a statement's comment.
func commentField(text, name string) string {
	_, rest, _ := strings.Cut(text, ","+name+"=")
	value, _, _ := strings.Cut(rest, ",")
	value, _, _ = strings.Cut(value, " ")
	return value
}

// membership is the deploy file of the server lists, with the PostgreSQL frontend's file named.
func (p *play) membership(path string) (map[string]any, error) {
	text, err := os.ReadFile(filepath.Join(p.root, "deploy", "membership.json"))
	if err != nil {
		return nil, err
	}
	var m map[string]any
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, err
	}
	m["enabled"] = true
	m["postgres"] = map[string]any{"file": path, "discovery": ""}
	m["mysql"] = map[string]any{"file": "", "discovery": ""}
	return m, nil
}

// halfWritten: the tool that writes the operators' file dies before it has written the end, while clients of two clusters read and write.
func (p *play) halfWritten() (string, error) {
	var wrong misrouted
	port, err := p.startNodes(nodes(true), &wrong)
	if err != nil {
		return "", err
	}
	path := filepath.Join(p.dir, "inventory.yaml")
	if err := os.WriteFile(path, []byte(inventoryText(port, nodes(false))), 0o644); err != nil {
		return "", err
	}
	listen, err := freeAddr()
	if err != nil {
		return "", err
	}
	lists, err := p.membership(path)
	if err != nil {
		return "", err
	}
	unused, err := freeAddr() // discovery is not asked where a file names the servers
	if err != nil {
		return "", err
	}
	pl, err := startPooler(p.root, p.dir, map[string]any{
		"PROXY_CONFIG":     poolerConfig(listen, unused, 192, 1024, settings(), nil),
		"PROXY_MEMBERSHIP": lists,
	})
	if err != nil {
		return "", err
	}
	defer pl.stop()
	if err := waitUntil(10*time.Second, func() error { return pgIsReady(listen) }); err != nil {
		return "", err
	}
	time.Sleep(time.Second) // the pooler finds the primaries
	served, err := p.fileClients(listen, func() error { return p.runTool(path, inventoryText(port, nodes(true)), p.trouble) })
	if err != nil {
		return "", err
	}
	p.rec.line("clients: %d answers; run in the wrong cluster: %d writes, %d reads", served, wrong.writes, wrong.reads)
	if wrong.writes+wrong.reads > 0 {
		return fmt.Sprintf("servers of one cluster ran %d writes and %d reads that name the other", wrong.writes, wrong.reads), nil
	}
	return "", nil
}

// fileClients has clients of both clusters send, and a change of the file made meanwhile. It returns how many requests were served.
func (p *play) fileClients(listen string, change func() error) (served int, err error) {
	end := time.Now().Add(fileRoundTime)
	results := make(chan error, 2*fileClients)
	var mu sync.Mutex
	for cluster := range 2 {
		for client := range fileClients {
			go func() {
				n, err := p.fileClient(listen, cluster, client, end)
				mu.Lock()
				served += n
				mu.Unlock()
				results <- err
			}()
		}
	}
	time.Sleep(time.Second)
	err = change()
	for range 2 * fileClients {
		err = errors.Join(err, <-results)
	}
	return served, err
}

// fileClient sends reads and writes of one cluster in turn.
func (p *play) fileClient(listen string, cluster, client int, end time.Time) (served int, err error) {
	c, err := dialPG(listen)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	for k := 0; time.Now().Before(end); k++ {
		id := fmt.Sprintf("%04x%04x%08x", cluster+1, client, k)
		text := fmt.Sprintf("SELECT val FROM state WHERE uid = '%s' /* id=%s,c=catalogue-read,d=1500,cluster=%d */", id, id, cluster)
		if k%2 == 1 {
			text = fmt.Sprintf("INSERT INTO state (uid, val) VALUES ('%s', '\\x01') RETURNING val /* id=%s,c=booking-write,d=3000,k=%s,cluster=%d */",
				id, id, id, cluster)
		}
		p.rec.line("client %d of cluster %d: sends %s", client, cluster, text)
		if err := copyAll(c, pgQuery(text)); err != nil {
			return served, err
		}
		a, err := c.answer()
		if err != nil {
			return served, err
		}
		if a.served {
			served++
		}
		p.rec.line("client %d of cluster %d: answer to %s: %v %s", client, cluster, id, a, a.value)
		time.Sleep(fileRequestTime/2 + rand.N(fileRequestTime))
	}
	return served, nil
}
