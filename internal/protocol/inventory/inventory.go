// Package inventory reads and writes lists of servers as configuration tools keep them: CSV as spreadsheets export it, and YAML in the
// layout of Ansible's inventories. It turns bytes into rows, and does no I/O; package serverlist checks what the rows hold.
package inventory

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"threadsail/internal/serverlist"
)

// Form is the form of a file.
type Form uint8

// The forms.
const (
	CSV Form = iota
	YAML
)

var errUnknownForm = errors.New("the name ends in none of .csv, .tsv, .yaml and .yml")

// FormOf returns the form of a file by the end of its name.
func FormOf(name string) (Form, error) {
	switch {
	case strings.HasSuffix(name, ".csv"), strings.HasSuffix(name, ".tsv"):
		return CSV, nil
	case strings.HasSuffix(name, ".yaml"), strings.HasSuffix(name, ".yml"):
		return YAML, nil
	}
	return CSV, errUnknownForm
}

// MaxBytes is the size of the largest file that is read: some 10,000 servers take 0.6 MB.
const MaxBytes = 4 << 20

// File is what a file holds.
type File struct {
	Rows []serverlist.Row
	Seal *Seal // nil: there is none
	// Truncation is why the file may lack its end, if no seal proves that it is complete; empty: nothing suggests it.
	Truncation string
}

// fieldsByName are the names of columns and variables, and the field that each sets.
var fieldsByName = map[string]serverlist.Field{
	"name":         serverlist.FieldName,
	"host":         serverlist.FieldHost,
	"ansible_host": serverlist.FieldHost,
	"port":         serverlist.FieldPort,
	"zone":         serverlist.FieldZone,
	"room":         serverlist.FieldZone,
	"cluster":      serverlist.FieldCluster,
	"state":        serverlist.FieldState,
	"weight":       serverlist.FieldWeight,
	"wire":         serverlist.FieldWire,
	"version":      serverlist.FieldVersion,
}

const byteOrderMark = "\ufeff"

// Parse reads a file. portVariable is a variable that sets a server's port beside "port", for inventories whose hosts have ports for
// several purposes. The error is a *serverlist.ListError with all that is wrong.
func Parse(form Form, portVariable string, text []byte) (*File, error) {
	var problems serverlist.ListError
	if len(text) > MaxBytes {
		problems.Add(0, "", "the file holds more than %d bytes", MaxBytes)
		return nil, problems.Err()
	}
	body, seal := cutSeal(text, &problems)
	file := &File{Seal: seal}
	checkEncoding(body, &problems)
	if len(problems.Problems) == 0 {
		file.parseRows(form, portVariable, bytes.TrimPrefix(body, []byte(byteOrderMark)), &problems)
	}
	if seal != nil && len(problems.Problems) == 0 && seal.Servers != len(file.Rows) {
		problems.Add(0, "", "the seal counts %d servers, and there are %d", seal.Servers, len(file.Rows))
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return file, nil
}

// parseRows sets the file's rows, and Truncation.
func (f *File) parseRows(form Form, portVariable string, body []byte, problems *serverlist.ListError) {
	if form == YAML {
		f.Rows, f.Truncation = parseYAML(body, portVariable, problems)
	} else {
		f.Rows = parseCSV(string(body), problems)
	}
	if !bytes.HasSuffix(body, []byte("\n")) {
		f.Truncation = fmt.Sprintf("line %d has no line end: the file may be half written", 1+bytes.Count(body, []byte("\n")))
	}
}

// checkEncoding reports the lines that are not UTF-8: spreadsheets may write other character sets.
func checkEncoding(text []byte, problems *serverlist.ListError) {
	if bytes.HasPrefix(text, []byte("\xff\xfe")) || bytes.HasPrefix(text, []byte("\xfe\xff")) {
		problems.Add(1, "text", "UTF-16, expected UTF-8")
		return
	}
	if utf8.Valid(text) && bytes.IndexByte(text, 0) < 0 {
		return
	}
	for i, line := range bytes.Split(text, []byte("\n")) {
		switch {
		case !utf8.Valid(line):
			problems.Add(i+1, "text", "no UTF-8, expected a file saved as UTF-8")
		case bytes.IndexByte(line, 0) >= 0:
			problems.Add(i+1, "text", "a zero byte, expected text")
		}
	}
}
