package replication

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Snapshot is all documents as of one version of the log. A Snapshot and its values never change once they are made.
type Snapshot struct {
	Version   uint64
	Documents map[string]Document // by key
}

// List returns the documents whose key has a prefix, in the order of their keys.
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

// encodedSnapshot is the form of a Snapshot in the log's snapshots, in messages and on disk.
type encodedSnapshot struct {
	Version   uint64     `json:"version"`
	Documents []Document `json:"docs"`
}

// MarshalJSON encodes the documents in the order of their keys.
func (s Snapshot) MarshalJSON() ([]byte, error) {
	return json.Marshal(encodedSnapshot{Version: s.Version, Documents: s.List("")})
}

// UnmarshalJSON decodes what MarshalJSON encoded. It refuses what no log can have made, and leaves s as it was then.
func (s *Snapshot) UnmarshalJSON(text []byte) error {
	var encoded encodedSnapshot
	if err := json.Unmarshal(text, &encoded); err != nil {
		return err
	}
	decoded := Snapshot{Version: encoded.Version, Documents: make(map[string]Document, len(encoded.Documents))}
	for _, document := range encoded.Documents {
		_, duplicate := decoded.Documents[document.Key]
		if duplicate || !validAt(document, encoded.Version) {
			return fmt.Errorf("replication: document %q of version %d can't be in a snapshot of version %d", document.Key, document.Version, encoded.Version)
		}
		decoded.Documents[document.Key] = document
	}
	*s = decoded
	return nil
}

// validAt reports whether a document can stand in a snapshot of a version.
func validAt(document Document, version uint64) bool {
	return document.Key != "" && document.Version != 0 && document.Version <= version && document.Value != nil
}
