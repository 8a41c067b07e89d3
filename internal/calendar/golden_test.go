package calendar

import (
	"testing"
	"time"

	"threadsail/internal/goldentest"
)

// TestStoredFormat guards the JSON encoding of calendars, which are part of configuration files and of the stored purge plan.
func TestStoredFormat(t *testing.T) {
	goldentest.CheckJSONOf(t, "book.json", goldentest.Filled[Book](t))
	goldentest.CheckJSONOf(t, "plan.json", goldentest.Filled[Plan](t))
}

// TestStoredDigest guards the value of a zone's digest, which is compared with the one that another pooler wrote into the plan.
func TestStoredDigest(t *testing.T) {
	berlin, err := time.LoadLocation("Europe/Berlin")
	if err != nil {
		t.Fatal(err)
	}
	from, to := time.Date(2020, time.January, 1, 0, 0, 0, 0, time.UTC), time.Date(2021, time.January, 1, 0, 0, 0, 0, time.UTC)
	if got, want := Digest(berlin, from, to), uint64(16122025495665042876); got != want {
		t.Errorf("got %d, want %d", got, want)
	}
}
