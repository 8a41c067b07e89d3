// Package sessionkey finds the sessions that a statement may belong to. A session is named by a quoted key: a string literal of its
// statements, or a string that is bound to one of their parameters. Which of a statement's strings is the key can't be told from the
// statement, so each of them counts. A write also counts for the numbers in it, because another statement may quote them.
//
// The package decides which parts of a statement are literals and when two of them are the same key, however they are written. It holds
// no state, and its IDs are valid within the process only.
package sessionkey

import (
	"hash/maphash"
	"slices"
	"strings"
)

// maxKeys is the maximum number of keys that are told apart in one statement.
const maxKeys = 64

// seed makes IDs differ between processes, so that no client can choose keys with the same ID.
var seed = maphash.MakeSeed()

// Keys collects the keys of one statement. The zero value is empty.
type Keys struct {
	strings, numbers []uint64
	unknown          bool
}

// AddString adds the value of a string.
func (k *Keys) AddString(value []byte) { k.add(&k.strings, maphash.Bytes(seed, value)) }

// AddNumber adds a number in decimal form.
func (k *Keys) AddNumber(text string) { k.add(&k.numbers, maphash.String(seed, text)) }

// SetUnknown records that the statement may name any session.
func (k *Keys) SetUnknown() { k.unknown = true }

func (k *Keys) add(ids *[]uint64, id uint64) {
	if slices.Contains(*ids, id) {
		return
	}
	if len(k.strings)+len(k.numbers) >= maxKeys {
		k.unknown = true
		return
	}
	*ids = append(*ids, id)
}

// OfRead returns the IDs of the sessions whose writes a read must see. It returns none if the read must see the writes of all.
func (k *Keys) OfRead() []uint64 {
	if k.unknown {
		return nil
	}
	return k.strings
}

// OfWrite returns the IDs of the sessions that a write counts for. It returns none if the write counts for all.
func (k *Keys) OfWrite() []uint64 {
	if k.unknown {
		return nil
	}
	return slices.Concat(k.strings, k.numbers)
}

// Dialect is a set of lexical rules.
type Dialect uint8

// The dialects.
const (
	MySQL Dialect = iota
	Postgres
)

// OfText returns the keys in the text of a statement, which is encoded in UTF-8. Comments, identifiers and parameters hold none.
func OfText(text string, dialect Dialect) Keys {
	s := scanner{text: text, dialect: dialect}
	for s.at < len(s.text) && !s.keys.unknown {
		s.next()
	}
	s.endString()
	return s.keys
}

// scanner reads a statement from its beginning to its end.
type scanner struct {
	text    string
	dialect Dialect
	at      int // index of the first byte that has not been read
	keys    Keys
	value   strings.Builder // value of the string read last, which another literal may continue
	hasText bool            // whether there is such a string
}

// next reads one token, or the white space or the comment before it.
func (s *scanner) next() {
	rest := s.text[s.at:]
	c := rest[0]
	switch {
	case isSpace(c):
		s.at++
	case strings.HasPrefix(rest, "/*"), strings.HasPrefix(rest, "--"), c == '#' && s.dialect == MySQL:
		s.skipComment(rest)
	case c == '\'' || c == '"' && s.dialect == MySQL:
		s.readString(c)
	case c == '"' || c == '`':
		s.endString()
		s.skipIdentifier(c)
	case c == '$' && s.dialect == Postgres:
		s.endString()
		s.readDollarQuoted(rest)
	case isDigit(c):
		s.endString()
		s.readNumber(rest)
	case isWordByte(c):
		s.endString()
		s.readWord(rest)
	default:
		s.endString()
		s.at++
	}
}

// skipComment skips a comment. MySQL servers execute what stands within "/*!" and "*/", and take "--" for a comment only before white
// space. PostgreSQL's comments nest, which no key depends on unless there is a quote in them.
func (s *scanner) skipComment(rest string) {
	executed := strings.HasPrefix(rest, "/*!") && s.dialect == MySQL
	operator := rest[0] == '-' && s.dialect == MySQL && len(rest) > 2 && !isSpace(rest[2])
	if executed || operator {
		s.endString()
		s.at += 2
		return
	}
	end := "\n"
	if rest[0] == '/' {
		end = "*/"
		rest = rest[2:]
		s.at += 2
	}
	length := strings.Index(rest, end)
	if length < 0 {
		s.at = len(s.text)
		return
	}
	if end == "*/" && s.dialect == Postgres && strings.Contains(rest[:length], "/*") {
		s.keys.unknown = true
	}
	s.at += length + len(end)
}

// readString reads a string literal, which continues the one before it if nothing stands between them but white space and comments.
func (s *scanner) readString(quote byte) {
	s.hasText = true
	for s.at++; s.at < len(s.text); s.at++ {
		c := s.text[s.at]
		switch {
		case c == quote && strings.HasPrefix(s.text[s.at+1:], string(quote)): // a doubled quote stands for one
			s.at++
		case c == quote:
			s.at++
			return
		case c == '\\' && s.dialect == MySQL && s.at+1 < len(s.text):
			s.at++
			s.addEscaped(s.text[s.at])
			continue
		}
		s.value.WriteByte(c)
	}
}

// escapes are the bytes that a backslash and another byte stand for in MySQL's strings, unless that is the other byte itself.
var escapes = map[byte]byte{'0': 0, 'b': '\b', 'n': '\n', 'r': '\r', 't': '\t', 'Z': 0x1a}

// addEscaped adds what a backslash and the byte c stand for to the string. The wildcards of LIKE stay escaped.
func (s *scanner) addEscaped(c byte) {
	if c == '%' || c == '_' {
		s.value.WriteByte('\\')
	}
	if escaped, ok := escapes[c]; ok {
		c = escaped
	}
	s.value.WriteByte(c)
}

// endString adds the string that has been read, if there is one.
func (s *scanner) endString() {
	if !s.hasText {
		return
	}
	s.keys.AddString([]byte(s.value.String()))
	s.value.Reset()
	s.hasText = false
}

// skipIdentifier skips a quoted identifier.
func (s *scanner) skipIdentifier(quote byte) {
	length := strings.IndexByte(s.text[s.at+1:], quote)
	if length < 0 {
		s.at = len(s.text)
		return
	}
	s.at += length + 2
}

// readDollarQuoted reads a string between two equal tags such as $$ or $body$, or a lone dollar.
func (s *scanner) readDollarQuoted(rest string) {
	length := strings.IndexByte(rest[1:], '$')
	if length < 0 || strings.ContainsFunc(rest[1:1+length], func(r rune) bool { return r < 0x80 && !isWordByte(byte(r)) }) {
		s.at++
		return
	}
	tag := rest[:length+2]
	value, _, closed := strings.Cut(rest[len(tag):], tag)
	if !closed {
		s.keys.unknown = true
		return
	}
	s.keys.AddString([]byte(value))
	s.at += 2*len(tag) + len(value)
}

// readNumber reads a number. One in hexadecimal or binary form is a string to MySQL.
func (s *scanner) readNumber(rest string) {
	length := strings.IndexFunc(rest, func(r rune) bool { return r >= 0x80 || r != '.' && !isWordByte(byte(r)) })
	if length < 0 {
		length = len(rest)
	}
	if rest[0] == '0' && length > 1 && (rest[1] == 'x' || rest[1] == 'b') {
		s.keys.unknown = true
	}
	s.keys.AddNumber(rest[:length])
	s.at += length
}

// readWord reads a keyword, an identifier, or the prefix of a string.
func (s *scanner) readWord(rest string) {
	length := strings.IndexFunc(rest, func(r rune) bool { return r < 0x80 && !isWordByte(byte(r)) })
	if length < 0 {
		length = len(rest)
	}
	s.at += length
	encoded := length == 1 && !strings.EqualFold(rest[:1], "N") // in hexadecimal, binary or escaped form
	if encoded && strings.HasPrefix(strings.TrimPrefix(rest[1:], "&"), "'") {
		s.keys.unknown = true
	}
}

func isSpace(c byte) bool { return c == ' ' || c >= '\t' && c <= '\r' }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWordByte(c byte) bool {
	return c == '_' || isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}
