package pgwire

import (
	"crypto/hmac"
	"crypto/pbkdf2"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Secrets makes proofs that a client knows a password, by SCRAM-SHA-256 (RFC 5802, 7677). It keeps what a server's salt makes of
// the password, for that is dear. (The well-known library for it brings crypto/tls along, which costs a pooler 2 MB at its
// start; the stand-ins use that library, so that each checks the other.)
type Secrets struct {
	password string
	salted   map[string][]byte
}

const maxSalts = 256 // kept; each server has one of its own

// NewSecrets is for one password.
func NewSecrets(password string) (*Secrets, error) {
	for _, c := range []byte(password) {
		if c < ' ' || c > '~' { // others would have to be normalised first, as RFC 4013 has it
			return nil, errors.New("pgwire: a password with characters beyond ASCII")
		}
	}
	return &Secrets{password: password, salted: map[string][]byte{}}, nil
}

// Talk is one login.
type Talk struct {
	secrets *Secrets
	nonce   string
	proof   []byte // that the server knows the password too
	Valid   bool   // it has shown that
}

// Talk begins one, with the first data to send.
func (s *Secrets) Talk() (*Talk, string) {
	t := &Talk{secrets: s, nonce: rand.Text()}
	return t, "n,," + t.bare()
}

func (t *Talk) bare() string { return "n=,r=" + t.nonce } // the server goes by the startup message's user

func mac(key []byte, text string) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(text))
	return h.Sum(nil)
}

// Answer is the data to send after the server's first.
func (t *Talk) Answer(data string) (string, error) {
	var nonce, salt string
	iterations := 0
	for i, a := range strings.Split(data, ",") {
		name, value, _ := strings.Cut(a, "=")
		switch {
		case i == 0 && name == "r":
			nonce = value
		case i == 1 && name == "s":
			salt = value
		case i == 2 && name == "i":
			iterations, _ = strconv.Atoi(value)
		case i < 3:
			return "", fmt.Errorf("pgwire: %.40q in the place of a nonce, salt or count", a)
		}
	}
	raw, err := base64.StdEncoding.DecodeString(salt)
	if err != nil || len(raw) == 0 || iterations < 1 || iterations > MaxIterations || !strings.HasPrefix(nonce, t.nonce) || nonce == t.nonce {
		return "", errors.New("pgwire: the server's part of the login is not sound")
	}
	key := salt + "," + strconv.Itoa(iterations)
	salted := t.secrets.salted[key]
	if salted == nil {
		if salted, err = pbkdf2.Key(sha256.New, t.secrets.password, raw, iterations, sha256.Size); err != nil {
			return "", err
		}
		if len(t.secrets.salted) >= maxSalts {
			clear(t.secrets.salted)
		}
		t.secrets.salted[key] = salted
	}
	final := "c=biws,r=" + nonce
	whole := t.bare() + "," + data + "," + final
	client := mac(salted, "Client Key")
	stored := sha256.Sum256(client)
	signature := mac(stored[:], whole)
	for i := range client {
		client[i] ^= signature[i]
	}
	t.proof = mac(mac(salted, "Server Key"), whole)
	return final + ",p=" + base64.StdEncoding.EncodeToString(client), nil
}

// Final checks the server's last data.
func (t *Talk) Final(data string) error {
	value, ok := strings.CutPrefix(data, "v=")
	proof, err := base64.StdEncoding.DecodeString(value)
	if !ok || err != nil || t.proof == nil || !hmac.Equal(proof, t.proof) {
		return errors.New("pgwire: the server does not know the password")
	}
	t.Valid = true
	return nil
}
