package translate

import (
	"errors"
	"strings"
	"testing"
)

var echo = Echo{"state": {"uid", "val"}}

func TestToMySQL(t *testing.T) {
	for in, want := range map[string]BackStatement{
		`SELECT "Val" FROM state WHERE uid = 'it''s \n' /* id=1 */`:    {SQL: "SELECT `Val` FROM state WHERE uid = 'it''s \\\\n' /* id=1 */", Verb: "SELECT"},
		"SELECT COUNT(*) FROM t WHERE a IN (1, 2) LIMIT 5 OFFSET 2;":   {SQL: "SELECT COUNT(*) FROM t WHERE a IN (1, 2) LIMIT 5 OFFSET 2", Verb: "SELECT"},
		"INSERT INTO state (uid, val) VALUES ('u', 'x') RETURNING val": {SQL: "INSERT INTO state (uid, val) VALUES ('u', 'x')", Verb: "INSERT", Column: "val", Value: Value("x")},
		"UPDATE t SET a = a + 1, b = NULL WHERE c <> 'x'":              {SQL: "UPDATE t SET a = a + 1, b = NULL WHERE c <> 'x'", Verb: "UPDATE"},
	} {
		got, err := ToMySQL(in, echo)
		if err != nil || got.SQL != want.SQL || got.Verb != want.Verb || got.Column != want.Column || string(got.Value) != string(want.Value) {
			t.Errorf("%s gives %+v, %v", in, got, err)
		}
	}
	for in, construct := range map[string]string{
		"SELECT a || b FROM t": "operator ||", "SELECT a::int FROM t": "operator ::", "SELECT a / 2 FROM t": "operator /", "SELECT $1": "operator $",
		`INSERT INTO t (a) VALUES ('\x00')`: `\x`, "SELECT a FROM t ORDER BY a": "ORDER BY", "SELECT a ILIKE 'x' FROM t": "ILIKE", "SELECT E'x'": "E'",
		"SELECT length(a) FROM t": "function LENGTH", "COPY t FROM STDIN": "COPY", "SELECT 1; SELECT 2": "several", "SELECT 1 /*! x */": "MySQL would run",
		"INSERT INTO state (uid, val) VALUES ('u', 'x'), ('v', 'y') RETURNING val": "RETURNING", "INSERT INTO other (val) VALUES ('x') RETURNING val": "RETURNING",
		"INSERT INTO state (val) VALUES (1) RETURNING val": "RETURNING", "INSERT INTO state (uid, val) VALUES ('u', 'x') RETURNING uid, val": "RETURNING",
		"UPDATE state SET val = 'x' RETURNING val": "RETURNING", "INSERT INTO t (a) VALUES (1) ON CONFLICT DO NOTHING": "ON CONFLICT", "SELECT 'a": "without an end",
	} {
		got, err := ToMySQL(in, echo)
		var e *Error
		if !errors.As(err, &e) || e.Meaning != NotSupported || !strings.Contains(e.Text, construct) {
			t.Errorf("%s gives %q, %v, and not an error that names %s", in, got.SQL, err, construct)
		}
	}
}

// What goes out must read, to MySQL, as whole strings and names, and as one statement.
func FuzzToMySQL(f *testing.F) {
	f.Add(`INSERT INTO state (uid, val) VALUES ('u', 'it''s \') RETURNING "val" /* id=1 */`)
	f.Fuzz(func(t *testing.T, text string) {
		got, err := ToMySQL(text, echo)
		if err != nil {
			return
		}
		if tokens, err := lex(got.SQL); err != nil && !strings.Contains(err.Error(), `\0`) {
			t.Errorf("%q gives %q: %v", text, got.SQL, err)
		} else {
			for _, tok := range tokens {
				if tok.kind == punct && tok.text == ";" {
					t.Errorf("%q gives %q, which is more than one statement", text, got.SQL)
				}
			}
		}
	})
}
