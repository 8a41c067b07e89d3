package translate

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// UnsupportedError tells which construct of a statement has no translation that means the same. Nothing has been sent then.
type UnsupportedError struct{ Construct string }

func (e *UnsupportedError) Error() string {
	return "This pooler does not translate " + e.Construct + " for PostgreSQL servers"
}

// Options say what a statement does not tell of the tables it names.
type Options struct {
	Keys map[string][]string // by table: the columns of the key that ON DUPLICATE KEY is about
	IDs  map[string]string   // by table: the column that AUTO_INCREMENT filled, and LAST_INSERT_ID told
}

// Statement is a translated statement.
type Statement struct {
	SQL      string
	Params   int
	InsertID bool // it returns one column, the number given to each row; the client sees no rows
}

type tokenKind uint8

const (
	word   tokenKind = iota
	quoted           // an identifier in backticks, without them
	str              // a string, decoded
	number
	mark // a parameter
	punct
	note // a comment
	end
)

type token struct {
	kind tokenKind
	text string
	up   string // of a word: in capitals
	gap  bool   // white space stood before it
	n    int    // of a mark: its number, from 1
}

// lex takes a MySQL statement apart.
func lex(text string) ([]token, error) {
	var out []token
	params, gap := 0, false
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
			if n < 0 {
				return nil, &UnsupportedError{"a comment without an end"}
			}
			body := text[i : i+n+4]
			if strings.HasPrefix(body, "/*!") || strings.HasPrefix(body, "/*+") {
				return nil, &UnsupportedError{"comments that are run, " + body[:3]}
			}
			if strings.Contains(body[2:], "/*") { // there comments nest
				return nil, &UnsupportedError{"a comment within a comment"}
			}
			add(token{kind: note, text: body})
			i += len(body)
		case c == '#', strings.HasPrefix(text[i:], "--") && (i+2 == len(text) || text[i+2] <= ' '):
			n := strings.IndexByte(text[i:], '\n')
			if n < 0 {
				n = len(text) - i
			}
			i += n
			gap = true
		case c == '\'' || c == '"':
			s, n, err := unquote(text[i:])
			if err != nil {
				return nil, err
			}
			if last := len(out) - 1; last >= 0 && out[last].kind == str { // they join
				out[last].text += s
			} else {
				add(token{kind: str, text: s})
			}
			i += n
		case c == '`':
			name, n, ok := backtick(text[i:])
			if !ok {
				return nil, &UnsupportedError{"a name without an end"}
			}
			add(token{kind: quoted, text: name})
			i += n
		case c >= '0' && c <= '9', c == '.' && i+1 < len(text) && isDigit(text[i+1]) && (len(out) == 0 || gap || out[len(out)-1].kind == punct):
			n := numeral(text[i:])
			if n < 0 {
				return nil, &UnsupportedError{"a number or name that begins with " + strconv.Quote(text[i:min(i+2, len(text))])}
			}
			add(token{kind: number, text: text[i : i+n]})
			i += n
		case isNameByte(c):
			from := i
			for i < len(text) && isNameByte(text[i]) {
				i++
			}
			w := text[from:i]
			add(token{kind: word, text: w, up: strings.ToUpper(w)})
		case c == '?':
			params++
			add(token{kind: mark, text: "?", n: params})
			i++
		default:
			n := 1
			for _, op := range []string{"<=>", "->>", "<=", ">=", "<>", "!=", "||", "&&", "<<", ">>", ":=", "->", "@@"} {
				if strings.HasPrefix(text[i:], op) {
					n = len(op)
					break
				}
			}
			add(token{kind: punct, text: text[i : i+n]})
			i += n
		}
	}
	return out, nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isNameByte(c byte) bool {
	return c == '_' || c == '$' || isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

// numeral is the length of the number that a text begins with; -1: a name goes on behind it.
func numeral(s string) int {
	i := 0
	for i < len(s) && (isDigit(s[i]) || s[i] == '.') {
		i++
	}
	if i < len(s) && (s[i]|0x20) == 'e' {
		j := i + 1
		if j < len(s) && (s[j] == '+' || s[j] == '-') {
			j++
		}
		if j < len(s) && isDigit(s[j]) {
			i = j
			for i < len(s) && isDigit(s[i]) {
				i++
			}
		}
	}
	if i < len(s) && isNameByte(s[i]) || strings.Count(s[:i], ".") > 1 {
		return -1
	}
	return i
}

// unquote decodes the string that a text begins with, as MySQL reads it.
func unquote(s string) (string, int, error) {
	q := s[0]
	var b strings.Builder
	for i := 1; i < len(s); i++ {
		switch c := s[i]; {
		case c == q && i+1 < len(s) && s[i+1] == q:
			b.WriteByte(q)
			i++
		case c == q:
			return b.String(), i + 1, nil
		case c == '\\' && i+1 < len(s):
			i++
			switch e := s[i]; e {
			case 'n':
				b.WriteByte('\n')
			case 't':
				b.WriteByte('\t')
			case 'r':
				b.WriteByte('\r')
			case 'b':
				b.WriteByte('\b')
			case 'Z':
				b.WriteByte(0x1a)
			case '0':
				return "", 0, &UnsupportedError{`the character \0 in a string`}
			case '%', '_': // they stay escaped, for LIKE
				b.WriteByte('\\')
				b.WriteByte(e)
			default:
				b.WriteByte(e)
			}
		case c == 0:
			return "", 0, &UnsupportedError{`the character \0 in a string`}
		default:
			b.WriteByte(c)
		}
	}
	return "", 0, &UnsupportedError{"a string without an end"}
}

func backtick(s string) (name string, n int, ok bool) {
	var b strings.Builder
	for i := 1; i < len(s); i++ {
		if s[i] != '`' {
			b.WriteByte(s[i])
			continue
		}
		if i+1 < len(s) && s[i+1] == '`' {
			b.WriteByte('`')
			i++
			continue
		}
		return b.String(), i + 1, b.Len() > 0
	}
	return "", 0, false
}

// Words that mean something to PostgreSQL alone, where MySQL takes them for plain names. Left as they are, some would even
// give a value: user, for one.
var onlyThere = set("ANALYSE ASYMMETRIC AUTHORIZATION CONCURRENTLY CURRENT_CATALOG CURRENT_ROLE CURRENT_SCHEMA DEFERRABLE " +
	"DO END FREEZE ILIKE INITIALLY ISNULL NOTNULL OFFSET ONLY OVERLAPS PLACING SESSION_USER SIMILAR SOME SYMMETRIC USER VARIADIC VERBOSE")

// Functions that do the same with the same arguments.
var sameFunctions = set("COUNT SUM MIN MAX COALESCE NULLIF UPPER LOWER ABS FLOOR CEIL CEILING TRIM LTRIM RTRIM " +
	"CHAR_LENGTH CHARACTER_LENGTH OCTET_LENGTH REPLACE REVERSE MD5 POSITION SIGN MOD EXISTS ROW_NUMBER RANK DENSE_RANK")

// Words before a parenthesis that are no functions.
var notFunctions = set("IN VALUES VALUE AND OR NOT ON WHERE FROM AS SELECT SET KEY JOIN USING BY HAVING WHEN THEN ELSE CASE IS LIKE BETWEEN " +
	"ANY ALL OVER WITH UNION DISTINCT INTO LIMIT CAST TABLE EXCEPT INTERSECT PARTITION RECURSIVE")

// Constructs that mean something else there, or nothing.
var untranslated = set("DIV XOR REGEXP RLIKE INTERVAL BINARY COLLATE STRAIGHT_JOIN SQL_CALC_FOUND_ROWS SQL_BIG_RESULT SQL_SMALL_RESULT " +
	"SQL_BUFFER_RESULT LOW_PRIORITY DELAYED MATCH AGAINST ROLLUP PROCEDURE SOUNDS MEMBER CONVERT ESCAPE OUTFILE DUMPFILE")

// Words that ask for nothing that could be missed.
var dropped = set("SQL_NO_CACHE SQL_CACHE HIGH_PRIORITY")

func set(words string) map[string]bool {
	out := map[string]bool{}
	for w := range strings.FieldsSeq(words) {
		out[w] = true
	}
	return out
}

// ToPostgres translates one MySQL statement. What it gives means the same, or it fails: what PostgreSQL itself turns down
// (a column that is not there) is left for it to say.
func ToPostgres(text string, opt Options) (Statement, error) {
	tokens, err := lex(text)
	if err != nil {
		return Statement{}, err
	}
	w := &rewriter{opt: opt}
	for _, t := range tokens {
		if t.kind == mark {
			w.params++
		}
		if t.kind == note { // they go to the end, where they part nothing
			w.notes = append(w.notes, t.text)
			continue
		}
		w.in = append(w.in, t)
	}
	for len(w.in) > 0 && w.in[len(w.in)-1].text == ";" && w.in[len(w.in)-1].kind == punct {
		w.in = w.in[:len(w.in)-1]
	}
	if err := w.statement(); err != nil {
		return Statement{}, err
	}
	sql := strings.TrimSpace(w.out.String())
	for _, n := range w.notes {
		sql += " " + n
	}
	return Statement{SQL: sql, Params: w.params, InsertID: w.insertID}, nil
}

type rewriter struct {
	opt      Options
	in       []token
	at       int
	out      strings.Builder
	notes    []string
	params   int
	cases    int // CASE that have no END yet
	depth    int // parentheses
	verb     string
	table    string // of an INSERT
	ignore   bool
	insertID bool
	conflict bool // ON DUPLICATE KEY UPDATE has come
	wrote    string
}

func (w *rewriter) peek(ahead int) token {
	if w.at+ahead < len(w.in) && w.at+ahead >= 0 {
		return w.in[w.at+ahead]
	}
	return token{kind: end}
}

// is tells whether the words from here on are these.
func (w *rewriter) is(words ...string) bool {
	for i, x := range words {
		if t := w.peek(i); t.kind != word || t.up != x {
			return false
		}
	}
	return true
}

// put writes a piece, parted by a blank from the one before it.
func (w *rewriter) put(s string) {
	if s == "" {
		return
	}
	tight := w.wrote == "" || w.wrote == "(" || w.wrote == "." || s == ")" || s == "," || s == "." ||
		s == "(" && (w.wrote != "" && isNameByte(w.wrote[len(w.wrote)-1]) && w.call())
	if !tight {
		w.out.WriteByte(' ')
	}
	w.out.WriteString(s)
	w.wrote = s
}

// call tells that the word before a parenthesis calls a function.
func (w *rewriter) call() bool {
	t := w.peek(-2)
	return t.kind == word && !notFunctions[t.up]
}

func (w *rewriter) statement() error {
	t := w.peek(0)
	if t.kind != word {
		if t.kind == punct && t.text == "(" {
			return w.rest()
		}
		return &UnsupportedError{"a statement that begins with " + strconv.Quote(t.text)}
	}
	switch w.verb = t.up; t.up {
	case "SELECT", "WITH", "VALUES":
		return w.rest()
	case "INSERT":
		return w.insert()
	case "UPDATE", "DELETE":
		return w.change()
	}
	return &UnsupportedError{t.up + " statements"}
}

// insert takes what stands before the columns.
func (w *rewriter) insert() error {
	w.at++
	for w.is("IGNORE") || w.is("HIGH_PRIORITY") {
		w.ignore = w.ignore || w.is("IGNORE")
		w.at++
	}
	if w.is("INTO") {
		w.at++
	}
	t := w.peek(0)
	if t.kind != word && t.kind != quoted || untranslated[t.up] {
		return &UnsupportedError{"INSERT " + t.text}
	}
	w.put("INSERT INTO")
	w.table = strings.ToLower(t.text)
	w.name(t)
	w.at++
	if p := w.peek(0); p.kind == punct && p.text == "." {
		w.put(".")
		w.at++
		w.table = strings.ToLower(w.peek(0).text)
		w.name(w.peek(0))
		w.at++
	}
	if w.is("SET") {
		return &UnsupportedError{"INSERT … SET"}
	}
	if w.is("VALUE") { // MySQL's other word for VALUES
		w.in[w.at] = token{kind: word, text: "VALUES", up: "VALUES", gap: true}
	}
	if err := w.rest(); err != nil {
		return err
	}
	if w.ignore {
		if w.conflict {
			return &UnsupportedError{"INSERT IGNORE with ON DUPLICATE KEY UPDATE"}
		}
		w.put("ON CONFLICT DO NOTHING")
	}
	if id := w.opt.IDs[w.table]; id != "" && !w.conflict {
		w.put("RETURNING")
		w.put(identifier(id))
		w.insertID = true
	}
	return nil
}

// change is an UPDATE or DELETE of one table.
func (w *rewriter) change() error {
	if w.verb == "DELETE" && (w.peek(1).kind != word || w.peek(1).up != "FROM") {
		return &UnsupportedError{"DELETE of several tables"}
	}
	w.put(w.verb)
	w.at++
	if w.is("IGNORE") {
		return &UnsupportedError{w.verb + " IGNORE"}
	}
	for i, depth := w.at, 0; i < len(w.in); i++ {
		t := w.in[i]
		switch {
		case t.text == "(" && t.kind == punct:
			depth++
		case t.text == ")" && t.kind == punct:
			depth--
		case depth > 0:
		case t.kind == word && (t.up == "LIMIT" || t.up == "ORDER"):
			return &UnsupportedError{w.verb + " with " + t.up}
		case t.kind == word && (t.up == "JOIN" || t.up == "USING"), t.kind == punct && t.text == "," && !w.sawSet(i):
			return &UnsupportedError{w.verb + " of several tables"}
		}
	}
	return w.rest()
}

func (w *rewriter) sawSet(before int) bool {
	return w.verb == "DELETE" || slices.ContainsFunc(w.in[:before], func(t token) bool { return t.kind == word && t.up == "SET" })
}

// rest translates from here to the end.
func (w *rewriter) rest() error {
	for w.at < len(w.in) {
		if err := w.one(); err != nil {
			return err
		}
	}
	if w.depth != 0 {
		return &UnsupportedError{"parentheses without their match"}
	}
	return nil
}

func (w *rewriter) name(t token) { w.put(identifier(t.text)) }

// identifier folds a name as PostgreSQL folds those without quotes: MySQL's columns know no case either.
func identifier(name string) string {
	return `"` + strings.ReplaceAll(strings.ToLower(name), `"`, `""`) + `"`
}

// literal is a string as PostgreSQL reads it, with standard_conforming_strings on.
func literal(s string) string { return "'" + strings.ReplaceAll(s, "'", "''") + "'" }

// one translates one token, and what belongs to it.
func (w *rewriter) one() error {
	t := w.peek(0)
	w.at++
	switch t.kind {
	case mark:
		w.put("$" + strconv.Itoa(t.n))
	case str:
		if p := w.peek(-2); p.kind == word && p.up == "AS" {
			w.name(t)
		} else {
			w.put(literal(t.text))
		}
	case quoted:
		w.name(t)
	case number:
		w.put(t.text)
	case punct:
		return w.punct(t)
	case word:
		return w.word(t)
	}
	return nil
}

func (w *rewriter) punct(t token) error {
	switch t.text {
	case "||":
		w.put("OR")
	case "&&":
		w.put("AND")
	case "!": // it binds more tightly than NOT does there
		return &UnsupportedError{"the operator !, for which NOT with parentheses is clear"}
	case "<=>":
		w.put("IS NOT DISTINCT FROM")
	case "!=":
		w.put("<>")
	case "(":
		w.depth++
		w.put("(")
	case ")":
		if w.depth--; w.depth < 0 {
			return &UnsupportedError{"parentheses without their match"}
		}
		w.put(")")
	case ",", ".", "=", "<", ">", "<=", ">=", "<>", "+", "-", "*", "%":
		w.put(t.text)
	case "&", "|", "~", "<<", ">>", "^":
		return &UnsupportedError{"the operator " + t.text + ", which works on 64 bits without a sign here only"}
	case "/":
		return &UnsupportedError{"the operator /, whose result has another type there"}
	case ";":
		return &UnsupportedError{"several statements in one"}
	case "@", "@@", ":=":
		return &UnsupportedError{"variables"}
	default:
		return &UnsupportedError{"the operator " + t.text}
	}
	return nil
}

func (w *rewriter) word(t token) error {
	before, after := w.peek(-2), w.peek(0)
	dotted := before.kind == punct && before.text == "." || after.kind == punct && after.text == "."
	if before.kind == punct && before.text == "." { // a column, whatever it is called
		w.name(t)
		return nil
	}
	if after.kind == str && !after.gap && (t.text[0] == '_' || t.up == "N" || t.up == "X" || t.up == "B") {
		return w.introduced(t, after)
	}
	switch {
	case t.text[0] == '_' && after.kind == str:
		return w.introduced(t, after)
	case dropped[t.up]:
	case t.up == "CASE":
		w.cases++
		w.put("CASE")
	case t.up == "END" && w.cases > 0:
		w.cases--
		w.put("END")
	case t.up == "ORDER" && w.is("BY"):
		return w.orderBy()
	case t.up == "LIMIT":
		return w.limit()
	case t.up == "OFFSET" && (before.kind == number || before.kind == mark):
		w.put("OFFSET")
	case t.up == "FROM" && after.kind == word && after.up == "DUAL":
		w.at++
	case t.up == "LOCK" && w.is("IN", "SHARE", "MODE"):
		w.at += 3
		w.put("FOR SHARE")
	case t.up == "ON" && w.is("DUPLICATE", "KEY", "UPDATE"):
		return w.duplicate()
	case (t.up == "USE" || t.up == "FORCE" || t.up == "IGNORE") && after.kind == word && (after.up == "INDEX" || after.up == "KEY"):
		return &UnsupportedError{t.up + " INDEX"}
	case t.up == "INTO" && w.verb != "INSERT":
		return &UnsupportedError{"SELECT … INTO"}
	case untranslated[t.up] && !dotted:
		return &UnsupportedError{t.up}
	case after.kind == punct && after.text == "(" && (!notFunctions[t.up] || t.up == "VALUES" && w.conflict):
		return w.function(t)
	case t.up == "CURRENT_TIMESTAMP" || t.up == "LOCALTIME" || t.up == "LOCALTIMESTAMP":
		w.put("LOCALTIMESTAMP(0)")
	case onlyThere[t.up]:
		w.name(t)
	default:
		w.put(t.text)
	}
	return nil
}

// introduced is a string with a word before it that says how it is written.
func (w *rewriter) introduced(t, s token) error {
	w.at++
	switch t.up {
	case "_UTF8", "_UTF8MB3", "_UTF8MB4", "N":
		w.put(literal(s.text))
	case "X":
		if _, err := hex.DecodeString(s.text); err != nil {
			return &UnsupportedError{"x'" + s.text + "'"}
		}
		w.put(`'\x` + s.text + `'::bytea`)
	default:
		return &UnsupportedError{t.text + "'…'"}
	}
	return nil
}

// limit is LIMIT n, LIMIT skip, n or LIMIT n OFFSET skip.
func (w *rewriter) limit() error {
	bound := func() (string, error) {
		t := w.peek(0)
		w.at++
		switch t.kind {
		case number:
			return t.text, nil
		case mark:
			return "$" + strconv.Itoa(t.n), nil
		}
		return "", &UnsupportedError{"LIMIT " + t.text}
	}
	first, err := bound()
	if err != nil {
		return err
	}
	if p := w.peek(0); p.kind == punct && p.text == "," {
		w.at++
		n, err := bound()
		if err != nil {
			return err
		}
		w.put("LIMIT " + n + " OFFSET " + first)
		return nil
	}
	w.put("LIMIT " + first)
	return nil
}

// duplicate is ON DUPLICATE KEY UPDATE: the key must be known by name there.
func (w *rewriter) duplicate() error {
	w.at += 3
	keys := w.opt.Keys[w.table]
	if len(keys) == 0 {
		return &UnsupportedError{fmt.Sprintf("ON DUPLICATE KEY UPDATE for table %s, whose key is not configured", w.table)}
	}
	names := make([]string, len(keys))
	for i, k := range keys {
		names[i] = identifier(k)
	}
	w.put("ON CONFLICT (" + strings.Join(names, ", ") + ") DO UPDATE SET")
	w.conflict = true
	return nil
}

// arguments takes those of a function, each as its tokens; the next token is the opening parenthesis.
func (w *rewriter) arguments() ([][]token, error) {
	w.at++
	var args [][]token
	var arg []token
	for depth := 1; ; w.at++ {
		t := w.peek(0)
		switch {
		case t.kind == end:
			return nil, &UnsupportedError{"parentheses without their match"}
		case t.kind == punct && t.text == "(":
			depth++
		case t.kind == punct && t.text == ")":
			depth--
		}
		if depth == 0 {
			w.at++
			if len(arg) > 0 {
				args = append(args, arg)
			}
			return args, nil
		}
		if t.kind == punct && t.text == "," && depth == 1 {
			args, arg = append(args, arg), nil
			continue
		}
		arg = append(arg, t)
	}
}

// inner translates some tokens by themselves.
func (w *rewriter) inner(tokens []token) (string, error) {
	if len(tokens) == 0 {
		return "", &UnsupportedError{"an empty argument"}
	}
	x := &rewriter{opt: w.opt, in: tokens, verb: w.verb, table: w.table, conflict: w.conflict}
	err := x.rest()
	return strings.TrimSpace(x.out.String()), err
}

// counts tells that an argument is a plain number from 1 on.
func counts(arg []token) bool {
	if len(arg) != 1 || arg[0].kind != number {
		return false
	}
	n, err := strconv.Atoi(arg[0].text)
	return err == nil && n > 0
}

// orderBy translates what a result is ordered by: NULL comes before all else here, and after it there.
func (w *rewriter) orderBy() error {
	w.at++
	w.put("ORDER BY")
	depth, down := w.depth, false
	for {
		t := w.peek(0)
		ends := t.kind == end || w.depth == depth && (t.kind == punct && t.text == ")" ||
			t.kind == word && (t.up == "LIMIT" || t.up == "FOR" || t.up == "LOCK" || t.up == "UNION" || t.up == "ROWS" || t.up == "RANGE" || t.up == "ON"))
		comma := w.depth == depth && t.kind == punct && t.text == ","
		if ends || comma {
			if down {
				w.put("NULLS LAST")
			} else {
				w.put("NULLS FIRST")
			}
			if down = false; ends {
				return nil
			}
		}
		if w.depth == depth && t.kind == word {
			down = t.up == "DESC"
		} else if !comma {
			down = false
		}
		if err := w.one(); err != nil {
			return err
		}
	}
}

// function translates a call. One that is not known to do the same is turned down: it might do something else there.
func (w *rewriter) function(t token) error {
	if sameFunctions[t.up] {
		w.put(t.text)
		return nil
	}
	if w.verb == "INSERT" && w.wrote == `"`+w.table+`"` { // the columns of the table
		w.put(t.text)
		return nil
	}
	args, err := w.arguments()
	if err != nil {
		return err
	}
	parts := make([]string, len(args))
	for i, a := range args {
		if parts[i], err = w.inner(a); err != nil {
			return err
		}
	}
	n := len(parts)
	switch {
	case t.up == "IFNULL" && n == 2:
		w.put("COALESCE(" + parts[0] + ", " + parts[1] + ")")
	case t.up == "IF" && n == 3:
		w.put("CASE WHEN " + parts[0] + " THEN " + parts[1] + " ELSE " + parts[2] + " END")
	case t.up == "CONCAT" && n > 0: // a NULL in it makes it NULL, which concat() there does not
		for i := range parts {
			parts[i] = "(" + parts[i] + ")::text"
		}
		w.put("(" + strings.Join(parts, " || ") + ")")
	case (t.up == "SUBSTRING" || t.up == "SUBSTR") && (n == 2 || n == 3) && counts(args[1]) && (n == 2 || counts(args[2])):
		w.put("substring(" + strings.Join(parts, ", ") + ")") // of places below 1 the two have other views
	case t.up == "LENGTH" && n == 1:
		w.put("octet_length(" + parts[0] + ")")
	case (t.up == "NOW" || t.up == "CURRENT_TIMESTAMP" || t.up == "LOCALTIME" || t.up == "LOCALTIMESTAMP") && n == 0:
		w.put("LOCALTIMESTAMP(0)")
	case t.up == "NOW" && n == 1 && len(args[0]) == 1 && args[0][0].kind == number:
		w.put("LOCALTIMESTAMP(" + parts[0] + ")")
	case (t.up == "CURDATE" || t.up == "CURRENT_DATE") && n == 0:
		w.put("CURRENT_DATE")
	case t.up == "UNIX_TIMESTAMP" && n == 0:
		w.put("floor(extract(epoch FROM now()))::bigint")
	case t.up == "VALUES" && n == 1 && w.conflict:
		w.put("excluded." + parts[0])
	default:
		return &UnsupportedError{"the function " + t.up}
	}
	return nil
}
