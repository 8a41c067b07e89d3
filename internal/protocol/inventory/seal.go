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

// Seal is the last line of a file, which proves that the file is complete. It guards against files that are cut, mixed or half written, not
// against forgery.
type Seal struct {
	Servers  int    // that the file lists
	SHA256   string // of the text above the seal, hexadecimal
	Confirms string // digest of the list in force with which a removal was compared; empty: none
}

const (
	sealPrefix     = "# threadsail-seal "
	sealVersion    = "v1"
	confirmsLength = 16 // of a list's digest
)

// line returns the seal as it stands in a file.
func (s Seal) line() string {
	text := fmt.Sprintf("%s%s rows=%d sha256=%s", sealPrefix, sealVersion, s.Servers, s.SHA256)
	if s.Confirms != "" {
		text += " confirms=" + s.Confirms
	}
	return text + "\n"
}

func sha256Hex(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// sealOffset returns where a text's seal begins; below 0: it has none.
func sealOffset(text []byte) int {
	if bytes.HasPrefix(text, []byte(sealPrefix)) {
		return 0
	}
	if i := bytes.Index(text, []byte("\n"+sealPrefix)); i >= 0 {
		return i + 1
	}
	return -1
}

// cutSeal splits a text from its seal. A line that is meant to be a seal and is none is a problem: the file may be cut.
func cutSeal(text []byte, problems *serverlist.ListError) (body []byte, seal *Seal) {
	offset := sealOffset(text)
	if offset < 0 {
		return text, nil
	}
	body = text[:offset]
	line := 1 + bytes.Count(body, []byte("\n"))
	sealLine, rest, _ := strings.Cut(string(text[offset:]), "\n")
	if strings.TrimSpace(rest) != "" {
		problems.Add(line, "seal", "text follows, expected the seal to be the last line")
		return body, nil
	}
	seal, wrongPart := parseSeal(sealLine)
	if seal == nil {
		problems.Add(line, "seal", "%.40q, expected v1, rows=, sha256= and maybe confirms=", wrongPart)
		return body, nil
	}
	if seal.SHA256 != sha256Hex(body) {
		problems.Add(line, "seal", "does not fit the text above it, expected a file that is whole and unchanged since it was sealed")
		return body, nil
	}
	return body, seal
}

// parseSeal reads a seal's line. Spreadsheets may pad the line with separators. If it can't be read, the seal is nil, and wrongPart is
// its first part that is wrong.
func parseSeal(line string) (seal *Seal, wrongPart string) {
	seal = &Seal{}
	for i, part := range strings.Fields(strings.TrimPrefix(strings.TrimRight(line, "\r,;\t "), sealPrefix)) {
		name, value, _ := strings.Cut(part, "=")
		var err error
		switch {
		case i == 0 && part == sealVersion:
		case name == "rows":
			seal.Servers, err = strconv.Atoi(value)
		case name == "sha256":
			seal.SHA256 = value
		case name == "confirms" && len(value) == confirmsLength:
			seal.Confirms = value
		default:
			err = strconv.ErrSyntax
		}
		if err != nil {
			return nil, part
		}
	}
	return seal, ""
}

// AppendSeal seals a text that lists so many servers. A seal that the text has is replaced. confirms is Seal.Confirms.
func AppendSeal(text []byte, servers int, confirms string) []byte {
	if i := bytes.Index(text, []byte("\n"+sealPrefix)); i >= 0 {
		text = text[:i+1]
	}
	body := bytes.Clone(text)
	if len(body) > 0 && body[len(body)-1] != '\n' {
		body = append(body, '\n')
	}
	return append(body, Seal{Servers: servers, SHA256: sha256Hex(body), Confirms: confirms}.line()...)
}

// Unsealed returns a text without its seal, whether the seal is valid or not.
func Unsealed(text []byte) []byte {
	body, _ := cutSeal(text, &serverlist.ListError{})
	return body
}
