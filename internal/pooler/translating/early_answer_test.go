package translating

import (
	"slices"
	"testing"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/lab/standin"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/mysql"
	"threadsail/internal/pooler/postgres"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/protocol/comment"
	wire "threadsail/internal/protocol/mysql"
	"threadsail/internal/protocol/pgwire"
	"threadsail/internal/translate"
	"threadsail/internal/transport"
)

// What a PostgreSQL server sends beyond its answer to a step of the setup must not be taken for the answer to the statement behind it. The
// statement is not sent, and the connection is not used again.
func TestBytesAfterASetupAnswer(t *testing.T) {
	setup := [][]byte{nil, pgwire.AppendWelcome(nil, pgwire.Key{Process: 1, Secret: 2}), describedStatement()}
	stray := pgwire.AppendReady(pgwire.Append(nil, 'C', pgwire.Tag("DELETE", 9), "\x00"))
	query := func() any {
		return &postgres.Statement{Text: "SELECT 1 /* id=e1 */", Comment: comment.Comment{ID: "e1"}}
	}
	for _, test := range []struct {
		name    string
		step    int // whose answer is followed by another message
		backend func(upstream.Connector) dispatch.Backend
		payload func() any
	}{
		{"startup of a translated statement", 1, newPostgresBackend, preparedDelete},
		{"description of a translated statement", 2, newPostgresBackend, preparedDelete},
		{"startup of a query", 1, func(c upstream.Connector) dispatch.Backend { return &postgres.Backend{Connector: c} }, query},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			replies := slices.Clone(setup)
			replies[test.step] = slices.Concat(replies[test.step], stray)
			server, result := sendTo(t, test.backend, test.payload(), replies)
			if result.Result != policy.ConnectFailed {
				t.Errorf("the execution ends with %v and %q, want %v", result.Result, result.Answer, policy.ConnectFailed)
			}
			if !server.WaitClosed() {
				t.Error("the connection is not closed")
			}
			if read := server.Read(); read != test.step {
				t.Errorf("the server was sent something %d times, want %d", read, test.step)
			}
		})
	}
}

// The position that a server tells with the description of a statement is not that of the write which follows: a session for which it was
// recorded would miss its write.
func TestPositionBeforeAWrite(t *testing.T) {
	told := pgwire.AppendParameter(nil, "lsn_ms", "1767225600123")
	executed := pgwire.AppendReady(pgwire.Append(pgwire.Append(nil, '2'), 'C', pgwire.Tag("DELETE", 1), "\x00"))
	for name, test := range map[string]struct {
		description, answer []byte
		want                bool
	}{
		"with the description": {slices.Concat(told, describedStatement()), executed, false},
		"with the answer":      {describedStatement(), slices.Concat(told, executed), true},
	} {
		t.Run(name, func(t *testing.T) {
			replies := [][]byte{nil, pgwire.AppendWelcome(nil, pgwire.Key{}), test.description, test.answer}
			_, result := sendTo(t, newPostgresBackend, preparedDelete(), replies)
			if result.Result != policy.OK || result.HasPosition != test.want {
				t.Errorf("got %+v, want OK, and a position: %v", result, test.want)
			}
		})
	}
}

// preparedDelete returns a statement with one parameter, which is a text.
func preparedDelete() any {
	translated := &mysql.Translated{Statement: translate.Statement{SQL: "DELETE FROM state WHERE uid = $1", Params: 1}}
	execute := wire.Execute{Nulls: []byte{0}, Types: []byte{0xfc, 0}, Values: wire.AppendText(nil, []byte("value"))}
	return &mysql.Command{Prepared: true, ParamCount: 1, Execute: execute, Translated: translated,
		Client: translate.Client{Charset: translate.UTF8MB4}}
}

// describedStatement returns a server's answer to the Parse and the Describe of preparedDelete.
func describedStatement() []byte {
	const oidText = 25
	described := pgwire.Append(nil, '1') // ParseComplete
	described = pgwire.AppendParameterTypes(described, []uint32{oidText})
	return pgwire.AppendReady(pgwire.Append(described, 'n')) // NoData
}

// sendTo sends a request to a server that answers by rote, and returns the server and the result.
func sendTo(t *testing.T, newBackend func(upstream.Connector) dispatch.Backend, payload any, replies [][]byte) (*standin.Script, dispatch.AttemptResult) {
	t.Helper()
	server, err := standin.NewScript(replies...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	loop := dispatch.NewEventLoop()
	go loop.Run()
	t.Cleanup(loop.Stop)
	backend := newBackend(upstream.Connector{Loop: loop, Budget: transport.NewBudget(9), Pool: transport.NewPool(time.Minute, 9),
		ConnectTimeout: time.Minute})
	results := make(chan dispatch.AttemptResult, 1)
	loop.Post(func() {
		backend.Send(server.Addr, payload, time.Minute, dispatch.AttemptCallbacks{
			StillAllowed: func() bool { return true },
			Sent:         func() {},
			Progress:     func(bool) {},
			Done:         func(r dispatch.AttemptResult) { results <- r },
		})
	})
	return server, <-results
}

func newPostgresBackend(connector upstream.Connector) dispatch.Backend {
	return &PostgresBackend{Connector: connector, Account: upstream.Account{Log: func(string) {}}}
}
