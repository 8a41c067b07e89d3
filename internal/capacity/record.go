// Package capacity holds what one more pooler, server, group, client and change costs, as measured, and works out from it what a
// fleet of another size takes. It measures nothing and opens no socket: threadsail-lab scale writes its records, threadsail-lab capacity
// prints the tables of docs/CAPACITY.md from them.
package capacity

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Run is what one run of threadsail-lab scale measured, as docs/capacity/runs keeps it.
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
		r, err := parse(text)
		if err != nil {
			return nil, fmt.Errorf("%s:%w", name, err)
		}
		if r.Name != strings.TrimSuffix(filepath.Base(name), ".json") {
			return nil, fmt.Errorf("%s:%d: name: %q is not the file's", name, lineOf(text, -1, "name"), r.Name)
		}
		out = append(out, r)
	}
	return out, nil
}

// parse reads a record's text. An error begins with the line.
func parse(text []byte) (Run, error) {
	var file struct {
		Run
		Rows []json.RawMessage `json:"rows"`
	}
	if err := strict(text, &file); err != nil {
		return Run{}, fmt.Errorf("%d: %w", lineOf(text, -1, unknown(err)), err)
	}
	for i, raw := range file.Rows {
		var row Row
		if err := strict(raw, &row); err != nil {
			return Run{}, fmt.Errorf("%d: rows[%d]: %w", lineOf(text, i, unknown(err)), i, err)
		}
		if key, err := row.valid(); err != nil {
			return Run{}, fmt.Errorf("%d: rows[%d].%s: %w", lineOf(text, i, key), i, key, err)
		}
		file.Run.Rows = append(file.Run.Rows, row)
	}
	return file.Run, nil
}

func strict(text []byte, into any) error {
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	return dec.Decode(into)
}

// unknown is the key that a decoder's error is about, if it is one.
func unknown(err error) string {
	var typed *json.UnmarshalTypeError
	if errors.As(err, &typed) {
		return typed.Field[strings.LastIndexByte(typed.Field, '.')+1:]
	}
	_, key, _ := strings.Cut(err.Error(), "unknown field ")
	return strings.Trim(key, `"`)
}

// valid names the key that is wrong.
func (r Row) valid() (key string, err error) {
	for _, named := range [][2]string{{"mechanism", r.Mechanism}, {"phase", r.Phase}, {"role", r.Role}, {"kind", r.Kind}, {"figure", r.Figure},
		{"unit", r.Unit}, {"per", r.Per}} {
		if named[1] == "" {
			return named[0], errors.New("missing or empty")
		}
	}
	switch {
	case r.Size <= 0:
		return "size", fmt.Errorf("%d is not above 0", r.Size)
	case r.Plays <= 0:
		return "plays", fmt.Errorf("%d is not above 0", r.Plays)
	case r.Least > r.Median || r.Median > r.Most:
		return "median", fmt.Errorf("least %v, median %v, most %v are out of order", r.Least, r.Median, r.Most)
	}
	return "", nil
}

// lineOf is the line of a row's key in a record's text, or that of the row where it lacks the key; row below 0: of the record's own key,
// or its end.
func lineOf(text []byte, row int, key string) int {
	dec := json.NewDecoder(bytes.NewReader(text))
	line := func(at int) int { return 1 + bytes.Count(text[:at], []byte("\n")) }
	_, err := dec.Token()
	for err == nil && dec.More() {
		var name json.Token
		var skip json.RawMessage
		if name, err = dec.Token(); err != nil || row < 0 && name == key {
			break
		}
		if name != "rows" || row < 0 {
			err = dec.Decode(&skip)
			continue
		}
		_, _ = dec.Token()
		for range row {
			_ = dec.Decode(&skip)
		}
		at := int(dec.InputOffset())
		at += max(bytes.IndexByte(text[at:], '{'), 0)
		_ = dec.Decode(&skip)
		return line(at + max(bytes.Index(skip, []byte(`"`+key+`"`)), 0))
	}
	return line(int(dec.InputOffset()))
}

// Save writes a run as DIR/NAME.json.
func (r Run) Save(dir string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, r.Name+".json"), append(text, '\n'), 0o644)
}
