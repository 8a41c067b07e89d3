package replication

import "slices"

// maxDeltaSize bounds the keys and values that an announcement carries, in bytes: the announcement is a datagram of a few packets.
// Larger changes are fetched.
const maxDeltaSize = 4 << 10

// Delta is what has changed from one version of the documents to a later one. It brings a replica of any version from BaseVersion up
// to, but not with, Version to Version:
//   - A document that was last written up to BaseVersion and that the delta does not name is the same in all versions between, as a
//     document that is deleted and made again gets a version that it never had.
//   - A document that was written after BaseVersion and that the delta does not name has been removed again by Version.
type Delta struct {
	BaseVersion uint64     `json:"since"`
	Version     uint64     `json:"version"`
	Documents   []Document `json:"docs,omitempty"`
	RemovedKeys []string   `json:"gone,omitempty"`
}

// diffSnapshots returns what has changed from one snapshot of the log to a later one. ok is false if nothing has, or if the delta is
// too large for an announcement.
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

// ApplyTo returns the snapshot that the delta makes of s. ok is false if s is not between the delta's versions, or if the delta holds
// what no log can have made.
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
