package outlier

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Fewer liars than MinObservers, or liars in fewer zones than MinZones, eject no server, whatever they report and however little the others
// see; nor do any number of them that is outweighed.
func TestLiars(t *testing.T) {
	servers := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		few := rapid.Bool().Draw(t, "few")
		var reports []observerReport
		liars := rapid.IntRange(0, 8).Draw(t, "liars")
		if few {
			liars = min(liars, testSettings.MinObservers-1)
		}
		for i := range liars {
			r := drawReport(t, servers)
			if !few {
				r.Zone = "z1"
			}
			r.Complaints, r.ServersSeen = 0, 100 // it hides how much it complains
			reports = append(reports, observerReport{fmt.Sprint("liar", i), r})
		}
		for i := range rapid.IntRange(0, 5).Draw(t, "honest") {
			r := Report{Zone: rapid.SampledFrom([]string{"z1", "z2"}).Draw(t, "zone"), ServersSeen: 3}
			for _, server := range servers {
				r.Servers = append(r.Servers, Observation{Server: server, Good: uint32(rapid.IntRange(0, 2).Draw(t, "good"))})
			}
			reports = append(reports, observerReport{fmt.Sprint("n", i), r})
		}
		for server, finding := range aggregateServers(reports) {
			if testSettings.shouldEject(finding, false) || testSettings.shouldReportPrimaryDown(finding) {
				t.Fatalf("%s is ejected: %v", server, finding)
			}
		}
	})
}

// Many liars in many zones weigh no more than as many honest observers.
func TestMajority(t *testing.T) {
	var reports []observerReport
	for i := range 10 {
		o := Observation{Server: "a", Failed: 1 << 31, Slow: 1 << 31}
		if i >= 5 {
			o = Observation{Server: "a", Good: maxRecentAttempts}
		}
		reports = append(reports, observerReport{fmt.Sprint("n", i), Report{Zone: fmt.Sprint("z", i), ServersSeen: 10, Servers: []Observation{o}}})
	}
	if f := aggregateServers(reports)["a"]; testSettings.shouldEject(f, false) || f.complaintWeight != f.satisfiedWeight {
		t.Errorf("got %v, weights %v and %v, want equal weights and no ejection", f, f.complaintWeight, f.satisfiedWeight)
	}
}

// An observer that complains of most of what it sees has a bad link: its complaints do not count, its good answers do.
func TestUnreliableObserver(t *testing.T) {
	var reports []observerReport
	for i := range 4 {
		reports = append(reports, observerReport{fmt.Sprint("n", i), Report{Zone: fmt.Sprint("z", i), ServersSeen: 3, Complaints: 2,
			Servers: []Observation{{Server: "a", Failed: 3}, {Server: "b", Failed: 3}, {Server: "c", Good: 3}}}})
	}
	findings := aggregateServers(reports)
	if f := findings["a"]; f.Complainers > 0 || testSettings.shouldEject(f, false) {
		t.Errorf("a: got %v, want no complainers", f)
	}
	if f := findings["c"]; f.Satisfied != 4 {
		t.Errorf("c: got %v, want 4 others", f)
	}
}

// Where everything fails and is slow no server is ejected; one that is by far the worst is, and a few failures are not enough.
func TestEverythingIsBad(t *testing.T) {
	for _, c := range []struct {
		observation      Observation
		failed, attempts int // at all servers
		want             bool
	}{
		{Observation{Failed: 3, Good: 3}, 3, 20, true},
		{Observation{Failed: 3, Good: 3}, 9, 20, false}, // 6 of 14 elsewhere
		{Observation{Slow: 3, Good: 2}, 10, 20, false},
		{Observation{Failed: 5}, 12, 20, true},
		{Observation{Failed: 1}, 1, 20, false},
		{Observation{Failed: 2}, 2, 2, true},    // nothing else is seen
		{Observation{Failed: 6}, 20, 20, false}, // nothing else is any better
	} {
		c.observation.Server = "a"
		var reports []observerReport
		for i := range 3 {
			reports = append(reports, observerReport{fmt.Sprint("n", i), Report{Zone: fmt.Sprint("z", i), ServersSeen: 4, Complaints: 1,
				FailedAttempts: c.failed, Attempts: c.attempts, Servers: []Observation{c.observation}}})
		}
		reports = append(reports, observerReport{"liar", Report{ServersSeen: 4, FailedAttempts: 1 << 30, Attempts: 1 << 30}})
		if got := testSettings.shouldEject(aggregateServers(reports)["a"], false); got != c.want {
			t.Errorf("%+v, %d of %d: got %v, want %v", c.observation, c.failed, c.attempts, got, c.want)
		}
	}
}
