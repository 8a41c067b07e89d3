package main

import (
	"fmt"
	"io"
	"slices"
	"strings"
)

// verdict sorts a run's failures by the list of tests that may fail.
type verdict struct {
	unexpected   []string       // failures that the list does not excuse
	passedOver   []knownFailure // listed tests that failed
	nowPassing   []knownFailure // listed tests that passed
	notCompleted []knownFailure // listed tests that neither passed nor failed: skipped, renamed or not among the packages
}

// failures counts the failures, excused or not.
func (v verdict) failures() int { return len(v.unexpected) + len(v.passedOver) }

// judge compares what was observed with the list.
func (r *results) judge(known []knownFailure) verdict {
	var v verdict
	for name, pkg := range r.packages {
		v.unexpected = append(v.unexpected, pkg.unexcused(name, known)...)
	}
	slices.Sort(v.unexpected)
	for _, k := range known {
		switch {
		case r.failed(k.test):
			v.passedOver = append(v.passedOver, k)
		case r.passed[k.test]:
			v.nowPassing = append(v.nowPassing, k)
		default:
			v.notCompleted = append(v.notCompleted, k)
		}
	}
	return v
}

func (r *results) failed(test testID) bool {
	pkg := r.packages[test.pkg]
	return pkg != nil && slices.Contains(pkg.failures, test.name)
}

// unexcused lists the failures of a package that the list does not excuse.
func (p *packageResult) unexcused(pkg string, known []knownFailure) []string {
	if !p.failed && len(p.failures) == 0 {
		return nil
	}
	var unexcused []string
	for _, name := range p.failures {
		if !p.excused(testID{pkg, name}, known) {
			unexcused = append(unexcused, testID{pkg, name}.String())
		}
	}
	for name := range p.running {
		unexcused = append(unexcused, testID{pkg, name}.String()+" (did not end)")
	}
	if p.crashed {
		unexcused = append(unexcused, pkg+" (panicked: tests after it did not run)")
	}
	if len(p.failures) == 0 {
		unexcused = append(unexcused, pkg+" (failed outside its tests)")
	}
	return unexcused
}

// excused says whether the list covers the failure of a test: the test is listed, or is a subtest of a listed one, or
// failed along with subtests all of which are excused.
func (p *packageResult) excused(test testID, known []knownFailure) bool {
	for _, k := range known {
		if test.within(k.test) {
			return true
		}
	}
	failedSubtests := 0
	for _, name := range p.failures {
		if !strings.HasPrefix(name, test.name+"/") {
			continue
		}
		failedSubtests++
		if !p.excused(testID{test.pkg, name}, known) {
			return false
		}
	}
	return failedSubtests > 0
}

// print writes the verdict, one line for each test that someone has to look at.
func (v verdict) print(out io.Writer) {
	for _, k := range v.passedOver {
		fmt.Fprintf(out, "KNOWN RED, passed over: %v: %s (%s)\n", k.test, k.cause, k.issue)
	}
	for _, k := range v.nowPassing {
		fmt.Fprintf(out, "KNOWN RED, but passes: %v: take it from the list once it is mended (%s)\n", k.test, k.issue)
	}
	for _, k := range v.notCompleted {
		fmt.Fprintf(out, "KNOWN RED, but did not run: %v (%s)\n", k.test, k.issue)
	}
	for _, failure := range v.unexpected {
		fmt.Fprintf(out, "FAILED: %s\n", failure)
	}
}
