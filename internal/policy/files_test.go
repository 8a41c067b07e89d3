package policy

import (
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

// The policy files are those that deploy/balancer.toml names: each is there, and short enough to be read at once.
func TestLineLimits(t *testing.T) {
	const maxLines, maxColumns = 400, 110
	deploy, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	_, list, _ := strings.Cut(string(deploy), "\npolicy = [")
	list, _, _ = strings.Cut(list, "]")
	for _, name := range strings.Split(list, ",") {
		name = strings.Trim(name, ` "`)
		text, err := os.ReadFile("../../" + name)
		if err != nil {
			t.Fatal(err)
		}
		lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
		if len(lines) > maxLines {
			t.Errorf("%s has %d lines, want %d at most", name, len(lines), maxLines)
		}
		for at, line := range lines {
			if n := utf8.RuneCountInString(line); n > maxColumns {
				t.Errorf("%s: line %d has %d characters, want %d at most", name, at+1, n, maxColumns)
			}
		}
	}
}
