package replication

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"

	"threadsail/internal/fleet/lease"
)

// Write is a write of a document, in the form that is stored in the log.
type Write struct {
	Key             string `json:"key"`
	ExpectedVersion uint64 `json:"expect,omitempty"` // 0: the document must not exist
	Value           []byte `json:"value"`            // nil: the document is deleted
	Fence           Fence  `json:"fence"`
}

// DocumentTable is the replicated state machine of the documents: the result of applying all writes up to a log index, which is the
// same on every voter. The zero DocumentTable is empty. Values in the table are never modified in place. A DocumentTable is not safe
// for concurrent use.
type DocumentTable struct {
	version   uint64 // index of the last write that was accepted
	documents map[string]Document
	totalSize int // bytes of all keys and values
}

// Apply applies a write that was committed at a log index. leases must be the lessor at the same index, with its time advanced to the
// write's timestamp (lease.Lessor.AdvanceTime). If the write is refused, the table is unchanged and the error wraps ErrConflict,
// ErrFenced or ErrTooLarge.
func (t *DocumentTable) Apply(w Write, index uint64, leases *lease.Lessor) (version uint64, err error) {
	current := t.documents[w.Key]
	totalSize := t.totalSize - documentSize(current)
	if w.Value != nil {
		totalSize += documentSize(Document{Key: w.Key, Value: w.Value})
	}
	switch {
	case w.Fence != Fence{} && !fenceHolds(w.Fence, leases):
		return 0, ErrFenced
	case current.Version != w.ExpectedVersion:
		return 0, fmt.Errorf("%w: %s is at %d, not %d", ErrConflict, w.Key, current.Version, w.ExpectedVersion)
	case w.Value == nil:
		delete(t.documents, w.Key)
	case !t.fits(w, current, totalSize):
		return 0, fmt.Errorf("%w: %q with %d bytes", ErrTooLarge, w.Key, len(w.Value))
	default:
		if t.documents == nil {
			t.documents = map[string]Document{}
		}
		t.documents[w.Key] = Document{Key: w.Key, Version: index, Value: w.Value}
	}
	t.version = index
	t.totalSize = totalSize
	return index, nil
}

// fits reports whether the table stays within its limits if w replaces current and all documents then have totalSize bytes.
func (t *DocumentTable) fits(w Write, current Document, totalSize int) bool {
	isNew := current.Version == 0
	switch {
	case w.Key == "", len(w.Key) > maxKeyLength, len(w.Value) > MaxDocumentSize:
		return false
	case isNew && len(t.documents) >= MaxDocuments:
		return false
	}
	return totalSize <= MaxTotalSize
}

// fenceHolds reports whether the fence's lease is held with its token at the lessor's time. A lease is no longer held once its term
// and the clock drift have passed, even if nobody else has acquired it.
func fenceHolds(f Fence, leases *lease.Lessor) bool {
	_, token := leases.Holder(f.Lease)
	return token != 0 && token == f.Token
}

// documentSize returns the bytes that a document adds to DocumentTable.totalSize; the zero Document adds none.
func documentSize(d Document) int {
	if d.Key == "" {
		return 0
	}
	return len(d.Key) + len(d.Value)
}

// Get returns the document with the given key. Its Version is 0 if it does not exist.
func (t *DocumentTable) Get(key string) Document {
	document := t.documents[key]
	document.Key = key
	return document
}

// Version returns the log index of the last write that was accepted.
func (t *DocumentTable) Version() uint64 { return t.version }

// Snapshot returns all documents at the table's version.
func (t *DocumentTable) Snapshot() Snapshot {
	return Snapshot{Version: t.version, Documents: maps.Clone(t.documents)}
}

// MarshalJSON encodes the table for a raft snapshot.
func (t *DocumentTable) MarshalJSON() ([]byte, error) { return json.Marshal(t.Snapshot()) }

// UnmarshalJSON replaces the table with the one encoded in a raft snapshot. It decodes null, which stands for a snapshot of a build
// that had no shared documents, to an empty table. After an error the table is unchanged.
func (t *DocumentTable) UnmarshalJSON(text []byte) error {
	var s Snapshot
	if !bytes.Equal(text, []byte("null")) {
		if err := json.Unmarshal(text, &s); err != nil {
			return err
		}
	}
	*t = DocumentTable{version: s.Version, documents: s.Documents}
	for _, document := range s.Documents {
		t.totalSize += documentSize(document)
	}
	return nil
}
