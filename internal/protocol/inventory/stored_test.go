package inventory

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"threadsail/internal/goldentest"
	"threadsail/internal/serverlist"
)

// Files that use every column or variable are read as when they were recorded, and the list is written with the same bytes.
func TestStoredInventories(t *testing.T) {
	for _, name := range []string{"every-column.csv", "aliases.csv", "every-variable.yaml"} {
		t.Run(name, func(t *testing.T) {
			form, err := FormOf(name)
			if err != nil {
				t.Fatal(err)
			}
			text, err := os.ReadFile(filepath.Join("testdata", name))
			if err != nil {
				t.Fatal(err)
			}
			f, err := Parse(form, "mysql_port", text)
			if err != nil {
				t.Fatal(err)
			}
			servers, err := serverlist.Check(f.Rows, serverlist.Constraints{DefaultPort: 3306})
			if err != nil {
				t.Fatal(err)
			}
			written, err := Format(form, "mysql_port", servers)
			if err != nil {
				t.Fatal(err)
			}
			goldentest.Check(t, name+".values", []byte(goldentest.Values(servers)+serverlist.Digest(servers)+"\n"))
			goldentest.Check(t, name+".written", written)
		})
	}
}

// What is wrong with each field is told by line and field, in the same words.
func TestStoredProblems(t *testing.T) {
	for _, name := range []string{"wrong.csv", "wrong.yaml"} {
		form, _ := FormOf(name)
		text, err := os.ReadFile(filepath.Join("testdata", name))
		if err != nil {
			t.Fatal(err)
		}
		f, err := Parse(form, "mysql_port", text)
		if err == nil {
			_, err = serverlist.Check(f.Rows, serverlist.Constraints{DefaultPort: 3306, Zones: []string{"a"}})
		}
		if err == nil {
			t.Fatal(name, "passes")
		}
		goldentest.Check(t, name+".problems", []byte(strings.ReplaceAll(err.Error(), "; ", "\n")+"\n"))
	}
	goldentest.Check(t, "columns.txt", goldentest.Lines(slices.Collect(maps.Keys(fieldsByName))))
}

// A seal that an earlier build has put below a file still holds, and is written with the same bytes.
func TestStoredSeal(t *testing.T) {
	body, err := os.ReadFile("testdata/every-column.csv")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "sealed.csv", AppendSeal(body, 2, "0123456789abcdef"))
	sealed, err := os.ReadFile("testdata/sealed.csv")
	if err != nil {
		t.Fatal(err)
	}
	f, err := Parse(CSV, "mysql_port", sealed)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "seal.values", []byte(goldentest.Values(f.Seal)))
}
