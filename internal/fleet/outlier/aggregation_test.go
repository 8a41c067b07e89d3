package outlier

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Faulty observers that are fewer than MinObservers, or in fewer than MinZones zones, cannot eject a server or report its primary down,
// whatever they report and however little evidence the other observers have.
func TestFaultyObservers(t *testing.T) {
	servers := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		few := rapid.Bool().Draw(t, "few")
		var reports []observerReport
		faultyObservers := rapid.IntRange(0, 8).Draw(t, "faulty observers")
		if few {
			faultyObservers = min(faultyObservers, testSettings.MinObservers-1)
		}
		for i := range faultyObservers {
			r := drawReport(t, servers)
			if !few {
				r.Zone = "z1"
			}
			r.Complaints, r.ServersSeen = 0, 100 // hides its complaints, so that it is not unreliable
			reports = append(reports, observerReport{fmt.Sprint("faulty", i), r})
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

// Observers that report huge numbers of failures weigh no more than the same number of observers with good answers.
func TestObserverWeightIsBounded(t *testing.T) {
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

// An observer that complains about most of the servers that it sees has a bad link: its complaints are ignored, its good answers count.
func TestUnreliableObserver(t *testing.T) {
	var reports []observerReport
	for i := range 4 {
		reports = append(reports, observerReport{fmt.Sprint("n", i), Report{Zone: fmt.Sprint("z", i), ServersSeen: 3, Complaints: 2,
			Servers: []Observation{{Server: "a", Failed: 3}, {Server: "b", Failed: 3}, {Server: "c", Good: 3}}}})
	}
	findings := aggregateServers(reports)
	if f := findings["a"]; f.Complainers > 0 || testSettings.shouldEject(f, false) {
		t.Errorf("a: got %v, want no complaining observers", f)
	}
	if f := findings["c"]; f.Satisfied != 4 {
		t.Errorf("c: got %v, want 4 satisfied observers", f)
	}
}

// A server is ejected only if its failure rate is far above that of the other servers: neither when all servers fail or are slow, nor
// after too few failures.
func TestFailuresElsewhere(t *testing.T) {
	for _, c := range []struct {
		observation      Observation
		failed, attempts int // of each observer, at all servers
		want             bool
	}{
		{Observation{Failed: 3, Good: 3}, 3, 20, true},
		{Observation{Failed: 3, Good: 3}, 9, 20, false}, // 6 of 14 elsewhere
		{Observation{Slow: 3, Good: 2}, 10, 20, false},
		{Observation{Failed: 5}, 12, 20, true},
		{Observation{Failed: 1}, 1, 20, false},
		{Observation{Failed: 2}, 2, 2, true},    // no attempts at other servers
		{Observation{Failed: 6}, 20, 20, false}, // all other servers fail too
	} {
		c.observation.Server = "a"
		var reports []observerReport
		for i := range 3 {
			reports = append(reports, observerReport{fmt.Sprint("n", i), Report{Zone: fmt.Sprint("z", i), ServersSeen: 4, Complaints: 1,
				FailedAttempts: c.failed, Attempts: c.attempts, Servers: []Observation{c.observation}}})
		}
		reports = append(reports, observerReport{"faulty", Report{ServersSeen: 4, FailedAttempts: 1 << 30, Attempts: 1 << 30}})
		if got := testSettings.shouldEject(aggregateServers(reports)["a"], false); got != c.want {
			t.Errorf("%+v, %d of %d: got %v, want %v", c.observation, c.failed, c.attempts, got, c.want)
		}
	}
}
