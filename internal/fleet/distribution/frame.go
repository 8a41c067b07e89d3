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

// A frame on a connection consists of the length of its kind and body as a uvarint, its kind as one byte, and its body.

// frameKind is the kind of a frame.
type frameKind byte

// The kinds of frames. "Up" means from the peer that opened the stream to the distributor that accepted it, "down" the reverse.
const (
	kindHello        frameKind = iota + 1 // up, first: JSON hello
	kindWelcome                           // down, first: the stream is admitted; no body
	kindRefusal                           // down, first and last: JSON refusal
	kindHeartbeat                         // up, each heartbeat: JSON heartbeat, on links JSON Summary; no body if nothing has changed
	kindAnnouncement                      // down, at each heartbeat and after each update: JSON announcement
	kindDelta                             // down: update with a JSON replication.Delta
	kindSnapshot                          // down: update with a JSON replication.Snapshot
	kindMessage                           // both ways: message
	kindBroadcast                         // both ways: broadcast
	kindHoldings                          // up, on links: JSON holdings
)

// kindNames are the names under which the metrics count frames. Some differ from the constants because metric names must not change.
var kindNames = [...]string{kindHello: "hello", kindWelcome: "welcome", kindRefusal: "refusal", kindHeartbeat: "live", kindAnnouncement: "word",
	kindDelta: "delta", kindSnapshot: "whole", kindMessage: "message", kindBroadcast: "cast", kindHoldings: "holds"}

func (k frameKind) String() string {
	if int(k) < len(kindNames) && kindNames[k] != "" {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", byte(k))
}

const (
	// maxPoolerFrame is the maximum length of a frame from a pooler, in bytes: the largest document value as JSON, as in a request to
	// the voters.
	maxPoolerFrame = 128 << 10
	// maxDistributorFrame is the maximum length of a frame from a distributor, in bytes: all documents as JSON, as in a voter's response.
	maxDistributorFrame = 8 << 20
	// maxPreallocated is the largest body, in bytes, whose buffer is allocated from the length prefix alone; the buffer of a longer
	// body grows as data arrives.
	maxPreallocated = 64 << 10
)

// encodeFrame returns a frame of the given kind whose body is the concatenation of parts.
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

// encodeJSONFrame returns a frame of the given kind whose body is message as JSON. It panics if message can't be encoded.
func encodeJSONFrame(kind frameKind, message any) []byte {
	return encodeFrame(kind, mustMarshal(message))
}

// mustMarshal returns value as JSON. It panics if the value can't be encoded.
func mustMarshal(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// decodeJSON decodes the JSON body of a frame into target. The error wraps errMalformedFrame.
func decodeJSON(body []byte, target any) error {
	if err := json.Unmarshal(body, target); err != nil {
		return fmt.Errorf("%w: %w", errMalformedFrame, err)
	}
	return nil
}

// kindOfFrame returns the kind of an encoded frame, or 0 if the frame is too short to have one.
func kindOfFrame(frame []byte) frameKind {
	if _, used := binary.Uvarint(frame); used > 0 && used < len(frame) {
		return frameKind(frame[used])
	}
	return 0
}

// receivedFrame is a frame read from a connection.
type receivedFrame struct {
	kind frameKind
	body []byte
	size int // length of the whole frame on the connection, in bytes
}

// readFrame reads a frame whose kind and body are at most maxLength bytes long. It returns errMalformedFrame for a frame without a kind,
// an error that wraps errFrameTooLong for a longer frame, and the reader's errors.
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

// readBody reads the body of a frame. Beyond maxPreallocated it allocates memory only as data arrives, so a peer can't make it allocate
// a large buffer by a length prefix alone.
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

// isProtocolError reports whether err means that the peer sent a frame that the protocol does not allow, as opposed to a connection
// error.
func isProtocolError(err error) bool {
	return errors.Is(err, errMalformedFrame) || errors.Is(err, errFrameTooLong)
}
