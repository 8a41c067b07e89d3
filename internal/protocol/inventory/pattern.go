package inventory

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"threadsail/internal/serverlist"
)

// expandPattern returns the hosts that a pattern with ranges stands for, such as [01:12], [1:9:2] and [a:f].
func expandPattern(pattern string) ([]string, error) {
	open := strings.IndexByte(pattern, '[')
	if open < 0 || strings.Contains(pattern, "::") { // an address of IP version 6
		return []string{pattern}, nil
	}
	head := pattern[:open]
	inside, tail, closed := strings.Cut(pattern[open+1:], "]")
	parts := strings.Split(inside, ":")
	if !closed || len(parts) < 2 || len(parts) > 3 {
		return nil, fmt.Errorf("%.80q, expected a range like [01:12] or [a:f]", pattern)
	}
	step := 1
	if len(parts) == 3 {
		var err error
		if step, err = strconv.Atoi(parts[2]); err != nil || step < 1 {
			return nil, fmt.Errorf("%.80q, expected a step of 1 or more", pattern)
		}
	}
	items, err := expandRange(parts[0], parts[1], step)
	if err != nil {
		return nil, fmt.Errorf("%.80q, %w", pattern, err)
	}
	tails, err := expandPattern(tail)
	if err != nil {
		return nil, err
	}
	if len(items)*len(tails) > serverlist.MaxServers {
		return nil, fmt.Errorf("%.80q stands for more than %d hosts", pattern, serverlist.MaxServers)
	}
	hosts := make([]string, 0, len(items)*len(tails))
	for _, item := range items {
		for _, end := range tails {
			hosts = append(hosts, head+item+end)
		}
	}
	return hosts, nil
}

// expandRange returns the items of a range of letters or numbers, its last one included.
func expandRange(from, to string, step int) ([]string, error) {
	if isLetter(from) && isLetter(to) && from <= to {
		var items []string
		for letter := int(from[0]); letter <= int(to[0]); letter += step {
			items = append(items, string(rune(letter)))
		}
		return items, nil
	}
	return expandNumbers(from, to, uint64(step))
}

func isLetter(text string) bool {
	return len(text) == 1 && text[0]|0x20 >= 'a' && text[0]|0x20 <= 'z'
}

// expandNumbers returns the numbers of a range. If the first one begins with a zero, all have its length.
func expandNumbers(from, to string, step uint64) ([]string, error) {
	first, errFirst := strconv.ParseUint(from, 10, 31)
	last, errLast := strconv.ParseUint(to, 10, 31)
	width := 0
	if strings.HasPrefix(from, "0") {
		width = len(from)
	}
	switch {
	case errFirst != nil || errLast != nil || first > last:
		return nil, errors.New("expected a range that goes up")
	case width > 1 && len(to) != width:
		return nil, errors.New("expected both ends of the range to be as long")
	case last-first >= serverlist.MaxServers:
		return nil, fmt.Errorf("stands for more than %d hosts", serverlist.MaxServers)
	}
	var items []string
	for n := first; n <= last; n += step {
		items = append(items, fmt.Sprintf("%0*d", width, n))
	}
	return items, nil
}
