package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"threadsail/internal/jsonfile"
	"threadsail/internal/policy"
	"threadsail/internal/protocol/discovery"
)

const validConfig = `{"name":"n3","listen":"127.0.0.4:6432","admin":"127.0.0.4:12000","discovery":"127.2.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":64,"sockets":512},"known":{"revision":41,"complete":true,"members":[]},
"settings":{"zones":["a"],"caps":{"maxOpen":7,"connIdleMs":9000},"report":{"how":"probe","fields":["x0"]},
"familyInfo":{"classRead":["mutate"]},"lanes":[{"name":"w","semantics":"guarded","hardLimitMs":3000}]}}`

func noEnvironment(string) string { return "" }

func TestParse(t *testing.T) {
	got, err := parse([]byte(validConfig), noEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	want := &Config{Name: "n3", Listen: "127.0.0.4:6432", Admin: "127.0.0.4:12000", DiscoveryAddr: "127.2.0.1:8500", Seed: 0x8c1f30d27a5be964,
		ProcessLimits: ProcessLimits{MemoryBytes: 64 << 20, MaxSockets: 512}, KnownServers: discovery.List{Revision: 41, Complete: true, Members: []discovery.Member{}},
		Zones: []string{"a"}, HealthReported: true, ServerConnections: ServerConnections{MaxConnections: 7, IdleTimeout: 9 * time.Second, ConnectTimeout: defaultConnectTimeout},
		Settings: policy.Settings{Classes: []policy.Class{{Name: "w", Access: policy.Write, Idempotency: policy.IdempotentByKey,
			DedupScope: policy.DedupInGroup, TotalTimeout: 3 * time.Second}}}}
	if d := cmp.Diff(want, got, cmpopts.IgnoreFields(Config{}, "shape", "Digest")); d != "" {
		t.Error(d)
	}
}

func TestParseNamesTheKey(t *testing.T) {
	for key, change := range map[string][2]string{
		"listen":          {`"127.0.0.4:6432"`, `"nowhere"`},
		"discovery":       {`"127.2.0.1:8500"`, `""`},
		"admin":           {`"127.0.0.4:12000"`, `"door"`},
		"seed":            {"8c1f", "xyz"},
		"limits.sockets":  {"512", "3"},
		"memory_mb":       {`"memory_mb":64`, `"memory_mb":"much"`},
		"known":           {`"members":[]`, `"members":[{}]`},
		"settings":        {`"settings"`, `"others"`},
		"semantics":       {"guarded", "twice"},
		"classRead":       {"mutate", "maybe"},
		"lanes":           {`"lanes"`, `"lines"`},
		"hardLimitMs":     {"3000", "0"},
		"limitMs: not":    {"3000", "-3000"},
		"lanes[0].name":   {`"name":"w"`, `"name":""`},
		"classRead: 2":    {`["mutate"]`, `["mutate","mutate"]`},
		"maxOpen":         {`"maxOpen":7`, `"maxOpen":-7`},
		"lanes.name":      {`"name":"w"`, `"name":5`},
		"unexpected end":  {validConfig[len(validConfig)-1:], ""},
		"DrainGrace":      {`"zones":["a"]`, `"contract":{"drainGraceMs":-1}`},
		"report.how":      {`"how":"probe"`, `"how":7`},
		"familyInfo.behi": {`"familyInfo":{`, `"familyInfo":{"behind":"sleeps",`},
	} {
		text := strings.Replace(validConfig, change[0], change[1], 1)
		if key == "unexpected end" {
			text = validConfig[:len(validConfig)-1]
		}
		if _, err := parse([]byte(text), noEnvironment); err == nil || !strings.Contains(strings.ToLower(err.Error()), strings.ToLower(key)) {
			t.Errorf("%s: %v", key, err)
		}
	}
	for _, fd := range []string{"x", "-1", "2"} {
		getenv := func(name string) string { return map[string]string{"PROXY_FD": fd}[name] }
		if _, err := parse([]byte(validConfig), getenv); err == nil || !strings.Contains(err.Error(), "PROXY_FD") {
			t.Errorf("%s: %v", fd, err)
		}
	}
	if _, err := Load(noEnvironment); err == nil || !strings.Contains(err.Error(), "PROXY_CONFIG") {
		t.Error(err)
	}
}

// What a file has wrong is named by file, line and key; what it lacks, by the line of what should hold it.
func TestFilesNameTheLine(t *testing.T) {
	dir := t.TempDir()
	files := map[string]string{"PROXY_CONFIG": validConfig, "PROXY_MEMBERSHIP": "{\n\"enabled\":true,\n\"keep\":2}",
		"PROXY_MYSQL": "{\"enabled\":true,\"listen\":\"127.0.0.1:1\",\"inventory\":\"i\",\n\"user\":\"u\",\"defaults\":{\n\"read\":{\"class\":\"w\"},\"write\":{\"class\":\"w\"}}}"}
	getenv := func(name string) string {
		if files[name] == "" {
			return ""
		}
		return filepath.Join(dir, name)
	}
	for _, c := range []struct{ file, old, new, want string }{
		{"PROXY_CONFIG", "", "", ""},
		{"PROXY_CONFIG", `6432"`, `64x"`, ":1: listen: "},
		{"PROXY_CONFIG", `"listen"`, `"listens"`, ": listen: missing"},
		{"PROXY_CONFIG", `:512`, `:3`, ":2: limits.sockets: 3 is under 32"},
		{"PROXY_CONFIG", `:512`, `:1e30`, ":2: limits.sockets: a number 1e30 does not fit"},
		{"PROXY_CONFIG", `:64,`, `:1e999,`, ":2: limits.memory_mb: a number 1e999 does not fit"},
		{"PROXY_CONFIG", `[]`, "[{\"id\":\"a\",\"host_port\":\"b\",\"phase\":\"Ready\"},\n{\"phase\":\"Odd\"}]", `:3: known.members[1].phase: unknown word "Odd"`},
		{"PROXY_CONFIG", `9000`, `-9000`, ":3: settings.caps.connIdleMs: -9000 is below 0"},
		{"PROXY_CONFIG", `3000`, `3000,"worth":-1`, ":4: settings.lanes[0].worth: -1 is below 0"},
		{"PROXY_CONFIG", `3000`, `"x"`, ":4: settings.lanes.hardLimitMs: a string does not fit"},
		{"PROXY_CONFIG", `"mutate"`, `"mutated"`, `:4: settings.familyInfo.classRead[0]: unknown word "mutated"`},
		{"PROXY_CONFIG", `"familyInfo":{`, `"familyInfo":{"tokens":"worn",`, `:4: settings.familyInfo.tokens: unknown word "worn"`},
		{"PROXY_CONFIG", `"zones"`, `"discovery":"aks","zones"`, `:3: settings.discovery: unknown word "aks"`},
		{"PROXY_CONFIG", `"zones"`, `"contract":{"coldFrom":2},"zones"`, ":3: settings.contract.coldFrom: 2 is no share"},
		{"PROXY_CONFIG", `"zones"`, `"zones`, ":3: invalid character"},
		{"PROXY_MEMBERSHIP", `2`, `0`, ":3: keep: 0 is not from 1"},
		{"PROXY_MEMBERSHIP", `"keep"`, `"kept"`, `:3: json: unknown field "kept"`},
		{"PROXY_MEMBERSHIP", `2}`, "2}\n7", ":4: text follows"},
		{"PROXY_MYSQL", `"u"`, `7`, ":2: user: a number does not fit"},
		{"PROXY_MYSQL", `"class":"w"}}`, `"class":"v"}}`, `:3: defaults.write.class: "v" is no class`},
	} {
		for name, text := range files {
			if name == c.file {
				text = strings.Replace(text, c.old, c.new, 1)
			}
			if err := os.WriteFile(getenv(name), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		cfg, err := Load(getenv)
		if err == nil {
			_, err = LoadMySQL(getenv, cfg)
		}
		if (err == nil) != (c.want == "") || err != nil && !strings.HasPrefix(err.Error(), getenv(c.file)+c.want) {
			t.Errorf("%s with %s: %v, want %s", c.file, c.new, err, c.want)
		}
	}
}

// A file that is half written, or wrong in part, must be turned down whole: nothing is defaulted at a reload.
func TestReloadIsStrict(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	env := map[string]string{"PROXY_CONFIG": path, "PROXY_LISTEN": "127.0.0.9:1", "PROXY_DISCOVERY": "127.0.0.9:2"}
	getenv := func(name string) string { return env[name] }
	whole := strings.Replace(validConfig, `"maxOpen":7`, `"maxOpen":7,"maxAttempts":6`, 1)
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(whole)
	inForce, err := Load(getenv)
	if err != nil {
		t.Fatal(err)
	}
	second := strings.Replace(whole, `["mutate"]},"lanes":[`, `["eventual","mutate"]},"lanes":[{"name":"r","semantics":"free","hardLimitMs":9},`, 1)
	second = strings.Replace(second, `"zones"`, `"contract":{"onlyDrainingBinds":true},"zones"`, 1)
	second = strings.Replace(second, `"members":[]`, `"members":[{"id":"s","host_port":"127.0.0.1:1","phase":"Ready"}]`, 1)
	if write(second); second != whole {
		next, err := inForce.Reload(getenv)
		if err != nil {
			t.Fatal(err)
		}
		write(strings.Replace(whole, `"zones"`, `"contract":{},"zones"`, 1)) // fewer classes, no known servers, and all leaving binds
		if _, err := next.Reload(getenv); err != nil {
			t.Error(err)
		}
	}
	for change, key := range map[[2]string]string{
		{whole, ""}:                                          "unexpected end",
		{whole[len(whole)/2:], ""}:                           "unexpected end",
		{`"listen":"127.0.0.4:6432",`, ""}:                   "listen: missing",
		{`"discovery":"127.2.0.1:8500",`, ""}:                "discovery: missing",
		{`"discovery":"127.2.0.1:8500"`, `"discovery":null`}: "discovery: missing",
		{`"seed":"8c1f30d27a5be964",`, ""}:                   "seed: missing",
		{`"sockets":512`, `"others":512`}:                    "limits.sockets: missing",
		{`"caps"`, `"hats"`}:                                 "settings.caps: missing",
		{`"connIdleMs":9000`, `"idle":9000`}:                 "settings.caps.connIdleMs: missing",
		{`,"maxAttempts":6`, ""}:                             "settings.caps.maxAttempts: missing",
		{`"maxAttempts":6`, `"maxAttempts":0`}:               "maxAttempts: not above 0",
		{`"maxAttempts":6`, `"maxAttempts":-1`}:              "caps.maxAttempts: -1 is below 0",
		{`"maxAttempts":6`, `"maxAttempts":"many"`}:          "maxAttempts",
		{`"maxAttempts":6`, `"maxAttempts":2.5`}:             "maxAttempts",
		{`"hardLimitMs":3000`, `"hardLimitMs":0`}:            "hardLimitMs: not above 0",
		{`"hardLimitMs":3000`, `"hardLimitMs":"x"`}:          "hardLimitMs",
		{`,"hardLimitMs":3000`, ""}:                          "hardLimitMs",
		{`"settings"`, `"setting"`}:                          "settings: missing",
	} {
		write(strings.Replace(whole, change[0], change[1], 1))
		if _, err := inForce.Reload(getenv); err == nil || !strings.Contains(strings.ToLower(err.Error()), strings.ToLower(key)) {
			t.Errorf("%q for %.40q: %v, want %s", change[1], change[0], err, key)
		}
	}
}

func FuzzShape(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s := jsonfile.ShapeOf(text); missingKey(s, s) != nil {
			t.Errorf("%q is not within itself", text)
		}
	})
}
