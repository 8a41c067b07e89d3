package fleet

import (
	"encoding/json"
	"time"

	"threadsail/internal/fleet/discoveryleader"
)

// messageKind is the kind of a message in the protocol between poolers.
type messageKind string

// The kinds of messages.
const (
	kindAnnouncement messageKind = "word"  // announces the leader's newest list: Announcement, MinimumBuild, MinimumConfigRevision
	kindListRequest  messageKind = "want"  // requests the list in force: From
	kindList         messageKind = "list"  // carries the list in force: Announcement, List
	kindPrimaryDown  messageKind = "lost"  // reports that a primary is down: From, Group
	kindPrimary      messageKind = "found" // names the primary found by the leader: Announcement.Token, Group, Server, AsOf
)

// Topics of the leader's broadcasts. A newer message replaces an older one of the same topic.
const (
	topicAnnouncement  = "lists"
	topicPrimaryPrefix = "found/" // followed by the group's number
)

// message is a message between poolers, encoded as one JSON object. Fields that its kind does not use are zero and omitted.
type message struct {
	Kind                  messageKind                  `json:"kind"`
	From                  string                       `json:"from,omitempty"`
	Announcement          discoveryleader.Announcement `json:"word"`
	MinimumBuild          string                       `json:"least,omitempty"`        // minimum that the leader's operators allow; empty for any
	MinimumConfigRevision uint64                       `json:"least_config,omitempty"` // minimum that they allow
	List                  json.RawMessage              `json:"list,omitempty"`
	Group                 int                          `json:"group,omitempty"`
	Server                string                       `json:"server,omitempty"`   // the group's primary; empty if none was found
	AsOf                  time.Duration                `json:"as_of_ns,omitempty"` // Unix time in ns, comparable between machines (PROTOCOL)
}

// encodeMessage returns the JSON of a message.
func encodeMessage(content message) []byte {
	encoded, err := json.Marshal(content)
	if err != nil {
		panic(err) // unreachable: the only raw JSON is the list, which this process has encoded
	}
	return encoded
}

// dispatch decodes a message of another pooler and calls the event callback of its kind. A message that can't be decoded is
// logged and ignored; a message of an unknown kind is ignored.
func (c *Coordinator) dispatch(encoded []byte) {
	var received message
	if err := json.Unmarshal(encoded, &received); err != nil {
		c.log.Warn().Err(err).Msg("fleet: message of another pooler can't be decoded")
		return
	}
	switch received.Kind {
	case kindAnnouncement:
		minimum := discoveryleader.MinimumVersion{Build: received.MinimumBuild, ConfigRevision: received.MinimumConfigRevision}
		c.events.Announced(received.Announcement, minimum)
	case kindListRequest:
		c.events.ListRequested(received.From)
	case kindList:
		c.events.ListReceived(received.Announcement, received.List)
	case kindPrimaryDown:
		c.events.PrimaryReportedDown(received.Group)
	case kindPrimary:
		c.events.PrimaryAnnounced(received.Announcement.Token, received.Group, received.Server, received.AsOf)
	}
}
