package pooler_test

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	driver "github.com/go-sql-driver/mysql"

	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/protocol/pgwire"
)

// rawClient is a client's connection on which statements may be sent ahead of their answers.
type rawClient interface {
	Send(text string) error
	Receive() standin.Result
	net.Conn
}

// packet is a statement as a client of the wire sends it.
func packet(c rawClient, text string) []byte {
	if _, old := c.(oldMySQLClient); old {
		return mysql.Append(nil, 0, append([]byte{mysql.ComQuery}, text...))
	}
	return pgwire.AppendQuery(nil, text)
}

type oldMySQLClient struct{ *standin.OldClient }

func (o oldMySQLClient) Send(text string) error {
	return o.OldClient.Send(append([]byte{mysql.ComQuery}, text...))
}

func (o oldMySQLClient) Receive() (r standin.Result) {
	packets, err := o.OldClient.Receive(mysql.ComQuery)
	if err != nil || packets[0][0] != 0xff {
		if len(packets) > 2 { // a result, whose last row stands before the EOF
			r.Value, _ = mysql.TextColumn(packets[len(packets)-2])
		}
		r.Err = err
		return r
	}
	code, _, text, _ := mysql.ParseError(packets[0])
	return standin.FromMySQL(&driver.MySQLError{Number: code, Message: text})
}

// newRawClient connects a client that waits a bounded time in all: the end of the program inside the test closes no connection.
func newRawClient(t *testing.T, a pooler.Addresses) rawClient {
	t.Helper()
	c, err := tryRawClient(t, a)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func tryRawClient(t *testing.T, a pooler.Addresses) (c rawClient, err error) {
	if a.MySQL == "" {
		c, err = standin.DialPostgres(a.Postgres)
	} else {
		var old *standin.OldClient
		old, err = standin.DialOld(a.MySQL, standin.ClientUser, standin.ClientPassword, standin.Latin2)
		c = oldMySQLClient{old}
	}
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { c.Close() })
	return c, c.SetDeadline(time.Now().Add(20 * time.Second))
}

// testRestart runs a test of a planned restart on both protocols.
func testRestart(t *testing.T, test func(t *testing.T, f *standin.Fleet, a pooler.Addresses, terminate chan struct{}, ended chan error)) {
	for _, wire := range []string{"postgres", "mysql"} {
		t.Run(wire, func(t *testing.T) {
			t.Parallel()
			f := standin.NewFleet(t, wire == "mysql", nil, "p", "r")
			a, terminate, ended, err := launch(f.Getenv, f.Hup)
			if err != nil {
				t.Fatal(err)
			}
			test(t, f, a, terminate, ended)
		})
	}
}

// sigkill is when SIGKILL may come after SIGTERM: the stand-ins' longest deadline and 0.7 s. A busy machine may be slow by late.
const (
	sigkill = 2700 * time.Millisecond
	late    = 1300 * time.Millisecond
)

func expectShutdownInTime(t *testing.T, told time.Time, ended chan error) {
	t.Helper()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if d := time.Since(told); d > sigkill+late {
		t.Errorf("the program ended %v after SIGTERM, later than SIGKILL", d)
	}
}

func idOf(text string) string {
	_, rest, _ := strings.Cut(text, "id=")
	id, _, _ := strings.Cut(rest, ",")
	return id
}

// After SIGTERM clients go on sending, some with several statements ahead, for as long as their connections stay open. Each
// statement that a server has seen is answered: what crosses a close is safe to send again.
func TestClientsThatNeverStopSending(t *testing.T) {
	testRestart(t, func(t *testing.T, f *standin.Fleet, a pooler.Addresses, terminate chan struct{}, ended chan error) {
		const clients, ahead = 24, 4
		var mu sync.Mutex
		open := map[string]bool{}
		var ends []time.Time
		var all, warm sync.WaitGroup
		for i := range clients {
			c, depth := newRawClient(t, a), 1
			if i%ahead == 0 {
				depth = ahead
			}
			all.Add(1)
			warm.Add(1)
			go func() {
				defer all.Done()
				var sent []string
				for n := 0; ; n++ {
					if n == 8 {
						warm.Done()
					}
					for failed := false; len(sent) < depth && !failed; {
						text := standin.Read("any", patience)
						sent = append(sent, idOf(text))
						mu.Lock()
						open[idOf(text)] = true
						mu.Unlock()
						failed = c.Send(text) != nil // the answers to earlier ones may still come
					}
					r := c.Receive()
					mu.Lock()
					if r.Err != nil {
						ends = append(ends, time.Now())
						mu.Unlock()
						return
					}
					delete(open, sent[0])
					mu.Unlock()
					sent = sent[1:]
				}
			}()
		}
		warm.Wait()
		told := time.Now()
		close(terminate)
		expectShutdownInTime(t, told, ended)
		all.Wait()
		for _, s := range f.Servers {
			for _, seen := range s.Seen() {
				if open[seen.ID] {
					t.Errorf("statement %s has run and has no answer", seen.ID)
				}
			}
		}
		if first := ends[0].Sub(told); first < 300*time.Millisecond {
			t.Errorf("a client was closed %v after SIGTERM, before the news of it had spread", first)
		}
	})
}

// What has a longer time than is left before SIGKILL gets its answer before that, whether it came before SIGTERM or after.
func TestAnswersBeforeSigkill(t *testing.T) {
	testRestart(t, func(t *testing.T, f *standin.Fleet, a pooler.Addresses, terminate chan struct{}, ended chan error) {
		for _, s := range f.Servers {
			s.Do(always(standin.Hang))
		}
		const ahead = 3
		before, after := newRawClient(t, a), newRawClient(t, a)
		if err := before.Send(standin.Write("k", 20*time.Second)); err != nil || !f.Servers[0].Wait(1) {
			t.Fatal("the write never came", err)
		}
		told := time.Now()
		close(terminate)
		if err := after.Send(standin.Write("k", 20*time.Second)); err != nil {
			t.Fatal(err)
		}
		for range ahead { // behind it, on the same connection
			if err := before.Send(standin.Write("k", 20*time.Second)); err != nil {
				t.Fatal(err)
			}
		}
		for i, c := range []rawClient{before, after} {
			for n := range 1 + ahead*(1-i) {
				if r := c.Receive(); r.Err != nil {
					t.Errorf("write %d on connection %d has no answer: %v", n, i, r.Err)
				}
			}
			if r := c.Receive(); r.Err == nil {
				t.Errorf("connection %d stays open", i)
			}
		}
		expectShutdownInTime(t, told, ended)
	})
}

// Statements that come on new connections while the news of a restart spreads are answered, and so is one whose first half
// comes before SIGTERM and whose rest comes when all other clients have gone.
func TestRestartWithinStatements(t *testing.T) {
	testRestart(t, func(t *testing.T, _ *standin.Fleet, a pooler.Addresses, terminate chan struct{}, ended chan error) {
		half, idle := newRawClient(t, a), newRawClient(t, a)
		p := packet(half, standin.Read("any", patience))
		if _, err := half.Write(p[:len(p)/2]); err != nil {
			t.Fatal(err)
		}
		told := time.Now()
		close(terminate)
		for time.Since(told) < 200*time.Millisecond {
			c, err := tryRawClient(t, a)
			if err == nil {
				err = c.Send(standin.Read("any", patience))
			}
			if err == nil {
				err = c.Receive().Err
			}
			if d := time.Since(told); err != nil && d < 400*time.Millisecond { // later on a machine that stood still
				t.Errorf("%v after SIGTERM a new client got %v", d, err)
			}
		}
		if r := idle.Receive(); r.Err == nil {
			t.Error("an idle client stays connected")
		}
		if _, err := half.Write(p[len(p)/2:]); err != nil {
			t.Fatal(err)
		}
		if r := half.Receive(); r.Err != nil {
			t.Errorf("a statement that came in two halves got %v", r.Err)
		}
		if r := half.Receive(); r.Err == nil {
			t.Error("its client stays connected")
		}
		expectShutdownInTime(t, told, ended)
	})
}
