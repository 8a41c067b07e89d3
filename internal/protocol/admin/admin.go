// Package admin reads and writes the operators' line protocol: one call a connection, answered by a line that starts
// with done or error. It knows no sockets.
package admin

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// MaxLine bounds a call.
const MaxLine = 256

// prefix begins the name of each figure.
const prefix = "edge_proxy_"

// ErrTooLong tells that a line has no end where it should.
var ErrTooLong = errors.New("the line is too long")

// Call is what an operator asks for.
type Call uint8

// The calls.
const (
	Unknown Call = iota
	Ping         // does this process take clients?
	Info         // the figures
)

// Next takes a call off b. ok is false while its line has not ended.
func Next(b []byte) (c Call, ok bool, err error) {
	end := bytes.IndexByte(b, '\n')
	switch {
	case end > MaxLine || end < 0 && len(b) > MaxLine:
		return Unknown, false, ErrTooLong
	case end < 0:
		return Unknown, false, nil
	}
	switch string(bytes.TrimSpace(b[:end])) {
	case "PING":
		return Ping, true, nil
	case "INFO":
		return Info, true, nil
	}
	return Unknown, true, nil
}

// AppendDone adds the line that says yes.
func AppendDone(b []byte) []byte { return append(b, "done\n"...) }

// AppendError adds the line that says no, and why.
func AppendError(b []byte, why string) []byte {
	return append(append(append(b, "error "...), why...), '\n')
}

// AppendEnd adds the line behind the figures.
func AppendEnd(b []byte) []byte { return append(b, "end\n"...) }

// Label says what a figure is of.
type Label struct{ Name, Value string }

// escape keeps a value from ending its label or its line.
var escape = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// AppendFigure adds a figure in Prometheus's text form.
func AppendFigure(b []byte, name string, value uint64, labels ...Label) []byte {
	b = append(append(b, prefix...), name...)
	for i, l := range labels {
		if i == 0 {
			b = append(b, '{')
		} else {
			b = append(b, ',')
		}
		b = append(append(append(append(b, l.Name...), `="`...), escape.Replace(l.Value)...), '"')
	}
	if len(labels) > 0 {
		b = append(b, '}')
	}
	return append(strconv.AppendUint(append(b, ' '), value, 10), '\n')
}
