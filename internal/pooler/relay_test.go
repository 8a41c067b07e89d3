package pooler_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"threadsail/internal/lab/standin"
	"threadsail/internal/protocol/pgwire"
)

// longAnswer is a value of so many bytes that is different everywhere, as a server gives it.
func longAnswer(size int) (value string, answer []byte) {
	var b bytes.Buffer
	for i := 0; b.Len() < size; i++ {
		b.WriteString(string(rune('a' + i%26)))
		b.WriteString(strings.Repeat("x", i%1000))
	}
	value = b.String()[:size]
	return value, pgwire.AppendReady(pgwire.AppendRow(nil, "val", value, "SELECT 1"))
}

// Values up to 4 MiB are passed on as they come, in their order among other answers, and their connection to the server
// serves on. One byte more is a spoilt answer.
func TestLongAnswers(t *testing.T) {
	f, c := postgresPooler(t, "p")
	for _, size := range []int{pgwire.MaxValue, pgwire.MaxValue + 1, pgwire.MaxLong} {
		value, answer := longAnswer(size)
		f.Servers[0].Spoil(func(s standin.Seen) []byte {
			if strings.Contains(s.Text, "c=any") {
				return answer
			}
			return nil
		})
		for _, text := range []string{standin.Read("any", 20*time.Second), standin.Read("view", 20*time.Second),
			standin.Read("any", 20*time.Second), "RESET ALL"} {
			if err := c.Send(text); err != nil {
				t.Fatal(err)
			}
		}
		for i, want := range []string{value, "from p", value, ""} {
			if r := c.Receive(); !r.Served() || r.Value != want {
				t.Fatalf("value of %d bytes: answer %d has %d bytes and code %q: %v", size, i, len(r.Value), r.Code, r.Err)
			}
		}
	}
	_, answer := longAnswer(pgwire.MaxLong + 1)
	f.Servers[0].Spoil(func(standin.Seen) []byte { return answer })
	if r := c.Do(standin.Write("", patience)); !r.Failed {
		t.Errorf("a value that is too long ended with %q, %v", r.Code, r.Err)
	}
}

// A long answer that is spoilt once it has begun must not look whole, and its request must not be tried again.
func TestBrokenLongAnswerClosesTheClient(t *testing.T) {
	f, c := postgresPooler(t, "p")
	_, answer := longAnswer(1 << 20)
	answer = append(answer[:bytes.LastIndex(answer, []byte("C\x00\x00\x00\x0d"))], pgwire.AppendError(nil, "ERROR", "XX000", "fault", "")...)
	f.Servers[0].Spoil(func(standin.Seen) []byte { return answer })
	if r := c.Do(standin.Write("", 20*time.Second)); r.Served() {
		t.Errorf("it ended with %d bytes and code %q", len(r.Value), r.Code)
	}
	if n := len(f.Servers[0].Seen()); n != 1 {
		t.Errorf("the write was sent %d times", n)
	}
}

// Clients that read slowly keep their servers waiting: what is held for them must stay small, and others are served.
func TestSlowReadersUseLittleMemory(t *testing.T) {
	f := standin.NewFleet(t, false, nil, "p")
	a := poolerProcess(t, f)
	value, answer := longAnswer(pgwire.MaxLong)
	var gave sync.WaitGroup
	f.Servers[0].Spoil(func(s standin.Seen) []byte {
		if strings.Contains(s.Text, "c=any") {
			return answer
		}
		return nil
	})
	const clients = 8
	var slow []*standin.Postgres
	for range clients {
		c := dial(t, a).(*standin.Postgres)
		if err := c.Send(standin.Read("any", 60*time.Second)); err != nil {
			t.Fatal(err)
		}
		slow = append(slow, c)
	}
	if !f.Servers[0].Wait(clients) {
		t.Fatal("the reads never came")
	}
	other := dial(t, a)
	for range 20 {
		expectServed(t, other.Do(standin.Read("view", 20*time.Second)))
	}
	if n := f.Servers[0].Unsent(); n != clients {
		t.Errorf("%d servers wait, want %d", n, clients)
	}
	for _, c := range slow {
		gave.Add(1)
		go func() {
			defer gave.Done()
			if r := c.Receive(); r.Value != value {
				t.Errorf("a slow client got %d bytes and code %q: %v", len(r.Value), r.Code, r.Err)
			}
		}()
	}
	gave.Wait()
}
