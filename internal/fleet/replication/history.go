package replication

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

// Limits of a History. At 4,000 changes a day historyRetention covers 333 versions. A replica of a version that is no longer in the
// history needs a snapshot.
const (
	historyRetention   = 2 * time.Hour
	maxHistoryVersions = 4096
	maxRemovedKeyBytes = 256 << 10
)

// History records versions of the documents and computes deltas from them to the newest version. Of earlier versions it keeps only
// the version number and the removed keys. Values are kept for the newest version alone, so a delta contains each changed document
// once, however often it has changed. The zero History is empty. A History is not safe for concurrent use.
type History struct {
	// FullReplacement must be set if each version replaces all documents and its writer may not have seen the previous version. The
	// versions of the documents then don't show what has changed, so Record compares their values, and a replica of a version that was
	// not recorded here needs a snapshot.
	FullReplacement bool

	newest          Snapshot
	versions        []recordedVersion // oldest first; each can be the base of a delta
	removedKeyBytes int               // total size of the removed keys of all versions
}

// recordedVersion is a recorded version of the documents. It is kept until historyRetention has passed since the next version was
// recorded, because all replicas stay at a version until there is a newer one.
type recordedVersion struct {
	version     uint64
	recordedAt  time.Time
	removedKeys []string // keys that the previous recorded version had and this one lacks
}

// Record records a snapshot. A snapshot that is not newer than the newest recorded one is ignored.
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

// trim drops the oldest versions until the history is within its limits. The newest version always stays.
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

// mustDrop reports whether the history exceeds a limit while the version at index oldest is its oldest one. A newer version must
// follow at oldest+1.
func (h *History) mustDrop(oldest int) bool {
	expired := time.Since(h.versions[oldest+1].recordedAt) > historyRetention
	tooMany := len(h.versions)-oldest > maxHistoryVersions
	return expired || tooMany || h.removedKeyBytes > maxRemovedKeyBytes
}

// restampDocuments returns s with the version of each document set to the recorded version that last changed its value. previous is
// the snapshot recorded before s.
func restampDocuments(previous, s Snapshot) Snapshot {
	restamped := Snapshot{Version: s.Version, Documents: make(map[string]Document, len(s.Documents))}
	for key, document := range s.Documents {
		document.Version = s.Version
		if same, ok := previous.Documents[key]; ok && bytes.Equal(same.Value, document.Value) {
			document.Version = same.Version
		}
		restamped.Documents[key] = document
	}
	return restamped
}

// Version returns the newest recorded version.
func (h *History) Version() uint64 { return h.newest.Version }

// Snapshot returns the newest recorded snapshot.
func (h *History) Snapshot() Snapshot { return h.newest }

// DeltaSince returns a delta that brings a replica of the given version to the newest version. ok is false if the replica needs a
// snapshot, because its version is too old or was not recorded, or if the replica already has the newest version.
//
// The delta's base is the newest recorded version that is not newer than the replica's. If the replica's version itself was not
// recorded, the replica may have documents that were removed before the next version was recorded here; Delta.ApplyTo drops them.
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

// removedSince returns the keys that were removed after the version at index base and that the newest version lacks, sorted.
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
