package pooler_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
	"threadsail/internal/protocol/comment"
)

// newCanceller returns a function that cancels what a client's connection is executing, and the code of a cancelled statement's error. A
// MySQL client is cancelled over the connection of killer.
func newCanceller(client, killer rawClient) (cancel func() error, code string) {
	if postgres, ok := client.(*standin.Postgres); ok {
		return postgres.Cancel, "57014"
	}
	return func() error {
		if err := killer.Send(fmt.Sprint("KILL QUERY ", client.(oldMySQLClient).Thread)); err != nil {
			return err
		}
		return killer.Receive().Err
	}, "1317"
}

// newRead returns a read and its ID.
func newRead(t *testing.T) (text, id string) {
	t.Helper()
	text = standin.Read("any", amplePatience)
	parsed, err := comment.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return text, parsed.ID
}

// A cancel in the moment of a statement's answer must not let that answer reach the statement behind it, which its client has sent
// already.
func TestCancelBesideAnAnswerSparesTheNextStatement(t *testing.T) {
	const (
		trials = 200
		spread = time.Millisecond // between the cancel and the answer, at most
	)
	testOverAllProtocols(t, nil, []string{"p"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		client, server := newRawClient(t, a), f.Servers[0]
		cancel, cancelled := newCanceller(client, newRawClient(t, a))
		jitter := rand.New(rand.NewPCG(1, 1))
		var heldID atomic.Value
		heldID.Store("")
		arrived, release := make(chan struct{}), make(chan struct{})
		server.Echo()
		server.Do(func(seen standin.Seen) standin.Act {
			if seen.ID == heldID.Load() {
				arrived <- struct{}{}
				<-release
			}
			return standin.Answer
		})
		for trial := range trials {
			first, firstID := newRead(t)
			second, secondID := newRead(t)
			heldID.Store(firstID)
			if _, err := client.Write(slices.Concat(packet(client, first), packet(client, second))); err != nil {
				t.Fatal(err)
			}
			<-arrived
			answered := make(chan struct{})
			go func() {
				defer close(answered)
				time.Sleep(time.Duration(jitter.Int64N(int64(2 * spread))))
				release <- struct{}{}
			}()
			time.Sleep(spread) // so that either may come first, or both between two looks of the event loop
			err := cancel()
			<-answered
			if err != nil {
				t.Fatal(err)
			}
			for i, want := range []string{firstID, secondID} {
				if got := client.Receive(); got.Code != cancelled && (!got.Served() || got.Value != want) {
					t.Fatalf("trial %d: statement %d of two got %+v, want %q or the error of a cancel", trial, i+1, got, want)
				}
			}
		}
	})
}
