package scenario

import (
	"errors"
	"os"
	"regexp"
	"testing"

	"threadsail/internal/goldentest"
)

var goType = regexp.MustCompile(`Go value of type .*`)

// withoutTypes is an error without the names of Go types.
func withoutTypes(err error) error {
	if err == nil {
		return nil
	}
	return errors.New(goType.ReplaceAllString(err.Error(), "Go value of some type"))
}

// A scenario that sets every key and takes every action is read as it was when it was recorded.
func TestScenarioIsReadAsRecorded(t *testing.T) {
	text, err := os.ReadFile("testdata/every-key-scenario.json")
	if err != nil {
		t.Fatal(err)
	}
	s, err := Parse("every-key-scenario.json", text)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "every-key-scenario.values", []byte(goldentest.Values(s)))
	goldentest.Check(t, "every-key-scenario.mistakes", goldentest.Mistakes(t, text, func(text []byte) error {
		_, err := Parse("every-key-scenario.json", text)
		return withoutTypes(err)
	}))
}
