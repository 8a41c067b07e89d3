package fleet

import (
	"encoding/json"
	"time"

	"threadsail/internal/fleet/discoveryleader"
)

// messageKind says what a message is about. The kinds are those of the protocol between poolers.
type messageKind string

// The kinds of messages.
const (
	kindAnnouncement messageKind = "word"  // the leader's newest list: Announcement, MinimumBuild, MinimumConfigRevision
	kindListRequest  messageKind = "want"  // From asks for the list in force
	kindList         messageKind = "list"  // Announcement and its List
	kindPrimaryDown  messageKind = "lost"  // From has lost a Group's primary
	kindPrimary      messageKind = "found" // what the leader has found of a Group: Announcement's Token, Server, AsOf
)

// The topics under which the leader's messages are broadcast: a newer message replaces an older one of its topic.
const (
	topicAnnouncement  = "lists"
	topicPrimaryPrefix = "found/" // and the group's number
)

// message is what poolers send each other, one JSON object. The zero value of a field that a kind has no use for is left out.
type message struct {
	Kind                  messageKind                  `json:"kind"`
	From                  string                       `json:"from,omitempty"`
	Announcement          discoveryleader.Announcement `json:"word"`
	MinimumBuild          string                       `json:"least,omitempty"`        // that the leader's operators allow; empty: any
	MinimumConfigRevision uint64                       `json:"least_config,omitempty"` // that they allow
	List                  json.RawMessage              `json:"list,omitempty"`
	Group                 int                          `json:"group,omitempty"`
	Server                string                       `json:"server,omitempty"`   // the group's primary; empty: none was found
	AsOf                  time.Duration                `json:"as_of_ns,omitempty"` // Unix time: all machines read one clock (PROTOCOL)
}

func encodeMessage(m message) []byte {
	text, err := json.Marshal(m)
	if err != nil {
		panic(err) // a list is JSON that this process wrote
	}
	return text
}

// dispatch decodes a message of another pooler and reports it to this one. What can't be decoded is logged and has no effect;
// a kind that is not known has none either.
func (c *Coordinator) dispatch(text []byte) {
	var m message
	if err := json.Unmarshal(text, &m); err != nil {
		c.log.Warn().Err(err).Msg("fleet: message of another pooler can't be decoded")
		return
	}
	switch m.Kind {
	case kindAnnouncement:
		minimum := discoveryleader.MinimumVersion{Build: m.MinimumBuild, ConfigRevision: m.MinimumConfigRevision}
		c.events.Announced(m.Announcement, minimum)
	case kindListRequest:
		c.events.ListRequested(m.From)
	case kindList:
		c.events.ListReceived(m.Announcement, m.List)
	case kindPrimaryDown:
		c.events.PrimaryReportedDown(m.Group)
	case kindPrimary:
		c.events.PrimaryAnnounced(m.Announcement.Token, m.Group, m.Server, m.AsOf)
	}
}
