package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// The file of the MySQL frontend is completed by defaults, and an error names its key.
func TestMySQL(t *testing.T) {
	text := `{"enabled":true,"listen":"127.0.0.1:3306","inventory":"i.csv","user":"u","reload_ms":50,
"defaults":{"read":{"class":"r"},"write":{"class":"w","cluster":2}}}`
	classes := []string{"r", "w"}
	got, err := parseMySQL([]byte(text), classes, false)
	want := &MySQL{Listen: "127.0.0.1:3306", Inventory: "i.csv", User: "u", ReadDefault: StatementDefault{"r", 0}, WriteDefault: StatementDefault{"w", 2},
		ReloadInterval: 50 * time.Millisecond, ProbeTimeout: defaultProbeTimeout, Postgres: Postgres{User: "u", Database: "core"}}
	if d := cmp.Diff(want, got); d != "" || err != nil {
		t.Error(err, d)
	}
	for key, change := range map[string][2]string{
		"listen": {"127.0.0.1:3306", ":x"}, "inventory": {"i.csv", ""}, "user": {`"u"`, `""`},
		"defaults.read.class": {`"r"`, `"q"`}, "defaults.write.cluster": {`"cluster":2`, `"cluster":-2`}, "reload_ms": {"50", "-50"},
		"colour": {`"user"`, `"colour"`},
	} {
		if _, err := parseMySQL([]byte(strings.Replace(text, change[0], change[1], 1)), classes, false); err == nil ||
			!strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
	if off, err := parseMySQL([]byte(`{"enabled":false}`), classes, false); off != nil || err != nil {
		t.Error(off, err)
	}
	path := filepath.Join(t.TempDir(), "missing.json")
	if _, err := LoadMySQL(func(string) string { return path }, &Config{ServerLists: defaultServerLists()}); err == nil {
		t.Error("a file that is named but missing passes")
	}
	if shipped, err := os.ReadFile("../../" + MySQLFile); err != nil {
		t.Error(err)
	} else if off, err := parseMySQL(shipped, nil, false); off != nil || err != nil {
		t.Error("the shipped file is not off, or wrong:", err)
	}
}
