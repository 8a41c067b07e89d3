package distribution

import (
	"encoding/binary"
	"fmt"
	"time"
)

// protocolVersion is the version of the protocol of streams: a peer with another one is refused.
const protocolVersion = 1

const (
	// maxNameLength bounds the names of poolers, regions, resources and topics, in bytes.
	maxNameLength = 128
	// maxMessageBody bounds the body of a pooler's message or broadcast, in bytes, so that its frame, with three names and their lengths,
	// is within maxPoolerFrame.
	maxMessageBody = maxPoolerFrame - 3*(maxNameLength+2) - 1
)

// hello opens a stream.
type hello struct {
	Protocol    int               `json:"protocol"`
	Name        string            `json:"name"`
	Region      string            `json:"region,omitempty"`
	Distributor bool              `json:"distributor,omitempty"` // the stream is a link
	Versions    map[string]uint64 `json:"has,omitempty"`         // that the caller holds, by resource
	// Insists: all distributors have refused the caller as full; only the limit of descriptors may refuse it now.
	Insists bool   `json:"insists,omitempty"`
	Status  Status `json:"status"`
}

// validate returns why a call can't be served.
func (h hello) validate() error {
	switch {
	case h.Protocol != protocolVersion:
		return fmt.Errorf("protocol %d, here it is %d", h.Protocol, protocolVersion)
	case h.Name == "" || len(h.Name) > maxNameLength || len(h.Region) > maxNameLength:
		return fmt.Errorf("name %.40q, region %.40q: empty or too long", h.Name, h.Region)
	}
	return nil
}

// refusal answers a call that is not admitted.
type refusal struct {
	Reason string `json:"why"`
	// RetryAfterMillis is after how many milliseconds the caller is to call this distributor again; 0: it is to call another.
	RetryAfterMillis int64 `json:"later_ms,omitempty"`
	// Full: other distributors have room for the caller.
	Full bool `json:"full,omitempty"`
}

// permanent reports whether the call would be refused again, here and whenever it came.
func (r refusal) permanent() bool { return !r.Full && r.RetryAfterMillis == 0 }

// heartbeat is a pooler's report at each heartbeat.
type heartbeat struct {
	Versions map[string]uint64 `json:"has,omitempty"` // in force, by resource
	Status   Status            `json:"status"`
}

// announcement tells which versions a distributor knows to be the newest, and how many poolers it knows to be alive.
type announcement struct {
	Poolers   int                    `json:"n"`
	Resources []resourceAnnouncement `json:"f"`
}

// resourceAnnouncement tells that nothing newer than a version was known at a time, as replication.ConfirmationTime takes it.
type resourceAnnouncement struct {
	Resource            string        `json:"f"`
	Version             uint64        `json:"v"`
	ConfirmedAtUnixNano int64         `json:"t"` // 0: never confirmed
	Age                 time.Duration `json:"a"` // since then, by the distributor's clock
}

// holdings tells another distributor which poolers have subscribed to this one, and which have left it.
type holdings struct {
	Complete bool     `json:"all,omitempty"` // Arrived is all subscribers, not those since the last holdings
	Arrived  []string `json:"came,omitempty"`
	Departed []string `json:"went,omitempty"`
}

// message is what one pooler sends to another.
type message struct {
	to, from, topic string
	body            []byte
}

// frame returns the message's frame.
func (m message) frame() []byte {
	return encodeFrame(kindMessage, prependNames(m.body, m.to, m.from, m.topic))
}

// decodeMessage decodes the body of a message's frame. The error is errMalformedFrame.
func decodeMessage(body []byte) (m message, err error) {
	m.body, err = cutNames(body, &m.to, &m.from, &m.topic)
	return m, err
}

// broadcast is what one pooler sends to all others.
type broadcast struct {
	from, topic string
	body        []byte
}

// frame returns the broadcast's frame.
func (b broadcast) frame() []byte {
	return encodeFrame(kindBroadcast, prependNames(b.body, b.from, b.topic))
}

// decodeBroadcast decodes the body of a broadcast's frame. The error is errMalformedFrame.
func decodeBroadcast(body []byte) (b broadcast, err error) {
	b.body, err = cutNames(body, &b.from, &b.topic)
	return b, err
}

// checkMessageSize refuses what a receiver would end the stream for.
func checkMessageSize(topic string, body []byte, maxBody int) error {
	switch {
	case topic == "" || len(topic) > maxNameLength:
		return fmt.Errorf("topic of %d bytes, not from 1 to %d", len(topic), maxNameLength)
	case len(body) > maxBody:
		return fmt.Errorf("%w: %d bytes on %s", errFrameTooLong, len(body), topic)
	}
	return nil
}

// prependNames puts names before a body, each behind its length as a uvarint.
func prependNames(body []byte, names ...string) []byte {
	var out []byte
	for _, name := range names {
		out = binary.AppendUvarint(out, uint64(len(name)))
		out = append(out, name...)
	}
	return append(out, body...)
}

// cutNames undoes prependNames. The error is errMalformedFrame.
func cutNames(text []byte, names ...*string) (body []byte, err error) {
	for _, name := range names {
		length, used := binary.Uvarint(text)
		if used <= 0 || length == 0 || length > maxNameLength || length > uint64(len(text)-used) {
			return nil, errMalformedFrame
		}
		end := used + int(length)
		*name = string(text[used:end])
		text = text[end:]
	}
	return text, nil
}
