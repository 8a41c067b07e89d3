package replication

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"threadsail/internal/fleet/lease"
)

// MaxTotalSize bounds the bytes of all documents together: a pooler has 32 MB, and fetches them whole.
const MaxTotalSize = 4 << 20

// maxKeyLength bounds a document's name.
const maxKeyLength = 256

// Write is a write as the log carries it, stamped by the leader that proposed it.
type Write struct {
	Key             string `json:"key"`
	ExpectedVersion uint64 `json:"expect,omitempty"`
	Value           []byte `json:"value"` // nil: the document is deleted
	Fence           Fence  `json:"fence"`
}

// DocumentTable is the documents as the log has made them up to an index, the same at every steward. It is not safe for use by several
// goroutines. The zero Docs holds none. Values are never changed once they are in it.
type DocumentTable struct {
	version   uint64 // the index of the last write that was taken
	documents map[string]Document
	totalSize int // bytes of all keys and values
}

// Apply carries out a write that is committed at a log index. The lease table is that of the same index, its time moved on to
// the write's stamp (lease.Table.Pass). The error is ErrConflict, ErrFenced or ErrTooLarge, and then nothing has changed.
func (d *DocumentTable) Apply(w Write, index uint64, leases *lease.Lessor) (version uint64, err error) {
	old := d.documents[w.Key]
	total := d.totalSize - documentSize(old)
	if w.Value != nil {
		total += documentSize(Document{Key: w.Key, Value: w.Value})
	}
	switch {
	case w.Fence != (Fence{}) && !fenceHolds(w.Fence, leases):
		return 0, ErrFenced
	case old.Version != w.ExpectedVersion:
		return 0, fmt.Errorf("%w: %s is at %d, not %d", ErrConflict, w.Key, old.Version, w.ExpectedVersion)
	case w.Value == nil:
		delete(d.documents, w.Key)
	case w.Key == "" || len(w.Key) > maxKeyLength || len(w.Value) > MaxDocumentSize || total > MaxTotalSize || old.Version == 0 && len(d.documents) >= MaxDocuments:
		return 0, fmt.Errorf("%w: %q with %d bytes", ErrTooLarge, w.Key, len(w.Value))
	default:
		if d.documents == nil {
			d.documents = map[string]Document{}
		}
		d.documents[w.Key] = Document{Key: w.Key, Version: index, Value: w.Value}
	}
	d.version, d.totalSize = index, total
	return index, nil
}

// fenceHolds tells whether the duty is held with the token now, by the table's time: not by one whose term and drift are over,
// even if no other holds it yet.
func fenceHolds(f Fence, leases *lease.Lessor) bool {
	_, token := leases.Holder(f.Lease)
	return token != 0 && token == f.Token
}

func documentSize(d Document) int {
	if d.Key == "" {
		return 0
	}
	return len(d.Key) + len(d.Value)
}

// Get is a document; its Version is 0 if there is none.
func (d *DocumentTable) Get(key string) Document {
	doc := d.documents[key]
	doc.Key = key
	return doc
}

// Version is the log index of the last write that was taken.
func (d *DocumentTable) Version() uint64 { return d.version }

// Snapshot is all documents as of one version, for a copy.
func (d *DocumentTable) Snapshot() Snapshot {
	return Snapshot{Version: d.version, Documents: maps.Clone(d.documents)}
}

// Snapshot is all documents as of one version of the log. It is never changed once made.
type Snapshot struct {
	Version   uint64
	Documents map[string]Document
}

// List are the documents whose key has a prefix, by key.
func (s Snapshot) List(prefix string) (out []Document) {
	for k, d := range s.Documents {
		if strings.HasPrefix(k, prefix) {
			out = append(out, d)
		}
	}
	slices.SortFunc(out, func(a, b Document) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// encodedSnapshot is a State as a snapshot, a fetch and the copy on disk hold it.
type encodedSnapshot struct {
	Version   uint64     `json:"version"`
	Documents []Document `json:"docs"`
}

// MarshalJSON lists the documents by key.
func (s Snapshot) MarshalJSON() ([]byte, error) {
	return json.Marshal(encodedSnapshot{s.Version, s.List("")})
}

// UnmarshalJSON reads what MarshalJSON wrote, and refuses what no log can have made.
func (s *Snapshot) UnmarshalJSON(text []byte) error {
	var in encodedSnapshot
	if err := json.Unmarshal(text, &in); err != nil {
		return err
	}
	out := Snapshot{Version: in.Version, Documents: make(map[string]Document, len(in.Documents))}
	for _, d := range in.Documents {
		if _, twice := out.Documents[d.Key]; twice || d.Key == "" || d.Version == 0 || d.Version > in.Version || d.Value == nil {
			return fmt.Errorf("shared: document %q of version %d in documents of version %d", d.Key, d.Version, in.Version)
		}
		out.Documents[d.Key] = d
	}
	*s = out
	return nil
}

// MarshalJSON gives the documents for a snapshot.
func (d *DocumentTable) MarshalJSON() ([]byte, error) { return json.Marshal(d.Snapshot()) }

// UnmarshalJSON takes a snapshot's documents over; a text that can't be read changes nothing. null, as of a snapshot from before
// there were documents, is none.
func (d *DocumentTable) UnmarshalJSON(text []byte) error {
	var s Snapshot
	if !bytes.Equal(text, []byte("null")) {
		if err := json.Unmarshal(text, &s); err != nil {
			return err
		}
	}
	*d = DocumentTable{version: s.Version, documents: s.Documents}
	for _, doc := range s.Documents {
		d.totalSize += documentSize(doc)
	}
	return nil
}
