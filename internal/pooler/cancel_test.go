package pooler_test

import (
	"fmt"
	"testing"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
)

// cancelClient is a client whose statements another connection can cancel.
type cancelClient struct {
	do     func(text string) standin.Result
	cancel func() error
	code   string // of a statement that was cancelled
}

func newCancelClient(t *testing.T, a pooler.Addresses) cancelClient {
	t.Helper()
	client := newRawClient(t, a)
	cancel, code := newCanceller(client, newRawClient(t, a))
	do := func(text string) standin.Result {
		if err := client.Send(text); err != nil {
			return standin.Result{Err: err}
		}
		return client.Receive()
	}
	return cancelClient{do, cancel, code}
}

// A cancel before, during, after and twice: what is under way is answered at once and never sent again; nothing else is
// touched. The server is as good as before, and the next statement on the connection is served.
func TestCancel(t *testing.T) {
	testOverAllProtocols(t, nil, []string{"p"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		c, p := newCancelClient(t, a), f.Servers[0]
		if err := c.cancel(); err != nil { // before
			t.Fatal(err)
		}
		expectServed(t, c.do(standin.Write("k0", amplePatience)))
		if err := c.cancel(); err != nil { // after
			t.Fatal(err)
		}
		for i := range 5 {
			p.Do(once(standin.Hang))
			had := len(p.Seen())
			ended := make(chan standin.Result, 1)
			began := time.Now()
			go func() { ended <- c.do(standin.Write(fmt.Sprint("k1", i), 20*time.Second)) }()
			if !p.Wait(had + 1) {
				t.Fatal("the write never came")
			}
			for range 2 {
				if err := c.cancel(); err != nil {
					t.Fatal(err)
				}
			}
			if r := <-ended; r.Code != c.code || time.Since(began) > 10*time.Second {
				t.Errorf("a cancelled write got %+v after %v", r, time.Since(began))
			}
			expectServed(t, c.do(standin.Write(fmt.Sprint("k2", i), amplePatience)))
			if n := len(p.Seen()) - had; n != 2 {
				t.Errorf("%d statements came for a cancelled write and the one after it", n)
			}
		}
		expectInfo(t, a, "edge_proxy_members_unavailable 0", "edge_proxy_pending 0", `edge_proxy_downstream_requests{lane="write",result="failed"} 0`)
	})
}

// What a translated statement has begun at a PostgreSQL server is cancelled there by the key of its connection.
func TestCancelReachesTheServer(t *testing.T) {
	f := standin.NewMixedFleet(t, true, func(int) bool { return false }, nil, "p")
	a := poolerProcess(t, f)
	c, p := newCancelClient(t, a), f.Servers[0]
	p.Do(once(standin.Hang))
	ended := make(chan standin.Result, 1)
	go func() { ended <- c.do(standin.Write("k", 20*time.Second)) }()
	if !p.Wait(1) {
		t.Fatal("the write never came")
	}
	if err := c.cancel(); err != nil {
		t.Fatal(err)
	}
	<-ended
	for late := time.Now().Add(20 * time.Second); len(p.Cancels()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatal("no cancel comes")
		}
	}
	if k := p.Cancels()[0]; k.Secret != 77 || k.Process == 0 {
		t.Errorf("the key is %+v", k)
	}
}
