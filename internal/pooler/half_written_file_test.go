package pooler_test

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"threadsail/internal/lab/standin"
)

// listForms are the forms of a list file, by the end of its name. Each server's last value is its cluster, its place in the list.
var listForms = map[string]func(servers []*standin.Server) string{
	".csv": func(servers []*standin.Server) string {
		text := "name,host,port,cluster\n"
		for cluster, s := range servers {
			text += inventoryRow(s, strconv.Itoa(cluster))
		}
		return text
	},
	".yaml": func(servers []*standin.Server) string {
		text := "database:\n  hosts:\n"
		for cluster, s := range servers {
			host, port, _ := net.SplitHostPort(s.Addr)
			text += fmt.Sprintf("    %s:\n      ansible_host: %s\n      port: %s\n      cluster: %d\n", s.Name, host, port, cluster)
		}
		return text
	},
}

// testOverListForms runs a test on both frontends and over both forms of a list file. The test gets the file's path and a function that
// returns the text for the first servers of the fleet.
func testOverListForms(t *testing.T, test func(t *testing.T, f *standin.Fleet, path string, text func(servers int) string)) {
	for ending, format := range listForms {
		t.Run(ending, func(t *testing.T) {
			testOverFiles(t, []string{"p", "second", "third"}, func(t *testing.T, f *standin.Fleet) {
				path := strings.TrimSuffix(f.Inventory(), ".csv") + ending
				f.FromFile(map[string]any{f.Wire(): map[string]any{"file": path}, "settle_ms": 1, "settle_removal_ms": 1})
				test(t, f, path, func(servers int) string { return format(f.Servers[:servers]) })
			})
		})
	}
}

// withoutLastValue is a text whose writer has died before its last value, or before the end of its last line.
func withoutLastValue(text string) string {
	if cut, yaml := strings.CutSuffix(text, "cluster: 1\n"); yaml {
		return cut + "cluster: "
	}
	return strings.TrimSuffix(text, "\n")
}

// A file whose writer has died before its last value must end a start: a server of another cluster would get the cluster's writes.
func TestStartWithHalfWrittenFile(t *testing.T) {
	testOverListForms(t, func(t *testing.T, f *standin.Fleet, path string, text func(int) string) {
		if err := os.WriteFile(path, []byte(withoutLastValue(text(2))), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := tryServe(t, f.Getenv, nil); err == nil || !strings.Contains(err.Error(), "has no line end: the file may be half written") {
			t.Fatalf("it starts with %v", err)
		}
		if err := os.WriteFile(path, []byte(text(2)), 0o600); err != nil {
			t.Fatal(err)
		}
		expectServed(t, dial(t, poolerProcess(t, f)).Do(standin.Write("k", amplePatience)))
	})
}

// A file whose writer has died before its last value must not come into force, however long it stands, also not at SIGHUP: the next
// list in force is the whole file. Meanwhile the list in force serves.
func TestHalfWrittenFileIsHeld(t *testing.T) {
	testOverListForms(t, func(t *testing.T, f *standin.Fleet, path string, text func(int) string) {
		front := f.Wire()
		replaceFile(t, path, []byte(text(1)))
		a := poolerProcess(t, f)
		replaceFile(t, path, []byte(withoutLastValue(text(2))))
		expectInfo(t, a, `edge_proxy_list_holding{front="`+front+`"} 1`)
		f.FromFile(map[string]any{front: map[string]any{"file": path}, "settle_ms": 2, "settle_removal_ms": 2, "hold_ms": 1})
		f.Hup <- struct{}{}
		expectInfo(t, a, "edge_proxy_config_reloads 1", "edge_proxy_members 1")
		expectServed(t, dial(t, a).Do(standin.Write("k", amplePatience)))
		replaceFile(t, path, []byte(text(3)))
		expectInfo(t, a, `edge_proxy_list_holding{front="`+front+`"} 0`, `edge_proxy_list_generation{front="`+front+`"} 2`, "edge_proxy_members 3")
	})
}
