package pooler_test

import (
	"database/sql"
	"os"
	"strings"
	"testing"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
)

func mysqlPooler(t *testing.T, names ...string) (*standin.Fleet, *standin.MySQL, pooler.Addresses) {
	f := standin.NewFleet(t, true, nil, names...)
	a := poolerProcess(t, f)
	return f, dial(t, a).(*standin.MySQL), a
}

func prepared(t *testing.T, c *standin.MySQL, text string) *sql.Stmt {
	t.Helper()
	st, err := c.Prepare(text)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = st.Close() })
	return st
}

// The brief's first hard case: a statement is prepared, and run at a node that then drains. It belongs to the
// session and runs at another node.
func TestDrainAfterPrepare(t *testing.T) {
	f, c, _ := mysqlPooler(t, "p", "r1", "r2")
	st := prepared(t, c, "SELECT val FROM state WHERE uid = ?")
	draining := f.Servers[1]
	for len(draining.Seen()) == 0 {
		expectServed(t, standin.Execute(st, "u1"))
	}
	f.Drain(draining)
	for until := time.Now().Add(1500 * time.Millisecond); time.Now().Before(until); {
		expectServed(t, standin.Execute(st, "u1"))
	}
	before := len(draining.Seen())
	draining.Down()
	for range 20 {
		if r := standin.Execute(st, "u1"); r.Value != "from r2" && r.Value != "from p" {
			t.Fatalf("got %+v", r)
		}
	}
	if n := len(draining.Seen()); n != before {
		t.Errorf("%d statements went to a node that has drained", n-before)
	}
}

// Parameters of all shapes pass through, with types sent once and kept, in text and binary rows.
func TestPreparedParameters(t *testing.T) {
	_, c, _ := mysqlPooler(t, "p")
	st := prepared(t, c, "SELECT val FROM state WHERE a = ? AND b = ? AND c = ? AND d = '?' /* ? */")
	for _, args := range [][]any{{1, "two", nil}, {int64(-5), []byte{0, 1}, 3.5},
		{strings.Repeat("x", 300000), "y", time.Unix(0, 0)}} {
		if r := standin.Execute(st, args...); r.Value != "from p" {
			t.Errorf("got %+v", r)
		}
	}
	var v string
	if err := c.QueryRow("SELECT val FROM state").Scan(&v); err != nil || v != "from p" {
		t.Errorf("a plain query got %q, %v", v, err)
	}
	if r := c.Do("INSERT INTO state (uid) VALUES ('u2')"); !r.Served() {
		t.Errorf("a write by default class got %+v", r)
	}
}

// What the frontend can't keep a promise on is turned down in clear words, and the session goes on.
func TestNotSupported(t *testing.T) {
	_, c, _ := mysqlPooler(t, "p")
	for text, code := range map[string]string{
		"BEGIN": "1235", "COMMIT": "1235", "SET autocommit=0": "1235", "SET SESSION sql_mode='ANSI_QUOTES'": "1235",
		"LOAD DATA LOCAL INFILE 'x' INTO TABLE t":    "1235",
		"SELECT 1; SELECT 2":                         "1235",
		"SELECT 1 /* id=1,c=nosuch */":               "1064",
		"SELECT 1 /* id=1,cluster=77 */":             "1064",
		"SELECT 1 /* id=1,d=x */":                    "1064",
		"DELETE FROM state /* id=1,c=any,d=100 */":   "1064",
		"/*!50000 DELETE FROM x */ /* id=2,c=any */": "1064",
	} {
		if _, err := c.Exec(text); standin.FromMySQL(err).Code != code {
			t.Errorf("%s: got %v, want %s", text, err, code)
		}
	}
	for _, text := range []string{"SET NAMES utf8mb4", "SET sql_mode='NO_AUTO_CREATE_USER'"} {
		if _, err := c.Exec(text); err != nil {
			t.Error(err)
		}
	}
	if err := c.Ping(); err != nil {
		t.Error(err)
	}
}

// Only clients with the configured password come in.
func TestLogin(t *testing.T) {
	_, _, a := mysqlPooler(t, "p")
	c, err := standin.LogInMySQL(a.MySQL, "wrong")
	if standin.FromMySQL(err).Code != "1045" {
		t.Errorf("a wrong password ends with %v", err)
	}
	_ = c.Close()
}

// The statement's own errors reach the client as the server worded them; a server's state does not.
func TestServerErrors(t *testing.T) {
	f, c, _ := mysqlPooler(t, "p")
	for act, code := range map[standin.Act]string{standin.Wrong: "1062", standin.Fault: "1317"} {
		f.Servers[0].Do(always(act))
		if r := c.Do(standin.Write("", patience)); r.Code != code {
			t.Errorf("got %+v, want %s", r, code)
		}
	}
}

// A bad inventory keeps the old list; a new server is found without a restart.
func TestInventoryIsReadAgain(t *testing.T) {
	f, c, _ := mysqlPooler(t, "p")
	expectServed(t, c.Do(standin.Read("any", amplePatience)))
	if err := os.WriteFile(f.Inventory(), []byte("name,port\np,none\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	expectServed(t, c.Do(standin.Read("any", amplePatience)))
	r, err := standin.NewServer("r", true, false, f.Ledger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Down)
	f.Servers = append(f.Servers, r)
	f.List()
	for until := time.Now().Add(20 * time.Second); len(r.Seen()) == 0; {
		if time.Now().After(until) {
			t.Fatal("the new server gets nothing")
		}
		expectServed(t, c.Do(standin.Read("any", amplePatience)))
	}
}
