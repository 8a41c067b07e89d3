package postgres

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/lab/standin"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/connlimit"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/protocol/pgwire"
	"threadsail/internal/transport"
)

// tapped is a backend whose attempts the test answers itself, as if their servers had.
type tapped struct {
	*Backend
	sent chan *query
}

func (b tapped) Send(addr string, payload any, left time.Duration, a dispatch.AttemptCallbacks) dispatch.Call {
	x := b.Backend.Send(addr, payload, left, a).(*query)
	b.sent <- x
	return x
}

// A late loop finds a value of megabytes read ahead whole: it has come at once. It must reach its client all the same, which
// may take it more slowly, and others behind it too.
func TestLongAnswersThatComeAtOnce(t *testing.T) {
	server, err := standin.NewServer("p", false, true, standin.NewLedger())
	if err != nil {
		t.Fatal(err)
	}
	defer server.Down()
	server.Do(func(standin.Seen) standin.Act { return standin.Hang })
	loop, budget := dispatch.NewEventLoop(), transport.NewBudget(100)
	back := tapped{&Backend{Connector: upstream.Connector{Loop: loop, Budget: budget, Pool: transport.NewPool(time.Minute, 100),
		ConnectTimeout: time.Minute}}, make(chan *query, 9)}
	core, err := dispatch.New(loop, back, dispatch.Options{MaxOpen: 9, ProbeTimeout: time.Minute, Watch: func() {}, Log: func(string) {},
		Settings: policy.Settings{MaxAttempts: 1, Classes: []policy.Class{{Name: "any", TotalTimeout: time.Minute, PriorityWeight: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	core.ApplyList(policy.ListFull, []dispatch.Member{{Name: "p", Address: server.Addr, State: policy.Ready}})
	front, err := Listen(func(accept func(*transport.Conn)) (*transport.Listener, error) {
		return transport.Listen(loop, budget, "127.0.0.1:0", accept)
	}, core, connlimit.New(loop, 100, 1<<20), func(string, int) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { loop.Run(); close(ended) }()
	defer func() {
		loop.Post(front.Terminate)
		loop.Stop()
		<-ended
	}()
	client, err := standin.DialPostgres(front.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	_ = client.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	var values []string
	for i, size := range []int{100, pgwire.MaxValue, pgwire.MaxValue + 1, 3 << 20, 3 << 20, 3 << 20, 100} {
		values = append(values, strings.Repeat(fmt.Sprintf("value %d ", i), size)[:size])
		if err := client.Send(standin.Read("any", time.Minute)); err != nil {
			t.Fatal(err)
		}
	}
	if !server.Wait(len(values)) {
		t.Fatal("the reads never came")
	}
	for _, v := range values {
		x := <-back.sent
		loop.Post(func() { x.Data(loop.Now(), pgwire.AppendReady(pgwire.AppendRow(nil, "val", v, "SELECT 1"))) })
	}
	for i, v := range values {
		if r := client.Receive(); r.Value != v || r.Err != nil {
			t.Fatalf("value %d: of %d bytes %d came: %v", i, len(v), len(r.Value), r.Err)
		}
	}
}
