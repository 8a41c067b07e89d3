package pooler_test

import (
	"testing"
	"time"

	"threadsail/internal/lab/standin"
)

// A client that has selected no database must not get a connection on which another client has selected one: its statements would run
// there, or fail because a connection can't go back to having none.
func TestClientWithoutADatabaseGetsItsOwnConnection(t *testing.T) {
	const (
		turns     = 10
		reuseTime = 20 * time.Millisecond // connections rest for a moment before they are used again
	)
	f, _, a := mysqlPooler(t, "p")
	withDatabase, withoutDatabase := newRawClient(t, a), &standin.MySQL{DB: openMySQL(t, a, nil)}
	for range turns {
		if err := withDatabase.Send(standin.Read("any", amplePatience)); err != nil {
			t.Fatal(err)
		}
		expectServed(t, withDatabase.Receive())
		time.Sleep(reuseTime)
		expectServed(t, withoutDatabase.Do(standin.Read("any", amplePatience)))
		time.Sleep(reuseTime)
	}
	if got := f.Servers[0].Came(); got >= turns {
		t.Errorf("%d connections were opened in %d turns of two clients", got, turns)
	}
}
