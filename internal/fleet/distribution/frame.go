package distribution

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"threadsail/internal/fleet/replication"
)

// protocolVersion is the version of what goes over a stream: a peer of another one is refused with a reason.
const protocolVersion = 1

// frameKindID is the first byte of a frame, behind its length as a uvarint.
type frameKindID byte

const (
	kindHello        frameKindID = iota + 1 // up: who calls; JSON hello
	kindWelcome                             // down: taken; no body
	kindRefusal                             // down: not taken, and the connection ends; JSON refusal
	kindHeartbeat                           // up, each beat: JSON live, between distributors JSON Summary; no body where nothing has changed
	kindAnnouncement                        // down, each beat and at each change: JSON word
	kindDelta                               // down: feed, JSON shared.Delta
	kindSnapshot                            // down: feed, JSON shared.State
	kindMessage                             // both ways: to, from, topic, body
	kindBroadcast                           // both ways: from, topic, body
	kindHoldings                            // from one distributor to another: JSON holds
)

var kindNames = [...]string{kindHello: "hello", kindWelcome: "welcome", kindRefusal: "refusal", kindHeartbeat: "live", kindAnnouncement: "word", kindDelta: "delta",
	kindSnapshot: "whole", kindMessage: "message", kindBroadcast: "cast", kindHoldings: "holds"}

func (k frameKindID) String() string {
	if int(k) < len(kindNames) && kindNames[k] != "" {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", byte(k))
}

const (
	// maxPoolerFrame bounds a frame that a pooler may send: a document's largest value as JSON, as the stewards' ask.
	maxPoolerFrame = 128 << 10
	// maxDistributorFrame bounds one that a distributor may send: all documents as JSON, as the stewards' answer.
	maxDistributorFrame = 8 << 20
	// maxNameLength bounds names, regions, feeds and topics.
	maxNameLength = 128
	// maxMessageBody bounds the body of a message or cast of a pooler, so that its frame, with three names and their lengths, is within mostUp.
	maxMessageBody = maxPoolerFrame - 3*(maxNameLength+2) - 1
	// maxPreallocated is up to where a frame's bytes are allocated by its own word for its length; what is longer grows as it comes.
	maxPreallocated = 64 << 10
)

// hello is a call.
type hello struct {
	Protocol    int               `json:"protocol"`
	Name        string            `json:"name"`
	Region      string            `json:"region,omitempty"`
	Distributor bool              `json:"distributor,omitempty"` // the call is a link's
	Versions    map[string]uint64 `json:"has,omitempty"`         // by feed: the version that the caller holds
	// Insists: the caller has been refused for room by all others; only the bound of descriptors may refuse it.
	Insists bool   `json:"insists,omitempty"`
	Status  Status `json:"status"`
}

// refusal answers a call that is not taken.
type refusal struct {
	Reason string `json:"why"`
	// RetryAfterMillis: the caller is to come again here after so many milliseconds; 0: it is to turn to another.
	RetryAfterMillis int64 `json:"later_ms,omitempty"`
	// Full: there is room for it elsewhere.
	Full bool `json:"full,omitempty"`
}

// heartbeat is what a pooler tells each beat.
type heartbeat struct {
	Versions map[string]uint64 `json:"has,omitempty"`
	Status   Status            `json:"status"`
}

// announcement tells how new the distributor's feeds are, and how many poolers are held to be alive.
type announcement struct {
	Poolers   int                    `json:"n"`
	Resources []resourceAnnouncement `json:"f"`
}

// resourceAnnouncement tells that nothing newer than a version was known at a time, as shared.HeardAt reads it.
type resourceAnnouncement struct {
	Resource            string        `json:"f"`
	Version             uint64        `json:"v"`
	ConfirmedAtUnixNano int64         `json:"t"` // Unix time in ns; 0: never confirmed
	Age                 time.Duration `json:"a"`
}

// holdings tells another distributor which poolers have come to this one and which have gone.
type holdings struct {
	Complete bool     `json:"all,omitempty"` // Came is all there are
	Arrived  []string `json:"came,omitempty"`
	Departed []string `json:"went,omitempty"`
}

var (
	errMalformedFrame = errors.New("a frame that can't be read")
	errFrameTooLong   = errors.New("a frame over its bound")
	// What a distributor alone can say that can't be.
	errDeltaGap        = errors.New("a delta that does not follow")
	errUnknownResource = errors.New("a feed that this pooler does not know")
	errDistributorLags = errors.New("it stays behind what this pooler has")
)

// faultKind is what about a peer can't be, without the versions and lengths that it comes with; err itself where it is none of these.
func faultKind(err error) error {
	for _, f := range []error{errMalformedFrame, errFrameTooLong, errDeltaGap, errUnknownResource, errDistributorLags} {
		if errors.Is(err, f) {
			return f
		}
	}
	return err
}

// encodeFrame puts a frame in the form that it has on a connection.
func encodeFrame(k frameKindID, parts ...[]byte) []byte {
	n := 1
	for _, p := range parts {
		n += len(p)
	}
	out := append(binary.AppendUvarint(make([]byte, 0, n+binary.MaxVarintLen32), uint64(n)), byte(k))
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

// encodeJSONFrame seals a value whose type is of this package or of shared, which JSON can hold.
func encodeJSONFrame(k frameKindID, v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return encodeFrame(k, text)
}

// prependNames puts names before a body, each with its length as a uvarint.
func prependNames(body []byte, names ...string) []byte {
	var out []byte
	for _, s := range names {
		out = append(binary.AppendUvarint(out, uint64(len(s))), s...)
	}
	return append(out, body...)
}

// splitNames undoes named.
func splitNames(text []byte, names ...*string) (body []byte, err error) {
	for _, s := range names {
		n, used := binary.Uvarint(text)
		if used <= 0 || n == 0 || n > maxNameLength || n > uint64(len(text)-used) {
			return nil, errMalformedFrame
		}
		*s, text = string(text[used:used+int(n)]), text[used+int(n):]
	}
	return text, nil
}

// readFrame reads a frame of up to most bytes. size is what it took on the connection.
func readFrame(in *bufio.Reader, most int) (k frameKindID, body []byte, size int, err error) {
	n, err := binary.ReadUvarint(in)
	switch {
	case err != nil:
		return 0, nil, 0, err
	case n == 0:
		return 0, nil, 0, errMalformedFrame
	case n > uint64(most):
		return 0, nil, 0, fmt.Errorf("%w: %d bytes", errFrameTooLong, n)
	}
	first, err := in.ReadByte()
	if err != nil {
		return 0, nil, 0, err
	}
	size = len(binary.AppendUvarint(nil, n)) + int(n)
	if n--; n <= maxPreallocated {
		body = make([]byte, n)
		_, err = io.ReadFull(in, body)
		return frameKindID(first), body, size, err
	}
	var b bytes.Buffer
	if _, err := io.CopyN(&b, in, int64(n)); err != nil {
		return 0, nil, 0, err
	}
	return frameKindID(first), b.Bytes(), size, nil
}

// validate refuses a call that can't be served.
func (h hello) validate() error {
	switch {
	case h.Protocol != protocolVersion:
		return fmt.Errorf("protocol %d, here it is %d", h.Protocol, protocolVersion)
	case h.Name == "" || len(h.Name) > maxNameLength || len(h.Region) > maxNameLength:
		return fmt.Errorf("name %.40q, region %.40q: empty or too long", h.Name, h.Region)
	}
	return nil
}

// nextSnapshot is the state that a frame makes of a copy's; nil without an error: the copy has it.
func nextSnapshot(k frameKindID, text []byte, s replication.Snapshot) (*replication.Snapshot, error) {
	if k == kindSnapshot {
		var next replication.Snapshot
		if err := json.Unmarshal(text, &next); err != nil {
			return nil, fmt.Errorf("%w: %w", errMalformedFrame, err)
		}
		if next.Version <= s.Version {
			return nil, nil
		}
		return &next, nil
	}
	var d replication.Delta
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, fmt.Errorf("%w: %w", errMalformedFrame, err)
	}
	if d.Version <= s.Version {
		return nil, nil
	}
	next, ok := d.ApplyTo(s)
	if !ok {
		return nil, fmt.Errorf("%w: from version %d to %d, on %d", errDeltaGap, d.BaseVersion, d.Version, s.Version)
	}
	return &next, nil
}
