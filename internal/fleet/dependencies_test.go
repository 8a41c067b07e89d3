package fleet

import (
	"os/exec"
	"strings"
	"testing"
)

// The fleet does not depend on the assembled pooler: what the two exchange stands below both, in package coordination.
func TestIndependentOfPooler(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for pkg := range strings.Lines(string(out)) {
		if pkg = strings.TrimSpace(pkg); strings.HasPrefix(pkg, "threadsail/internal/pooler") {
			t.Errorf("it depends on %s", pkg)
		}
	}
}
