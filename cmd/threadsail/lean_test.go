package main

import (
	"os/exec"
	"strings"
	"testing"
)

// The program of a pooler that is on its own is linked without what only a fleet needs: it has down to 16 MB.
func TestLean(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for pkg := range strings.Lines(string(out)) {
		pkg = strings.TrimSpace(pkg)
		for _, heavy := range []string{"github.com/hashicorp/", "go.etcd.io/", "github.com/maypok86/otter", "go.uber.org/goleak",
			"threadsail/internal/fleet/consensus", "threadsail/internal/fleet/gossip",
			"threadsail/internal/fleet/distribution", "threadsail/internal/capacity"} {
			if strings.HasPrefix(pkg, heavy) {
				t.Errorf("it is linked with %s", pkg)
			}
		}
	}
}
