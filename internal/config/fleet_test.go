package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Parts of files that tests put together.
const peerKeys = `"enabled": true, "listen": "127.0.0.1:7946", "peers": [{"name": "n2", "addr": "127.0.0.2:7946"}]`
const voterKeys = `"stewards": [{"name": "n1", "addr": "127.0.0.1:7950"}]`
const purgeKeys = `"journal": {"file": "j"}, "purges": {"site": "b", "revision": 3, "classes": ["any"],
"clock_ms": 100, "answers_mb": 1,
"orders": [{"name": "stock-1", "issued": "2026-12-02T10:00:00Z", "cluster": 2}]}, "calendars": {"c": {"close": {
"monday": "20:00", "friday": "25:30"}, "holidays": [{"name": "Easter Monday", "easter": 1},
{"name": "St Stephen", "month": 8, "day": 20}], "exceptions": [{"from": "2026-12-19", "to": "2027-01-03"}]}},
"sites": {"b": {"zone": "Europe/Budapest", "calendar": "c"}}`

// limit is a file with two limits, the second one as given on line 4.
func limit(text string) string {
	return "{" + peerKeys + ", " + voterKeys + ",\n\"limits\": {\"revision\": 1, \"list\": [\n{\"name\": \"a\", \"on\": \"probes\", \"rate\": 1},\n" + text + "]}}"
}

// distribution is a file with the keys of a distribution on line 3, and more keys on the first line.
func distribution(text string, more ...string) string {
	return "{" + strings.Join(append(more, peerKeys, voterKeys), ", ") + ",\n\"distribution\": {\n" + text + "},\n\"drift_ms\": 100}"
}

// distributors names so many of them.
func distributors(n int) string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf(`{"name": "n%d", "addr": "127.0.0.1:1"}`, n-i))
	}
	return `"distributors": [` + strings.Join(names, ", ") + "]"
}

// fleetFileCase is a file of the fleet, and the place and text of what is wrong with it; empty: nothing is.
type fleetFileCase struct{ text, want string }

// fleetMistakes are mistakes of the keys that stand by themselves.
var fleetMistakes = []fleetFileCase{
	{`{` + peerKeys + `, ` + voterKeys + `}`, ""},
	{"{\n" + peerKeys + ",\n" + voterKeys + ",\n\"term_msec\": 3}", `unknown field "term_msec"`},
	{"{\n" + peerKeys + ",\n" + voterKeys + ",\n\"term_ms\": 10}", ":4: term_ms"},
	{"{" + peerKeys + ", " + voterKeys + ",\n\"term_ms\": \"3\"}", ":2: term_ms: a string does not fit"},
	{"{" + peerKeys + ",\n" + voterKeys + ",\n\"drift_ms\": 2000}", ":3: drift_ms"},
	{"{" + peerKeys + ",\n\"stewards\": [{\"name\": \"n1\", \"addr\": \"127.0.0.1:1\"}, {\"name\": \"n2\", \"addr\": \"127.0.0.1:2\"}]}", ":2: stewards: 2 are named"},
	{"{" + peerKeys + ",\n\"stewards\": [{\"name\": \"n1\", \"addr\": \"here\"}]}", ":2: stewards[0].addr"},
	{`{"enabled": true, "listen": "localhost:1"}`, ":1: listen"},
	{`{` + peerKeys + `}`, "stewards: 0 are named"},
	{`{` + peerKeys + `, "stewards": [{"name": "n3", "addr": "127.0.0.1:1"}], "steward": {"listen": "127.0.0.1:1", "dir": "d"}}`, "not among them"},
	{`{` + peerKeys + `, ` + voterKeys + `, "steward": {"listen": "127.0.0.1:1"}}`, "steward.dir: missing"},
	{"{" + peerKeys + ", " + voterKeys + ",\n\"journal\": {\"file\": \"j\", \"max_mb\": 0.001}}", ":2: journal.max_mb"},
	{"{" + peerKeys + ", " + voterKeys + ",\n\"least_build\": \"1.4\"}", ":2: least_build"},
	{"{" + peerKeys + ", " + voterKeys + ", \"config_revision\": 2,\n\"least_config\": 3}", ":2: least_config"},
	{"{" + peerKeys + ", " + voterKeys + ",\n\"straggler_ms\": 1000}", ":2: straggler_ms"},
	{"{\n\n\"enabled\": tru", ":3: "},
	{`{} {}`, "text follows"},
}

// fleetLimitMistakes are mistakes of the limits.
var fleetLimitMistakes = []fleetFileCase{
	{limit(`{"name": "b", "on": "requests", "tenants": true, "rate": 100, "burst": 5, "reserve": 0.5}`), ""},
	{limit(`{"name": "a", "on": "cold", "rate": 1}`), ":4: limits.list[1].name"},
	{limit(`{"name": "b/c", "on": "cold", "rate": 1}`), ":4: limits.list[1].name"},
	{limit(`{"name": "b", "on": "probes", "rate": 1}`), ":4: limits.list[1].on: probes has a limit"},
	{limit(`{"name": "b", "on": "cold", "class": "c", "rate": 1}`), ":4: limits.list[1].on: cold has no class"},
	{limit(`{"name": "b", "on": "writes", "rate": 1}`), ":4: limits.list[1].on"},
	{limit("{\"name\": \"b\",\n\"on\": \"requests\",\n\"rate\": 0}"), ":6: limits.list[1].rate"},
	{limit(`{"name": "b", "on": "requests", "rate": 1, "burst": -1}`), ":4: limits.list[1].burst"},
	{limit(`{"name": "b", "on": "requests", "rate": 1, "reserve": 1}`), ":4: limits.list[1].reserve"},
	{limit(`{"name": "b", "on": "requests", "rates": 1}`), `:4: limits.list[1]: json: unknown field "rates"`},
	{"{" + peerKeys + ", " + voterKeys + ",\n\"limits\": {\"list\": [{\"name\": \"a\", \"on\": \"probes\", \"rate\": 1}]}}", ":2: limits.revision"},
}

// fleetDistributionMistakes are mistakes of the distribution.
var fleetDistributionMistakes = []fleetFileCase{
	{distribution(`"region": "a", "listen": "127.0.0.1:1", "distributors": [{"name": "n1", "addr": "127.0.0.1:1"}, {"name": "n2", "addr": "127.0.0.1:2", "region": "b"}]`), ""},
	{distribution(`"distributors": [{"name": "n1", "addr": "127.0.0.1:1"}]`), ""},
	{distribution(`"regions": 2`), `:3: json: unknown field "regions"`},
	{distribution(`"distributors": [{"name": "n1", "address": "127.0.0.1:1"}]`), `:3: json: unknown field "address"`},
	{distribution(`"distributors": [{"name": "n1", "addr": "127.0.0.1:1"}, {"name": "n1", "addr": "127.0.0.1:2"}]`), `:3: distribution.distributors[1].name: "n1"`},
	{distribution(`"distributors": [{"name": "n1", "addr": "here"}]`), ":3: distribution.distributors[0].addr"},
	{distribution(`"distributors": [{"name": "n1", "addr": "127.0.0.1:1", "region": "` + strings.Repeat("r", 129) + `"}]`), ":3: distribution.distributors[0].region: over 128"},
	{distribution(`"region": "` + strings.Repeat("r", 129) + `"`), ":3: distribution.region: over 128"},
	{distribution(`"region": 3`), ":3: distribution.region: a number does not fit"},
	{distribution(`"listen": "127.0.0.1:1"`), ":3: distribution.listen: no distributors"},
	{distribution(`"listen": "here", "distributors": [{"name": "n1", "addr": "127.0.0.1:1"}]`), ":3: distribution.listen"},
	{distribution(`"listen": "127.0.0.1:1", "distributors": [{"name": "n1", "addr": "127.0.0.1:1"}]`, `"name": "n9"`), `:3: distribution.distributors: this pooler, "n9"`},
	{distribution(`"distributors": [{"name": "n2", "addr": "127.0.0.1:1"}]`), `:3: distribution.distributors: "n1" is a steward and not among them`},
	{distribution(`"listen": "", "distributors": [{"name": "n1", "addr": "127.0.0.1:1"}]`, `"steward": {"listen": "127.0.0.1:1", "dir": "d"}`), ":3: distribution.listen: missing"},
	{distribution(distributors(65)), ":3: distribution.distributors: 65 are named, at most 64"},
	{strings.Replace(distribution(distributors(65)), `{"name": "n64", "addr": "127.0.0.1:1"}, `, "", 1), ""},
}

// fleetOutlierMistakes are mistakes of the verdicts.
var fleetOutlierMistakes = []fleetFileCase{
	{"{" + peerKeys + ", " + voterKeys + ",\n\"verdicts\": {\"enabled\": true, \"term_ms\": 1000, \"rooms\": 3}}", ""},
	{"{" + peerKeys + ", " + voterKeys + ",\n\"verdicts\": {\"enabled\": true,\n\"observers\": 1}}", ":3: verdicts.observers"},
	{"{" + peerKeys + ", " + voterKeys + ",\n\"verdicts\": {\n\"rooms\": 4}}", ":3: verdicts.rooms"},
	{"{" + peerKeys + ", " + voterKeys + ",\n\"verdicts\": {\"share\": 1}}", ":2: verdicts.share"},
	{"{" + peerKeys + ", " + voterKeys + ",\n\"term_ms\": 3000, \"verdicts\": {\n\"term_ms\": 10}}", ":3: verdicts.term_ms"},
	{"{" + peerKeys + ", " + voterKeys + ",\n\"verdicts\": {\"on\": true}}", `unknown field "on"`},
}

// fleetPurgeMistakes are mistakes of the purges, calendars and sites.
var fleetPurgeMistakes = []fleetFileCase{
	{"{" + peerKeys + ", " + voterKeys + ",\n" + purgeKeys + "}", ""},
	{"{" + peerKeys + ", " + voterKeys + ",\n\"purges\": {\"site\": \"b\"}}", ":2: purges.site: it needs journal.file"},
	{"{" + peerKeys + ", " + voterKeys + ",\n" + strings.Replace(purgeKeys, `"site": "b"`, `"site": "x"`, 1) + "}", `:2: purges.site: "x"`},
	{"{" + peerKeys + ", " + voterKeys + ",\n" + strings.Replace(purgeKeys, `"clock_ms": 100`, `"clock_ms": 1`, 1) + "}", ":3: purges.clock_ms"},
	{"{" + peerKeys + ", " + voterKeys + ",\n" + strings.Replace(purgeKeys, `"clock_ms": 100`, `"confirm_ms": 2000`, 1) + "}", ":3: purges.confirm_ms"},
	{"{" + peerKeys + ", " + voterKeys + ",\n" + strings.Replace(purgeKeys, `"answers_mb": 1`, `"answers_mb": 33`, 1) + "}", ":3: purges.answers_mb: more than an eighth"},
	{"{" + peerKeys + ", " + voterKeys + ",\n" + strings.Replace(purgeKeys, `stock-1`, `stock 1`, 1) + "}", ":4: purges.orders[0].name"},
	{"{" + peerKeys + ", " + voterKeys + ",\n" + strings.Replace(purgeKeys, `20:00`, `8pm`, 1) + "}", ":5: calendars.c.close.monday"},
	{"{" + peerKeys + ", " + voterKeys + ",\n" + strings.Replace(purgeKeys, `"day": 20`, `"day": 32`, 1) + "}", ":6: calendars.c.holidays.1.day"},
	{"{" + peerKeys + ", " + voterKeys + ",\n" + strings.Replace(purgeKeys, `Europe/Budapest`, `Europe/Buda`, 1) + "}", ":7: sites.b.zone"},
	{"{" + peerKeys + ", " + voterKeys + ",\n" + strings.Replace(purgeKeys, `"calendar": "c"`, `"calendar": "d"`, 1) + "}", ":7: sites.b.calendar"},
	{"{" + peerKeys + ", " + voterKeys + ",\n" + strings.Replace(purgeKeys, `"day"`, `"date"`, 1) + "}", `unknown field "date"`},
}

// fleetShardMistakes are mistakes of the shard map.
var fleetShardMistakes = []fleetFileCase{
	{"{" + peerKeys + ", " + voterKeys + ",\n\"shards\": {\"ranges\": [\n{\"to\": \"m\"},\n{\"from\": \"n\"}]}}", ":4: shards.ranges[1]: gap"},
	{"{" + peerKeys + ", " + voterKeys + ",\n\"shards\": {\"ranges\": [\n{\"to\": \"m\"},\n{\"from\": \"l\"}]}}", ":4: shards.ranges[1]: overlap"},
	{"{" + peerKeys + ", " + voterKeys + ",\n\"shards\": {\"ranges\": [\n{\"cluster\": -1}]}}", ":3: shards.ranges[0]: \"\" to \"\": cluster -1 is not known"},
	{"{" + peerKeys + ", " + voterKeys + ",\n\"shards\": {\"ranges\": [{}],\n\"copier\": \"ftp://x\"}}", ":3: shards.copier"},
	{"{" + peerKeys + ", " + voterKeys + ",\n\"shards\": {\n\"moves\": [{\"name\": \"m\"}]}}", ":3: shards.moves: they need"},
	{"{" + peerKeys + ", " + voterKeys + ", \"shards\": {\"ranges\": [{}], \"copier\": \"http://127.0.0.1:1\", \"moves\": [\n{\"name\": \"m\", \"target\": 1, \"from\": \"b\",\n\"to\": \"a\"}]}}", ":3: shards.moves[0].to"},
	{"{" + peerKeys + ", " + voterKeys + ",\n\"shards\": {\"fenced_ms\": 100}}", ":2: shards.fenced_ms"},
}

// What is wrong with a file of the fleet is told by file, line and key.
func TestFleetMistakes(t *testing.T) {
	for _, cases := range [][]fleetFileCase{fleetMistakes, fleetLimitMistakes, fleetDistributionMistakes, fleetOutlierMistakes, fleetPurgeMistakes, fleetShardMistakes} {
		for _, c := range cases {
			path := filepath.Join(t.TempDir(), "fleet.json")
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := LoadFleet(func(string) string { return path }, &Config{Name: "n1", ProcessLimits: ProcessLimits{MemoryBytes: 256 << 20}})
			switch {
			case c.want == "" && err != nil:
				t.Errorf("%s: %v", c.text, err)
			case c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), path)):
				t.Errorf("%s: %v, want %q", c.text, err, c.want)
			}
		}
	}
}

// What a file leaves out is filled in.
func TestFleetDefaults(t *testing.T) {
	got, err := parseFleet([]byte(`{`+peerKeys+`, `+voterKeys+`, "shared": {"dir": "d"}, "config_revision": 4, "least_config": 3}`), "n1", nil)
	want := &Fleet{Name: "n1", GossipConfig: GossipConfig{Listen: "127.0.0.1:7946", Peers: []Peer{{"n2", "127.0.0.2:7946"}}}, Voters: []Peer{{"n1", "127.0.0.1:7950"}},
		Replica: ReplicaConfig{Dir: "d"}, RevisionConfig: RevisionConfig{ConfigRevision: 4, MinConfigRevision: 3},
		LeaseConfig: LeaseConfig{Term: 3 * time.Second, MaxClockDrift: 100 * time.Millisecond, ElectionTimeout: time.Second}, Journal: JournalConfig{MaxBytes: 8 << 20, MaxRotated: 4}, StragglerTimeout: 30 * time.Second, Shards: ShardConfig{MaxPrepared: 10 * time.Minute, MaxFenced: 9 * time.Second},
		Outliers: OutlierConfig{MinObservers: 3, MinZones: 2, MaxEjectedShare: 0.5, EjectionTime: 5 * time.Second},
		Purges:   PurgeConfig{CacheBytes: 4 << 20, Guard: 500 * time.Millisecond, MaxReplicaAge: 10 * time.Second, Settle: time.Second}}
	if d := cmp.Diff(want, got); d != "" || err != nil {
		t.Error(d, err)
	}
}

// The file that is shipped is off, and can be turned on.
func TestShippedFleetFile(t *testing.T) {
	shipped, err := os.ReadFile("../../deploy/fleet.json")
	if err != nil {
		t.Fatal(err)
	}
	if f, err := parseFleet(shipped, "n1", nil); f != nil || err != nil {
		t.Errorf("the shipped file is not off: %+v %v", f, err)
	}
	on := strings.Replace(string(shipped), "false", "true", 1)
	if f, err := parseFleet([]byte(on), "n1", nil); f == nil || err != nil {
		t.Errorf("the shipped file can't be turned on: %v", err)
	}
}

// A pooler without the fleet's parts asks only whether they are wanted.
func TestFleetEnabled(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fleet.json")
	for _, c := range []struct {
		text    string
		on, bad bool
	}{{`{"enabled": false, "a key of a newer build": 1, "term_ms": 1}`, false, false}, {`{"enabled": true}`, true, false}, {`{"enabled": 3}`, false, true},
		{`{"enab`, false, true}, {`{}`, false, false}} {
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if on, err := FleetEnabled(func(string) string { return path }); on != c.on || (err != nil) != c.bad {
			t.Errorf("%s: %v %v", c.text, on, err)
		}
	}
}
