package gossip

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/hashicorp/memberlist"
)

// Meta is what a pooler publishes of itself. Its JSON must stay within memberlist's 512 bytes.
type Meta struct {
	Build    string `json:"build,omitempty"`  // version of the program
	Config   string `json:"config,omitempty"` // digest of its configuration
	Token    uint64 `json:"token,omitempty"`  // of the list in force, as in discoveryleader.Announcement
	Sequence uint64 `json:"seq,omitempty"`
}

const (
	metaCheckInterval = 2 * time.Second        // how often the node looks whether its meta has changed
	metaUpdateSpacing = 200 * time.Millisecond // times the fleet's size: between two updates, each of which all pass on to all
)

// SetMeta changes what this pooler publishes of itself. The fleet hears of it within some seconds.
func (n *Node) SetMeta(meta Meta) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.metaChanged = n.metaChanged || n.meta != meta
	n.meta = meta
}

// takeMetaChange reports whether a change of the meta is to be published now, after the one at lastPublishedAt, and if so
// takes it as published.
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

// publishMeta has the meta passed on. It does not wait for that: where memberlist refutes a suspicion of this pooler at the
// same moment it drops the update silently, and would never end the wait. The update is then published again.
func (n *Node) publishMeta() {
	_ = n.memberlist.UpdateNode(time.Nanosecond) // its error says that it was not waited for
	text := n.encodeMeta(memberlist.MetaMaxSize)
	n.mu.Lock()
	defer n.mu.Unlock()
	if own := n.alive[n.options.Name]; own != nil && !bytes.Equal(own.Meta, text) { // as it came back by NotifyUpdate
		n.metaChanged = true
	}
}

// encodeMeta is the meta as memberlist carries it; nil if it is longer than limit.
func (n *Node) encodeMeta(limit int) []byte {
	n.mu.Lock()
	defer n.mu.Unlock()
	text, err := json.Marshal(n.meta)
	if err != nil || len(text) > limit {
		return nil
	}
	return text
}
