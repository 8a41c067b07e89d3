package gossip

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"time"

	"threadsail/internal/lab/relay"
)

// fleet is some members of this process, each reached by each other through a relay of its own.
type fleet struct {
	members []*Node
	heard   []chan string
	links   map[[2]int]*relay.Link
}

func start(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{links: map[[2]int]*relay.Link{}}
	var addrs []string
	for range n { // a port that is free for both
		ln, err := relay.ListenBoth("127.0.0.1:1", 0)
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, ln.Addr())
		ln.Close()
	}
	for i := range n {
		heard := make(chan string, 1000)
		o := Options{Name: fmt.Sprint("n", i), Listen: addrs[i], OnMessage: func(text []byte) { heard <- string(text) }}
		for j := range n {
			if i == j {
				continue
			}
			l, err := relay.ListenBoth(addrs[j], uint64(i*n+j))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(l.Close)
			f.links[[2]int{i, j}] = l
			o.Peers = append(o.Peers, Peer{fmt.Sprint("n", j), l.Addr()})
		}
		p, err := Start(o, Meta{Build: "b1"})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		f.members, f.heard = append(f.members, p), append(f.heard, heard)
	}
	return f
}

// until waits for what must come, some day.
func until(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(60 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("it never comes that %s", what)
		}
	}
}

func (f *fleet) all(n int) func() bool {
	return func() bool {
		for _, p := range f.members {
			if len(p.Members()) != n {
				return false
			}
		}
		return true
	}
}

// Members find each other through relays, hear words and versions, see one that is cut off leave, and find it again.
func TestMembership(t *testing.T) {
	f := start(t, 3)
	until(t, "all know all", f.all(3))
	if f.members[0].Broadcast("lists", []byte("late"), time.Now()) {
		t.Error("a word was told after its time")
	}
	f.members[0].Broadcast("lists", []byte("word"), time.Now().Add(time.Minute))
	for i := 1; i < 3; i++ {
		if got := <-f.heard[i]; got != "word" {
			t.Errorf("member %d hears %q", i, got)
		}
	}
	if err := f.members[1].Send("n2", []byte("to you")); err != nil {
		t.Error(err)
	}
	if got := <-f.heard[2]; got != "to you" {
		t.Errorf("member 2 hears %q", got)
	}
	if err := f.members[1].Send("nobody", nil); !errors.Is(err, ErrUnknownMember) {
		t.Errorf("to nobody: %v", err)
	}
	f.members[2].SetMeta(Meta{Build: "b2", Token: 7, Sequence: 3})
	until(t, "versions are told", func() bool {
		m := f.members[0].Members()
		return len(m) == 3 && m[2].Meta == Meta{Build: "b2", Token: 7, Sequence: 3}
	})
	set := func(fault relay.Fault) {
		for link, l := range f.links {
			if link[0] == 2 || link[1] == 2 {
				l.Set(fault)
			}
		}
	}
	set(relay.Fault{Drop: true})
	until(t, "the one cut off is held to be gone", func() bool { return len(f.members[0].Members()) == 2 && len(f.members[2].Members()) == 1 })
	set(relay.Fault{})
	until(t, "all know all again", f.all(3))
}

// News that memberlist has taken is not told again, whether or not it has been passed on yet.
func TestNewsIsToldOnce(t *testing.T) {
	f := start(t, 3)
	until(t, "all know all", f.all(3))
	m := f.members[0]
	for i := range 20 {
		m.mu.Lock()
		m.meta, m.metaChanged = Meta{Build: fmt.Sprint("b", i)}, false
		m.mu.Unlock()
		m.publishMeta()
		m.mu.Lock()
		again := m.metaChanged
		m.mu.Unlock()
		if again {
			t.Errorf("news %d is to be told again", i)
		}
	}
}

func TestBadAddresses(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for _, o := range []Options{{Name: "a", Listen: "nowhere"}, {Name: "a", Listen: "localhost:0"}, {Name: "a", Listen: ln.Addr().String()},
		{Name: "a", Listen: "127.0.0.1:0", Advertise: "nowhere"}} {
		if p, err := Start(o, Meta{}); err == nil {
			p.Close()
			t.Errorf("%+v starts", o)
		}
	}
}
