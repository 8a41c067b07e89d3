package translate

import (
	"errors"
	"os"
	"strings"
	"testing"
)

var options = Options{Keys: map[string][]string{"booking": {"pupil", "slot"}}, IDs: map[string]string{"lesson": "id"}}

// Statements as old tools write them, and what a PostgreSQL server gets; or the construct that is turned down.
func TestToPostgres(t *testing.T) {
	for in, want := range map[string]string{
		"SELECT `Name`, user FROM `pupil` WHERE id = ? /* id=1,c=any */":                                         `SELECT "name", "user" FROM "pupil" WHERE id = $1 /* id=1,c=any */`,
		"select 'it''s', \"a\\\"b\\n\", 'x' 'y'":                                                                 "select 'it''s', 'a\"b\n', 'xy'",
		"SELECT a FROM t LIMIT ?, ?;":                                                                            "SELECT a FROM t LIMIT $2 OFFSET $1",
		"SELECT a FROM t LIMIT 5 OFFSET 10":                                                                      "SELECT a FROM t LIMIT 5 OFFSET 10",
		"SELECT SQL_NO_CACHE a FROM t -- why\nWHERE b # or\n = 1":                                                "SELECT a FROM t WHERE b = 1",
		"SELECT 1 FROM DUAL":                                                                                     "SELECT 1",
		"SELECT a AS 'x y' FROM t WHERE b && c || d <=> NULL":                                                    `SELECT a AS "x y" FROM t WHERE b AND c OR d IS NOT DISTINCT FROM NULL`,
		"SELECT IF(a > 1, 'x', IFNULL(b, 'y')) FROM t":                                                           "SELECT CASE WHEN a > 1 THEN 'x' ELSE COALESCE(b, 'y') END FROM t",
		"SELECT CONCAT(a, '-', ?) FROM t":                                                                        "SELECT ((a)::text || ('-')::text || ($1)::text) FROM t",
		"SELECT COUNT(*), LENGTH(a) FROM t WHERE b IN (1, 2) LOCK IN SHARE MODE":                                 "SELECT COUNT(*), octet_length(a) FROM t WHERE b IN (1, 2) FOR SHARE",
		"SELECT CASE a WHEN 1 THEN 2 END, t.end, `end` FROM t":                                                   `SELECT CASE a WHEN 1 THEN 2 END, t."end", "end" FROM t`,
		"SELECT NOW(), CURDATE(), _utf8'ő', x'c591'":                                                             `SELECT LOCALTIMESTAMP(0), CURRENT_DATE, 'ő', '\xc591'::bytea`,
		"INSERT INTO lesson (a, b) VALUES (?, NULL)":                                                             `INSERT INTO "lesson" (a, b) VALUES ($1, NULL) RETURNING "id"`,
		"insert ignore t value (1)":                                                                              `INSERT INTO "t" VALUES (1) ON CONFLICT DO NOTHING`,
		"INSERT INTO booking (pupil, slot, n) VALUES (1, 2, 3) ON DUPLICATE KEY UPDATE n = VALUES(n), m = n + 1": `INSERT INTO "booking" (pupil, slot, n) VALUES (1, 2, 3) ON CONFLICT ("pupil", "slot") DO UPDATE SET n = excluded.n, m = n + 1`,
		"UPDATE t SET a = a + 1, b = ? WHERE c BETWEEN 1 AND 2":                                                  "UPDATE t SET a = a + 1, b = $1 WHERE c BETWEEN 1 AND 2",
		"DELETE FROM t WHERE a LIKE '50\\%'":                                                                     `DELETE FROM t WHERE a LIKE '50\%'`,
		"SELECT a FROM t ORDER BY a, (b), c DESC, SUBSTR(d, 1, 2) LIMIT 3":                                       "SELECT a FROM t ORDER BY a NULLS FIRST, (b) NULLS FIRST, c DESC NULLS LAST, substring(d, 1, 2) NULLS FIRST LIMIT 3",
		"SELECT a FROM (SELECT b FROM u ORDER BY b) x ORDER BY 1 ASC":                                            "SELECT a FROM (SELECT b FROM u ORDER BY b NULLS FIRST) x ORDER BY 1 ASC NULLS FIRST",
		"SELECT a /* one */ FROM t":                                                                              "SELECT a FROM t /* one */",
	} {
		got, err := ToPostgres(in, options)
		if err != nil || got.SQL != want {
			t.Errorf("%s\n gives %s, %v\nand not %s", in, got.SQL, err, want)
		}
	}
	for in, construct := range map[string]string{
		"SHOW TABLES": "SHOW statements", "REPLACE INTO t VALUES (1)": "REPLACE statements", "SELECT a / b FROM t": "operator /",
		"SELECT @a": "variables", "SELECT @@version": "variables", "SELECT GREATEST(a, b) FROM t": "function GREATEST",
		"SELECT a REGEXP 'b' FROM t": "REGEXP", "SELECT 1; SELECT 2": "several statements", "UPDATE t SET a = 1 LIMIT 1": "UPDATE with LIMIT",
		"DELETE t FROM t JOIN u": "DELETE of several tables", "UPDATE t, u SET t.a = 1": "UPDATE of several tables", "SELECT a DIV 2": "DIV",
		"INSERT INTO t SET a = 1": "INSERT … SET", "INSERT INTO t VALUES (1) ON DUPLICATE KEY UPDATE a = 1": "table t, whose key is not configured",
		"SELECT /*!50000 1 */": "comments that are run", "SELECT 'a\\0b'": `\0`, "SELECT 'a": "a string without an end", "SELECT (1": "parentheses",
		"SELECT _latin2'x'": "_latin2", "SELECT a FROM t USE INDEX (i)": "USE INDEX", "SELECT b'01'": "b'", "SELECT a->'$.b' FROM t": "operator ->",
		"SELECT 0x41": "begins with", "SELECT a FROM t LIMIT a": "LIMIT a", "SELECT 1 /* a /* b */": "a comment within a comment", "SELECT a ^ b FROM t": "operator ^", "SELECT !a = b FROM t": "operator !", "SELECT a & 1 FROM t": "operator &",
		"SELECT SUBSTR(a, -3) FROM t": "function SUBSTR", "SELECT SUBSTRING(a, ?) FROM t": "function SUBSTRING",
	} {
		got, err := ToPostgres(in, options)
		var u *UnsupportedError
		if !errors.As(err, &u) || !strings.Contains(u.Construct, construct) {
			t.Errorf("%s gives %q, %v, and not an error that names %s", in, got.SQL, err, construct)
		}
	}
}

// Whatever comes in: no panic; what goes out holds no MySQL quoting, has as many parameters, and its strings end.
func FuzzToPostgres(f *testing.F) {
	f.Add("SELECT `a`, 'b\\'c', ? FROM t WHERE d = \"e\" LIMIT ?, 3 /* id=1 */")
	f.Add("INSERT INTO booking (a) VALUES (1) ON DUPLICATE KEY UPDATE a = VALUES(a)")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := ToPostgres(text, options)
		if err != nil {
			return
		}
		if quotes(got.SQL) {
			t.Errorf("%q gives %q, whose strings do not end", text, got.SQL)
		}
	})
}

// quotes tells that a string or name of a PostgreSQL statement has no end.
func quotes(sql string) bool {
	var in byte
	for i := 0; i < len(sql); i++ {
		switch c := sql[i]; {
		case in == 0 && strings.HasPrefix(sql[i:], "/*"):
			n := strings.Index(sql[i:], "*/")
			if n < 0 {
				return true
			}
			i += n + 1
		case in == 0 && (c == '\'' || c == '"'):
			in = c
		case c == in:
			in = 0
		}
	}
	return in != 0
}

// The page for operators must be what the tables say.
func TestCompatibilityPage(t *testing.T) {
	var b strings.Builder
	if err := WriteCompatibility(&b); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/compatibility.md")
	if err != nil || string(page) != b.String() {
		t.Errorf("docs/compatibility.md is not what go run ./cmd/threadsail-lab compatibility writes: %v", err)
	}
}
