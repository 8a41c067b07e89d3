package main

import (
	"encoding/json"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"threadsail/internal/config"
	"threadsail/internal/goldentest"
	"threadsail/internal/lab"
	"threadsail/internal/lab/standin"
)

const adminPort = 12000

// startPoolers starts a voter, which is the distributor where distributes says so, and two more poolers, and gives the addresses at
// which operators call them.
func startPoolers(t *testing.T, distributes bool) (admins []string) {
	t.Helper()
	servers := standin.NewFleet(t, false, nil, "db1", "db2")
	block := lab.ClaimBlock(t)
	name := func(i int) string { return []string{"n1", "n2", "n3"}[i] }
	for i := range 3 {
		dir := t.TempDir()
		fleet := map[string]any{"enabled": true, "name": name(i), "listen": block.Addr(i, lab.GossipPort), "term_ms": 1000, "drift_ms": 30,
			"peers":    []config.Peer{{Name: name(0), Addr: block.Addr(0, lab.GossipPort)}},
			"stewards": []config.Peer{{Name: name(0), Addr: block.Addr(0, lab.StewardPort)}},
			"limits":   map[string]any{"revision": 1, "list": []config.Limit{{Name: "all", Target: config.LimitRequests, Rate: 100, Reserve: 0.5}}},
			"verdicts": map[string]any{"enabled": true}}
		if i == 0 {
			fleet["steward"] = config.VoterConfig{Listen: block.Addr(0, lab.StewardPort), Dir: filepath.Join(dir, "steward")}
		}
		if distributes {
			part := config.DistributionConfig{Distributors: []config.Distributor{{Name: name(0), Addr: block.Addr(0, lab.StreamPort)}}}
			if i == 0 {
				part.Listen = block.Addr(0, lab.StreamPort)
			}
			fleet["distribution"] = part
		}
		var pooler map[string]any
		text, err := os.ReadFile(servers.Env["PROXY_CONFIG"])
		if err == nil {
			err = json.Unmarshal(text, &pooler)
		}
		if err != nil {
			t.Fatal(err)
		}
		pooler["admin"] = block.Addr(i, adminPort)
		cmd := exec.Command(os.Args[0], "serve")
		cmd.Env = append(os.Environ(), "THREADSAIL_TEST_RUN=1", "PROXY_MYSQL="+servers.Env["PROXY_MYSQL"], "PROXY_MEMBERSHIP="+servers.Env["PROXY_MEMBERSHIP"],
			"PROXY_CONFIG="+writeJSON(t, dir, "config.json", pooler), "PROXY_FLEET="+writeJSON(t, dir, "fleet.json", fleet))
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = cmd.Process.Signal(syscall.SIGTERM)
			_ = cmd.Wait()
		})
		admins = append(admins, block.Addr(i, adminPort))
	}
	return admins
}

func writeJSON(t *testing.T, dir, name string, value any) string {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// ask makes one call at the operators' port; empty: nobody answers there yet.
func ask(addr, call string) string {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(c, call)
	answer, _ := io.ReadAll(c)
	return string(answer)
}

var valueAtEnd = regexp.MustCompile(` \d+$`)

// names adds the names and labels of an answer's figures to those that were seen, in order.
func names(seen []string, answer string) []string {
	for line := range strings.Lines(answer) {
		if name := valueAtEnd.ReplaceAllString(strings.TrimSpace(line), ""); !slices.Contains(seen, name) {
			seen = append(seen, name)
		}
	}
	slices.Sort(seen)
	return seen
}

// The figures of a fleet's poolers keep their names and labels, by either mechanism, the kinds of messages among them. More kinds may
// be told than were recorded: which ones come within the test's time is not certain of all.
func TestStoredAdminNames(t *testing.T) {
	for mechanism, distributes := range map[string]bool{"gossip": false, "distribution": true} {
		t.Run(mechanism, func(t *testing.T) {
			t.Parallel()
			file := mechanism + "-admin.txt"
			text, err := os.ReadFile(filepath.Join("testdata", file))
			if err != nil && !goldentest.Recording() {
				t.Fatal(err)
			}
			want := strings.Split(strings.TrimSpace(string(text)), "\n")
			admins := startPoolers(t, distributes)
			var seen []string
			missing := func() []string {
				return slices.DeleteFunc(slices.Clone(want), func(name string) bool { return slices.Contains(seen, name) })
			}
			for until := time.Now().Add(20 * time.Second); time.Now().Before(until) && (goldentest.Recording() || len(missing()) > 0); time.Sleep(100 * time.Millisecond) {
				for _, addr := range admins {
					seen = names(seen, ask(addr, "INFO\n"))
				}
			}
			if goldentest.Recording() {
				goldentest.Check(t, file, goldentest.Lines(seen))
			} else if lacks := missing(); len(lacks) > 0 {
				t.Errorf("no pooler tells\n%s", strings.Join(lacks, "\n"))
			}
			if got := ask(admins[0], "PING\n"); got != "done\n" {
				t.Errorf("PING got %q", got)
			}
		})
	}
}
