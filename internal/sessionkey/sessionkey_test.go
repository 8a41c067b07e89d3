package sessionkey

import (
	"slices"
	"strings"
	"testing"
)

// idsOf returns the IDs of strings.
func idsOf(values ...string) []uint64 {
	var keys Keys
	for _, value := range values {
		keys.AddString([]byte(value))
	}
	return keys.OfRead()
}

// A key must be the same in whatever form a statement quotes it, or a read misses the write that names it in another form.
func TestOfText(t *testing.T) {
	for _, c := range []struct {
		name, text string
		dialect    Dialect
		strings    []string
		numbers    []string
	}{
		{"insert", "INSERT INTO state (uid, val) VALUES ('7f', '\\x9f') /* id=1,c=order */", Postgres, []string{"7f", `\x9f`}, nil},
		{"key behind another string", "UPDATE state SET val = 'x', n = n - 1 WHERE uid = 'a'", MySQL, []string{"x", "a"}, []string{"1"}},
		{"double quotes", `SELECT val FROM state WHERE uid = "a"`, MySQL, []string{"a"}, nil},
		{"identifiers", "SELECT \"val\", `a` FROM state WHERE uid = 'b'", Postgres, []string{"b"}, nil},
		{"quotes in identifiers", "SELECT `it's` FROM state WHERE uid = 'b'", MySQL, []string{"b"}, nil},
		{"doubled quote", "SELECT 'it''s'", MySQL, []string{"it's"}, nil},
		{"escapes", `SELECT 'it\'s', 'a\\b', 'a\tb', 'a\%'`, MySQL, []string{"it's", `a\b`, "a\tb", `a\%`}, nil},
		{"escaped letter of several bytes", `SELECT '\é'`, MySQL, []string{"é"}, nil},
		{"no escapes", `SELECT 'a\', 'b'`, Postgres, []string{`a\`, "b"}, nil},
		{"joined strings", "SELECT 'a' 'b' /* c */ \"c\", 'd'", MySQL, []string{"abc", "d"}, nil},
		{"prefixes", "SELECT N'a', _utf8mb4'b'", MySQL, []string{"a", "b"}, nil},
		{"dollar quotes", "SELECT $$a$$, $x$b$$c$x$, $1", Postgres, []string{"a", "b$$c"}, []string{"1"}},
		{"comments", "SELECT /* 'a' */ 'b' -- 'c'\n, 'd' # 'e'\n", MySQL, []string{"b", "d"}, nil},
		{"executed comment", "SELECT /*! 'a' */ 5--'b'", MySQL, []string{"a", "b"}, []string{"5"}},
		{"numbers", "SELECT val FROM t1 WHERE id = 17 OR n > 1.5", MySQL, nil, []string{"17", "1.5"}},
		{"unclosed", "SELECT 'a", MySQL, []string{"a"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			keys := OfText(c.text, c.dialect)
			var want Keys
			for _, value := range c.strings {
				want.AddString([]byte(value))
			}
			for _, number := range c.numbers {
				want.AddNumber(number)
			}
			if !slices.Equal(keys.OfRead(), want.strings) || !slices.Equal(keys.OfWrite(), want.OfWrite()) {
				t.Errorf("%s: keys %v and %v, want %v and %v", c.text, keys.strings, keys.numbers, want.strings, want.numbers)
			}
		})
	}
}

// A statement whose keys can't be told may belong to any session.
func TestUnknownKeys(t *testing.T) {
	many := "SELECT " + strings.Repeat("'a',", maxKeys) + "'b'"
	if got := OfText(many, MySQL); !slices.Equal(got.OfRead(), idsOf("a", "b")) {
		t.Errorf("a string that stands many times hides another: %v", got.OfRead())
	}
	var several strings.Builder
	for i := range maxKeys + 1 {
		several.WriteString("'" + strings.Repeat("a", i) + "',")
	}
	for _, text := range []string{several.String(), "SELECT X'61'", "SELECT 'a', 0x61", "DELETE FROM state"} {
		keys := OfText(text, MySQL)
		if keys.OfRead() != nil || keys.OfWrite() != nil {
			t.Errorf("%.40s: %v and %v, want none", text, keys.OfRead(), keys.OfWrite())
		}
	}
	for _, text := range []string{"SELECT E'\\x61'", "SELECT U&'a'", "SELECT /* /* */ 'a' */ 'b'", "SELECT $x$a"} {
		if keys := OfText(text, Postgres); keys.OfRead() != nil {
			t.Errorf("%s: %v, want none", text, keys.OfRead())
		}
	}
}

// Any text must be scanned to its end, without a panic.
func FuzzOfText(f *testing.F) {
	f.Add("SELECT 'a' /*! 'b' */ $x$ c $x$ -- \\", true)
	f.Fuzz(func(t *testing.T, text string, mysql bool) {
		dialect := Postgres
		if mysql {
			dialect = MySQL
		}
		keys := OfText(text, dialect)
		if got := len(keys.OfWrite()); got > maxKeys {
			t.Fatalf("%d keys", got)
		}
	})
}
