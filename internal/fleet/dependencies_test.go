package fleet

import (
	"os/exec"
	"strings"
	"testing"
)

// The package does not depend on the assembled pooler: the types that the two exchange are in package coordination.
func TestIndependentOfPooler(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for pkg := range strings.Lines(string(out)) {
		if pkg = strings.TrimSpace(pkg); strings.HasPrefix(pkg, "threadsail/internal/pooler") {
			t.Errorf("package fleet depends on %s", pkg)
		}
	}
}
