package replication

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Snapshot is the set of all documents at one version of the log. A Snapshot is immutable, and so are the values in it.
type Snapshot struct {
	Version   uint64
	Documents map[string]Document // by key
}

// List returns the documents whose key has the prefix, sorted by key.
func (s Snapshot) List(prefix string) []Document {
	var documents []Document
	for key, document := range s.Documents {
		if strings.HasPrefix(key, prefix) {
			documents = append(documents, document)
		}
	}
	slices.SortFunc(documents, func(a, b Document) int { return strings.Compare(a.Key, b.Key) })
	return documents
}

// encodedSnapshot is the JSON form of a Snapshot in raft snapshots, in messages and on disk.
type encodedSnapshot struct {
	Version   uint64     `json:"version"`
	Documents []Document `json:"docs"`
}

// MarshalJSON encodes the snapshot with its documents sorted by key.
func (s Snapshot) MarshalJSON() ([]byte, error) {
	return json.Marshal(encodedSnapshot{Version: s.Version, Documents: s.List("")})
}

// UnmarshalJSON decodes the output of MarshalJSON. It returns an error and leaves s unchanged if a key occurs twice or a document is
// not valid at the snapshot's version.
func (s *Snapshot) UnmarshalJSON(text []byte) error {
	var encoded encodedSnapshot
	if err := json.Unmarshal(text, &encoded); err != nil {
		return err
	}
	decoded := Snapshot{Version: encoded.Version, Documents: make(map[string]Document, len(encoded.Documents))}
	for _, document := range encoded.Documents {
		_, duplicate := decoded.Documents[document.Key]
		if duplicate || !validAt(document, encoded.Version) {
			return fmt.Errorf("replication: duplicate or invalid document %q of version %d in snapshot of version %d", document.Key, document.Version, encoded.Version)
		}
		decoded.Documents[document.Key] = document
	}
	*s = decoded
	return nil
}

// validAt reports whether a document can occur in a snapshot of the given version: it has a key, a value and a version that is not
// newer.
func validAt(document Document, version uint64) bool {
	return document.Key != "" && document.Version != 0 && document.Version <= version && document.Value != nil
}
