package main

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"regexp"
	"testing"

	"threadsail/internal/goldentest"
)

// The command line keeps its sub-command and flags: units and scripts name them.
func TestStoredCommandLine(t *testing.T) {
	cmd := exec.Command(os.Args[0], "serve", "more")
	cmd.Env = append(os.Environ(), "THREADSAIL_TEST_RUN=1")
	var said bytes.Buffer
	cmd.Stderr = &said
	var exit *exec.ExitError
	if err := cmd.Run(); !errors.As(err, &exit) || exit.ExitCode() != 2 {
		t.Fatal(err, said.String())
	}
	flags := regexp.MustCompile(`(?m)^  -.*$`).FindAllString(said.String(), -1)
	goldentest.Check(t, "command-line.txt", goldentest.Lines(flags))
}
