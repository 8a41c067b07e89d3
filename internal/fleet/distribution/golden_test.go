package distribution

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"threadsail/internal/fleet/goldentest"
	"threadsail/internal/fleet/replication"
)

// goldenBeat is so long that none passes within a test.
const goldenBeat = time.Minute

func goldenState(version uint64) replication.Snapshot {
	return replication.Snapshot{Version: version, Documents: map[string]replication.Document{"purge/plan": {Key: "purge/plan", Version: version, Value: fmt.Append(nil, "plan ", version)}}}
}

func TestMessageForms(t *testing.T) {
	goldentest.JSON(t, "hello.json", goldentest.Filled[hello](t))
	goldentest.JSON(t, "refusal.json", goldentest.Filled[refusal](t))
	goldentest.JSON(t, "live.json", goldentest.Filled[heartbeat](t))
	goldentest.JSON(t, "word.json", goldentest.Filled[announcement](t))
	goldentest.JSON(t, "holds.json", goldentest.Filled[holdings](t))
	goldentest.JSON(t, "summary.json", goldentest.Filled[Summary](t))
}

// What frames are counted as is part of the metrics' names.
func TestFrameKinds(t *testing.T) {
	for number, want := range []string{"kind 0", "hello", "welcome", "refusal", "live", "word", "delta", "whole", "message", "cast", "holds", "kind 11"} {
		if got := frameKind(number).String(); got != want {
			t.Errorf("%d: got %q, want %q", number, got, want)
		}
	}
}

// script plays the other end of a connection by golden frames, each a file as it stands on the connection.
type script struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func newScript(t *testing.T, conn net.Conn) *script {
	t.Cleanup(func() { _ = conn.Close() })
	return &script{t, conn, bufio.NewReader(conn)}
}

// liveKind is the kind of the frames that a pooler sends at times of its own.
const liveKind = 4

// receive compares the next frame with a golden file; frames that tell that a pooler lives are passed over.
func (s *script) receive(name string) {
	s.t.Helper()
	_ = s.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	for {
		length, err := binary.ReadUvarint(s.in)
		if err != nil {
			s.t.Fatalf("%s: %v", name, err)
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(s.in, body); err != nil {
			s.t.Fatalf("%s: %v", name, err)
		}
		if length > 0 && body[0] == liveKind {
			continue
		}
		goldentest.Bytes(s.t, "frames/"+name, append(binary.AppendUvarint(nil, length), body...))
		return
	}
}

// send writes a golden file's frame.
func (s *script) send(name string, frame []byte) {
	s.t.Helper()
	if _, err := s.conn.Write(goldentest.Bytes(s.t, "frames/"+name, frame)); err != nil {
		s.t.Fatalf("%s: %v", name, err)
	}
}

// frameOf is a frame as the protocol's text has it, made without the package's own code.
func frameOf(kind byte, body ...string) []byte {
	text := strings.Join(body, "")
	return append(append(binary.AppendUvarint(nil, uint64(len(text)+1)), kind), text...)
}

// nameOf is a name with its length before it.
func nameOf(name string) string { return string(binary.AppendUvarint(nil, uint64(len(name)))) + name }

// A pooler's end of a stream says, and understands, frames of every kind as it always did.
func TestSubscriberFrames(t *testing.T) {
	dialed := make(chan net.Conn, 1)
	dial := func(context.Context, string) (net.Conn, error) {
		pooler, distributor := net.Pipe()
		dialed <- distributor
		return pooler, nil
	}
	documents := replication.NewReplica(replication.Snapshot{})
	changed := documents.Changed()
	s := Subscribe(SubscriberOptions{Name: "pooler-1", Region: "north", Distributors: []Endpoint{{"distributor-1", "unused", "north"}},
		Resources: []Resource{{Name: "shared", Replica: documents}}, HeartbeatInterval: goldenBeat, Dial: dial})
	defer s.Close()
	heard := make(chan string, 2)
	for _, topic := range []string{"quota/grant", "verdict"} {
		s.Handle(topic, func(from string, body []byte) { heard <- topic + " " + from + " " + string(body) })
	}

	distributor := newScript(t, <-dialed)
	distributor.receive("subscriber_hello")
	distributor.send("welcome", frameOf(2))
	distributor.send("whole", frameOf(7, nameOf("shared"), `{"version":9,"docs":[{"key":"purge/plan","version":9,"value":"cGxhbiA5"}]}`))
	<-changed
	changed = documents.Changed()
	distributor.send("delta", frameOf(6, nameOf("shared"), `{"since":9,"version":10,"docs":[{"key":"limits/set","version":10,"value":"c2V0"}],"gone":["purge/plan"]}`))
	<-changed
	if got := documents.Snapshot(); got.Version != 10 || len(got.Documents) != 1 || string(got.Documents["limits/set"].Value) != "set" {
		t.Errorf("got the documents %+v", got)
	}
	asOf := time.Now().Add(-time.Hour).UnixNano()
	_, _ = distributor.conn.Write(frameOf(5, fmt.Sprintf(`{"n":42,"f":[{"f":"shared","v":10,"t":%d,"a":5}]}`, asOf)))
	distributor.send("message_down", frameOf(8, nameOf("pooler-1"), nameOf("pooler-2"), nameOf("quota/grant"), "body 1"))
	distributor.send("cast_down", frameOf(9, nameOf("pooler-2"), nameOf("verdict"), "body 2"))
	for _, want := range []string{"quota/grant pooler-2 body 1", "verdict pooler-2 body 2"} {
		if got := <-heard; got != want {
			t.Errorf("got the message %q, want %q", got, want)
		}
	}
	if got := s.Size(); got != 42 {
		t.Errorf("got %d poolers, want 42", got)
	}
	if at := documents.ConfirmedAt(); at.UnixNano() != asOf {
		t.Errorf("got documents confirmed at %v, want %v", at, time.Unix(0, asOf))
	}

	if err := s.Send(t.Context(), "pooler-2", "quota/ask", []byte("body 3")); err != nil {
		t.Fatal(err)
	}
	distributor.receive("message_up")
	s.Broadcast("verdict", []byte("body 4"))
	distributor.receive("cast_up")
}

// A distributor says, and understands, frames of every kind as it always did: to poolers, and to other distributors.
func TestDistributorFrames(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	documents := replication.NewReplica(goldenState(9))
	linked := make(chan net.Conn, 1)
	dial := func(context.Context, string) (net.Conn, error) {
		own, other := net.Pipe()
		linked <- other
		return own, nil
	}
	d := NewDistributor(listener, DistributorOptions{Name: "distributor-1", Region: "north", Distributors: []Endpoint{{"distributor-2", "unused", "south"}},
		Resources: []Resource{{Name: "shared", Replica: documents}}, HeartbeatInterval: goldenBeat, Dial: dial})
	defer d.Close()
	heard := make(chan string, 2)
	for _, topic := range []string{"quota/ask", "verdict"} {
		d.Handle(topic, func(from string, body []byte) { heard <- topic + " " + from + " " + string(body) })
	}
	connect := func() *script {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		return newScript(t, conn)
	}

	link := newScript(t, <-linked)
	link.receive("link_hello")
	_, _ = link.conn.Write(frameOf(2))
	link.receive("link_holds_all")

	newer := connect()
	newer.send("hello_of_another_protocol", frameOf(1, `{"protocol":2,"name":"pooler-9","status":{}}`))
	newer.receive("refusal")

	pooler := connect()
	pooler.send("hello", frameOf(1, `{"protocol":1,"name":"pooler-1","region":"north","has":{"shared":0},"status":{"build":"1.4","config":"c0ffee","token":7,"seq":3}}`))
	pooler.receive("distributor_welcome")
	pooler.receive("distributor_whole")
	pooler.receive("distributor_word")
	link.receive("link_holds_came")
	documents.Install(goldenState(10))
	pooler.receive("distributor_delta")
	pooler.receive("distributor_newer_word")

	pooler.send("live", frameOf(4, `{"has":{"shared":10},"status":{"build":"1.5","config":"c0ffee","token":7,"seq":4}}`))
	pooler.send("message_to_distributor", frameOf(8, nameOf("distributor-1"), nameOf("pooler-1"), nameOf("quota/ask"), "body 1"))
	pooler.send("cast_to_distributor", frameOf(9, nameOf("pooler-1"), nameOf("verdict"), "body 2"))
	for _, want := range []string{"quota/ask pooler-1 body 1", "verdict pooler-1 body 2"} {
		if got := <-heard; got != want {
			t.Errorf("got the message %q, want %q", got, want)
		}
	}
	link.receive("link_cast")
	if err := d.Send(t.Context(), "pooler-1", "quota/grant", []byte("body 3")); err != nil {
		t.Fatal(err)
	}
	pooler.receive("distributor_message")
	own, _ := d.Summary()
	if want := (Summary{Poolers: 1, OldestVersion: 10, Builds: map[string]int{"1.5": 1}, Configs: map[string]int{"c0ffee": 1}}); fmt.Sprint(own) != fmt.Sprint(want) {
		t.Errorf("got the summary %v, want %v", own, want)
	}

	other := connect()
	other.send("hello_of_a_distributor", frameOf(1, `{"protocol":1,"name":"distributor-2","region":"south","distributor":true,"status":{}}`))
	other.receive("distributor_welcome")
	other.send("holds", frameOf(10, `{"all":true,"came":["pooler-2","pooler-3"]}`))
	other.send("holds_went", frameOf(10, `{"went":["pooler-3"]}`))
	other.send("live_of_a_distributor", frameOf(4, `{"poolers":1,"behind":1,"oldest":8,"builds":{"1.4":1},"configs":{"c0ffee":1}}`))
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		if _, all := d.Summary(); all.Poolers == 2 && all.Lagging == 1 && all.OldestVersion == 8 && d.Size() == 4 {
			break
		}
		if time.Now().After(deadline) {
			_, all := d.Summary()
			t.Fatalf("got %d members and the summary %+v", d.Size(), all)
		}
	}
}

// All poolers that know the same distributors agree, whatever their builds, on which of them a pooler turns to first.
func TestRankOrder(t *testing.T) {
	all := []Endpoint{{"d1", "", "north"}, {"d2", "", "north"}, {"d3", "", "north"}, {"d4", "", "south"}, {"d5", "", "south"}}
	var out bytes.Buffer
	for _, pooler := range []string{"pooler-1", "pooler-2", "pooler-3", "pooler-4"} {
		fmt.Fprint(&out, pooler)
		for _, p := range Rank(pooler, "north", all) {
			fmt.Fprint(&out, " ", p.Name)
		}
		fmt.Fprintln(&out)
	}
	goldentest.Bytes(t, "rank.txt", out.Bytes())
}
