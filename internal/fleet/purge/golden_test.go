package purge

import (
	"slices"
	"testing"
	"time"

	"threadsail/internal/calendar"
	"threadsail/internal/goldentest"
)

// TestStoredFormat guards the JSON encoding of the documents, which poolers of different builds read.
func TestStoredFormat(t *testing.T) {
	plan, previous := goldentest.Filled[Plan](t), goldentest.Filled[Plan](t)
	plan.Previous = &previous
	goldentest.CheckJSONOf(t, "plan.json", plan)
	goldentest.CheckJSONOf(t, "order.json", goldentest.Filled[Order](t))
}

// TestMessageFormat guards the JSON encoding of the messages between poolers.
func TestMessageFormat(t *testing.T) {
	goldentest.CheckJSONOf(t, "reading.json", goldentest.Filled[clockMessage](t))
}

// TestNames guards the keys of the documents, the name of the lease and the bus topic.
func TestNames(t *testing.T) {
	goldentest.CheckNames(t, map[string]string{"purge/": keyPrefix, "purge/plan": planKey, "purge/order/": orderPrefix, "purges": string(writerLease), "purge/time": clockTopic})
}

// TestEventNames guards the IDs of purges. An edge recognizes by its ID a purge that is already in its journal, across restarts and builds.
func TestEventNames(t *testing.T) {
	at := time.Date(2026, time.December, 2, 12, 0, 0, 0, time.UTC)
	book := calendar.Book{Calendars: map[string]calendar.Calendar{"hall": {Close: map[string]string{"wednesday": "20:00", "thursday": "25:30:15"}}},
		Sites: map[string]calendar.Site{"berlin": {Zone: "UTC", Calendar: "hall"}}}
	zones, err := zoneDigests(book, at.UnixNano())
	if err != nil {
		t.Fatal(err)
	}
	timetable, err := newTimetable("berlin", &Plan{Revision: 7, EffectiveAt: at.UnixNano(), Book: book, ZoneDigests: zones}, []Order{{Name: "by-hand", EffectiveAt: at.Add(time.Hour).UnixNano()}})
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, e := range timetable.Between(at.UnixNano()-1, at.Add(48*time.Hour).UnixNano()) {
		got = append(got, e.ID)
	}
	if want := []string{"plan 7", "order by-hand", "close berlin 2026-12-02 20:00", "close berlin 2026-12-03 25:30:15"}; !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
