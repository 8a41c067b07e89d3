package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"threadsail/internal/goldentest"
)

// filesOfAllKeys are files that set every key there is, by the variable that names each.
var filesOfAllKeys = map[string]string{
	"PROXY_CONFIG":     "every-key-config.json",
	"PROXY_MYSQL":      "every-key-mysql.json",
	"PROXY_MEMBERSHIP": "every-key-membership.json",
	"PROXY_FLEET":      "every-key-fleet.json",
}

// loadWith reads the files of all keys, one of them with another text, and gives what the pooler is told then. Errors name the file
// without its folder.
func loadWith(t *testing.T, variable string, text []byte) (loaded any, err error) {
	t.Helper()
	dir := t.TempDir()
	getenv := func(name string) string {
		if filesOfAllKeys[name] == "" {
			return ""
		}
		return filepath.Join(dir, filesOfAllKeys[name])
	}
	for name, file := range filesOfAllKeys {
		content := readFile(t, filepath.Join("testdata", file))
		if name == variable {
			content = text
		}
		if err := os.WriteFile(getenv(name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cfg, err := Load(getenv)
	if err != nil {
		return nil, withoutFolder(err, dir)
	}
	switch variable {
	case "PROXY_MYSQL":
		var m *MySQL
		if m, err = LoadMySQL(getenv, cfg); m != nil {
			m.Path = filepath.Base(m.Path)
		}
		loaded = m
	case "PROXY_MEMBERSHIP":
		loaded = cfg.ServerLists
	case "PROXY_FLEET":
		loaded, err = LoadFleet(getenv, cfg)
	default:
		cfg.ServerLists = nil
		loaded = cfg
	}
	return loaded, withoutFolder(err, dir)
}

// saidError is an error's text without the folder of the test's files and without the names of Go types.
type saidError string

func (e saidError) Error() string { return string(e) }

var goType = regexp.MustCompile(`Go value of type .*`)

func withoutFolder(err error, dir string) error {
	if err == nil {
		return nil
	}
	return saidError(goType.ReplaceAllString(strings.ReplaceAll(err.Error(), dir+"/", ""), "Go value of some type"))
}

func readFile(t *testing.T, path string) []byte {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Each file of all keys is read as it was when it was recorded, and what is wrong with a key is told in the same words: a key that
// is renamed or no longer read shows in both.
func TestFilesAreReadAsRecorded(t *testing.T) {
	for variable, file := range filesOfAllKeys {
		name := strings.TrimSuffix(file, ".json")
		t.Run(name, func(t *testing.T) {
			text := readFile(t, filepath.Join("testdata", file))
			loaded, err := loadWith(t, variable, text)
			if err != nil {
				t.Fatal(err)
			}
			goldentest.Check(t, name+".values", []byte(goldentest.Values(loaded)))
			goldentest.Check(t, name+".mistakes", goldentest.Mistakes(t, text, func(text []byte) error {
				_, err := loadWith(t, variable, text)
				return err
			}))
		})
	}
}

// What PROXY_CONFIG's file leaves out is filled in from the environment, and then by defaults.
func TestEnvironmentIsReadAsRecorded(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, []byte(`{"settings":{"lanes":[{"name":"w","semantics":"guarded","hardLimitMs":3000}]}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	var asked []string
	cfg, err := Load(func(name string) string {
		if !slices.Contains(asked, name) {
			asked = append(asked, name)
		}
		return map[string]string{"PROXY_CONFIG": path, "PROXY_NAME": "n4", "PROXY_LISTEN": "127.0.0.5:6432", "PROXY_DISCOVERY": "127.0.0.6:8500",
			"PROXY_ADMIN": "127.0.0.7:12000", "PROXY_FD": "5"}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	// The file has a name as often as it was read, which may change; which names are read, and in which order, may not.
	recorded, values, _ := strings.Cut(string(readFile(t, "testdata/environment.values")), "\n\n")
	if d := cmp.Diff(slices.Compact(strings.Split(recorded, "\n")), asked); d != "" {
		t.Errorf("the variables that are read (- recorded, + read):\n%s", d)
	}
	if d := cmp.Diff(values, goldentest.Values(cfg)); d != "" {
		t.Errorf("the configuration (- recorded, + read):\n%s", d)
	}
}

// The limits travel between poolers in their own JSON.
func TestLimitsAreWrittenAsRecorded(t *testing.T) {
	goldentest.CheckJSON[Limits](t, "limits.json")
	text := readFile(t, "testdata/every-key-fleet.json")
	var file struct{ Limits json.RawMessage }
	if err := json.Unmarshal(text, &file); err != nil {
		t.Fatal(err)
	}
	limits, err := ParseLimits(file.Limits)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "limits.values", []byte(goldentest.Values(limits)))
}
