package pooler

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

const (
	linesPerSecond   = 20 // of each level below error: a fleet in trouble must not fill the disk
	maxMessageLength = 300
)

// NewLogger returns a logger that writes to w from a level on: one JSON object a line, or, with console, text for a person to read.
func NewLogger(w io.Writer, console bool, level zerolog.Level) zerolog.Logger {
	if console {
		w = zerolog.ConsoleWriter{Out: w, NoColor: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00", TimeLocation: time.UTC}
	}
	burst := func() zerolog.Sampler { return &zerolog.BurstSampler{Burst: linesPerSecond, Period: time.Second} }
	return zerolog.New(w).Level(level).With().Timestamp().Logger().
		Sample(zerolog.LevelSampler{DebugSampler: burst(), InfoSampler: burst(), WarnSampler: burst()})
}

// messageLogger returns a log function for the packages that know no logger. Long messages are cut.
func messageLogger(log zerolog.Logger) func(string) {
	return func(text string) { log.Info().Msg(text[:min(len(text), maxMessageLength)]) }
}
