package replication

import "slices"

// maxDeltaSize is the maximum size in bytes of the keys and values in an announcement, which is sent as a datagram of a few packets.
// Replicas fetch larger changes.
const maxDeltaSize = 4 << 10

// Delta is the difference between two versions of the documents. It brings a replica of any version in [BaseVersion, Version) to
// Version. For documents that the delta does not list this follows from their versions:
//   - A document of a version up to BaseVersion is the same in all versions between, since a document that is deleted and created again
//     gets a new version.
//   - A document of a version after BaseVersion was removed again by Version.
type Delta struct {
	BaseVersion uint64     `json:"since"`
	Version     uint64     `json:"version"`
	Documents   []Document `json:"docs,omitempty"` // documents written after BaseVersion
	RemovedKeys []string   `json:"gone,omitempty"` // sorted
}

// diffSnapshots returns the delta between two snapshots. ok is false if to is not newer than from, or if the delta exceeds
// maxDeltaSize.
func diffSnapshots(from, to Snapshot) (d Delta, ok bool) {
	d.BaseVersion = from.Version
	d.Version = to.Version
	size := 0
	for key, document := range to.Documents {
		if from.Documents[key].Version != document.Version {
			d.Documents = append(d.Documents, document)
			size += documentSize(document)
		}
	}
	for key := range from.Documents {
		if _, present := to.Documents[key]; !present {
			d.RemovedKeys = append(d.RemovedKeys, key)
			size += len(key)
		}
	}
	slices.Sort(d.RemovedKeys)
	return d, from.Version < to.Version && size <= maxDeltaSize
}

// ApplyTo returns the snapshot that results from applying the delta to s. It returns s and false if the version of s is not in
// [BaseVersion, Version), or if the delta contains an invalid document.
func (d Delta) ApplyTo(s Snapshot) (next Snapshot, ok bool) {
	if s.Version < d.BaseVersion || s.Version >= d.Version {
		return s, false
	}
	next = Snapshot{Version: d.Version, Documents: make(map[string]Document, len(s.Documents)+len(d.Documents))}
	for key, document := range s.Documents {
		if document.Version <= d.BaseVersion && !slices.Contains(d.RemovedKeys, key) {
			next.Documents[key] = document
		}
	}
	for _, document := range d.Documents {
		if !validAt(document, d.Version) {
			return s, false
		}
		next.Documents[document.Key] = document
	}
	return next, true
}
