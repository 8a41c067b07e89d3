package gossip

import (
	"io"
	"log"
	"strings"

	"github.com/rs/zerolog"
)

// logWriter logs memberlist's lines of warnings and errors; memberlist logs every probe at a lower level.
type logWriter struct{ log zerolog.Logger }

// Write implements io.Writer.
func (w logWriter) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	if strings.Contains(text, "[WARN]") || strings.Contains(text, "[ERR]") {
		w.log.Warn().Msg(text)
	}
	return len(b), nil
}

func newLogger(w io.Writer) *log.Logger { return log.New(w, "", 0) }
