package pooler

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"threadsail/internal/config"
	"threadsail/internal/fleet/audit"
)

const (
	// maxQueuedRecords is how many records may wait for the disk; a disk that hangs must not hold the loop, nor fill the memory.
	maxQueuedRecords = 1024

	// recordRetryInterval is how often counted records that the disk has turned down are tried again.
	recordRetryInterval = time.Second
)

// journal writes a pooler's acts to its audit file, on a goroutine of its own from openJournal to close. A nil journal writes nothing.
type journal struct {
	records      chan audit.Record
	done         chan struct{} // closed: the goroutine has ended
	dropped      atomic.Uint64
	writeFailing atomic.Bool // the last record could not be written
}

// openJournal opens the audit file and starts the writer's goroutine; without a file it returns nil.
func openJournal(c config.JournalConfig, log zerolog.Logger) (*journal, error) {
	if c.File == "" {
		return nil, nil
	}
	file, truncated, err := audit.Open(c.File, c.MaxBytes, c.MaxRotated)
	if err != nil {
		return nil, err
	}
	if truncated > 0 {
		log.Warn().Str("file", c.File).Int64("bytes", truncated).Msg("journal: a torn end was cut")
	}
	j := &journal{records: make(chan audit.Record, maxQueuedRecords), done: make(chan struct{})}
	writer := &journalWriter{journal: j, file: file, log: log.With().Str("file", c.File).Logger()}
	go writer.run()
	return j, nil
}

// write queues a record. It never waits: a record that finds no place is dropped and counted.
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

// close waits until everything queued is written.
func (j *journal) close() {
	if j != nil {
		close(j.records)
		<-j.done
	}
}

// metrics returns how many records were dropped, and whether they can't be written now. It may be called on any goroutine.
func (j *journal) metrics() (dropped uint64, writeFailing bool) {
	if j == nil {
		return 0, false
	}
	return j.dropped.Load(), j.writeFailing.Load()
}

// journalWriter is the goroutine of a journal. Records that count for the audit wait for room on the disk; others are dropped, and a
// record of the gap goes before the next one that is written.
type journalWriter struct {
	journal *journal
	file    *audit.Journal
	log     zerolog.Logger
	lost    uint64         // records dropped since the last that was written
	pending []audit.Record // counted records that wait for room on the disk
}

// run writes records until the journal is closed.
func (w *journalWriter) run() {
	defer close(w.journal.done)
	retry := time.NewTicker(recordRetryInterval)
	defer retry.Stop()
	for open := true; open; {
		var r audit.Record
		select {
		case r, open = <-w.journal.records:
		case <-retry.C:
		}
		w.writePending()
		if r.Act != "" {
			w.writeOrKeep(r)
		}
	}
	w.finish()
}

// writePending writes the records that wait for room on the disk, as far as that goes.
func (w *journalWriter) writePending() {
	if len(w.pending) == 0 {
		return
	}
	for len(w.pending) > 0 && w.write(w.pending[0]) {
		w.pending = w.pending[1:]
	}
	if len(w.pending) == 0 {
		w.log.Info().Msg("journal: the counted acts that were owed are written")
	}
}

// writeOrKeep writes a record; one that the disk turns down is kept for later if it counts, and dropped otherwise.
func (w *journalWriter) writeOrKeep(r audit.Record) {
	switch {
	case w.write(r):
	case r.Act.MustBeRecorded() && len(w.pending) < maxQueuedRecords:
		w.pending = append(w.pending, r)
	default:
		w.lost++
		w.journal.dropped.Add(1)
	}
}

// write writes a record, behind that of the gap before it, if there is one: the reader must know of the gap.
func (w *journalWriter) write(r audit.Record) bool {
	if w.lost > 0 && w.file.Write(gapRecord(r, w.lost)) == nil {
		w.log.Info().Uint64("lost", w.lost).Msg("journal: acts are written again")
		w.lost = 0
	}
	err := w.file.Write(r)
	if err != nil && w.lost == 0 && len(w.pending) == 0 { // once, not for each record that a full disk turns down
		w.log.Error().Err(err).Msg("journal: acts can't be written")
	}
	w.journal.writeFailing.Store(err != nil)
	return err == nil
}

// finish counts what was never written, and closes the file.
func (w *journalWriter) finish() {
	w.journal.dropped.Add(uint64(len(w.pending)))
	if n := w.journal.dropped.Load(); n > 0 {
		w.log.Error().Uint64("acts", n).Msg("journal: acts were dropped")
	}
	_ = w.file.Close()
}

// gapRecord returns the record of a gap of lost records before next.
func gapRecord(next audit.Record, lost uint64) audit.Record {
	return audit.Record{
		At:       next.At,
		Instance: next.Instance,
		Build:    next.Build,
		Config:   next.Config,
		Revision: next.Revision,
		Act:      audit.RecordsDropped,
		Sequence: lost,
	}
}
