// Package capacity holds what one more pooler, server, group, client and change costs, as measured, and works out from it what a
// fleet of another size takes. It measures nothing and opens no socket: threadlab scale writes its records, threadlab capacity
// prints the tables of docs/CAPACITY.md from them.
package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Run is what one run of threadlab scale measured, as docs/capacity/runs keeps it.
type Run struct {
	Name    string `json:"name"` // of its file, without ".json"
	Command string `json:"command"`
	Commit  string `json:"commit"` // of the program that was measured
	Machine string `json:"machine"`
	Date    string `json:"date"` // YYYY-MM-DD
	Note    string `json:"note,omitempty"`
	Rows    []Row  `json:"rows"`
}

// Row is one figure at one size, over its plays.
type Row struct {
	Mechanism string  `json:"mechanism"` // how what all share reaches all: "gossip", "distribution"; "alone" for one pooler by itself
	Phase     string  `json:"phase"`     // "rest", "change", "changes60", "restart", "loss5", "join", "startup", ...
	Role      string  `json:"role"`      // "pooler", "leader", "steward", "holder", "dealer", "distributor"
	Kind      string  `json:"kind"`      // "pooler" (real process) or "hollow"
	Figure    string  `json:"figure"`    // such as "bytes_in", "bytes_out", "messages_in", "cpu", "rss", "heap", "descriptors"
	Unit      string  `json:"unit"`      // "B/s", "1/s", "core" (share of one), "B", "s", "1"
	Per       string  `json:"per"`       // what Size counts: "pooler", "client", "server", "group", "change"
	Size      int     `json:"size"`
	Plays     int     `json:"plays"`
	Least     float64 `json:"least"`
	Median    float64 `json:"median"`
	Most      float64 `json:"most"`
}

// Load reads all runs of a folder, by name. An error names the file, and the line and key where there is one.
func Load(dir string) ([]Run, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(names)
	var out []Run
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		var r Run
		dec := json.NewDecoder(bytes.NewReader(text))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&r); err != nil {
			return nil, fmt.Errorf("%s:%d: %w", name, 1+bytes.Count(text[:min(dec.InputOffset(), int64(len(text)))], []byte("\n")), err)
		}
		if r.Name != strings.TrimSuffix(filepath.Base(name), ".json") {
			return nil, fmt.Errorf("%s: name: %q is not the file's", name, r.Name)
		}
		for i, row := range r.Rows {
			if err := row.valid(); err != nil {
				return nil, fmt.Errorf("%s: rows[%d]: %w", name, i, err)
			}
		}
		out = append(out, r)
	}
	return out, nil
}

func (r Row) valid() error {
	switch {
	case r.Mechanism == "" || r.Phase == "" || r.Role == "" || r.Kind == "" || r.Figure == "" || r.Unit == "" || r.Per == "":
		return fmt.Errorf("%+v lacks a key", r)
	case r.Size <= 0 || r.Plays <= 0:
		return fmt.Errorf("size %d, plays %d: not above 0", r.Size, r.Plays)
	case r.Least > r.Median || r.Median > r.Most:
		return fmt.Errorf("least %v, median %v, most %v are out of order", r.Least, r.Median, r.Most)
	}
	return nil
}

// Save writes a run as DIR/NAME.json.
func (r Run) Save(dir string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, r.Name+".json"), append(text, '\n'), 0o644)
}
