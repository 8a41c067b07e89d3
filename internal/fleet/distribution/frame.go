package distribution

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// A frame on a connection is the length of what follows as a uvarint, its kind in a byte, and its body.

// frameKind is a frame's kind.
type frameKind byte

// The kinds of frames. "Up" is from the caller to the distributor that it has called.
const (
	kindHello        frameKind = iota + 1 // up, first: JSON hello
	kindWelcome                           // down, first: the call is admitted; no body
	kindRefusal                           // down, first and last: JSON refusal
	kindHeartbeat                         // up, each heartbeat: JSON heartbeat, on links JSON Summary; no body where nothing has changed
	kindAnnouncement                      // down, each heartbeat and at each change: JSON announcement
	kindDelta                             // down: update with a JSON replication.Delta
	kindSnapshot                          // down: update with a JSON replication.Snapshot
	kindMessage                           // both ways: message
	kindBroadcast                         // both ways: broadcast
	kindHoldings                          // up, on links: JSON holdings
)

// kindNames are the names that frames are counted under; some differ from the constants, as the metrics keep their names.
var kindNames = [...]string{kindHello: "hello", kindWelcome: "welcome", kindRefusal: "refusal", kindHeartbeat: "live", kindAnnouncement: "word",
	kindDelta: "delta", kindSnapshot: "whole", kindMessage: "message", kindBroadcast: "cast", kindHoldings: "holds"}

func (k frameKind) String() string {
	if int(k) < len(kindNames) && kindNames[k] != "" {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", byte(k))
}

const (
	// maxPoolerFrame bounds a frame that a pooler may send, in bytes: a document's largest value as JSON, as in a request to the voters.
	maxPoolerFrame = 128 << 10
	// maxDistributorFrame bounds a frame that a distributor may send, in bytes: all documents as JSON, as in a voter's response.
	maxDistributorFrame = 8 << 20
	// maxPreallocated is up to where the memory for a frame is allocated by the length that it states, in bytes; a longer one grows
	// as it comes.
	maxPreallocated = 64 << 10
)

// encodeFrame returns the frame of a kind whose body is the parts, one behind the other.
func encodeFrame(kind frameKind, parts ...[]byte) []byte {
	length := 1
	for _, part := range parts {
		length += len(part)
	}
	frame := binary.AppendUvarint(make([]byte, 0, length+binary.MaxVarintLen32), uint64(length))
	frame = append(frame, byte(kind))
	for _, part := range parts {
		frame = append(frame, part...)
	}
	return frame
}

// encodeJSONFrame returns the frame of a kind with a message's JSON. The message's type must be one that JSON can always hold.
func encodeJSONFrame(kind frameKind, message any) []byte {
	return encodeFrame(kind, mustMarshal(message))
}

// mustMarshal returns the JSON of a value whose type JSON can always hold.
func mustMarshal(value any) []byte {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return text
}

// decodeJSON decodes a frame's body. The error is errMalformedFrame.
func decodeJSON(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", errMalformedFrame, err)
	}
	return nil
}

// kindOfFrame returns the kind of an encoded frame; 0: it is too short to have one.
func kindOfFrame(frame []byte) frameKind {
	if _, used := binary.Uvarint(frame); used > 0 && used < len(frame) {
		return frameKind(frame[used])
	}
	return 0
}

// receivedFrame is a frame as it was read.
type receivedFrame struct {
	kind frameKind
	body []byte
	size int // of the whole frame on the connection, in bytes
}

// readFrame reads a frame whose kind and body take up to maxLength bytes. Other errors than the reader's are errMalformedFrame and
// errFrameTooLong.
func readFrame(reader *bufio.Reader, maxLength int) (receivedFrame, error) {
	length, err := binary.ReadUvarint(reader)
	switch {
	case err != nil:
		return receivedFrame{}, err
	case length == 0:
		return receivedFrame{}, errMalformedFrame
	case length > uint64(maxLength):
		return receivedFrame{}, fmt.Errorf("%w: %d bytes", errFrameTooLong, length)
	}
	kind, err := reader.ReadByte()
	if err != nil {
		return receivedFrame{}, err
	}
	body, err := readBody(reader, int(length)-1)
	if err != nil {
		return receivedFrame{}, err
	}
	prefix := len(binary.AppendUvarint(nil, length))
	return receivedFrame{kind: frameKind(kind), body: body, size: prefix + int(length)}, nil
}

// readBody reads a frame's body, and allocates little more than has come.
func readBody(reader *bufio.Reader, length int) ([]byte, error) {
	if length <= maxPreallocated {
		body := make([]byte, length)
		_, err := io.ReadFull(reader, body)
		return body, err
	}
	var body bytes.Buffer
	_, err := io.CopyN(&body, reader, int64(length))
	return body.Bytes(), err
}

// isProtocolError reports whether a stream has ended by a frame that the protocol does not allow, and not by its connection.
func isProtocolError(err error) bool {
	return errors.Is(err, errMalformedFrame) || errors.Is(err, errFrameTooLong)
}
