package scenario

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestScenario(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{`{"poolers": 4, "servers": 2, "length_ms": 1000, "steps": [{"at_ms": 10, "act": "kill", "poolers": "0-1", "for_ms": 100}]}`, ""},
		{"{\"poolers\": 4, \"servers\": 2, \"length_ms\": 1000,\n \"steps\": [\n{\"at_ms\": 10, \"act\": \"kill\", \"poolers\": \"0\"},\n  {\"act\": \"boom\", \"poolers\": \"0\"}]}", ":4: steps[1].act"},
		{"{\"poolers\": 4, \"servers\": 2, \"length_ms\": 1000,\n\"steps\": [{\"act\": \"cut\", \"poolers\": \"9\", \"servers\": \"0\"}]}", ":2: steps[0].poolers"},
		{"{\"poolers\": 4, \"servers\": 2, \"length_ms\": 1000,\n\"steps\": [{\"act\": \"cut\", \"poolers\": \"0\", \"servers\": \"0\", \"at_ms\": 2000}]}", ":2: steps[0].at_ms"},
		{"{\"poolers\": 4, \"servers\": 2, \"length_ms\": 1000, \"fleet\": {\"stewards\": 3, \"relays\": true},\n\"steps\": [{\"act\": \"stop\", \"poolers\": \"holder\", \"for_ms\": 9}, {\"act\": \"isolate\", \"poolers\": \"0\"}]}", ""},
		{"{\"poolers\": 4, \"servers\": 2, \"length_ms\": 1000,\n\"steps\": [{\"act\": \"stop\", \"poolers\": \"holder\"}]}", ":2: steps[0].poolers: holder"},
		{"{\"poolers\": 4, \"servers\": 2, \"length_ms\": 1000,\n\"steps\": [{\"act\": \"isolate\", \"poolers\": \"0\"}]}", ":2: steps[0].act: isolate needs"},
		{`{"poolers": 4, "servers": 2, "length_ms": 1000, "fleet": {"stewards": 2}}`, "fleet.stewards"},
		{"{\"poolers\": 4, \"servers\": 2, \"length_ms\": 1000, \"fleet\": {\"stewards\": 1, \"distributors\": 2, \"regions\": 2, \"relays\": true},\n\"steps\": [{\"act\": \"wipe\", \"poolers\": \"1-3\", \"for_ms\": 9}, {\"act\": \"mute\", \"poolers\": \"0\", \"for_ms\": 9}, {\"act\": \"deaf\", \"poolers\": \"0\", \"for_ms\": 9}]}", ""},
		{"{\"poolers\": 4, \"servers\": 2, \"length_ms\": 1000, \"fleet\": {\"stewards\": 1},\n\"steps\": [{\"act\": \"wipe\", \"poolers\": \"0\"}]}", ":2: steps[0].poolers: wipe"},
		{"{\"poolers\": 4, \"servers\": 2, \"length_ms\": 1000,\n\"steps\": [{\"act\": \"mute\", \"poolers\": \"0\"}]}", ":2: steps[0].act: mute needs"},
		{`{"poolers": 4, "servers": 2, "length_ms": 1000, "fleet": {"stewards": 3, "distributors": 2}}`, "fleet.distributors"},
		{`{"poolers": 4, "servers": 2, "length_ms": 1000, "fleet": {"stewards": 1, "distributors": 5}}`, "fleet.distributors"},
		{`{"poolers": 4, "servers": 2, "length_ms": 1000, "fleet": {"stewards": 1, "regions": 10}}`, "fleet.regions"},
		{"{\"poolers\": 4,\n \"servers\": \"two\"}", ":2: servers: a string"},
		{`{"poolers": 0, "servers": 2, "length_ms": 1000}`, ":1: poolers"},
		{`{"poolers": 2, "servers": 2, "length_ms": 1000, "pooler": 3}`, `unknown field "pooler"`},
		{`{"poolers": 2, "servers": 2, "length_ms": 1000, "steps": [{"act": "kill", "poolers": "all", "when": 3}]}`, `steps[0]: json: unknown field "when"`},
	} {
		path := filepath.Join(t.TempDir(), "s.json")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := Load(path)
		switch {
		case c.want == "" && (err != nil || s.Plan == nil):
			t.Errorf("%s: %v", c.text, err)
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), path)):
			t.Errorf("%s: %v, want %q", c.text, err, c.want)
		}
	}
}
