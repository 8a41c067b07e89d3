package purge

import (
	"errors"
	"fmt"
	"io/fs"
	"os"

	"threadsail/internal/fleet/audit"
)

// ReadHistory reads which purges a journal of acts, and the files put aside beside it, has noted. So the journal itself tells
// whether a purge was noted: one that a crash kept from it is noted after the restart, and no other. A place that can't be read
// hides what stood there.
func ReadHistory(path string, keep int) (h History, err error) {
	if path == "" {
		return h, nil
	}
	for i := range keep + 1 {
		name := path
		if i > 0 {
			name = fmt.Sprintf("%s.%d", path, i)
		}
		text, e := os.ReadFile(name)
		if errors.Is(e, fs.ErrNotExist) {
			continue
		}
		if e != nil {
			err = errors.Join(err, e)
			continue
		}
		records, _ := audit.Parse(name, text)
		for _, r := range records {
			if h.Since == 0 || r.At < h.Since {
				h.Since = r.At
			}
			if r.Act == audit.Purged {
				h.Fired = append(h.Fired, r.Purge)
			}
		}
	}
	return h, err
}
