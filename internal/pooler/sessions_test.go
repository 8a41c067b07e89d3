package pooler_test

import (
	"database/sql"
	"fmt"
	"strings"
	"testing"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
)

// veryLate is a replication lag that no replica makes up for within a test.
const veryLate = time.Hour

// trackSessions has the pooler track the writes of sessions, whose reads are in class view.
func trackSessions(settings map[string]any) {
	standin.AllowLateHost(settings)
	replication := settings["familyInfo"].(map[string]any)
	replication["tokens"] = "kept"
	replication["classRead"] = []string{"causal", "eventual", "mutate"}
}

// commented appends the comment of a request to a statement.
func commented(statement, class string) string {
	_, comment, _ := strings.Cut(standin.Read(class, amplePatience), "/*")
	return statement + " /*" + comment
}

// text returns a function that executes a statement, in the form in which a client sends it without preparing it.
func text(t *testing.T, c standin.Client) func(statement string) standin.Result {
	if c, ok := c.(*standin.MySQL); ok {
		return func(statement string) standin.Result { return queryText(t, c, statement) }
	}
	return c.Do
}

// queryText executes a statement by COM_QUERY.
func queryText(t *testing.T, c *standin.MySQL, statement string) (r standin.Result) {
	t.Helper()
	rows, err := c.Query(statement)
	if err != nil {
		return standin.FromMySQL(err)
	}
	defer func() { _ = rows.Close() }() // the answer is all that counts
	for rows.Next() {
		if err := rows.Scan(&r.Value); err != nil {
			return standin.FromMySQL(err)
		}
	}
	return r
}

// bound returns a function that executes a statement with its last string or number bound to a parameter.
func bound(c *standin.MySQL, key any) func(statement string) standin.Result {
	return func(statement string) standin.Result {
		literal := fmt.Sprintf("'%v'", key)
		if _, isString := key.(string); !isString {
			literal = fmt.Sprint(key)
		}
		bare, comment, _ := strings.Cut(statement, "/*")
		at := max(strings.LastIndex(bare, literal), 0)
		prepared, err := c.Prepare(bare[:at] + "?" + bare[at+len(literal):] + "/*" + comment)
		if err != nil {
			return standin.FromMySQL(err)
		}
		defer func(s *sql.Stmt) { _ = s.Close() }(prepared)
		return standin.Execute(prepared, key)
	}
}

// expectPrimary checks that a read was answered by the primary, which the first server is, or by a replica.
func expectPrimary(t *testing.T, r standin.Result, primary bool, what string) {
	t.Helper()
	if !r.Served() || primary != (r.Value == "from p") {
		t.Errorf("%s: got %+v, want an answer of the primary: %v", what, r, primary)
	}
}

// setReplicaLag sets how far behind the replicas of a fleet are.
func setReplicaLag(f *standin.Fleet, lag time.Duration) {
	for _, s := range f.Servers[1:] {
		s.Set(false, lag)
	}
}

// A session's reads missed its own write behind the MySQL frontend and behind MySQL servers, whose answers tell no position: no write
// was recorded. The reads of other sessions must still be served by replicas, and the session's own ones again once these have caught up.
func TestSessionsSeeTheirWrites(t *testing.T) {
	testOverAllProtocols(t, trackSessions, []string{"p", "r1", "r2"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		setReplicaLag(f, veryLate)
		c, other := dial(t, a), dial(t, a)
		read := func(uid string) string {
			return commented("SELECT val FROM state WHERE uid = '"+uid+"'", "view")
		}
		expectServed(t, c.Do(standin.Write("k1", amplePatience)))
		expectPrimary(t, c.Do(read("u1")), true, "a read behind the write")
		expectPrimary(t, text(t, other)(read("u1")), true, "a read on another connection, unprepared")
		expectPrimary(t, other.Do(commented("SELECT val FROM state LIMIT 1", "view")), true, "a read that names no session")
		expectPrimary(t, other.Do(read("u2")), false, "a read of another session")
		setReplicaLag(f, 0)
		for until := time.Now().Add(amplePatience); ; {
			r := c.Do(read("u1"))
			expectServed(t, r)
			if r.Value != "from p" {
				break
			}
			if time.Now().After(until) {
				t.Fatal("no replica that has caught up gets a read of the session")
			}
		}
	})
}

// The key of a session is the same in each form of a statement, and wherever it stands in it.
func TestSessionKeysInAllForms(t *testing.T) {
	for _, speaksMySQL := range []bool{true, false} {
		t.Run(fmt.Sprint("MySQL servers: ", speaksMySQL), func(t *testing.T) {
			f := standin.NewMixedFleet(t, true, func(int) bool { return speaksMySQL }, trackSessions, "p", "r1", "r2")
			a := poolerProcess(t, f)
			setReplicaLag(f, veryLate)
			c := dial(t, a).(*standin.MySQL)
			asText := text(t, c)
			writes := map[string]string{
				"insert": "INSERT INTO state (uid, val) VALUES ('x', 'KEY')",
				"update": "UPDATE state SET val = 'x' WHERE uid = 'KEY'",
				"delete": "DELETE FROM state WHERE uid = 'KEY'",
				"number": "INSERT INTO state (val, uid) VALUES ('x', NUMBER)",
			}
			next := 0
			for name, write := range writes {
				for _, form := range []string{"text", "prepared", "bound"} {
					next++
					number := 1000 + next
					key := any(fmt.Sprint(number))
					if name == "number" {
						key = number
					}
					do := map[string]func(string) standin.Result{"text": asText, "prepared": c.Do, "bound": bound(c, key)}
					written := strings.NewReplacer("KEY", fmt.Sprint(number), "NUMBER", fmt.Sprint(number)).Replace(write)
					read := commented(fmt.Sprintf("SELECT val FROM state WHERE uid = '%d'", number), "view")
					expectPrimary(t, asText(read), false, name+" before")
					expectServed(t, do[form](commented(written, "write")))
					expectPrimary(t, asText(read), true, name+" "+form+", read as text")
					expectPrimary(t, c.Do(read), true, name+" "+form+", read prepared")
					expectPrimary(t, bound(c, fmt.Sprint(number))(read), true, name+" "+form+", read with a bound key")
					unquoted := strings.Replace(read, fmt.Sprintf("'%d'", number), fmt.Sprint(number), 1)
					expectPrimary(t, bound(c, number)(unquoted), true, name+" "+form+", read with a bound number")
				}
			}
		})
	}
}

// A session that writes over one frontend must see that over the other one too: each has a policy of its own.
func TestSessionsAcrossFrontends(t *testing.T) {
	f := standin.NewMixedFleet(t, true, func(i int) bool { return i == 0 }, trackSessions, "p", "r1", "r2")
	f.FromFile(map[string]any{"postgres": map[string]any{"file": f.Inventory()}})
	a := poolerProcess(t, f)
	setReplicaLag(f, veryLate)
	my := dial(t, a)
	pg, err := standin.DialPostgres(a.Postgres)
	if err != nil {
		t.Fatal(err)
	}
	defer pg.Close()
	read := func(uid string) string { return commented("SELECT val FROM state WHERE uid = '"+uid+"'", "view") }
	for uid, clients := range map[string][2]standin.Client{"u1": {my, pg}, "u2": {pg, my}} {
		writer, reader := clients[0], clients[1]
		write := strings.Replace(standin.Write("", amplePatience), "'u1'", "'"+uid+"'", 1)
		expectServed(t, writer.Do(write))
		expectPrimary(t, reader.Do(read(uid)), true, "a read behind the write of "+uid)
		expectPrimary(t, reader.Do(read("other")), false, "a read of another session")
	}
}

// A read must see the commit that it names, also one that is ahead of the pooler's clock.
func TestReadsSeeTheCommitThatTheyName(t *testing.T) {
	brought := func(settings map[string]any) {
		trackSessions(settings)
		settings["familyInfo"].(map[string]any)["tokens"] = "brought"
	}
	testOverAllProtocols(t, brought, []string{"p", "r1", "r2"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		c := dial(t, a)
		read := func(after time.Duration) string {
			position := time.Now().Add(after).UnixMilli()
			return strings.Replace(standin.Read("view", amplePatience), ",c=", fmt.Sprintf(",after=%d,c=", position), 1)
		}
		expectServed(t, c.Do(standin.Write("k1", amplePatience))) // the primary is known from now on
		expectPrimary(t, c.Do(read(veryLate)), true, "a read of a commit ahead of the clock")
		setReplicaLag(f, time.Minute)
		expectPrimary(t, c.Do(read(-veryLate)), false, "a read of an old commit")
		expectPrimary(t, c.Do(read(0)), true, "a read of a new commit")
	})
}

// MySQL servers answer reads that they are too far behind for, whatever the settings say that servers do.
func TestMySQLServersAnswerStaleReads(t *testing.T) {
	for _, behind := range []string{"bounce", "await"} {
		t.Run(behind, func(t *testing.T) {
			f := standin.NewMixedFleet(t, false, func(int) bool { return true }, func(settings map[string]any) {
				trackSessions(settings)
				settings["familyInfo"].(map[string]any)["behind"] = behind
			}, "p", "r1", "r2")
			setReplicaLag(f, -1) // they tell no position
			c := dial(t, poolerProcess(t, f))
			expectServed(t, c.Do(standin.Write("k1", amplePatience)))
			for range 3 { // a round over all servers
				expectPrimary(t, c.Do(standin.Read("view", amplePatience)), true, "a read behind the write")
			}
		})
	}
}
