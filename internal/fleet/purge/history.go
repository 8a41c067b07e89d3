package purge

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"threadsail/internal/fleet/audit"
)

// ReadHistory reads which purges an audit journal, and the rotated files beside it, have recorded. The journal itself thus says whether a
// purge was recorded: one that a crash kept from the journal is recorded after the restart, and no other. A place that can't be read hides
// what stood there. The history that could be read is returned with an error too.
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

// add adds the records of a file.
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
