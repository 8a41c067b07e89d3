package purge

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"threadsail/internal/fleet/audit"
)

// ReadHistory reads the recorded purges from an audit journal and the rotated files beside it; it returns an empty history for an empty
// path. The journal is the only record of purges: after a restart, an edge records those that a crash kept out of the journal, and no
// others. Purges in unreadable parts of a file are missing from the history. If a file can't be read, ReadHistory returns an error
// together with the history of the other files.
func ReadHistory(path string, rotatedFiles int) (h History, err error) {
	if path == "" {
		return History{}, nil
	}
	var errs []error
	for i := range rotatedFiles + 1 {
		name := path
		if i > 0 {
			name = fmt.Sprintf("%s.%d", path, i)
		}
		content, err := os.ReadFile(name)
		if errors.Is(err, fs.ErrNotExist) {
			continue
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("purge: read journal: %w", err))
			continue
		}
		records, _ := audit.Parse(name, content)
		h.add(records)
	}
	return h, errors.Join(errs...)
}

// add adds the records of one file.
func (h *History) add(records []audit.Record) {
	for _, r := range records {
		if h.Since == 0 || r.At < h.Since {
			h.Since = r.At
		}
		if r.Act == audit.Purged {
			h.Fired = append(h.Fired, r.Purge)
		}
	}
}
