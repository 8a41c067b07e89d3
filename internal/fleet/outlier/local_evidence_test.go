package outlier

import (
	"testing"
	"time"
)

const (
	usualLatency = 10 * time.Millisecond
	slowLatency  = 300 * time.Millisecond
)

// timeline is an observer whose attempts are a tenth of a second apart.
type timeline struct {
	localEvidence
	now time.Time
}

func newTimeline() *timeline { return &timeline{newLocalEvidence(), time.Unix(1000, 0)} }

// newBusyTimeline begins with answers of servers a and b, of a light class 0 and a heavy class 1.
func newBusyTimeline() *timeline {
	line := newTimeline()
	for range 20 {
		line.succeed("a", 0, usualLatency, 1)
		line.succeed("b", 0, usualLatency+2*time.Millisecond, 1)
		line.succeed("a", 1, 400*time.Millisecond, 1)
		line.succeed("b", 1, 400*time.Millisecond, 1)
	}
	return line
}

// succeed makes a server answer so many times.
func (l *timeline) succeed(server string, class int, latency time.Duration, times int) {
	for range times {
		l.now = l.now.Add(100 * time.Millisecond)
		l.observe(l.now, server, class, Success, latency)
	}
}

// of returns the observation of a server now.
func (l *timeline) of(server string) Observation { return l.observation(l.now, server, evidenceSpan) }

// A slow server is told from slow requests, from one slow answer, and from a slow day at all servers.
func TestSlowServer(t *testing.T) {
	line := newBusyTimeline()
	line.succeed("a", 0, slowLatency, 1)
	if o := line.of("a"); o.complains() || o.Slow != 1 {
		t.Errorf("one slow answer: got %+v, want no complaint", o)
	}
	line.succeed("b", 0, usualLatency, 5)
	line.succeed("a", 0, slowLatency, 5)
	if o := line.of("a"); !o.complains() {
		t.Errorf("a slow server: got %+v, want a complaint", o)
	}
	for range 60 {
		line.succeed("a", 0, slowLatency, 1)
		line.succeed("b", 0, usualLatency, 1)
	}
	if o := line.of("a"); !o.complains() {
		t.Errorf("a server that stays slow: got %+v, want a complaint, as it must not become the measure", o)
	}
	for range 80 {
		line.succeed("a", 0, slowLatency, 1)
		line.succeed("b", 0, slowLatency, 1)
	}
	if o := line.of("a"); o.complains() {
		t.Errorf("all servers are slow: got %+v, want no complaint", o)
	}
}

// A server alone is compared with nothing.
func TestSlowServerAlone(t *testing.T) {
	line := newTimeline()
	line.succeed("a", 0, usualLatency, 20)
	line.succeed("a", 0, time.Second, 1)
	if o := line.of("a"); o.Slow > 0 {
		t.Errorf("got %+v, want no slow answer", o)
	}
}

// A server that does not answer has failed, unless the client gave up early.
func TestSilentServer(t *testing.T) {
	line := newBusyTimeline()
	for range 80 {
		line.succeed("a", 0, slowLatency, 1)
		line.succeed("b", 0, slowLatency, 1)
	}
	line.observe(line.now, "b", 0, Timeout, 200*time.Millisecond)
	if o := line.of("b"); o.Failed > 0 {
		t.Errorf("a hurried client: got %+v, want no failure", o)
	}
	line.observe(line.now, "b", 0, Timeout, 2*time.Second)
	if o := line.of("b"); o.Failed != consecutiveFailures || o.Good > 0 {
		t.Errorf("silence: got %+v, want %d failures alone", o, consecutiveFailures)
	}
}

// Two failures in a row stand alone, as the pooler has left the server then; one stands beside the answers before it.
func TestConsecutiveFailures(t *testing.T) {
	line := newBusyTimeline()
	line.succeed("b", 0, usualLatency, maxRecentAttempts)
	line.observe(line.now, "b", 0, Failure, 0)
	if o := line.of("b"); o.complains() || o.Good == 0 {
		t.Errorf("one failure: got %+v, want no complaint", o)
	}
	line.observe(line.now, "b", 0, Failure, 0)
	if o := line.of("b"); o.Good > 0 || o.Failed != 2 {
		t.Errorf("a second in a row: got %+v, want 2 failures alone", o)
	}
}
