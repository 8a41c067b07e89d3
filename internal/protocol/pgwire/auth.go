package pgwire

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
)

// AuthKind is what a server asks of a client that logs in.
type AuthKind uint32

// The kinds that are known.
const (
	AuthFine     AuthKind = 0
	AuthSASL     AuthKind = 10 // with the names of mechanisms
	AuthContinue AuthKind = 11 // with data of the one chosen
	AuthFinal    AuthKind = 12
)

// ScramSHA256 is the mechanism that servers have since version 10.
const ScramSHA256 = "SCRAM-SHA-256"

// MaxIterations that a server may ask for: each costs the pooler's core time, and servers ask for 4,096.
const MaxIterations = 100_000

// Auth reads an authentication request.
func Auth(body []byte) (kind AuthKind, data string, err error) {
	if len(body) < 4 {
		return 0, "", errShort
	}
	kind, data = AuthKind(binary.BigEndian.Uint32(body)), string(body[4:])
	switch kind {
	case AuthFine, AuthFinal:
	case AuthSASL:
		for name := range strings.SplitSeq(data, "\x00") {
			if name == ScramSHA256 {
				return kind, name, nil
			}
		}
		return kind, "", fmt.Errorf("pgwire: the server offers no %s", ScramSHA256)
	case AuthContinue:
		for attribute := range strings.SplitSeq(data, ",") {
			if count, ok := strings.CutPrefix(attribute, "i="); ok {
				if n, err := strconv.Atoi(count); err != nil || n > MaxIterations {
					return kind, "", fmt.Errorf("pgwire: the server asks for %.20q iterations", count)
				}
			}
		}
	default:
		return kind, "", fmt.Errorf("pgwire: the server wants password method %d; only %s is supported", kind, ScramSHA256)
	}
	return kind, data, nil
}

// AppendSASLFirst adds a client's choice of a mechanism, with its first data.
func AppendSASLFirst(b []byte, mechanism, data string) []byte {
	size := binary.BigEndian.AppendUint32(nil, uint32(len(data)))
	return Append(b, 'p', mechanism, "\x00", string(size), data)
}

// AppendSASL adds a client's further data.
func AppendSASL(b []byte, data string) []byte { return Append(b, 'p', data) }

// AppendAuth adds an authentication request, for stand-ins.
func AppendAuth(b []byte, kind AuthKind, data string) []byte {
	return Append(b, 'R', string(binary.BigEndian.AppendUint32(nil, uint32(kind))), data)
}

// SASLFirst reads a client's choice, for stand-ins.
func SASLFirst(body []byte) (mechanism, data string, err error) {
	mechanism, rest, ok := cutString(body)
	if !ok || len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) != len(rest)-4 {
		return "", "", errShort
	}
	return mechanism, string(rest[4:]), nil
}
