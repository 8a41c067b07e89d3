package main

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"threadsail/internal/capacity"
)

// The page says what the command prints.
func TestCapacityPage(t *testing.T) {
	const path = "../../docs/CAPACITY.md"
	plan, found, err := capacity.Read("../../docs/capacity")
	if err != nil {
		t.Fatal(err)
	}
	want, err := fillPage(path, capacity.Tables(plan, found))
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, string(text)); diff != "" {
		t.Errorf("go run ./cmd/threadsail-lab capacity --write docs/CAPACITY.md has not been run (- as it prints, + the page):\n%s", diff)
	}
}
