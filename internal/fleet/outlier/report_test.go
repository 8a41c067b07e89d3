package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var testSettings = Settings{MinObservers: 3, MinZones: 2, MaxEjectedShare: 0.5, BaseEjectionTime: 5 * time.Second}

// drawReport draws a report about a subset of servers. Its complaint count is consistent with its observations.
func drawReport(t *rapid.T, servers []string) Report {
	r := Report{StartedAt: int64(rapid.IntRange(1, 3).Draw(t, "started at")), Sequence: uint64(rapid.IntRange(1, 5).Draw(t, "sequence")),
		Zone: rapid.SampledFrom([]string{"z1", "z2", "z3"}).Draw(t, "zone"), ServersSeen: len(servers)}
	for _, server := range servers {
		if n := rapid.IntRange(0, 3).Draw(t, "reported"); n > 0 {
			r.Servers = append(r.Servers, Observation{Server: server, Good: uint32(rapid.IntRange(0, 9).Draw(t, "good")),
				Failed: uint32(rapid.IntRange(0, 9).Draw(t, "failed")), Slow: uint32(rapid.IntRange(0, 9).Draw(t, "slow")), LostPrimary: n == 3})
		}
	}
	r.Complaints = countComplaints(r.Servers)
	return r
}

// An encoded report is at most maxReportSize bytes long and decodes to the original, except for omitted servers at the end of the list.
func TestReportRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var servers []string
		for i := range rapid.IntRange(0, 20).Draw(t, "servers") {
			servers = append(servers, fmt.Sprint(rapid.StringOfN(rapid.RuneFrom([]rune("ab-")), 0, 90, -1).Draw(t, "name"), i))
		}
		want := drawReport(t, servers)
		want.ServersSeen = max(want.ServersSeen, len(want.Servers))
		text := want.encode()
		got, err := decode(text)
		if err != nil || len(text) > maxReportSize {
			t.Fatalf("got %v, %d bytes", err, len(text))
		}
		want.Servers = want.Servers[:len(got.Servers)]
		if len(want.Servers) == 0 {
			want.Servers = nil
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Fatal(d)
		}
	})
}

// Any input is rejected or decoded to a consistent report, and a single report cannot eject a server.
func FuzzDecode(f *testing.F) {
	f.Add((&Report{StartedAt: 1, Sequence: 2, SentAt: 3, Zone: "z1", ServersSeen: 2, Complaints: 1, Servers: []Observation{{Server: "a", Failed: 3, LostPrimary: true}, {Server: "b", Good: 1}}}).encode())
	f.Add([]byte(`{"e":1,"l":[{"s":"a"},{"s":"a"}]}`))
	f.Add([]byte(`{"e":1,"i":-1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := decode(text)
		if err != nil {
			return
		}
		if len(r.Servers) > maxReportedServers || countComplaints(r.Servers) > r.Complaints || r.Complaints > r.ServersSeen {
			t.Errorf("got %+v", r)
		}
		if again, err := decode(r.encode()); err != nil || len(again.Servers) > len(r.Servers) {
			t.Errorf("encoded and decoded again: got %+v, %v", again, err)
		}
		for server, finding := range aggregateServers([]observerReport{{"n", r}}) {
			if testSettings.shouldEject(finding, false) {
				t.Errorf("%s is ejected by one observer", server)
			}
		}
	})
}
