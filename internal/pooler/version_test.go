package pooler

import (
	"runtime/debug"
	"slices"
	"testing"

	"golang.org/x/mod/semver"
)

func TestBuildVersion(t *testing.T) {
	commit := []debug.BuildSetting{{Key: "vcs.revision", Value: "0123456789abcdef"}, {Key: "vcs.time", Value: "2026-12-02T01:02:03+01:00"}}
	dirty := slices.Concat(commit[:2], []debug.BuildSetting{{Key: "vcs.modified", Value: "true"}})
	for _, c := range []struct {
		version string
		vcs     []debug.BuildSetting
		want    string
	}{
		{"v1.4.0", commit, "v1.4.0"},
		{"(devel)", commit, "v0.0.0-20261202000203-0123456789ab"},
		{"", dirty, "v0.0.0-20261202000203-0123456789ab+dirty"},
		{"(devel)", nil, "(devel)"},
		{"", commit[:1], "(devel)"},
	} {
		got := versionOf(&debug.BuildInfo{Main: debug.Module{Version: c.version}, Settings: c.vcs})
		if got != c.want || got != "(devel)" && !semver.IsValid(got) {
			t.Errorf("%s %v: %s, want %s", c.version, c.vcs, got, c.want)
		}
	}
	if BuildVersion("v9.9.9") != "v9.9.9" {
		t.Error("a stamp does not count")
	}
}
