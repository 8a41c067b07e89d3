package serverlist

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one thing that is wrong with a file.
type Problem struct {
	Line  int // 0: the problem is the file as a whole
	Field string
	Text  string // what the file has, and what was expected
}

func (p Problem) String() string {
	if p.Line == 0 {
		return p.Text
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Field, p.Text)
}

// MaxReported is how many problems of a file are reported; ListError.Unreported counts the others.
const MaxReported = 20

// ListError lists what is wrong with a file, in the order of its lines.
type ListError struct {
	Problems   []Problem
	Unreported int
}

// Add adds a problem, as long as there is room for it.
func (e *ListError) Add(line int, field, format string, args ...any) {
	if len(e.Problems) >= MaxReported {
		e.Unreported++
		return
	}
	e.Problems = append(e.Problems, Problem{line, field, fmt.Sprintf(format, args...)})
}

// Err returns e with its problems in order, or nil if nothing is wrong.
func (e *ListError) Err() error {
	if len(e.Problems) == 0 {
		return nil
	}
	slices.SortStableFunc(e.Problems, func(a, b Problem) int { return a.Line - b.Line })
	return e
}

func (e *ListError) Error() string {
	var b strings.Builder
	for i, p := range e.Problems {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(p.String())
	}
	if e.Unreported > 0 {
		fmt.Fprintf(&b, "; and %d more", e.Unreported)
	}
	return b.String()
}
