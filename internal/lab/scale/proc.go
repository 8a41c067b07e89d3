package scale

import (
	"fmt"
	"os"
	"strings"
	"time"

	"threadsail/internal/fleet/traffic"
)

// clockTick is the unit of processor times that Linux tells of a process.
const clockTick = 10 * time.Millisecond

// resident is a process's resident memory in bytes; 0: it can't be read.
func resident(pid int) int64 {
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	var size, pages int64
	if err != nil {
		return 0
	}
	if _, err := fmt.Sscan(string(statm), &size, &pages); err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// descriptors is how many a process holds; 0: it can't be read.
func descriptors(pid int) int {
	dir, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(dir)
}

// cpu is a process's processor time; 0: it can't be read.
func cpu(pid int) time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(stat), ") ") // a name may hold spaces
	fields := strings.Fields(rest)
	var user, system int64
	if len(fields) < 13 {
		return 0
	}
	if _, err := fmt.Sscan(fields[11]+" "+fields[12], &user, &system); err != nil {
		return 0
	}
	return time.Duration(user+system) * clockTick
}

// memory is the machine's, in bytes: all of it, and what is free for new processes.
func memory() (total, free int64, err error) {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(text)) {
		var kb int64
		if _, err := fmt.Sscanf(line, "MemTotal: %d kB", &kb); err == nil {
			total = kb << 10
		} else if _, err := fmt.Sscanf(line, "MemAvailable: %d kB", &kb); err == nil {
			free = kb << 10
		}
	}
	return total, free, nil
}

// sum adds counts by kind.
func sum(all ...[]traffic.Count) (out []traffic.Count) {
	at := map[string]int{}
	for _, counts := range all {
		for _, c := range counts {
			i, ok := at[c.Kind]
			if !ok {
				i = len(out)
				at[c.Kind] = i
				out = append(out, traffic.Count{Kind: c.Kind})
			}
			t := &out[i]
			t.BytesIn += c.BytesIn
			t.BytesOut += c.BytesOut
			t.MessagesIn += c.MessagesIn
			t.MessagesOut += c.MessagesOut
		}
	}
	return out
}
