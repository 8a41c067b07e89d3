package translate

import (
	"regexp"
	"strings"
)

// setMode is a SET of the session's sql_mode to a plain string.
var setMode = regexp.MustCompile(`(?is)^\s*SET\s+(?:SESSION\s+|@@SESSION\.|@@)?sql_mode\s*:?=\s*(?:'([^'\\]*)'|"([^"\\]*)")\s*;?\s*$`)

// Modes that servers since 8.0 have removed: they had no more effect, or none on what is read and written.
var removedModes = set("NO_AUTO_CREATE_USER DB2 MAXDB MSSQL MYSQL323 MYSQL40 ORACLE POSTGRESQL NO_FIELD_OPTIONS NO_KEY_OPTIONS NO_TABLE_OPTIONS")

// Modes in which servers since 8.0 stand by themselves.
var standingModes = set("ONLY_FULL_GROUP_BY STRICT_TRANS_TABLES STRICT_ALL_TABLES NO_ZERO_IN_DATE NO_ZERO_DATE ERROR_FOR_DIVISION_BY_ZERO " +
	"NO_ENGINE_SUBSTITUTION TRADITIONAL")

// SetsMode tells whether a statement sets the sql_mode. The error names a mode that changes what statements mean, and which servers'
// shared connections can't be given. What is fine needs nothing: servers stay as strict as they are, so a client that asked for less
// strictness meets an error where it once met a warning, and never another value.
func SetsMode(text string) (sets bool, err error) {
	if start := strings.TrimLeft(text, " \t\r\n"); len(start) < 3 || !strings.EqualFold(start[:3], "SET") {
		return false, nil // as nearly all are: no more is spent on them
	}
	m := setMode.FindStringSubmatch(text)
	if m == nil {
		return false, nil
	}
	for mode := range strings.SplitSeq(m[1]+m[2], ",") {
		mode = strings.ToUpper(strings.TrimSpace(mode))
		if mode != "" && !removedModes[mode] && !standingModes[mode] {
			return true, &Error{NotSupported, "This pooler does not support the sql_mode " + mode}
		}
	}
	return true, nil
}

// withoutPassword writes calls of PASSWORD(), which servers since 8.0 have not, as the digest that they gave, as published.
func withoutPassword(text string) string {
	const name = "PASSWORD"
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case c == '\'' || c == '"' || c == '`':
			i = skip(text, i) - 1
		case strings.HasPrefix(text[i:], "/*"):
			n := strings.Index(text[i:], "*/")
			if n < 0 {
				return text
			}
			i += n + 1
		case isNameByte(c):
			from := i
			for i < len(text) && isNameByte(text[i]) {
				i++
			}
			if strings.EqualFold(text[from:i], name) && i < len(text) && text[i] == '(' && (from == 0 || text[from-1] != '.') {
				if end := closing(text, i); end > 0 {
					inside := text[i : end+1]
					return text[:from] + "CONCAT('*', UPPER(SHA1(UNHEX(SHA1" + inside + "))))" + withoutPassword(text[end+1:])
				}
			}
			i--
		}
	}
	return text
}

// skip is the place behind a quoted part.
func skip(text string, i int) int {
	q := text[i]
	for i++; i < len(text); i++ {
		if text[i] == '\\' && q != '`' {
			i++
		} else if text[i] == q {
			return i + 1
		}
	}
	return len(text)
}

// closing is the place of the parenthesis that closes the one at i; 0: there is none.
func closing(text string, i int) int {
	for depth := 0; i < len(text); i++ {
		switch c := text[i]; c {
		case '\'', '"', '`':
			i = skip(text, i) - 1
		case '(':
			depth++
		case ')':
			if depth--; depth == 0 {
				return i
			}
		}
	}
	return 0
}
