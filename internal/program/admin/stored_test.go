package admin

import (
	"testing"
	"time"

	"threadsail/internal/fleet/traffic"
	"threadsail/internal/goldentest"
	"threadsail/internal/routing"
)

// everyFigure sets every figure that a pooler can report, each to a number of its own.
func everyFigure() Figures {
	return Figures{Serving: true, Reloads: 1, ReloadErrors: 2, Pending: 3, Members: 4, Unavailable: 5,
		Classes: []routing.Counts{{Class: "read", Served: 6, Refused: 7, Failed: 8, Attempts: 9}, {Class: `a "quoted" class`, Served: 10}},
		Lists:   []List{{Front: "postgres", Generation: 11, Taken: 12, Held: 13, TurnedDown: 14, Holding: true}, {Front: "mysql", Generation: 15}},
		Fleet: &Fleet{Version: 16, Age: 17 * time.Millisecond, CopyFails: true, JournalFails: true, StewardFails: true, Dropped: 18,
			Traffic: []traffic.Count{{Kind: "shared", BytesIn: 19, BytesOut: 20, MessagesIn: 21, MessagesOut: 22}},
			Poolers: 23, Way: "gossip", Streams: 24, Behind: 25, Oldest: 26}}
}

// The operators' figures keep their names, labels and order.
func TestStoredFigures(t *testing.T) {
	goldentest.Check(t, "figures.txt", report(everyFigure()))
	f := everyFigure()
	f.Fleet.Age, f.Fleet.CopyFails, f.Fleet.JournalFails, f.Fleet.StewardFails = -1, false, false, false
	for _, way := range []string{"stream", "distributor", "none"} {
		f.Fleet.Way = way
		goldentest.Check(t, "figures-"+way+".txt", report(f))
	}
	goldentest.Check(t, "figures-alone.txt", report(Figures{}))
}
