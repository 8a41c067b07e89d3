package inventory

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"threadsail/internal/serverlist"
)

// Seal is the last line of a file that proves the file whole: how many servers it lists, and a digest of all that stands
// above. It guards against what is cut, mixed or half written, not against forgery.
type Seal struct {
	Servers  int
	SHA256   string // SHA-256 of the text above, hexadecimal
	Confirms string // digest of the list in force that a removal was compared with; empty: none
}

const sealPrefix = "# threadsail-seal "

func (s Seal) line() string {
	text := fmt.Sprintf("%sv1 rows=%d sha256=%s", sealPrefix, s.Servers, s.SHA256)
	if s.Confirms != "" {
		text += " confirms=" + s.Confirms
	}
	return text + "\n"
}

func sha256Hex(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// cutSeal parts a text from its seal. A line that is meant to be a seal and is none is a problem: the file may be cut.
func cutSeal(text []byte, p *serverlist.ListError) ([]byte, *Seal) {
	at := -1
	if bytes.HasPrefix(text, []byte(sealPrefix)) {
		at = 0
	} else if i := bytes.Index(text, []byte("\n"+sealPrefix)); i >= 0 {
		at = i + 1
	}
	if at < 0 {
		return text, nil
	}
	body := text[:at]
	line := 1 + bytes.Count(body, []byte("\n"))
	words, rest, _ := strings.Cut(string(text[at:]), "\n")
	if strings.TrimSpace(rest) != "" {
		p.Add(line, "seal", "text follows, expected the seal to be the last line")
		return body, nil
	}
	s := &Seal{}
	for i, w := range strings.Fields(strings.TrimPrefix(strings.TrimRight(words, "\r,;\t "), sealPrefix)) {
		name, value, _ := strings.Cut(w, "=")
		var err error
		switch {
		case i == 0 && w == "v1":
		case name == "rows":
			s.Servers, err = strconv.Atoi(value)
		case name == "sha256":
			s.SHA256 = value
		case name == "confirms" && len(value) == 16:
			s.Confirms = value
		default:
			err = strconv.ErrSyntax
		}
		if err != nil {
			p.Add(line, "seal", "%.40q, expected v1, rows=, sha256= and maybe confirms=", w)
			return body, nil
		}
	}
	if s.SHA256 != sha256Hex(body) {
		p.Add(line, "seal", "does not fit the text above it, expected a file that is whole and unchanged since it was sealed")
		return body, nil
	}
	return body, s
}

// AppendSeal seals a text that lists so many servers; a seal that it has is replaced.
func AppendSeal(text []byte, rows int, confirms string) []byte {
	if i := bytes.Index(text, []byte("\n"+sealPrefix)); i >= 0 {
		text = text[:i+1]
	}
	body := bytes.Clone(text)
	if len(body) > 0 && body[len(body)-1] != '\n' {
		body = append(body, '\n')
	}
	return append(body, Seal{Servers: rows, SHA256: sha256Hex(body), Confirms: confirms}.line()...)
}

// Unsealed is a text without its seal line, whether that fits or not.
func Unsealed(text []byte) []byte {
	body, _ := cutSeal(text, &serverlist.ListError{})
	return body
}
