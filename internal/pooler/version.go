package pooler

import (
	"runtime/debug"
	"strings"
	"time"
)

// BuildVersion returns the version that a program reports of itself: what its build was stamped with (-ldflags "-X
// main.version=v1.4.0"), else what the Go command knows of its module, else a version made of the commit that it was built from,
// below every v0.0.1; "(devel)", which is below every version, if it was built without any of these.
func BuildVersion(stamped string) string {
	if stamped != "" {
		return stamped
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return develVersion
	}
	return versionOf(info)
}

const develVersion = "(devel)"

func versionOf(info *debug.BuildInfo) string {
	if v := info.Main.Version; v != "" && v != develVersion {
		return v
	}
	set := map[string]string{}
	for _, s := range info.Settings {
		set[s.Key] = s.Value
	}
	at, err := time.Parse(time.RFC3339, set["vcs.time"])
	if err != nil || len(set["vcs.revision"]) < 12 {
		return develVersion
	}
	v := strings.Join([]string{"v0.0.0", at.UTC().Format("20060102150405"), set["vcs.revision"][:12]}, "-")
	if set["vcs.modified"] == "true" {
		v += "+dirty"
	}
	return v
}
