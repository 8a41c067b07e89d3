package pooler_test

import (
	"sync/atomic"
	"testing"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/protocol/pgwire"
)

func postgresPooler(t *testing.T, names ...string) (*standin.Fleet, *standin.Postgres) {
	f := standin.NewFleet(t, false, nil, names...)
	return f, dial(t, poolerProcess(t, f)).(*standin.Postgres)
}

// Pipelined commands are worked on side by side, and answered in their order.
func TestPipelineKeepsItsOrder(t *testing.T) {
	f, c := postgresPooler(t, "p", "r")
	expectServed(t, c.Do(standin.Write("k", amplePatience))) // from here on the primary is known, and left out of reads by turn
	release := make(chan struct{})
	f.Servers[0].Do(func(standin.Seen) standin.Act { <-release; return standin.Answer })
	for _, text := range []string{standin.Write("k", patience), "", standin.Read("any", patience), "RESET ALL"} {
		if err := c.Send(text); err != nil {
			t.Fatal(err)
		}
	}
	if !f.Servers[1].Wait(1) { // the read is out while the write still waits
		t.Fatal("the read never came")
	}
	close(release)
	for _, want := range []string{"from p", "", "from r", ""} {
		if r := c.Receive(); !r.Served() || r.Value != want {
			t.Errorf("got %+v, want %q", r, want)
		}
	}
}

// What can't be understood gets a protocol error, and the session goes on.
func TestProtocolErrors(t *testing.T) {
	_, c := postgresPooler(t, "p")
	for _, text := range []string{"SELECT 1", "SELECT 1 /* id=1,c=nosuch,d=100,cluster=0 */",
		"SELECT 1 /* id=1,c=any,d=100,cluster=9 */", "SELECT 1 /* id=1,c=any,d=100 */", "SELECT 1 /* id=1,c=any,d=x,cluster=0 */"} {
		if r := c.Do(text); r.Code != pgwire.CodeProtocol {
			t.Errorf("%s: got %+v", text, r)
		}
	}
	extended := pgwire.Append(pgwire.Append(pgwire.Append(nil, 'P', "\x00SELECT 1\x00\x00\x00"), 'B', "x"), 'S')
	if _, err := c.Write(extended); err != nil {
		t.Fatal(err)
	}
	if r := c.Receive(); r.Code != pgwire.CodeUnsupported {
		t.Errorf("an extended query got %+v", r)
	}
	expectServed(t, c.Do(standin.Read("any", amplePatience)))
}

// Where the framing is lost the connection is closed, with a word if the startup is through.
func TestFramingLost(t *testing.T) {
	_, c := postgresPooler(t, "p")
	if _, err := c.Write([]byte("Q\xff\xff\xff\xff")); err != nil {
		t.Fatal(err)
	}
	if r := c.Receive(); r.Code != pgwire.CodeProtocol {
		t.Errorf("got %+v", r)
	}
	if r := c.Receive(); r.Err == nil {
		t.Error("the connection stays open")
	}
}

// A server's own refusal codes must not reach a client once the write may have run: it is failed, not refused.
func TestServerErrorsAreNotPassedOn(t *testing.T) {
	f, c := postgresPooler(t, "p")
	var n atomic.Int32
	f.Servers[0].Do(func(standin.Seen) standin.Act {
		if n.Add(1) == 1 {
			return standin.Fault
		}
		return standin.Full
	})
	if r := c.Do(standin.Write("k", patience)); !r.Failed || r.Code != pgwire.CodeFailed {
		t.Errorf("got %+v, want the pooler's own failure", r)
	}
}

// A watch that ends is opened again.
func TestWatchIsOpenedAgain(t *testing.T) {
	f, c := postgresPooler(t, "p")
	expectServed(t, c.Do(standin.Read("any", amplePatience)))
	for until := time.Now().Add(20 * time.Second); f.Discovery.Watches() < 3; {
		f.Discovery.CloseClientConnections()
		expectServed(t, c.Do(standin.Read("any", amplePatience)))
		if time.Now().After(until) {
			t.Fatal("no new watch")
		}
	}
}
