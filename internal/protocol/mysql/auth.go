package mysql

import (
	"crypto/rand"
	"crypto/rsa"
	"crypto/sha1"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
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
	public, err := x509.ParsePKIXPublicKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("mysql: the server's key: %w", err)
	}
	rsaKey, ok := public.(*rsa.PublicKey)
	if !ok || len(challenge) == 0 {
		return nil, errors.New("mysql: the server's key is not one of RSA")
	}
	return rsa.EncryptOAEP(sha1.New(), rand.Reader, rsaKey, masked([]byte(password+"\x00"), challenge), nil)
}

func masked(text, challenge []byte) []byte {
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

// PublicKey is the payload of a server's key, for a client that has asked for it.
func PublicKey(key *rsa.PublicKey) ([]byte, error) {
	der, err := x509.MarshalPKIXPublicKey(key)
	if err != nil {
		return nil, err
	}
	return append([]byte{authMore}, pem.EncodeToMemory(&pem.Block{Type: "PUBLIC KEY", Bytes: der})...), nil
}

// DecryptPassword reads what a client has encrypted.
func DecryptPassword(key *rsa.PrivateKey, payload, challenge []byte) (string, error) {
	text, err := rsa.DecryptOAEP(sha1.New(), nil, key, payload, nil)
	if err != nil || len(text) == 0 {
		return "", errors.Join(err, errShort)
	}
	text = masked(text, challenge)
	return string(text[:len(text)-1]), nil
}
