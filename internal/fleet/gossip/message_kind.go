package gossip

import (
	"bytes"
	"encoding/binary"

	"threadsail/internal/fleet/traffic"
)

// Types of memberlist's messages. The type is the first byte of a message.
const (
	typePushPull = 6
	typeCompound = 7
	typeUser     = 8
	typeCRC      = 12
)

// Sizes of the headers in memberlist's packets, in bytes.
const (
	crcHeaderBytes      = 5 // type and checksum
	compoundHeaderBytes = 2 // type and number of messages
	compoundLengthBytes = 2 // length of one message
)

// trafficKindFrame is the traffic kind of the checksums and lengths that frame the messages in a packet.
const trafficKindFrame = "frame"

// memberlistKinds maps the types of memberlist's own messages to traffic kinds.
var memberlistKinds = map[byte]string{
	0:            "ping",
	1:            "ping_req",
	2:            "ack",
	3:            "suspect",
	4:            "alive",
	5:            "dead",
	typePushPull: "push_pull",
	11:           "nack",
	13:           "error",
}

// leaderMessageKinds maps messages of the discovery leader, which are not sent with a Bus, to traffic kinds. The keys are the
// bytes of such a message before the first comma.
var leaderMessageKinds = map[string]string{
	`{"kind":"word"`:  "duty/word",
	`{"kind":"want"`:  "duty/want",
	`{"kind":"list"`:  "duty/list",
	`{"kind":"lost"`:  "duty/lost",
	`{"kind":"found"`: "duty/found",
}

// countPacket calls add for each message of a packet with its kind and size, and once for the bytes that frame the messages.
func countPacket(b []byte, add func(kind string, messages, bytes int)) {
	frameBytes := 0
	if len(b) > crcHeaderBytes && b[0] == typeCRC {
		b = b[crcHeaderBytes:]
		frameBytes = crcHeaderBytes
	}
	if lengths, messages, ok := splitCompound(b); ok {
		frameBytes += len(b) - len(messages) + countCompound(lengths, messages, add)
	} else {
		add(messageKind(b), 1, len(b))
	}
	if frameBytes > 0 {
		add(trafficKindFrame, 0, frameBytes)
	}
}

// splitCompound splits a compound message into the lengths of its messages and the messages. ok is false if b is not a complete
// compound message.
func splitCompound(b []byte) (lengths, messages []byte, ok bool) {
	if len(b) < compoundHeaderBytes || b[0] != typeCompound {
		return nil, nil, false
	}
	end := compoundHeaderBytes + compoundLengthBytes*int(b[1])
	if len(b) < end {
		return nil, nil, false
	}
	return b[compoundHeaderBytes:end], b[end:], true
}

// countCompound calls add for each message of a compound message, and returns the number of bytes after the last message.
func countCompound(lengths, messages []byte, add func(kind string, messages, bytes int)) (rest int) {
	for ; len(lengths) > 0; lengths = lengths[compoundLengthBytes:] {
		size := min(int(binary.BigEndian.Uint16(lengths)), len(messages))
		add(messageKind(messages[:size]), 1, size)
		messages = messages[size:]
	}
	return len(messages)
}

// messageKind returns the traffic kind of a message: the topic of a Bus message, the kind of a message of the discovery leader,
// or the name of the type of a memberlist message.
func messageKind(b []byte) string {
	switch {
	case len(b) == 0:
		return traffic.Other
	case b[0] == typeUser:
		return userMessageKind(b[1:])
	}
	if kind, ok := memberlistKinds[b[0]]; ok {
		return kind
	}
	return traffic.Other
}

// userMessageKind returns the traffic kind of a message that memberlist carries for a Node.
func userMessageKind(b []byte) string {
	if _, topic, _, err := decodeMessage(b); err == nil {
		return topic
	}
	if end := bytes.IndexByte(b, ','); end > 0 {
		if kind, ok := leaderMessageKinds[string(b[:end])]; ok {
			return kind
		}
	}
	return traffic.Other
}

// userMessageHeader is the beginning of a user message on a stream: its type, and a MessagePack map whose one key is that of
// the length. The length and the message follow.
const userMessageHeader = "\x08\x81\xaaUserMsgLen"

// The range of MessagePack type bytes that are followed by an integer of 1, 2, 4 or 8 bytes, unsigned or signed. Other integers
// consist of the type byte only.
const (
	messagePackFirstSized = 0xcc
	messagePackLastSized  = 0xd3
)

// streamKind returns the traffic kind of a stream, given the first bytes read from it or written to it.
func streamKind(b []byte) string {
	rest, ok := bytes.CutPrefix(b, []byte(userMessageHeader))
	if !ok || len(rest) == 0 {
		return messageKind(b)
	}
	size := 0 // bytes of the length after its type byte
	if first := rest[0]; first >= messagePackFirstSized && first <= messagePackLastSized {
		size = 1 << (first & 3)
	}
	return userMessageKind(rest[min(1+size, len(rest)):])
}
