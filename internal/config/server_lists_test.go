package config

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"threadsail/internal/serverlist"
)

// The file of the server lists is completed by defaults, and an error names its key.
func TestServerLists(t *testing.T) {
	text := `{"enabled":true,"postgres":{"file":"a.csv"},"mysql":{"discovery":"127.0.0.1:1"},"state":"s","seal":"required",
"settle_ms":0,"settle_removal_ms":10,"hold_ms":0,"hold_share":0.5,"keep":2,"poll_ms":50}`
	got, err := parseServerLists([]byte(text))
	want := &ServerLists{Postgres: ListSource{File: "a.csv"}, MySQL: ListSource{DiscoveryAddr: "127.0.0.1:1"}, ArchiveDir: "s",
		PollInterval: 50 * time.Millisecond, Policy: serverlist.Policy{RemovalSettleTime: 10 * time.Millisecond, MaxLossShare: 0.5, RequireSeal: true, MaxGenerations: 2}}
	if d := cmp.Diff(want, got); d != "" || err != nil {
		t.Error(err, d)
	}
	for key, change := range map[string][2]string{
		"postgres: file and": {`"file":"a.csv"`, `"file":"a.csv","discovery":"127.0.0.1:1"`}, "mysql.discovery": {"127.0.0.1:1", "x"},
		"seal": {"required", "maybe"}, "settle_ms": {`"settle_ms":0`, `"settle_ms":-1`}, "hold_share": {"0.5", "1.5"}, "hold_shar": {"hold_share", "hold_shar"},
		"keep": {`"keep":2`, `"keep":0`}, "poll_ms": {"50", "5"}, "follows": {`50}`, `50}{}`}, "state": {`"s"`, `7`},
	} {
		if _, err := parseServerLists([]byte(strings.Replace(text, change[0], change[1], 1))); err == nil || !strings.Contains(strings.ToLower(err.Error()), key) {
			t.Errorf("%s: %v", key, err)
		}
	}
	if shipped, err := os.ReadFile("../../" + ServerListsFile); err != nil {
		t.Error(err)
	} else if off, err := parseServerLists(shipped); cmp.Diff(defaultServerLists(), off) != "" || err != nil {
		t.Error("the shipped file is not off, or wrong:", err)
	}
}
