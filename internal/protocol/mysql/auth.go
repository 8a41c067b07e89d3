package mysql

import (
	"crypto/rand"
	"crypto/rsa"
	"crypto/sha1"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/asn1"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
)

// cachingSHA2 is the password method of servers since 8.0, and the only one of its kind that those since 9.0 have.
const cachingSHA2 = "caching_sha2_password"

// What a server says while it goes through that method.
const (
	authMore   = 0x01
	fastFine   = 0x03 // it knows the password's digest; an OK follows
	fullWanted = 0x04 // it must see the password itself
	wantKey    = 0x02 // the client's wish for the key to encrypt it with
)

// AuthResponse is a client's first answer by a method: a proof that it knows the password.
func AuthResponse(plugin string, challenge []byte, password string) ([]byte, error) {
	switch plugin {
	case nativePassword:
		return Scramble(challenge, password), nil
	case cachingSHA2:
		return cachingScramble(challenge, password), nil
	}
	return nil, fmt.Errorf("mysql: the server wants the method %.40q; only %s and %s are supported", plugin, nativePassword, cachingSHA2)
}

// cachingScramble is SHA256(password) XOR SHA256(SHA256(SHA256(password)), challenge).
func cachingScramble(challenge []byte, password string) []byte {
	if password == "" {
		return nil
	}
	once := sha256.Sum256([]byte(password))
	twice := sha256.Sum256(once[:])
	h := sha256.New()
	h.Write(twice[:])
	h.Write(challenge)
	out := h.Sum(nil)
	for i := range out {
		out[i] ^= once[i]
	}
	return out
}

// CachingFits checks a client's response.
func CachingFits(challenge, response []byte, password string) bool {
	return subtle.ConstantTimeCompare(response, cachingScramble(challenge, password)) == 1
}

// AuthMore goes on with a login after a packet that is neither OK nor an error. answer is the payload to send next; nil: the
// server goes on by itself.
func AuthMore(p, challenge []byte, password string) (answer []byte, err error) {
	if len(p) < 2 || p[0] != authMore {
		return nil, errShort
	}
	switch {
	case len(p) == 2 && p[1] == fastFine:
		return nil, nil
	case len(p) == 2 && p[1] == fullWanted: // without TLS the password goes out encrypted by the server's key
		return []byte{wantKey}, nil
	}
	return encryptPassword(p[1:], challenge, password)
}

func encryptPassword(key, challenge []byte, password string) ([]byte, error) {
	block, _ := pem.Decode(key)
	if block == nil {
		return nil, errors.New("mysql: the server's key is no PEM")
	}
	// SubjectPublicKeyInfo, as RFC 5280 has it, around RFC 8017's RSAPublicKey. crypto/x509 reads it too, and would cost each
	// pooler a megabyte for good.
	var info struct {
		Algorithm struct {
			ID         asn1.ObjectIdentifier
			Parameters asn1.RawValue `asn1:"optional"`
		}
		Key asn1.BitString
	}
	var public struct {
		N *big.Int
		E int
	}
	if _, err := asn1.Unmarshal(block.Bytes, &info); err != nil {
		return nil, fmt.Errorf("mysql: the server's key: %w", err)
	}
	if _, err := asn1.Unmarshal(info.Key.RightAlign(), &public); err != nil || !info.Algorithm.ID.Equal(rsaEncryption) ||
		public.N.Sign() <= 0 || public.N.BitLen() > maxKeyBits || len(challenge) == 0 {
		return nil, errors.New("mysql: the server's key is not one of RSA of a usual size")
	}
	return rsa.EncryptOAEP(sha1.New(), rand.Reader, &rsa.PublicKey{N: public.N, E: public.E}, Masked([]byte(password+"\x00"), challenge), nil)
}

var rsaEncryption = asn1.ObjectIdentifier{1, 2, 840, 113549, 1, 1, 1}

const maxKeyBits = 8192 // a larger one only costs time

// Masked is a text with the challenge laid over it, or taken off again.
func Masked(text, challenge []byte) []byte {
	out := make([]byte, len(text))
	for i := range text {
		out[i] = text[i] ^ challenge[i%len(challenge)]
	}
	return out
}

// ---- The server's side, for stand-ins ----

// SwitchToCaching is the payload that asks a client for the newer method.
func SwitchToCaching(challenge []byte) []byte {
	p := append([]byte{0xfe}, cachingSHA2+"\x00"...)
	return append(append(p, challenge...), 0)
}

// FastFine tells a client that its proof is enough, FullWanted that the server must see the password.
func FastFine() []byte { return []byte{authMore, fastFine} }

// FullWanted tells a client that the server must see the password.
func FullWanted() []byte { return []byte{authMore, fullWanted} }
