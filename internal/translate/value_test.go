package translate

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"threadsail/internal/protocol/mysql"
	"threadsail/internal/routes"
)

// drawValue makes a value of a kind, often one at the edge of what it holds.
func drawValue(t *rapid.T, c Column) Value {
	day := func() string {
		return time.Unix(rapid.Int64Range(-62135596800, 253402300799).Draw(t, "day"), 0).UTC().Format("2006-01-02")
	}
	micro := func() string {
		if n := rapid.IntRange(0, 999999).Draw(t, "micro"); n > 0 {
			return fmt.Sprintf(".%06d", n)
		}
		return ""
	}
	at := func(most int) string {
		return fmt.Sprintf("%02d:%02d:%02d", rapid.IntRange(0, most).Draw(t, "hour"), rapid.IntRange(0, 59).Draw(t, "minute"),
			rapid.IntRange(0, 59).Draw(t, "second")) + micro()
	}
	switch c.Kind {
	case Int8, Int16, Int32, Int64:
		bits := c.Kind.bits()
		if c.Unsigned {
			return Value(strconv.FormatUint(rapid.Uint64Range(0, math.MaxUint64>>(64-bits)).Draw(t, "n"), 10))
		}
		return Value(strconv.FormatInt(rapid.Int64Range(math.MinInt64>>(64-bits), math.MaxInt64>>(64-bits)).Draw(t, "n"), 10))
	case Bool:
		return Value(rapid.SampledFrom([]string{"0", "1"}).Draw(t, "b"))
	case Year:
		return Value(strconv.Itoa(rapid.IntRange(1901, 2155).Draw(t, "y")))
	case Float32:
		return strconv.AppendFloat(nil, float64(rapid.Float32().Draw(t, "f")), 'g', -1, 32)
	case Float64:
		return strconv.AppendFloat(nil, rapid.Float64().Draw(t, "f"), 'g', -1, 64)
	case Decimal:
		return Value(rapid.StringMatching(`-?[1-9][0-9]{0,30}(\.[0-9]{1,20})?`).Draw(t, "d"))
	case Date:
		return Value(day())
	case DateTime, Stamp:
		return Value(day() + " " + at(23))
	case Time:
		sign := rapid.SampledFrom([]string{"", "-"}).Draw(t, "sign")
		if v := at(838); v != "00:00:00" {
			return Value(sign + v)
		}
		return Value("00:00:00")
	case Bytes, Bit:
		return append(Value{}, rapid.SliceOfN(rapid.Byte(), 1, 300).Draw(t, "bytes")...)
	}
	return Value(rapid.StringMatching(`[a-zA-ZőűŐŰáéíóúöü ]{0,300}`).Draw(t, "text"))
}

var everyKind = []Column{{Kind: Text}, {Kind: Bytes}, {Kind: Int8}, {Kind: Int8, Unsigned: true}, {Kind: Int16}, {Kind: Int16, Unsigned: true},
	{Kind: Int32}, {Kind: Int32, Unsigned: true}, {Kind: Int64}, {Kind: Int64, Unsigned: true}, {Kind: Year}, {Kind: Float32}, {Kind: Float64},
	{Kind: Decimal}, {Kind: Date}, {Kind: Time}, {Kind: DateTime}, {Kind: Stamp}, {Kind: JSON}, {Kind: Bit}, {Kind: Bool}}

// Every kind of value goes to a client in either form of rows and charset, and is read back as the same.
func TestRowsBothWays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]string{"latin2", "cp1250", "utf8", "utf8mb4"}).Draw(t, "charset")
		cs, _ := CharsetNamed(name)
		c, inBinary := Client{Generation: Gen80, Charset: cs}, rapid.Bool().Draw(t, "binary")
		row := make([]Value, len(everyKind))
		for i, col := range everyKind {
			if rapid.IntRange(0, 5).Draw(t, "null") > 0 {
				row[i] = drawValue(t, col)
			}
		}
		p, err := c.row(everyKind, row, inBinary)
		if err != nil {
			t.Fatal(err)
		}
		cols := make([]Column, len(everyKind))
		for i, col := range everyKind {
			d, err := mysql.ParseDefinition(c.definition(col).Payload())
			if err != nil {
				t.Fatal(err)
			}
			cols[i] = ColumnOf(d)
		}
		got, err := Row(cols, p, inBinary, cs)
		if d := cmp.Diff(row, got); d != "" || err != nil {
			t.Fatalf("%v %s", err, d)
		}
	})
}

// What a server writes becomes the same in the neutral form; what MySQL can't hold is an error; and as a parameter it goes
// back as the server would write it.
func TestPostgresValues(t *testing.T) {
	for _, c := range []struct {
		oid        uint32
		text, want string // want empty: out of range
	}{
		{oidBool, "t", "1"}, {oidBool, "f", "0"}, {oidBool, "x", ""}, {oidBytea, `\x00ff`, "\x00\xff"}, {oidBytea, "abc", ""},
		{oidInt8, "-9223372036854775808", "-9223372036854775808"}, {oidInt2, "32768", ""}, {oidFloat8, "NaN", ""}, {oidFloat8, "-Infinity", ""},
		{oidFloat4, "1e+20", "1e+20"}, {oidNumeric, "12345678901234567890.10", "12345678901234567890.10"}, {oidNumeric, "NaN", ""},
		{oidDate, "2026-12-01", "2026-12-01"}, {oidDate, "infinity", ""}, {oidDate, "0044-03-15 BC", ""}, {oidDate, "10000-01-01", ""},
		{oidTimestamp, "2026-12-01 17:00:00.5", "2026-12-01 17:00:00.5"}, {oidTimestamptz, "2026-12-01 17:00:00+00", "2026-12-01 17:00:00"},
		{oidTimestamptz, "2026-12-01 17:00:00+01", ""}, {oidTime, "23:59:59.999999", "23:59:59.999999"}, {oidTime, "24:00:00", "24:00:00"},
		{oidInterval, "2 days 03:04:05", "51:04:05"}, {oidInterval, "-1 days +02:00:00", "-22:00:00"}, {oidInterval, "1 mon", ""},
		{oidInterval, "-00:00:01.5", "-00:00:01.500000"}, {oidInterval, "100 days", ""}, {oidBit, "101", "\x05"}, {oidVarbit, "100000001", "\x01\x01"},
		{oidUUID, "6f1c", "6f1c"}, {oidJSONB, `{"a": "ő"}`, `{"a": "ő"}`}, {oidText, "", ""},
	} {
		col, err := PostgresColumn("v", c.oid, -1)
		if err != nil {
			t.Fatal(err)
		}
		got, err := FromPostgres(col, c.oid, []byte(c.text))
		var e *Error
		switch {
		case c.want == "" && c.text != "":
			if !errors.As(err, &e) || e.Meaning != Range {
				t.Errorf("%d %s: %q, %v", c.oid, c.text, got, err)
			}
		case err != nil || string(got) != c.want || got == nil:
			t.Errorf("%d %s: %q, %v", c.oid, c.text, got, err)
		}
	}
	if _, err := PostgresColumn("v", 600, -1); err == nil {
		t.Error("a point passes")
	}
	if v, err := FromPostgres(Column{}, oidText, nil); v != nil || err != nil {
		t.Error("NULL is", v, err)
	}
}

func TestParamsForPostgres(t *testing.T) {
	latin2, _ := CharsetNamed("latin2")
	for _, c := range []struct {
		p    Param
		oid  uint32
		want string
		bad  Meaning
	}{
		{Param{Kind: Text, Value: Value("\xf5\xfb")}, oidText, "őű", 0},
		{Param{Kind: Text, Value: Value("\xf5\x00")}, oidBytea, `\xf500`, 0},
		{Param{Kind: Text, Value: Value("a\x00")}, oidText, "", BadCharacter},
		{Param{Kind: Int64, Unsigned: true, Value: Value("18446744073709551615")}, oidInt8, "18446744073709551615", 0}, // the server says that it does not fit
		{Param{Kind: Int8, Value: Value("1")}, oidBool, "1", 0},
		{Param{Kind: Int8, Value: Value("2")}, oidBool, "", Range},
		{Param{Kind: DateTime, Value: Value("0000-00-00 00:00:00")}, oidTimestamp, "", BadValue},
		{Param{Kind: Date, Value: Value("2026-00-01")}, oidDate, "", BadValue},
		{Param{Kind: DateTime, Value: Value("2026-12-01 17:00:00")}, oidTimestamptz, "2026-12-01 17:00:00+00", 0},
		{Param{Kind: Bit, Value: Value{5}}, oidBit, "00000101", 0},
		{Param{Kind: Int32, Value: Value("5")}, oidVarbit, "101", 0},
	} {
		got, err := ToPostgresParam(c.p, c.oid, latin2, 1)
		var e *Error
		if c.bad != 0 && (!errors.As(err, &e) || e.Meaning != c.bad) || c.bad == 0 && (err != nil || string(got) != c.want) {
			t.Errorf("%+v for %d: %q, %v", c.p, c.oid, got, err)
		}
	}
}

// A text that a client's charset has not is an error, never a question mark; so is a sequence that is no text.
func TestCharsets(t *testing.T) {
	for _, name := range []string{"latin2", "cp1250"} {
		cs, ok := CharsetNamed(name)
		if got, err := cs.Decode([]byte("\xf5\xfb")); !ok || string(got) != "őű" || err != nil {
			t.Errorf("%s: %q, %v", name, got, err)
		}
		if _, err := cs.Encode([]byte("日")); err == nil {
			t.Errorf("%s writes 日", name)
		}
	}
	short, _ := CharsetNamed("utf8")
	if _, err := short.Encode([]byte("🎻")); err == nil {
		t.Error("utf8 of three bytes writes 🎻")
	}
	if _, err := UTF8MB4.Decode([]byte("\xf5")); err == nil {
		t.Error("\\xf5 passes for UTF-8")
	}
	if c, ok := CharsetOf(9); !ok || c.Name != "latin2" {
		t.Error("collation 9 is", c.Name)
	}
	if _, ok := CharsetOf(1); ok {
		t.Error("big5 is known")
	}
}

// Each meaning must come back as itself from what it is written as, or as one that promises no more; unknown codes promise
// least.
func TestOutcomes(t *testing.T) {
	for m := range meanings {
		code, state := m.MySQL(Gen80)
		if back := OfMySQL(code, state); back != m && back.Own() != m.Own() {
			t.Errorf("%v is %d for MySQL, which means %v", m, code, back)
		}
		if back := OfPostgres(m.Postgres()); back != m && back.Own() != m.Own() {
			t.Errorf("%v is %s for PostgreSQL, which means %v", m, m.Postgres(), back)
		}
		if m.String() == "" {
			t.Errorf("meaning %d has no name", m)
		}
	}
	for _, m := range []Meaning{OfMySQL(9999, "HY000"), OfPostgres("99999"), OfPostgres("F0000"), OfPostgres("")} {
		if m != Unknown {
			t.Errorf("an unknown code means %v", m)
		}
	}
}

func FuzzRow(f *testing.F) {
	f.Add([]byte{0, 0, 0, 0, 0, 1}, true)
	f.Fuzz(func(_ *testing.T, p []byte, inBinary bool) {
		_, _ = Row(everyKind, p, inBinary, UTF8MB4)
		_, _ = Params(mysql.Execute{Nulls: make([]byte, 3), Types: make([]byte, 2*len(everyKind)), Values: p}, nil, len(everyKind))
		for oid := range postgresTypes {
			c, _ := PostgresColumn("v", oid, -1)
			_, _ = FromPostgres(c, oid, p)
		}
	})
}

// Modes that servers have removed, or stand in, are taken; one that changes what statements mean is named.
func TestModes(t *testing.T) {
	for text, want := range map[string]string{
		"SET sql_mode=''": "", "set session sql_mode = 'NO_AUTO_CREATE_USER, strict_trans_tables';": "", "SET @@SESSION.sql_mode := \"TRADITIONAL\"": "",
		"SET sql_mode='ANSI_QUOTES'": "ANSI_QUOTES", "SET sql_mode='STRICT_TRANS_TABLES,PIPES_AS_CONCAT'": "PIPES_AS_CONCAT",
	} {
		sets, err := SetsMode(text)
		if !sets || want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%s: %v, %v", text, sets, err)
		}
	}
	for _, text := range []string{"SET sql_mode=@old", "SET sql_mode=CONCAT(@@sql_mode,',X')", "SELECT 'SET sql_mode=1'", "SET GLOBAL sql_mode=''"} {
		if sets, _ := SetsMode(text); sets {
			t.Errorf("%s passes for a plain one", text)
		}
	}
}

func TestForVersion(t *testing.T) {
	digest := "CONCAT('*', UPPER(SHA1(UNHEX(SHA1"
	for _, c := range []struct {
		text, want string
		major      int
	}{
		{"SELECT PASSWORD('a)\\'b') /* PASSWORD(x) */", "SELECT " + digest + "('a)\\'b'))))) /* PASSWORD(x) */", 8},
		{"UPDATE u SET p = password(?), q = Password((1))", "UPDATE u SET p = " + digest + "(?))))), q = " + digest + "((1))))))", 9},
		{"SELECT PASSWORD('a')", "SELECT PASSWORD('a')", 5},
		{"SELECT 'PASSWORD(1)', u.password, old_password('x'), a.PASSWORD(1)", "SELECT 'PASSWORD(1)', u.password, old_password('x'), a.PASSWORD(1)", 8},
		{"SELECT PASSWORD('a'", "SELECT PASSWORD('a'", 8},
		{"SELECT SQL_CACHED FROM t", "SELECT SQL_CACHED FROM t", 8},
		{"SHOW MASTER STATUS", "SHOW MASTER STATUS", 8},
	} {
		if got, _ := ForVersion(c.text, routes.Version{Major: c.major}); got != c.want {
			t.Errorf("%s for %d is %s, want %s", c.text, c.major, got, c.want)
		}
	}
}

// A text among bound values is written anew; a blob, a number, and what was sent ahead are not.
func TestRecodeParams(t *testing.T) {
	latin2, _ := CharsetNamed("latin2")
	types := []byte{mysql.TypeVarString, 0, mysql.TypeBlob, 0, mysql.TypeString, 0, mysql.TypeTiny, 0}
	e := mysql.Execute{Nulls: []byte{0}, Types: types, Values: []byte("\x01\xf5\x01\xf5\x07")}
	got, err := Client{Charset: latin2}.RecodeParams(e, 4, []mysql.LongData{{Param: 2, Data: []byte("\xf5")}})
	if err != nil || string(got.Values) != "\x02ő\x01\xf5\x07" {
		t.Errorf("%q, %v", got.Values, err)
	}
	if _, err := (Client{Charset: latin2}).RecodeParams(e, 4, nil); err == nil {
		t.Error("a value that is missing passes")
	}
}
