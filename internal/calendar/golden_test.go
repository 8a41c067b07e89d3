package calendar

import (
	"testing"
	"time"

	"threadsail/internal/goldentest"
)

// Calendars are part of the operators' files and of the purge plan that the voters keep.
func TestStoredForms(t *testing.T) {
	goldentest.CheckJSONOf(t, "book.json", goldentest.Filled[Book](t))
	goldentest.CheckJSONOf(t, "plan.json", goldentest.Filled[Plan](t))
}

// A zone's digest is compared with the one that another pooler wrote into the plan.
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
