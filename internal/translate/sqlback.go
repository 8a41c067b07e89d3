package translate

import (
	"errors"
	"strings"
)

// Echo names, by table, the columns whose stored text is always the one that was written: a RETURNING of one of them can be
// answered from the statement itself, for MySQL has no RETURNING.
type Echo map[string][]string

// BackStatement is a PostgreSQL statement translated for MySQL servers.
type BackStatement struct {
	SQL    string
	Verb   string // for the tag
	Column string // RETURNING: the column's name
	Value  Value  // and its value, if Column is set
}

// Functions that do the same with the same arguments on both sides.
var sameBack = set("COUNT SUM MIN MAX COALESCE NULLIF UPPER LOWER ABS FLOOR CEIL CEILING CHAR_LENGTH OCTET_LENGTH MD5 EXISTS NOW")

// Words of PostgreSQL that MySQL does not know, or takes otherwise.
var onlyPostgres = set("ILIKE SIMILAR DISTINCT_ON FETCH NULLS ONLY LATERAL OVERLAPS ARRAY ROW CAST EXTRACT INTERVAL COLLATE FILTER TABLESAMPLE " +
	"CONFLICT NOTHING ISNULL NOTNULL CURRENT_USER SESSION_USER USER CURRENT_SCHEMA CURRENT_CATALOG TRUNCATE OVERRIDING DEFAULT UNKNOWN")

// ToMySQL translates one PostgreSQL statement of a simple query for MySQL servers: SELECT, INSERT, UPDATE and DELETE of plain
// values. What might mean something else there is turned down by its name.
func ToMySQL(text string, echo Echo) (BackStatement, error) {
	tokens, notes, err := lexBack(text)
	if err != nil {
		return BackStatement{}, back(err)
	}
	for len(tokens) > 0 && tokens[len(tokens)-1].text == ";" {
		tokens = tokens[:len(tokens)-1]
	}
	if len(tokens) == 0 || tokens[0].kind != word {
		return BackStatement{}, notBack("an empty statement")
	}
	st := BackStatement{Verb: tokens[0].up}
	switch st.Verb {
	case "SELECT", "INSERT", "UPDATE", "DELETE":
	default:
		return st, notBack(st.Verb + " statements")
	}
	for i, t := range tokens {
		if t.kind == word && t.up == "RETURNING" {
			if st.Column, st.Value, err = echoed(tokens, i, echo); err != nil {
				return st, err
			}
			tokens = tokens[:i]
			break
		}
	}
	var out strings.Builder
	for i, t := range tokens {
		piece, err := backToken(tokens, i)
		if err != nil {
			return st, err
		}
		tight := i == 0 || t.text == ")" && t.kind == punct || t.text == "," || t.text == "." || tokens[i-1].text == "." && tokens[i-1].kind == punct ||
			tokens[i-1].text == "(" && tokens[i-1].kind == punct || t.text == "(" && t.kind == punct && !t.gap
		if !tight {
			out.WriteByte(' ')
		}
		out.WriteString(piece)
	}
	for _, n := range notes {
		out.WriteString(" " + n)
	}
	st.SQL = out.String()
	return st, nil
}

func notBack(construct string) error {
	return &Error{NotSupported, "This pooler does not translate " + construct + " for MySQL servers"}
}

func back(err error) error {
	var unsupported *UnsupportedError
	if errors.As(err, &unsupported) {
		return notBack(unsupported.Construct)
	}
	return err
}

// lexBack takes a PostgreSQL statement apart. Comments come by themselves.
func lexBack(text string) (out []token, notes []string, err error) {
	gap := false
	add := func(t token) {
		t.gap, gap = gap, false
		out = append(out, t)
	}
	for i := 0; i < len(text); {
		c := text[i]
		switch {
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f':
			gap = true
			i++
		case strings.HasPrefix(text[i:], "/*"):
			n := strings.Index(text[i+2:], "*/")
			if n < 0 || strings.Contains(text[i+2:i+2+n], "/*") {
				return nil, nil, &UnsupportedError{"a comment without an end, or in another one"}
			}
			note := text[i : i+n+4]
			if len(note) > 4 && (note[2] == '!' || note[2] == '+') {
				return nil, nil, &UnsupportedError{"a comment that MySQL would run"}
			}
			notes = append(notes, note)
			i += len(note)
			gap = true
		case strings.HasPrefix(text[i:], "--"):
			n := strings.IndexByte(text[i:], '\n')
			if n < 0 {
				n = len(text) - i
			}
			i += n
			gap = true
		case c == '\'' || c == '"':
			j := i + 1
			var b strings.Builder
			for ; j < len(text); j++ {
				if text[j] == c {
					if j+1 == len(text) || text[j+1] != c {
						break
					}
					j++ // a doubled quote stands for one
				}
				b.WriteByte(text[j])
			}
			if j >= len(text) || c == '"' && b.Len() == 0 || strings.IndexByte(b.String(), 0) >= 0 {
				return nil, nil, &UnsupportedError{"a string or name without an end, or with a zero byte"}
			}
			kind := str
			if c == '"' {
				kind = quoted
			}
			add(token{kind: kind, text: b.String()})
			i = j + 1
		case isDigit(c):
			n := numeral(text[i:])
			if n < 0 {
				return nil, nil, &UnsupportedError{"a number that goes on as a name"}
			}
			add(token{kind: number, text: text[i : i+n]})
			i += n
		case isNameByte(c) && c != '$':
			from := i
			for i < len(text) && isNameByte(text[i]) {
				i++
			}
			add(token{kind: word, text: text[from:i], up: strings.ToUpper(text[from:i])})
		default:
			n := 1
			for _, op := range []string{"<=", ">=", "<>", "!=", "::", "||", "->", "~~", "@>", "<@"} {
				if strings.HasPrefix(text[i:], op) {
					n = len(op)
					break
				}
			}
			add(token{kind: punct, text: text[i : i+n]})
			i += n
		}
	}
	return out, notes, nil
}

// backToken is one token as MySQL reads it.
func backToken(tokens []token, i int) (string, error) {
	t := tokens[i]
	next := token{kind: end}
	if i+1 < len(tokens) {
		next = tokens[i+1]
	}
	switch t.kind {
	case str:
		if strings.HasPrefix(t.text, `\x`) { // bytes, or a text that looks so: only the column's type tells
			return "", notBack(`a string that begins with \x`)
		}
		if next.kind == str {
			return "", notBack("strings that join")
		}
		return mysqlLiteral(t.text), nil
	case quoted:
		return "`" + strings.ReplaceAll(t.text, "`", "``") + "`", nil
	case number:
		return t.text, nil
	case word:
		switch {
		case onlyPostgres[t.up]:
			return "", notBack(t.up)
		case next.kind == str && !next.gap:
			return "", notBack(t.text + "'…'")
		case next.kind == punct && next.text == "(" && !notFunctions[t.up] && !sameBack[t.up] && (i == 0 || tokens[i-1].kind != word || tokens[i-1].up != "INTO"):
			return "", notBack("the function " + t.up)
		case t.up == "ORDER" && next.kind == word && next.up == "BY": // NULLs come last there and first here
			return "", notBack("ORDER BY, which puts NULL elsewhere")
		case t.up == "ON" && next.kind == word && next.up == "CONFLICT":
			return "", notBack("ON CONFLICT")
		}
		return t.text, nil
	}
	switch t.text {
	case ",", ".", "=", "<", ">", "<=", ">=", "<>", "!=", "+", "-", "*", "%", "(", ")":
		return t.text, nil
	case ";":
		return "", notBack("several statements in one")
	}
	return "", notBack("the operator " + t.text)
}

func mysqlLiteral(s string) string {
	return "'" + strings.NewReplacer(`\`, `\\`, `'`, `''`).Replace(s) + "'"
}

// echoed finds the value that RETURNING gives: INSERT INTO t (a, b) VALUES (1, 'x') RETURNING b.
func echoed(tokens []token, at int, echo Echo) (string, Value, error) {
	fail := func() (string, Value, error) {
		return "", nil, notBack("RETURNING, but for one column, of a row of plain values, whose table says that it is stored as written")
	}
	if at+2 != len(tokens) || tokens[at+1].kind != word && tokens[at+1].kind != quoted || len(tokens) < 5 ||
		tokens[0].up != "INSERT" || tokens[1].up != "INTO" || tokens[3].text != "(" {
		return fail()
	}
	want, table := strings.ToLower(tokens[at+1].text), strings.ToLower(tokens[2].text)
	known := false
	for _, c := range echo[table] {
		known = known || strings.ToLower(c) == want
	}
	place, i := -1, 4
	for n := 0; i+1 < at && known; i, n = i+2, n+1 {
		if strings.ToLower(tokens[i].text) == want {
			place = n
		}
		if tokens[i+1].text == ")" {
			break
		}
	}
	if i += 2; place < 0 || i+1 >= at || tokens[i].up != "VALUES" || tokens[i+1].text != "(" {
		return fail()
	}
	i += 2 + 2*place
	if i+1 >= at || tokens[i].kind != str || tokens[at-1].text != ")" || tokens[at-1].kind != punct {
		return fail()
	}
	for j, depth, lists := 0, 0, 0; j < at; j++ { // one row only, each value a single token
		if tokens[j].kind == punct && tokens[j].text == "(" {
			if lists++; lists > 2 {
				return fail()
			}
			depth++
		} else if tokens[j].kind == punct && tokens[j].text == ")" {
			depth--
		}
		if depth > 1 || tokens[j].kind == punct && !isParenthesisOrComma(tokens[j].text) {
			return fail()
		}
	}
	return tokens[at+1].text, Value(tokens[i].text), nil
}

func isParenthesisOrComma(punctuation string) bool {
	return punctuation == "(" || punctuation == ")" || punctuation == ","
}
