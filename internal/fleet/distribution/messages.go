package distribution

import (
	"encoding/binary"
	"fmt"
	"time"
)

// protocolVersion is the version of the stream protocol. A peer with another version is refused.
const protocolVersion = 1

const (
	// maxNameLength is the maximum length of the name of a pooler, region, resource or topic, in bytes.
	maxNameLength = 128
	// maxMessageBody is the maximum length of the body of a pooler's message or broadcast, in bytes. Its frame, with three names and
	// their lengths, is within maxPoolerFrame.
	maxMessageBody = maxPoolerFrame - 3*(maxNameLength+2) - 1
)

// hello is the first message on a stream, sent by the peer that opens it.
type hello struct {
	Protocol    int               `json:"protocol"`
	Name        string            `json:"name"`
	Region      string            `json:"region,omitempty"`
	Distributor bool              `json:"distributor,omitempty"` // the stream is a link
	Versions    map[string]uint64 `json:"has,omitempty"`         // versions that the sender holds, by resource
	// Insists is set once a distributor was full and none admitted the sender. Only the limit of descriptors (maxStreams) or the
	// admission rate may refuse it then.
	Insists bool   `json:"insists,omitempty"`
	Status  Status `json:"status"`
}

// validate returns an error if the stream can't be served. The peer receives its text as the reason of the refusal.
func (h hello) validate() error {
	switch {
	case h.Protocol != protocolVersion:
		return fmt.Errorf("protocol %d, here it is %d", h.Protocol, protocolVersion)
	case h.Name == "" || len(h.Name) > maxNameLength || len(h.Region) > maxNameLength:
		return fmt.Errorf("name %.40q, region %.40q: empty or too long", h.Name, h.Region)
	}
	return nil
}

// refusal is the answer to a hello whose stream is not admitted.
type refusal struct {
	Reason string `json:"why"`
	// RetryAfterMillis is the delay, in milliseconds, after which the peer should retry with this distributor; 0 means that it should
	// try another one.
	RetryAfterMillis int64 `json:"later_ms,omitempty"`
	// Full is set if this distributor has reached its limit of streams, so that the peer should try the others.
	Full bool `json:"full,omitempty"`
}

// permanent reports whether this distributor would refuse the same hello again at any time.
func (r refusal) permanent() bool { return !r.Full && r.RetryAfterMillis == 0 }

// heartbeat is the report that a pooler sends with a heartbeat.
type heartbeat struct {
	Versions map[string]uint64 `json:"has,omitempty"` // versions in force, by resource
	Status   Status            `json:"status"`
}

// announcement reports the newest versions that a distributor knows, and the number of poolers that it knows to be alive.
type announcement struct {
	Poolers   int                    `json:"n"`
	Resources []resourceAnnouncement `json:"f"`
}

// resourceAnnouncement states that Version was confirmed to be the newest of a resource at a time, in the form that
// replication.ConfirmationTime expects.
type resourceAnnouncement struct {
	Resource            string        `json:"f"`
	Version             uint64        `json:"v"`
	ConfirmedAtUnixNano int64         `json:"t"` // 0: never confirmed
	Age                 time.Duration `json:"a"` // time since the confirmation, by the distributor's clock
}

// holdings reports to another distributor which poolers have subscribed to this one and which have left it.
type holdings struct {
	Complete bool     `json:"all,omitempty"` // Arrived lists all subscribers, not only those since the last report
	Arrived  []string `json:"came,omitempty"`
	Departed []string `json:"went,omitempty"`
}

// message is a message from one pooler to another.
type message struct {
	to, from, topic string
	body            []byte
}

// frame returns the message encoded as a frame.
func (m message) frame() []byte {
	return encodeFrame(kindMessage, prependNames(m.body, m.to, m.from, m.topic))
}

// decodeMessage decodes the body of a message frame. It returns errMalformedFrame if a name is invalid.
func decodeMessage(body []byte) (m message, err error) {
	m.body, err = cutNames(body, &m.to, &m.from, &m.topic)
	return m, err
}

// broadcast is a message from one pooler to all others.
type broadcast struct {
	from, topic string
	body        []byte
}

// frame returns the broadcast encoded as a frame.
func (b broadcast) frame() []byte {
	return encodeFrame(kindBroadcast, prependNames(b.body, b.from, b.topic))
}

// decodeBroadcast decodes the body of a broadcast frame. It returns errMalformedFrame if a name is invalid.
func decodeBroadcast(body []byte) (b broadcast, err error) {
	b.body, err = cutNames(body, &b.from, &b.topic)
	return b, err
}

// checkMessageSize returns an error for a topic or body of a length that would make the receiver end the stream.
func checkMessageSize(topic string, body []byte, maxBody int) error {
	switch {
	case topic == "" || len(topic) > maxNameLength:
		return fmt.Errorf("topic is %d bytes long, want 1 to %d", len(topic), maxNameLength)
	case len(body) > maxBody:
		return fmt.Errorf("%w: body of %d bytes on topic %s", errFrameTooLong, len(body), topic)
	}
	return nil
}

// prependNames returns body preceded by the names, each with its length before it as a uvarint.
func prependNames(body []byte, names ...string) []byte {
	var out []byte
	for _, name := range names {
		out = binary.AppendUvarint(out, uint64(len(name)))
		out = append(out, name...)
	}
	return append(out, body...)
}

// cutNames is the inverse of prependNames: it stores the leading names of data in names and returns the remaining body. It returns
// errMalformedFrame if a name is empty, too long or truncated.
func cutNames(data []byte, names ...*string) (body []byte, err error) {
	for _, name := range names {
		length, used := binary.Uvarint(data)
		if used <= 0 || length == 0 || length > maxNameLength || length > uint64(len(data)-used) {
			return nil, errMalformedFrame
		}
		end := used + int(length)
		*name = string(data[used:end])
		data = data[end:]
	}
	return data, nil
}
