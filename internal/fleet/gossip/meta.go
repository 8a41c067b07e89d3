package gossip

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/hashicorp/memberlist"
)

// Meta is the metadata that a pooler publishes about itself. Its JSON must not exceed memberlist's limit of 512 bytes.
type Meta struct {
	Build    string `json:"build,omitempty"`  // version of the program
	Config   string `json:"config,omitempty"` // digest of its configuration
	Token    uint64 `json:"token,omitempty"`  // token of the list in force, as in discoveryleader.Announcement
	Sequence uint64 `json:"seq,omitempty"`    // sequence of the list in force, likewise
}

const (
	metaCheckInterval = 2 * time.Second        // interval between checks for a change of the meta
	metaUpdateSpacing = 200 * time.Millisecond // per pooler: minimum time between updates, each of which is gossiped to all
)

// SetMeta sets the metadata that this pooler publishes. The other poolers receive it after some seconds.
func (n *Node) SetMeta(meta Meta) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.metaChanged = n.metaChanged || n.meta != meta
	n.meta = meta
}

// takeMetaChange reports whether a change of the meta must be published now, given the time of the previous publication. If so,
// it marks the change as published.
func (n *Node) takeMetaChange(lastPublishedAt time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	spacing := time.Duration(len(n.alive)) * metaUpdateSpacing
	if !n.metaChanged || time.Since(lastPublishedAt) < spacing {
		return false
	}
	n.metaChanged = false
	return true
}

// publishMeta makes memberlist publish the meta. It does not wait for that: if memberlist refutes a suspicion of this pooler at
// the same time, it drops the update without an error, and a wait would never end. publishMeta then marks the meta as changed,
// so that it is published again.
func (n *Node) publishMeta() {
	_ = n.memberlist.UpdateNode(time.Nanosecond) // the error only says that the timeout has passed
	encoded := n.encodeMeta(memberlist.MetaMaxSize)
	n.mu.Lock()
	defer n.mu.Unlock()
	if own := n.alive[n.options.Name]; own != nil && !bytes.Equal(own.Meta, encoded) { // as passed to NotifyUpdate
		n.metaChanged = true
	}
}

// encodeMeta returns the JSON of the meta, or nil if it is longer than limit bytes.
func (n *Node) encodeMeta(limit int) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	encoded, err := json.Marshal(n.meta)
	if err != nil || len(encoded) > limit {
		return nil
	}
	return encoded
}
