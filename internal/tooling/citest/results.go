package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// event is a line of go test -json (see go doc test2json).
type event struct {
	Action     string
	Package    string
	ImportPath string // of build events, in place of Package
	Test       string
	Elapsed    float64
	Output     string
}

// packageResult is what became of a package's tests.
type packageResult struct {
	failed   bool
	crashed  bool // a panic or a fatal error ended the test binary: tests after it did not run
	running  map[string]bool
	failures []string // names of the failed tests, subtests before their parents
}

// results collects the events of a run. The output of passed tests is dropped, that of failed ones printed at once.
type results struct {
	out      io.Writer
	packages map[string]*packageResult
	passed   map[testID]bool
	output   map[testID]*strings.Builder // of tests and packages (empty name) that have not ended yet
}

func newResults(out io.Writer) *results {
	return &results{
		out:      out,
		packages: map[string]*packageResult{},
		passed:   map[testID]bool{},
		output:   map[testID]*strings.Builder{},
	}
}

// read takes in events until their end.
func (r *results) read(events io.Reader) error {
	decoder := json.NewDecoder(events)
	for {
		var e event
		err := decoder.Decode(&e)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read the output of go test: %w", err)
		}
		r.observe(e)
	}
}

// observe takes in one event.
func (r *results) observe(e event) {
	if e.Package == "" {
		// The compiler's messages, which belong to no test. The package's own failure follows.
		fmt.Fprint(r.out, e.Output)
		return
	}
	test := testID{e.Package, e.Test}
	pkg := r.packageOf(e.Package)
	switch e.Action {
	case "run":
		pkg.running[e.Test] = true
	case "output":
		r.keepOutput(test, pkg, e.Output)
	case "pass", "skip", "fail":
		if e.Test == "" {
			r.endPackage(e, pkg)
		} else {
			r.endTest(test, pkg, e.Action)
		}
	}
}

func (r *results) packageOf(name string) *packageResult {
	pkg := r.packages[name]
	if pkg == nil {
		pkg = &packageResult{running: map[string]bool{}}
		r.packages[name] = pkg
	}
	return pkg
}

func (r *results) keepOutput(test testID, pkg *packageResult, output string) {
	if strings.HasPrefix(output, "panic: ") || strings.HasPrefix(output, "fatal error: ") {
		pkg.crashed = true
	}
	builder := r.output[test]
	if builder == nil {
		builder = &strings.Builder{}
		r.output[test] = builder
	}
	builder.WriteString(output)
}

func (r *results) endTest(test testID, pkg *packageResult, action string) {
	delete(pkg.running, test.name)
	switch action {
	case "pass":
		r.passed[test] = true
	case "fail":
		pkg.failures = append(pkg.failures, test.name)
		r.printOutput(test)
	}
	delete(r.output, test)
}

func (r *results) endPackage(e event, pkg *packageResult) {
	test := testID{pkg: e.Package}
	pkg.failed = e.Action == "fail"
	if pkg.failed {
		r.printOutput(test)
	}
	delete(r.output, test)
	fmt.Fprintf(r.out, "%s\t%s\t%.2fs\n", e.Action, e.Package, e.Elapsed)
}

func (r *results) printOutput(test testID) {
	if output := r.output[test]; output != nil {
		fmt.Fprint(r.out, output.String())
	}
}
