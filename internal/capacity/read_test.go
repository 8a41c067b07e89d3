package capacity

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// Mistakes of the plan and of the records are told with file, line and key.
func TestRead(t *testing.T) {
	plan, err := os.ReadFile("../../docs/capacity/plan.json")
	if err != nil {
		t.Fatal(err)
	}
	plan = regexp.MustCompile(`"(runs|measured|left_out|alike)": \[[^]]*\]`).ReplaceAll(plan, []byte(`"$1": []`)) // records of its own
	const key = `"gossip/rest/pooler/hollow/cpu/pooler"`
	rest := strings.NewReplacer(`"runs": []`, `"runs": ["a"]`, `"measured": []`, `"measured": [`+key+`]`).Replace
	row := func(change ...string) string {
		return strings.NewReplacer(change...).Replace("{\"name\": \"a\", \"command\": \"c\", \"commit\": \"c\", \"machine\": \"m\", \"date\": \"2026-12-02\", \"rows\": [\n" +
			"{\"mechanism\": \"gossip\", \"phase\": \"rest\", \"role\": \"pooler\", \"kind\": \"hollow\", \"figure\": \"cpu\", \"unit\": \"core\", \"per\": \"pooler\",\n" +
			"\"size\": 100, \"plays\": 3,\n\"least\": 1, \"median\": 2, \"most\": 3}]}")
	}
	for name, c := range map[string]struct{ plan, record, want string }{
		"good":                  {rest(string(plan)), row(), ""},
		"unknown key":           {strings.Replace(string(plan), `"poolers"`, `"pooler"`, 1), row(), `plan.json:2: pooler: there is no such key`},
		"a key astray":          {strings.Replace(string(plan), `"per_day": 8`, "\n\"poolers\": 8", 1), row(), `plan.json:8: primary_changes.poolers: there is no such key`},
		"no poolers":            {strings.Replace(string(plan), `"poolers": 5000`, `"poolers": 0`, 1), row(), `plan.json:2: poolers: missing, or not above 0: 0`},
		"a region without zone": {strings.Replace(string(plan), `[3, 3, 4]`, "[3,\n0, 4]", 1), row(), `plan.json:7: regions[1]: `},
		"no regions":            {strings.Replace(string(plan), `[3, 3, 4]`, "[]", 1), row(), `plan.json:6: regions: `},
		"a key left out":        {strings.Replace(string(plan), `, "within_s": 14`, "", 1), row(), `plan.json:7: primary_changes.within_s: missing`},
		"no such record":        {strings.Replace(string(plan), `"runs": []`, "\"runs\": [\n\"b\"]", 1), row(), `plan.json:15: runs[0]: there is no record "b"`},
		"no such part":          {strings.Replace(string(plan), `"runs": []`, `"runs": ["a+b"]`, 1), row(), `plan.json:14: runs[0]: there is no record "b"`},
		"nothing left out":      {strings.Replace(rest(string(plan)), `"left_out": []`, `"left_out": ["a/join"]`, 1), row(), `plan.json:15: left_out[0]: `},
		"no such slope":         {strings.Replace(rest(string(plan)), "/cpu/", "/rss/", 1), row(), `plan.json:17: measured[0]: `},
		"a record's key":        {rest(string(plan)), row(`"plays"`, `"play"`), `a.json:3: rows[0]: json: unknown field "play"`},
		"a record's own key":    {rest(string(plan)), row("\"rows\"", "\"phase\": \n1, \"rows\""), `a.json:1: json: unknown field "phase"`},
		"a record's size":       {rest(string(plan)), row("100", "0"), `a.json:3: rows[0].size: 0 is not above 0`},
		"a record's figure":     {rest(string(plan)), row(`"cpu"`, `""`), `a.json:2: rows[0].figure: missing or empty`},
		"a record's order":      {rest(string(plan)), row(`"most": 3`, `"most": 1`), `a.json:4: rows[0].median: `},
		"a size twice":          {rest(string(plan)), row("rows\": [\n", "rows\": [\n{\"mechanism\": \"gossip\", \"phase\": \"rest\", \"role\": \"pooler\", \"kind\": \"hollow\", \"figure\": \"cpu\", \"unit\": \"core\", \"per\": \"pooler\", \"size\": 100, \"plays\": 1, \"least\": 1, \"median\": 1, \"most\": 1},\n"), `plan.json:14: runs[0]: `},
	} {
		dir := t.TempDir()
		if err := os.Mkdir(filepath.Join(dir, "runs"), 0o700); err != nil {
			t.Fatal(err)
		}
		for file, text := range map[string]string{"plan.json": c.plan, "runs/a.json": c.record} {
			if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		switch _, found, err := Read(dir); {
		case c.want == "" && (err != nil || len(found.Slopes) != 1):
			t.Errorf("%s: %v, %d slopes", name, err, len(found.Slopes))
		case c.want != "" && (err == nil || !strings.Contains(err.Error(), dir) || !strings.Contains(err.Error(), c.want)):
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
	}
}
