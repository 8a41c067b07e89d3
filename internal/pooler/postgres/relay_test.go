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

// manualBackend is a backend that leaves it to the test to answer each query in place of its server.
type manualBackend struct {
	*Backend
	sent chan *query
}

func (b manualBackend) Send(addr string, payload any, remaining time.Duration, callbacks dispatch.AttemptCallbacks) dispatch.Call {
	q := b.Backend.Send(addr, payload, remaining, callbacks).(*query)
	b.sent <- q
	return q
}

// relayTest is a frontend with one server, whose answers the test gives.
type relayTest struct {
	server *standin.Server
	loop   *dispatch.EventLoop
	sent   chan *query // the queries in the order in which they were sent
	client *standin.Postgres
}

func newRelayTest(t *testing.T) *relayTest {
	t.Helper()
	server, err := standin.NewServer("p", false, true, standin.NewLedger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Down)
	server.Do(func(standin.Seen) standin.Act { return standin.Hang })
	loop, budget := dispatch.NewEventLoop(), transport.NewBudget(100)
	backend := manualBackend{&Backend{Connector: upstream.Connector{Loop: loop, Budget: budget, Pool: transport.NewPool(time.Minute, 100),
		ConnectTimeout: time.Minute}}, make(chan *query, 9)}
	dispatcher, err := dispatch.New(loop, backend, dispatch.Options{MaxOpen: 9, ProbeTimeout: time.Minute, Watch: func() {}, Log: func(string) {},
		Settings: policy.Settings{MaxAttempts: 1, Classes: []policy.Class{{Name: "any", TotalTimeout: time.Minute, PriorityWeight: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	dispatcher.ApplyList(policy.ListFull, []dispatch.Member{{Name: "p", Address: server.Addr, State: policy.Ready}})
	frontend, err := Listen(loop, func(accept func(*transport.Conn)) (*transport.Listener, error) {
		return transport.Listen(loop, budget, "127.0.0.1:0", accept)
	}, dispatcher, connlimit.New(loop, 100, 1<<20, 1<<20), func(string, int) error { return nil })
	if err != nil {
		t.Fatal(err)
	}
	loopStopped := make(chan struct{})
	go func() { loop.Run(); close(loopStopped) }()
	t.Cleanup(func() {
		loop.Post(frontend.Terminate)
		loop.Stop()
		<-loopStopped
	})
	client, err := standin.DialPostgres(frontend.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	return &relayTest{server: server, loop: loop, sent: backend.sent, client: client}
}

// send sends reads, all before the first answer, and returns their queries to the server.
func (r *relayTest) send(t *testing.T, reads int) (queries []*query) {
	t.Helper()
	for range reads {
		if err := r.client.Send(standin.Read("any", time.Minute)); err != nil {
			t.Fatal(err)
		}
	}
	if !r.server.Wait(reads) {
		t.Fatal("the server did not receive the reads in time")
	}
	for range reads {
		queries = append(queries, <-r.sent)
	}
	return queries
}

// answer is a server's answer with a value.
func answer(value string) []byte {
	return pgwire.AppendReady(pgwire.AppendRow(nil, "val", value, "SELECT 1"))
}

// Guards against lost or truncated answers when a delayed event loop finds values of several megabytes read ahead completely.
// Each value must reach its client whole, also if the client reads slowly and further answers follow.
func TestLongAnswersReadAtOnce(t *testing.T) {
	r := newRelayTest(t)
	_ = r.client.Conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	var values []string
	for i, size := range []int{100, pgwire.MaxValue, pgwire.MaxValue + 1, 3 << 20, 3 << 20, 3 << 20, 100} {
		values = append(values, strings.Repeat(fmt.Sprintf("value %d ", i), size)[:size])
	}
	for i, q := range r.send(t, len(values)) {
		r.loop.Post(func() { q.Data(r.loop.Now(), answer(values[i])) })
	}
	for i, value := range values {
		if reply := r.client.Receive(); reply.Value != value || reply.Err != nil {
			t.Fatalf("value %d: wrong value received: sent %d bytes, received %d; error %v", i, len(value), len(reply.Value), reply.Err)
		}
	}
}

// A cancel that comes while a long answer is being forwarded comes too late for it, and must not hit the statement behind it.
func TestCancelWithinALongAnswerSparesTheNextStatement(t *testing.T) {
	r := newRelayTest(t)
	values := []string{strings.Repeat("long value ", 1<<17), "short value"}
	queries := r.send(t, len(values))
	long := answer(values[0])
	half := len(long) / 2
	r.loop.Post(func() { queries[0].Data(r.loop.Now(), long[:half]) })
	if err := r.client.Cancel(); err != nil {
		t.Fatal(err)
	}
	r.loop.Post(func() {
		queries[0].Data(r.loop.Now(), long[half:])
		queries[1].Data(r.loop.Now(), answer(values[1]))
	})
	for i, value := range values {
		if reply := r.client.Receive(); reply.Value != value || reply.Code != "" || reply.Err != nil {
			t.Errorf("value %d: sent %d bytes, received %d; code %q, error %v", i, len(value), len(reply.Value), reply.Code, reply.Err)
		}
	}
}
