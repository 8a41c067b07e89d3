package gossip

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// busMessageMarker begins a message of a Bus; every other message is JSON. Behind it come the sender's name and the topic,
// each with its length as a uvarint before it, and the body.
const busMessageMarker = 1

const maxTopicBytes = 128

var errMalformedMessage = errors.New("gossip: decode: a malformed message")

func encodeMessage(from, topic string, body []byte) ([]byte, error) {
	if len(topic) == 0 || len(topic) > maxTopicBytes {
		return nil, fmt.Errorf("gossip: encode: a topic of %d bytes", len(topic))
	}
	message := make([]byte, 0, 1+2*binary.MaxVarintLen16+len(from)+len(topic)+len(body))
	message = append(message, busMessageMarker)
	for _, s := range []string{from, topic} {
		message = binary.AppendUvarint(message, uint64(len(s)))
		message = append(message, s...)
	}
	return append(message, body...), nil
}

func decodeMessage(message []byte) (from, topic string, body []byte, err error) {
	if len(message) == 0 || message[0] != busMessageMarker {
		return "", "", nil, errMalformedMessage
	}
	rest := message[1:]
	for _, s := range []*string{&from, &topic} {
		length, used := binary.Uvarint(rest)
		if used <= 0 || length > uint64(len(rest)-used) {
			return "", "", nil, errMalformedMessage
		}
		end := used + int(length)
		*s = string(rest[used:end])
		rest = rest[end:]
	}
	if from == "" || topic == "" || len(topic) > maxTopicBytes {
		return "", "", nil, errMalformedMessage
	}
	return from, topic, rest, nil
}
