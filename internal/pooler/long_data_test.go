package pooler_test

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/protocol/pgwire"
)

// A malformed EXECUTE must use up the data sent ahead of it, as at a MySQL server: the next EXECUTE would store it in front of its own.
func TestMalformedExecuteDropsLongData(t *testing.T) {
	f, _, a := mysqlPooler(t, "p")
	c, err := standin.DialOld(a.MySQL, standin.ClientUser, standin.ClientPassword, standin.Latin2)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	answer, err := c.Do(append([]byte{mysql.ComStmtPrepare}, "INSERT INTO state (val) VALUES (?)"...))
	if err != nil {
		t.Fatal(err)
	}
	statement, err := mysql.ParsePrepareOK(answer[0])
	if err != nil {
		t.Fatal(err)
	}
	execute := mysql.Execute{Nulls: []byte{0}, Types: []byte{typeBlob, 0}}.Payload(statement.ID)
	sendLongData(t, c, statement.ID, "first")
	if answer, err := c.Do(execute[:len(execute)-1]); err != nil || answer[0][0] != 0xff {
		t.Errorf("a malformed EXECUTE is answered with %x, %v", answer, err)
	}
	sendLongData(t, c, statement.ID, "second")
	if answer, err := c.Do(execute); err != nil || answer[0][0] == 0xff {
		t.Errorf("the EXECUTE is answered with %x, %v", answer, err)
	}
	var got []string
	for _, seen := range f.Servers[0].Seen() {
		got = append(got, seen.LongData)
	}
	if want := []string{"second"}; !slices.Equal(got, want) {
		t.Errorf("the server has executed the statement with %q, want %q", got, want)
	}
}

func sendLongData(t *testing.T, c *standin.OldClient, statement uint32, value string) {
	t.Helper()
	if err := c.Send(mysql.LongData{Data: []byte(value)}.Payload(statement)); err != nil {
		t.Fatal(err)
	}
}

// typeBlob is the MySQL type of a parameter.
const typeBlob = 0xfc

// longDataInsert has two parameters: the value of the first is sent ahead, that of the second stands in the EXECUTE.
const longDataInsert = "INSERT INTO state (note, val) VALUES (?, ?)"

// longDataClient executes longDataInsert.
type longDataClient struct {
	*standin.OldClient
	statement uint32
	note      string // the value that is sent ahead
}

func newLongDataClient(t *testing.T, a pooler.Addresses, note string) *longDataClient {
	t.Helper()
	c := newRawClient(t, a).(oldMySQLClient).OldClient
	answer, err := c.Do(append([]byte{mysql.ComStmtPrepare}, longDataInsert...))
	if err != nil {
		t.Fatal(err)
	}
	statement, err := mysql.ParsePrepareOK(answer[0])
	if err != nil {
		t.Fatal(err)
	}
	return &longDataClient{OldClient: c, statement: statement.ID, note: note}
}

// send sends the note ahead, and the EXECUTE with the other value, with the types of its parameters or without.
func (c *longDataClient) send(value []byte, withTypes bool) error {
	if err := c.Send(mysql.LongData{Data: []byte(c.note)}.Payload(c.statement)); err != nil {
		return err
	}
	execute := mysql.Execute{Nulls: []byte{0}, Types: []byte{typeBlob, 0, typeBlob, 0}, Values: mysql.AppendText(nil, value)}
	payload := execute.Payload(c.statement)
	if !withTypes {
		const typesAt = 1 + 4 + 1 + 4 + 1 // behind command, statement, flags, iterations and nulls
		payload = slices.Concat(payload[:typesAt], []byte{0}, execute.Values)
	}
	return c.Send(payload)
}

// rejected reads the answer to an EXECUTE and tells whether it is the rejection of one that has not run.
func (c *longDataClient) rejected(t *testing.T) bool {
	t.Helper()
	answer, err := c.Receive(mysql.ComStmtExecute)
	if err != nil {
		t.Fatal(err)
	}
	if answer[0][0] != 0xff {
		return false
	}
	code, _, text, _ := mysql.ParseError(answer[0])
	if code != mysql.ErrConCount {
		t.Fatalf("an EXECUTE is answered with %d %s", code, text)
	}
	return true
}

// noteTable is a table of a PostgreSQL server that records the notes of the inserts.
type noteTable struct {
	mu    sync.Mutex
	notes []string
}

func (n *noteTable) Types(string) []uint32 {
	const oidText = 25
	return []uint32{oidText, oidText}
}

func (n *noteTable) Run(_ string, params [][]byte) (standin.Rows, bool) {
	if len(params) == 0 || params[0] == nil { // a Describe
		return standin.Rows{}, false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notes = append(n.notes, string(params[0]))
	return standin.Rows{Tag: pgwire.Tag("INSERT", 1)}, true
}

// An EXECUTE that is refused for want of memory must use up the data sent ahead of it, as at a MySQL server, and keep the types that it
// carried: the client sends its data again and its types never again, so the retry would run with a value that no client has sent.
func TestRefusedExecuteUsesUpLongData(t *testing.T) {
	for name, oldServers := range map[string]bool{"mysql": true, "mysql to postgres": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := standin.NewMixedFleet(t, true, func(int) bool { return oldServers }, standin.AllowLateHost, "p")
			f.Configure("limits", map[string]any{"sockets": 256, "memory_mb": 16})
			notes := &noteTable{}
			f.Servers[0].Hold(notes)
			sent := executeWithoutMemory(t, f, poolerProcess(t, f))
			stored := notes.notes
			if oldServers {
				for _, seen := range f.Servers[0].Seen() {
					stored = append(stored, seen.LongData)
				}
			}
			if slices.Sort(stored); !slices.Equal(stored, sent) {
				t.Errorf("the server has executed the statement with %q, want %q", stored, sent)
			}
		})
	}
}

// executeWithoutMemory executes longDataInsert for many clients at once, while the server holds the first ones up and their values take
// the memory for requests. Clients that are rejected try again. It returns the notes of all clients, in order.
func executeWithoutMemory(t *testing.T, f *standin.Fleet, a pooler.Addresses) (notes []string) {
	t.Helper()
	const (
		clients  = 22
		size     = 120 << 10 // together more than the part of 16 MB for requests
		noteSize = 64
		// retryDelay is the time after which a rejected client tries again. One that tries before it has caught up is rejected again.
		retryDelay = 400 * time.Millisecond
	)
	release := make(chan struct{})
	f.Servers[0].Do(func(standin.Seen) standin.Act { <-release; return standin.Answer })
	var waiting []*longDataClient
	for i := range clients {
		c := newLongDataClient(t, a, strings.Repeat(fmt.Sprintf("note %02d ", i), noteSize/8))
		notes = append(notes, c.note)
		waiting = append(waiting, c)
		go func() { _ = c.send(bytes.Repeat([]byte("x"), size), true) }() // what is not taken in shows in the answers
	}
	waitFor(t, "no message is discarded", func() bool { return figure(t, a, `messages_shed{front="mysql"}`) > 0 })
	close(release)
	rejections := 0
	for len(waiting) > 0 {
		waiting = slices.DeleteFunc(waiting, func(c *longDataClient) bool { return !c.rejected(t) })
		rejections += len(waiting)
		time.Sleep(retryDelay)
		for _, c := range waiting {
			if err := c.send([]byte("x"), false); err != nil { // client libraries send the types once, whatever became of that EXECUTE
				t.Fatal(err)
			}
		}
	}
	if rejections == 0 {
		t.Error("no EXECUTE is rejected")
	}
	return notes
}
