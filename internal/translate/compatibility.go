package translate

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"threadsail/internal/policy"
)

// WriteCompatibility writes what is translated and what is not, from the tables that the translation itself goes by.
func WriteCompatibility(w io.Writer) error {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	words := func(m map[string]bool) string { return "`" + strings.Join(slices.Sorted(maps.Keys(m)), "`, `") + "`" }
	line("# MySQL clients before PostgreSQL servers: what is translated\n")
	line("Written by `go run ./cmd/threadsail-lab compatibility` from the tables in `internal/translate`; a test keeps it so.")
	line("What is not listed as translated gets error 1235, which names it, before anything is sent.\n")
	line("## Statements\n")
	line("SELECT, WITH, VALUES, INSERT (IGNORE, ON DUPLICATE KEY UPDATE of a table whose key is configured), UPDATE and DELETE of one table.\n")
	line("| MySQL | PostgreSQL |\n| --- | --- |")
	for _, in := range []string{"SELECT `Name` FROM t WHERE a = ? LIMIT ?, 10", "SELECT \"it's\", 'a' 'b'", "SELECT a FROM t WHERE b && c || d <=> NULL",
		"SELECT IF(a, 1, 2), IFNULL(a, 0), CONCAT(a, b), LENGTH(a) FROM t", "SELECT NOW(), CURDATE(), UNIX_TIMESTAMP()", "SELECT user, t.end FROM t",
		"SELECT 1 FROM DUAL", "SELECT SUBSTR(a, 2, 3) FROM t ORDER BY a, b DESC", "SELECT a FROM t LOCK IN SHARE MODE", "SELECT _utf8'a', x'00ff'", "INSERT IGNORE t VALUE (1)",
		"INSERT INTO keyed (k, n) VALUES (1, 2) ON DUPLICATE KEY UPDATE n = VALUES(n)", "INSERT INTO numbered (a) VALUES (1)"} {
		st, err := ToPostgres(in, Options{Keys: map[string][]string{"keyed": {"k"}}, IDs: map[string]string{"numbered": "id"}})
		if err != nil {
			return err
		}
		bar := strings.NewReplacer("|", "\\|")
		line("| `%s` | `%s` |", bar.Replace(in), bar.Replace(st.SQL))
	}
	line("\nFunctions that stay as they are: %s.", words(sameFunctions))
	line("\nTurned down by name: %s; and the operators `/`, `!`, `&`, `|`, `~`, `<<`, `>>`, `^`, `->`, `->>`, variables, `/*! … */`, DDL, SHOW, REPLACE, and every function "+
		"that is not named on this page.", words(untranslated))
	line("\nDropped, as they ask for nothing that could be missed: %s.", words(dropped))
	line("\nNames are folded to lower case, quoted or not. Texts compare as the PostgreSQL column's collation has it: MySQL's comparisons " +
		"without regard to case need a nondeterministic collation there. " +
		"`date + 1` is a number to MySQL and the next day to PostgreSQL, and GROUP BY orders nothing there: such statements must be changed by hand.\n")
	line("## Types\n")
	line("| PostgreSQL | number | to the client as MySQL's type | NULL and what does not fit |\n| --- | --- | --- | --- |")
	kinds := map[Kind]string{Text: "VAR_STRING", Bytes: "BLOB", Int8: "TINY", Int16: "SHORT", Int32: "LONG", Int64: "LONGLONG", Year: "YEAR",
		Float32: "FLOAT", Float64: "DOUBLE", Decimal: "NEWDECIMAL", Date: "DATE", Time: "TIME", DateTime: "DATETIME", Stamp: "TIMESTAMP (UTC)",
		JSON: "JSON; LONG_BLOB text before 8.0", Bit: "BIT", Bool: "TINY, 0 or 1", Null: "NULL"}
	refused := map[Kind]string{Float32: "NaN, infinity", Float64: "NaN, infinity", Decimal: "NaN, infinity", Date: "infinity, BC, years beyond 9999",
		DateTime: "infinity, BC, years beyond 9999", Stamp: "the same, and another zone than UTC", Time: "months, years, beyond 838:59:59",
		Bit: "more than 64 bits", Text: "a character that the client's charset has not", JSON: "a character that the client's charset has not"}
	for _, oid := range slices.Sorted(maps.Keys(postgresTypes)) {
		t := postgresTypes[oid]
		line("| %s | %d | %s | %s |", t.name, oid, kinds[t.kind], cmp.Or(refused[t.kind], "none"))
	}
	line("\nWhat does not fit is error 1264 or 1366, never another value. Other types are error 1235 by their number. Parameters go by the type that " +
		"the server tells of each: bytes for bytea, 0 and 1 for boolean, zero dates are error 1292, unsigned 64 bits are left to the server's own range.\n")
	line("## MySQL servers' types for PostgreSQL clients\n")
	line("| MySQL | PostgreSQL | what does not fit |\n| --- | --- | --- |")
	for _, c := range []Column{{Kind: Int8}, {Kind: Int16}, {Kind: Int16, Unsigned: true}, {Kind: Int32}, {Kind: Int32, Unsigned: true}, {Kind: Int64},
		{Kind: Int64, Unsigned: true}, {Kind: Year}, {Kind: Float32}, {Kind: Float64}, {Kind: Decimal}, {Kind: Date}, {Kind: Time}, {Kind: DateTime},
		{Kind: Stamp}, {Kind: Bit}, {Kind: JSON}, {Kind: Bytes}, {Kind: Text}} {
		name := strings.TrimSuffix(strings.Split(kinds[c.Kind], ";")[0], " (UTC)")
		if c.Unsigned {
			name += " UNSIGNED"
		}
		lost := "none"
		switch c.Kind {
		case Date, DateTime, Stamp:
			lost = "zero dates: 22003"
		case Text, JSON:
			lost = "the character \\0: 22P05"
		}
		line("| %s | %s | %s |", name, postgresTypes[cmp.Or(postgresType(c), oidText)].name, lost)
	}
	line("\n## Charsets of clients\n")
	for _, c := range charsets {
		line("- `%s` (collation %d)", c.Name, c.ID)
	}
	line("\n## Errors by meaning\n")
	line("| meaning | MySQL client | 5.0 and 5.1, where it differs | PostgreSQL client | an attempt that ends so |\n| --- | --- | --- | --- | --- |")
	ends := map[policy.Result]string{policy.OK: "is answered: the statement's own error", policy.ServerError: "may have run", policy.Overloaded: "has not run",
		policy.Misdirected: "has not run"}
	for _, o := range outcomes {
		old := ""
		if o.old.code != 0 {
			old = fmt.Sprintf("%d (%s)", o.old.code, o.old.state)
		}
		line("| %s | %d (%s) | %s | %s | %s |", o.name, o.mysql.code, o.mysql.state, old, o.postgres, ends[o.result])
	}
	_, err := io.WriteString(w, b.String())
	return err
}
