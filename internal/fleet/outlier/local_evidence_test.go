package outlier

import (
	"testing"
	"time"
)

const (
	usualLatency = 10 * time.Millisecond
	slowLatency  = 300 * time.Millisecond
)

// timeline is the evidence of an observer that makes an attempt every 100 ms.
type timeline struct {
	localEvidence
	now time.Time
}

func newTimeline() *timeline { return &timeline{newLocalEvidence(), time.Unix(1000, 0)} }

// newTimelineWithBaselines returns a timeline with answers from the servers a and b, for a fast class 0 and a slow class 1.
func newTimelineWithBaselines() *timeline {
	line := newTimeline()
	for range 20 {
		line.succeed("a", 0, usualLatency, 1)
		line.succeed("b", 0, usualLatency+2*time.Millisecond, 1)
		line.succeed("a", 1, 400*time.Millisecond, 1)
		line.succeed("b", 1, 400*time.Millisecond, 1)
	}
	return line
}

// succeed records a number of answers from a server.
func (l *timeline) succeed(server string, class int, latency time.Duration, times int) {
	for range times {
		l.now = l.now.Add(100 * time.Millisecond)
		l.observe(l.now, server, class, Success, latency)
	}
}

// observationOf returns the current observation of a server.
func (l *timeline) observationOf(server string) Observation {
	return l.observation(l.now, server, evidenceWindow)
}

// A slow server is distinguished from a class of slow requests, from a single slow answer, and from general slowness of all servers.
func TestSlowServer(t *testing.T) {
	line := newTimelineWithBaselines()
	line.succeed("a", 0, slowLatency, 1)
	if o := line.observationOf("a"); o.complains() || o.Slow != 1 {
		t.Errorf("one slow answer: got %+v, want no complaint", o)
	}
	line.succeed("b", 0, usualLatency, 5)
	line.succeed("a", 0, slowLatency, 5)
	if o := line.observationOf("a"); !o.complains() {
		t.Errorf("a slow server: got %+v, want a complaint", o)
	}
	for range 60 {
		line.succeed("a", 0, slowLatency, 1)
		line.succeed("b", 0, usualLatency, 1)
	}
	if o := line.observationOf("a"); !o.complains() {
		t.Errorf("a server that stays slow: got %+v, want a complaint, as it must not raise the baseline", o)
	}
	for range 80 {
		line.succeed("a", 0, slowLatency, 1)
		line.succeed("b", 0, slowLatency, 1)
	}
	if o := line.observationOf("a"); o.complains() {
		t.Errorf("all servers are slow: got %+v, want no complaint", o)
	}
}

// The answers of a single server are never slow, as there is no baseline to compare them with.
func TestSlowServerWithoutBaseline(t *testing.T) {
	line := newTimeline()
	line.succeed("a", 0, usualLatency, 20)
	line.succeed("a", 0, time.Second, 1)
	if o := line.observationOf("a"); o.Slow > 0 {
		t.Errorf("got %+v, want no slow answer", o)
	}
}

// A timeout counts as consecutiveFailures failures, unless the client gave up too soon.
func TestTimeout(t *testing.T) {
	line := newTimelineWithBaselines()
	for range 80 {
		line.succeed("a", 0, slowLatency, 1)
		line.succeed("b", 0, slowLatency, 1)
	}
	line.observe(line.now, "b", 0, Timeout, 200*time.Millisecond)
	if o := line.observationOf("b"); o.Failed > 0 {
		t.Errorf("client gave up after 200 ms: got %+v, want no failure", o)
	}
	line.observe(line.now, "b", 0, Timeout, 2*time.Second)
	if o := line.observationOf("b"); o.Failed != consecutiveFailures || o.Good > 0 {
		t.Errorf("no answer in 2 s: got %+v, want only %d failures", o, consecutiveFailures)
	}
}

// After two consecutive failures earlier answers no longer count, as the pooler avoids the server then. After a single failure they do.
func TestConsecutiveFailures(t *testing.T) {
	line := newTimelineWithBaselines()
	line.succeed("b", 0, usualLatency, maxRecentAttempts)
	line.observe(line.now, "b", 0, Failure, 0)
	if o := line.observationOf("b"); o.complains() || o.Good == 0 {
		t.Errorf("one failure: got %+v, want no complaint", o)
	}
	line.observe(line.now, "b", 0, Failure, 0)
	if o := line.observationOf("b"); o.Good > 0 || o.Failed != 2 {
		t.Errorf("two consecutive failures: got %+v, want only 2 failures", o)
	}
}
