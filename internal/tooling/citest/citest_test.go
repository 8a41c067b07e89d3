package main

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// fixture is a module of which each package ends in a way of its own.
var fixture = map[string]string{
	"go.mod": "module fixture\n\ngo 1.26\n",
	"good/good_test.go": `package good
import "testing"
func TestGood(t *testing.T) {}`,
	"red/red_test.go": `package red
import "testing"
func TestRed(t *testing.T) { t.Error("red output") }
func TestParent(t *testing.T) {
	t.Run("red", func(t *testing.T) { t.Error("red") })
	t.Run("good", func(t *testing.T) {})
}`,
	"panics/panics_test.go": `package panics
import "testing"
func TestPanic(t *testing.T) { panic("no") }
func TestAfter(t *testing.T) {}`,
	"exits/exits_test.go": `package exits
import ("os"; "testing")
func TestExit(t *testing.T) { os.Exit(3) }`,
	"main/main_test.go": `package main
import ("os"; "testing")
func TestMain(m *testing.M) { m.Run(); os.Exit(1) }
func TestGood(t *testing.T) {}`,
	"unbuilt/unbuilt_test.go": `package unbuilt
import "testing"
func TestUnbuilt(t *testing.T) { missing() }`,
	"unresolved/unresolved_test.go": `package unresolved
import ("testing"; _ "fixture/missing")
func TestUnresolved(t *testing.T) {}`,
}

// runFixture runs citest on packages of the fixture and returns what it printed.
func runFixture(t *testing.T, known string, packages ...string) (passed bool, output string, err error) {
	t.Helper()
	dir := t.TempDir()
	for name, content := range fixture {
		file := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	if known != "" {
		if err := os.WriteFile(filepath.Join(dir, knownFile), []byte(known), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	t.Chdir(dir)
	var out strings.Builder
	passed, err = run(append([]string{"-count=1"}, packages...), &out)
	return passed, out.String(), err
}

func TestRun(t *testing.T) {
	const cause = " | cause | issue 1\n"
	for _, c := range []struct {
		name     string
		known    string
		packages []string
		passes   bool
		prints   []string
	}{
		{"all pass", "", []string{"./good"}, true, []string{"pass\tfixture/good"}},
		{"no list", "", []string{"./good", "./red"}, false,
			[]string{"FAILED: fixture/red TestRed\n", "red output", "FAILED: fixture/red TestParent/red\n"}},
		{"one is not listed", "fixture/red TestRed" + cause, []string{"./red"}, false,
			[]string{"KNOWN RED, passed over: fixture/red TestRed: cause (issue 1)", "FAILED: fixture/red TestParent/red\n"}},
		{"all listed", "# comment\n\nfixture/red TestRed" + cause + "fixture/red TestParent/red" + cause, []string{"./good", "./red"}, true,
			[]string{"KNOWN RED, passed over: fixture/red TestParent/red: cause (issue 1)", "red output"}},
		{"listed with its subtests", "fixture/red TestRed" + cause + "fixture/red TestParent" + cause, []string{"./red"}, true, nil},
		{"listed elsewhere", "fixture/good TestRed" + cause + "fixture/red TestParent" + cause, []string{"./red"}, false,
			[]string{"FAILED: fixture/red TestRed\n", "KNOWN RED, but did not run: fixture/good TestRed"}},
		{"listed by a longer name", "fixture/red TestRedder" + cause + "fixture/red TestParent" + cause, []string{"./red"}, false, nil},
		{"listed but passes", "fixture/good TestGood" + cause, []string{"./good"}, true,
			[]string{"KNOWN RED, but passes: fixture/good TestGood"}},
		{"a listed panic stops others", "fixture/panics TestPanic" + cause, []string{"./panics"}, false,
			[]string{"FAILED: fixture/panics (panicked"}},
		{"a listed test ends the package", "fixture/exits TestExit" + cause, []string{"./exits"}, false, nil},
		{"outside the tests", "fixture/main TestGood" + cause, []string{"./main"}, false,
			[]string{"FAILED: fixture/main (failed outside its tests)"}},
		{"does not build", "fixture/unbuilt TestUnbuilt" + cause + "fixture/red TestRed" + cause + "fixture/red TestParent" + cause,
			[]string{"./unbuilt", "./red"}, false, []string{"FAILED: fixture/unbuilt", "undefined: missing"}},
		{"does not resolve", "fixture/unresolved TestUnresolved" + cause + "fixture/red TestRed" + cause + "fixture/red TestParent" + cause,
			[]string{"./unresolved", "./red"}, false, []string{"FAILED: fixture/unresolved"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			passed, output, err := runFixture(t, c.known, c.packages...)
			if err != nil || passed != c.passes {
				t.Errorf("passed %v, error %v; want %v\n%s", passed, err, c.passes, output)
			}
			for _, want := range c.prints {
				if !strings.Contains(output, want) {
					t.Errorf("does not print %q:\n%s", want, output)
				}
			}
		})
	}
}

func TestRunWithoutATest(t *testing.T) {
	if passed, output, err := runFixture(t, "", "./nowhere"); passed || err == nil && !strings.Contains(output, "FAILED: ") {
		t.Errorf("a package that does not exist: passed %v, error %v\n%s", passed, err, output)
	}
	if passed, _, err := runFixture(t, "nonsense\n", "./good"); passed || err == nil {
		t.Errorf("a list that does not parse: passed %v, error %v", passed, err)
	}
}

func TestParseKnown(t *testing.T) {
	want := []knownFailure{{testID{"a/b", "TestC/d_e"}, "cause", "#1"}}
	if got, err := parseKnown([]byte("# a\n\n a/b TestC/d_e | cause|#1 \n")); err != nil || !slices.Equal(got, want) {
		t.Errorf("%v, %v; want %v", got, err, want)
	}
	line := "a/b TestC | cause | #1\n"
	for _, bad := range []string{"a/b TestC", "a/b TestC | cause", "a/b TestC | | #1", "TestC | cause | #1", "a/b TestC d | cause | #1",
		strings.Repeat(line, maxKnown+1)} {
		if got, err := parseKnown([]byte(bad)); err == nil {
			t.Errorf("%q parses as %v", bad, got)
		}
	}
}
