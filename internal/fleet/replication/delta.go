package replication

import "slices"

// maxDeltaSize bounds the values that a word carries with it: a datagram of a few packets. What is larger is fetched.
const maxDeltaSize = 4 << 10

// Delta is what has changed from one version of the documents to another. It brings a copy of any version between the two to its own:
// a document that was last written up to Since and that it does not name is the same in all of them, as one that is deleted and made
// again gets a version that none had before; and one that was written since, and that it does not name, is gone again.
type Delta struct {
	BaseVersion uint64     `json:"since"`
	Version     uint64     `json:"version"`
	Documents   []Document `json:"docs,omitempty"`
	RemovedKeys []string   `json:"gone,omitempty"` // keys
}

// diffSnapshots is what has changed from one state of the log to a later one; ok false: nothing has, or it is too large for a word.
func diffSnapshots(from, to Snapshot) (d Delta, ok bool) {
	d.BaseVersion, d.Version = from.Version, to.Version
	bytes := 0
	for key, doc := range to.Documents {
		if from.Documents[key].Version != doc.Version {
			d.Documents = append(d.Documents, doc)
			bytes += documentSize(doc)
		}
	}
	for key := range from.Documents {
		if _, there := to.Documents[key]; !there {
			d.RemovedKeys = append(d.RemovedKeys, key)
			bytes += len(key)
		}
	}
	slices.Sort(d.RemovedKeys)
	return d, from.Version < to.Version && bytes <= maxDeltaSize
}

// ApplyTo is the state that the delta makes of another; ok false: that one is not between its versions.
func (d Delta) ApplyTo(s Snapshot) (next Snapshot, ok bool) {
	if s.Version < d.BaseVersion || s.Version >= d.Version {
		return s, false
	}
	next = Snapshot{Version: d.Version, Documents: make(map[string]Document, len(s.Documents)+len(d.Documents))}
	for key, doc := range s.Documents {
		if doc.Version <= d.BaseVersion && !slices.Contains(d.RemovedKeys, key) {
			next.Documents[key] = doc
		}
	}
	for _, doc := range d.Documents {
		if doc.Key == "" || doc.Version == 0 || doc.Version > d.Version || doc.Value == nil {
			return s, false
		}
		next.Documents[doc.Key] = doc
	}
	return next, true
}
