package program

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/fleet/audit"
)

// queuedActs is how many acts may wait for the disk; a disk that hangs must not hold the loop, nor fill the memory.
const queuedActs = 1024

// journal writes a pooler's acts on a goroutine of its own. nil writes nothing.
type journal struct {
	acts    chan audit.Record
	done    chan struct{}
	dropped atomic.Uint64
}

func openJournal(c config.JournalPart, log zerolog.Logger) (*journal, error) {
	if c.File == "" {
		return nil, nil
	}
	file, cut, err := audit.Open(c.File, c.Bytes, c.Keep)
	if err != nil {
		return nil, err
	}
	if cut > 0 {
		log.Warn().Str("file", c.File).Int64("bytes", cut).Msg("journal: a torn end was cut")
	}
	j := &journal{acts: make(chan audit.Record, queuedActs), done: make(chan struct{})}
	go func() {
		defer close(j.done)
		failing := false
		for r := range j.acts {
			err := file.Write(r)
			if err != nil && !failing { // once, not for each act that a full disk turns down
				log.Error().Err(err).Str("file", c.File).Msg("journal: acts can't be written")
			}
			if failing = err != nil; failing {
				j.dropped.Add(1)
			}
		}
		if n := j.dropped.Load(); n > 0 {
			log.Error().Uint64("acts", n).Msg("journal: acts were dropped")
		}
		_ = file.Close()
	}()
	return j, nil
}

func (j *journal) note(r audit.Record) {
	if j == nil {
		return
	}
	select {
	case j.acts <- r:
	default:
		j.dropped.Add(1)
	}
}

// close waits until all that was noted is written.
func (j *journal) close() {
	if j != nil {
		close(j.acts)
		<-j.done
	}
}
