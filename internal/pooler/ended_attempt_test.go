package pooler_test

import (
	"testing"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/protocol/pgwire"
)

// insertTable is a table of a PostgreSQL server with one text column, into which every statement with a value inserts.
type insertTable struct{}

func (insertTable) Types(string) []uint32 {
	const oidText = 25
	return []uint32{oidText}
}

func (insertTable) Run(_ string, params [][]byte) (standin.Rows, bool) {
	return standin.Rows{Tag: pgwire.Tag("INSERT", 1)}, len(params) > 0
}

// An execution whose value PostgreSQL can't hold ends on its connection before anything is sent. When its deadline passes, its connection,
// on which another client's statement runs by then, must stay open.
func TestDeadlineOfEndedAttemptSparesItsConnection(t *testing.T) {
	const (
		deadline  = 600 * time.Millisecond
		reuseTime = 20 * time.Millisecond // connections rest for a moment before they are used again
	)
	f := standin.NewMixedFleet(t, true, func(int) bool { return false }, standin.AllowLateHost, "p")
	server := f.Servers[0]
	server.Hold(insertTable{})
	a := poolerProcess(t, f)
	statement := prepared(t, dial(t, a).(*standin.MySQL), "INSERT INTO state (val) VALUES (?) /* id=e1,c=write,d=600,cluster=0 */")
	other := newRawClient(t, a)
	expectServed(t, standin.Execute(statement, "good")) // prepares it on the server's connection
	release := make(chan struct{})
	server.Do(func(standin.Seen) standin.Act { <-release; return standin.Answer })
	time.Sleep(reuseTime)
	if r := standin.Execute(statement, "a\x00b"); r.Served() {
		t.Fatal("a value that PostgreSQL can't hold is stored")
	}
	ended := time.Now()
	time.Sleep(reuseTime)
	if err := other.Send(standin.Write("", amplePatience)); err != nil || !server.Wait(2) {
		t.Fatal("the write never came", err)
	}
	time.AfterFunc(time.Until(ended.Add(2*deadline)), func() { close(release) })
	expectServed(t, other.Receive())
}
