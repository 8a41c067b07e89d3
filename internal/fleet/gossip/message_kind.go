package gossip

import (
	"bytes"
	"encoding/binary"

	"threadsail/internal/fleet/traffic"
)

// memberlist's types of messages, the first byte of each.
const (
	typePushPull = 6
	typeCompound = 7
	typeUser     = 8
	typeCRC      = 12
)

// Lengths in memberlist's packets, in bytes.
const (
	crcHeaderBytes      = 5 // the type and a checksum
	compoundHeaderBytes = 2 // the type and the number of messages
	compoundLengthBytes = 2 // of each message's length
)

// trafficKindFrame is the kind of what packets have around their messages: checksums and lengths.
const trafficKindFrame = "frame"

// memberlistKinds names memberlist's own messages by type.
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

// leaderMessageKinds names the messages that are not of a Bus, those of the discovery leader, by their first bytes up to the
// first comma.
var leaderMessageKinds = map[string]string{
	`{"kind":"word"`:  "duty/word",
	`{"kind":"want"`:  "duty/want",
	`{"kind":"list"`:  "duty/list",
	`{"kind":"lost"`:  "duty/lost",
	`{"kind":"found"`: "duty/found",
}

// countPacket counts the messages of a packet, each by its kind, and what is around them.
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

// splitCompound splits a compound message into the lengths of its messages and the messages; ok false: it is another message.
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

// countCompound counts the messages of a compound message and returns how many bytes behind them are no message's.
func countCompound(lengths, messages []byte, add func(kind string, messages, bytes int)) (rest int) {
	for ; len(lengths) > 0; lengths = lengths[compoundLengthBytes:] {
		size := min(int(binary.BigEndian.Uint16(lengths)), len(messages))
		add(messageKind(messages[:size]), 1, size)
		messages = messages[size:]
	}
	return len(messages)
}

// messageKind names a message: a Bus message by its topic, the discovery leader's by their kind, memberlist's by their type.
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

// userMessageKind names a message that is not memberlist's own.
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

// userMessageHeader begins a user's message on a stream: its type, and in MessagePack the key of its length. The length and
// the message follow.
const userMessageHeader = "\x08\x81\xaaUserMsgLen"

// MessagePack's first bytes of a number with 1, 2, 4 or 8 bytes behind, unsigned and signed; every other number is its first
// byte alone.
const (
	messagePackFirstSized = 0xcc
	messagePackLastSized  = 0xd3
)

// streamKind names a stream by the first bytes that were read from it or written to it.
func streamKind(b []byte) string {
	rest, ok := bytes.CutPrefix(b, []byte(userMessageHeader))
	if !ok || len(rest) == 0 {
		return messageKind(b)
	}
	size := 0 // of the length behind its first byte
	if first := rest[0]; first >= messagePackFirstSized && first <= messagePackLastSized {
		size = 1 << (first & 3)
	}
	return userMessageKind(rest[min(1+size, len(rest)):])
}
