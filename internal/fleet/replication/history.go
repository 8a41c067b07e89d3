package replication

import (
	"bytes"
	"slices"
	"time"
)

// The bounds of a History: two hours of 4,000 changes a day are 333. What is older, or more, is brought by a whole copy.
const (
	historyRetention   = 2 * time.Hour
	maxHistoryVersions = 4096
	maxRemovedKeyBytes = 256 << 10 // bytes of the keys that are gone
)

// History is what must be kept of older versions to tell what has changed since them: which they were, and which keys have gone.
// The values are those of the newest version alone, so that what changes often is told once. It is not safe for use by several
// goroutines. The zero History has seen nothing.
type History struct {
	// FullReplacement: each version is written whole by whoever has the right to, who may not have seen the one before. The versions of its
	// documents then say nothing of what another version holds: what has changed is found here by comparing what was noted, and a
	// copy of any version that was not noted here needs the whole.
	FullReplacement bool

	newest          Snapshot
	versions        []recordedVersion // oldest first; the version of each is a base for deltas
	removedKeyBytes int
}

// recordedVersion is a version that was noted, and which keys of the one noted before it are gone in it. It is kept for keptFor from when the next
// one took its place: until then every copy is at it.
type recordedVersion struct {
	version     uint64
	recordedAt  time.Time
	removedKeys []string
}

// Record takes in a newer version; any other is passed over.
func (h *History) Record(s Snapshot) {
	if s.Version <= h.newest.Version && len(h.versions) > 0 {
		return
	}
	if h.FullReplacement {
		s = restampDocuments(h.newest, s)
	}
	next := recordedVersion{version: s.Version, recordedAt: time.Now()}
	for key := range h.newest.Documents {
		if _, there := s.Documents[key]; !there {
			next.removedKeys = append(next.removedKeys, key)
			h.removedKeyBytes += len(key)
		}
	}
	h.newest, h.versions = s, append(h.versions, next)
	drop := 0
	for ; drop < len(h.versions)-1 && (time.Since(h.versions[drop+1].recordedAt) > historyRetention || len(h.versions)-drop > maxHistoryVersions || h.removedKeyBytes > maxRemovedKeyBytes); drop++ {
		for _, key := range h.versions[drop].removedKeys {
			h.removedKeyBytes -= len(key)
		}
	}
	h.versions = slices.Delete(h.versions, 0, drop)
}

// restampDocuments has each document tell at which of the versions noted it was last another one.
func restampDocuments(old, s Snapshot) Snapshot {
	out := Snapshot{Version: s.Version, Documents: make(map[string]Document, len(s.Documents))}
	for key, d := range s.Documents {
		d.Version = s.Version
		if same, ok := old.Documents[key]; ok && bytes.Equal(same.Value, d.Value) {
			d.Version = same.Version
		}
		out.Documents[key] = d
	}
	return out
}

// Version is the newest that was noted.
func (h *History) Version() uint64 { return h.newest.Version }

// Snapshot is the newest that was noted.
func (h *History) Snapshot() Snapshot { return h.newest }

// DeltaSince is what brings a copy of a version to the newest one. ok false: the version is older than what is kept, and the whole is
// needed. The delta begins at the newest noted version that is not newer than the copy's: of what was written between the two the
// copy may hold documents that were gone before the next version was noted here, and Delta.On drops those.
func (h *History) DeltaSince(version uint64) (d Delta, ok bool) {
	base, found := slices.BinarySearchFunc(h.versions, version, func(s recordedVersion, v uint64) int {
		switch {
		case s.version < v:
			return -1
		case s.version > v:
			return 1
		}
		return 0
	})
	if !found && h.FullReplacement {
		return d, false
	}
	if !found {
		base--
	}
	if base < 0 || version >= h.newest.Version {
		return d, false
	}
	d.BaseVersion, d.Version = h.versions[base].version, h.newest.Version
	for _, doc := range h.newest.Documents {
		if doc.Version > d.BaseVersion {
			d.Documents = append(d.Documents, doc)
		}
	}
	for _, s := range h.versions[base+1:] {
		for _, key := range s.removedKeys {
			if _, back := h.newest.Documents[key]; !back {
				d.RemovedKeys = append(d.RemovedKeys, key)
			}
		}
	}
	slices.Sort(d.RemovedKeys)
	d.RemovedKeys = slices.Compact(d.RemovedKeys)
	return d, true
}
