package gossip

import (
	"io"
	"log"
	"strings"
)

// logWriter passes memberlist's lines of warnings and errors to a function; memberlist logs every probe at a lower level.
type logWriter func(line string)

// Write implements io.Writer.
func (w logWriter) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	if strings.Contains(text, "[WARN]") || strings.Contains(text, "[ERR]") {
		w(text)
	}
	return len(b), nil
}

func newLogger(w io.Writer) *log.Logger { return log.New(w, "", 0) }
