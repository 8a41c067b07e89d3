// Package inventory reads and writes the list of servers as configuration tools keep it: CSV as spreadsheets export it, and
// YAML in the layout of Ansible's inventories. It turns bytes into rows; what a row may hold is membership's to check.
package inventory

import (
	"bytes"
	"errors"
	"strings"
	"unicode/utf8"

	"threadsail/internal/serverlist"
)

// Form is how a file is written.
type Form uint8

// The forms.
const (
	CSV Form = iota
	YAML
)

// FormOf tells a file's form by the ending of its name.
func FormOf(name string) (Form, error) {
	switch {
	case strings.HasSuffix(name, ".csv"), strings.HasSuffix(name, ".tsv"):
		return CSV, nil
	case strings.HasSuffix(name, ".yaml"), strings.HasSuffix(name, ".yml"):
		return YAML, nil
	}
	return CSV, errors.New("the name ends in none of .csv, .tsv, .yaml and .yml")
}

// MaxBytes is the size of the largest file that is read: some 10,000 servers take 0.6 MB.
const MaxBytes = 4 << 20

// File is what a file holds.
type File struct {
	Rows          []serverlist.Row
	Seal          *Seal // nil: it has none
	EndsInNewline bool  // its last line has an end
}

// Parse reads a file. portVariable is the variable that holds the server's port in Ansible's inventories, where hosts have
// ports for several purposes; "port" means it too. The error lists all that is wrong, as *membership.Problems.
func Parse(form Form, portVariable string, text []byte) (*File, error) {
	var p serverlist.ListError
	if len(text) > MaxBytes {
		p.Add(0, "", "the file holds more than %d bytes", MaxBytes)
		return nil, p.Err()
	}
	f := &File{EndsInNewline: bytes.HasSuffix(text, []byte("\n"))}
	body, seal := cutSeal(text, &p)
	f.Seal = seal
	if checkEncoding(body, &p); len(p.Problems) == 0 {
		body = bytes.TrimPrefix(body, []byte("\ufeff"))
		if form == YAML {
			f.Rows = parseYAML(body, portVariable, &p)
		} else {
			f.Rows = parseCSV(string(body), &p)
		}
	}
	if seal != nil && len(p.Problems) == 0 && seal.Servers != len(f.Rows) {
		p.Add(0, "", "the seal counts %d servers, and there are %d", seal.Servers, len(f.Rows))
	}
	if err := p.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

// checkEncoding finds the line where a text is no UTF-8, as spreadsheets may write it in other character sets.
func checkEncoding(text []byte, p *serverlist.ListError) {
	if bytes.HasPrefix(text, []byte("\xff\xfe")) || bytes.HasPrefix(text, []byte("\xfe\xff")) {
		p.Add(1, "text", "UTF-16, expected UTF-8")
		return
	}
	if utf8.Valid(text) && bytes.IndexByte(text, 0) < 0 {
		return
	}
	for i, line := range bytes.Split(text, []byte("\n")) {
		switch {
		case !utf8.Valid(line):
			p.Add(i+1, "text", "no UTF-8, expected a file saved as UTF-8")
		case bytes.IndexByte(line, 0) >= 0:
			p.Add(i+1, "text", "a zero byte, expected text")
		}
	}
}

var fieldsByName = map[string]serverlist.Field{"name": serverlist.FieldName, "host": serverlist.FieldHost, "port": serverlist.FieldPort,
	"zone": serverlist.FieldZone, "room": serverlist.FieldZone, "cluster": serverlist.FieldCluster, "state": serverlist.FieldState,
	"weight": serverlist.FieldWeight, "wire": serverlist.FieldWire, "version": serverlist.FieldVersion, "ansible_host": serverlist.FieldHost}
