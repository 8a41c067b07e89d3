package pooler

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/fleet/audit"
)

// maxQueuedRecords is how many acts may wait for the disk; a disk that hangs must not hold the loop, nor fill the memory.
const maxQueuedRecords = 1024

// recordRetryInterval is how often counted acts that the disk has turned down are tried again.
const recordRetryInterval = time.Second

// journal writes a pooler's acts on a goroutine of its own. nil writes nothing.
type journal struct {
	records      chan audit.Record
	done         chan struct{}
	dropped      atomic.Uint64
	writeFailing atomic.Bool // the last act could not be written
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
	j := &journal{records: make(chan audit.Record, maxQueuedRecords), done: make(chan struct{})}
	go func() {
		defer close(j.done)
		lost := uint64(0)       // since the last that was written
		var owed []audit.Record // counted acts, which wait for room on the disk
		write := func(r audit.Record) bool {
			if lost > 0 && file.Write(gapRecord(r, lost)) == nil { // the reader must know that there is a gap
				log.Info().Str("file", c.File).Uint64("lost", lost).Msg("journal: acts are written again")
				lost = 0
			}
			err := file.Write(r)
			if err != nil && lost == 0 && len(owed) == 0 { // once, not for each act that a full disk turns down
				log.Error().Err(err).Str("file", c.File).Msg("journal: acts can't be written")
			}
			j.writeFailing.Store(err != nil)
			return err == nil
		}
		again := time.NewTicker(recordRetryInterval)
		defer again.Stop()
		for open := true; open; {
			var r audit.Record
			select {
			case r, open = <-j.records:
			case <-again.C:
			}
			had := len(owed)
			for len(owed) > 0 && write(owed[0]) {
				owed = owed[1:]
			}
			if had > 0 && len(owed) == 0 {
				log.Info().Str("file", c.File).Msg("journal: the counted acts that were owed are written")
			}
			switch {
			case r.Act == "" || write(r):
			case r.Act.MustBeRecorded() && len(owed) < maxQueuedRecords:
				owed = append(owed, r)
			default:
				lost++
				j.dropped.Add(1)
			}
		}
		j.dropped.Add(uint64(len(owed)))
		if n := j.dropped.Load(); n > 0 {
			log.Error().Uint64("acts", n).Msg("journal: acts were dropped")
		}
		_ = file.Close()
	}()
	return j, nil
}

func (j *journal) write(r audit.Record) {
	if j == nil {
		return
	}
	select {
	case j.records <- r:
	default:
		j.dropped.Add(1)
	}
}

// close waits until all that was noted is written.
func (j *journal) close() {
	if j != nil {
		close(j.records)
		<-j.done
	}
}

// gapRecord is the record of a gap before an act.
func gapRecord(next audit.Record, lost uint64) audit.Record {
	return audit.Record{At: next.At, Instance: next.Instance, Build: next.Build, Config: next.Config, Revision: next.Revision,
		Act: audit.RecordsDropped, Sequence: lost}
}

// metrics are how many acts were dropped, and whether they can't be written now. It may be called on any goroutine.
func (j *journal) metrics() (dropped uint64, failing bool) {
	if j == nil {
		return 0, false
	}
	return j.dropped.Load(), j.writeFailing.Load()
}
