// Command citest runs the tests of the given packages and judges the result for .ci/run.
//
// A test that KNOWN-RED.txt lists may fail without failing the run; every other failure fails it. What it cannot attribute
// to a listed test (a build failure, a panic, a timeout, a package that ends by itself) fails the run, too. The failures
// passed over and the listed tests that passed are printed, so that the list shrinks. A missing list passes over nothing.
//
// All arguments are those of go test.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
)

// knownFile lists the tests that may fail. It stands in the directory that citest is started in.
const knownFile = "KNOWN-RED.txt"

func main() {
	passed, err := run(os.Args[1:], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "citest:", err)
	}
	if err != nil || !passed {
		os.Exit(1)
	}
}

// run runs go test with the arguments, prints the report to out, and says whether the run counts as passed.
func run(arguments []string, out io.Writer) (passed bool, err error) {
	known, err := readKnown(knownFile)
	if err != nil {
		return false, err
	}
	command := exec.Command("go", append([]string{"test", "-json"}, arguments...)...)
	command.Stderr = os.Stderr
	events, err := command.StdoutPipe()
	if err != nil {
		return false, err
	}
	if err := command.Start(); err != nil {
		return false, err
	}
	results := newResults(out)
	readErr := results.read(events)
	waitErr := command.Wait()
	if readErr != nil {
		return false, readErr
	}
	var exit *exec.ExitError
	if waitErr != nil && !errors.As(waitErr, &exit) {
		return false, waitErr
	}
	verdict := results.judge(known)
	verdict.print(out)
	if waitErr != nil && verdict.failures() == 0 {
		return false, fmt.Errorf("go test failed without naming a test: %w", waitErr)
	}
	return len(verdict.unexpected) == 0, nil
}
