// Command rig holds the stand-ins of the review's cases, and plays them: rig CASE ROOT DIR, in which ROOT is the repository and DIR
// the folder of the case's record. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// play is one run of a case.
type play struct {
	root, dir string // the repository, and a temporary folder
	trouble   bool
	rec       *record
}

// cases holds the cases. Each returns what broke the rule, empty if it held.
var cases = map[string]func(*play) (broken string, err error){
	"halfwritten":  (*play).halfWritten,
	"halfcommands": (*play).halfCommands,
	"longdata":     (*play).longData,
	"pipeline":     (*play).pipeline,
	"silence":      (*play).silence,
	"spoilt":       (*play).spoilt,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) == 3 && os.Args[1] == "write-file" { // the operators' tool of a case
		if err := writeFile(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		return 0
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ROOT DIR")
		return 2
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	p := &play{root: os.Args[2], dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: rec}
	broken, err := cases[os.Args[1]](p)
	switch {
	case err != nil:
		rec.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken != "":
		rec.line("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		return 1
	}
	rec.line("the rule held")
	fmt.Println("the rule held")
	return 0
}
