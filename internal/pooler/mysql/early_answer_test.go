package mysql

import (
	"slices"
	"testing"
	"time"

	"threadsail/internal/dispatch"
	"threadsail/internal/lab/standin"
	"threadsail/internal/policy"
	"threadsail/internal/pooler/upstream"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/routes"
	"threadsail/internal/transport"
)

// What a server sends beyond its answer to a step of the setup must not be taken for the answer to the command behind it. The command is
// not sent, and the connection is not used again.
func TestBytesAfterASetupAnswer(t *testing.T) {
	ok := mysql.Append(nil, 1, mysql.Done(0, 0, 0))
	stray := mysql.Append(nil, 1, mysql.Done(9, 0, 0))
	prepareError := mysql.Append(nil, 1, mysql.Error(mysql.ErrParse, "42000", "no such table"))
	setup := [][]byte{
		mysql.AppendGreeting(nil, 1, []byte("abcdefghijklmnopqrst")),
		mysql.Append(nil, 2, mysql.OK()), // to the login
		ok,                               // to COM_INIT_DB
		mysql.Append(nil, 1, mysql.PrepareOK{ID: 1}.Payload()),
	}
	for _, test := range []struct {
		name   string
		step   int // whose answer is followed by another packet
		answer []byte
		want   policy.Result
	}{
		{"greeting", 0, setup[0], policy.ConnectFailed},
		{"login", 1, setup[1], policy.ConnectFailed},
		{"database", 2, setup[2], policy.ConnectFailed},
		{"prepare", 3, setup[3], policy.ConnectFailed},
		{"error of prepare", 3, prepareError, policy.OK}, // the error is the statement's answer
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			replies := slices.Clone(setup[:test.step])
			replies = append(replies, slices.Concat(test.answer, stray))
			replies = append(replies, setup[test.step+1:]...)
			server, err := standin.NewScript(append(replies, ok)...)
			if err != nil {
				t.Fatal(err)
			}
			defer server.Close()
			result := executeOnce(t, server.Addr)
			if result.Result != test.want || result.Result == policy.OK && !slices.Equal(result.Answer.([]byte), prepareError) {
				t.Errorf("the execution ends with %v and %q, want %v", result.Result, result.Answer, test.want)
			}
			if !server.WaitClosed() {
				t.Error("the connection is not closed")
			}
			if read := server.Read(); read != test.step {
				t.Errorf("the server got %d packets, want %d", read, test.step)
			}
		})
	}
}

// executeOnce executes a prepared statement in a database, on a server that has not been used before.
func executeOnce(t *testing.T, address string) dispatch.AttemptResult {
	t.Helper()
	loop := dispatch.NewEventLoop()
	go loop.Run()
	t.Cleanup(loop.Stop)
	connector := upstream.Connector{Loop: loop, Budget: transport.NewBudget(9), Pool: transport.NewPool(time.Minute, 9), ConnectTimeout: time.Minute}
	account := upstream.Account{User: standin.BackendUser, Password: standin.BackendPassword, Log: func(string) {}}
	backend := &Backend{Connector: connector, Account: account, Version: func(string) routes.Version { return routes.Version{} }}
	results := make(chan dispatch.AttemptResult, 1)
	loop.Post(func() {
		backend.Send(address, &Command{Text: "DELETE FROM state", Prepared: true, Database: "core"}, time.Minute, dispatch.AttemptCallbacks{
			StillAllowed: func() bool { return true },
			Sent:         func() {},
			Progress:     func(bool) {},
			Done:         func(r dispatch.AttemptResult) { results <- r },
		})
	})
	return <-results
}
