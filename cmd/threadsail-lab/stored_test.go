package main

import (
	"testing"

	"threadsail/internal/goldentest"
)

// The command line keeps its sub-commands, flags and arguments: units and scripts name them.
func TestStoredCommandLine(t *testing.T) {
	var cli commands
	text, err := goldentest.CommandLine(&cli)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "command-line.txt", text)
}
