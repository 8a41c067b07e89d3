package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// busMessageMarker is the first byte of a message sent with a Bus; all other messages are JSON. It is followed by the sender's
// name and the topic, each preceded by its length as a uvarint, and by the body.
const busMessageMarker = 1

// maxTopicBytes is the maximum length of a topic in bytes.
const maxTopicBytes = 128

var errMalformedMessage = errors.New("gossip: decode: malformed message")

// encodeMessage returns the encoding of a message of a Bus. It returns an error if the topic is empty or too long.
func encodeMessage(from, topic string, body []byte) ([]byte, error) {
	if len(topic) == 0 || len(topic) > maxTopicBytes {
		return nil, fmt.Errorf("gossip: encode: topic is empty or too long: %d bytes", len(topic))
	}
	message := make([]byte, 0, 1+2*binary.MaxVarintLen16+len(from)+len(topic)+len(body))
	message = append(message, busMessageMarker)
	for _, field := range []string{from, topic} {
		message = binary.AppendUvarint(message, uint64(len(field)))
		message = append(message, field...)
	}
	return append(message, body...), nil
}

// decodeMessage returns the sender, topic and body of a message of a Bus. The body shares the memory of message. The error is
// errMalformedMessage.
func decodeMessage(message []byte) (from, topic string, body []byte, err error) {
	if len(message) == 0 || message[0] != busMessageMarker {
		return "", "", nil, errMalformedMessage
	}
	rest := message[1:]
	for _, field := range []*string{&from, &topic} {
		length, used := binary.Uvarint(rest)
		if used <= 0 || length > uint64(len(rest)-used) {
			return "", "", nil, errMalformedMessage
		}
		end := used + int(length)
		*field = string(rest[used:end])
		rest = rest[end:]
	}
	if from == "" || topic == "" || len(topic) > maxTopicBytes {
		return "", "", nil, errMalformedMessage
	}
	return from, topic, rest, nil
}
