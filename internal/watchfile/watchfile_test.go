package watchfile

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Each way to replace a file must be noticed, by events alone (no look falls due) and by looks alone, and what is delivered
// is what stands there in the end.
func TestReplaced(t *testing.T) {
	write := func(t *testing.T, path, text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	do := func(t *testing.T, errs ...error) {
		t.Helper()
		for _, err := range errs {
			if err != nil {
				t.Fatal(err)
			}
		}
	}
	for name, c := range map[string]struct {
		prepare func(*testing.T, string) // makes the file at the path hold "one"
		replace func(*testing.T, string)
		want    string
		err     string
	}{
		"renamed over": {replace: func(t *testing.T, path string) {
			write(t, path+".next", "two")
			do(t, os.Rename(path+".next", path))
		}, want: "two"},
		"in place, same size and time": {replace: func(t *testing.T, path string) {
			info, err := os.Stat(path)
			do(t, err)
			write(t, path, "owt")
			do(t, os.Chtimes(path, info.ModTime(), info.ModTime()))
		}, want: "owt"},
		"deleted and made again": {replace: func(t *testing.T, path string) {
			do(t, os.Remove(path))
			write(t, path, "two")
		}, want: "two"},
		"deleted": {replace: func(t *testing.T, path string) { do(t, os.Remove(path)) }, err: "no such file"},
		"link swapped": {prepare: func(t *testing.T, path string) {
			dir := filepath.Dir(path)
			do(t, os.Mkdir(dir+"/v1", 0o700), os.Mkdir(dir+"/v2", 0o700))
			write(t, dir+"/v1/list", "one")
			write(t, dir+"/v2/list", "two")
			do(t, os.Symlink("v1", dir+"/data"), os.Symlink("data/list", path))
		}, replace: func(t *testing.T, path string) {
			dir := filepath.Dir(path)
			do(t, os.Symlink("v2", dir+"/next"), os.Rename(dir+"/next", dir+"/data"))
		}, want: "two"},
		"behind a link": {prepare: func(t *testing.T, path string) {
			dir := filepath.Dir(path)
			do(t, os.Mkdir(dir+"/v1", 0o700), os.Symlink("v1/list", path))
			write(t, dir+"/v1/list", "one")
		}, replace: func(t *testing.T, path string) { write(t, filepath.Dir(path)+"/v1/list", "two") }, want: "two"},
		"too large": {replace: func(t *testing.T, path string) { write(t, path, strings.Repeat("x", 101)) }, err: "more than 100 bytes"},
		"a pipe": {replace: func(t *testing.T, path string) {
			do(t, os.Remove(path), syscall.Mkfifo(path, 0o600))
		}, err: "no regular file"},
	} {
		for _, by := range []string{"events", "looks"} {
			t.Run(name+" by "+by, func(t *testing.T) {
				path := filepath.Join(t.TempDir(), "list")
				if c.prepare != nil {
					c.prepare(t, path)
				} else {
					write(t, path, "one")
				}
				opt := Options{Path: path, PollInterval: time.Hour, MaxBytes: 100, Log: func(text string) { t.Error(text) }}
				if by == "looks" {
					opt.PollInterval, opt.NoEvents = 5*time.Millisecond, true
				}
				known := ReadStable(path, 100, time.Millisecond)
				if string(known.Text) != "one" {
					t.Fatalf("at first it holds %q, %v", known.Text, known.Err)
				}
				got := make(chan State, 100)
				w := Watch(opt, known, func(s State) { got <- s })
				defer w.Close()
				c.replace(t, path)
				for late := time.After(20 * time.Second); ; {
					select {
					case s := <-got:
						if s.Err == nil && string(s.Text) == c.want && c.err == "" ||
							s.Err != nil && c.err != "" && strings.Contains(s.Err.Error(), c.err) {
							return
						}
					case <-late:
						t.Fatal("it is never delivered")
					}
				}
			})
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
