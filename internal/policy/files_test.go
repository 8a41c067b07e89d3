package policy

import (
	"os"
	"strings"
	"testing"
	"unicode/utf8"
)

// Checks that each policy file listed in deploy/balancer.toml exists and does not exceed the limits of lines
// and columns.
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
			t.Errorf("%s has %d lines, want at most %d", name, len(lines), maxLines)
		}
		for index, line := range lines {
			if columns := utf8.RuneCountInString(line); columns > maxColumns {
				t.Errorf("%s: line %d has %d characters, want at most %d", name, index+1, columns, maxColumns)
			}
		}
	}
}
