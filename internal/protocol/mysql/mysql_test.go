package mysql

import (
	"bytes"
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestNext(t *testing.T) {
	for name, c := range map[string]struct {
		in   []byte
		want []byte
		n    int
		err  error
	}{
		"nothing":   {},
		"half":      {in: []byte{2, 0, 0, 0, 'a'}},
		"whole":     {in: []byte{2, 0, 0, 0, 'a', 'b', 'c'}, want: []byte("ab"), n: 6},
		"too large": {in: []byte{0, 0, 255, 0}, err: ErrFraming},
	} {
		_, p, n, err := Next(c.in, MaxCommand)
		if d := cmp.Diff(c.want, p); d != "" || n != c.n || !errors.Is(err, c.err) {
			t.Errorf("%s: %d, %v, %s", name, n, err, d)
		}
	}
}

func TestHandshake(t *testing.T) {
	challenge := []byte("abcdefghijklmnopqrst")
	_, p, _, _ := Next(AppendGreeting(nil, 7, challenge), MaxAnswer)
	g, err := ParseGreeting(p)
	if d := cmp.Diff(Greeting{7, capabilities, challenge, nativePassword}, g); d != "" || err != nil {
		t.Fatal(err, d)
	}
	_, p, _, _ = Next(AppendLogin(nil, 1, g, "u", "secret", "lessons"), MaxCommand)
	l, err := ParseLogin(p)
	want := Login{capabilities, charsetUTF8MB4, "u", Scramble(challenge, "secret"), "lessons", nativePassword}
	if d := cmp.Diff(want, l); d != "" || err != nil {
		t.Fatal(err, d)
	}
	if !PasswordFits(challenge, l.Response, "secret") || PasswordFits(challenge, l.Response, "other") {
		t.Error("the password check is wrong")
	}
	for plugin, p := range map[string][]byte{nativePassword: SwitchToNative(challenge), cachingSHA2: SwitchToCaching(challenge)} {
		if name, got, err := ParseSwitch(p); !bytes.Equal(got, challenge) || name != plugin || err != nil {
			t.Error(name, got, err)
		}
	}
	for _, bad := range [][]byte{nil, {9}, {10, 'x'}, p} {
		if _, err := ParseGreeting(bad); err == nil {
			t.Errorf("%x passes as a greeting", bad)
		}
	}
	for _, bad := range [][]byte{nil, make([]byte, 40), append([]byte{0, 0x0a, 0, 0}, make([]byte, 60)...)} {
		if l, err := ParseLogin(bad); err == nil {
			t.Errorf("%x passes as %+v", bad, l)
		}
	}
}

func TestScanStatement(t *testing.T) {
	for text, want := range map[string]Scan{
		"SELECT a FROM t WHERE b = ? AND c = '?' AND d = \"\\\"?\" AND `?` = ? -- ?": {Kind: Read, Params: 2},
		"select 1 /* id=1 */;":                 {Kind: Read},
		"(SELECT 1) UNION (SELECT 2)":          {Kind: Read},
		"SELECT 1; DELETE FROM t":              {Kind: Read, Multi: true},
		"SELECT 1;;":                           {Kind: Read},
		"SELECT ';' # ; x\n":                   {Kind: Read},
		"SELECT * FROM t FOR UPDATE":           {Kind: Write},
		"SELECT * FROM t LOCK IN SHARE MODE":   {Kind: Write},
		"SELECT 1 INTO @x":                     {Kind: Unsupported},
		"WITH x AS (SELECT 1) SELECT * FROM x": {Kind: Read},
		"WITH x AS (SELECT 1) DELETE FROM y":   {Kind: Write},
		"INSERT INTO t VALUES (?, 'it''s ?')":  {Kind: Write, Params: 1},
		"/*!50000 DELETE FROM t */":            {Kind: Write},
		"START TRANSACTION":                    {Kind: Unsupported},
		"CALL p()":                             {Kind: Unsupported},
		"SET NAMES 'utf8mb4'":                  {Kind: Local, Names: "utf8mb4"},
		"SET NAMES latin1":                     {Kind: Local, Names: "latin1"},
		"set character set `cp1250`":           {Kind: Local, Names: "cp1250"},
		"SET autocommit = 1":                   {Kind: Local},
		"SET autocommit = 0":                   {Kind: Unsupported},
		"SET @@session.time_zone = '+00:00'":   {Kind: Unsupported},
		"SHOW TABLES":                          {Kind: Read},
		"":                                     {Kind: Write},
		"SELECT 'open":                         {Kind: Read},
		"/* open":                              {Kind: Write},
	} {
		if d := cmp.Diff(want, ScanStatement(text)); d != "" {
			t.Errorf("%s: %s", text, d)
		}
	}
}

func TestExecute(t *testing.T) {
	first := append([]byte{ComStmtExecute, 5, 0, 0, 0, 1, 1, 0, 0, 0, 2, 1, 8, 0, 0xfd, 0}, "12345678"...)
	e, err := ParseExecute(first, 2, nil)
	want := Execute{ID: 5, Nulls: []byte{2}, Types: []byte{8, 0, 0xfd, 0}, Values: []byte("12345678")}
	if d := cmp.Diff(want, e); d != "" || err != nil {
		t.Fatal(err, d)
	}
	again := append([]byte{ComStmtExecute, 5, 0, 0, 0, 0, 1, 0, 0, 0, 2, 0}, "87654321"...)
	if e, err = ParseExecute(again, 2, e.Types); err != nil || string(e.Values) != "87654321" {
		t.Fatal(e, err)
	}
	sent, err := ParseExecute(e.Payload(9), 2, nil)
	e.ID = 9
	if d := cmp.Diff(e, sent); d != "" || err != nil {
		t.Fatal(err, d)
	}
	for name, bad := range map[string][]byte{"short": first[:8], "no types": again, "iterations": {23, 1, 0, 0, 0, 0, 2, 0, 0, 0}} {
		if e, err := ParseExecute(bad, 2, nil); err == nil {
			t.Errorf("%s passes as %+v", name, e)
		}
	}
}

func TestAnswer(t *testing.T) {
	col, row := ColumnDef("v"), []byte("\x02hi")
	for name, c := range map[string]struct {
		in    [][]byte
		whole bool
		bad   bool
		row   string
		isErr bool
	}{
		"ok":              {in: [][]byte{OK()}, whole: true},
		"error":           {in: [][]byte{Error(1064, "42000", "no")}, whole: true, isErr: true},
		"one row":         {in: [][]byte{{1}, col, EOF(), row, EOF()}, whole: true, row: "hi"},
		"half":            {in: [][]byte{{1}, col, EOF(), row}, row: "hi"},
		"error in rows":   {in: [][]byte{{1}, col, EOF(), row, Error(1, "", "")}, whole: true, isErr: true, row: "hi"},
		"local infile":    {in: [][]byte{{0xfb, 'x'}}, bad: true},
		"no EOF":          {in: [][]byte{{1}, col, row}, bad: true},
		"no columns":      {in: [][]byte{{0xfc, 0, 0}}, bad: true},
		"more results":    {in: [][]byte{{0, 0, 0, statusMoreResults, 0, 0, 0}}, bad: true},
		"a second result": {in: [][]byte{{1}, col, EOF(), {0xfe, 0, 0, statusMoreResults, 0}}, bad: true},
		"too large":       {in: [][]byte{{1}, col, EOF(), make([]byte, MaxAnswer)}, bad: true},
		"empty packet":    {in: [][]byte{{}}, bad: true},
		"a long length":   {in: [][]byte{{1}, col, EOF(), []byte("\x09hi")}, bad: true},
		"a short length":  {in: [][]byte{{1}, col, EOF(), []byte("\x01hi")}, bad: true},
		"half an error":   {in: [][]byte{{0xff, 0x10}}, bad: true},
	} {
		a := &Answer{}
		whole, err := false, error(nil)
		for i, p := range c.in {
			whole, err = a.Feed(byte(i+1), p)
		}
		v, _ := TextColumn(a.Row)
		if whole != c.whole && !c.bad || (err != nil) != c.bad || v != c.row || (a.Err != nil) != c.isErr {
			t.Errorf("%s: %v, %v, row %q, error %q", name, whole, err, v, a.Err)
		}
	}
	if _, err := new(Answer).Feed(2, OK()); err == nil {
		t.Error("a packet out of order passes")
	}
	code, state, text, ok := ParseError(Error(1040, "08004", "full"))
	if code != 1040 || state != "08004" || text != "full" || !ok {
		t.Error(code, state, text, ok)
	}
}

func FuzzParsers(f *testing.F) {
	_, greeting, _, _ := Next(AppendGreeting(nil, 7, []byte("abcdefghijklmnopqrst")), MaxAnswer)
	f.Add(greeting, 1)
	f.Add([]byte("\x17\x05\x00\x00\x00\x00\x01\x00\x00\x00\x00\x01\x08\x00"), 1)
	f.Add([]byte("SELECT '?' /* ? */ -- ?"), 0)
	f.Fuzz(func(t *testing.T, b []byte, n int) {
		_, _, _, _ = Next(b, MaxAnswer)
		_, _ = ParseGreeting(b)
		_, _ = ParseLogin(b)
		_, _, _ = ParseSwitch(b)
		_, _ = AuthMore(b, []byte("abcdefghijklmnopqrst"), "secret")
		_, _ = ParseDefinition(b)
		_, _ = ParseKill(string(b))
		_, _ = ParsePrepareOK(b)
		_, _, _ = ParseLongData(b)
		_, _, _, _ = ParseError(b)
		TextColumn(b)
		if e, err := ParseExecute(b, n&0xffff, nil); err == nil && n&0xffff > 0 {
			if _, err := ParseExecute(e.Payload(1), n&0xffff, nil); err != nil {
				t.Fatal(err)
			}
		}
		if s := ScanStatement(string(b)); s.Params > len(b) {
			t.Fatal("more marks than bytes")
		}
		a := &Answer{}
		for len(b) > 0 {
			k := min(int(b[0])+1, len(b))
			if whole, err := a.Feed(a.seq+1, b[:k]); whole || err != nil {
				return
			}
			b = b[k:]
		}
	})
}
