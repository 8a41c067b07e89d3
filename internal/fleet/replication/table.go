package replication

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"

	"threadsail/internal/fleet/lease"
)

// Write is one write as the log carries it.
type Write struct {
	Key             string `json:"key"`
	ExpectedVersion uint64 `json:"expect,omitempty"` // 0: the document must not exist
	Value           []byte `json:"value"`            // nil: the document is deleted
	Fence           Fence  `json:"fence"`
}

// DocumentTable is the voters' state machine of documents: what the log has made of them up to an index, the same at every voter.
// It is not safe for concurrent use. The zero DocumentTable is empty. Values never change once they are in the table.
type DocumentTable struct {
	version   uint64 // index of the last write that was accepted
	documents map[string]Document
	totalSize int // bytes of all keys and values
}

// Apply carries out a write that is committed at a log index. leases is the lessor as of the same index, its time advanced to the
// write's stamp (lease.Lessor.AdvanceTime). The error is ErrConflict, ErrFenced or ErrTooLarge, and the table is unchanged then.
func (t *DocumentTable) Apply(w Write, index uint64, leases *lease.Lessor) (version uint64, err error) {
	old := t.documents[w.Key]
	totalSize := t.totalSize - documentSize(old)
	if w.Value != nil {
		totalSize += documentSize(Document{Key: w.Key, Value: w.Value})
	}
	switch {
	case w.Fence != Fence{} && !fenceHolds(w.Fence, leases):
		return 0, ErrFenced
	case old.Version != w.ExpectedVersion:
		return 0, fmt.Errorf("%w: %s is at %d, not %d", ErrConflict, w.Key, old.Version, w.ExpectedVersion)
	case w.Value == nil:
		delete(t.documents, w.Key)
	case !t.fits(w, old, totalSize):
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

// fits reports whether the table stays within its bounds with a write that takes the place of old and leads to totalSize.
func (t *DocumentTable) fits(w Write, old Document, totalSize int) bool {
	isNew := old.Version == 0
	switch {
	case w.Key == "", len(w.Key) > maxKeyLength, len(w.Value) > MaxDocumentSize:
		return false
	case isNew && len(t.documents) >= MaxDocuments:
		return false
	}
	return totalSize <= MaxTotalSize
}

// fenceHolds reports whether the fence's lease is held with its token at the lessor's time. A lease whose term and drift are over is
// not held, even if nobody else has acquired it.
func fenceHolds(f Fence, leases *lease.Lessor) bool {
	_, token := leases.Holder(f.Lease)
	return token != 0 && token == f.Token
}

// documentSize returns the bytes that a document counts for; the zero Document counts for none.
func documentSize(d Document) int {
	if d.Key == "" {
		return 0
	}
	return len(d.Key) + len(d.Value)
}

// Get returns a document; its Version is 0 if there is none of that key.
func (t *DocumentTable) Get(key string) Document {
	document := t.documents[key]
	document.Key = key
	return document
}

// Version returns the log index of the last write that was accepted.
func (t *DocumentTable) Version() uint64 { return t.version }

// Snapshot returns all documents as of the table's version.
func (t *DocumentTable) Snapshot() Snapshot {
	return Snapshot{Version: t.version, Documents: maps.Clone(t.documents)}
}

// MarshalJSON encodes the table for a snapshot of the log.
func (t *DocumentTable) MarshalJSON() ([]byte, error) { return json.Marshal(t.Snapshot()) }

// UnmarshalJSON replaces the table by that of a snapshot of the log. A text that can't be decoded leaves the table as it is. null, as
// in a snapshot from before there were documents, stands for an empty table.
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
