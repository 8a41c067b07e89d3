package outlier

import (
	"slices"
	"testing"
	"time"
)

// A pooler reports its complaints, and servers that others have reported, at most once in a report interval, and sends one more report to
// withdraw a complaint.
func TestReporter(t *testing.T) {
	const silent = -1
	bad := Report{ServersSeen: 2, Complaints: 1, Servers: []Observation{{Server: "a", Failed: 2}, {Server: "b", Good: 1}}}
	good := Report{ServersSeen: 2, Servers: []Observation{{Server: "a", Good: 2}, {Server: "b", Good: 1}}}
	r, now := reporter{zone: "z1"}, time.Unix(1000, 0)
	for i, step := range []struct {
		after            time.Duration
		report           Report
		reportedByOthers map[string]bool
		want             int // number of reported observations, or silent for no report
	}{{0, good, nil, silent}, {0, bad, nil, 1}, {minReportInterval / 2, bad, nil, silent}, {minReportInterval, good, nil, 0},
		{2 * minReportInterval, good, nil, silent}, {0, good, map[string]bool{"b": true}, 1},
		{2 * minReportInterval, good, map[string]bool{"c": true}, silent}, {2 * minReportInterval, good, nil, silent}} {
		now = now.Add(step.after)
		step.report.Servers = slices.Clone(step.report.Servers)
		text := r.dueReport(now, step.report, reportingContext{settings: testSettings, reportedByOthers: step.reportedByOthers, isEjected: ejections{}.isEjected, fleetSize: 5})
		got := silent
		if text != nil {
			report, err := decode(text)
			if err != nil {
				t.Error(err)
			}
			got = len(report.Servers)
		}
		if got != step.want {
			t.Errorf("step %d: got %s, want %d observations", i, text, step.want)
		}
	}
}
