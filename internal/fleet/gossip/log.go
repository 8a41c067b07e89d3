package gossip

import (
	"io"
	"log"
	"strings"
)

// logWriter gives memberlist's lines of warnings and errors to a function; it tells every probe at a lower level.
type logWriter func(string)

func (l logWriter) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	if strings.Contains(text, "[WARN]") || strings.Contains(text, "[ERR]") {
		l(text)
	}
	return len(b), nil
}

func newLogger(w io.Writer) *log.Logger { return log.New(w, "", 0) }
