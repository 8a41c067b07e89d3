package pooler_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/pooler"
	"threadsail/internal/protocol/mysql"
	"threadsail/internal/protocol/pgwire"
)

// first has only the first of several calls do something.
func first(do func(*net.TCPConn)) func(*net.TCPConn) {
	var n atomic.Int32
	return func(c *net.TCPConn) {
		if n.Add(1) == 1 {
			do(c)
		}
	}
}

func closeConn(c *net.TCPConn) { _ = c.Close() }

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// A server that ends at any byte of its answer has given none: a read is served by another attempt, and a write without a key
// is failed and not sent again.
func TestServerClosesWithinItsAnswer(t *testing.T) {
	testOverAllProtocols(t, nil, []string{"p", "r"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		c := dial(t, a)
		for _, at := range []int{0, 1, 5, -7, -1} {
			for how, end := range map[string]func(*net.TCPConn){"close": closeConn, "reset": resetConn} {
				once := first(end)
				for _, s := range f.Servers {
					s.Meet(at, once)
				}
				if r := c.Do(standin.Read("any", 5*patience)); !r.Served() || !strings.HasPrefix(r.Value, "from ") {
					t.Errorf("%s at byte %d: a read got %+v", how, at, r)
				}
				f.Servers[0].Meet(at, first(end))
				before := len(f.Servers[0].Seen())
				if r := c.Do(standin.Write("", 5*patience)); !r.Failed || len(f.Servers[0].Seen()) != before+1 {
					t.Errorf("%s at byte %d: a write got %+v after %d sends", how, at, r, len(f.Servers[0].Seen())-before)
				}
			}
		}
	})
}

// A whole error is a server's word though it closes before it says that it is ready again: what it turned away has not run.
func TestCompleteErrorThenClose(t *testing.T) {
	testOverAllProtocols(t, nil, []string{"p"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		c, p := dial(t, a), f.Servers[0]
		expectServed(t, c.Do(standin.Write("", amplePatience)))
		for _, end := range []func(*net.TCPConn){closeConn, resetConn} {
			p.Do(once(standin.Full))
			at := 1 << 20 // on MySQL's wire the error is all
			if !p.SpeaksMySQL() {
				at = -len(pgwire.AppendReady(nil))
			}
			p.Meet(at, first(end))
			if r := c.Do(standin.Write("", patience)); r.Failed || r.Err != nil {
				t.Errorf("a write that was turned away got %+v", r)
			}
		}
	})
}

// An answer that never ends costs its own request and connection: it is cut off long before the request's time is over, and
// others are served meanwhile.
func TestEndlessAnswers(t *testing.T) {
	testOverAllProtocols(t, nil, []string{"p", "r"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		p := f.Servers[0]
		kinds := map[string]func(n int) []byte{
			"notices": func(int) []byte {
				return bytes.Repeat(pgwire.Append(nil, 'N', strings.Repeat("x", 4000), "\x00"), 256)
			},
			"parameters": func(int) []byte { return bytes.Repeat(pgwire.AppendParameter(nil, "x", "y"), 64<<10) },
		}
		if p.SpeaksMySQL() {
			kinds = map[string]func(n int) []byte{"rows": func(n int) []byte {
				if n == 0 {
					out := mysql.Append(mysql.Append(nil, 1, []byte{1}), 2, mysql.ColumnDef("val"))
					return mysql.Append(out, 3, mysql.EOF())
				}
				return mysql.Append(nil, byte(n+3), []byte("\x00\x00\x01x"))
			}}
		}
		c, other := dial(t, a), dial(t, a)
		for name, piece := range kinds {
			p.Meet(0, first(func(c *net.TCPConn) {
				for n, err := 0, error(nil); err == nil; n++ {
					_, err = c.Write(piece(n))
				}
			}))
			ended := make(chan standin.Result, 1)
			began, had := time.Now(), len(p.Seen())
			go func() { ended <- c.Do(standin.Write("", 30*time.Second)) }()
			if !p.Wait(had + 1) {
				t.Fatal("the write never came")
			}
			expectServed(t, other.Do(standin.Read("any", 20*time.Second)))
			if r := <-ended; !r.Failed || time.Since(began) > 15*time.Second {
				t.Errorf("%s: a write got %+v after %v", name, r, time.Since(began))
			}
		}
	})
}

// A long value that has begun and stops ends by its server's silence, so that its client can tell that it is not whole; before that
// nobody cuts it off. Where nothing of it has been passed on its request fails as others do, in its time, and its connection serves on.
func TestLongValueStalls(t *testing.T) {
	f, c := postgresPooler(t, "p")
	_, long := longAnswer(1 << 20)
	f.Servers[0].Spoil(func(s standin.Seen) []byte {
		if strings.Contains(s.Text, "c=any") {
			return long[:len(long)/2]
		}
		return nil
	})
	f.Servers[0].Do(func(s standin.Seen) standin.Act {
		if strings.Contains(s.Text, "c=write") {
			return standin.Hang // its answer is due before the values'
		}
		return standin.Answer
	})
	began := time.Now()
	for _, text := range []string{standin.Write("", 2*patience), standin.Read("any", patience), standin.Read("any", 3*patience)} {
		if err := c.Send(text); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 2 {
		if r := c.Receive(); r.Code == "" {
			t.Errorf("answer %d is %+v", i, r)
		}
	}
	if time.Since(began) > 4500*time.Millisecond {
		t.Errorf("the first two are answered after %v", time.Since(began))
	}
	if r, took := c.Receive(), time.Since(began); r.Err == nil || took < 4*patience || took > 20*time.Second {
		t.Errorf("the value's client got %d bytes and code %q after %v", len(r.Value), r.Code, took)
	}
}

// A client may say that it leaves right behind its last statement: it gets the answer, and then the end.
func TestQuitAfterAStatement(t *testing.T) {
	testRestart(t, func(t *testing.T, f *standin.Fleet, a pooler.Addresses, terminate chan struct{}, ended chan error) {
		defer func() {
			close(terminate)
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}()
		release := make(chan struct{})
		f.Servers[0].Meet(0, func(*net.TCPConn) { <-release })
		c := newRawClient(t, a)
		farewell := pgwire.Append(nil, 'X')
		if a.MySQL != "" {
			farewell = mysql.Append(nil, 0, []byte{mysql.ComQuit})
		}
		all := bytes.Join([][]byte{packet(c, standin.Write("", 20*time.Second)), farewell, packet(c, standin.Write("", 20*time.Second))}, nil)
		if _, err := c.Write(all); err != nil {
			t.Fatal(err)
		}
		if !f.Servers[0].Wait(1) {
			t.Error("the statement never came")
		}
		close(release)
		if r := c.Receive(); !r.Served() {
			t.Errorf("the statement got %+v", r)
		}
		if r := c.Receive(); r.Err == nil {
			t.Errorf("behind the farewell comes %+v", r)
		}
	})
}

// SIGTERM meets clients that say nothing, have said half of their first message or rest, and writes that wait: for a primary, and
// for a server that lets them connect and says nothing. Each write gets its answer before SIGKILL, and each client its end.
func TestRestartWithinEachStage(t *testing.T) {
	for _, name := range []string{"no primary", "a silent server"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testRestart(t, func(t *testing.T, f *standin.Fleet, a pooler.Addresses, terminate chan struct{}, ended chan error) {
				p := f.Servers[0]
				if name == "no primary" {
					p.Set(false, 0)
				} else {
					p.Down()
					silent, err := net.Listen("tcp", p.Addr)
					if err != nil {
						t.Fatal(err)
					}
					defer silent.Close()
				}
				var others []net.Conn
				for _, said := range []string{"", "\x00\x00\x00\x54\x00\x03"} {
					c, err := net.Dial("tcp", frontendAddr(a))
					if err != nil {
						t.Fatal(err)
					}
					defer c.Close()
					if _, err := c.Write([]byte(said)); err != nil {
						t.Fatal(err)
					}
					others = append(others, c)
				}
				others = append(others, newRawClient(t, a))
				before, after := newRawClient(t, a), newRawClient(t, a)
				if err := before.Send(standin.Write("k", 20*time.Second)); err != nil {
					t.Fatal(err)
				}
				told := time.Now()
				close(terminate)
				if err := after.Send(standin.Write("", 20*time.Second)); err != nil {
					t.Fatal(err)
				}
				for i, c := range []rawClient{before, after} {
					if r := c.Receive(); r.Err != nil {
						t.Errorf("write %d has no answer: %v", i, r.Err)
					}
				}
				for i, c := range others {
					_ = c.SetDeadline(told.Add(20 * time.Second))
					if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
						t.Errorf("client %d stays connected", i)
					}
				}
				expectShutdownInTime(t, told, ended)
			})
		})
	}
}

// A client that reads late gets every answer whole though the process is told to end meanwhile, and then the end.
func TestRestartWithASlowReader(t *testing.T) {
	testRestart(t, func(t *testing.T, f *standin.Fleet, a pooler.Addresses, terminate chan struct{}, ended chan error) {
		const ahead = 8
		value := strings.Repeat("v", 60<<10)
		if a.MySQL != "" {
			value = value[:200] // as large as the stand-in's rows are
		}
		for _, s := range f.Servers {
			s.Give(value)
		}
		c := newRawClient(t, a)
		if r, ok := c.(*standin.Postgres); ok {
			_ = r.Conn.(*net.TCPConn).SetReadBuffer(16 << 10)
		}
		for range ahead {
			if err := c.Send(standin.Read("any", 20*time.Second)); err != nil {
				t.Fatal(err)
			}
		}
		// A busy pooler may reject a read, which no server sees then.
		waitFor(t, "not all reads have come to a server or were rejected", func() bool {
			return len(f.Servers[0].Seen())+len(f.Servers[1].Seen())+rejectedReads(t, a) >= ahead
		})
		told := time.Now()
		close(terminate)
		for time.Since(told) < 700*time.Millisecond { // by when idle clients have gone
			time.Sleep(10 * time.Millisecond)
		}
		for i := range ahead {
			if r := c.Receive(); r.Err != nil {
				t.Fatalf("answer %d of %d: %v", i, ahead, r.Err)
			}
		}
		if r := c.Receive(); r.Err == nil {
			t.Error("it stays connected")
		}
		expectShutdownInTime(t, told, ended)
	})
}

// A client that sends more than is read ahead of an answer is held back, and each of its commands gets an answer in the end.
func TestClientThatSendsMuchAheadGetsEveryAnswer(t *testing.T) {
	testRestart(t, func(t *testing.T, f *standin.Fleet, a pooler.Addresses, terminate chan struct{}, ended chan error) {
		defer func() {
			close(terminate)
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}()
		const ahead, padding = 200, 16 << 10 // together more than the kernel and the pooler hold
		release := make(chan struct{})
		f.Servers[0].Do(func(seen standin.Seen) standin.Act {
			if strings.HasPrefix(seen.Text, "INSERT") {
				<-release
			}
			return standin.Answer
		})
		c := newRawClient(t, a)
		if err := c.Send(standin.Write("", 20*time.Second)); err != nil || !f.Servers[0].Wait(1) {
			t.Fatal("the write never came", err)
		}
		var sent atomic.Int32
		go func() {
			for range ahead {
				if _, err := c.Write(packet(c, standin.Read("any", amplePatience)+strings.Repeat(" ", padding))); err != nil {
					return // the answers are too few then
				}
				sent.Add(1)
			}
		}()
		waitFor(t, "the client sends nothing ahead", func() bool { return sent.Load() > 0 })
		close(release)
		expectServed(t, c.Receive())
		for i := range ahead {
			if r := c.Receive(); r.Err != nil {
				t.Fatalf("answer %d of %d: %v", i, ahead, r.Err)
			}
		}
	})
}

// An attempt whose time is over is given up: the server's connection is closed, and a write without a key is not sent again.
func TestAttemptTimesOut(t *testing.T) {
	testOverAllProtocols(t, nil, []string{"p", "r"}, func(t *testing.T, f *standin.Fleet, a pooler.Addresses) {
		p := f.Servers[0]
		closed := make(chan struct{})
		p.Meet(0, first(func(c *net.TCPConn) {
			_, _ = io.Copy(io.Discard, c) // until the pooler closes it
			close(closed)
		}))
		if r := dial(t, a).Do(standin.Write("", patience)); !r.Failed || len(p.Seen()) != 1 {
			t.Errorf("a write got %+v after %d sends", r, len(p.Seen()))
		}
		select {
		case <-closed:
		case <-time.After(20 * time.Second):
			t.Error("its connection stays open")
		}
	})
}

// A client that leaves in the middle of a long answer takes the server's connection with it.
func TestClientDisconnectsWithinALongAnswer(t *testing.T) {
	f, c := postgresPooler(t, "p")
	_, answer := longAnswer(pgwire.MaxLong)
	f.Servers[0].Spoil(func(standin.Seen) []byte { return answer })
	if err := c.Send(standin.Read("any", 60*time.Second)); err != nil || !f.Servers[0].Wait(1) {
		t.Fatal("the read never came", err)
	}
	if _, err := io.ReadFull(c, make([]byte, 64<<10)); err != nil { // it has begun
		t.Fatal(err)
	}
	if f.Servers[0].Unsent() != 1 {
		t.Fatal("the kernel holds all of it")
	}
	c.Close()
	waitFor(t, "the server's connection stays open", func() bool { return f.Servers[0].Unsent() == 0 })
}
