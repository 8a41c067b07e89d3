package gossip

import (
	"io"
	"log"
	"strings"

	"github.com/rs/zerolog"
)

// logWriter passes memberlist's warnings and errors to a zerolog.Logger. It drops the other lines, because memberlist logs
// every probe.
type logWriter struct{ log zerolog.Logger }

// Write implements io.Writer.
func (w logWriter) Write(b []byte) (int, error) {
	line := strings.TrimSpace(string(b))
	if strings.Contains(line, "[WARN]") || strings.Contains(line, "[ERR]") {
		w.log.Warn().Msg(line)
	}
	return len(b), nil
}

// newLogger returns a log.Logger that writes lines without prefixes.
func newLogger(w io.Writer) *log.Logger { return log.New(w, "", 0) }
