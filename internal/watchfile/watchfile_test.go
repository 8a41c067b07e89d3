package watchfile

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// must ends the test unless all errors are nil.
func must(t *testing.T, errs ...error) {
	t.Helper()
	for _, err := range errs {
		if err != nil {
			t.Fatal(err)
		}
	}
}

// replacement is a way to replace a file, and what is delivered then: a text or an error.
type replacement struct {
	prepare func(*testing.T, string) // makes the file at the path hold "one"
	replace func(*testing.T, string)
	want    string
	err     string
}

var replacements = map[string]replacement{
	"renamed over": {replace: func(t *testing.T, path string) {
		write(t, path+".next", "two")
		must(t, os.Rename(path+".next", path))
	}, want: "two"},
	"in place, same size and time": {replace: func(t *testing.T, path string) {
		info, err := os.Stat(path)
		must(t, err)
		write(t, path, "owt")
		must(t, os.Chtimes(path, info.ModTime(), info.ModTime()))
	}, want: "owt"},
	"deleted and made again": {replace: func(t *testing.T, path string) {
		must(t, os.Remove(path))
		write(t, path, "two")
	}, want: "two"},
	"deleted": {replace: func(t *testing.T, path string) { must(t, os.Remove(path)) }, err: "no such file"},
	"link swapped": {prepare: func(t *testing.T, path string) {
		dir := filepath.Dir(path)
		must(t, os.Mkdir(dir+"/v1", 0o700), os.Mkdir(dir+"/v2", 0o700))
		write(t, dir+"/v1/list", "one")
		write(t, dir+"/v2/list", "two")
		must(t, os.Symlink("v1", dir+"/data"), os.Symlink("data/list", path))
	}, replace: func(t *testing.T, path string) {
		dir := filepath.Dir(path)
		must(t, os.Symlink("v2", dir+"/next"), os.Rename(dir+"/next", dir+"/data"))
	}, want: "two"},
	"behind a link": {prepare: func(t *testing.T, path string) {
		dir := filepath.Dir(path)
		must(t, os.Mkdir(dir+"/v1", 0o700), os.Symlink("v1/list", path))
		write(t, dir+"/v1/list", "one")
	}, replace: func(t *testing.T, path string) { write(t, filepath.Dir(path)+"/v1/list", "two") }, want: "two"},
	"too large": {replace: func(t *testing.T, path string) { write(t, path, strings.Repeat("x", 101)) }, err: "more than 100 bytes"},
	"a pipe": {replace: func(t *testing.T, path string) {
		must(t, os.Remove(path), syscall.Mkfifo(path, 0o600))
	}, err: "no regular file"},
}

// matches reports whether a state is what the replacement leaves.
func (r replacement) matches(s State) bool {
	if r.err != "" {
		return s.Err != nil && strings.Contains(s.Err.Error(), r.err)
	}
	return s.Err == nil && string(s.Text) == r.want
}

// Each way to replace a file must be noticed, by events alone (no look falls due) and by looks alone, and what is delivered
// is what stands there in the end.
func TestReplaced(t *testing.T) {
	for name, r := range replacements {
		for _, by := range []string{"events", "looks"} {
			t.Run(name+" by "+by, func(t *testing.T) { testReplaced(t, r, by == "looks") })
		}
	}
}

func testReplaced(t *testing.T, r replacement, byLooks bool) {
	path := filepath.Join(t.TempDir(), "list")
	if r.prepare != nil {
		r.prepare(t, path)
	} else {
		write(t, path, "one")
	}
	opt := Options{Path: path, PollInterval: time.Hour, MaxBytes: 100, Log: func(text string) { t.Error(text) }}
	if byLooks {
		opt.PollInterval, opt.NoEvents = 5*time.Millisecond, true
	}
	known := ReadStable(path, 100, time.Millisecond)
	if string(known.Text) != "one" {
		t.Fatalf("at first it holds %q, %v", known.Text, known.Err)
	}
	got := make(chan State, 100)
	w := Watch(opt, known, func(s State) { got <- s })
	defer w.Close()
	r.replace(t, path)
	for late := time.After(20 * time.Second); ; {
		select {
		case s := <-got:
			if r.matches(s) {
				return
			}
		case <-late:
			t.Fatal("it is never delivered")
		}
	}
}

// A folder that is moved away and made again takes its watch with it; the looks find the new one.
func TestFolderReplaced(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "d")
	path := filepath.Join(dir, "list")
	fill := func(text string) {
		if err := os.Mkdir(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	fill("one")
	got := make(chan State, 100)
	w := Watch(Options{Path: path, PollInterval: 5 * time.Millisecond, MaxBytes: 100, Log: func(string) {}}, Read(path, 100), func(s State) { got <- s })
	defer w.Close()
	if err := os.Rename(dir, dir+".old"); err != nil {
		t.Fatal(err)
	}
	fill("two")
	for late := time.After(20 * time.Second); ; {
		select {
		case s := <-got:
			if string(s.Text) == "two" {
				return
			}
		case <-late:
			t.Fatal("it is never delivered")
		}
	}
}
