package capacity

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"threadsail/internal/goldentest"
)

const data = "../../docs/capacity"

// Every record that is kept reads and writes back byte for byte.
func TestStoredRecords(t *testing.T) {
	for _, folder := range []string{"runs", "trials"} {
		runs, err := Load(filepath.Join(data, folder))
		if err != nil || len(runs) == 0 {
			t.Fatal(len(runs), err)
		}
		dir := t.TempDir()
		for _, r := range runs {
			if err := r.Save(dir); err != nil {
				t.Fatal(err)
			}
			was, err := os.ReadFile(filepath.Join(data, folder, r.Name+".json"))
			if err != nil {
				t.Fatal(err)
			}
			if is, err := os.ReadFile(filepath.Join(dir, r.Name+".json")); err != nil || !bytes.Equal(was, is) {
				t.Errorf("%s/%s does not write back as it was: %v", folder, r.Name, err)
			}
		}
	}
}

// The plan reads and writes back as the same values under the same keys in the same order, none left out.
func TestStoredPlan(t *testing.T) {
	path := filepath.Join(data, "plan.json")
	p, _, err := readPlan(path)
	if err != nil {
		t.Fatal(err)
	}
	was, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	is, err := json.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	if a, b := tokens(t, was), tokens(t, is); !bytes.Equal(a, b) {
		t.Errorf("got\n%s\nwant\n%s", b, a)
	}
	goldentest.CheckJSON[Run](t, "run.json")
	goldentest.CheckJSON[Plan](t, "plan.json")
}

// tokens is a JSON text with its numbers written in one way, one token a line.
func tokens(t *testing.T, text []byte) []byte {
	t.Helper()
	var out bytes.Buffer
	dec := json.NewDecoder(bytes.NewReader(text))
	for {
		token, err := dec.Token()
		if token == nil {
			return out.Bytes()
		}
		if err != nil {
			t.Fatal(err)
		}
		if err := json.NewEncoder(&out).Encode(token); err != nil {
			t.Fatal(err)
		}
	}
}

// The plan names slopes by these texts.
func TestStoredKeys(t *testing.T) {
	_, found, err := Read(data)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for k := range found.Slopes {
		names = append(names, k.String())
	}
	goldentest.Check(t, "slopes.txt", goldentest.Lines(names))
}
