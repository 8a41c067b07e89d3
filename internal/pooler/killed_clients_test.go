package pooler_test

import (
	"fmt"
	"testing"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
)

// A client that is killed has an answer to what was under way first.
func TestClientThatIsKilled(t *testing.T) {
	testRestart(t, func(t *testing.T, f *standin.Fleet, a pooler.Addresses, terminate chan struct{}, ended chan error) {
		defer func() {
			close(terminate)
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}()
		if a.MySQL == "" {
			return // PostgreSQL's wire has no such command
		}
		f.Servers[0].Do(always(standin.Hang))
		killer := newRawClient(t, a)
		c := newRawClient(t, a)
		if err := c.Send(standin.Write("", 20*time.Second)); err != nil || !f.Servers[0].Wait(1) {
			t.Fatal("the write never came", err)
		}
		if err := killer.Send(fmt.Sprint("KILL ", c.(oldMySQLClient).Thread)); err != nil {
			t.Fatal(err)
		}
		r, answers := c.Receive(), 0
		for more := r; more.Err == nil; answers++ {
			more = c.Receive()
		}
		if answers == 0 {
			t.Errorf("the write under way has no answer: %v", r.Err)
		}
	})
}

// A client that is killed must get an answer to each statement that the pooler has read, also to those behind the one in flight: without
// one it can't know that they have not run.
func TestClientThatIsKilledGetsAnAnswerToEachStatement(t *testing.T) {
	const statements = 3
	f := standin.NewFleet(t, true, nil, "p")
	a := poolerProcess(t, f)
	f.Servers[0].Do(always(standin.Hang))
	killer, client := newRawClient(t, a), newRawClient(t, a)
	var ahead []byte
	for range statements {
		ahead = append(ahead, packet(client, standin.Write("", 20*time.Second))...)
	}
	if _, err := client.Write(ahead); err != nil || !f.Servers[0].Wait(1) {
		t.Fatal("the write never came", err)
	}
	if err := killer.Send(fmt.Sprint("KILL ", client.(oldMySQLClient).Thread)); err != nil {
		t.Fatal(err)
	}
	for i := range statements {
		if r := client.Receive(); r.Code != "1317" {
			t.Errorf("statement %d of %d got %+v", i+1, statements, r)
		}
	}
	if r := client.Receive(); r.Err == nil {
		t.Errorf("after the last answer came %+v, want the end", r)
	}
}
