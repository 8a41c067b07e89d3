package replication

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Bounds of a History: two hours of 4,000 changes a day are 333 versions. A replica of an older version is brought up to date by a
// snapshot.
const (
	historyRetention   = 2 * time.Hour
	maxHistoryVersions = 4096
	maxRemovedKeyBytes = 256 << 10
)

// History is what must be kept of earlier versions to tell what has changed since each: which versions there were, and which keys
// were removed. Of the documents' values only those of the newest version are kept, so a document that changes often is sent once.
// It is not safe for concurrent use. The zero History has recorded no version.
type History struct {
	// FullReplacement says that each version replaces all documents, by a writer that may not have seen the version before. The
	// versions of the documents then tell nothing about other versions of the whole: changes are found by comparing the recorded
	// snapshots, and a replica of a version that was not recorded here needs a snapshot.
	FullReplacement bool

	newest          Snapshot
	versions        []recordedVersion // oldest first; each is a base for deltas
	removedKeyBytes int               // of all versions
}

// recordedVersion is a version that was recorded, and the keys of the version recorded before that are missing in it. It is kept for
// historyRetention from when the next version was recorded: until then every replica is at it.
type recordedVersion struct {
	version     uint64
	recordedAt  time.Time
	removedKeys []string
}

// Record adds a version that is newer than all those recorded; any other is ignored.
func (h *History) Record(s Snapshot) {
	if s.Version <= h.newest.Version && len(h.versions) > 0 {
		return
	}
	if h.FullReplacement {
		s = restampDocuments(h.newest, s)
	}
	added := recordedVersion{version: s.Version, recordedAt: time.Now()}
	for key := range h.newest.Documents {
		if _, present := s.Documents[key]; !present {
			added.removedKeys = append(added.removedKeys, key)
			h.removedKeyBytes += len(key)
		}
	}
	h.newest = s
	h.versions = append(h.versions, added)
	h.trim()
}

// trim drops the oldest versions until the history is within its bounds. The newest version always stays.
func (h *History) trim() {
	dropped := 0
	for dropped < len(h.versions)-1 && h.mustDrop(dropped) {
		for _, key := range h.versions[dropped].removedKeys {
			h.removedKeyBytes -= len(key)
		}
		dropped++
	}
	h.versions = slices.Delete(h.versions, 0, dropped)
}

// mustDrop reports whether the version at an index, the oldest that is left, is over a bound. It is followed by another version.
func (h *History) mustDrop(oldest int) bool {
	expired := time.Since(h.versions[oldest+1].recordedAt) > historyRetention
	tooMany := len(h.versions)-oldest > maxHistoryVersions
	return expired || tooMany || h.removedKeyBytes > maxRemovedKeyBytes
}

// restampDocuments returns s with the version of each document changed to the recorded version at which its value last changed.
func restampDocuments(old, s Snapshot) Snapshot {
	restamped := Snapshot{Version: s.Version, Documents: make(map[string]Document, len(s.Documents))}
	for key, document := range s.Documents {
		document.Version = s.Version
		if same, ok := old.Documents[key]; ok && bytes.Equal(same.Value, document.Value) {
			document.Version = same.Version
		}
		restamped.Documents[key] = document
	}
	return restamped
}

// Version returns the newest version that was recorded.
func (h *History) Version() uint64 { return h.newest.Version }

// Snapshot returns the newest snapshot that was recorded.
func (h *History) Snapshot() Snapshot { return h.newest }

// DeltaSince returns the delta that brings a replica of a version to the newest version. ok is false if the version is older than
// what is kept, or the newest already: the replica needs a snapshot, or nothing.
//
// The delta begins at the newest recorded version that is not newer than the replica's. Between the two the replica may have seen
// documents that were removed before the next version was recorded here; Delta.ApplyTo drops those.
func (h *History) DeltaSince(version uint64) (d Delta, ok bool) {
	base, recorded := slices.BinarySearchFunc(h.versions, version, func(r recordedVersion, version uint64) int {
		return cmp.Compare(r.version, version)
	})
	if !recorded {
		if h.FullReplacement {
			return d, false
		}
		base--
	}
	if base < 0 || version >= h.newest.Version {
		return d, false
	}
	d.BaseVersion = h.versions[base].version
	d.Version = h.newest.Version
	for _, document := range h.newest.Documents {
		if document.Version > d.BaseVersion {
			d.Documents = append(d.Documents, document)
		}
	}
	d.RemovedKeys = h.removedSince(base)
	return d, true
}

// removedSince returns the keys, sorted, that were removed after the version at an index and are not in the newest version.
func (h *History) removedSince(base int) []string {
	var removed []string
	for _, recorded := range h.versions[base+1:] {
		for _, key := range recorded.removedKeys {
			if _, present := h.newest.Documents[key]; !present {
				removed = append(removed, key)
			}
		}
	}
	slices.Sort(removed)
	return slices.Compact(removed)
}
