package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The schema takes what the pooler takes, and names the key of what it does not.
func TestSchema(t *testing.T) {
	const schema = "../../deploy/membership.cue"
	if err := checkSchema(schema, "../../deploy/membership.json"); err != nil {
		t.Error(err)
	}
	for text, key := range map[string]string{
		`{"enabled":true,"postgres":{"file":"a.csv"},"mysql":{"discovery":"h:1"},"keep":2}`: "",
		`{"enabled":"yes"}`:  "enabled",
		`{"hold_share":1.5}`: "hold_share",
		`{"keep":0}`:         "keep",
		`{"poll_ms":1}`:      "poll_ms",
		`{"seal":"maybe"}`:   "seal",
		`{"settle":1}`:       "settle",
		`{"state":7}`:        "state",
		`{"mysql":{"file":"a.csv","discovery":"h:1"}}`: "mysql",
	} {
		path := filepath.Join(t.TempDir(), "f.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		err := checkSchema(schema, path)
		if key == "" && err != nil || key != "" && (err == nil || !strings.Contains(err.Error(), key)) {
			t.Errorf("%s: %v, want %q named", text, err, key)
		}
	}
}
