package program

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const linesPerSecond = 20

// logger writes lines with their time, and bounds how many: a fleet in trouble must not fill the disk.
type logger struct {
	mu      sync.Mutex
	w       io.Writer
	second  int64
	lines   int
	dropped int
}

func newLog(w io.Writer) *logger { return &logger{w: w} }

func (l *logger) line(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if s := now.Unix(); s != l.second {
		if l.dropped > 0 {
			fmt.Fprintf(l.w, "%s %d lines left out\n", now.UTC().Format(time.RFC3339), l.dropped)
		}
		l.second, l.lines, l.dropped = s, 0, 0
	}
	if l.lines++; l.lines > linesPerSecond {
		l.dropped++
		return
	}
	fmt.Fprintf(l.w, "%s %.300s\n", now.UTC().Format("2006-01-02T15:04:05.000Z"), text)
}
