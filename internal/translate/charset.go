package translate

import (
	"fmt"
	"unicode/utf8"

	"golang.org/x/text/encoding/charmap"
)

// Charset is how a MySQL client writes its text, by the number of its collation.
type Charset struct {
	ID    uint16 // of its default collation, in column definitions
	Name  string
	table *charmap.Charmap // nil: UTF-8
	short bool             // UTF-8 of three bytes at most
}

// UTF8MB4 is what servers speak.
var UTF8MB4 = Charset{ID: 45, Name: "utf8mb4"}

var charsets = []Charset{
	UTF8MB4,
	{ID: 33, Name: "utf8mb3", short: true},
	{ID: 9, Name: "latin2", table: charmap.ISO8859_2},
	{ID: 26, Name: "cp1250", table: charmap.Windows1250},
	{ID: 8, Name: "latin1", table: charmap.Windows1252}, // as MySQL takes the name
	{ID: 11, Name: "ascii", table: nil, short: true},
}

// other collations that old clients name at their login, by the charset's own number.
var collations = map[uint16]uint16{
	2: 9, 21: 9, 27: 9, 77: 9, // latin2
	34: 26, 44: 26, 66: 26, 99: 26, // cp1250
	5: 8, 15: 8, 31: 8, 47: 8, 48: 8, 49: 8, 94: 8, // latin1
	65: 11, // ascii
	83: 33, // utf8mb3
	46: 45, 255: 45,
}

// CharsetOf finds a charset by the number of a collation.
func CharsetOf(collation uint16) (Charset, bool) {
	switch {
	case collation >= 192 && collation <= 223:
		collation = 33
	case collation >= 224 && collation <= 247 || collation >= 255 && collation <= 323:
		collation = 45
	}
	if id, ok := collations[collation]; ok {
		collation = id
	}
	for _, c := range charsets {
		if c.ID == collation {
			return c, true
		}
	}
	return Charset{}, false
}

// CharsetNamed finds a charset by its name, as SET NAMES gives it.
func CharsetNamed(name string) (Charset, bool) {
	if name == "utf8" {
		name = "utf8mb3"
	}
	for _, c := range charsets {
		if c.Name == name {
			return c, true
		}
	}
	return Charset{}, false
}

// Decode turns a client's text into UTF-8. A sequence that is none in its charset is an error.
func (c Charset) Decode(text []byte) ([]byte, error) {
	if c.table == nil {
		if !utf8.Valid(text) || c.short && !c.fits(text) {
			return nil, &Error{BadCharacter, fmt.Sprintf("Incorrect string value: %.20q is no %s", text, c.Name)}
		}
		return text, nil
	}
	out := make([]byte, 0, len(text)+8)
	for _, b := range text {
		r := c.table.DecodeByte(b)
		if r == utf8.RuneError {
			return nil, &Error{BadCharacter, fmt.Sprintf("Incorrect string value: \\x%02X is no %s", b, c.Name)}
		}
		out = utf8.AppendRune(out, r)
	}
	return out, nil
}

// fits tells whether UTF-8 keeps to what the charset has of it.
func (c Charset) fits(text []byte) bool {
	most := rune(0xffff)
	if c.Name == "ascii" {
		most = 0x7f
	}
	for _, r := range string(text) {
		if r > most {
			return false
		}
	}
	return true
}

// Encode turns UTF-8 into a client's text. A character that its charset has not is an error, and no question mark.
func (c Charset) Encode(text []byte) ([]byte, error) {
	if c.table == nil {
		if c.short && !c.fits(text) {
			return nil, &Error{BadCharacter, fmt.Sprintf("Cannot convert %.20q to %s", text, c.Name)}
		}
		return text, nil
	}
	out := make([]byte, 0, len(text))
	for _, r := range string(text) {
		b, ok := c.table.EncodeRune(r)
		if !ok {
			return nil, &Error{BadCharacter, fmt.Sprintf("Cannot convert %q to %s", r, c.Name)}
		}
		out = append(out, b)
	}
	return out, nil
}
