package distribution

import (
	"testing"
	"time"
)

// The lag limit is reached only if every announcement for that long has differed. A single late announcement does not count.
func TestLagDetector(t *testing.T) {
	start := time.Unix(0, 0)
	lag := lagDetector{limit: 3 * time.Second}
	for _, step := range []struct {
		at      time.Duration
		differs bool
		want    bool
	}{{0, true, false}, {2 * time.Second, true, false}, {3 * time.Second, false, false}, {4 * time.Second, true, false},
		{6 * time.Second, true, false}, {7 * time.Second, true, true}, {8 * time.Second, false, false}} {
		if got := lag.observe(step.differs, start.Add(step.at)); got != step.want {
			t.Errorf("after %v, with another version %v: got %v, want %v", step.at, step.differs, got, step.want)
		}
	}
}

// The time limits for the default heartbeat interval are those in docs/distribution.md.
func TestTiming(t *testing.T) {
	limits := timing{time.Second}
	for name, limit := range map[string]struct{ got, want time.Duration }{
		"read timeout":        {limits.readTimeout(), 2500 * time.Millisecond},
		"write timeout":       {limits.writeTimeout(), 4 * time.Second},
		"answer timeout":      {limits.answerTimeout(), 500 * time.Millisecond},
		"next answer timeout": {limits.nextAnswerTimeout(500 * time.Millisecond), time.Second},
		"last answer timeout": {limits.nextAnswerTimeout(3 * time.Second), 4 * time.Second},
		"lag":                 {limits.maxLag(), 3 * time.Second},
		"avoidance":           {limits.avoidDuration(), 10 * time.Second},
		"preferred retry":     {limits.preferredRetryInterval(), 30 * time.Second},
	} {
		if limit.got != limit.want {
			t.Errorf("%s: got %v, want %v", name, limit.got, limit.want)
		}
	}
}

// Each reason is logged once, and no reason beyond maxLoggedReasons is logged.
func TestOnceLogger(t *testing.T) {
	var lines []string
	logger := onceLogger{log: func(line string) { lines = append(lines, line) }}
	for range 2 {
		for reason := range maxLoggedReasons + 10 {
			logger.logOnce(time.Duration(reason).String(), "a line")
		}
	}
	if len(lines) != maxLoggedReasons {
		t.Errorf("got %d lines, want %d", len(lines), maxLoggedReasons)
	}
}
