package pooler_test

import (
	"bytes"
	"database/sql"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-sql-driver/mysql"
	"github.com/google/go-cmp/cmp"

	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
	"threadsail/internal/protocol/inventory"
	wire "threadsail/internal/protocol/mysql"
	"threadsail/internal/protocol/pgwire"
)

// scriptedPostgres is a table on a PostgreSQL stand-in: what it is asked and with which values, and what it answers.
type scriptedPostgres struct {
	mu    sync.Mutex
	asked []string // statements that have run, with their values, without comments
	types map[string][]uint32
	rows  map[string]standin.Rows
}

func bare(text string) string {
	text, _, _ = strings.Cut(text, " /*")
	return text
}

func (l *scriptedPostgres) Types(text string) []uint32 { return l.types[bare(text)] }

func (l *scriptedPostgres) Run(text string, params [][]byte) (standin.Rows, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.rows[bare(text)]
	if ok {
		l.asked = append(l.asked, fmt.Sprintf("%s %q", bare(text), params))
	}
	return r, ok
}

func (l *scriptedPostgres) last() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.asked) == 0 {
		return ""
	}
	return l.asked[len(l.asked)-1]
}

func fields(types ...uint32) (out []pgwire.Field) {
	for i, t := range types {
		out = append(out, pgwire.Field{Name: fmt.Sprint("c", i), Type: t, Modifier: -1})
	}
	return out
}

func texts(values ...string) (out [][]byte) {
	for _, v := range values {
		if v == "NULL" {
			out = append(out, nil)
		} else {
			out = append(out, []byte(v))
		}
	}
	return out
}

func openMySQL(t *testing.T, a pooler.Addresses, change func(*mysql.Config)) *sql.DB {
	t.Helper()
	cfg := mysql.NewConfig()
	cfg.Net, cfg.Addr, cfg.User, cfg.Passwd = "tcp", a.MySQL, standin.ClientUser, standin.ClientPassword
	cfg.Logger = &mysql.NopLogger{}
	if change != nil {
		change(cfg)
	}
	connector, err := mysql.NewConnector(cfg)
	if err != nil {
		t.Fatal(err)
	}
	db := sql.OpenDB(connector)
	db.SetMaxOpenConns(1)
	t.Cleanup(func() { _ = db.Close() })
	return db
}

// withCharset has a client speak a charset.
func withCharset(t *testing.T, name string) func(*mysql.Config) {
	return func(c *mysql.Config) {
		if err := c.Apply(mysql.Charset(name, "")); err != nil {
			t.Error(err)
		}
	}
}

func newTranslatingPooler(t *testing.T, l *scriptedPostgres) (*standin.Fleet, pooler.Addresses) {
	f := standin.NewMixedFleet(t, true, func(int) bool { return false }, nil, "p")
	f.Servers[0].Hold(l)
	return f, poolerProcess(t, f)
}

// lesson is a row with a value of every type that is translated, as PostgreSQL sends it.
var lesson = standin.Rows{Fields: fields(16, 17, 20, 21, 23, 25, 700, 701, 1082, 1083, 1114, 1184, 1700, 3802, 25),
	Values: [][][]byte{texts("t", `\x00ff`, "-9223372036854775808", "-7", "42", "Őszi ünnep", "1.5", "2.25", "2026-12-01", "17:00:01",
		"2026-12-01 17:00:00.25", "2026-12-01 16:00:00+00", "12345678901234567890.10", `{"a": 1}`, "NULL")}, Tag: "SELECT 1"}

// lessonValues is the same row as MySQL's clients read it.
var lessonValues = []string{"1", "\x00\xff", "-9223372036854775808", "-7", "42", "Őszi ünnep", "1.5", "2.25", "2026-12-01", "17:00:01",
	"2026-12-01 17:00:00.25", "2026-12-01 16:00:00", "12345678901234567890.10", `{"a": 1}`, "NULL"}

// lessonStatements returns a server that answers the statements of TestTranslatedValues.
func lessonStatements() *scriptedPostgres {
	return &scriptedPostgres{rows: map[string]standin.Rows{
		"SELECT * FROM lesson": lesson,
		`SELECT * FROM lesson WHERE "user" = $1 LIMIT $3 OFFSET $2`: lesson,
		`INSERT INTO "lesson" (a) VALUES ($1), ($2) RETURNING "id"`: {Fields: fields(20), Values: [][][]byte{texts("77"), texts("78")}, Tag: "INSERT 0 2"},
		"UPDATE lesson SET a = $1, b = $2, c = $3, d = $4":          {Tag: "UPDATE 3"},
		"SELECT nothing FROM lesson":                                {Fields: fields(25), Tag: "SELECT 0"},
		"SELECT inf FROM lesson":                                    {Fields: fields(701), Values: [][][]byte{texts("Infinity")}, Tag: "SELECT 1"},
		"SELECT dup FROM lesson":                                    {Code: "23505"},
		"SELECT odd FROM lesson":                                    {Code: "XX001"},
		"SELECT point FROM lesson":                                  {Fields: fields(600), Values: [][][]byte{texts("(1,2)")}, Tag: "SELECT 1"},
	}, types: map[string][]uint32{`SELECT * FROM lesson WHERE "user" = $1 LIMIT $3 OFFSET $2`: {25, 20, 20},
		"UPDATE lesson SET a = $1, b = $2, c = $3, d = $4": {17, 16, 1114, 20}}}
}

// scanLessons returns the values of all rows.
func scanLessons(t *testing.T, rows *sql.Rows, err error) (out []string) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = rows.Close() }()
	for rows.Next() {
		values, into := make([]sql.NullString, len(lessonValues)), make([]any, len(lessonValues))
		for i := range values {
			into[i] = &values[i]
		}
		if err := rows.Scan(into...); err != nil {
			t.Fatal(err)
		}
		for _, v := range values {
			if !v.Valid {
				v.String = "NULL"
			}
			out = append(out, v.String)
		}
	}
	return out
}

// A client's statements, prepared and plain, with values of every type, come to a PostgreSQL server as it understands them,
// and its answers to the client as MySQL's.
func TestTranslatedValues(t *testing.T) {
	l := lessonStatements()
	_, a := newTranslatingPooler(t, l)
	db := openMySQL(t, a, nil)
	testTranslatedRows(t, db, l)
	testTranslatedWrites(t, db, l)
	testTranslatedErrors(t, db, l)
	if err := db.Ping(); err != nil {
		t.Error(err)
	}
}

// testTranslatedRows reads rows by plain and by prepared statements.
func testTranslatedRows(t *testing.T, db *sql.DB, l *scriptedPostgres) {
	rows, err := db.Query("SELECT * FROM lesson")
	if d := cmp.Diff(lessonValues, scanLessons(t, rows, err)); d != "" {
		t.Error("in text rows:", d)
	}
	st, err := db.Prepare("SELECT * FROM lesson WHERE user = ? LIMIT ?, ?")
	if err != nil {
		t.Fatal(err)
	}
	rows, err = st.Query("ő", 10, 5)
	got := scanLessons(t, rows, err)
	for i := range got { // the driver words the fractions of binary rows with six digits
		got[i] = strings.Replace(strings.TrimSuffix(got[i], ".000000"), ".250000", ".25", 1)
	}
	if d := cmp.Diff(lessonValues, got); d != "" {
		t.Error("in binary rows:", d)
	}
	if q := l.last(); !strings.HasSuffix(q, `["ő" "10" "5"]`) {
		t.Error("the server was asked", q)
	}
	rows, err = db.Query("SELECT nothing FROM lesson")
	if got := scanLessons(t, rows, err); len(got) > 0 {
		t.Error("no rows are", got)
	}
}

// testTranslatedWrites writes by prepared statements.
func testTranslatedWrites(t *testing.T, db *sql.DB, l *scriptedPostgres) {
	exec := func(text string, args ...any) sql.Result {
		t.Helper()
		r, err := db.Exec(text, args...)
		if err != nil {
			t.Fatal(text, err)
		}
		return r
	}
	r := exec("INSERT INTO lesson (a) VALUES (?), (?)", "x", nil)
	id, _ := r.LastInsertId()
	if n, _ := r.RowsAffected(); n != 2 || id != 77 || !strings.HasSuffix(l.last(), `["x" ""]`) {
		t.Errorf("%d rows, id %d, the server was asked %s", n, id, l.last())
	}
	r = exec("UPDATE lesson SET a = ?, b = ?, c = ?, d = ?", []byte{0, 255}, true, time.Date(2026, 12, 1, 17, 0, 0, 0, time.UTC), uint64(1<<64-1))
	if n, _ := r.RowsAffected(); n != 3 || !strings.HasSuffix(l.last(), `["\\x00ff" "1" "2026-12-01 17:00:00" "18446744073709551615"]`) {
		t.Errorf("%d rows, the server was asked %s", n, l.last())
	}
}

// testTranslatedErrors sends what can't be translated, and what the server answers by an error.
func testTranslatedErrors(t *testing.T, db *sql.DB, l *scriptedPostgres) {
	for text, code := range map[string]string{"SELECT inf FROM lesson": "1264", "SELECT dup FROM lesson": "1062", "SELECT point FROM lesson": "1235",
		"SELECT a / 2 FROM lesson": "1235", "SHOW TABLES": "1235", "SELECT GROUP_CONCAT(a) FROM lesson": "1235"} {
		before := l.last()
		if _, err := db.Exec(text); standin.FromMySQL(err).Code != code {
			t.Errorf("%s: %v, want %s", text, err, code)
		}
		if code == "1235" && !strings.Contains(text, "point") && l.last() != before {
			t.Errorf("%s: the server was asked %s", text, l.last())
		}
	}
	if r := standin.FromMySQL(func() error { _, err := db.Exec("SELECT odd FROM lesson /* d=300 */"); return err }()); !r.Refused && !r.Failed {
		t.Errorf("an unknown error is %+v", r)
	}
}

// A text of 8 bits a character comes back as it was, over servers that speak UTF-8, over either protocol; what is no text, or can't
// be written for the client, is an error.
func TestEightBitClients(t *testing.T) {
	for _, name := range []string{"latin2", "cp1250"} {
		t.Run(name, func(t *testing.T) { testEightBitOverPostgres(t, name) })
	}
	t.Run("no text", func(t *testing.T) {
		_, a := newTranslatingPooler(t, &scriptedPostgres{})
		if err := openMySQL(t, a, nil).QueryRow("SELECT '\xf5'").Scan(new(string)); err == nil {
			t.Error("a sequence that is no UTF-8 passes")
		}
	})
	t.Run("old wire", testEightBitOverMySQL)
}

func testEightBitOverPostgres(t *testing.T, charset string) {
	l := &scriptedPostgres{rows: map[string]standin.Rows{
		"SELECT 'Bőgő és fűz'": {Fields: fields(25), Values: [][][]byte{texts("Bőgő és fűz")}, Tag: "SELECT 1"},
		"SELECT $1":            {Fields: fields(25), Values: [][][]byte{texts("fűz")}, Tag: "SELECT 1"},
		"SELECT 'jp'":          {Fields: fields(25), Values: [][][]byte{texts("日本")}, Tag: "SELECT 1"}}}
	_, a := newTranslatingPooler(t, l)
	db := openMySQL(t, a, withCharset(t, charset))
	var got string
	if err := db.QueryRow("SELECT 'B\xf5g\xf5 \xe9s f\xfbz'").Scan(&got); err != nil || got != "B\xf5g\xf5 \xe9s f\xfbz" {
		t.Errorf("%q, %v", got, err)
	}
	st, err := db.Prepare("SELECT ?")
	if err != nil {
		t.Fatal(err)
	}
	if err := st.QueryRow("f\xfbz").Scan(&got); err != nil || got != "f\xfbz" || !strings.HasSuffix(l.last(), `["fűz"]`) {
		t.Errorf("%q, %v; the server was asked %s", got, err, l.last())
	}
	if err := db.QueryRow("SELECT 'jp'").Scan(&got); standin.FromMySQL(err).Code != "1366" {
		t.Errorf("日本 is %q, %v", got, err)
	}
}

// testEightBitOverMySQL: the stand-in repeats what it was asked, which must be UTF-8, and come back as it was.
func testEightBitOverMySQL(t *testing.T) {
	f := standin.NewFleet(t, true, nil, "ő")
	db := openMySQL(t, poolerProcess(t, f), withCharset(t, "latin2"))
	var got string
	if err := db.QueryRow("SELECT val FROM state WHERE uid = 'f\xfbz'").Scan(&got); err != nil || got != "from \xf5" {
		t.Errorf("%q, %v", got, err)
	}
	st, err := db.Prepare("SELECT val FROM state WHERE uid = ? AND k = 'f\xfbz'")
	if err != nil {
		t.Fatal(err)
	}
	if err := st.QueryRow("\xf5").Scan(&got); err != nil || got != "from \xf5" {
		t.Errorf("%q, %v", got, err)
	}
	for _, seen := range f.Servers[0].Seen() {
		if !strings.Contains(seen.Text, "fűz") {
			t.Errorf("the server was asked %q", seen.Text)
		}
	}
}

// The primary moves from the old wire to the new one in the middle of a prepared statement's life, and back: for the client
// its id and its parameters hold, and the text goes to either server as that understands it.
func TestServerChangesItsWire(t *testing.T) {
	f := standin.NewMixedFleet(t, true, func(i int) bool { return i != 1 }, nil, "old", "new")
	old, next := f.Servers[0], f.Servers[1]
	f.Servers = f.Servers[:1]
	f.List()
	a := poolerProcess(t, f)
	db := openMySQL(t, a, nil)
	read, err := db.Prepare("SELECT val FROM state WHERE uid = ? LIMIT 0, 1")
	if err != nil {
		t.Fatal(err)
	}
	write, err := db.Prepare("INSERT INTO state (`Uid`) VALUES (?)")
	if err != nil {
		t.Fatal(err)
	}
	through := func(name string) {
		t.Helper()
		for late := time.Now().Add(20 * time.Second); ; {
			r := standin.Execute(read, "u1")
			if expectServed(t, r); r.Value == "from "+name {
				break
			}
			if time.Now().After(late) {
				t.Fatal("the client never comes to " + name)
			}
		}
		if _, err := write.Exec("u1"); err != nil {
			t.Error(err)
		}
	}
	through("old")
	for _, step := range []struct{ from, to *standin.Server }{{old, next}, {next, old}, {old, next}} {
		step.from.Set(false, 0)
		step.to.Set(true, 0)
		f.Servers = []*standin.Server{step.to}
		f.List()
		through(step.to.Name)
	}
	for _, seen := range next.Seen() {
		if strings.ContainsAny(seen.Text, "`?") || strings.Contains(seen.Text, "LIMIT 0, 1") {
			t.Errorf("the new server was asked %s", seen.Text)
		}
	}
	for _, seen := range old.Seen() {
		if strings.ContainsAny(seen.Text, "$\"") {
			t.Errorf("the old server was asked %s", seen.Text)
		}
	}
}

// An answer that breaks off in the middle of a row is none: a read is tried again, a write without a key has failed, and
// nothing of it comes to the client.
func TestTranslatedAnswerBreaksOff(t *testing.T) {
	l := &scriptedPostgres{}
	f, a := newTranslatingPooler(t, l)
	db := openMySQL(t, a, nil)
	part := pgwire.AppendValues(nil, texts("half"))
	var spoils int
	f.Servers[0].Spoil(func(standin.Seen) []byte {
		if spoils++; spoils%2 == 1 {
			return append(pgwire.AppendFields(nil, fields(25)), part[:len(part)-2]...)
		}
		return nil
	})
	var got string
	if err := db.QueryRow("SELECT val FROM state").Scan(&got); err != nil || got != "from p" {
		t.Errorf("a read got %q, %v", got, err)
	}
	if _, err := db.Exec("UPDATE state SET a = 1"); standin.FromMySQL(err).Code != "1317" {
		t.Errorf("a write got %v", err)
	}
	if n := len(f.Servers[0].Seen()); n != 3 {
		t.Errorf("%d statements came, want 3", n)
	}
}

// Servers since 8 want another password method, and may have to see the password itself; a wrong one is no connection.
func TestNewerLogin(t *testing.T) {
	for name, how := range map[string]standin.Login{"native": standin.Native, "fast": standin.Fast, "full": standin.Full8, "scram": standin.Scram} {
		t.Run(name, func(t *testing.T) {
			f := standin.NewMixedFleet(t, true, func(int) bool { return how != standin.Scram }, nil, "p")
			f.Servers[0].Demand(how)
			expectServed(t, dial(t, poolerProcess(t, f)).Do(standin.Write("k", amplePatience)))
		})
	}
}

// A booking write that is refused reads to an old client as untouched and safe to resend: connectors give up, resend at once,
// or after the time told, and each way it runs once at the most. One that may have run is resent by none of them.
func TestConnectorStatements(t *testing.T) {
	// What connectors go by: 08 is a connection that was not made, 40001 a transaction undone; all else has maybe run.
	resends := func(r standin.Result) bool { return r.Code == "1040" || r.Code == "1213" }
	for name, habit := range map[string]func(standin.Result) bool{
		"gives up":       func(standin.Result) bool { return false },
		"at once":        resends,
		"after the time": func(r standin.Result) bool { time.Sleep(r.After); return resends(r) },
	} {
		for _, pair := range pairs {
			if !pair.mysql {
				continue
			}
			t.Run(name+", "+pair.name, func(t *testing.T) {
				t.Parallel()
				f := standin.NewMixedFleet(t, pair.mysql, pair.speak, nil, "p", "r")
				c := &connector{client: dial(t, poolerProcess(t, f)), primary: f.Servers[0], resends: habit}
				testConnector(t, c, name == "gives up")
			})
		}
	}
}

// connector is a client that resends what its habit says, 20 times at the most.
type connector struct {
	client  standin.Client
	primary *standin.Server
	resends func(standin.Result) bool
}

// write sends a write until it is served or not resent. act is what the primary does with each statement, afterFirst runs after
// the first answer. ran is how often the primary has run it.
func (c *connector) write(key string, act func(standin.Seen) standin.Act, afterFirst func()) (ran int, first, last standin.Result) {
	var mu sync.Mutex
	c.primary.Do(func(s standin.Seen) standin.Act {
		a := act(s)
		mu.Lock()
		defer mu.Unlock()
		if a == standin.Answer || a == standin.Break {
			ran++
		}
		return a
	})
	for tries := 1; ; tries++ {
		last = c.client.Do(standin.Write(key, 300*time.Millisecond))
		if tries == 1 {
			first = last
			afterFirst()
		}
		if last.Served() || tries == 20 || !c.resends(last) {
			mu.Lock()
			defer mu.Unlock()
			return ran, first, last
		}
	}
}

func testConnector(t *testing.T, c *connector, givesUp bool) {
	expectServed(t, c.client.Do(standin.Write("k0", amplePatience)))
	var full atomic.Bool
	full.Store(true)
	ran, first, last := c.write("k1", func(standin.Seen) standin.Act {
		if full.Load() {
			return standin.Full
		}
		return standin.Answer
	}, func() { full.Store(false) })
	if !first.Refused || givesUp && ran > 0 || !givesUp && (!last.Served() || ran != 1) {
		t.Errorf("refused, it ran %d times: first %+v, last %+v", ran, first, last)
	}
	ran, first, last = c.write("", once(standin.Break), func() {})
	if !first.Failed || ran != 1 || last != first {
		t.Errorf("broken, it ran %d times: first %+v, last %+v", ran, first, last)
	}
}

// What newer MySQL servers have renamed reads to an old client as it did: statements, the columns of their answers, numbers of
// errors; and old clients still get a table's columns by a command of their own.
func TestRenamed(t *testing.T) {
	f := standin.NewFleet(t, true, nil, "p")
	version := func(v string) {
		host, port, _ := net.SplitHostPort(f.Servers[0].Addr)
		replaceFile(t, f.Inventory(), inventory.AppendSeal(fmt.Appendf(nil, "name,host,port,version\np,%s,%s,%s\n", host, port, v), 1, ""))
	}
	version("8.4")
	a := poolerProcess(t, f)
	c, err := standin.DialOld(a.MySQL, standin.ClientUser, standin.ClientPassword, standin.Latin2)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	columns := func(command byte, body string) (names []string, last []byte) {
		t.Helper()
		answer, err := c.Do(wire.Command(command, body))
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range answer {
			if d, err := wire.ParseDefinition(bytes.TrimSuffix(p, []byte{0xfb})); err == nil {
				names = append(names, d.Name)
			}
		}
		return names, answer[len(answer)-1]
	}
	for text, want := range map[string]string{"show  slave\nstatus": "Seconds_Behind_Master", "SELECT SQL_CACHE val FROM state": "val"} {
		if names, last := columns(wire.ComQuery, text); !slices.Equal(names, []string{want}) {
			t.Errorf("%s gives the columns %q, %q", text, names, last)
		}
	}
	if names, last := columns(wire.ComFieldList, "state\x00"); !slices.Equal(names, []string{"val"}) || !wire.IsEOF(last) {
		t.Errorf("the fields are %q, %q", names, last)
	}
	if _, last := columns(wire.ComFieldList, "state\x00v%"); last[0] != 0xff {
		t.Errorf("a pattern gives %q", last)
	}
	for _, seen := range f.Servers[0].Seen() {
		if strings.Contains(seen.Text, "SQL_CACHE") {
			t.Errorf("the server was asked %s", seen.Text)
		}
	}
	f.Servers[0].Do(always(standin.Check))
	if code, state, _, _ := wire.ParseError(lastOf(columns(wire.ComQuery, "UPDATE state SET a = -1"))); code != 1216 || state != "23000" {
		t.Errorf("a check is %d (%s) to an old client", code, state)
	}
	f.Servers[0].Do(nil)
	version("5.7") // such a server knows the old name only, which the stand-in does not
	expectInfo(t, a, "edge_proxy_list_generation{front=\"mysql\"} 2")
	if _, last := columns(wire.ComQuery, "SHOW SLAVE STATUS"); last[0] != 0xff {
		t.Errorf("the old name is answered by %q", last)
	}
}

func lastOf(_ []string, last []byte) []byte { return last }
